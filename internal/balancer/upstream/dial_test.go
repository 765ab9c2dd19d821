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

// controlledDialer has the test decide when each connection comes up, and whether.
type controlledDialer struct{ started chan *controlledDial }

type controlledDial struct {
	proceed chan error
	ended   chan struct{} // closed when it has ended
}

func (d *controlledDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	one := &controlledDial{make(chan error, 1), make(chan struct{})}
	d.started <- one
	defer close(one.ended)
	select {
	case err := <-one.proceed:
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newControlledClient(again bool) (*controlledDialer, *Client) {
	d := &controlledDialer{make(chan *controlledDial, 8)}
	return d, NewClient(Options{DialTimeout: 2 * lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 64, HedgeDials: again, Dial: d.dial})
}

type attemptResult struct {
	verdict lbpolicy.Verdict
	body    string
}

func startRequest(ctx context.Context, p *Pool, id string) chan attemptResult {
	came := make(chan attemptResult, 1)
	go func() {
		v, a, _ := p.Do(ctx, newRequest(id), &Receipt{}, alwaysClaim)
		if a == nil {
			a = &Response{}
		}
		came <- attemptResult{v, string(a.Body)}
	}()
	return came
}

// A connection that is late holds an attempt up no longer than a second one takes. The request is written once; the late
// connection stands idle, and is used by the next.
func TestLateDialIsHedged(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { got.Add(1); a.OK() })
	d, c := newControlledClient(true)
	p := c.Pool(e.Addr)
	defer p.Close()
	came := startRequest(t.Context(), p, "one")
	first := <-d.started
	second := <-d.started // the first is late
	second.proceed <- nil
	if r := <-came; r.verdict != lbpolicy.OK || r.body != "answer to one" {
		t.Fatalf("got %+v", r)
	}
	first.proceed <- nil
	lbtest.Until(t, "two idle connections", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(p.idle) == 2 && p.openConns == 2 && c.openConns == 2
	})
	if r := <-startRequest(t.Context(), p, "two"); r.verdict != lbpolicy.OK || len(d.started) > 0 {
		t.Errorf("got %+v, %d more connections begun", r, len(d.started))
	}
	if n := got.Load(); n != 2 {
		t.Errorf("%d requests at the endpoint", n)
	}
}

// All ends of two connections give their places back, and the attempt has the end that is true of both.
func TestHedgedDialReleasesUnusedSlots(t *testing.T) {
	t.Parallel()
	refused := errors.New("refused")
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	for name, end := range map[string]func(first, second *controlledDial, give func()) (want lbpolicy.Verdict, open int){
		"both fail": func(f, s *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			f.proceed <- refused
			s.proceed <- refused
			return lbpolicy.ConnectFailed, 0
		},
		"the first fails": func(f, s *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			f.proceed <- refused
			<-f.ended
			s.proceed <- nil
			return lbpolicy.OK, 1
		},
		"the second fails": func(f, s *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			s.proceed <- refused
			<-s.ended
			f.proceed <- nil
			return lbpolicy.OK, 1
		},
		"given up": func(f, s *controlledDial, give func()) (lbpolicy.Verdict, int) {
			give()
			return lbpolicy.ConnectFailed, 0
		},
		"given up as the first fails": func(f, s *controlledDial, give func()) (lbpolicy.Verdict, int) {
			f.proceed <- refused
			<-f.ended
			give()
			return lbpolicy.ConnectFailed, 0
		},
		"the late one fails after it": func(f, s *controlledDial, _ func()) (lbpolicy.Verdict, int) {
			s.proceed <- nil
			<-s.ended
			f.proceed <- refused
			return lbpolicy.OK, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, c := newControlledClient(true)
			p := c.Pool(e.Addr)
			defer p.Close()
			ctx, give := context.WithCancel(t.Context())
			defer give()
			came := startRequest(ctx, p, "one")
			first, second := <-d.started, <-d.started
			want, open := end(first, second, give)
			if r := <-came; r.verdict != want {
				t.Errorf("verdict %d, want %d", r.verdict, want)
			}
			lbtest.Until(t, "places are given back", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return p.openConns == open && c.openConns == open && len(p.idle) == open
			})
		})
	}
}

// Second connections are a part of all at the most, so that slow endpoints are not burdened by twice as many.
func TestHedgedDialsAreLimitedByBudget(t *testing.T) {
	t.Parallel()
	d, c := newControlledClient(true)
	p := c.Pool("127.0.0.1:1")
	defer p.Close()
	c.dials.budget = 0
	ctx, give := context.WithCancel(t.Context())
	one := startRequest(ctx, p, "one") // brings half of one
	<-d.started
	two := startRequest(ctx, p, "two")
	<-d.started
	<-d.started // the one that both have brought
	give()
	<-one
	<-two
	if n := len(d.started); n > 0 || c.dials.budget >= 1 {
		t.Errorf("%d more were begun, %.1f are left", n, c.dials.budget)
	}
}

// A second answer that is written late, after the next request has come, is not taken for that one's answer: a connection
// is left alone for a while after an answer where another can be had. Here it always comes then.
func TestLateDuplicateResponseIsNotTakenForNextRequest(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index > 0 {
			a.Write([]byte(lbtest.OK("answer to one"))) // once more, behind the request that it does not belong to
		}
		a.OK()
	})
	c := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: 10 * lbtest.Wait, SettleTime: 5 * lbtest.Wait, MaxConns: 64})
	p := c.Pool(e.Addr)
	defer p.Close()
	for _, id := range strings.Fields("one two three") {
		if v, body := sendRequest(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("%s: verdict %d, %q", id, v, body)
		}
	}
	if n := c.OpenConns(); n != 3 {
		t.Errorf("%d connections", n)
	}
}

// Where there is no place for another connection one that has not settled is used: the request would fail else.
func TestUnsettledConnectionIsReusedAtConnectionLimit(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	c := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: 10 * lbtest.Wait, SettleTime: 5 * lbtest.Wait, MaxConns: 1})
	p := c.Pool(e.Addr)
	defer p.Close()
	for _, id := range strings.Fields("one two") {
		if v, body := sendRequest(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("%s: verdict %d, %q", id, v, body)
		}
	}
}
