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

// gate blocks the goroutines that call wait until opened is closed.
type gate struct{ arrivals, opened chan struct{} }

func newGate() *gate { return &gate{make(chan struct{}, 8), make(chan struct{})} }

// awaitArrival waits until a goroutine has called wait.
func (g *gate) awaitArrival(t *testing.T) {
	t.Helper()
	select {
	case <-g.arrivals:
	case <-time.After(lbtest.Wait):
		t.Fatal("no goroutine reached the gate within lbtest.Wait")
	}
}

// wait signals an arrival and blocks until the gate is opened.
func (g *gate) wait() {
	g.arrivals <- struct{}{}
	<-g.opened
}

// blockedRecorder is a Recorder whose Intent waits at the gate, like a ledger with a slow disk.
type blockedRecorder struct{ *gate }

func (r blockedRecorder) BeginAttempt(string) Record { return r }

func (r blockedRecorder) Intent(context.Context, idempotency.Place) error {
	r.wait()
	return nil
}

func (r blockedRecorder) Ended(lbpolicy.Verdict, int) {}

// blockedClaimer is a Claimer whose claims wait at the gate and then succeed, like voters that respond late.
type blockedClaimer struct {
	*gate
	claimed atomic.Pointer[idempotency.Place]
}

func (c *blockedClaimer) IsActive() bool { return true }

func (c *blockedClaimer) Claim(_ context.Context, place idempotency.Place) {
	c.wait()
	c.claimed.Store(&place)
}

func (c *blockedClaimer) KeyState() idempotency.KeyState {
	if place := c.claimed.Load(); place != nil {
		return idempotency.KeyState{Known: true, Place: *place, RetryUntil: time.Now().Add(time.Minute)}
	}
	return idempotency.KeyState{}
}

// checkOf returns the check of a client whose disconnect is always detected.
func checkOf(isDisconnected func() bool) *clientCheck {
	if isDisconnected == nil {
		return nil
	}
	return &clientCheck{isDisconnected: isDisconnected, mayAttemptAgain: func() bool { return true }}
}

// beginKeyed begins a request with an idempotency key. The function isDisconnected reports whether its client has disconnected.
func beginKeyed(t *testing.T, engine *Engine, isDisconnected func() bool, claimer Claimer, recorder Recorder) (*Call, *idempotency.Request) {
	t.Helper()
	keyRequest, err := idempotency.New(8).Begin(time.Now(), idempotency.KeyIDOf("acme", "k"), idempotency.Fingerprint{})
	if err != nil {
		t.Fatal(err)
	}
	key := &Key{Request: keyRequest, Terms: idempotency.Terms{Scope: lbpolicy.ScopeZone, Window: time.Minute, Retention: time.Minute}, Claimer: claimer, Recorder: recorder}
	r := upstream.Request{Method: "POST", Target: "/write", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}, "Idempotency-Key": {"k"}}}
	return engine.begin(r, lbpolicy.Request{Class: 1, TimeLeft: lbtest.Wait}, key, checkOf(isDisconnected)), keyRequest
}

// If the client disconnects while the key is being claimed or the intent is being recorded, nothing is sent. The key stays free,
// because no attempt may have run. The call is released, and the endpoint still gets requests.
func TestDisconnectDuringClaimOrRecordSendsNothing(t *testing.T) {
	t.Parallel()
	for name, newBlocked := range map[string]func(*gate) (Claimer, Recorder){
		"voters": func(g *gate) (Claimer, Recorder) { return &blockedClaimer{gate: g}, nil },
		"ledger": func(g *gate) (Claimer, Recorder) { return nil, blockedRecorder{g} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			server := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { received.Add(1); arrival.OK() })
			engine := newEngine(t)
			engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
			g := newGate()
			var disconnected atomic.Bool
			claimer, recorder := newBlocked(g)
			_, keyRequest := beginKeyed(t, engine, disconnected.Load, claimer, recorder)
			g.awaitArrival(t)
			disconnected.Store(true)
			close(g.opened)
			lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
			if received.Load() > 0 {
				t.Error("endpoint received the request of a disconnected client")
			}
			if keyRequest.MayHaveRun() {
				t.Error("MayHaveRun = true for a key whose attempt was never sent")
			}
			if result := awaitResult(t, beginGet(engine, "stays", lbtest.Wait)); result.Response == nil {
				t.Errorf("call of another client: got %+v, want a response", result)
			}
		})
	}
}

