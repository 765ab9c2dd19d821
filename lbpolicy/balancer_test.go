package lbpolicy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// recorder is a Host that records the balancer's actions in order.
type recorder struct {
	responseProgress ResponseProgress // of all attempts

	actions []string
	sends   []ServerID
	timers  map[uint64]time.Duration
}

func (h *recorder) record(format string, a ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, a...))
}
func (h *recorder) Send(id RequestID, s ServerID) {
	h.record("send %d %d", id, s)
	h.sends = append(h.sends, s)
}
func (h *recorder) Reject(id RequestID, _ time.Duration)             { h.record("refuse %d", id) }
func (h *recorder) Fail(id RequestID)                                { h.record("fail %d", id) }
func (h *recorder) Cancel(id RequestID, n int)                       { h.record("cancel %d %d", id, n) }
func (h *recorder) CloseIdle(s ServerID)                             { h.record("close %d", s) }
func (h *recorder) Watch()                                           { h.record("watch") }
func (h *recorder) Log(text string)                                  {}
func (h *recorder) LogServer(ServerID, string)                       {}
func (h *recorder) ServerProgress(ServerID) ServerProgress           { return ServerProgress{} }
func (h *recorder) WaitingSince(RequestID, int) time.Duration        { return 0 }
func (h *recorder) ResponseProgress(RequestID, int) ResponseProgress { return h.responseProgress }
func (h *recorder) RecordHedge(Hedge)                                {}
func (h *recorder) SetTimer(at time.Duration, token uint64) {
	if h.timers == nil {
		h.timers = map[uint64]time.Duration{}
	}
	h.timers[token] = at
}

func (h *recorder) count(prefix string) (n int) {
	for _, a := range h.actions {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

func (h *recorder) lastAction() string {
	if len(h.actions) == 0 {
		return ""
	}
	return h.actions[len(h.actions)-1]
}

func testSettings() Settings {
	class := func(priorityWeight float64, effect Effect, scope Scope) Class {
		return Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: priorityWeight, Effect: effect, Scope: scope, Window: 2 * sec}
	}
	return Settings{Balancers: 1, Classes: []Class{class(1, Idempotent, 0), class(3, KeyedIdempotent, ScopeAll),
		class(5, KeyedIdempotent, ScopeZone), class(5, KeyedIdempotent, ScopeCell), class(10, NonIdempotent, 0)},
		MaxAttempts: 3, MayCancel: true, MayHedge: true, InitialCapacity: 0.2, SlowStart: 10 * sec,
		OverloadMultiple: 3, OverloadWindow: 2 * sec, MaxPollInterval: 8 * sec,
		ReportFields: []ReportField{FieldUtilization}}
}

func newBalancer(t *testing.T, cfg Settings, list ...Server) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(sec, Cached, list)
	return b, h
}

func readyServers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 2, Cell: i % 4, State: Ready})
	}
	return list
}

// In the resting slots the highest row stays at T1, and the lowest row is lower by restingSpread. To the right the thresholds
// fall. Each row reaches zero before the next one falls below ownLevelThreshold.
func TestTableShedsLowestLevelFirst(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	top := b.table[len(b.table)-1]
	for slot := range top {
		if slot < restingSlots && (top[slot] != 1 || b.table[0][slot] != 1-restingSpread) {
			t.Errorf("slot %d: highest row %v and lowest row %v, want 1 and 1-restingSpread", slot, top[slot], b.table[0][slot])
		}
		if slot >= restingSlots && top[slot] >= top[slot-1] {
			t.Errorf("slot %d: threshold of the highest row is %v after %v, want a lower one", slot, top[slot], top[slot-1])
		}
		for level := 1; level < len(b.table); level++ {
			if b.table[level-1][slot] > b.table[level][slot] {
				t.Errorf("slot %d: threshold of level %d is above that of level %d", slot, level-1, level)
			}
			if v := b.table[level][slot]; v < ownLevelThreshold && b.table[level-1][slot] != 0 {
				t.Errorf("slot %d: level %d is shed to %v before level %d is shed completely", slot, level, v, level-1)
			}
		}
	}
	if top[len(top)-1] <= 0 {
		t.Error("the highest level is rejected completely in the last slot")
	}
}

// A row's threshold follows the shortest latency objective of its priority weight and all higher ones. With one mean objective
// for all classes, requests of low weight with a long objective would fill the queue and delay requests of high weight with a
// short objective.
func TestThresholdFollowsShortestObjective(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{LatencyObjective: 3 * sec, Deadline: 6 * sec, PriorityWeight: 1}, {LatencyObjective: sec, Deadline: 6 * sec, PriorityWeight: 2},
		{LatencyObjective: 2 * sec, Deadline: 6 * sec, PriorityWeight: 3}}
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	if want := []float64{1, 1, 1, 2}; !slices.Equal(b.levelObjectives, want) {
		t.Fatalf("latency objectives by level are %v, want %v", b.levelObjectives, want)
	}
	b.slowRate, b.baseLatency, b.startedAt = 100, 0.01, -60*sec
	if low, top := b.threshold(sec, 2), b.threshold(sec, 3); top < 1.5*low {
		t.Fatalf("thresholds %v (objective 1 s) and %v (objective 2 s), want the second at least 1.5 times the first", low, top)
	}
}

// Attempts that a full server rejects, here by refusing the connection, do not count as answered. Otherwise T1 would grow in an
// overload with the number of admitted requests.
func TestRejectedAsFullIsNotCountedAsAnswered(t *testing.T) {
	for verdict, answered := range map[Verdict]bool{OK: true, ConnectFailed: false} {
		b, _ := newBalancer(t, testSettings(), readyServers(4)...)
		for i := range 400 {
			now := 2*sec + time.Duration(i)*10*ms
			b.Request(now, Request{ID: RequestID(i), Class: 4, TimeLeft: 3 * sec})
			for n := range 3 {
				b.Outcome(now, Outcome{ID: RequestID(i), Attempt: n, Verdict: verdict, Latency: ms, Final: verdict == OK})
			}
		}
		if got := b.slowRate > 50; got != answered {
			t.Errorf("verdict %d: answer rate is %.0f per second, want over 50 only for OK", verdict, b.slowRate)
		}
	}
}

