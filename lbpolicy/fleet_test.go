package lbpolicy

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates many balancers in front of one set of endpoints in virtual time, and counts their actions together. What is safe
// for one balancer may overload an endpoint when all of them do it. The rules that it checks are those of randomWorkload.
type fleet struct {
	scenario
	t               *testing.T
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	seq             int
	members         []*member
	replacedMembers []*member // that a successor has replaced
	endpoints       map[ServerID]*simulatedEndpoint
	trace           uint64

	arrived, inTime, rejected        map[float64]int // by priority weight
	sends                            int
	slowStartWork, slowStartCapacity float64 // in seconds of work: done by endpoints in slow start, and possible
	maxOverloadRatio                 float64 // largest work sent to an endpoint in slow start in a window, over the work that overloads it
	overloads                        overloadStats
}

// scenario configures a fleet, its endpoints and its traffic.
type scenario struct {
	balancerCount, endpointCount int
	seed, firstBalancerSeed      uint64        // of the scenario, and of the first balancer
	load                         float64       // as a share of the capacity of all endpoints when warmed up
	arrivalsEnd                  time.Duration // no requests arrive after it
	meanWork                     float64       // of a request, in seconds on a warmed-up endpoint
	startCapacity                float64       // share of its full capacity that an endpoint has when it starts
	slowStart                    time.Duration
	maxQueued                    int // requests that an endpoint queues; 0: no limit
	noLoadReports                bool
	allInSlowStart               bool // all endpoints and all balancers start at the same time
	unevenTraffic                bool // one balancer in five gets five times the traffic of each other one
	configuredBalancers          int  // number of balancers in the settings; 0: the actual number
	rateFactor                   func(now time.Duration) float64
}

// member is a balancer of the fleet with its host: it keeps the endpoint list that the balancer received, and its requests.
type member struct {
	*fleet
	balancer         *Balancer
	listedStates     map[ServerID]State
	listedStartTimes map[ServerID]time.Duration
	clientRequests   map[RequestID]*simulatedRequest
	successor        *member // that has replaced it; nil: none
}

type simulatedRequest struct {
	class        Class
	arrivedAt    time.Duration
	finalAnswers int
	attempts     int
	openAttempts map[int]bool
}

// simulatedEndpoint is one core that answers requests one after another. In most scenarios it has more capacity in slow start than the
// balancers' settings assume: it starts at a quarter, where they assume a seventh, and is warmed up in two thirds of the time.
type simulatedEndpoint struct {
	Server
	*scenario
	hanging        bool
	busyUntil      time.Duration
	queued         int
	completions    []time.Duration // of requests, in the last second
	recentArrivals []arrivalWork
}

type arrivalWork struct {
	at       time.Duration
	work     float64
	informed bool // the balancer knew of the endpoint's start
}

func (e *simulatedEndpoint) capacity(now time.Duration) float64 {
	if e.StartedAt <= 0 {
		return 1
	}
	return min(1, e.startCapacity+(1-e.startCapacity)*(now-e.StartedAt).Seconds()/e.slowStart.Seconds())
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + max(d, 0), f.seq, do})
}