// If the client disconnects while an attempt waits for the earlier one to release its connection, nothing more is sent.
func TestDisconnectWhileWaitingForEarlierAttemptSendsNothing(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	serve := func(arrival *lbtest.Arrival) { received.Add(1); arrival.OK() }
	first, second := lbtest.NewEndpoint(t, serve), lbtest.NewEndpoint(t, serve)
	engine := newEngine(t)
	secondEntry := listEntry(second.Addr, "ready")
	secondEntry.Name = "s2"
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(first.Addr, "ready"), secondEntry})
	g := newGate()
	var disconnected, firstCheckBlocked atomic.Bool
	isDisconnected := func() bool {
		if firstCheckBlocked.CompareAndSwap(false, true) { // check of the first attempt, whose connection is established
			g.wait()
			return false
		}
		return disconnected.Load()
	}
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	c := engine.begin(r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil, checkOf(isDisconnected))
	g.awaitArrival(t)
	engine.processEvent(func(now time.Duration) { engine.abandon(now, c, c.attempts[0], lbpolicy.Cancelled) })
	engine.mu.Lock()
	attemptCount := len(c.attempts)
	engine.mu.Unlock()
	if attemptCount != 2 {
		t.Fatalf("%d attempts, want 2, the second one waiting for the first", attemptCount)
	}
	disconnected.Store(true)
	close(g.opened)
	lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
	if received.Load() > 0 {
		t.Error("an endpoint received the request of a disconnected client")
	}
}

// If the client has disconnected before its call is started, the policy gets no request.
func TestDisconnectBeforeCallStartsNothing(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	server := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { received.Add(1); arrival.OK() })
	engine := newEngine(t)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx = WithDisconnectCheck(ctx, func() bool { cancel(); return true })
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	if result, ok := engine.Do(ctx, r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil); ok {
		t.Errorf("Do returned result %+v for a disconnected client", result)
	}
	if engine.lastID != 0 || received.Load() > 0 {
		t.Errorf("last call ID is %d, and endpoint received %d requests, want 0 of both", engine.lastID, received.Load())
	}
}

// undetectedCancelContext is a context whose Err already reports the cancellation while its Done channel is still open. This happens
// after a pause of the whole process, or when a stream between sites is reset just as a connection has been established.
type undetectedCancelContext struct {
	context.Context
	ended atomic.Bool
	done  chan struct{}
}

func (c *undetectedCancelContext) Done() <-chan struct{} { return c.done }

func (c *undetectedCancelContext) Err() error {
	if c.ended.Load() {
		return context.Canceled
	}
	return nil
}

// newEngineWithBlockedDials returns an engine with one endpoint whose dials wait at the gate, and the number of requests that the
// endpoint has received.
func newEngineWithBlockedDials(t *testing.T) (engine *Engine, g *gate, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	server := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { received.Add(1); arrival.OK() })
	engine, g = newEngine(t), newGate()
	engine.client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		g.wait()
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	engine.client.SetDialTimeout(lbtest.Wait)
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	return engine, g, received
}

// The check before dispatch detects a cancelled context even if the goroutine in Do has not been woken up yet. Requests that arrive
// over a link depend on this, because their clients are represented by a context alone.
func TestUndetectedContextCancelSendsNothing(t *testing.T) {
	t.Parallel()
	engine, g, received := newEngineWithBlockedDials(t)
	ctx := &undetectedCancelContext{Context: t.Context(), done: make(chan struct{})}
	served := make(chan bool, 1)
	go func() {
		r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
		_, ok := engine.Do(ctx, r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil)
		served <- ok
	}()
	g.awaitArrival(t)
	ctx.ended.Store(true)
	close(g.opened)
	lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
	close(ctx.done)
	if <-served {
		t.Error("Do returned a result for a disconnected client")
	}
	if received.Load() > 0 {
		t.Error("endpoint received the request of a disconnected client")
	}
}

// If the engine's lock is taken only after the check of the client has become outdated, the check is repeated, because the client may
// have disconnected meanwhile. The test holds the lock until the first check is outdated.
func TestOutdatedDisconnectCheckIsRepeated(t *testing.T) {
	t.Parallel()
	engine, g, received := newEngineWithBlockedDials(t)
	var disconnected atomic.Bool
	checked := make(chan struct{}, 8)
	isDisconnected := func() bool {
		defer func() { checked <- struct{}{} }()
		return disconnected.Load()
	}
	r := upstream.Request{Method: "GET", Target: "/read", Host: "x", Header: map[string][]string{"X-Request-Id": {"left"}}}
	engine.begin(r, lbpolicy.Request{Class: 0, TimeLeft: lbtest.Wait}, nil, checkOf(isDisconnected))
	g.awaitArrival(t)
	engine.mu.Lock()
	close(g.opened)
	select {
	case <-checked: // the first check has found the client connected
	case <-time.After(lbtest.Wait):
		t.Error("client connection not checked within lbtest.Wait")
	}
	disconnected.Store(true)
	for since := time.Now(); time.Since(since) <= disconnectCheckValidity; {
		time.Sleep(disconnectCheckValidity)
	}
	engine.mu.Unlock()
	lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
	if received.Load() > 0 {
		t.Error("endpoint received the request of a disconnected client")
	}
}
