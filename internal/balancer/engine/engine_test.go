package engine

import (
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

func newEngine(t *testing.T) *Engine {
	t.Helper()
	return newEngineWithLog(t, io.Discard)
}

func newEngineWithLog(t *testing.T, log io.Writer) *Engine {
	t.Helper()
	c, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	h, err := New(Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Watch: func() {},
		Client: upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64}), Log: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func listEntry(address, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Name: "s", Address: address, Zone: "a", Status: status}
}

func beginGet(h *Engine, id string, left time.Duration) *Call {
	return h.Begin(upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {id}}},
		lbpolicy.Request{Class: 0, TimeLeft: left}, nil)
}

func awaitResult(t *testing.T, c *Call) Result {
	t.Helper()
	select {
	case a := <-c.Result():
		return a
	case <-time.After(lbtest.Wait):
		t.Fatal("no answer")
		panic("unreachable")
	}
}

// A fault in a decision ends neither the process nor the answer that a caller is owed.
func TestPanicInEventStillGivesResult(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	h := newEngine(t)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	held := beginGet(h, "one", 2*time.Second)
	<-e.Arrivals
	h.processEvent(func(time.Duration) { panic("a fault") })
	h.mu.Lock()
	h.balancer = nil // every decision from now on fails
	h.mu.Unlock()
	if a := awaitResult(t, held); a.Response != nil || a.Rejected {
		t.Errorf("got %+v", a)
	}
	if a := awaitResult(t, beginGet(h, "two", time.Millisecond)); a.Response != nil || a.Rejected {
		t.Errorf("got %+v", a)
	}
	lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
}

// Whatever else can't be read of it, an endpoint that drains gets nothing new; nor does one at the address that the
// list gave before.
func TestDrainingOrMovedEndpointGetsNoAttempt(t *testing.T) {
	first := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	second := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	h := newEngine(t)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(first.Addr, "ready")})
	if a := awaitResult(t, beginGet(h, "one", lbtest.Wait)); a.Response == nil {
		t.Fatal("not served")
	}
	h.mu.Lock()
	var s *endpoint
	for _, s = range h.endpoints {
	}
	stale := &attempt{server: s, pool: s.pool}
	h.mu.Unlock()
	whole := upstream.Request{Deadline: time.Now().Add(lbtest.Wait)}
	if !h.claimDispatch(&Call{request: whole}, stale) {
		t.Error("a ready endpoint's attempt may not go out")
	}
	if h.claimDispatch(&Call{request: whole, done: true}, stale) {
		t.Error("an attempt may go out for a call that has its answer")
	}
	if h.claimDispatch(&Call{request: upstream.Request{Deadline: time.Now()}}, stale) {
		t.Error("an attempt may go out when the deadline is over, as after a pause of the process")
	}
	h.UpdateEndpoints(lbpolicy.Delta, []endpointlist.Endpoint{listEntry(second.Addr, "ready")})
	if h.claimDispatch(&Call{request: whole}, stale) {
		t.Error("an attempt may go out to the old address")
	}
	h.UpdateEndpoints(lbpolicy.Delta, []endpointlist.Endpoint{listEntry("nowhere", "draining")})
	if a := awaitResult(t, beginGet(h, "two", lbtest.Wait)); !a.Rejected {
		t.Errorf("sent to an endpoint that drains: %+v", a)
	}
}

// A call with less time than its class takes is refused at once and sent nowhere, so that it costs no tier any work;
// one with enough time is served as ever.
func TestCallWithTooLittleTimeIsRejected(t *testing.T) {
	t.Parallel()
	const takes, short = 400 * time.Millisecond, 300 * time.Millisecond
	var got atomic.Int64
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		got.Add(1)
		time.Sleep(takes) // more does no harm
		a.OK()
	})
	h := newEngine(t)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	for range 8 { // long enough for the quiet latency to be learnt too
		var calls []*Call
		for range 4 {
			calls = append(calls, beginGet(h, "long", lbtest.Wait))
		}
		for _, c := range calls {
			if a := awaitResult(t, c); a.Response == nil {
				t.Fatalf("not served: %+v", a)
			}
		}
	}
	before := got.Load()
	for range 5 {
		if a := awaitResult(t, beginGet(h, "short", short)); !a.Rejected || a.RetryAfter != 0 {
			t.Errorf("got %+v", a)
		}
	}
	if a := awaitResult(t, beginGet(h, "last", lbtest.Wait)); a.Response == nil {
		t.Errorf("not served: %+v", a)
	}
	if n := got.Load() - before; n != 1 {
		t.Errorf("%d calls came to the endpoint, not one", n)
	}
}

// Callers in a hurry put no server out: each of them has waited for less than an answer usually takes. Calls that
// together have waited long do.
func TestShortDeadlinesEjectNoEndpoint(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	var log lbtest.Log
	h := newEngineWithLog(t, &log)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	for range 2 {
		c := beginGet(h, "hurried", 700*time.Millisecond) // the decisions start from a latency of 1.25 s
		select {
		case held := <-e.Arrivals:
			awaitResult(t, c)
			held.Close()
		case <-time.After(lbtest.Wait):
			t.Fatalf("not sent: %s", log.String())
		}
	}
	if log.Contains("silent") {
		t.Errorf("put out for callers in a hurry: %s", log.String())
	}
	for range 12 {
		beginGet(h, "patient", lbtest.Wait)
	}
	lbtest.Until(t, "a silent server out", func() bool {
		beginGet(h, "another", time.Millisecond) // decisions come with events
		return log.Contains("silent")
	})
}

func TestParseLoad(t *testing.T) {
	for text, ok := range map[string]bool{"util=0.5": true, "qps=7, util=1.2": true, "util=0": true, "util=-1": false,
		"util=1e30": false, "util=NaN": false, "util=Inf": false, "util=": false, "%%%": false, `{"`: false, "=,=": false,
		"qps=1": false, "util=500": false} {
		if got := parseLoad(text, []string{"util"}) != nil; got != ok {
			t.Errorf("%q: %t", text, got)
		}
	}
}
