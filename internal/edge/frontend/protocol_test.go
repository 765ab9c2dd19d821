package frontend_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// What the protocol asks of a server beside plain requests.
func TestProtocol(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	_, addr := startServer(t, e.Addr, 32)
	for name, c := range map[string]struct {
		text string
		want string // what the answer begins with
		ends bool
	}{
		"HTTP/1.0":                  {strings.Replace(lbtest.Get("a"), "HTTP/1.1", "HTTP/1.0", 1), "HTTP/1.1 200 OK\r\n", true},
		"told to close":             {lbtest.Get("b", "Connection: close"), "HTTP/1.1 200 OK\r\n", true},
		"HTTP/2":                    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 505 ", true},
		"no version":                {"GET /read\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"four words":                {"GET /read x HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"no host":                   {"GET /read HTTP/1.1\r\nX-Request-ID: c\r\n\r\n", "HTTP/1.1 400 ", true},
		"two hosts":                 {lbtest.Get("d", "Host: other"), "HTTP/1.1 400 ", true},
		"a method that is no token": {"G@T /read HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400 ", true},
		"an unknown expectation":    {lbtest.Get("e", "Expect: wonders"), "HTTP/1.1 417 ", true},
		"bytes beyond ASCII":        {strings.Replace(lbtest.Get("f"), "/read", "/read/\xff", 1), "HTTP/1.1 400 ", true},
		"expects to be asked": {lbtest.Head("POST", "write", "g", "Idempotency-Key: k", "Content-Length: 2", "Expect: 100-continue", "Connection: close"),
			"HTTP/1.1 100 Continue\r\n\r\n", false},
		"ready": {"GET /health/ready?x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := lbtest.Dial(t, addr)
			conn.Send(c.text)
			if c.ends {
				if got := conn.AwaitClose(); !strings.HasPrefix(got, c.want) || strings.Count(got, "HTTP/1.1 ") != 1 || !strings.Contains(got, "\r\nConnection: close") {
					t.Errorf("got %q, want %q and the end", got, c.want)
				}
				return
			}
			got := make([]byte, len(c.want))
			if _, err := conn.Read(got); err != nil || string(got) != c.want {
				t.Fatalf("got %q, %v", got, err)
			}
			conn.Send("ok")
			if status, _ := conn.Response(); status != 200 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// Several requests written at once are answered one after the other, whatever the cuts between the writes.
func TestPipelined(t *testing.T) {
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
				t.Fatalf("cuts of %d, request %d: %d %q", cut, i, status, body)
			}
		}
	}
}

// A client that goes is noticed while its request is in flight: the attempt is given up and nothing is held. One that
// stays is not disturbed by the watch, and its next request is read whole.
func TestCallerGoes(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 8)
	goes, stays := lbtest.Dial(t, addr), lbtest.Dial(t, addr)
	goes.Send(lbtest.Get("goes"))
	left := <-e.Arrivals
	stays.Send(lbtest.Get("stays"))
	held := <-e.Arrivals
	time.Sleep(100 * time.Millisecond) // the watch has begun; less does no harm
	stays.Send(lbtest.Get("next"))     // comes while the watch looks on
	goes.Close()
	left.SetReadDeadline(time.Now().Add(lbtest.Wait))
	if n, err := left.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the attempt of a caller that has gone is still out")
	}
	held.OK()
	if status, body := stays.Response(); status != 200 || body != "answer to stays" {
		t.Errorf("%d %q", status, body)
	}
	(<-e.Arrivals).OK()
	if status, body := stays.Response(); status != 200 || body != "answer to next" {
		t.Errorf("%d %q", status, body)
	}
	lbtest.Until(t, "one connection", func() bool { return s.Conns() == 1 })
}
