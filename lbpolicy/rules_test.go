package lbpolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world drives a Balancer through a long legal sequence of events and checks the four rules at every action.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	cfg     Settings
	b       *Balancer
	now     time.Duration
	reqs    map[RequestID]*tracked
	open    []RequestID // not yet forgotten, in order of arrival
	timers  []timer
	state   map[ServerID]Server
	sends   map[ServerID][]time.Duration // to servers that are cold
	actions int
	tardy   bool // timers ring late and some servers hang
	banned  map[ServerID]bool
}

type timer struct {
	at    time.Duration
	token uint64
}

type tracked struct {
	class    Class
	deadline time.Duration
	finals   int
	tries    []try
	past     KeyState
	gone     bool
	most     int // attempts allowed when it came
}

type try struct {
	server   Server
	at       time.Duration
	ended    bool
	neverRan bool
}

func (w *world) check(ok bool, rule string, id RequestID) {
	w.t.Helper()
	w.actions++
	if !ok {
		w.t.Fatalf("at %v, request %d: %s", w.now, id, rule)
	}
}

func (w *world) Send(id RequestID, to ServerID) {
	r, s := w.reqs[id], w.state[to]
	w.check(r.finals == 0 && !r.gone && w.now < r.deadline, "rule 1: sent after its end", id)
	w.check(len(r.tries) < min(w.cfg.MaxAttempts, r.most), "rule 1: too many attempts", id)
	w.check(s.State == Ready && !w.banned[to], "rule 3: sent to a server that drains, is gone or banned", id)
	for _, a := range r.tries {
		w.check(a.ended || w.cfg.MayHedge, "rule 2: a second copy where none is allowed", id)
		w.check(a.neverRan || w.mayRepeat(r, a, s), "rule 2: may have an effect twice", id)
	}
	if p := r.past; p.Known {
		group := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && p.Zone == s.Zone ||
			r.class.Scope == ScopeCell && p.Cell == s.Cell
		w.check(!p.Unavailable && group && w.now < p.RetryUntil, "rule 2: a repeat outside its group or window", id)
	}
	r.tries = append(r.tries, try{server: s, at: w.now})
	w.cold(id, s)
}

func (w *world) mayRepeat(r *tracked, a try, s Server) bool {
	same := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && a.server.Zone == s.Zone ||
		r.class.Scope == ScopeCell && a.server.Cell == s.Cell
	return r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && same && w.now-a.at < r.class.Window
}

// cold holds the sends of any window to a cold server against what it could do, were it as large as the even share
// of the most that arrives.
func (w *world) cold(id RequestID, s Server) {
	c := w.b.capacity(w.now, w.b.servers[s.ID])
	if c >= 1 {
		return
	}
	w.sends[s.ID] = append(w.sends[s.ID], w.now)
	recent := w.sends[s.ID]
	for recent[0] <= w.now-w.cfg.OverloadWindow {
		recent = recent[1:]
	}
	w.sends[s.ID] = recent
	even := 1.5 * arrivals * w.cfg.OverloadWindow.Seconds() / float64(len(w.b.subset))
	w.check(float64(len(recent)) <= 2+w.cfg.OverloadMultiple*c*even, "rule 4: a cold server pushed over", id)
}

func (w *world) final(id RequestID, refusal bool) {
	r := w.reqs[id]
	w.check(r.finals == 0 && !r.gone, "rule 1: a second final answer", id)
	r.finals++
	harmless := r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && r.class.Scope == ScopeAll
	p := r.past
	w.check(!refusal || !p.Known || harmless && w.now < p.RetryUntil, "rule 2: refused though an earlier try may have run", id)
	for _, a := range r.tries {
		w.check(!refusal || harmless || a.neverRan, "rule 2: refused where a retry may do harm", id)
	}
}

func (w *world) Reject(id RequestID, _ time.Duration)    { w.final(id, true) }
func (w *world) Fail(id RequestID)                       { w.final(id, false) }
func (w *world) Watch()                                  {}
func (w *world) CloseIdle(ServerID)                      {}
func (w *world) Log(string)                              {}
func (w *world) ServerProgress(ServerID) ServerProgress  { return ServerProgress{} }
func (w *world) WaitsSince(RequestID, int) time.Duration { return 0 }
func (w *world) Hedged(Hedge)                            {}
func (w *world) Cancel(id RequestID, n int) {
	w.check(w.cfg.MayCancel && !w.reqs[id].tries[n].ended, "cancelled what is not out", id)
}
func (w *world) SetTimer(at time.Duration, token uint64) {
	w.timers = append(w.timers, timer{at, token})
}

const arrivals = 100.0 // a second

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: sec, reqs: map[RequestID]*tracked{},
		state: map[ServerID]Server{}, sends: map[ServerID][]time.Duration{}, banned: map[ServerID]bool{}}
	w.cfg = testSettings()
	w.cfg.MaxAttempts = 1 + int(seed)%3
	w.cfg.MayHedge, w.cfg.MayCancel, w.cfg.PollDiscovery = seed%2 == 0, seed%3 > 0, seed%4 < 2
	w.cfg.Tier, w.cfg.Balancers = int(seed)%2, 1+int(seed)%5
	w.tardy = seed%6 > 2
	w.cfg.RetriesMarked, w.cfg.SendsRetryAfter = seed%2 == 1, true
	w.cfg.Tenants = []Tenant{{QuotaPerSecond: 20}, {}}
	b, err := New(w.cfg, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	w.list(Cached, 12)
	return w
}

// list tells of changes: servers that start, drain, restart and go.
func (w *world) list(kind ListKind, changes int) {
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
		clear(w.state)
	}
	for _, e := range entries {
		if e.StartedAt != w.state[e.ID].StartedAt {
			delete(w.sends, e.ID) // a new process: the old one's calls weigh on nobody
		}
		w.state[e.ID] = e
	}
	w.b.UpdateEndpoints(w.now, kind, entries)
}

