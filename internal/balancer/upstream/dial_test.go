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

// dials has the test decide when each connection comes up, and whether.
type dials struct{ began chan *oneDial }

type oneDial struct {
	goOn chan error
	over chan struct{} // closed when it has ended
}

func (d *dials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	one := &oneDial{make(chan error, 1), make(chan struct{})}
	d.began <- one
	defer close(one.over)
	select {
	case err := <-one.goOn:
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newDials(again bool) (*dials, *Client) {
	d := &dials{make(chan *oneDial, 8)}
	return d, NewClient(Options{DialTimeout: 2 * lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 64, HedgeDials: again, Dial: d.dial})
}

type result struct {
	v    lbpolicy.Verdict
	body string
}

func begin(ctx context.Context, p *Pool, id string) chan result {
	came := make(chan result, 1)
	go func() {
		v, a, _ := p.Do(ctx, request(id), &Receipt{}, yes)
		if a == nil {
			a = &Response{}
		}
		came <- result{v, string(a.Body)}
	}()
	return came
}

// A connection that is late holds an attempt up no longer than a second one takes. The request is written once; the late
// connection stands idle, and is used by the next.
func TestLateDial(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { got.Add(1); a.OK() })
	d, c := newDials(true)
	p := c.Pool(e.Addr)
	defer p.Close()
	came := begin(t.Context(), p, "one")
	first := <-d.began
	second := <-d.began // the first is late
	second.goOn <- nil
	if r := <-came; r.v != lbpolicy.OK || r.body != "answer to one" {
		t.Fatalf("got %+v", r)
	}
	first.goOn <- nil
	lbtest.Until(t, "two idle connections", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(p.idle) == 2 && p.openConns == 2 && c.openConns == 2
	})
	if r := <-begin(t.Context(), p, "two"); r.v != lbpolicy.OK || len(d.began) > 0 {
		t.Errorf("got %+v, %d more connections begun", r, len(d.began))
	}
	if n := got.Load(); n != 2 {
		t.Errorf("%d requests at the endpoint", n)
	}
}

// All ends of two connections give their places back, and the attempt has the end that is true of both.
func TestLateDialEnds(t *testing.T) {
	t.Parallel()
	refused := errors.New("refused")
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	for name, end := range map[string]func(first, second *oneDial, give func()) (want lbpolicy.Verdict, open int){
		"both fail": func(f, s *oneDial, _ func()) (lbpolicy.Verdict, int) {
			f.goOn <- refused
			s.goOn <- refused
			return lbpolicy.ConnectFailed, 0
		},
		"the first fails": func(f, s *oneDial, _ func()) (lbpolicy.Verdict, int) {
			f.goOn <- refused
			<-f.over
			s.goOn <- nil
			return lbpolicy.OK, 1
		},
		"the second fails": func(f, s *oneDial, _ func()) (lbpolicy.Verdict, int) {
			s.goOn <- refused
			<-s.over
			f.goOn <- nil
			return lbpolicy.OK, 1
		},
		"given up": func(f, s *oneDial, give func()) (lbpolicy.Verdict, int) { give(); return lbpolicy.ConnectFailed, 0 },
		"given up as the first fails": func(f, s *oneDial, give func()) (lbpolicy.Verdict, int) {
			f.goOn <- refused
			<-f.over
			give()
			return lbpolicy.ConnectFailed, 0
		},
		"the late one fails after it": func(f, s *oneDial, _ func()) (lbpolicy.Verdict, int) {
			s.goOn <- nil
			<-s.over
			f.goOn <- refused
			return lbpolicy.OK, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, c := newDials(true)
			p := c.Pool(e.Addr)
			defer p.Close()
			ctx, give := context.WithCancel(t.Context())
			defer give()
			came := begin(ctx, p, "one")
			first, second := <-d.began, <-d.began
			want, open := end(first, second, give)
			if r := <-came; r.v != want {
				t.Errorf("verdict %d, want %d", r.v, want)
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
func TestLateDialBudget(t *testing.T) {
	t.Parallel()
	d, c := newDials(true)
	p := c.Pool("127.0.0.1:1")
	defer p.Close()
	c.dials.budget = 0
	ctx, give := context.WithCancel(t.Context())
	one := begin(ctx, p, "one") // brings half of one
	<-d.began
	two := begin(ctx, p, "two")
	<-d.began
	<-d.began // the one that both have brought
	give()
	<-one
	<-two
	if n := len(d.began); n > 0 || c.dials.budget >= 1 {
		t.Errorf("%d more were begun, %.1f are left", n, c.dials.budget)
	}
}

// A second answer that is written late, after the next request has come, is not taken for that one's answer: a connection
// is left alone for a while after an answer where another can be had. Here it always comes then.
func TestLateSecondAnswer(t *testing.T) {
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
		if v, body := do(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("%s: verdict %d, %q", id, v, body)
		}
	}
	if n := c.OpenConns(); n != 3 {
		t.Errorf("%d connections", n)
	}
}

// Where there is no place for another connection one that has not settled is used: the request would fail else.
func TestUnsettled(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	c := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: 10 * lbtest.Wait, SettleTime: 5 * lbtest.Wait, MaxConns: 1})
	p := c.Pool(e.Addr)
	defer p.Close()
	for _, id := range strings.Fields("one two") {
		if v, body := do(t, p, id); v != lbpolicy.OK || body != "answer to "+id {
			t.Errorf("%s: verdict %d, %q", id, v, body)
		}
	}
}
