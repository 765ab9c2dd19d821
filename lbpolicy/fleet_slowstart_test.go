package lbpolicy

import (
	"flag"
	"math"
	"testing"
	"time"
)

var coldSeeds = flag.Int("coldseeds", 2, "seeds for each day and size of TestFleetCold")

// overloadStats holds what cold endpoints get against the bound past which one overloadStats: in the fall window more than N + 2 root of
// N + 2 calls of mean work, N being the fall multiple of what the settings promise for its age. It does not stay down
// here, so that each window counts.
type overloadStats struct {
	overloaded, overloadedByInformed map[ServerID]bool // broken: over two thirds from balancers that had been told of the start
	maxRatio                         float64           // of the bound, from those who had been told of the start or not
	maxInformedRatio                 float64           // the same, of windows with over two thirds from those who had
	maxMultiple                      float64           // the most in a window, in N
}

func newOverloadStats() overloadStats {
	return overloadStats{overloaded: map[ServerID]bool{}, overloadedByInformed: map[ServerID]bool{}}
}

func (f *overloadStats) record(e *simulatedEndpoint, now time.Duration, work, told float64) {
	s := fleetSettings(1)
	age := (now - e.StartedAt).Seconds() / s.SlowStart.Seconds()
	least := min(1, s.InitialCapacity+(1-s.InitialCapacity)*age)
	n := s.OverloadMultiple * least * s.OverloadWindow.Seconds() / e.meanWork
	over := work / e.meanWork / (n + 2*math.Sqrt(n) + 2)
	f.maxRatio, f.maxMultiple = max(f.maxRatio, over), max(f.maxMultiple, work/e.meanWork/n)
	if over > 1 {
		f.overloaded[e.ID] = true
	}
	if told > 2./3 {
		f.maxInformedRatio = max(f.maxInformedRatio, over)
		if over > 1 {
			f.overloadedByInformed[e.ID] = true
		}
	}
}

// handOver lets a new process take a balancer's calls over, with what the old one has learnt.
func (m *member) handOver() {
	i := 0
	for m.members[i] != m {
		i++
	}
	next := m.startBalancer(m.balancer.settings.Index, m.rng.Uint64())
	m.members = m.members[:len(m.members)-1]
	m.members[i] = next
	var list []Server
	for _, s := range m.balancer.listed {
		list = append(list, s.Server)
	}
	next.receiveList(Cached, list)
	next.balancer.Restore(m.now, m.balancer.Snapshot(m.now))
	m.successor = next
	m.replacedMembers = append(m.replacedMembers, m)
}

// measureSlowStartCapacity adds up what cold endpoints could do.
func (f *fleet) measureSlowStartCapacity() {
	if f.now > f.arrivalsEnd {
		return
	}
	for _, e := range f.endpoints {
		if c := e.capacity(f.now); c < 1 && !e.hanging && f.now > e.StartedAt+sec {
			f.slowStartCapacity += c * 0.1
		}
	}
	f.schedule(100*ms, f.measureSlowStartCapacity)
}

// failAndRestart lets endpoints hang, and come back cold; half of the balancers learn of it late.
func (f *fleet) failAndRestart(from, to, late time.Duration, which func(*simulatedEndpoint) bool) {
	f.schedule(from-f.now, func() {
		for _, e := range f.endpoints {
			e.hanging = e.hanging || which(e)
		}
	})
	f.schedule(to-f.now, func() {
		var back []Server
		for id := ServerID(1); id <= ServerID(f.scenario.endpointCount); id++ {
			if e := f.endpoints[id]; e != nil && e.hanging {
				e.hanging, e.busyUntil, e.StartedAt, e.completions = false, f.now, f.now, nil
				back = append(back, e.Server)
			}
		}
		for i, m := range f.members {
			f.schedule(time.Duration(i%2)*late+time.Duration(f.rng.Float64()*float64(sec)), func() { m.receiveList(Delta, back) })
		}
	})
}

// replaceShare replaces part of the endpoints within 7 s.
func (f *fleet) replaceShare(part float64) {
	n := int(part * float64(f.scenario.endpointCount))
	for i := range n {
		f.replaceEndpoint(6*sec+time.Duration(i)*7*sec/time.Duration(n), ServerID(i+1), ServerID(1000+i))
	}
}

