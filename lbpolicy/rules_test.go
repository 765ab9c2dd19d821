package lbpolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomWorkload drives a Balancer through a long random sequence of legal events, and checks the four rules of the policy at
// every action:
//
//  1. A request gets one final answer. No attempt follows that answer or the deadline, and the number of attempts is bounded.
//  2. A request is not repeated, and its client not told to retry, where it could take effect twice.
//  3. Servers that are draining, removed or manually ejected get no new request.
//  4. Servers in slow start are not overloaded.
type randomWorkload struct {
	t               *testing.T
	rng             *rand.Rand
	cfg             Settings
	balancer        *Balancer
	now             time.Duration
	requests        map[RequestID]*trackedRequest
	openRequests    []RequestID // with attempts in flight, in order of arrival
	timers          []timer
	listed          map[ServerID]Server
	slowStartSends  map[ServerID][]time.Duration // when attempts were sent to each server in slow start
	checks          int
	injectDelays    bool // timers fire late and some servers hang
	manuallyEjected map[ServerID]bool
}

type timer struct {
	at    time.Duration
	token uint64
}

type trackedRequest struct {
	class        Class
	deadline     time.Duration
	finalAnswers int
	attempts     []trackedAttempt
	keyState     KeyState
	disconnected bool
	maxAttempts  int // as of its arrival
}

type trackedAttempt struct {
	server   Server
	sentAt   time.Duration
	ended    bool
	neverRan bool
}

func (w *randomWorkload) check(ok bool, rule string, id RequestID) {
	w.t.Helper()
	w.checks++
	if !ok {
		w.t.Fatalf("at %v, request %d: %s", w.now, id, rule)
	}
}

func (w *randomWorkload) Send(id RequestID, to ServerID) {
	r, s := w.requests[id], w.listed[to]
	w.check(r.finalAnswers == 0 && !r.disconnected && w.now < r.deadline, "rule 1: attempt sent after the final answer or the deadline", id)
	w.check(len(r.attempts) < min(w.cfg.MaxAttempts, r.maxAttempts), "rule 1: too many attempts", id)
	w.check(s.State == Ready && !w.manuallyEjected[to], "rule 3: attempt sent to a server that is draining, removed or manually ejected", id)
	for _, a := range r.attempts {
		w.check(a.ended || w.cfg.MayHedge, "rule 2: request hedged where that is not allowed", id)
		w.check(a.neverRan || w.mayRepeat(r, a, s), "rule 2: repeat of an attempt that may have run", id)
	}
	if state := r.keyState; state.Known {
		inGroup := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && state.Zone == s.Zone ||
			r.class.Scope == ScopeCell && state.Cell == s.Cell
		w.check(!state.Unavailable && inGroup && w.now < state.RetryUntil, "rule 2: repeat outside its group of servers or its window", id)
	}
	r.attempts = append(r.attempts, trackedAttempt{server: s, sentAt: w.now})
	w.checkSlowStart(id, s)
}

func (w *randomWorkload) mayRepeat(request *trackedRequest, attempt trackedAttempt, server Server) bool {
	inGroup := request.class.Scope == ScopeAll || request.class.Scope == ScopeZone && attempt.server.Zone == server.Zone ||
		request.class.Scope == ScopeCell && attempt.server.Cell == server.Cell
	return request.class.Effect == Idempotent || request.class.Effect == KeyedIdempotent && inGroup && w.now-attempt.sentAt < request.class.Window
}

