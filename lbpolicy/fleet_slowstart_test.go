package lbpolicy

import (
	"flag"
	"math"
	"testing"
	"time"
)

var coldSeeds = flag.Int("coldseeds", 2, "seeds for each day and size of TestFleetCold")

// falls holds what cold endpoints get against the bound past which one falls: in the fall window more than N + 2 root of
// N + 2 calls of mean work, N being the fall multiple of what the settings promise for its age. It does not stay down
// here, so that each window counts.
type falls struct {
	fell, broken map[ServerID]bool // broken: over two thirds from balancers that had been told of the start
	most         float64           // of the bound, from those who had been told of the start or not
	mostTold     float64           // the same, of windows with over two thirds from those who had
	chance       float64           // the most in a window, in N
}

func newFalls() falls { return falls{fell: map[ServerID]bool{}, broken: map[ServerID]bool{}} }

func (f *falls) count(e *endpoint, now time.Duration, work, told float64) {
	s := fleetSettings(1)
	age := (now - e.StartedAt).Seconds() / s.SlowStart.Seconds()
	least := min(1, s.InitialCapacity+(1-s.InitialCapacity)*age)
	n := s.OverloadMultiple * least * s.OverloadWindow.Seconds() / e.work
	over := work / e.work / (n + 2*math.Sqrt(n) + 2)
	f.most, f.chance = max(f.most, over), max(f.chance, work/e.work/n)
	if over > 1 {
		f.fell[e.ID] = true
	}
	if told > 2./3 {
		f.mostTold = max(f.mostTold, over)
		if over > 1 {
			f.broken[e.ID] = true
		}
	}
}

// handOver lets a new process take a balancer's calls over, with what the old one has learnt.
func (m *member) handOver() {
	i := 0
	for m.members[i] != m {
		i++
	}
	next := m.begin(m.b.settings.Index, m.rng.Uint64())
	m.members = m.members[:len(m.members)-1]
	m.members[i] = next
	var list []Server
	for _, s := range m.b.listed {
		list = append(list, s.Server)
	}
	next.hear(Cached, list)
	next.b.Restore(m.now, m.b.Snapshot(m.now))
	m.heir = next
	m.old = append(m.old, m)
}

// watchCold adds up what cold endpoints could do.
func (f *fleet) watchCold() {
	if f.now > f.ended {
		return
	}
	for _, e := range f.endpoints {
		if c := e.capacity(f.now); c < 1 && !e.hangs && f.now > e.StartedAt+sec {
			f.coldCould += c * 0.1
		}
	}
	f.after(100*ms, f.watchCold)
}

// returning lets endpoints hang, and come back cold; half of the balancers learn of it late.
func (f *fleet) returning(from, to, late time.Duration, which func(*endpoint) bool) {
	f.after(from-f.now, func() {
		for _, e := range f.endpoints {
			e.hangs = e.hangs || which(e)
		}
	})
	f.after(to-f.now, func() {
		var back []Server
		for id := ServerID(1); id <= ServerID(f.shape.endpoints); id++ {
			if e := f.endpoints[id]; e != nil && e.hangs {
				e.hangs, e.busy, e.StartedAt, e.done = false, f.now, f.now, nil
				back = append(back, e.Server)
			}
		}
		for i, m := range f.members {
			f.after(time.Duration(i%2)*late+time.Duration(f.rng.Float64()*float64(sec)), func() { m.hear(Delta, back) })
		}
	})
}

// join replaces part of the endpoints within 7 s.
func (f *fleet) join(part float64) {
	n := int(part * float64(f.shape.endpoints))
	for i := range n {
		f.replace(6*sec+time.Duration(i)*7*sec/time.Duration(n), ServerID(i+1), ServerID(1000+i))
	}
}

// each does something to all balancers in turn.
func (f *fleet) each(from, lasts time.Duration, do func(*member)) {
	for i := range f.members {
		f.after(from+lasts*time.Duration(i)/time.Duration(len(f.members))-f.now, func() { do(f.members[i]) })
	}
}