// Load reports do not affect the ranking; the balancer's own requests in flight do. All balancers read the same late report, and a
// ranking by reports would send all of them to the same idle server.
func TestLoadReportsDoNotAffectRanking(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(2)...)
	b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{0.1}})
	b.recordOutcome(2*sec, b.subset[1], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{0.9}})
	b.subset[0].inFlight = 1
	if x, y := b.score(2*sec, b.subset[0]), b.score(2*sec, b.subset[1]); x <= y {
		t.Fatalf("scores %v (low reported load, one request in flight) and %v (high reported load, none in flight), want the first one higher", x, y)
	}
}

// Time-outs and rejections of ejected servers do not count in the load of the servers in use.
func TestEjectedServersDoNotCountAsLoad(t *testing.T) {
	for _, isEjected := range []bool{false, true} {
		b, _ := newBalancer(t, testSettings(), readyServers(4)...)
		b.subset[0].ejected = isEjected
		b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: ServerFull})
		b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: Timeout, Latency: 3 * sec})
		if got := b.fullCount > 0 && b.latencySum > 0; got == isEjected {
			t.Errorf("ejected %t: outcomes counted %t, want them counted only if the server is not ejected", isEjected, got)
		}
	}
}

// Servers in slow start get requests in proportion to their capacity. Otherwise a release that restarts half of the pool would
// leave that half idle.
func TestServersInSlowStartGetTheirShare(t *testing.T) {
	list := readyServers(8)
	for i := range 4 {
		list[i].StartedAt = 100 * sec
	}
	b, h := newBalancer(t, testSettings(), list...)
	for i := range 2000 {
		now := 105*sec + time.Duration(i)*ms
		b.Request(now, Request{ID: RequestID(i), TimeLeft: 3 * sec})
		b.Outcome(now, Outcome{ID: RequestID(i), Latency: 50 * ms, Final: true})
	}
	toSlowStart := 0
	for _, s := range h.sends {
		if s <= 4 {
			toSlowStart++
		}
	}
	c := b.capacity(106*sec, b.servers[1])
	got, want := float64(toSlowStart)/float64(len(h.sends)), c/(1+c)
	if got < 0.8*want || got > 1.2*want {
		t.Fatalf("servers in slow start got %.2f of the requests, want about %.2f, their share of the capacity", got, want)
	}
}

// The capacity of a server in slow start rises above the minimum for its age where its load reports show more. The reports count
// the requests of all balancers. Held to that minimum, the server would stay partly idle. A server whose reports show less keeps the
// minimum.
func TestLoadReportsRaiseCapacityInSlowStart(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.ReportFields = 10, []ReportField{FieldUtilization, FieldRequestRate}
	list := readyServers(4)
	list[0].StartedAt, list[1].StartedAt = 100*sec, 100*sec
	b, _ := newBalancer(t, cfg, list...)
	report := func(id ServerID, utilization, requestRate float32) {
		b.recordOutcome(102*sec, b.servers[id], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{utilization, requestRate}})
	}
	report(1, 0.5, 30) // capacity 60/s; a warmed-up server has 100/s
	report(2, 0.1, 9)  // below minReportedUtilization
	report(3, 0.8, 80)
	report(4, 0.5, 50)
	b.checkHealth(102 * sec)
	minimum := cfg.InitialCapacity + (1-cfg.InitialCapacity)*0.2
	if known, unknown := b.capacity(102*sec, b.servers[1]), b.capacity(102*sec, b.servers[2]); known < 0.5 ||
		known > 0.6 || unknown != minimum {
		t.Fatalf("capacities %.2f with a usable report and %.2f without, want about 0.54 and %.2f", known, unknown, minimum)
	}
	for _, s := range b.listed { // capacity is relative to that of warmed-up servers
		if s.ID > 2 {
			s.reportedCapacity *= 2
		}
	}
	b.checkHealth(102 * sec)
	if c := b.capacity(102*sec, b.servers[1]); c != minimum {
		t.Fatalf("capacity %.2f of a server whose reports show less than the minimum for its age, want %.2f", c, minimum)
	}
}

// A server in slow start is ranked by its capacity like any other, within the budget that all balancers share. Otherwise it would
// stay idle beside an overloaded server.
func TestServerInSlowStartIsRankedWithinBudget(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.ReportFields = 10, []ReportField{FieldUtilization, FieldRequestRate}
	list := readyServers(2)
	list[0].StartedAt = 99 * sec
	b, h := newBalancer(t, cfg, list...)
	b.serverCapacity, b.servers[1].latency, b.servers[2].latency = 100, 0.05, 0.5
	for i := range 2000 { // over 4 s; each ends at once
		now := 101*sec + time.Duration(i)*2*ms
		b.Request(now, Request{ID: RequestID(i), Class: 4, TimeLeft: 3 * sec})
		b.Outcome(now, Outcome{ID: RequestID(i), Verdict: Cancelled, Final: true})
	}
	toSlowStart := 0
	for _, s := range h.sends {
		if s == 1 {
			toSlowStart++
		}
	}
	// The server's capacity rises from 0.36 to 0.68 in these 4 s. A tenth of the requests that it can answer is 21.
	if budget := 21 * warmingUpShare * cfg.OverloadMultiple; float64(toSlowStart) > budget || float64(toSlowStart) < 0.8*budget {
		t.Fatalf("%d requests to the server in slow start, want 0.8 to 1 times the budget of %.0f", toSlowStart, budget)
	}
}