// checkSlowStart checks the number of attempts that a server in slow start gets in an overload window. A warmed-up server is taken to
// answer an even share of 1.5 times the arrival rate.
func (w *randomWorkload) checkSlowStart(id RequestID, s Server) {
	capacityShare := w.balancer.capacity(w.now, w.balancer.servers[s.ID])
	if capacityShare >= 1 {
		return
	}
	w.slowStartSends[s.ID] = append(w.slowStartSends[s.ID], w.now)
	recent := w.slowStartSends[s.ID]
	for recent[0] <= w.now-w.cfg.OverloadWindow {
		recent = recent[1:]
	}
	w.slowStartSends[s.ID] = recent
	evenShare := 1.5 * arrivalRate * w.cfg.OverloadWindow.Seconds() / float64(len(w.balancer.subset))
	w.check(float64(len(recent)) <= 2+w.cfg.OverloadMultiple*capacityShare*evenShare, "rule 4: server in slow start overloaded", id)
}

func (w *randomWorkload) recordFinalAnswer(id RequestID, rejected bool) {
	r := w.requests[id]
	w.check(r.finalAnswers == 0 && !r.disconnected, "rule 1: second final answer", id)
	r.finalAnswers++
	harmless := r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && r.class.Scope == ScopeAll
	state := r.keyState
	w.check(!rejected || !state.Known || harmless && w.now < state.RetryUntil, "rule 2: rejected though an earlier request with the key may have run", id)
	for _, a := range r.attempts {
		w.check(!rejected || harmless || a.neverRan, "rule 2: rejected though a retry may take effect twice", id)
	}
}

func (w *randomWorkload) Reject(id RequestID, _ time.Duration)             { w.recordFinalAnswer(id, true) }
func (w *randomWorkload) Fail(id RequestID)                                { w.recordFinalAnswer(id, false) }
func (w *randomWorkload) Watch()                                           {}
func (w *randomWorkload) CloseIdle(ServerID)                               {}
func (w *randomWorkload) Log(string)                                       {}
func (w *randomWorkload) LogServer(ServerID, string)                       {}
func (w *randomWorkload) ServerProgress(ServerID) ServerProgress           { return ServerProgress{} }
func (w *randomWorkload) WaitingSince(RequestID, int) time.Duration        { return 0 }
func (w *randomWorkload) ResponseProgress(RequestID, int) ResponseProgress { return ResponseAwaited }
func (w *randomWorkload) RecordHedge(Hedge)                                {}
func (w *randomWorkload) Cancel(id RequestID, n int) {
	w.check(w.cfg.MayCancel && !w.requests[id].attempts[n].ended, "cancelled an attempt that is not in flight, or without permission to cancel", id)
}
func (w *randomWorkload) SetTimer(at time.Duration, token uint64) {
	w.timers = append(w.timers, timer{at, token})
}

const arrivalRate = 100.0 // requests per second