func burst(now time.Duration) float64 {
	if now > 11*sec && now < 17*sec {
		return 2
	}
	return 1
}

// calm is next to nothing, and then all at once.
func calm(now time.Duration) float64 {
	if now > 13*sec && now < 18*sec {
		return 9
	}
	return 1
}

// coldDays are the days on which a fleet could push a cold endpoint over.
var coldDays = []struct {
	name  string
	shape func(*shape)
	day   func(*fleet)
}{
	{"join", func(s *shape) { s.load = 0.85 }, func(f *fleet) { f.join(0.6) }},
	{"join, no reports", func(s *shape) { s.load, s.silent = 0.85, true }, func(f *fleet) { f.join(0.6) }},
	{"join, overload", func(s *shape) { s.load = 1.4 }, func(f *fleet) { f.join(0.6) }},
	{"join, overload, no reports", func(s *shape) { s.load, s.silent = 1.4, true }, func(f *fleet) { f.join(0.6) }},
	{"join, uneven", func(s *shape) { s.load, s.uneven = 0.7, true }, func(f *fleet) { f.join(0.6) }},
	{"join, uneven, no reports", func(s *shape) { s.load, s.uneven, s.silent = 0.7, true, true }, func(f *fleet) { f.join(0.6) }},
	{"join, no more than 5 calls held", func(s *shape) { s.load, s.room = 0.85, 5 }, func(f *fleet) { f.join(0.6) }},
	{"join, balancers told by half", func(s *shape) { s.load, s.told = 0.85, (s.balancers+1)/2 }, func(f *fleet) { f.join(0.6) }},
	{"join, balancers told twofold", func(s *shape) { s.load, s.told = 0.85, 2*s.balancers }, func(f *fleet) { f.join(0.6) }},
	{"all replaced", func(s *shape) { s.load = 0.5 }, func(f *fleet) { f.join(1) }},
	{"all replaced, no reports", func(s *shape) { s.load, s.silent = 0.5, true }, func(f *fleet) { f.join(1) }},
	{"throng", func(s *shape) { s.load, s.burst = 0.5, burst }, func(f *fleet) {
		f.join(0.3)
		f.returning(6*sec, 12*sec, 0, func(e *endpoint) bool { return e.ID%3 == 0 })
	}},
	{"throng, uneven, 8 calls held", func(s *shape) { s.load, s.burst, s.uneven, s.room = 0.5, burst, true, 8 }, func(f *fleet) {
		f.join(0.3)
		f.returning(6*sec, 12*sec, 0, func(e *endpoint) bool { return e.ID%3 == 0 })
	}},
	{"throng, no reports", func(s *shape) { s.load, s.burst, s.silent = 0.5, burst, true }, func(f *fleet) {
		f.join(0.3)
		f.returning(6*sec, 12*sec, 0, func(e *endpoint) bool { return e.ID%3 == 0 })
	}},
	{"zone", func(s *shape) { s.load = 0.6 }, func(f *fleet) {
		f.returning(6*sec, 14*sec, 6*sec, func(e *endpoint) bool { return e.Zone == 0 })
	}},
	{"all back cold, burst", func(s *shape) { s.load, s.burst = 0.4, burst }, func(f *fleet) {
		f.returning(8*sec, 11*sec, 0, func(e *endpoint) bool { return true })
	}},
	{"all replaced, calls come all at once", func(s *shape) { s.load, s.burst = 0.1, calm }, func(f *fleet) { f.join(1) }},
	{"all replaced, calls come all at once, no reports", func(s *shape) { s.load, s.burst, s.silent = 0.1, calm, true }, func(f *fleet) { f.join(1) }},
	{"all cold from the start", func(s *shape) { s.load, s.cold = 0.5, true }, func(f *fleet) {}},
	{"all cold from the start, no reports", func(s *shape) { s.load, s.cold, s.silent = 0.5, true, true }, func(f *fleet) {}},
	{"join, balancers restarted in turn", func(s *shape) { s.load = 0.85 }, func(f *fleet) {
		f.join(0.6)
		f.each(8*sec, 6*sec, (*member).restart)
	}},
	{"join, balancers restarted at once, no reports", func(s *shape) { s.load, s.silent = 0.85, true }, func(f *fleet) {
		f.join(0.6)
		f.each(10*sec, 0, (*member).restart)
	}},
	{"join, hand-over", func(s *shape) { s.load = 0.85 }, func(f *fleet) {
		f.join(0.6)
		f.each(8*sec, 6*sec, (*member).handOver)
	}},
	{"join, as many balancers again", func(s *shape) { s.load, s.told = 0.6, s.balancers }, func(f *fleet) {
		f.join(0.6)
		f.grow(9 * sec)
	}},
}

