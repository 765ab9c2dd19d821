package engine

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// gate holds what comes to it until it is opened.
type gate struct{ arrivals, opened chan struct{} }

func newGate() *gate { return &gate{make(chan struct{}, 8), make(chan struct{})} }

// awaitArrival waits until something has come to it.
func (g *gate) awaitArrival(t *testing.T) {
	t.Helper()
	select {
	case <-g.arrivals:
	case <-time.After(lbtest.Wait):
		t.Fatal("nothing came to the gate")
	}
}

func (g *gate) wait() {
	g.arrivals <- struct{}{}
	<-g.opened
}

// blockedRecorder is a ledger whose disk takes its time.
type blockedRecorder struct{ *gate }

func (s blockedRecorder) Attempt(string) Record { return s }

func (s blockedRecorder) Intent(context.Context, idempotency.Place) error {
	s.wait()
	return nil
}

func (s blockedRecorder) Ended(lbpolicy.Verdict, int) {}

// blockedClaimer agree to whatever they are asked, late.
type blockedClaimer struct {
	*gate
	claimed atomic.Pointer[idempotency.Place]
}

func (s *blockedClaimer) IsActive() bool { return true }

func (s *blockedClaimer) Claim(_ context.Context, to idempotency.Place) {
	s.wait()
	s.claimed.Store(&to)
}

func (s *blockedClaimer) KeyState() idempotency.KeyState {
	if to := s.claimed.Load(); to != nil {
		return idempotency.KeyState{Known: true, Place: *to, RetryUntil: time.Now().Add(time.Minute)}
	}
	return idempotency.KeyState{}
}

// beginKeyed begins a beginKeyed request whose caller leaves as told.
func beginKeyed(t *testing.T, h *Engine, away func() bool, binder Claimer, recorder Recorder) (*Call, *idempotency.Request) {
	t.Helper()
	hold, err := idempotency.New(8).Begin(time.Now(), idempotency.KeyIDOf("acme", "k"), idempotency.Fingerprint{})
	if err != nil {
		t.Fatal(err)
	}
	key := &Key{History: hold, Terms: idempotency.Terms{Scope: lbpolicy.ScopeZone, Window: time.Minute, Retention: time.Minute}, Claimer: binder, Recorder: recorder}
	r := upstream.Request{Method: "POST", Target: "/write", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}, "Idempotency-Key": {"k"}}}
	return h.begin(r, lbpolicy.Request{Class: 1, TimeLeft: lbtest.Wait}, key, away), hold
}

// A caller that leaves while voters are asked, or while an attempt is recorded, has nothing sent, and its key is free: no
// attempt of it may have run. Its goroutine ends, and the server is not blamed.
func TestDisconnectDuringClaimOrRecordSendsNothing(t *testing.T) {
	t.Parallel()
	for name, slow := range map[string]func(*gate) (Claimer, Recorder){
		"voters": func(g *gate) (Claimer, Recorder) { return &blockedClaimer{gate: g}, nil },
		"ledger": func(g *gate) (Claimer, Recorder) { return nil, blockedRecorder{g} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got atomic.Int64
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { got.Add(1); a.OK() })
			h := newEngine(t)
			h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
			g := newGate()
			var left atomic.Bool
			binder, recorder := slow(g)
			_, hold := beginKeyed(t, h, left.Load, binder, recorder)
			g.awaitArrival(t)
			left.Store(true)
			close(g.opened)
			lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
			if got.Load() > 0 {
				t.Error("it came to the endpoint")
			}
			if hold.MayHaveRun() {
				t.Error("its key is held for an attempt that never went out")
			}
			if a := awaitResult(t, beginGet(h, "stays", lbtest.Wait)); a.Response == nil {
				t.Errorf("the endpoint serves others no more: %+v", a)
			}
		})
	}
}

