package lbpolicy

import (
	"flag"
	"math"
	"testing"
	"time"
)

var coldSeeds = flag.Int("coldseeds", 2, "seeds for each day and size of TestFleetCold")

// overloadStats compares the work sent to endpoints in slow start with the bound above which one is overloaded. The bound is
// N + 2*sqrt(N) + 2 requests of mean work within the overload window. N is OverloadMultiple times the number of requests that the
// settings assume for the endpoint's age. An overloaded endpoint goes on answering here, so that each window counts.
type overloadStats struct {
	overloaded, overloadedByInformed map[ServerID]bool // the latter: over two thirds of the work is from balancers that knew of the start
	maxRatio                         float64           // of the bound, with the work of all balancers
	maxInformedRatio                 float64           // the same, in windows with over two thirds of the work from informed balancers
	maxMultiple                      float64           // largest work in a window, as a multiple of N
}

func newOverloadStats() overloadStats {
	return overloadStats{overloaded: map[ServerID]bool{}, overloadedByInformed: map[ServerID]bool{}}
}

// record compares the work sent to an endpoint in one overload window with the bound. informedShare is the share of that work from
// balancers that knew of the endpoint's start.
func (s *overloadStats) record(e *simulatedEndpoint, now time.Duration, work, informedShare float64) {
	settings := fleetSettings(1)
	age := (now - e.StartedAt).Seconds() / settings.SlowStart.Seconds()
	minimum := min(1, settings.InitialCapacity+(1-settings.InitialCapacity)*age)
	n := settings.OverloadMultiple * minimum * settings.OverloadWindow.Seconds() / e.meanWork
	ratio := work / e.meanWork / (n + 2*math.Sqrt(n) + 2)
	s.maxRatio, s.maxMultiple = max(s.maxRatio, ratio), max(s.maxMultiple, work/e.meanWork/n)
	if ratio > 1 {
		s.overloaded[e.ID] = true
	}
	if informedShare > 2./3 {
		s.maxInformedRatio = max(s.maxInformedRatio, ratio)
		if ratio > 1 {
			s.overloadedByInformed[e.ID] = true
		}
	}
}

// handOver replaces a balancer by a successor, which restores its snapshot and takes over its traffic.
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

// measureSlowStartCapacity adds up, every 100 ms, the work that endpoints in slow start could do.
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

// failAndRestart has endpoints hang from one time on and restart at another. Half of the balancers learn of the restart late.
func (f *fleet) failAndRestart(failAt, restartAt, delay time.Duration, matches func(*simulatedEndpoint) bool) {
	f.schedule(failAt-f.now, func() {
		for _, e := range f.endpoints {
			e.hanging = e.hanging || matches(e)
		}
	})
	f.schedule(restartAt-f.now, func() {
		var restarted []Server
		for id := ServerID(1); id <= ServerID(f.scenario.endpointCount); id++ {
			if e := f.endpoints[id]; e != nil && e.hanging {
				e.hanging, e.busyUntil, e.StartedAt, e.completions = false, f.now, f.now, nil
				restarted = append(restarted, e.Server)
			}
		}
		for i, m := range f.members {
			f.schedule(time.Duration(i%2)*delay+time.Duration(f.rng.Float64()*float64(sec)), func() { m.receiveList(Delta, restarted) })
		}
	})
}

// replaceShare replaces a share of the endpoints within 7 s.
func (f *fleet) replaceShare(share float64) {
	n := int(share * float64(f.scenario.endpointCount))
	for i := range n {
		f.replaceEndpoint(6*sec+time.Duration(i)*7*sec/time.Duration(n), ServerID(i+1), ServerID(1000+i))
	}
}

// forEachMember calls a function for each balancer in turn, at even intervals.
func (f *fleet) forEachMember(from, spread time.Duration, action func(*member)) {
	for i := range f.members {
		f.schedule(from+spread*time.Duration(i)/time.Duration(len(f.members))-f.now, func() { action(f.members[i]) })
	}
}

// doubledRate returns the factor of an arrival rate that doubles for 6 s.
func doubledRate(now time.Duration) float64 {
	if now > 11*sec && now < 17*sec {
		return 2
	}
	return 1
}

