package frontend_test

import (
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// awaitRead waits until the sidecar has read size bytes from the client.
func (c *testClient) awaitRead(t *testing.T, size int64) {
	t.Helper()
	lbtest.Until(t, "all sent bytes read by the sidecar", func() bool { return c.serverConn.read.Load() >= size })
}

// A request whose head is partially received when a shutdown closes idle connections must be served once the rest arrives. This holds for
// a new connection and for a kept-alive one, which counts as idle until its next head is complete.
func TestShutdownServesPartiallyReceivedHead(t *testing.T) {
	t.Parallel()
	for name, kept := range map[string]bool{"new": false, "kept": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startTestServer(t, 8, 1<<20, false, nil)
			text := lbtest.Get("slow")
			c, before := server.connectAndSend(t, ""), ""
			if kept {
				before = lbtest.Get("before")
				c.Send(before)
				if status, _ := c.Response(); status != 200 {
					t.Fatal(status)
				}
			}
			from := 0
			for _, n := range []int{20, 30} { // once the second part is read, the first one has been recorded
				c.Send(text[from:n])
				c.awaitRead(t, int64(len(before)+n))
				from = n
			}
			idle := server.connectAndSend(t, "")
			idle.Send(lbtest.Get("idle"))
			if status, _ := idle.Response(); status != 200 {
				t.Fatal(status)
			}
			deadline := time.Now().Add(lbtest.Wait)
			server.engine.ShutDownBy(deadline)
			ended := make(chan struct{})
			go func() { server.Shutdown(time.Now(), deadline); close(ended) }()
			if rest := idle.AwaitClose(); rest != "" { // idle connections have been closed
				t.Errorf("the idle connection got %q before its close", rest)
			}
			c.Send(text[30:])
			if status, body := c.Response(); status != 200 || body != "answer to slow" {
				t.Errorf("status %d, body %q", status, body)
			}
			<-ended
		})
	}
}

// A request, or a part of its head, that has just been read from a kept connection when a shutdown closes idle ones is dropped.
func TestShutdownServesRequestJustRead(t *testing.T) {
	t.Parallel()
	text := lbtest.Get("just-read")
	for name, split := range map[string]int{"whole": len(text), "a part of the head": 30} {
		for security, useTLS := range map[string]bool{"unencrypted": false, "over TLS": true} {
			t.Run(name+" "+security, func(t *testing.T) {
				t.Parallel()
				server := startTestServer(t, 8, 1<<20, useTLS, nil)
				c := server.connectAndSend(t, lbtest.Get("before"))
				if status, _ := c.Response(); status != 200 {
					t.Fatal(status)
				}
				idle := server.connectAndSend(t, lbtest.Get("idle"))
				if status, _ := idle.Response(); status != 200 {
					t.Fatal(status)
				}
				gate := make(chan struct{})
				c.serverConn.readGate.Store(&gate)
				c.Send(text[:split])
				lbtest.Until(t, "the sidecar has read the request", c.serverConn.held.Load)
				deadline := time.Now().Add(lbtest.Wait)
				server.engine.ShutDownBy(deadline)
				go server.Shutdown(time.Now(), deadline)
				idle.AwaitClose() // idle connections have been closed
				c.serverConn.readGate.Store(nil)
				close(gate)
				c.Send(text[split:])
				if status, body := c.Response(); status != 200 || body != "answer to just-read" {
					t.Errorf("status %d, body %q", status, body)
				}
			})
		}
	}
}

// At the shutdown deadline a request whose endpoint never responds must get an error response at once. Later requests on the connection
// must each get 503 at once and must not be forwarded.
func TestRequestsAfterShutdownDeadlineAreRejected(t *testing.T) {
	t.Parallel()
	arrived := make(chan *lbtest.Arrival, 8)
	server := startTestServer(t, 8, 1<<20, false, func(a *lbtest.Arrival) { arrived <- a })
	c := server.connectAndSend(t, lbtest.Get("held"))
	<-arrived
	server.engine.ShutDownBy(time.Now())
	if status, _ := c.Response(); status < 500 {
		t.Errorf("request in flight at the deadline: status %d, want 5xx", status)
	}
	for _, text := range []string{lbtest.Get("late"), lbtest.Post("late-2", "x")} {
		c.Send(text)
		if status, _ := c.Response(); status != 503 {
			t.Errorf("request after the deadline: status %d, want 503, as it was not forwarded", status)
		}
	}
	if got := strings.Join(server.requestIDs(), " "); got != "held" {
		t.Errorf("endpoints got requests %q, want the first one alone", got)
	}
}
