package upstream

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// controlledDialer lets a test decide when each dial ends, and whether it succeeds.
type controlledDialer struct{ started chan *controlledDial }

// controlledDial is one dial of a controlledDialer. A nil error on proceed lets it connect; another error makes it fail.
type controlledDial struct {
	proceed chan error
	ended   chan struct{} // closed when the dial has ended
}

func (d *controlledDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dial := &controlledDial{make(chan error, 1), make(chan struct{})}
	d.started <- dial
	defer close(dial.ended)
	select {
	case err := <-dial.proceed:
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newControlledClient returns a client whose dials are decided by the returned dialer. hedge sets Options.HedgeDials.
func newControlledClient(hedge bool) (*controlledDialer, *Client) {
	d := &controlledDialer{make(chan *controlledDial, 8)}
	return d, NewClient(Options{DialTimeout: 2 * lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 64, HedgeDials: hedge, Dial: d.dial})
}

type attemptResult struct {
	verdict lbpolicy.Verdict
	body    string
}

// startRequest sends a request in a goroutine of its own, and returns a channel that receives the result.
func startRequest(ctx context.Context, p *Pool, id string) chan attemptResult {
	results := make(chan attemptResult, 1)
	go func() {
		verdict, response, _ := p.Do(ctx, newRequest(id), &AttemptProgress{}, alwaysClaim)
		if response == nil {
			response = &Response{}
		}
		results <- attemptResult{verdict, string(response.Body)}
	}()
	return results
}

// A late dial delays an attempt only until a second dial has connected. The request is written once. The connection of the late dial
// becomes idle, and is used by the next request.
func TestLateDialIsHedged(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { received.Add(1); a.OK() })
	d, c := newControlledClient(true)
	p := c.Pool(e.Addr)
	defer p.Close()
	results := startRequest(t.Context(), p, "one")
	first := <-d.started
	second := <-d.started // starts because the first dial is late
	second.proceed <- nil
	if r := <-results; r.verdict != lbpolicy.OK || r.body != "answer to one" {
		t.Fatalf("first request: got %+v, want a successful response", r)
	}
	first.proceed <- nil
	lbtest.Until(t, "two idle connections", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(p.idle) == 2 && p.openConns == 2 && c.openConns == 2
	})
	if r := <-startRequest(t.Context(), p, "two"); r.verdict != lbpolicy.OK || len(d.started) > 0 {
		t.Errorf("second request: got %+v and %d more dials, want a successful response and no dial", r, len(d.started))
	}
	if n := received.Load(); n != 2 {
		t.Errorf("endpoint received %d requests, want 2", n)
	}
}

// However two dials of one attempt end, the slots without a connection are released. The attempt fails to connect only if both dials
// fail or the attempt is cancelled.
func TestHedgedDialReleasesUnusedSlots(t *testing.T) {
	t.Parallel()
	errRefused := errors.New("refused")
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	for name, end := range map[string]func(first, second *controlledDial, cancel func()) (want lbpolicy.Verdict, openConns int){
		"both fail": func(first, second *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			first.proceed <- errRefused
			second.proceed <- errRefused
			return lbpolicy.ConnectFailed, 0
		},
		"the first fails": func(first, second *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			first.proceed <- errRefused
			<-first.ended
			second.proceed <- nil
			return lbpolicy.OK, 1
		},
		"the second fails": func(first, second *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			second.proceed <- errRefused
			<-second.ended
			first.proceed <- nil
			return lbpolicy.OK, 1
		},
		"attempt cancelled": func(first, second *controlledDial, cancel func()) (lbpolicy.Verdict, int) {
			cancel()
			return lbpolicy.ConnectFailed, 0
		},
		"attempt cancelled after the first fails": func(first, second *controlledDial, cancel func()) (lbpolicy.Verdict, int) {
			first.proceed <- errRefused
			<-first.ended
			cancel()
			return lbpolicy.ConnectFailed, 0
		},
		"the first fails after the second connects": func(first, second *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			second.proceed <- nil
			<-second.ended
			first.proceed <- errRefused
			return lbpolicy.OK, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, c := newControlledClient(true)
			p := c.Pool(e.Addr)
			defer p.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			results := startRequest(ctx, p, "one")
			first, second := <-d.started, <-d.started
			want, openConns := end(first, second, cancel)
			if r := <-results; r.verdict != want {
				t.Errorf("verdict %d, want %d", r.verdict, want)
			}
			lbtest.Until(t, "unused slots are released", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return p.openConns == openConns && c.openConns == openConns && len(p.idle) == openConns
			})
		})
	}
}

// The budget limits second dials to a fraction of the first dials, so that slow endpoints do not get twice as many connections.
func TestHedgedDialsAreLimitedByBudget(t *testing.T) {
	t.Parallel()
	d, c := newControlledClient(true)
	p := c.Pool("127.0.0.1:1")
	defer p.Close()
	c.dials.budget = 0
	ctx, cancel := context.WithCancel(t.Context())
	one := startRequest(ctx, p, "one") // adds hedgeBudgetRatio, one half, to the budget
	<-d.started
	two := startRequest(ctx, p, "two")
	<-d.started
	<-d.started // the second dial that the budget of both requests allows
	cancel()
	<-one
	<-two
	if n := len(d.started); n > 0 || c.dials.budget >= 1 {
		t.Errorf("%d more second dials, budget %.1f left; want none and less than 1", n, c.dials.budget)
	}
}

// An endpoint may write a duplicate response late, after the next request has arrived on the same connection. SettleTime keeps the
// duplicate from being taken for the response to that request: a connection is not reused for a while after a response if a new
// connection is possible. The endpoint of this test writes a duplicate before each response on a reused connection.
func TestLateDuplicateResponseIsNotTakenForNextRequest(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index > 0 {
			a.Write([]byte(lbtest.OK("answer to one"))) // a duplicate of the first response, after another request
		}
		a.OK()
	})
	c := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: 10 * lbtest.Wait, SettleTime: 5 * lbtest.Wait, MaxConns: 64})
	p := c.Pool(e.Addr)
	defer p.Close()
	for _, id := range strings.Fields("one two three") {
		if v, body := sendRequest(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("request %s: verdict %d, body %q", id, v, body)
		}
	}
	if n := c.OpenConns(); n != 3 {
		t.Errorf("%d connections are open, want 3", n)
	}
}

// At the connection limit, a connection is reused before SettleTime has passed. Otherwise the request would fail.
func TestUnsettledConnectionIsReusedAtConnectionLimit(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	c := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: 10 * lbtest.Wait, SettleTime: 5 * lbtest.Wait, MaxConns: 1})
	p := c.Pool(e.Addr)
	defer p.Close()
	for _, id := range strings.Fields("one two") {
		if v, body := sendRequest(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("request %s: verdict %d, body %q", id, v, body)
		}
	}
}