// forEachMember does something to all balancers in turn.
func (f *fleet) forEachMember(from, lasts time.Duration, do func(*member)) {
	for i := range f.members {
		f.schedule(from+lasts*time.Duration(i)/time.Duration(len(f.members))-f.now, func() { do(f.members[i]) })
	}
}

func doubledRate(now time.Duration) float64 {
	if now > 11*sec && now < 17*sec {
		return 2
	}
	return 1
}

// lullThenBurst is next to nothing, and then all at once.
func lullThenBurst(now time.Duration) float64 {
	if now > 13*sec && now < 18*sec {
		return 9
	}
	return 1
}

// slowStartScenarios are the days on which a fleet could push a cold endpoint over.
var slowStartScenarios = []struct {
	name  string
	shape func(*scenario)
	day   func(*fleet)
}{
	{"join", func(s *scenario) { s.load = 0.85 }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, no reports", func(s *scenario) { s.load, s.noLoadReports = 0.85, true }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, overload", func(s *scenario) { s.load = 1.4 }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, overload, no reports", func(s *scenario) { s.load, s.noLoadReports = 1.4, true }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, uneven", func(s *scenario) { s.load, s.unevenTraffic = 0.7, true }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, uneven, no reports", func(s *scenario) { s.load, s.unevenTraffic, s.noLoadReports = 0.7, true, true }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, no more than 5 calls held", func(s *scenario) { s.load, s.maxQueued = 0.85, 5 }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, balancers told by half", func(s *scenario) { s.load, s.configuredBalancers = 0.85, (s.balancerCount+1)/2 }, func(f *fleet) { f.replaceShare(0.6) }},
	{"join, balancers told twofold", func(s *scenario) { s.load, s.configuredBalancers = 0.85, 2*s.balancerCount }, func(f *fleet) { f.replaceShare(0.6) }},
	{"all replaced", func(s *scenario) { s.load = 0.5 }, func(f *fleet) { f.replaceShare(1) }},
	{"all replaced, no reports", func(s *scenario) { s.load, s.noLoadReports = 0.5, true }, func(f *fleet) { f.replaceShare(1) }},
	{"throng", func(s *scenario) { s.load, s.rateFactor = 0.5, doubledRate }, func(f *fleet) {
		f.replaceShare(0.3)
		f.failAndRestart(6*sec, 12*sec, 0, func(e *simulatedEndpoint) bool { return e.ID%3 == 0 })
	}},
	{"throng, uneven, 8 calls held", func(s *scenario) { s.load, s.rateFactor, s.unevenTraffic, s.maxQueued = 0.5, doubledRate, true, 8 }, func(f *fleet) {
		f.replaceShare(0.3)
		f.failAndRestart(6*sec, 12*sec, 0, func(e *simulatedEndpoint) bool { return e.ID%3 == 0 })
	}},
	{"throng, no reports", func(s *scenario) { s.load, s.rateFactor, s.noLoadReports = 0.5, doubledRate, true }, func(f *fleet) {
		f.replaceShare(0.3)
		f.failAndRestart(6*sec, 12*sec, 0, func(e *simulatedEndpoint) bool { return e.ID%3 == 0 })
	}},
	{"zone", func(s *scenario) { s.load = 0.6 }, func(f *fleet) {
		f.failAndRestart(6*sec, 14*sec, 6*sec, func(e *simulatedEndpoint) bool { return e.Zone == 0 })
	}},
	{"all back cold, burst", func(s *scenario) { s.load, s.rateFactor = 0.4, doubledRate }, func(f *fleet) {
		f.failAndRestart(8*sec, 11*sec, 0, func(e *simulatedEndpoint) bool { return true })
	}},
	{"all replaced, calls come all at once", func(s *scenario) { s.load, s.rateFactor = 0.1, lullThenBurst }, func(f *fleet) { f.replaceShare(1) }},
	{"all replaced, calls come all at once, no reports", func(s *scenario) { s.load, s.rateFactor, s.noLoadReports = 0.1, lullThenBurst, true }, func(f *fleet) { f.replaceShare(1) }},
	{"all cold from the start", func(s *scenario) { s.load, s.allInSlowStart = 0.5, true }, func(f *fleet) {}},
	{"all cold from the start, no reports", func(s *scenario) { s.load, s.allInSlowStart, s.noLoadReports = 0.5, true, true }, func(f *fleet) {}},
	{"join, balancers restarted in turn", func(s *scenario) { s.load = 0.85 }, func(f *fleet) {
		f.replaceShare(0.6)
		f.forEachMember(8*sec, 6*sec, (*member).restart)
	}},
	{"join, balancers restarted at once, no reports", func(s *scenario) { s.load, s.noLoadReports = 0.85, true }, func(f *fleet) {
		f.replaceShare(0.6)
		f.forEachMember(10*sec, 0, (*member).restart)
	}},
	{"join, hand-over", func(s *scenario) { s.load = 0.85 }, func(f *fleet) {
		f.replaceShare(0.6)
		f.forEachMember(8*sec, 6*sec, (*member).handOver)
	}},
	{"join, as many balancers again", func(s *scenario) { s.load, s.configuredBalancers = 0.6, s.balancerCount }, func(f *fleet) {
		f.replaceShare(0.6)
		f.doubleBalancers(9 * sec)
	}},
}

// doubleBalancers adds as many balancers as there are, and the others are not told; each of all then has half of the calls.
func (f *fleet) doubleBalancers(at time.Duration) {
	n := len(f.members)
	f.scenario.rateFactor = func(now time.Duration) float64 {
		if now > at {
			return 0.5
		}
		return 1
	}
	f.schedule(at-f.now, func() {
		for i := range n {
			var list []Server
			for _, s := range f.members[i].balancer.listed {
				list = append(list, s.Server)
			}
			m := f.startBalancer(i, uint64(i)+7000*f.seed)
			m.receiveList(Cached, list)
			m.scheduleRequest(f.load*float64(f.scenario.endpointCount)/f.meanWork/float64(n), 0)
		}
	})
}

// Cold endpoints under the sum of what all balancers send, first calls, retries and hedges, in every window of the fall:
// no rule broken on any day, at any size.
func TestFleetCold(t *testing.T) {
	for _, day := range slowStartScenarios {
		t.Run(day.name, func(t *testing.T) {
			for _, balancers := range []int{20, 30, 80} {
				all := newOverloadStats()
				good, asked, work, could, sends, arrived, least := 0.0, 0.0, 0.0, 0.0, 0, 0, 1.0
				for seed := range *coldSeeds {
					// Endpoints, their speed and how they truly warm change with the seed.
					sh := scenario{balancerCount: balancers, endpointCount: []int{12, 60, 24}[seed%3], seed: uint64(seed + 1), firstBalancerSeed: 1000 * uint64(seed+1), arrivalsEnd: 26 * sec,
						meanWork: []float64{0.1, 0.04, 0.2}[(seed/3)%3], startCapacity: 0.25, slowStart: 14 * sec}
					if seed%2 == 1 {
						sh.startCapacity, sh.slowStart = 0.15, 22*sec
					}
					day.shape(&sh)
					f := newScenarioFleet(t, sh)
					f.measureSlowStartCapacity()
					day.day(f)
					f.run()
					f.checkFinalState()
					for id := range f.overloads.overloaded {
						all.overloaded[id+ServerID(seed)<<16] = true
					}
					for id := range f.overloads.overloadedByInformed {
						all.overloadedByInformed[id+ServerID(seed)<<16] = true
					}
					all.maxRatio, all.maxInformedRatio = max(all.maxRatio, f.overloads.maxRatio), max(all.maxInformedRatio, f.overloads.maxInformedRatio)
					g, a := 0.0, 0.0
					for worth, n := range f.arrived {
						a += worth * float64(n)
						g += worth * float64(f.inTime[worth])
						arrived += n
					}
					good, asked, sends, least = good+g, asked+a, sends+f.sends, min(least, g/a)
					work, could = work+f.slowStartWork, could+f.slowStartCapacity
				}
				t.Logf("%-46s %3d balancers: fell %3d, broken %3d, most %.2f, told %.2f of the bound; cold work %.2f, worth %.3f (least %.3f), attempts %.2f",
					day.name, balancers, len(all.overloaded), len(all.overloadedByInformed), all.maxRatio, all.maxInformedRatio, work/could, good/asked, least, float64(sends)/float64(arrived))
				if good < 0.3*asked {
					t.Errorf("%d balancers: %.2f of the worth in time", balancers, good/asked)
				}
				if len(all.overloadedByInformed) > 0 {
					t.Errorf("%d balancers: %d cold endpoints pushed over by those who were told", balancers, len(all.overloadedByInformed))
				}
			}
		})
	}
}

// cold is a fleet's modules alone, with endpoints that have just started and a known rate of warm ones: nothing answers,
// and all that is counted are the calls to each endpoint.
type slowStartFleet struct {
	t         *testing.T
	balancers []*Balancer
	sends     map[ServerID][]time.Duration
	now       time.Duration
	id        RequestID
}

type slowStartHost struct {
	*member //nolint:unused // its methods are the actions that this host ignores
	f       *slowStartFleet
}

func (h slowStartHost) Send(_ RequestID, to ServerID)           { h.f.sends[to] = append(h.f.sends[to], h.f.now) }
func (h slowStartHost) Reject(RequestID, time.Duration)         {}
func (h slowStartHost) Fail(RequestID)                          {}
func (h slowStartHost) Cancel(RequestID, int)                   {}
func (h slowStartHost) CloseIdle(ServerID)                      {}
func (h slowStartHost) Watch()                                  {}
func (h slowStartHost) Log(string)                              {}
func (h slowStartHost) ServerProgress(ServerID) ServerProgress  { return ServerProgress{} }
func (h slowStartHost) WaitsSince(RequestID, int) time.Duration { return 0 }
func (h slowStartHost) Hedged(Hedge)                            {}
func (h slowStartHost) SetTimer(at time.Duration, _ uint64)     {}

const fullRequestRate = 10.0 // calls a second of a warm endpoint

func newSlowStartFleet(t *testing.T, balancers, endpoints int) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{t: t, sends: map[ServerID][]time.Duration{}, now: sec}
	var list []Server
	for i := range endpoints {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 3, State: Ready, StartedAt: sec})
	}
	for i := range balancers {
		cfg := fleetSettings(balancers)
		cfg.Index, cfg.Zone, cfg.MaxAttempts = i, i%3, 1
		b, err := New(cfg, uint64(i), slowStartHost{f: f})
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(f.now, Cached, list)
		b.serverCapacity = fullRequestRate
		f.balancers = append(f.balancers, b)
	}
	return f
}