// Each balancer starts with tokens for each tenant. Otherwise tenants would count as over quota whenever a balancer starts.
func TestTenantsHaveInitialAllowance(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.Tenants = 10, []Tenant{{QuotaPerSecond: 10}}
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	overQuota := 0
	for range 20 {
		if b.levelOf(Request{Class: 4}) == lowestLevel {
			overQuota++
		}
	}
	if overQuota < 10 || overQuota > 17 {
		t.Fatalf("%d of 20 requests at the start are over a quota of 1 per second, want 10 to 17", overQuota)
	}
}

// The cursor moves one step each period: right while the load is over its target, and left while it is under it. It stays within
// the table.
func TestCursorMovesOneStepPerPeriod(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	b.inFlight = 1000 // a queue long enough for the load to count
	step := func(util float64) int {
		for _, s := range b.subset {
			s.utilization, s.reportedAt = util, b.nextStep
		}
		before := b.cursor
		b.advance(b.nextStep)
		return b.cursor - before
	}
	if moved := step(0.5); moved != 0 || b.cursor != 0 {
		t.Fatalf("under the target in the first slot: cursor moved %d to %d, want it to stay at 0", moved, b.cursor)
	}
	for range 3 {
		if moved := step(1); moved != 1 {
			t.Fatalf("over the target: cursor moved %d, want 1", moved)
		}
	}
	if moved := step(0.5); moved != -1 {
		t.Fatalf("under the target: cursor moved %d, want -1", moved)
	}
	for range 100 {
		step(1)
	}
	if b.cursor != len(b.table[0])-1 {
		t.Fatalf("cursor %d, want the last slot", b.cursor)
	}
	before := b.cursor
	b.advance(b.nextStep + 3*b.period)
	if b.cursor >= before {
		t.Fatal("periods without events did not move the cursor left")
	}
}

// Slow answers to requests that were admitted earlier move the cursor right only while many requests are in flight. Otherwise the
// balancer would go on rejecting all requests after its queue has drained.
func TestSlowAnswersWithShortQueueDoNotMoveCursorRight(t *testing.T) {
	for inFlight, want := range map[int]int{2: 9, 200: 11} {
		b, _ := newBalancer(t, testSettings(), readyServers(4)...)
		b.cursor, b.inFlight = 10, inFlight
		for range 50 {
			b.recordOutcome(b.nextStep, b.subset[0], Outcome{Verdict: OK, Latency: 2 * sec})
		}
		b.advance(b.nextStep)
		if b.cursor != want {
			t.Errorf("in flight %d: cursor %d, want %d", inFlight, b.cursor, want)
		}
	}
}

// A server that answers between two failed connections is out of connections and is not ejected. Idle connections are then closed,
// as they take places in the server's connection table. Where handshakes have a price they stay open. A server with two failed
// connections and no answer in between is ejected.
func TestConnectionShortageClosesIdleConnections(t *testing.T) {
	for _, price := range []float64{0, 0.1} {
		cfg := testSettings()
		cfg.HandshakePrice, cfg.ConnIdleTimeout = price, 15*sec
		b, h := newBalancer(t, cfg, readyServers(1)...)
		endAttempt := func(id RequestID, n int, v Verdict) {
			b.Outcome(2*sec, Outcome{ID: id, Attempt: n, Server: 1, Verdict: v, Latency: 50 * ms, Final: v == OK})
		}
		for id := range RequestID(3) {
			b.Request(2*sec, Request{ID: id, TimeLeft: 3 * sec})
		}
		endAttempt(0, 0, OK)
		if h.count("close") > 0 {
			t.Fatal("idle connections closed without a connection shortage")
		}
		endAttempt(1, 0, ConnectFailed)
		if b.subset[0].ejected {
			t.Fatal("server that answers ejected for one failed connection")
		}
		endAttempt(2, 0, OK)
		if closed := h.count("close 1"); (closed > 0) != (price == 0) {
			t.Fatalf("handshake price %v: idle connections closed %d times, want some at price 0 and none otherwise", price, closed)
		}
		for id := RequestID(3); id < 6; id++ {
			b.Request(3*sec, Request{ID: id, TimeLeft: 3 * sec})
		}
		b.Outcome(3*sec, Outcome{ID: 3, Verdict: ConnectFailed})
		b.Outcome(3*sec, Outcome{ID: 4, Verdict: ConnectFailed})
		if !b.subset[0].ejected {
			t.Fatal("server not ejected after two failed connections with no answer in between")
		}
	}
}

