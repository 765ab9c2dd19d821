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
	engine, err := New(Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, PollDiscovery: func() {},
		Client: upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64}), Log: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	return engine
}

// listEntry returns the entry of endpoint "s" in zone "a".
func listEntry(address, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Name: "s", Address: address, Zone: "a", Status: status}
}

// beginGet begins a request of class 0 without an idempotency key.
func beginGet(engine *Engine, id string, left time.Duration) *Call {
	return engine.Begin(upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {id}}},
		lbpolicy.Request{Class: 0, TimeLeft: left}, nil)
}

func awaitResult(t *testing.T, c *Call) Result {
	t.Helper()
	select {
	case result := <-c.Result():
		return result
	case <-time.After(lbtest.Wait):
		t.Fatal("call has no result within lbtest.Wait")
		panic("unreachable")
	}
}

// A panic in the handler of an event must not end the process. Calls in progress and later ones still fail at their deadlines, without
// a promise that a retry is harmless.
func TestPanicInEventStillGivesResult(t *testing.T) {
	server := lbtest.NewEndpoint(t, nil)
	engine := newEngine(t)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	unanswered := beginGet(engine, "one", 2*time.Second)
	<-server.Arrivals
	engine.processEvent(func(time.Duration) { panic("injected by the test") })
	engine.mu.Lock()
	engine.balancer = nil // every event that reaches the policy panics from now on
	engine.mu.Unlock()
	if result := awaitResult(t, unanswered); result.Response != nil || result.Rejected {
		t.Errorf("call in progress during the panic: got %+v, want a failure", result)
	}
	if result := awaitResult(t, beginGet(engine, "two", time.Millisecond)); result.Response != nil || result.Rejected {
		t.Errorf("call begun after the panic: got %+v, want a failure", result)
	}
	lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
}

// A draining endpoint gets no new attempt, even if the rest of its list entry is invalid. After an endpoint has changed its address, no
// attempt that was decided on before is sent to the earlier address.
func TestDrainingOrMovedEndpointGetsNoAttempt(t *testing.T) {
	first := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.OK() })
	second := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.OK() })
	engine := newEngine(t)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(first.Addr, "ready")})
	if result := awaitResult(t, beginGet(engine, "one", lbtest.Wait)); result.Response == nil {
		t.Fatal("call to a ready endpoint got no response")
	}
	engine.mu.Lock()
	var s *endpoint
	for _, s = range engine.endpoints {
	}
	stale := &attempt{server: s, pool: s.pool}
	engine.mu.Unlock()
	whole := upstream.Request{Deadline: time.Now().Add(lbtest.Wait)}
	if !engine.claimDispatch(&Call{request: whole}, stale) {
		t.Error("claimDispatch = false for an attempt at a ready endpoint")
	}
	if engine.claimDispatch(&Call{request: whole, done: true}, stale) {
		t.Error("claimDispatch = true for a call that has its result")
	}
	if engine.claimDispatch(&Call{request: upstream.Request{Deadline: time.Now()}}, stale) {
		t.Error("claimDispatch = true after the deadline, as it can pass during a pause of the process")
	}
	engine.UpdateEndpoints(lbpolicy.Delta, []endpointlist.Endpoint{listEntry(second.Addr, "ready")})
	if engine.claimDispatch(&Call{request: whole}, stale) {
		t.Error("claimDispatch = true for an attempt to the earlier address")
	}
	engine.UpdateEndpoints(lbpolicy.Delta, []endpointlist.Endpoint{listEntry("nowhere", "draining")})
	if result := awaitResult(t, beginGet(engine, "two", lbtest.Wait)); !result.Rejected {
		t.Errorf("call with no endpoint but a draining one: got %+v, want a rejection", result)
	}
}

// A call with less time left than responses of its class take is rejected at once. It is not sent, so that it causes no work in any
// tier. A call with enough time left is still served.
func TestCallWithTooLittleTimeIsRejected(t *testing.T) {
	t.Parallel()
	const serviceTime, shortTimeLeft = 400 * time.Millisecond, 300 * time.Millisecond
	var received atomic.Int64
	server := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) {
		received.Add(1)
		time.Sleep(serviceTime) // a longer sleep does not change the results
		arrival.OK()
	})
	engine := newEngine(t)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	for range 8 { // enough calls for the policy to learn the latency without load too
		var calls []*Call
		for range 4 {
			calls = append(calls, beginGet(engine, "long", lbtest.Wait))
		}
		for _, c := range calls {
			if result := awaitResult(t, c); result.Response == nil {
				t.Fatalf("call with enough time left: got %+v, want a response", result)
			}
		}
	}
	before := received.Load()
	for range 5 {
		if result := awaitResult(t, beginGet(engine, "short", shortTimeLeft)); !result.Rejected || result.RetryAfter != 0 {
			t.Errorf("call with too little time left: got %+v, want a rejection without RetryAfter", result)
		}
	}
	if result := awaitResult(t, beginGet(engine, "last", lbtest.Wait)); result.Response == nil {
		t.Errorf("call with enough time left after the rejections: got %+v, want a response", result)
	}
	if n := received.Load() - before; n != 1 {
		t.Errorf("endpoint received %d calls, want 1", n)
	}
}

// Calls that end before a response usually arrives must not cause an ejection, because their short waits do not show that the endpoint
// is unresponsive. The endpoint is ejected as silent only after calls have waited long enough together.
func TestShortDeadlinesEjectNoEndpoint(t *testing.T) {
	t.Parallel()
	server := lbtest.NewEndpoint(t, nil)
	var log lbtest.Log
	engine := newEngineWithLog(t, &log)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	for range 2 {
		c := beginGet(engine, "hurried", 700*time.Millisecond) // the policy starts from an assumed latency of 1.25 s
		select {
		case arrival := <-server.Arrivals:
			awaitResult(t, c)
			arrival.Close()
		case <-time.After(lbtest.Wait):
			t.Fatalf("call not sent to the endpoint; log: %s", log.String())
		}
	}
	if log.Contains("silent") {
		t.Errorf("endpoint ejected after calls with short deadlines; log: %s", log.String())
	}
	for range 12 {
		beginGet(engine, "patient", lbtest.Wait)
	}
	lbtest.Until(t, "the endpoint is ejected as silent", func() bool {
		beginGet(engine, "another", time.Millisecond) // the policy takes decisions only when it gets an event
		return log.Contains("silent")
	})
}

func TestParseLoad(t *testing.T) {
	for text, ok := range map[string]bool{"util=0.5": true, "qps=7, util=1.2": true, "util=0": true, "util=-1": false,
		"util=1e30": false, "util=NaN": false, "util=Inf": false, "util=": false, "%%%": false, `{"`: false, "=,=": false,
		"qps=1": false, "util=500": false} {
		if got := parseLoad(text, []string{"util"}) != nil; got != ok {
			t.Errorf("report %q accepted: %t", text, got)
		}
	}
}