// lullThenBurst returns the factor of a low arrival rate that rises ninefold for 5 s.
func lullThenBurst(now time.Duration) float64 {
	if now > 13*sec && now < 18*sec {
		return 9
	}
	return 1
}

// slowStartScenarios are the scenarios in which a fleet could overload an endpoint in slow start.
// Lists of known failures refer to their names. In these, "join" is a replacement of endpoints, "throng" a burst while endpoints
// restart, "cold" means in slow start, "held" is the queue limit, and "told" the number of balancers in the settings.
var slowStartScenarios = []struct {
	name      string
	configure func(*scenario)
	addEvents func(*fleet)
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

// doubleBalancers starts as many further balancers as there are, without changing the settings of the others. Each balancer then gets
// half of its former requests.
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

// Endpoints in slow start get the first attempts, retries and hedged requests of all balancers together. Balancers that know of an
// endpoint's start do not overload it in any overload window. No rule is broken in any scenario, at any fleet size.
func TestFleetCold(t *testing.T) {
	for _, test := range slowStartScenarios {
		t.Run(test.name, func(t *testing.T) {
			for _, balancers := range []int{20, 30, 80} {
				totals := newOverloadStats()
				weightInTime, weightArrived, workDone, workPossible, sends, arrived, lowestShare := 0.0, 0.0, 0.0, 0.0, 0, 0, 1.0
				for seed := range *coldSeeds {
					// The number of endpoints, their speed and their actual slow start vary with the seed.
					config := scenario{balancerCount: balancers, endpointCount: []int{12, 60, 24}[seed%3], seed: uint64(seed + 1), firstBalancerSeed: 1000 * uint64(seed+1), arrivalsEnd: 26 * sec,
						meanWork: []float64{0.1, 0.04, 0.2}[(seed/3)%3], startCapacity: 0.25, slowStart: 14 * sec}
					if seed%2 == 1 {
						config.startCapacity, config.slowStart = 0.15, 22*sec
					}
					test.configure(&config)
					f := newScenarioFleet(t, config)
					f.measureSlowStartCapacity()
					test.addEvents(f)
					f.run()
					f.checkFinalState()
					for id := range f.overloads.overloaded {
						totals.overloaded[id+ServerID(seed)<<16] = true
					}
					for id := range f.overloads.overloadedByInformed {
						totals.overloadedByInformed[id+ServerID(seed)<<16] = true
					}
					totals.maxRatio, totals.maxInformedRatio = max(totals.maxRatio, f.overloads.maxRatio), max(totals.maxInformedRatio, f.overloads.maxInformedRatio)
					served, offered := 0.0, 0.0
					for weight, n := range f.arrived {
						offered += weight * float64(n)
						served += weight * float64(f.inTime[weight])
						arrived += n
					}
					weightInTime, weightArrived, sends, lowestShare = weightInTime+served, weightArrived+offered, sends+f.sends, min(lowestShare, served/offered)
					workDone, workPossible = workDone+f.slowStartWork, workPossible+f.slowStartCapacity
				}
				t.Logf("%-46s %3d balancers: overloaded %3d, by informed balancers %3d; largest work %.2f, by informed balancers %.2f of the bound; work in slow start %.2f, weight in time %.3f (least %.3f), attempts per request %.2f",
					test.name, balancers, len(totals.overloaded), len(totals.overloadedByInformed), totals.maxRatio, totals.maxInformedRatio, workDone/workPossible, weightInTime/weightArrived, lowestShare, float64(sends)/float64(arrived))
				if weightInTime < 0.3*weightArrived {
					t.Errorf("%d balancers: %.2f of the priority weight answered in time, want at least 0.3", balancers, weightInTime/weightArrived)
				}
				if len(totals.overloadedByInformed) > 0 {
					t.Errorf("%d balancers: %d endpoints in slow start overloaded by balancers that knew of the start, want none", balancers, len(totals.overloadedByInformed))
				}
			}
		})
	}
}

// slowStartFleet is a fleet of balancers alone. All endpoints have just started, and the rate of warmed-up ones is known. No request is
// answered; the requests sent to each endpoint are recorded.
type slowStartFleet struct {
	t         *testing.T
	balancers []*Balancer
	sends     map[ServerID][]time.Duration
	now       time.Duration
	id        RequestID
}

type slowStartHost struct {
	*member //nolint:unused // its methods are the actions that this host ignores
	fleet   *slowStartFleet
}

func (h slowStartHost) Send(_ RequestID, to ServerID) {
	h.fleet.sends[to] = append(h.fleet.sends[to], h.fleet.now)
}
func (h slowStartHost) Reject(RequestID, time.Duration)                  {}
func (h slowStartHost) Fail(RequestID)                                   {}
func (h slowStartHost) Cancel(RequestID, int)                            {}
func (h slowStartHost) CloseIdle(ServerID)                               {}
func (h slowStartHost) Watch()                                           {}
func (h slowStartHost) Log(string)                                       {}
func (h slowStartHost) LogServer(ServerID, string)                       {}
func (h slowStartHost) ServerProgress(ServerID) ServerProgress           { return ServerProgress{} }
func (h slowStartHost) WaitingSince(RequestID, int) time.Duration        { return 0 }
func (h slowStartHost) ResponseProgress(RequestID, int) ResponseProgress { return ResponseAwaited }
func (h slowStartHost) RecordHedge(Hedge)                                {}
func (h slowStartHost) SetTimer(at time.Duration, _ uint64)              {}

const fullRequestRate = 10.0 // requests per second of a warmed-up endpoint

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
		b, err := New(cfg, uint64(i), slowStartHost{fleet: f})
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(f.now, Cached, list)
		b.serverCapacity = fullRequestRate
		f.balancers = append(f.balancers, b)
	}
	return f
}

