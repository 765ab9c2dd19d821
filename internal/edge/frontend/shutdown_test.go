package frontend_test

import (
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// awaitRead waits until the sidecar has read all that a client has written.
func (c *testClient) awaitRead(t *testing.T, size int64) {
	t.Helper()
	lbtest.Until(t, "it is read", func() bool { return c.serverConn.read.Load() >= size })
}

// A request of which a part had come when connections were closed is served once the rest has: on a new connection and on a
// kept one, whose state is idle until the head is whole.
func TestEndWithinHead(t *testing.T) {
	t.Parallel()
	for name, kept := range map[string]bool{"new": false, "kept": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startTestServer(t, 8, 1<<20, false, nil)
			text := lbtest.Get("slow")
			c, before := d.connectAndSend(t, ""), ""
			if kept {
				before = lbtest.Get("before")
				c.Send(before)
				if status, _ := c.Response(); status != 200 {
					t.Fatal(status)
				}
			}
			from := 0
			for _, n := range []int{20, 30} { // as the second piece is read the first one has been taken note of
				c.Send(text[from:n])
				c.awaitRead(t, int64(len(before)+n))
				from = n
			}
			idle := d.connectAndSend(t, "")
			idle.Send(lbtest.Get("idle"))
			if status, _ := idle.Response(); status != 200 {
				t.Fatal(status)
			}
			by := time.Now().Add(lbtest.Wait)
			d.engine.ShutDownBy(by)
			ended := make(chan struct{})
			go func() { d.Shutdown(time.Now(), by); close(ended) }()
			if rest := idle.AwaitClose(); rest != "" { // what stands idle has been closed
				t.Errorf("before the end came %q", rest)
			}
			c.Send(text[30:])
			if status, body := c.Response(); status != 200 || body != "answer to slow" {
				t.Errorf("%d %q", status, body)
			}
			<-ended
		})
	}
}

// At the last moment of an end what an endpoint holds and never answers gets its answer, and so does what comes on the
// connection from then on: one each, at once, and nothing of it goes out.
func TestEndHangs(t *testing.T) {
	t.Parallel()
	arrived := make(chan *lbtest.Arrival, 8)
	d := startTestServer(t, 8, 1<<20, false, func(a *lbtest.Arrival) { arrived <- a })
	c := d.connectAndSend(t, lbtest.Get("held"))
	<-arrived
	d.engine.ShutDownBy(time.Now())
	if status, _ := c.Response(); status < 500 {
		t.Errorf("held: %d", status)
	}
	for _, text := range []string{lbtest.Get("late"), lbtest.Post("late-2", "x")} {
		c.Send(text)
		if status, _ := c.Response(); status != 503 {
			t.Errorf("one that came after the end: %d, want a refusal, as nothing of it went out", status)
		}
	}
	if got := strings.Join(d.requestIDs(), " "); got != "held" {
		t.Errorf("endpoints got %q", got)
	}
}