func (w *world) arrive(id RequestID) {
	class := w.rng.IntN(len(w.cfg.Classes))
	left := w.cfg.Classes[class].Deadline * time.Duration(1+w.rng.IntN(10)) / 10
	r := &tracked{class: w.cfg.Classes[class], deadline: w.now + left, most: w.cfg.MaxAttempts}
	if r.class.Effect == KeyedIdempotent && w.rng.IntN(3) == 0 {
		r.past = w.past()
	}
	w.reqs[id] = r
	w.open = append(w.open, id)
	w.b.Request(w.now, Request{ID: id, Class: class, Tenant: w.rng.IntN(3) - 1, TimeLeft: left, Retry: w.rng.IntN(5) == 0, KeyState: r.past})
}

// past draws what other requests with a key have done.
func (w *world) past() KeyState {
	return KeyState{Known: true, Unavailable: w.rng.IntN(10) == 0, Zone: w.rng.IntN(3), Cell: w.rng.IntN(4),
		RetryUntil: w.now + time.Duration(w.rng.Float64()*float64(3*time.Second))}
}

// learn has a request's key bound by another request, as its own attempts allow.
func (w *world) learn() {
	if len(w.open) == 0 {
		return
	}
	id := w.open[w.rng.IntN(len(w.open))]
	if r := w.reqs[id]; r.class.Effect == KeyedIdempotent && r.finals == 0 && !r.gone {
		r.past = w.past()
		w.b.KeyStateUpdated(w.now, id, r.past)
	}
}

// end ends an attempt, by the clock or by chance.
func (w *world) end(id RequestID, n int, v Verdict) {
	r := w.reqs[id]
	a := &r.tries[n]
	a.ended, a.neverRan = true, v.NeverRan()
	final := v == OK && r.finals == 0 && !r.gone
	if final {
		r.finals++
	}
	o := Outcome{ID: id, Attempt: n, Server: a.server.ID, Verdict: v, Latency: w.now - a.at, Final: final}
	if w.rng.IntN(2) == 0 {
		o.Load = []float32{w.rng.Float32() * 1.2}
	}
	w.b.Outcome(w.now, o)
}

// round gives each attempt that is out a chance to end and forgets requests with nothing out.
func (w *world) round() {
	verdicts := []Verdict{OK, OK, OK, OK, Error, ServerFull, ConnectFailed, Reset, Cancelled}
	keep := w.open[:0:0]
	for _, id := range w.open {
		r := w.reqs[id]
		for n := 0; n < len(r.tries); n++ {
			hung := w.tardy && r.tries[n].server.ID%4 == 0
			switch {
			case r.tries[n].ended:
			case w.now >= r.deadline:
				w.end(id, n, Timeout)
			case hung && w.rng.IntN(200) == 0:
				w.end(id, n, Reset)
			case !hung && w.rng.IntN(12) == 0:
				w.end(id, n, verdicts[w.rng.IntN(len(verdicts))])
			}
		}
		out := false
		for _, a := range r.tries {
			out = out || !a.ended
		}
		if out {
			keep = append(keep, id)
			continue
		}
		w.check(r.finals == 1 || r.gone, "rule 1: nothing out and no final answer", id)
	}
	w.open = keep
}

func (w *world) ring() {
	due := w.timers
	w.timers = nil
	for _, at := range due {
		if at.at > w.now || w.rng.IntN(200) > 0 && w.tardy {
			w.timers = append(w.timers, at)
			continue
		}
		w.b.Timer(w.now, at.token)
	}
}

func (w *world) leave() {
	if len(w.open) == 0 {
		return
	}
	id := w.open[w.rng.IntN(len(w.open))]
	if r := w.reqs[id]; r.finals == 0 && !r.gone {
		r.gone = true
		w.b.ClientDisconnected(w.now, id)
	}
}

// ban bans a server, listed or not, or ends that. At most a third of them are banned at once.
func (w *world) ban() {
	id := ServerID(1 + w.rng.IntN(15))
	on := w.rng.IntN(2) == 0 && len(w.banned) < 5
	if on {
		w.banned[id] = true
	} else {
		delete(w.banned, id)
	}
	w.b.SetManuallyEjected(w.now, id, on)
}

// configure changes the settings: classes change places and effects, one comes or goes, attempts become fewer or more.
func (w *world) configure() {
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
	if err := w.b.Configure(w.now, next); err != nil {
		w.t.Fatal(err)
	}
	w.cfg = next
	broken := next
	broken.MaxAttempts = 0
	if w.b.Configure(w.now, broken) == nil {
		w.t.Fatal("settings with no attempts were taken")
	}
}

// The four rules hold through long random sequences of legal events under varied settings.
func TestRules(t *testing.T) {
	for seed := range uint64(24) {
		w := newWorld(t, seed)
		for i := range 6000 {
			w.now += time.Duration(w.rng.Float64() * 2 / arrivals * float64(time.Second))
			switch w.rng.IntN(60) {
			case 0:
				w.list(Delta, 1+w.rng.IntN(3))
			case 1:
				w.leave()
			case 2:
				w.list([]ListKind{Full, Cached}[w.rng.IntN(2)], 8*w.rng.IntN(2))
			case 3:
				w.b.UpdateEndpoints(w.now, Failed, nil)
			case 4, 5, 6:
				w.learn()
			case 7, 8:
				w.ban()
			case 9:
				w.configure()
			}
			w.arrive(RequestID(i + 1))
			w.round()
			w.ring()
		}
		if w.actions < 6000 {
			t.Fatalf("seed %d: only %d checks", seed, w.actions)
		}
	}
}