// sendRequests sends requests to every balancer until a time, the given number at each step.
func (f *slowStartFleet) sendRequests(until, step time.Duration, count int) {
	for ; f.now < until; f.now += step {
		for _, b := range f.balancers {
			for range count {
				f.id++
				b.Request(f.now, Request{ID: f.id, Tenant: -1, TimeLeft: 5 * sec})
			}
		}
	}
}

// checkOverloadBound checks that no endpoint got more requests than the bound for its age in any overload window.
func (f *slowStartFleet) checkOverloadBound() {
	f.t.Helper()
	settings, total := fleetSettings(1), 0
	for id, sentAt := range f.sends {
		total += len(sentAt)
		for i, last := range sentAt {
			first := i
			for first > 0 && sentAt[first-1] > last-settings.OverloadWindow {
				first--
			}
			capacityShare := settings.InitialCapacity + (1-settings.InitialCapacity)*(last-sec).Seconds()/settings.SlowStart.Seconds()
			n := settings.OverloadMultiple * capacityShare * fullRequestRate * settings.OverloadWindow.Seconds()
			if got := float64(i - first + 1); got > n+2*math.Sqrt(n)+2 {
				f.t.Fatalf("endpoint %d got %.0f requests in the overload window up to %v, want at most %.1f", id, got, last, n+2*math.Sqrt(n)+2)
			}
		}
	}
	if total == 0 {
		f.t.Error("no requests sent")
	}
	f.t.Logf("%d requests to %d endpoints", total, len(f.sends))
}

// Where all endpoints are in slow start, each balancer whose subset has no budget left falls back to the other endpoints. Together they
// overload none.
func TestSlowStartBoundHoldsBeyondSubset(t *testing.T) {
	f := newSlowStartFleet(t, 30, 60)
	f.sendRequests(3*sec, 10*ms, 1)
	f.checkOverloadBound()
}

// Many balancers with few requests each save up budget for the same endpoints. A burst that spends it at once overloads none.
func TestSlowStartBoundHoldsForSavedBudgets(t *testing.T) {
	f := newSlowStartFleet(t, 80, 12)
	f.sendRequests(sec+ms, ms, 1)
	f.now = 13 * sec
	f.sendRequests(f.now+sec, 50*ms, 8)
	f.checkOverloadBound()
}

// An endpoint in slow start that is ejected at all balancers gets probes from all of them at once, and is not overloaded.
func TestSlowStartBoundHoldsForProbes(t *testing.T) {
	f := newSlowStartFleet(t, 80, 12)
	for _, b := range f.balancers {
		b.servers[1].ejected = true
	}
	f.sendRequests(sec+500*ms, 10*ms, 1)
	f.checkOverloadBound()
}