// The lowest level is rejected first. It holds the retries that clients mark and, at the front tier only, the traffic over a
// tenant's quota.
func TestLowestLevelIsRejectedFirst(t *testing.T) {
	cfg := testSettings()
	cfg.RetriesMarked = true
	cfg.Tenants = []Tenant{{QuotaPerSecond: 1}}
	b, h := newBalancer(t, cfg, readyServers(4)...)
	b.cursor = restingSlots + slotsPerLevel - 1 // the lowest row is shed completely, the others are not
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec, Retry: true, Tenant: -1})
	b.Request(sec, Request{ID: 2, Class: 0, TimeLeft: 3 * sec, Tenant: -1})
	if got := fmt.Sprint(h.count("refuse 1"), h.count("send 2")); got != "1 1" {
		t.Fatalf("actions %v, want the marked retry rejected and request 2 sent", h.actions)
	}
	for id := RequestID(10); id < 20; id++ {
		b.Request(sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") < 6 {
		t.Fatalf("traffic over the quota was admitted: actions %v", h.actions)
	}
	cfg.Tier = 1
	b, h = newBalancer(t, cfg, readyServers(4)...)
	b.cursor = restingSlots + slotsPerLevel - 1
	for id := RequestID(10); id < 13; id++ {
		b.Request(sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") > 0 {
		t.Fatalf("quota was enforced again behind the front tier: actions %v", h.actions)
	}
}

// T1 has a minimum for a balancer with few requests, and grows with the rate of answers.
func TestThresholdGrowsWithRate(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	small := b.threshold(9*sec, 4)
	b.slowRate = 300
	if large := b.threshold(9*sec, 4); small < thresholdOffset || large < 300*maxQueueShare {
		t.Fatalf("T1 is %v without traffic and %v at 300 answers per second, want at least thresholdOffset and 300*maxQueueShare", small, large)
	}
}

// A balancer that has just started admits all requests. It knows no rate yet, and T1 at its minimum would reject them.
func TestNothingIsRejectedAtStart(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(40)...)
	for id := RequestID(1); id <= 100; id++ {
		b.Request(sec+time.Duration(id)*ms, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") > 0 {
		t.Fatalf("%d of 100 requests rejected at the start", h.count("refuse"))
	}
	for id := RequestID(1001); id <= 2000; id++ {
		b.Request(9*sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") == 0 {
		t.Fatal("no request rejected once the rate is known")
	}
}

// A burst after a pause, or long after the first endpoint list, is not an overload: the rate measured before no longer counts.
func TestBurstAfterPauseIsAdmitted(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(2)...)
	for _, at := range []time.Duration{30 * sec, 90 * sec} {
		*h = recorder{}
		for i := range RequestID(40) {
			b.Request(at, Request{ID: i, TimeLeft: 3 * sec})
		}
		if n := h.count("refuse"); n > 0 {
			t.Errorf("%d of 40 requests rejected after a pause", n)
		}
		for i, s := range h.sends {
			b.Outcome(at+sec/10, Outcome{ID: RequestID(i), Server: s, Verdict: OK, Latency: sec / 10, Final: true})
		}
	}
	*h = recorder{} // without a pause the measured rate counts
	for i := range RequestID(400) {
		b.Request(91*sec, Request{ID: i, TimeLeft: 3 * sec})
	}
	if h.count("refuse") == 0 {
		t.Error("no request rejected at ten times the measured rate")
	}
}

// Clients that always have less time than the initial guess of the latency are served once the guess has faded: no answer has
// confirmed it.
func TestShortDeadlineIsAdmittedOnceGuessFades(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(2)...)
	b.Request(sec, Request{ID: 1, TimeLeft: sec / 100})
	b.Request(40*sec, Request{ID: 2, TimeLeft: sec / 100})
	if h.actions[0] != "refuse 1" || h.count("send 2") != 1 {
		t.Errorf("before any answer: actions %v, want request 1 rejected and request 2 sent", h.actions)
	}
	for i := range RequestID(20) {
		at := 41*sec + time.Duration(i)*sec/2
		b.Request(at, Request{ID: 3 + i, TimeLeft: 3 * sec})
		b.Outcome(at+sec/2, Outcome{ID: 3 + i, Server: h.sends[len(h.sends)-1], Verdict: OK, Latency: sec / 2, Final: true})
	}
	b.Request(52*sec, Request{ID: 99, TimeLeft: sec / 100})
	if h.lastAction() != "refuse 99" {
		t.Errorf("after answers in 0.5 s: last action %v, want request 99 rejected", h.lastAction())
	}
}

// A balancer that starts in an overload does not learn its latency as normal.
func TestBaseLatencyDoesNotLearnOverload(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	for range 100000 {
		b.updateBaseLatency(0.95, 0.1)
	}
	if b.baseLatency > b.meanObjective/3+1e-9 {
		t.Fatalf("base latency %v, want at most a third of the objective %v", b.baseLatency, b.meanObjective)
	}
	b.baseLatency, b.cursor = 0.1, 5
	b.updateBaseLatency(0.9, 1)
	if b.baseLatency != 0.1 {
		t.Fatal("base latency rose while requests are shed")
	}
}

// Rule 2: a request is repeated only where the repeat cannot take effect twice. The cases combine each effect and scope with each
// state of the first attempt.
func TestRepeatsFollowEffectAndScope(t *testing.T) {
	first := Server{ID: 1, Zone: 0, Cell: 0, State: Ready}
	sameZone := Server{ID: 2, Zone: 0, Cell: 1, State: Ready}
	sameCell := Server{ID: 3, Zone: 0, Cell: 0, State: Ready}
	otherZone := Server{ID: 4, Zone: 1, Cell: 2, State: Ready}
	for _, c := range []struct {
		name                                  string
		class                                 int
		ended, never                          bool
		after                                 time.Duration
		otherZone, sameZone, sameCell, reject bool
	}{
		{"idempotent, in flight", 0, false, false, sec, true, true, true, true},
		{"keyed all, may have run", 1, true, false, sec, true, true, true, true},
		{"keyed all, window over", 1, true, false, 2 * sec, false, false, false, true},
		{"keyed zone, may have run", 2, true, false, sec, false, true, true, false},
		{"keyed zone, in flight", 2, false, false, sec, false, true, true, false},
		{"keyed zone, window over", 2, true, false, 2 * sec, false, false, false, false},
		{"keyed zone, never ran", 2, true, true, sec, true, true, true, true},
		{"keyed cell, may have run", 3, true, false, sec, false, false, true, false},
		{"keyed cell, never ran", 3, true, true, sec, true, true, true, true},
		{"non-idempotent, may have run", 4, true, false, sec, false, false, false, false},
		{"non-idempotent, in flight", 4, false, false, sec, false, false, false, false},
		{"non-idempotent, never ran", 4, true, true, sec, true, true, true, true},
	} {
		b, _ := newBalancer(t, testSettings(), first, sameZone, sameCell, otherZone)
		r := &request{class: &b.settings.Classes[c.class], deadline: 10 * sec, maxAttempts: 3,
			attempts: []attempt{{server: b.servers[1], sentAt: sec, ended: c.ended, neverRan: c.never}}}
		now := sec + c.after
		got := []bool{b.maySend(now, r, b.servers[4]), b.maySend(now, r, b.servers[2]),
			b.maySend(now, r, b.servers[3]), mayReject(now, r)}
		if want := []bool{c.otherZone, c.sameZone, c.sameCell, c.reject}; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: repeat allowed in another zone, the same zone, the same cell, and rejection allowed: %v, want %v", c.name, got, want)
		}
	}
}

