package frontend_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// HTTP requires these responses to other versions, to malformed request lines and Host headers, and to Connection and Expect headers.
func TestHTTPVersionsAndConnectionHeaders(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	_, addr := startServer(t, e.Addr, 32)
	for name, c := range map[string]struct {
		text string
		want string // prefix of the response
		ends bool   // the connection is closed after the response
	}{
		"HTTP/1.0":                  {strings.Replace(lbtest.Get("a"), "HTTP/1.1", "HTTP/1.0", 1), "HTTP/1.1 200 OK\r\n", true},
		"a close is requested":      {lbtest.Get("b", "Connection: close"), "HTTP/1.1 200 OK\r\n", true},
		"HTTP/2":                    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 505 ", true},
		"no version":                {"GET /read\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"four words":                {"GET /read x HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"no host":                   {"GET /read HTTP/1.1\r\nX-Request-ID: c\r\n\r\n", "HTTP/1.1 400 ", true},
		"two hosts":                 {lbtest.Get("d", "Host: other"), "HTTP/1.1 400 ", true},
		"a method that is no token": {"G@T /read HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"an unknown expectation":    {lbtest.Get("e", "Expect: wonders"), "HTTP/1.1 417 ", true},
		"bytes beyond ASCII":        {strings.Replace(lbtest.Get("f"), "/read", "/read/\xff", 1), "HTTP/1.1 400 ", true},
		"100-continue is expected": {lbtest.Head("POST", "write", "g", "Idempotency-Key: k", "Content-Length: 2", "Expect: 100-continue", "Connection: close"),
			"HTTP/1.1 100 Continue\r\n\r\n", false},
		"ready": {"GET /health/ready?x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := lbtest.Dial(t, addr)
			conn.Send(c.text)
			if c.ends {
				if got := conn.AwaitClose(); !strings.HasPrefix(got, c.want) || strings.Count(got, "HTTP/1.1 ") != 1 || !strings.Contains(got, "\r\nConnection: close") {
					t.Errorf("got %q, want one response that begins with %q, has Connection: close, and is followed by the close", got, c.want)
				}
				return
			}
			got := make([]byte, len(c.want))
			if _, err := conn.Read(got); err != nil || string(got) != c.want {
				t.Fatalf("got %q, error %v, want 100 Continue", got, err)
			}
			conn.Send("ok")
			if status, _ := conn.Response(); status != 200 {
				t.Errorf("status %d, want 200", status)
			}
		})
	}
}

// Pipelined requests must be answered in order, regardless of how the bytes are split into writes.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	_, addr := startServer(t, e.Addr, 8)
	var text string
	for i := range 20 {
		if i%3 == 0 {
			text += lbtest.Post(fmt.Sprint("p", i), strings.Repeat("b", i*100))
		} else {
			text += lbtest.Get(fmt.Sprint("p", i), "X-Pad: "+strings.Repeat("h", i*50))
		}
	}
	for _, cut := range []int{len(text), 1500, 97} {
		c := lbtest.Dial(t, addr)
		go func() {
			for rest := strings.ReplaceAll(text, "X-Request-ID: p", fmt.Sprintf("X-Request-ID: c%d-", cut)); rest != ""; {
				n := min(cut, len(rest))
				c.Send(rest[:n])
				rest = rest[n:]
			}
		}()
		for i := range 20 {
			if status, body := c.Response(); status != 200 || body != fmt.Sprintf("answer to c%d-%d", cut, i) {
				t.Fatalf("writes of %d bytes, request %d: status %d, body %q", cut, i, status, body)
			}
		}
	}
}

// A disconnect while a request is in flight must cancel the attempt and release the connection. A client that stays connected must not be
// affected by the watch for a disconnect, and its next request must be read completely.
func TestDisconnectCancelsAttempt(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 8)
	leaving, staying := lbtest.Dial(t, addr), lbtest.Dial(t, addr)
	leaving.Send(lbtest.Get("goes"))
	cancelled := <-e.Arrivals
	staying.Send(lbtest.Get("stays"))
	delayed := <-e.Arrivals
	time.Sleep(100 * time.Millisecond) // the watch has started by then; if it has not, the test checks less but does not fail
	staying.Send(lbtest.Get("next"))   // arrives while the watch is running
	leaving.Close()
	cancelled.SetReadDeadline(time.Now().Add(lbtest.Wait))
	if n, err := cancelled.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the attempt of a disconnected client was not cancelled")
	}
	delayed.OK()
	if status, body := staying.Response(); status != 200 || body != "answer to stays" {
		t.Errorf("status %d, body %q", status, body)
	}
	(<-e.Arrivals).OK()
	if status, body := staying.Response(); status != 200 || body != "answer to next" {
		t.Errorf("status %d, body %q", status, body)
	}
	lbtest.Until(t, "only the connected client's connection open", func() bool { return s.Conns() == 1 })
}