func newRandomWorkload(t *testing.T, seed uint64) *randomWorkload {
	t.Helper()
	w := &randomWorkload{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: sec, requests: map[RequestID]*trackedRequest{},
		listed: map[ServerID]Server{}, slowStartSends: map[ServerID][]time.Duration{}, manuallyEjected: map[ServerID]bool{}}
	w.cfg = testSettings()
	w.cfg.MaxAttempts = 1 + int(seed)%3
	w.cfg.MayHedge, w.cfg.MayCancel, w.cfg.PollDiscovery = seed%2 == 0, seed%3 > 0, seed%4 < 2
	w.cfg.Tier, w.cfg.Balancers = int(seed)%2, 1+int(seed)%5
	w.injectDelays = seed%6 > 2
	w.cfg.RetriesMarked, w.cfg.SendsRetryAfter = seed%2 == 1, true
	w.cfg.Tenants = []Tenant{{QuotaPerSecond: 20}, {}}
	b, err := New(w.cfg, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.balancer = b
	w.updateEndpoints(Cached, 12)
	return w
}

// updateEndpoints sends a random list: servers that start, drain, restart and are removed.
func (w *randomWorkload) updateEndpoints(kind ListKind, changes int) {
	var entries []Server
	for range changes {
		id := ServerID(1 + w.rng.IntN(15))
		e := Server{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, State: Ready}
		switch w.rng.IntN(6) {
		case 0:
			e.State = Draining
		case 1:
			e.State = Removed
		case 2:
			e.StartedAt = w.now
		}
		entries = append(entries, e)
	}
	if kind == Full || kind == Cached {
		clear(w.listed)
	}
	for _, e := range entries {
		if e.StartedAt != w.listed[e.ID].StartedAt {
			delete(w.slowStartSends, e.ID) // a new process: the requests to the old one do not count
		}
		w.listed[e.ID] = e
	}
	w.balancer.UpdateEndpoints(w.now, kind, entries)
}

func (w *randomWorkload) sendRequest(id RequestID) {
	class := w.rng.IntN(len(w.cfg.Classes))
	timeLeft := w.cfg.Classes[class].Deadline * time.Duration(1+w.rng.IntN(10)) / 10
	r := &trackedRequest{class: w.cfg.Classes[class], deadline: w.now + timeLeft, maxAttempts: w.cfg.MaxAttempts}
	if r.class.Effect == KeyedIdempotent && w.rng.IntN(3) == 0 {
		r.keyState = w.drawKeyState()
	}
	w.requests[id] = r
	w.openRequests = append(w.openRequests, id)
	w.balancer.Request(w.now, Request{ID: id, Class: class, Tenant: w.rng.IntN(3) - 1, TimeLeft: timeLeft, Retry: w.rng.IntN(5) == 0, KeyState: r.keyState})
}

// drawKeyState draws at random what other requests with the same key have done.
func (w *randomWorkload) drawKeyState() KeyState {
	return KeyState{Known: true, Unavailable: w.rng.IntN(10) == 0, Zone: w.rng.IntN(3), Cell: w.rng.IntN(4),
		RetryUntil: w.now + time.Duration(w.rng.Float64()*float64(3*time.Second))}
}

// updateKeyState changes the state of a random request's key, as if another request had used the key.
func (w *randomWorkload) updateKeyState() {
	if len(w.openRequests) == 0 {
		return
	}
	id := w.openRequests[w.rng.IntN(len(w.openRequests))]
	if r := w.requests[id]; r.class.Effect == KeyedIdempotent && r.finalAnswers == 0 && !r.disconnected {
		r.keyState = w.drawKeyState()
		w.balancer.KeyStateUpdated(w.now, id, r.keyState)
	}
}

// endAttempt reports the end of an attempt to the balancer. The first OK is the final answer of the request.
func (w *randomWorkload) endAttempt(id RequestID, n int, v Verdict) {
	r := w.requests[id]
	a := &r.attempts[n]
	a.ended, a.neverRan = true, v.NeverRan()
	final := v == OK && r.finalAnswers == 0 && !r.disconnected
	if final {
		r.finalAnswers++
	}
	o := Outcome{ID: id, Attempt: n, Server: a.server.ID, Verdict: v, Latency: w.now - a.sentAt, Final: final}
	if w.rng.IntN(2) == 0 {
		o.Load = []float32{w.rng.Float32() * 1.2}
	}
	w.balancer.Outcome(w.now, o)
}

// endAttempts ends attempts in flight at random or at their deadlines. It checks requests without attempts in flight, and forgets them.
func (w *randomWorkload) endAttempts() {
	verdicts := []Verdict{OK, OK, OK, OK, Error, ServerFull, ConnectFailed, Reset, Cancelled}
	stillOpen := w.openRequests[:0:0]
	for _, id := range w.openRequests {
		r := w.requests[id]
		for n := 0; n < len(r.attempts); n++ {
			hanging := w.injectDelays && r.attempts[n].server.ID%4 == 0
			switch {
			case r.attempts[n].ended:
			case w.now >= r.deadline:
				w.endAttempt(id, n, Timeout)
			case hanging && w.rng.IntN(200) == 0:
				w.endAttempt(id, n, Reset)
			case !hanging && w.rng.IntN(12) == 0:
				w.endAttempt(id, n, verdicts[w.rng.IntN(len(verdicts))])
			}
		}
		inFlight := false
		for _, a := range r.attempts {
			inFlight = inFlight || !a.ended
		}
		if inFlight {
			stillOpen = append(stillOpen, id)
			continue
		}
		w.check(r.finalAnswers == 1 || r.disconnected, "rule 1: no attempt in flight and no final answer", id)
	}
	w.openRequests = stillOpen
}

func (w *randomWorkload) fireTimers() {
	due := w.timers
	w.timers = nil
	for _, dueTimer := range due {
		if dueTimer.at > w.now || w.rng.IntN(200) > 0 && w.injectDelays {
			w.timers = append(w.timers, dueTimer)
			continue
		}
		w.balancer.Timer(w.now, dueTimer.token)
	}
}

func (w *randomWorkload) disconnectClient() {
	if len(w.openRequests) == 0 {
		return
	}
	id := w.openRequests[w.rng.IntN(len(w.openRequests))]
	if r := w.requests[id]; r.finalAnswers == 0 && !r.disconnected {
		r.disconnected = true
		w.balancer.ClientDisconnected(w.now, id)
	}
}

// changeManualEjection ejects a server manually, listed or not, or restores it. At most a third of them are ejected at once.
func (w *randomWorkload) changeManualEjection() {
	id := ServerID(1 + w.rng.IntN(15))
	eject := w.rng.IntN(2) == 0 && len(w.manuallyEjected) < 5
	if eject {
		w.manuallyEjected[id] = true
	} else {
		delete(w.manuallyEjected, id)
	}
	w.balancer.SetManuallyEjected(w.now, id, eject)
}

// configure changes the settings: the order and the effects of classes, one class more or less, and the number of attempts.
func (w *randomWorkload) configure() {
	next := w.cfg
	next.MaxAttempts = 1 + w.rng.IntN(3)
	next.Classes = slices.Clone(w.cfg.Classes)
	w.rng.Shuffle(len(next.Classes), func(i, j int) { next.Classes[i], next.Classes[j] = next.Classes[j], next.Classes[i] })
	c := &next.Classes[w.rng.IntN(len(next.Classes))]
	switch c.Effect = Effect(w.rng.IntN(3)); w.rng.IntN(4) {
	case 0:
		next.Classes = append(next.Classes, Class{Name: fmt.Sprint("new", w.rng.IntN(3)), LatencyObjective: sec, Deadline: 2 * sec, PriorityWeight: 5})
	case 1:
		if len(next.Classes) > 2 {
			next.Classes = next.Classes[1:]
		}
	}
	if err := w.balancer.Configure(w.now, next); err != nil {
		w.t.Fatal(err)
	}
	w.cfg = next
	invalid := next
	invalid.MaxAttempts = 0
	if w.balancer.Configure(w.now, invalid) == nil {
		w.t.Fatal("settings that allow no attempts were accepted")
	}
}

// The four rules of randomWorkload hold through long random sequences of legal events under varied settings.
func TestRandomEventsBreakNoRule(t *testing.T) {
	for seed := range uint64(24) {
		w := newRandomWorkload(t, seed)
		for i := range 6000 {
			w.now += time.Duration(w.rng.Float64() * 2 / arrivalRate * float64(time.Second))
			switch w.rng.IntN(60) {
			case 0:
				w.updateEndpoints(Delta, 1+w.rng.IntN(3))
			case 1:
				w.disconnectClient()
			case 2:
				w.updateEndpoints([]ListKind{Full, Cached}[w.rng.IntN(2)], 8*w.rng.IntN(2))
			case 3:
				w.balancer.UpdateEndpoints(w.now, Failed, nil)
			case 4, 5, 6:
				w.updateKeyState()
			case 7, 8:
				w.changeManualEjection()
			case 9:
				w.configure()
			}
			w.sendRequest(RequestID(i + 1))
			w.endAttempts()
			w.fireTimers()
		}
		if w.checks < 6000 {
			t.Fatalf("seed %d: %d checks, want at least 6000", seed, w.checks)
		}
	}
}