// A request's own bound on attempts holds in addition to that of the settings: the lower one counts.
func TestRequestMaxAttemptsBoundsAttempts(t *testing.T) {
	for maxAttempts, want := range map[int]int{0: 3, 1: 1, 2: 2, 9: 3} {
		b, h := newBalancer(t, testSettings(), readyServers(4)...)
		b.Request(sec, Request{ID: 1, TimeLeft: 3 * sec, MaxAttempts: maxAttempts})
		for n := 0; n < len(h.sends); n++ {
			b.Outcome(sec, Outcome{ID: 1, Attempt: n, Server: h.sends[n], Verdict: ServerFull})
		}
		if len(h.sends) != want || h.count("refuse") != 1 {
			t.Errorf("MaxAttempts %d of the request: actions %v", maxAttempts, h.actions)
		}
	}
}

// A non-idempotent request is sent again after a verdict that proves that the attempt never ran. Any other verdict ends it as
// failed.
func TestNonIdempotentIsRetriedOnlyIfNeverRan(t *testing.T) {
	for v := OK + 1; v <= NotSent; v++ {
		b, h := newBalancer(t, testSettings(), readyServers(8)...)
		b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec})
		b.Outcome(sec+ms, Outcome{ID: 1, Server: h.sends[0], Verdict: v, Latency: ms})
		want := "fail 1"
		if v.NeverRan() {
			want = "send 1"
		}
		if !strings.HasPrefix(h.lastAction(), want) {
			t.Errorf("verdict %d: actions %v, want the last one to be %s", v, h.actions, want)
		}
	}
}

// Rule 1: a request that times out at its deadline gets one final answer, and no attempt is sent after it.
func TestRequestGetsOneFinalAnswer(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := newBalancer(t, testSettings(), readyServers(8)...)
		b.Request(sec, Request{ID: 1, Class: class, TimeLeft: sec})
		b.Outcome(2*sec, Outcome{ID: 1, Server: h.sends[0], Verdict: Timeout, Latency: sec})
		b.Outcome(2*sec, Outcome{ID: 1, Server: h.sends[0], Verdict: Timeout, Latency: sec})
		b.Timer(3*sec, 1)
		b.ClientDisconnected(3*sec, 1)
		if n := h.count("fail") + h.count("refuse"); n != 1 || h.count("send") != 1 || len(b.requests) != 0 {
			t.Errorf("class %d: actions %v, %d requests kept, want one attempt, one final answer and no request kept", class, h.actions, len(b.requests))
		}
	}
}

// A request at a silent server is hedged where that is allowed. Otherwise its attempt is cancelled before the next one is sent.
func TestSilentServerIsHedgedOrCancelled(t *testing.T) {
	for _, mayHedge := range []bool{true, false} {
		cfg := testSettings()
		cfg.MayHedge = mayHedge
		b, h := newBalancer(t, cfg, readyServers(8)...)
		b.Request(sec, Request{ID: 1, Class: 1, TimeLeft: 3 * sec})
		b.Timer(h.timers[1], 1)
		if !mayHedge {
			if h.lastAction() != "cancel 1 0" {
				t.Fatalf("actions %v, want a cancellation", h.actions)
			}
			b.Outcome(h.timers[1]+ms, Outcome{ID: 1, Server: h.sends[0], Verdict: Cancelled, Latency: sec})
		}
		if len(h.sends) != 2 || h.sends[0] == h.sends[1] {
			t.Fatalf("hedging allowed %t: actions %v, want two attempts at different servers", mayHedge, h.actions)
		}
	}
}

// Rule 3: a server that is draining, by a delta, or that is missing from a full list gets no new request.
func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	list := readyServers(3)
	b, h := newBalancer(t, testSettings(), list...)
	list[0].State = Draining
	b.UpdateEndpoints(sec, Delta, list[:1])
	list[1].State = Ready
	b.UpdateEndpoints(sec, Full, []Server{list[0], list[1]})
	for id := RequestID(1); id < 50; id++ {
		b.Request(sec, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
	}
	for _, s := range h.sends {
		if s != list[1].ID {
			t.Fatalf("request sent to server %d, which is draining or removed", s)
		}
	}
}

// Without servers, or with draining servers only, requests of each class are rejected at once.
func TestRequestsAreRejectedWithoutServers(t *testing.T) {
	drained := Server{ID: 1, State: Draining}
	for _, list := range [][]Server{nil, {drained}} {
		b, h := newBalancer(t, testSettings(), list...)
		for class := range b.settings.Classes {
			b.Request(sec, Request{ID: RequestID(class), Class: class, TimeLeft: sec})
		}
		if h.count("refuse") != len(b.settings.Classes) {
			t.Errorf("actions %v, want one rejection for each class", h.actions)
		}
	}
}