// grow adds as many balancers as there are, and the others are not told; each of all then has half of the calls.
func (f *fleet) grow(at time.Duration) {
	n := len(f.members)
	f.shape.burst = func(now time.Duration) float64 {
		if now > at {
			return 0.5
		}
		return 1
	}
	f.after(at-f.now, func() {
		for i := range n {
			var list []Server
			for _, s := range f.members[i].b.listed {
				list = append(list, s.Server)
			}
			m := f.begin(i, uint64(i)+7000*f.seed)
			m.hear(Cached, list)
			m.next(f.load*float64(f.shape.endpoints)/f.work/float64(n), 0)
		}
	})
}

// Cold endpoints under the sum of what all balancers send, first calls, retries and hedges, in every window of the fall:
// no rule broken on any day, at any size.
func TestFleetCold(t *testing.T) {
	for _, day := range coldDays {
		t.Run(day.name, func(t *testing.T) {
			for _, balancers := range []int{20, 30, 80} {
				all := newFalls()
				good, asked, work, could, sends, arrived, least := 0.0, 0.0, 0.0, 0.0, 0, 0, 1.0
				for seed := range *coldSeeds {
					// Endpoints, their speed and how they truly warm change with the seed.
					sh := shape{balancers: balancers, endpoints: []int{12, 60, 24}[seed%3], seed: uint64(seed + 1), modules: 1000 * uint64(seed+1), ended: 26 * sec,
						work: []float64{0.1, 0.04, 0.2}[(seed/3)%3], start: 0.25, warm: 14 * sec}
					if seed%2 == 1 {
						sh.start, sh.warm = 0.15, 22*sec
					}
					day.shape(&sh)
					f := fleetOf(t, sh)
					f.watchCold()
					day.day(f)
					f.run()
					f.settled()
					for id := range f.falls.fell {
						all.fell[id+ServerID(seed)<<16] = true
					}
					for id := range f.falls.broken {
						all.broken[id+ServerID(seed)<<16] = true
					}
					all.most, all.mostTold = max(all.most, f.falls.most), max(all.mostTold, f.falls.mostTold)
					g, a := 0.0, 0.0
					for worth, n := range f.arrived {
						a += worth * float64(n)
						g += worth * float64(f.inTime[worth])
						arrived += n
					}
					good, asked, sends, least = good+g, asked+a, sends+f.sends, min(least, g/a)
					work, could = work+f.coldWork, could+f.coldCould
				}
				t.Logf("%-46s %3d balancers: fell %3d, broken %3d, most %.2f, told %.2f of the bound; cold work %.2f, worth %.3f (least %.3f), attempts %.2f",
					day.name, balancers, len(all.fell), len(all.broken), all.most, all.mostTold, work/could, good/asked, least, float64(sends)/float64(arrived))
				if good < 0.3*asked {
					t.Errorf("%d balancers: %.2f of the worth in time", balancers, good/asked)
				}
				if len(all.broken) > 0 {
					t.Errorf("%d balancers: %d cold endpoints pushed over by those who were told", balancers, len(all.broken))
				}
			}
		})
	}
}

// cold is a fleet's modules alone, with endpoints that have just started and a known rate of warm ones: nothing answers,
// and all that is counted are the calls to each endpoint.
type coldFleet struct {
	t        *testing.T
	balancer []*Balancer
	sends    map[ServerID][]time.Duration
	now      time.Duration
	id       RequestID
}