// sendRequests brings calls to every balancer until a time, each so many at each step.
func (f *slowStartFleet) sendRequests(until, step time.Duration, calls int) {
	for ; f.now < until; f.now += step {
		for _, b := range f.balancers {
			for range calls {
				f.id++
				b.Request(f.now, Request{ID: f.id, Tenant: -1, TimeLeft: 5 * sec})
			}
		}
	}
}

// checkOverloadBound checks every window of the fall against what an endpoint of that age may get.
func (f *slowStartFleet) checkOverloadBound() {
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
			n := s.OverloadMultiple * c * fullRequestRate * s.OverloadWindow.Seconds()
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
func TestSlowStartBoundHoldsBeyondSubset(t *testing.T) {
	f := newSlowStartFleet(t, 30, 60)
	f.sendRequests(3*sec, 10*ms, 1)
	f.checkOverloadBound()
}

// Many balancers with few calls each save one up for the same endpoints, and a burst brings them all.
func TestSlowStartBoundHoldsForSavedBudgets(t *testing.T) {
	f := newSlowStartFleet(t, 80, 12)
	f.sendRequests(sec+ms, ms, 1)
	f.now = 13 * sec
	f.sendRequests(f.now+sec, 50*ms, 8)
	f.checkOverloadBound()
}

// A cold endpoint that is out at all balancers gets trials from all of them at once.
func TestSlowStartBoundHoldsForProbes(t *testing.T) {
	f := newSlowStartFleet(t, 80, 12)
	for _, b := range f.balancers {
		b.servers[1].ejected = true
	}
	f.sendRequests(sec+500*ms, 10*ms, 1)
	f.checkOverloadBound()
}