// Rule 4: in any overload window, many balancers together send a server in slow start no more than OverloadMultiple times what it
// can answer at its age. Warmed-up servers are assumed to be fully loaded.
func TestSlowStartBudgetHoldsAcrossBalancers(t *testing.T) {
	const balancers, servers, perSecond = 20, 10, 10.0
	cfg := testSettings()
	cfg.Balancers = balancers
	list := readyServers(servers)
	list[0].StartedAt = sec
	var sentAt []time.Duration
	for i := range balancers {
		cfg.Index = i
		h := &recorder{}
		b, err := New(cfg, uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(sec, Full, list)
		rng := rand.New(rand.NewPCG(uint64(i), 9))
		id := RequestID(0)
		for now := sec; now < 12*sec; now += time.Duration(rng.ExpFloat64() / perSecond * float64(sec)) {
			id++
			b.Request(now, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
			if n := len(h.sends); n > 0 && h.lastAction() == fmt.Sprintf("send %d %d", id, list[0].ID) {
				sentAt = append(sentAt, now)
			}
			if n := len(h.sends); n > 0 {
				b.Outcome(now, Outcome{ID: id, Server: h.sends[n-1], Latency: 50 * ms, Final: true})
			}
		}
	}
	fullRate := balancers * perSecond / servers // requests per second of a warmed-up server
	for from := sec; from < 10*sec; from += 100 * ms {
		n := 0
		for _, a := range sentAt {
			if a >= from && a < from+cfg.OverloadWindow {
				n++
			}
		}
		capacity := cfg.InitialCapacity + (1-cfg.InitialCapacity)*(from-sec).Seconds()/cfg.SlowStart.Seconds()
		if limit := cfg.OverloadMultiple * capacity * fullRate * cfg.OverloadWindow.Seconds(); float64(n) > limit {
			t.Fatalf("%d requests in the overload window from %v, want at most %.1f", n, from, limit)
		}
	}
	if len(sentAt) == 0 {
		t.Fatal("the server in slow start got no request")
	}
}

// A silent server is ejected, is probed with one request that may be repeated, and is readmitted when it answers.
func TestSilentServerIsEjectedAndProbed(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(6)...)
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 30 * sec})
	s := b.servers[h.sends[0]]
	b.checkHealth(sec + 10*sec)
	if !s.ejected || b.inFlightEjected != 1 {
		t.Fatalf("ejected %t, %d requests in flight at ejected servers, want true and 1", s.ejected, b.inFlightEjected)
	}
	b.Outcome(12*sec, Outcome{ID: 1, Server: s.ID, Verdict: Timeout, Latency: 11 * sec})
	idempotent, nonIdempotent := &request{class: &b.settings.Classes[0]}, &request{class: &b.settings.Classes[4]}
	if b.mayProbe(s.ejectedUntil-1, idempotent, s) || b.mayProbe(s.ejectedUntil, nonIdempotent, s) || !b.mayProbe(s.ejectedUntil, idempotent, s) {
		t.Fatal("probe allowed too early or for a non-idempotent request, or not allowed when due")
	}
	b.recordOutcome(20*sec, s, Outcome{Verdict: OK, Latency: ms})
	if s.ejected {
		t.Fatal("server still ejected after an answer")
	}
}

// When all servers are ejected at once, the fault is not in single servers: requests are still sent to them.
func TestRequestsAreSentWhenAllServersAreEjected(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(6)...)
	for _, s := range b.subset {
		b.eject(sec, s, "silent")
	}
	b.ejectedCount = len(b.subset)
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec})
	if h.count("send 1") != 1 {
		t.Fatalf("actions %v, want the request sent", h.actions)
	}
}

// Where discovery is polled, the first poll comes within MaxPollInterval, and a failed call is repeated after a backoff with jitter.
// Where discovery pushes lists, there is no poll.
func TestDiscoveryIsPolledWithBackoff(t *testing.T) {
	cfg := testSettings()
	_, h := newBalancer(t, cfg, readyServers(2)...)
	if len(h.timers) != 0 {
		t.Fatal("poll scheduled although discovery pushes lists")
	}
	cfg.PollDiscovery = true
	b, h := newBalancer(t, cfg, readyServers(2)...)
	at, ok := h.timers[discoveryToken]
	if !ok || at-sec > cfg.MaxPollInterval {
		t.Fatalf("first poll at %v, want it within MaxPollInterval", at)
	}
	for range 8 {
		b.Timer(at, discoveryToken)
		b.UpdateEndpoints(at, Failed, nil)
		next := h.timers[discoveryToken]
		if next <= at || next-at > cfg.MaxPollInterval {
			t.Fatalf("next poll %v after a failure, want it later and within MaxPollInterval", next-at)
		}
		at = next
	}
	polls := h.count("watch")
	b.UpdateEndpoints(at, Delta, readyServers(2))
	if polls != 8 || h.timers[discoveryToken] != at {
		t.Fatal("want 8 polls, and no further one scheduled after an update")
	}
	if len(b.listed) != 2 {
		t.Fatalf("%d servers after failed discovery calls, want the list of 2 kept", len(b.listed))
	}
}