type coldHost struct {
	*member //nolint:unused // its methods are the actions that this host ignores
	f       *coldFleet
}

func (h coldHost) Send(_ RequestID, to ServerID)           { h.f.sends[to] = append(h.f.sends[to], h.f.now) }
func (h coldHost) Reject(RequestID, time.Duration)         {}
func (h coldHost) Fail(RequestID)                          {}
func (h coldHost) Cancel(RequestID, int)                   {}
func (h coldHost) CloseIdle(ServerID)                      {}
func (h coldHost) Watch()                                  {}
func (h coldHost) Log(string)                              {}
func (h coldHost) ServerProgress(ServerID) ServerProgress  { return ServerProgress{} }
func (h coldHost) WaitsSince(RequestID, int) time.Duration { return 0 }
func (h coldHost) Hedged(Hedge)                            {}
func (h coldHost) SetTimer(at time.Duration, _ uint64)     {}

const coldFull = 10.0 // calls a second of a warm endpoint

func newColdFleet(t *testing.T, balancers, endpoints int) *coldFleet {
	t.Helper()
	f := &coldFleet{t: t, sends: map[ServerID][]time.Duration{}, now: sec}
	var list []Server
	for i := range endpoints {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 3, State: Ready, StartedAt: sec})
	}
	for i := range balancers {
		cfg := fleetSettings(balancers)
		cfg.Index, cfg.Zone, cfg.MaxAttempts = i, i%3, 1
		b, err := New(cfg, uint64(i), coldHost{f: f})
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(f.now, Cached, list)
		b.serverCapacity = coldFull
		f.balancer = append(f.balancer, b)
	}
	return f
}

// ask brings calls to every balancer until a time, each so many at each step.
func (f *coldFleet) ask(until, step time.Duration, calls int) {
	for ; f.now < until; f.now += step {
		for _, b := range f.balancer {
			for range calls {
				f.id++
				b.Request(f.now, Request{ID: f.id, Tenant: -1, TimeLeft: 5 * sec})
			}
		}
	}
}

// holds checks every window of the fall against what an endpoint of that age may get.
func (f *coldFleet) holds() {
	f.t.Helper()
	s, all := fleetSettings(1), 0
	for id, at := range f.sends {
		all += len(at)
		for i, last := range at {
			first := i
			for first > 0 && at[first-1] > last-s.OverloadWindow {
				first--
			}
			c := s.InitialCapacity + (1-s.InitialCapacity)*(last-sec).Seconds()/s.SlowStart.Seconds()
			n := s.OverloadMultiple * c * coldFull * s.OverloadWindow.Seconds()
			if got := float64(i - first + 1); got > n+2*math.Sqrt(n)+2 {
				f.t.Fatalf("endpoint %d got %.0f calls in the window up to %v, and %.1f push it over", id, got, last, n+2*math.Sqrt(n)+2)
			}
		}
	}
	if all == 0 {
		f.t.Error("no calls at all")
	}
	f.t.Logf("%d calls to %d endpoints", all, len(f.sends))
}

// Where all endpoints are cold a balancer whose own may have no more falls back on all others, as any other does.
func TestColdBeyondSubset(t *testing.T) {
	f := newColdFleet(t, 30, 60)
	f.ask(3*sec, 10*ms, 1)
	f.holds()
}

// Many balancers with few calls each save one up for the same endpoints, and a burst brings them all.
func TestColdSavedUp(t *testing.T) {
	f := newColdFleet(t, 80, 12)
	f.ask(sec+ms, ms, 1)
	f.now = 13 * sec
	f.ask(f.now+sec, 50*ms, 8)
	f.holds()
}

// A cold endpoint that is out at all balancers gets trials from all of them at once.
func TestColdTrials(t *testing.T) {
	f := newColdFleet(t, 80, 12)
	for _, b := range f.balancer {
		b.servers[1].ejected = true
	}
	f.ask(sec+500*ms, 10*ms, 1)
	f.holds()
}