// A caller that leaves while an attempt waits for the one before it to get off its connection has nothing more sent.
func TestDisconnectWhileWaitingForEarlierAttemptSendsNothing(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	serve := func(a *lbtest.Arrival) { got.Add(1); a.OK() }
	first, second := lbtest.NewEndpoint(t, serve), lbtest.NewEndpoint(t, serve)
	h := newEngine(t)
	two := listEntry(second.Addr, "ready")
	two.Name = "s2"
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(first.Addr, "ready"), two})
	g := newGate()
	var left, held atomic.Bool
	away := func() bool {
		if held.CompareAndSwap(false, true) { // the first attempt, on its connection
			g.wait()
			return false
		}
		return left.Load()
	}
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	c := h.begin(r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil, away)
	g.awaitArrival(t)
	h.processEvent(func(now time.Duration) { h.abandon(now, c, c.attempts[0], lbpolicy.Cancelled) })
	h.mu.Lock()
	n := len(c.attempts)
	h.mu.Unlock()
	if n != 2 {
		t.Fatalf("%d attempts, want a second one behind the first", n)
	}
	left.Store(true)
	close(g.opened)
	lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
	if got.Load() > 0 {
		t.Error("it came to an endpoint")
	}
}

// The request of a caller that has left before it is begun is no call for the decisions.
func TestDisconnectBeforeCallStartsNothing(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { got.Add(1); a.OK() })
	h := newEngine(t)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx = WithDisconnectCheck(ctx, func() bool { cancel(); return true })
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	if a, ok := h.Do(ctx, r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil); ok {
		t.Errorf("answered %+v", a)
	}
	if h.lastID != 0 || got.Load() > 0 {
		t.Errorf("begun as %d, %d came to the endpoint", h.lastID, got.Load())
	}
}

// undetectedCancelContext is a context that has ended, and whose end nobody who waits for it has been told of yet: as when the whole process
// has stood still, or as a stream between salas is reset in the moment in which a connection comes up.
type undetectedCancelContext struct {
	context.Context
	ended atomic.Bool
	done  chan struct{}
}

func (u *undetectedCancelContext) Done() <-chan struct{} { return u.done }

func (u *undetectedCancelContext) Err() error {
	if u.ended.Load() {
		return context.Canceled
	}
	return nil
}

// newEngineWithBlockedDials is a host with one endpoint, whose connections wait at a gate.
func newEngineWithBlockedDials(t *testing.T) (h *Engine, g *gate, got *atomic.Int64) {
	t.Helper()
	got = &atomic.Int64{}
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { got.Add(1); a.OK() })
	h, g = newEngine(t), newGate()
	h.client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		g.wait()
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	h.client.SetDialTimeout(lbtest.Wait)
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	return h, g, got
}

// An end that the call's own goroutine has not noticed yet counts at the claim too, whoever brings the request: a caller
// across a link has nothing but its context.
func TestUndetectedContextCancelSendsNothing(t *testing.T) {
	t.Parallel()
	h, g, got := newEngineWithBlockedDials(t)
	ctx := &undetectedCancelContext{Context: t.Context(), done: make(chan struct{})}
	over := make(chan bool, 1)
	go func() {
		r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
		_, ok := h.Do(ctx, r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil)
		over <- ok
	}()
	g.awaitArrival(t)
	ctx.ended.Store(true)
	close(g.opened)
	lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
	close(ctx.done)
	if <-over {
		t.Error("answered")
	}
	if got.Load() > 0 {
		t.Error("it came to the endpoint")
	}
}

// A look at the caller that is old by the time the decisions' lock is had is made again: the caller may have left meanwhile.
// The lock is held here until the first look is too old.
func TestOutdatedDisconnectCheckIsRepeated(t *testing.T) {
	t.Parallel()
	h, g, got := newEngineWithBlockedDials(t)
	var left atomic.Bool
	asked := make(chan struct{}, 8)
	away := func() bool {
		defer func() { asked <- struct{}{} }()
		return left.Load()
	}
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	h.begin(r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil, away)
	g.awaitArrival(t)
	h.mu.Lock()
	close(g.opened)
	select {
	case <-asked: // its caller is there still
	case <-time.After(lbtest.Wait):
		t.Error("the caller is not looked at")
	}
	left.Store(true)
	for since := time.Now(); time.Since(since) <= disconnectCheckValidity; {
		time.Sleep(disconnectCheckValidity)
	}
	h.mu.Unlock()
	lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
	if got.Load() > 0 {
		t.Error("it came to the endpoint")
	}
}