// Events of unknown requests, attempts and servers are ignored, as are requests of an unknown class or with an ID in use. An unknown
// tenant counts as none.
func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(2)...)
	b.Outcome(sec, Outcome{ID: 99})
	b.Timer(sec, 99)
	b.ClientDisconnected(sec, 99)
	b.ResponseStarted(sec, 99)
	b.Request(sec, Request{ID: 1, Class: 77, TimeLeft: sec})
	b.Request(sec, Request{ID: 2, Class: 0, TimeLeft: sec, Tenant: 1 << 30})
	b.Request(sec, Request{ID: 2, Class: 0, TimeLeft: sec})
	b.Outcome(sec, Outcome{ID: 2, Attempt: 9})
	b.UpdateEndpoints(sec, Delta, []Server{{ID: 50, State: Removed}})
	b.Outcome(sec, Outcome{ID: 2, Server: h.sends[0], Latency: ms, Final: true, Load: []float32{1, 2, 3}})
	if len(h.actions) != 1 || b.inFlight != 0 {
		t.Fatalf("actions %v, %d in flight, want one action and none in flight", h.actions, b.inFlight)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Classes: none":    func(s *Settings) { s.Classes = nil },
		"Classes[0]":       func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Balancers":        func(s *Settings) { s.Balancers = 0 },
		"MaxAttempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"OverloadMultiple": func(s *Settings) { s.OverloadMultiple = -1 },
		"SlowStart":        func(s *Settings) { s.SlowStart = -1 },
		"QuotaPerSecond":   func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"must not be neg":  func(s *Settings) { s.Index = -1 },
	} {
		cfg := testSettings()
		invalidate(&cfg)
		if _, err := New(cfg, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
}

// The same seed and events give the same actions.
func TestSameSeedGivesSameActions(t *testing.T) {
	run := func() string {
		b, h := newBalancer(t, testSettings(), readyServers(40)...)
		for i := range 3000 {
			now := sec + time.Duration(i)*ms
			b.Request(now, Request{ID: RequestID(i), Class: i % 5, TimeLeft: sec})
			if i%3 > 0 && i > 50 {
				b.Outcome(now, Outcome{ID: RequestID(i - 50), Server: 1, Verdict: Verdict(i % 8), Latency: 50 * ms,
					Load: []float32{float32(i%100) / 100}})
			}
		}
		return strings.Join(h.actions, "\n")
	}
	if first := run(); first != run() || len(first) < 10000 {
		t.Fatal("two runs with the same seed differ, or took too few actions")
	}
}

// The policy files stay short enough for two engineers to review every change within an hour.
func TestPolicySizeLimits(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || slices.Contains([]string{"api.go", "settings.go", "report.go", "snapshot.go",
			"endpoints.go", "requests.go", "discovery.go"}, name) {
			continue // types, settings, reports and recorded state: these files decide nothing about requests
		}
		if !strings.Contains(string(deploy), `"lbpolicy/`+name+`"`) {
			t.Errorf("%s: missing from the policy files in deploy/balancer.toml", name)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d: line has %d columns, want at most 110", name, i+1, n)
			}
		}
	}
	if lines > 1200 || lines < 500 {
		t.Errorf("%d non-blank lines in the policy files, want 500 to 1,200", lines)
	}
}

// A server that answers with errors at once is ejected. Otherwise it would rank as the fastest and draw the traffic. Errors from all
// servers come from deeper in the chain and eject none.
func TestServerWithFastErrorsIsEjected(t *testing.T) {
	for _, allFail := range []bool{false, true} {
		b, _ := newBalancer(t, testSettings(), readyServers(6)...)
		for range 5 {
			for _, s := range b.subset {
				v := OK
				if allFail || s == b.subset[0] {
					v = Error
				}
				b.recordOutcome(2*sec, s, Outcome{Verdict: v, Latency: 50 * ms})
			}
		}
		if failing := b.subset[0]; failing.ejected == allFail || !allFail && b.score(2*sec, failing) <= b.score(2*sec, b.subset[1]) {
			t.Errorf("errors from all servers %t: first server ejected %t, want it ejected and ranked behind others only if it fails alone", allFail, failing.ejected)
		}
		if b.subset[1].ejected {
			t.Errorf("errors from all servers %t: a server was ejected that does not fail, or does not fail alone", allFail)
		}
	}
}

// A tenant that is within its quota over all balancers is not shed at a balancer that gets more than an even share of the traffic.
// Marked retries use no tokens of a tenant.
func TestTenantQuotaFollowsTrafficShare(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.RetriesMarked = 10, true
	cfg.Tenants = []Tenant{{QuotaPerSecond: 100}, {QuotaPerSecond: 100}}
	b, _ := newBalancer(t, cfg, readyServers(8)...)
	overQuota := [2]int{}
	for i := range 5000 { // 50 per second, where an even share is 20; the first tenant sends four times as much as the second
		now := 2*sec + time.Duration(i)*20*ms
		tenant := 0
		if i%5 == 0 {
			tenant = 1
		}
		b.Request(now, Request{ID: RequestID(i), Class: 4, Tenant: tenant, TimeLeft: 3 * sec})
		if i > 1000 && b.levelOf(Request{Tenant: tenant, Class: 4}) == lowestLevel {
			overQuota[tenant]++
		}
		before := b.tenants[tenant].tokens
		if b.levelOf(Request{Tenant: tenant, Class: 4, Retry: true}) != lowestLevel || b.tenants[tenant].tokens != before {
			t.Fatal("a marked retry is not at the lowest level, or uses a token")
		}
	}
	if overQuota[0] < 1000 || overQuota[1] > 0 {
		t.Fatalf("requests over quota by tenant: %v, want at least 1000 of the first and none of the second", overQuota)
	}
}

// A request that is rejected while a lower level is admitted moves the cursor, even with the load under its target. Otherwise T1
// alone would hold back the overload and reject requests of all levels.
func TestPriorityInversionMovesCursor(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	b.advance(9 * sec)
	b.inFlight = 1000
	b.Request(9*sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec})
	b.advance(b.nextStep)
	if b.cursor != 1 {
		t.Fatalf("cursor %d, want 1", b.cursor)
	}
	b.advance(b.nextStep)
	if b.cursor != 0 {
		t.Fatalf("cursor %d, want it back at 0", b.cursor)
	}
}

