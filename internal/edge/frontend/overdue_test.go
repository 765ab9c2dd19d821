package frontend_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/testkit/lbtest"
)

// exchangeTimeout is the timeout of the requests of a fakeExchange.
const exchangeTimeout = 300 * time.Millisecond

// lateResponseBound is how late a response may be (the platform's STANDING page).
const lateResponseBound = 500 * time.Millisecond

// fakeExchange serves requests with do, and replies to them with reply.
type fakeExchange struct {
	do     func(ctx context.Context) engine.Result
	reply  func() *frontend.Reply
	bodies int64 // bytes of memory for bodies
}

func (x *fakeExchange) Route(*http.Request) (frontend.Exchange, *frontend.Reply) { return x, nil }
func (x *fakeExchange) BodyBudget() frontend.Budget                              { return semaphore.NewWeighted(x.bodies) }
func (x *fakeExchange) Timeout() time.Duration                                   { return exchangeTimeout }
func (x *fakeExchange) Do(ctx context.Context, _ []byte, _ time.Time) engine.Result {
	return x.do(ctx)
}
func (x *fakeExchange) Reply(engine.Result) *frontend.Reply { return x.reply() }
func (x *fakeExchange) Delivered(frontend.Delivery)         {}
func (x *fakeExchange) Close()                              {}

// noReply keeps the server's response.
func noReply() *frontend.Reply { return nil }

// startFakeServer starts a server whose exchanges are x, and returns its address.
func startFakeServer(t *testing.T, x *fakeExchange) string {
	t.Helper()
	l := lbtest.Listen(t)
	s := frontend.New(x, l, admission.SingleGroup(16), log.New(io.Discard, "", 0))
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// A request is left unanswered when its exchange is blocked beyond the deadline, whatever blocks it.
func TestBlockedExchangeLeavesNoRequestUnanswered(t *testing.T) {
	t.Parallel()
	block := func(t *testing.T) (wait func()) {
		t.Helper()
		released := make(chan struct{})
		t.Cleanup(func() { close(released) })
		return func() { <-released }
	}
	for name, exchange := range map[string]func(wait func()) *fakeExchange{
		"in Do": func(wait func()) *fakeExchange {
			return &fakeExchange{do: func(context.Context) engine.Result { wait(); return engine.Result{} }, reply: noReply}
		},
		"in Reply": func(wait func()) *fakeExchange {
			return &fakeExchange{do: func(context.Context) engine.Result { return engine.Result{} }, reply: func() *frontend.Reply { wait(); return nil }}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := lbtest.Dial(t, startFakeServer(t, exchange(block(t))))
			c.SetReadDeadline(time.Now().Add(exchangeTimeout + lateResponseBound))
			c.Send(lbtest.Get("blocked"))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no final response in time: %v", err)
			}
			if response.StatusCode != http.StatusBadGateway || !response.Close {
				t.Errorf("status %d, close %t; want 502, which promises nothing, and a close", response.StatusCode, response.Close)
			}
		})
	}
}

// A result that comes after the guard has responded must not become a second response.
func TestOverdueRequestGetsOneResponse(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	x := &fakeExchange{reply: noReply, do: func(ctx context.Context) engine.Result {
		<-ctx.Done() // the guard has responded
		close(ended)
		return engine.Result{}
	}}
	c := lbtest.Dial(t, startFakeServer(t, x))
	c.Send(lbtest.Get("overdue"))
	if status, _, closes := c.ResponseClosing(); status != http.StatusBadGateway || !closes {
		t.Errorf("status %d, close %t; want 502 and a close", status, closes)
	}
	<-ended
	if rest := c.AwaitClose(); rest != "" {
		t.Errorf("%q after the response", rest)
	}
}

// A received request is left unanswered while its body waits for memory beyond the deadline.
func TestRequestWithoutBodyMemoryIsRejectedInTime(t *testing.T) {
	t.Parallel()
	c := lbtest.Dial(t, startFakeServer(t, &fakeExchange{reply: noReply, bodies: 1}))
	c.SetReadDeadline(time.Now().Add(exchangeTimeout + lateResponseBound))
	c.Send(lbtest.Post("large", strings.Repeat("x", 8<<10)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no final response in time: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with a time, as nothing was sent", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// A request that was read is closed without an answer when its exchange panics.
func TestPanicLeavesNoRequestUnanswered(t *testing.T) {
	t.Parallel()
	x := &fakeExchange{reply: noReply, do: func(context.Context) engine.Result { panic("in the exchange") }}
	c := lbtest.Dial(t, startFakeServer(t, x))
	c.Send(lbtest.Get("panics"))
	if status, _, closes := c.ResponseClosing(); status != http.StatusBadGateway || !closes {
		t.Errorf("status %d, close %t; want 502 and a close", status, closes)
	}
}
