package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/testkit/lbtest"
)

// shutdownTime is the time of a shutdown. A client needs longer for the body of its request.
const shutdownTime = 200 * time.Millisecond

// endingServer is a server that is shut down as a process is: what has no response when Shutdown returns is cut off.
type endingServer struct {
	*frontend.Server
	addr string
}

func newEndingServer(t *testing.T, router frontend.Router) *endingServer {
	t.Helper()
	return newEndingServerWith(t, router, admission.SingleGroup(16))
}

func newEndingServerWith(t *testing.T, router frontend.Router, policy admission.Policy) *endingServer {
	t.Helper()
	l := lbtest.Listen(t)
	s := &endingServer{frontend.New(router, l, policy, log.New(io.Discard, "", 0)), l.Addr().String()}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s
}

// end shuts the server down as its process would end.
func (s *endingServer) end() {
	s.Shutdown(time.Now(), time.Now().Add(shutdownTime))
	s.Close()
}

// response reads a response within the time of a shutdown.
func response(t *testing.T, c *lbtest.Client) *http.Response {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(shutdownTime + lateResponseBound))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no final response in time: %v", err)
	}
	return r
}

// slowExchange is an exchange whose requests have more time than a shutdown leaves.
type slowExchange struct{ *fakeExchange }

func (x slowExchange) Route(*http.Request) (frontend.Exchange, *frontend.Reply) { return x, nil }
func (x slowExchange) Timeout() time.Duration                                   { return lbtest.Wait }

// notifyingRouter closes routed with its only request.
type notifyingRouter struct {
	exchange frontend.Exchange
	routed   chan struct{}
}

func (r notifyingRouter) Route(*http.Request) (frontend.Exchange, *frontend.Reply) {
	close(r.routed)
	return r.exchange, nil
}

// A request whose body is still received, or waits for memory, is left unanswered when the server ends.
func TestShutdownRejectsRequestWithoutWholeBody(t *testing.T) {
	t.Parallel()
	post := func(lines ...string) string { return lbtest.Head("POST", "write", "upload", lines...) }
	for name, c := range map[string]struct {
		bodies int64
		sent   string
	}{
		"body of known length":   {1 << 20, post("Content-Length: 8192") + strings.Repeat("x", 4<<10)},
		"body of unknown length": {1 << 20, post("Transfer-Encoding: chunked") + "5\r\nfirst\r\n"},
		"no byte of the body":    {1 << 20, post("Content-Length: 10")},
		"whole, without memory":  {1, post("Content-Length: 8192") + strings.Repeat("x", 8<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{})
			x := slowExchange{&fakeExchange{reply: noReply, bodies: c.bodies, do: func(context.Context) engine.Result {
				close(received)
				return engine.Result{}
			}}}
			router := notifyingRouter{x, make(chan struct{})}
			server := newEndingServer(t, router)
			client := lbtest.Dial(t, server.addr)
			client.Send(c.sent)
			<-router.routed
			go server.end()
			r := response(t, client)
			if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
				t.Errorf("status %d, Retry-After %q, close %t; want 503 with a time and a close, as nothing was forwarded",
					r.StatusCode, r.Header.Get("Retry-After"), r.Close)
			}
			select {
			case <-received:
				t.Error("the exchange got a request without its whole body")
			default:
			}
		})
	}
}

// A request whose exchange is blocked beyond the shutdown is left unanswered.
func TestShutdownRespondsForBlockedExchange(t *testing.T) {
	t.Parallel()
	started, released := make(chan struct{}), make(chan struct{})
	defer close(released)
	x := slowExchange{&fakeExchange{reply: noReply, do: func(context.Context) engine.Result {
		close(started)
		<-released
		return engine.Result{}
	}}}
	server := newEndingServer(t, x)
	c := lbtest.Dial(t, server.addr)
	c.Send(lbtest.Get("blocked"))
	<-started
	go server.end()
	if r := response(t, c); r.StatusCode != http.StatusBadGateway || !r.Close {
		t.Errorf("status %d, close %t; want 502, which promises nothing, and a close", r.StatusCode, r.Close)
	}
}

// A response that was written directly, without an exchange, must not be followed by another one when the server ends.
func TestShutdownAddsNoResponse(t *testing.T) {
	t.Parallel()
	server := newEndingServer(t, slowExchange{&fakeExchange{reply: noReply}})
	c := lbtest.Dial(t, server.addr)
	c.Send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\nGET /half")
	if status, _ := c.Response(); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d of the readiness check, want 503: the server is not ready", status)
	}
	go server.end()
	if rest := c.AwaitClose(); rest != "" {
		t.Errorf("%q after the response", rest)
	}
}

// A request on a connection that waits for admission, in the accept queue or for a slot, is left unanswered when the server ends.
func TestShutdownRejectsConnectionsThatWait(t *testing.T) {
	t.Parallel()
	blocking := admission.SingleGroup(1)
	waiting := admission.SingleGroup(1)
	waiting.BlockWhenFull = false
	waiting.MaxWait, waiting.MaxWaiting = lbtest.Wait, 8
	for name, c := range map[string]struct {
		policy       admission.Policy
		freesSlotsBy time.Duration
	}{"in the accept queue": {blocking, shutdownTime}, "for a slot": {waiting, lbtest.Wait}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engineEnd := make(chan struct{})
			started := make(chan struct{}, 8)
			x := slowExchange{&fakeExchange{reply: noReply, do: func(context.Context) engine.Result {
				started <- struct{}{}
				<-engineEnd
				return engine.Result{Rejected: true, RetryAfter: time.Second}
			}}}
			server := newEndingServerWith(t, x, c.policy)
			first := lbtest.Dial(t, server.addr)
			first.Send(lbtest.Get("first"))
			<-started
			var clients []*lbtest.Client
			for i := range 3 {
				c, err := lbtest.DialFrom(fmt.Sprint("127.0.0.", i+2), server.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				client := lbtest.NewClient(t, c)
				client.Send(lbtest.Get(fmt.Sprint("waiting-", i)))
				clients = append(clients, client)
			}
			time.AfterFunc(c.freesSlotsBy, func() { close(engineEnd) })
			go server.end()
			for _, c := range clients {
				if r := response(t, c); r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" {
					t.Errorf("status %d, Retry-After %q; want 503 with a time", r.StatusCode, r.Header.Get("Retry-After"))
				}
			}
		})
	}
}