func (f *fleet) run() {
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func fleetSettings(balancers int) Settings {
	class := func(priorityWeight float64, effect Effect, scope Scope) Class {
		return Class{LatencyObjective: 2 * sec, Deadline: 5 * sec, PriorityWeight: priorityWeight, Effect: effect, Scope: scope, Window: 8 * sec}
	}
	return Settings{Balancers: balancers,
		Classes:     []Class{class(1, Idempotent, 0), class(3, KeyedIdempotent, ScopeAll), class(10, KeyedIdempotent, ScopeZone)},
		MaxAttempts: 3, MayCancel: true, MayHedge: true, SendsRetryAfter: true, MaxRetryAfter: 2 * sec, ConnIdleTimeout: 5 * sec,
		InitialCapacity: 0.15, SlowStart: 22 * sec, OverloadMultiple: 2.5, OverloadWindow: 2 * sec, MaxPollInterval: 10 * sec,
		CrossZonePrice: 0.01, ReportFields: []ReportField{FieldUtilization, FieldRequestRate}}
}

// newFleet returns a fleet whose balancers start within a second, each with an even share of the load.
func newFleet(t *testing.T, balancers, endpoints int, load float64, duration time.Duration) *fleet {
	t.Helper()
	return newScenarioFleet(t, scenario{balancerCount: balancers, endpointCount: endpoints, seed: uint64(balancers), load: load, arrivalsEnd: duration,
		meanWork: 0.1, startCapacity: 0.25, slowStart: 14 * sec})
}

func newScenarioFleet(t *testing.T, config scenario) *fleet {
	t.Helper()
	f := &fleet{scenario: config, t: t, rng: rand.New(rand.NewPCG(config.seed, 4)), endpoints: map[ServerID]*simulatedEndpoint{},
		arrived: map[float64]int{}, inTime: map[float64]int{}, rejected: map[float64]int{}, now: sec, overloads: newOverloadStats()}
	var list []Server
	for i := range config.endpointCount {
		s := Server{ID: ServerID(i + 1), Zone: i % 3, State: Ready}
		if config.allInSlowStart {
			s.StartedAt = f.now
		}
		f.addEndpoint(s)
		list = append(list, s)
	}
	total := config.load * float64(config.endpointCount) / config.meanWork
	for i := range config.balancerCount {
		m := f.startBalancer(i, uint64(i)+config.firstBalancerSeed)
		delay, rate := time.Duration(f.rng.Float64()*float64(sec)), total/float64(config.balancerCount)
		if config.allInSlowStart {
			delay = 0
		}
		if config.unevenTraffic {
			rate *= map[bool]float64{true: 5, false: 1}[i%5 == 0] / 1.8
		}
		f.schedule(delay, func() { m.receiveList(Cached, list); m.scheduleRequest(rate, 0) })
	}
	return f
}

// startBalancer adds a balancer with the settings of the scenario to the members.
func (f *fleet) startBalancer(i int, seed uint64) *member {
	cfg := fleetSettings(f.balancerCount)
	if f.scenario.configuredBalancers > 0 {
		cfg.Balancers = f.scenario.configuredBalancers
	}
	if f.noLoadReports {
		cfg.ReportFields = nil
	}
	cfg.Index, cfg.Zone = i%cfg.Balancers, i%3
	m := &member{fleet: f, listedStates: map[ServerID]State{}, listedStartTimes: map[ServerID]time.Duration{}, clientRequests: map[RequestID]*simulatedRequest{}}
	var err error
	if m.balancer, err = New(cfg, seed, m); err != nil {
		f.t.Fatal(err)
	}
	f.members = append(f.members, m)
	return m
}

func (f *fleet) addEndpoint(s Server) {
	f.endpoints[s.ID] = &simulatedEndpoint{Server: s, scenario: &f.scenario}
}

func (m *member) receiveList(kind ListKind, list []Server) {
	for _, s := range list {
		m.listedStates[s.ID], m.listedStartTimes[s.ID] = s.State, s.StartedAt
	}
	m.balancer.UpdateEndpoints(m.now, kind, list)
	if m.successor != nil {
		m.successor.receiveList(kind, list)
	}
}

// publish sends an update to every balancer, to each after a random delay of its own.
func (f *fleet) publish(maxDelay time.Duration, list ...Server) {
	for _, m := range f.members {
		f.schedule(time.Duration(f.rng.Float64()*float64(maxDelay)), func() { m.receiveList(Delta, list) })
	}
}

func (m *member) scheduleRequest(rate float64, requests int) {
	currentRate := rate
	if m.rateFactor != nil {
		currentRate *= m.rateFactor(m.now)
	}
	m.schedule(time.Duration(m.rng.ExpFloat64()/currentRate*float64(sec)), func() {
		if m.now > m.arrivalsEnd {
			return
		}
		if m.successor != nil {
			m.successor.scheduleRequest(rate, requests+1)
			return
		}
		id, class := RequestID(requests+1), min(m.rng.IntN(5)/2, 2)
		request := &simulatedRequest{class: m.balancer.settings.Classes[class], arrivedAt: m.now, openAttempts: map[int]bool{}}
		m.clientRequests[id] = request
		m.arrived[request.class.PriorityWeight]++
		m.balancer.Request(m.now, Request{ID: id, Class: class, Tenant: -1, TimeLeft: request.class.Deadline})
		m.scheduleRequest(rate, requests+1)
	})
}

func (m *member) traceAction(action string, id RequestID, s ServerID) {
	hash := fnv.New64a()
	fmt.Fprint(hash, m.trace, m.now, m.balancer.settings.Index, action, id, s)
	m.trace = hash.Sum64()
}

func (m *member) Send(id RequestID, to ServerID) {
	m.traceAction("send", id, to)
	request, endpoint := m.clientRequests[id], m.endpoints[to]
	if request.finalAnswers > 0 || m.now >= request.arrivedAt+request.class.Deadline {
		m.t.Fatalf("rule 1: balancer %d sends request %d after its final answer or deadline", m.balancer.settings.Index, id)
	}
	if m.listedStates[to] != Ready {
		m.t.Fatalf("rule 3: balancer %d sends to endpoint %d, which is listed in state %d", m.balancer.settings.Index, to, m.listedStates[to])
	}
	attempt := request.attempts
	request.attempts++
	request.openAttempts[attempt] = true
	m.sends++
	endAttempt := func(verdict Verdict, latency time.Duration, load []float32) {
		if !request.openAttempts[attempt] {
			return
		}
		delete(request.openAttempts, attempt)
		final := verdict == OK && request.finalAnswers == 0
		if final {
			m.recordFinalAnswer(id)
			if m.now-request.arrivedAt <= request.class.LatencyObjective {
				m.inTime[request.class.PriorityWeight]++
			}
		}
		m.balancer.Outcome(m.now, Outcome{ID: id, Attempt: attempt, Server: to, Verdict: verdict, Latency: latency, Final: final || request.finalAnswers > 0, Load: load})
	}
	sent := m.now
	if endpoint == nil {
		m.schedule(250*ms, func() { endAttempt(ConnectFailed, m.now-sent, nil) })
		return
	}
	m.schedule(request.arrivedAt+request.class.Deadline-m.now, func() { endAttempt(Timeout, m.now-sent, nil) })
	if endpoint.hanging {
		return
	}
	work := m.rng.ExpFloat64() * m.meanWork
	endpoint.recordSlowStartArrival(m, work)
	if m.maxQueued > 0 && endpoint.queued >= m.maxQueued {
		m.schedule(ms, func() { endAttempt(ServerFull, m.now-sent, nil) })
		return
	}
	endpoint.busyUntil = max(endpoint.busyUntil, m.now) + time.Duration(work/endpoint.capacity(m.now)*float64(sec))
	endpoint.queued++
	m.schedule(endpoint.busyUntil-m.now, func() {
		endpoint.queued--
		endpoint.completions = append(endpoint.completions, m.now)
		if endpoint.capacity(m.now) < 1 {
			m.slowStartWork += work
		}
		endAttempt(OK, m.now-sent, endpoint.loadReport(m.now))
	})
}

// recordSlowStartArrival adds up the work sent to an endpoint in slow start within the overload window, for rule 4.
func (e *simulatedEndpoint) recordSlowStartArrival(m *member, work float64) {
	capacityShare, window := e.capacity(m.now), 2*sec
	if capacityShare >= 1 {
		return
	}
	e.recentArrivals = append(e.recentArrivals, arrivalWork{m.now, work, m.listedStartTimes[e.ID] == e.StartedAt})
	for len(e.recentArrivals) > 0 && e.recentArrivals[0].at <= m.now-window {
		e.recentArrivals = e.recentArrivals[1:]
	}
	total, informed := 0.0, 0.0
	for _, a := range e.recentArrivals {
		total += a.work
		if a.informed {
			informed += a.work
		}
	}
	m.maxOverloadRatio = max(m.maxOverloadRatio, total/(2.5*capacityShare*window.Seconds()))
	m.overloads.record(e, m.now, total, informed/total)
}

// loadReport returns the utilization and the rate of the last second. Requests that have not ended do not count yet.
func (e *simulatedEndpoint) loadReport(now time.Duration) []float32 {
	if e.noLoadReports {
		return nil
	}
	for len(e.completions) > 0 && e.completions[0] < now-sec {
		e.completions = e.completions[1:]
	}
	rate := float64(len(e.completions))
	return []float32{float32(min(1, rate*e.meanWork/e.capacity(now))), float32(rate)}
}

func (m *member) recordFinalAnswer(id RequestID) {
	request := m.clientRequests[id]
	if request.finalAnswers++; request.finalAnswers > 1 {
		m.t.Fatalf("rule 1: balancer %d gives request %d a second final answer", m.balancer.settings.Index, id)
	}
}

func (m *member) Reject(id RequestID, _ time.Duration) {
	m.traceAction("refuse", id, 0)
	m.recordFinalAnswer(id)
	m.rejected[m.clientRequests[id].class.PriorityWeight]++
}
func (m *member) Fail(id RequestID) { m.traceAction("fail", id, 0); m.recordFinalAnswer(id) }
func (m *member) Cancel(id RequestID, attempt int) {
	m.schedule(0, func() {
		if request := m.clientRequests[id]; request.openAttempts[attempt] {
			delete(request.openAttempts, attempt)
			m.balancer.Outcome(m.now, Outcome{ID: id, Attempt: attempt, Verdict: Cancelled, Final: request.finalAnswers > 0})
		}
	})
}
func (m *member) CloseIdle(ServerID)                               {}
func (m *member) Watch()                                           {}
func (m *member) Log(string)                                       {}
func (m *member) LogServer(ServerID, string)                       {}
func (m *member) ServerProgress(ServerID) ServerProgress           { return ServerProgress{} }
func (m *member) WaitingSince(RequestID, int) time.Duration        { return 0 }
func (m *member) ResponseProgress(RequestID, int) ResponseProgress { return ResponseAwaited }
func (m *member) RecordHedge(Hedge)                                {}
func (m *member) SetTimer(at time.Duration, token uint64) {
	m.schedule(at-m.now, func() { m.balancer.Timer(m.now, token) })
}

// replaceEndpoint has an endpoint drain, and a new one start in its place. The balancers learn of both with a delay.
func (f *fleet) replaceEndpoint(at time.Duration, replacedID, replacementID ServerID) {
	f.schedule(at-f.now, func() {
		replaced := f.endpoints[replacedID].Server
		replaced.State = Draining
		s := Server{ID: replacementID, Zone: replaced.Zone, State: Ready, StartedAt: f.now}
		f.addEndpoint(s)
		f.publish(sec, replaced)
		f.publish(2*sec, s)
		replaced.State = Removed
		f.schedule(3*sec, func() { f.publish(sec, replaced) })
	})
}

// checkFinalState checks that each request has one final answer (rule 1), and that the balancers keep no finished requests.
func (f *fleet) checkFinalState() {
	for _, m := range append(f.replacedMembers, f.members...) {
		for id, request := range m.clientRequests {
			if request.finalAnswers != 1 {
				f.t.Fatalf("rule 1: balancer %d: request %d has %d final answers, want 1", m.balancer.settings.Index, id, request.finalAnswers)
			}
		}
		if n := len(m.balancer.requests); n > 0 || m.balancer.inFlight != 0 {
			f.t.Fatalf("balancer %d keeps %d requests and has %d in flight, want none", m.balancer.settings.Index, n, m.balancer.inFlight)
		}
	}
}

// restart kills a balancer and starts it again with its last endpoint list. Its requests in progress count as answered, as their
// clients have to retry them.
func (m *member) restart() {
	var list []Server
	for _, s := range m.balancer.listed {
		list = append(list, s.Server)
	}
	for _, request := range m.clientRequests {
		if request.finalAnswers == 0 {
			request.finalAnswers = 1
		}
		clear(request.openAttempts)
	}
	var err error
	if m.balancer, err = New(m.balancer.settings, uint64(m.balancer.settings.Index)+1000, m); err != nil {
		m.t.Fatal(err)
	}
	m.receiveList(Cached, list)
}

// runRollingReplacement simulates the replacement of six in ten endpoints within 7 s, at a load of 0.85.
func runRollingReplacement(t *testing.T, balancers int) *fleet {
	t.Helper()
	const endpoints = 60
	f := newFleet(t, balancers, endpoints, 0.85, 30*sec)
	for i := range endpoints * 6 / 10 {
		f.replaceEndpoint(6*sec+time.Duration(i)*7*sec/36, ServerID(i+1), ServerID(1000+i))
	}
	for at := 12 * sec; at < 20*sec; at += 100 * ms { // adds up the work that the new endpoints could do
		f.schedule(at-f.now, func() {
			if at == 12*sec {
				f.slowStartWork = 0
			}
			for i := range endpoints * 6 / 10 {
				if e := f.endpoints[ServerID(1000+i)]; e != nil {
					f.slowStartCapacity += e.capacity(f.now) * 0.1
				}
			}
		})
	}
	var work float64
	f.schedule(20*sec-f.now, func() { work = f.slowStartWork })
	f.run()
	f.slowStartWork = work
	f.checkFinalState()
	for _, m := range f.members {
		if n := len(m.balancer.servers); n != endpoints {
			t.Fatalf("balancer %d keeps %d endpoints, want %d", m.balancer.settings.Index, n, endpoints)
		}
	}
	return f
}

// Six in ten endpoints are replaced within 7 s, in fleets of several sizes. No rule is broken. No endpoint in slow start is
// overloaded, or left idle while the others are overloaded. The requests of the highest priority weight are served, and the attempts
// of all balancers together are bounded. The test guards against actions that one balancer may take but not all of them together:
// first requests to an endpoint in slow start, budgets for each window, and retries. The bounds leave room for differences between
// seeds. FLEET-SCALE.md lists measured values.
func TestFleetRollingReplacement(t *testing.T) {
	for _, balancers := range []int{1, 10, 80, 200} {
		f := runRollingReplacement(t, balancers)
		requests, share := 0, func(n map[float64]int, weight float64) float64 {
			return float64(n[weight]) / float64(f.arrived[weight])
		}
		for _, n := range f.arrived {
			requests += n
		}
		t.Logf("%d balancers: work in slow start %.2f of what was possible, largest overload ratio %.2f, attempts per request %.2f, "+
			"in time %.2f %.2f %.2f, rejected %.2f %.2f %.2f (priority weights 1, 3, 10)", balancers, f.slowStartWork/f.slowStartCapacity, f.maxOverloadRatio,
			float64(f.sends)/float64(requests), share(f.inTime, 1), share(f.inTime, 3), share(f.inTime, 10),
			share(f.rejected, 1), share(f.rejected, 3), share(f.rejected, 10))
		if f.maxOverloadRatio > 0.95 {
			t.Errorf("%d balancers: an endpoint in slow start got %.2f of the work that overloads it, want at most 0.95", balancers, f.maxOverloadRatio)
		}
		if minShare := 0.5; f.slowStartWork < minShare*f.slowStartCapacity {
			t.Errorf("%d balancers: endpoints in slow start did %.2f of the work that they could do in a shortage, want at least 0.5", balancers, f.slowStartWork/f.slowStartCapacity)
		}
		if float64(f.sends) > (1+retryBudgetRatio)*float64(requests) {
			t.Errorf("%d balancers: %d attempts for %d requests, want at most 1+retryBudgetRatio per request", balancers, f.sends, requests)
		}
		if share(f.inTime, 10) < 0.75 || share(f.inTime, 10) < share(f.inTime, 1)+0.05 {
			t.Errorf("%d balancers: %.2f of weight 10 and %.2f of weight 1 answered in time, want at least 0.75 of weight 10 and a difference of 0.05", balancers,
				share(f.inTime, 10), share(f.inTime, 1))
		}
		if again := runRollingReplacement(t, balancers); again.trace != f.trace {
			t.Errorf("%d balancers: two runs with the same seed differ", balancers)
		}
	}
}

// Two of five balancers are partitioned from the others while endpoints are replaced by new ones that all of them see. The number of
// balancers is set as a fleet with membership views sets it. The isolated balancers take a negligible share, one in 4096, once they
// notice the partition, before the others take over their share. After the partition heals, each has an even share again. No endpoint
// in slow start is overloaded. A run without a partition is logged for comparison.
func TestFleetPartitionOverloadsNoEndpoint(t *testing.T) {
	simulate := func(partitioned bool) float64 {
		f := newFleet(t, 5, 30, 0.5, 30*sec)
		for i := range 18 {
			f.replaceEndpoint(6*sec+time.Duration(i)*7*sec/18, ServerID(i+1), ServerID(1000+i))
		}
		setBalancers := func(at time.Duration, group []*member, balancers int, indexOf func(i int) int) {
			f.schedule(at-f.now, func() {
				for i, m := range group {
					m.balancer.SetBalancers(f.now, balancers, indexOf(i))
				}
			})
		}
		if partitioned {
			sameIndex := func(i int) int { return i }
			setBalancers(7*sec+2250*ms, f.members[3:], 4096, func(int) int { return 0 })
			setBalancers(7*sec+4300*ms, f.members[:3], 3, sameIndex)
			setBalancers(18*sec, f.members, 5, sameIndex)
		}
		f.run()
		f.checkFinalState()
		return f.maxOverloadRatio
	}
	connected, partitioned := simulate(false), simulate(true)
	t.Logf("largest overload ratio %.2f, and %.2f with two of five balancers partitioned", connected, partitioned)
	if partitioned > 0.95 {
		t.Errorf("an endpoint in slow start got %.2f of the work that overloads it, want at most 0.95", partitioned)
	}
}

// A zone stops answering and restarts. Half of the balancers learn of the restart 6 s late, and a third of them are killed and start
// again with stale lists. No rule is broken. No endpoint in slow start is overloaded by the balancers that know of the restart and
// those that do not. The attempts stay within the retry budgets of all balancers. The test guards against all balancers moving to the
// other zones, or to the restarted one, at the same moment.
func TestFleetZoneRestartOverloadsNoEndpoint(t *testing.T) {
	for _, balancers := range []int{1, 10, 80, 200} {
		f := newFleet(t, balancers, 60, 0.6, 30*sec)
		f.schedule(6*sec, func() {
			for _, e := range f.endpoints {
				e.hanging = e.Zone == 0
			}
		})
		f.schedule(14*sec, func() {
			var restarted []Server
			for id := ServerID(1); id <= 60; id++ {
				if e := f.endpoints[id]; e.hanging {
					e.hanging, e.busyUntil, e.StartedAt, e.completions = false, f.now, f.now, nil
					restarted = append(restarted, e.Server)
				}
			}
			for i, m := range f.members {
				delay := time.Duration(i%2) * 6 * sec
				f.schedule(delay+time.Duration(f.rng.Float64()*float64(sec)), func() { m.receiveList(Delta, restarted) })
				if i%3 == 1 {
					f.schedule(2*sec, m.restart)
				}
			}
		})
		f.run()
		f.checkFinalState()
		requests := 0
		for _, n := range f.arrived {
			requests += n
		}
		servedShare := float64(f.inTime[10]) / float64(f.arrived[10])
		t.Logf("%d balancers: largest overload ratio %.2f, attempts per request %.2f, %.2f of weight 10 answered in time", balancers,
			f.maxOverloadRatio, float64(f.sends)/float64(requests), servedShare)
		// With 200 balancers each has too few requests for its budget to be the bound, and half of them do not know of the restart.
		if limit := map[bool]float64{true: 0.8, false: 1.25}[balancers <= 80]; f.maxOverloadRatio > limit {
			t.Errorf("%d balancers: an endpoint in slow start got %.2f of the work that overloads it, want at most 0.8 (up to 80 balancers) or 1.25", balancers, f.maxOverloadRatio)
		}
		if float64(f.sends) > (1+retryBudgetRatio)*float64(requests) {
			t.Errorf("%d balancers: %d attempts for %d requests, want at most 1+retryBudgetRatio per request", balancers, f.sends, requests)
		}
		if servedShare < 0.9 {
			t.Errorf("%d balancers: %.2f of weight 10 answered in time, want at least 0.9", balancers, servedShare)
		}
	}
}