// A single connection reset does not eject a server; a second one with no answer in between does.
func TestSecondResetWithoutAnswerEjectsServer(t *testing.T) {
	h := &recorder{}
	b, err := New(testSettings(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(sec, Full, []Server{{ID: 1, State: Ready}})
	id, now := RequestID(0), sec
	endRequest := func(v Verdict) {
		id++
		now += ms
		b.Request(now, Request{ID: id, TimeLeft: 5 * sec})
		b.Outcome(now, Outcome{ID: id, Server: 1, Verdict: v, Latency: ms, Final: true})
	}
	for range 5 {
		endRequest(OK)
		endRequest(Reset)
	}
	if b.servers[1].ejected {
		t.Error("server ejected for single connection resets")
	}
	endRequest(Reset)
	if !b.servers[1].ejected {
		t.Error("server not ejected after two resets with no answer in between")
	}
}

// A server that rejects all requests as full while others answer is ejected, and again after a probe that it rejects.
func TestServerThatRejectsAsFullIsEjected(t *testing.T) {
	h := &recorder{}
	b, err := New(testSettings(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	var list []Server
	for id := range ServerID(6) {
		list = append(list, Server{ID: id + 1, State: Ready})
	}
	now := sec
	b.UpdateEndpoints(now, Full, list)
	// Two requests for each server are in flight at all times, so that each of the six servers gets some.
	type pendingAttempt struct {
		id RequestID
		n  int
	}
	var inFlight []pendingAttempt
	rejected, rejectedLate := 0, 0
	for id := range RequestID(2000) {
		now += 10 * ms
		b.Request(now, Request{ID: id + 1, TimeLeft: 5 * sec})
		inFlight = append(inFlight, pendingAttempt{id + 1, 0})
		for len(inFlight) > 12 {
			c := inFlight[0]
			inFlight = inFlight[1:]
			r := b.requests[c.id]
			if r == nil {
				continue
			}
			o := Outcome{ID: c.id, Attempt: c.n, Server: r.attempts[c.n].server.ID, Latency: 120 * ms, Final: true}
			if o.Server == 1 && id >= 200 {
				o.Verdict, o.Final = ServerFull, false
				inFlight = append([]pendingAttempt{{c.id, c.n + 1}}, inFlight...)
				if rejected++; id >= 1000 {
					rejectedLate++
				}
			}
			b.Outcome(now, o)
		}
	}
	if rejected == 0 || rejected > 100 || rejectedLate == 0 || rejectedLate > 20 {
		t.Errorf("%d attempts rejected as full, %d of them from request 1000 on, want 1 to 100 and 1 to 20", rejected, rejectedLate)
	}
}

// Clients rejected for a full queue are told to retry later, with jitter, also while the cursor is at rest. Clients rejected for too
// little time are told no delay.
func TestRetryAfterIsJittered(t *testing.T) {
	cfg := testSettings()
	cfg.SendsRetryAfter, cfg.MaxRetryAfter = true, 2*sec
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	var delays []time.Duration
	b.host = &retryAfterRecorder{Host: b.host, delays: &delays}
	b.advance(9 * sec)
	b.inFlight = 1000
	for id := range RequestID(20) {
		b.Request(9*sec, Request{ID: id + 1, Class: 0, TimeLeft: 3 * sec})
	}
	slices.Sort(delays)
	if len(delays) != 20 || delays[0] < b.period/2 || delays[19] > 3*b.period || delays[19]-delays[0] < b.period/4 {
		t.Errorf("period %v: retry delays %v, want 20 spread between half a period and three periods", b.period, delays)
	}
	b.inFlight = 0
	b.Request(9*sec, Request{ID: 30, Class: 0, TimeLeft: ms})
	if len(delays) != 21 || delays[20] != 0 {
		t.Errorf("too little time left: retry delays %v, want a single 0", delays[20:])
	}
}

type retryAfterRecorder struct {
	Host
	delays *[]time.Duration
}

func (r *retryAfterRecorder) Reject(_ RequestID, after time.Duration) {
	*r.delays = append(*r.delays, after)
}

// The expected latency of a class fades while it is not observed, so that a slow period does not get requests rejected for good.
func TestExpectedLatencyFades(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	b.baseLatency = 0.01
	requestOf := func(class int) *request {
		return &request{class: &b.settings.Classes[class], expected: b.expected[class]}
	}
	for range 50 {
		b.expected[0].observe(sec, OK, 1)
	}
	if !b.hasTooLittleTime(sec, requestOf(0), 0.8) || b.hasTooLittleTime(sec, requestOf(0), 1.2) || b.hasTooLittleTime(sec, requestOf(1), 0.8) {
		t.Error("expected latency of 1 s not applied, or applied to another class")
	}
	if b.hasTooLittleTime(20*sec, requestOf(0), 0.8) {
		t.Error("expected latency not faded after 19 s")
	}
	for range 50 {
		b.expected[0].observe(sec, Timeout, 0.5) // ended sooner without an answer: says nothing
	}
	if !b.hasTooLittleTime(sec, requestOf(0), 0.8) {
		t.Error("expected latency lowered by attempts without an answer")
	}
}

// The time for which an attempt waits to be dispatched does not count as silence of its server, and does not eject it. The wait of
// an attempt that was dispatched counts.
func TestPendingDispatchIsNotServerSilence(t *testing.T) {
	for _, pending := range []bool{true, false} {
		b, h := newBalancer(t, testSettings(), readyServers(1)...)
		for i := range RequestID(8) {
			b.Request(sec, Request{ID: i + 1, TimeLeft: 9 * sec})
			b.SetDispatchPending(sec, i+1, 0, pending)
		}
		s := b.servers[1]
		for now := sec; now < 6*sec; now += sec / 10 {
			b.advance(now)
		}
		if s.ejected == pending || (s.waitSum == 0 && !s.ejected) != pending {
			t.Errorf("dispatch pending %t: ejected %t, counted wait %v", pending, s.ejected, s.waitSum)
		}
		for i := range RequestID(8) {
			b.Outcome(6*sec, Outcome{ID: i + 1, Server: 1, Verdict: NotSent, Final: true})
		}
		if s.dispatchPending != 0 || s.inFlight != 0 || len(h.sends) < 8 {
			t.Errorf("%d dispatches pending, %d in flight, want none", s.dispatchPending, s.inFlight)
		}
	}
}
