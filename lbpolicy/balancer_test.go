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

// recorder is a Host that keeps what a balancer did, in order.
type recorder struct {
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
func (h *recorder) Reject(id RequestID, _ time.Duration)    { h.record("refuse %d", id) }
func (h *recorder) Fail(id RequestID)                       { h.record("fail %d", id) }
func (h *recorder) Cancel(id RequestID, n int)              { h.record("cancel %d %d", id, n) }
func (h *recorder) CloseIdle(s ServerID)                    { h.record("close %d", s) }
func (h *recorder) Watch()                                  { h.record("watch") }
func (h *recorder) Log(text string)                         {}
func (h *recorder) ServerProgress(ServerID) ServerProgress  { return ServerProgress{} }
func (h *recorder) WaitsSince(RequestID, int) time.Duration { return 0 }
func (h *recorder) Hedged(Hedge)                            {}
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
	class := func(worth float64, e Effect, sc Scope) Class {
		return Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: worth, Effect: e, Scope: sc, Window: 2 * sec}
	}
	return Settings{Balancers: 1, Classes: []Class{class(1, Idempotent, 0), class(3, KeyedIdempotent, ScopeAll),
		class(5, KeyedIdempotent, ScopeZone), class(5, KeyedIdempotent, ScopeCell), class(10, NonIdempotent, 0)},
		MaxAttempts: 3, MayCancel: true, MayHedge: true, InitialCapacity: 0.2, SlowStart: 10 * sec,
		OverloadMultiple: 3, OverloadWindow: 2 * sec, MaxPollInterval: 8 * sec,
		ReportFields: []Field{FieldUtilization}}
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

// The table: n slots of T1, then falling; the lowest row reaches nothing before the next one leaves the upper part.
func TestTableShedsLowestLevelFirst(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	top := b.table[len(b.table)-1]
	for slot := range top {
		if slot < restingSlots && (top[slot] != 1 || b.table[0][slot] != 1-restingSpread) {
			t.Errorf("slot %d: %v and %v, want T1 and its low row", slot, top[slot], b.table[0][slot])
		}
		if slot >= restingSlots && top[slot] >= top[slot-1] {
			t.Errorf("slot %d does not fall: %v after %v", slot, top[slot], top[slot-1])
		}
		for level := 1; level < len(b.table); level++ {
			if b.table[level-1][slot] > b.table[level][slot] {
				t.Errorf("slot %d: level %d over level %d", slot, level-1, level)
			}
			if v := b.table[level][slot]; v < ownLevelThreshold && b.table[level-1][slot] != 0 {
				t.Errorf("slot %d: level %d shed to %v before level %d was shed whole", slot, level, v, level-1)
			}
		}
	}
	if top[len(top)-1] <= 0 {
		t.Error("highest worth is shut out whole")
	}
}

// Guards against long-waiting calls of low worth holding the queue of short ones of high worth, and against one mean
// aim for classes of unlike aims: a row lets in what the least aim of its worth or more allows.
func TestThresholdFollowsShortestObjective(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{LatencyObjective: 3 * sec, Deadline: 6 * sec, PriorityWeight: 1}, {LatencyObjective: sec, Deadline: 6 * sec, PriorityWeight: 2},
		{LatencyObjective: 2 * sec, Deadline: 6 * sec, PriorityWeight: 3}}
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	if want := []float64{1, 1, 1, 2}; !slices.Equal(b.levelObjectives, want) {
		t.Fatalf("aims %v, want %v", b.levelObjectives, want)
	}
	b.slowRate, b.baseLatency, b.startedAt = 100, 0.01, -60*sec
	if low, top := b.threshold(sec, 2), b.threshold(sec, 3); top < 1.5*low {
		t.Fatalf("thresholds %v and %v do not follow the aims", low, top)
	}
}

// Guards against T1 growing in an overload: calls that servers refuse as full are not carried, however many are let in.
func TestRejectedAsFullIsNotCountedAsAnswered(t *testing.T) {
	for verdict, carried := range map[Verdict]bool{OK: true, ConnectFailed: false} {
		b, _ := newBalancer(t, testSettings(), readyServers(4)...)
		for i := range 400 {
			now := 2*sec + time.Duration(i)*10*ms
			b.Request(now, Request{ID: RequestID(i), Class: 4, TimeLeft: 3 * sec})
			for n := range 3 {
				b.Outcome(now, Outcome{ID: RequestID(i), Attempt: n, Verdict: verdict, Latency: ms, Final: verdict == OK})
			}
		}
		if got := b.slowRate > 50; got != carried {
			t.Errorf("verdict %d: %.0f a second taken for carried", verdict, b.slowRate)
		}
	}
}

// Guards against herds: a late report that all balancers read shows them the same idle server, so what is reported
// must not rank servers; own calls do.
func TestLoadReportsDoNotAffectRanking(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(2)...)
	b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{0.1}})
	b.recordOutcome(2*sec, b.subset[1], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{0.9}})
	b.subset[0].inFlight = 1
	if x, y := b.score(2*sec, b.subset[0]), b.score(2*sec, b.subset[1]); x <= y {
		t.Fatalf("scores %v and %v: the busier report ranks behind though it has none of our calls", x, y)
	}
}

// Guards weakness 3: what servers that are out answer, late or full, is no measure of the load of those in use.
func TestEjectedServersDoNotCountAsLoad(t *testing.T) {
	for _, out := range []bool{false, true} {
		b, _ := newBalancer(t, testSettings(), readyServers(4)...)
		b.subset[0].ejected = out
		b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: ServerFull})
		b.recordOutcome(2*sec, b.subset[0], Outcome{Verdict: Timeout, Latency: 3 * sec})
		if got := b.fullCount > 0 && b.latencySum > 0; got == out {
			t.Errorf("out %t: counted %t", out, got)
		}
	}
}

// Guards against a release that leaves half the pool idle: cold servers get their part of the pool's capacity.
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
	cold := 0
	for _, s := range h.sends {
		if s <= 4 {
			cold++
		}
	}
	c := b.capacity(106*sec, b.servers[1])
	part, fair := float64(cold)/float64(len(h.sends)), c/(1+c)
	if part < 0.8*fair || part > 1.2*fair {
		t.Fatalf("cold half got %.2f of the calls, its part of the capacity is %.2f", part, fair)
	}
}

// Guards against a cold server that idles for being held to the least that its age allows: what its reports show
// counts, and they count the calls of all balancers. One whose reports show little keeps the least.
func TestLoadReportsRaiseCapacityInSlowStart(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.ReportFields = 10, []Field{FieldUtilization, FieldRequestRate}
	list := readyServers(4)
	list[0].StartedAt, list[1].StartedAt = 100*sec, 100*sec
	b, _ := newBalancer(t, cfg, list...)
	report := func(id ServerID, util, rate float32) {
		b.recordOutcome(102*sec, b.servers[id], Outcome{Verdict: OK, Latency: 50 * ms, Load: []float32{util, rate}})
	}
	report(1, 0.5, 30) // could answer 60 of a warm one's 100
	report(2, 0.1, 9)  // too little to tell
	report(3, 0.8, 80)
	report(4, 0.5, 50)
	b.checkHealth(102 * sec)
	least := cfg.InitialCapacity + (1-cfg.InitialCapacity)*0.2
	if known, unknown := b.capacity(102*sec, b.servers[1]), b.capacity(102*sec, b.servers[2]); known < 0.5 ||
		known > 0.6 || unknown != least {
		t.Fatalf("capacities %.2f and %.2f, want some 0.54 and %.2f", known, unknown, least)
	}
	for _, s := range b.listed { // warm servers set the measure
		if s.ID > 2 {
			s.reportedCapacity *= 2
		}
	}
	b.checkHealth(102 * sec)
	if c := b.capacity(102*sec, b.servers[1]); c != least {
		t.Fatalf("capacity %.2f of a server that shows less than the least %.2f", c, least)
	}
}

// Guards against cold servers that idle beside a crowded warm one: they rank like any other, by what they can do,
// within the budget that all balancers share.
func TestServerInSlowStartIsRankedWithinBudget(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.ReportFields = 10, []Field{FieldUtilization, FieldRequestRate}
	list := readyServers(2)
	list[0].StartedAt = 99 * sec
	b, h := newBalancer(t, cfg, list...)
	b.serverCapacity, b.servers[1].latency, b.servers[2].latency = 100, 0.05, 0.5
	for i := range 2000 { // 4 s of them, ended at once
		now := 101*sec + time.Duration(i)*2*ms
		b.Request(now, Request{ID: RequestID(i), Class: 4, TimeLeft: 3 * sec})
		b.Outcome(now, Outcome{ID: RequestID(i), Verdict: Cancelled, Final: true})
	}
	cold := 0
	for _, s := range h.sends {
		if s == 1 {
			cold++
		}
	}
	// A tenth of what a server of a capacity from 0.36 to 0.68 can do in 4 s is 21 calls.
	if most := 21 * warmingUpShare * cfg.OverloadMultiple; float64(cold) > most || float64(cold) < 0.8*most {
		t.Fatalf("%d calls to the cold server, budget %.0f", cold, most)
	}
}

// Guards against callers taken for over their share as each balancer starts: all of them start with its allowance.
func TestTenantsHaveInitialAllowance(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.Tenants = 10, []Tenant{{QuotaPerSecond: 10}}
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	low := 0
	for range 20 {
		if b.levelOf(Request{Class: 4}) == lowestLevel {
			low++
		}
	}
	if low < 10 || low > 17 {
		t.Fatalf("%d of 20 calls at the start are over a share of one a second", low)
	}
}

// One step each period, right over the target and left under it, clamped at both ends.
func TestCursorMovesOneStepPerPeriod(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	b.inFlight = 1000 // a queue that the figures can speak of
	step := func(util float64) int {
		for _, s := range b.subset {
			s.utilization, s.reportedAt = util, b.nextStep
		}
		before := b.cursor
		b.advance(b.nextStep)
		return b.cursor - before
	}
	if d := step(0.5); d != 0 || b.cursor != 0 {
		t.Fatalf("left of home: moved %d to %d", d, b.cursor)
	}
	for range 3 {
		if d := step(1); d != 1 {
			t.Fatalf("over the target: moved %d", d)
		}
	}
	if d := step(0.5); d != -1 {
		t.Fatalf("under the target: moved %d", d)
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
		t.Fatal("periods without events did not step left")
	}
}

// Guards against the lockout: once little is in flight, late answers of calls let in before must not keep all shut
// out; with much in flight they step the cursor on.
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

// Guards against tables of connections filled by idle ones: a server that answers between two failed connections is
// full, not gone, and idle connections are closed while such servers are met, unless handshakes have a price.
func TestConnectionShortageClosesIdleConnections(t *testing.T) {
	for _, price := range []float64{0, 0.1} {
		cfg := testSettings()
		cfg.HandshakePrice, cfg.ConnIdleTimeout = price, 15*sec
		b, h := newBalancer(t, cfg, readyServers(1)...)
		end := func(id RequestID, n int, v Verdict) {
			b.Outcome(2*sec, Outcome{ID: id, Attempt: n, Server: 1, Verdict: v, Latency: 50 * ms, Final: v == OK})
		}
		for id := range RequestID(3) {
			b.Request(2*sec, Request{ID: id, TimeLeft: 3 * sec})
		}
		end(0, 0, OK)
		if h.count("close") > 0 {
			t.Fatal("closed with no shortage seen")
		}
		end(1, 0, ConnectFailed)
		if b.subset[0].ejected {
			t.Fatal("a server that answers was put out for one failed connection")
		}
		end(2, 0, OK)
		if closed := h.count("close 1"); (closed > 0) != (price == 0) {
			t.Fatalf("price %v: closed %d times", price, closed)
		}
		for id := RequestID(3); id < 6; id++ {
			b.Request(3*sec, Request{ID: id, TimeLeft: 3 * sec})
		}
		b.Outcome(3*sec, Outcome{ID: 3, Verdict: ConnectFailed})
		b.Outcome(3*sec, Outcome{ID: 4, Verdict: ConnectFailed})
		if !b.subset[0].ejected {
			t.Fatal("two failed connections and no answer between: still in use")
		}
	}
}

// Low worth is refused first; marked retries and traffic over a tenant's share count as low, but only at the front
// for shares.
func TestLowestLevelIsRejectedFirst(t *testing.T) {
	cfg := testSettings()
	cfg.RetriesMarked = true
	cfg.Tenants = []Tenant{{QuotaPerSecond: 1}}
	b, h := newBalancer(t, cfg, readyServers(4)...)
	b.cursor = restingSlots + slotsPerLevel - 1 // the low row is shed whole, the others are not
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec, Retry: true, Tenant: -1})
	b.Request(sec, Request{ID: 2, Class: 0, TimeLeft: 3 * sec, Tenant: -1})
	if got := fmt.Sprint(h.count("refuse 1"), h.count("send 2")); got != "1 1" {
		t.Fatalf("acts %v", h.actions)
	}
	for id := RequestID(10); id < 20; id++ {
		b.Request(sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") < 6 {
		t.Fatalf("traffic over the share was let in: %v", h.actions)
	}
	cfg.Tier = 1
	b, h = newBalancer(t, cfg, readyServers(4)...)
	b.cursor = restingSlots + slotsPerLevel - 1
	for id := RequestID(10); id < 13; id++ {
		b.Request(sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") > 0 {
		t.Fatalf("shares were taken again deeper in the chain: %v", h.actions)
	}
}

// T1 has a floor for a balancer with a few calls and grows with what it carries.
func TestThresholdGrowsWithRate(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	small := b.threshold(9*sec, 4)
	b.slowRate = 300
	if large := b.threshold(9*sec, 4); small < minThreshold || large < 300*maxQueueShare {
		t.Fatalf("T1 %v at rest, %v at 300 calls a second", small, large)
	}
}

// Guards against refusals at every start: with no rate known yet, T1 would stand at its floor.
func TestNothingIsRejectedAtStart(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(40)...)
	for id := RequestID(1); id <= 100; id++ {
		b.Request(sec+time.Duration(id)*ms, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") > 0 {
		t.Fatalf("%d of 100 refused at the start", h.count("refuse"))
	}
	for id := RequestID(1001); id <= 2000; id++ {
		b.Request(9*sec, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
	}
	if h.count("refuse") == 0 {
		t.Fatal("no limit once the rate is known")
	}
}

// A balancer started in overload must not learn it as normal.
// A burst after a pause, or long after the first list, is no overload: nothing is known of the rate any more.
func TestBurstAfterPauseIsAdmitted(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(2)...)
	for _, at := range []time.Duration{30 * sec, 90 * sec} {
		*h = recorder{}
		for i := range RequestID(40) {
			b.Request(at, Request{ID: i, TimeLeft: 3 * sec})
		}
		if n := h.count("refuse"); n > 0 {
			t.Errorf("%d of 40 refused after a pause", n)
		}
		for i, s := range h.sends {
			b.Outcome(at+sec/10, Outcome{ID: RequestID(i), Server: s, Verdict: OK, Latency: sec / 10, Final: true})
		}
	}
	*h = recorder{} // no pause: what is known counts
	for i := range RequestID(400) {
		b.Request(91*sec, Request{ID: i, TimeLeft: 3 * sec})
	}
	if h.count("refuse") == 0 {
		t.Error("a crowd of ten times the rate is let in")
	}
}

// Callers who never have more time than the first guess of a latency are served in the end: nothing but the guess says
// that they can't be.
func TestShortDeadlineIsAdmittedOnceGuessFades(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(2)...)
	b.Request(sec, Request{ID: 1, TimeLeft: sec / 100})
	b.Request(40*sec, Request{ID: 2, TimeLeft: sec / 100})
	if h.actions[0] != "refuse 1" || h.count("send 2") != 1 {
		t.Errorf("before any answer: %v", h.actions)
	}
	for i := range RequestID(20) {
		at := 41*sec + time.Duration(i)*sec/2
		b.Request(at, Request{ID: 3 + i, TimeLeft: 3 * sec})
		b.Outcome(at+sec/2, Outcome{ID: 3 + i, Server: h.sends[len(h.sends)-1], Verdict: OK, Latency: sec / 2, Final: true})
	}
	b.Request(52*sec, Request{ID: 99, TimeLeft: sec / 100})
	if h.lastAction() != "refuse 99" {
		t.Errorf("once it is known: %v", h.lastAction())
	}
}

func TestBaseLatencyDoesNotLearnOverload(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	for range 100000 {
		b.updateBaseLatency(0.95, 0.1)
	}
	if b.baseLatency > b.meanObjective/3+1e-9 {
		t.Fatalf("baseline %v, aim %v", b.baseLatency, b.meanObjective)
	}
	b.baseLatency, b.cursor = 0.1, 5
	b.updateBaseLatency(0.9, 1)
	if b.baseLatency != 0.1 {
		t.Fatal("baseline rose while calls are shed")
	}
}

// Rule 2 at its boundary: each effect and scope against each kind of ending.
func TestRepeatsFollowEffectAndScope(t *testing.T) {
	first := Server{ID: 1, Zone: 0, Cell: 0, State: Ready}
	zone := Server{ID: 2, Zone: 0, Cell: 1, State: Ready}
	cell := Server{ID: 3, Zone: 0, Cell: 0, State: Ready}
	far := Server{ID: 4, Zone: 1, Cell: 2, State: Ready}
	for _, c := range []struct {
		name                  string
		class                 int
		ended, never          bool
		after                 time.Duration
		far, zone, cell, deny bool
	}{
		{"safe, out", 0, false, false, sec, true, true, true, true},
		{"keyed all, may have run", 1, true, false, sec, true, true, true, true},
		{"keyed all, window over", 1, true, false, 2 * sec, false, false, false, true},
		{"keyed zone, may have run", 2, true, false, sec, false, true, true, false},
		{"keyed zone, out", 2, false, false, sec, false, true, true, false},
		{"keyed zone, window over", 2, true, false, 2 * sec, false, false, false, false},
		{"keyed zone, never ran", 2, true, true, sec, true, true, true, true},
		{"keyed cell, may have run", 3, true, false, sec, false, false, true, false},
		{"keyed cell, never ran", 3, true, true, sec, true, true, true, true},
		{"unsafe, may have run", 4, true, false, sec, false, false, false, false},
		{"unsafe, out", 4, false, false, sec, false, false, false, false},
		{"unsafe, never ran", 4, true, true, sec, true, true, true, true},
	} {
		b, _ := newBalancer(t, testSettings(), first, zone, cell, far)
		r := &request{class: &b.settings.Classes[c.class], deadline: 10 * sec, maxAttempts: 3,
			attempts: []attempt{{server: b.servers[1], sentAt: sec, ended: c.ended, neverRan: c.never}}}
		now := sec + c.after
		got := []bool{b.maySend(now, r, b.servers[4]), b.maySend(now, r, b.servers[2]),
			b.maySend(now, r, b.servers[3]), mayReject(now, r)}
		if want := []bool{c.far, c.zone, c.cell, c.deny}; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: far, zone, cell, refuse %v, want %v", c.name, got, want)
		}
	}
}

// Each ending that proves nothing ran lets an unsafe request go again; each other one ends it in a failure.
// A request's own bound on attempts holds beside the settings', the lesser of the two.
func TestRequestMaxAttemptsBoundsAttempts(t *testing.T) {
	for own, want := range map[int]int{0: 3, 1: 1, 2: 2, 9: 3} {
		b, h := newBalancer(t, testSettings(), readyServers(4)...)
		b.Request(sec, Request{ID: 1, TimeLeft: 3 * sec, MaxAttempts: own})
		for n := 0; n < len(h.sends); n++ {
			b.Outcome(sec, Outcome{ID: 1, Attempt: n, Server: h.sends[n], Verdict: ServerFull})
		}
		if len(h.sends) != want || h.count("refuse") != 1 {
			t.Errorf("own bound %d: %v", own, h.actions)
		}
	}
}

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
			t.Errorf("verdict %d: %v, want %s", v, h.actions, want)
		}
	}
}

// Rule 1: a time-out at the deadline is answered, once, and nothing is sent after the end.
func TestRequestGetsOneFinalAnswer(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := newBalancer(t, testSettings(), readyServers(8)...)
		b.Request(sec, Request{ID: 1, Class: class, TimeLeft: sec})
		b.Outcome(2*sec, Outcome{ID: 1, Server: h.sends[0], Verdict: Timeout, Latency: sec})
		b.Outcome(2*sec, Outcome{ID: 1, Server: h.sends[0], Verdict: Timeout, Latency: sec})
		b.Timer(3*sec, 1)
		b.ClientDisconnected(3*sec, 1)
		if n := h.count("fail") + h.count("refuse"); n != 1 || h.count("send") != 1 || len(b.requests) != 0 {
			t.Errorf("class %d: %v, %d held", class, h.actions, len(b.requests))
		}
	}
}

// A silent server's request gets a second copy where it may; without leave for two at once, a cancel comes first.
func TestSilentServerIsHedgedOrCancelled(t *testing.T) {
	for _, duplicate := range []bool{true, false} {
		cfg := testSettings()
		cfg.MayHedge = duplicate
		b, h := newBalancer(t, cfg, readyServers(8)...)
		b.Request(sec, Request{ID: 1, Class: 1, TimeLeft: 3 * sec})
		b.Timer(h.timers[1], 1)
		if !duplicate {
			if h.lastAction() != "cancel 1 0" {
				t.Fatalf("acts %v", h.actions)
			}
			b.Outcome(h.timers[1]+ms, Outcome{ID: 1, Server: h.sends[0], Verdict: Cancelled, Latency: sec})
		}
		if len(h.sends) != 2 || h.sends[0] == h.sends[1] {
			t.Fatalf("duplicate %t: acts %v", duplicate, h.actions)
		}
	}
}

// Rule 3: nothing new to servers that drain or are gone, by delta or by a list that lacks them.
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
			t.Fatalf("sent to server %d, which drains or is gone", s)
		}
	}
}

// An empty or fully draining pool: an immediate answer for each class.
func TestRequestsAreRejectedWithoutServers(t *testing.T) {
	drained := Server{ID: 1, State: Draining}
	for _, list := range [][]Server{nil, {drained}} {
		b, h := newBalancer(t, testSettings(), list...)
		for class := range b.settings.Classes {
			b.Request(sec, Request{ID: RequestID(class), Class: class, TimeLeft: sec})
		}
		if h.count("refuse") != len(b.settings.Classes) {
			t.Errorf("acts %v", h.actions)
		}
	}
}

// Rule 4: with many balancers and one cold server, what all send it in any window stays within the multiple of
// what it can do, taking warm servers to be fully loaded.
func TestSlowStartBudgetHoldsAcrossBalancers(t *testing.T) {
	const balancers, servers, perSecond = 20, 10, 10.0
	cfg := testSettings()
	cfg.Balancers = balancers
	list := readyServers(servers)
	list[0].StartedAt = sec
	var at []time.Duration
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
				at = append(at, now)
			}
			if n := len(h.sends); n > 0 {
				b.Outcome(now, Outcome{ID: id, Server: h.sends[n-1], Latency: 50 * ms, Final: true})
			}
		}
	}
	full := balancers * perSecond / servers // a warm server's calls a second
	for from := sec; from < 10*sec; from += 100 * ms {
		n := 0
		for _, a := range at {
			if a >= from && a < from+cfg.OverloadWindow {
				n++
			}
		}
		c := cfg.InitialCapacity + (1-cfg.InitialCapacity)*(from-sec).Seconds()/cfg.SlowStart.Seconds()
		if limit := cfg.OverloadMultiple * c * full * cfg.OverloadWindow.Seconds(); float64(n) > limit {
			t.Fatalf("%d calls within the window at %v, budget %.1f", n, from, limit)
		}
	}
	if len(at) == 0 {
		t.Fatal("the cold server never got a call")
	}
}

// A silent server leaves the pool, takes one trial of a request that may be repeated, and comes back on its answer.
func TestSilentServerIsEjectedAndProbed(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(6)...)
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 30 * sec})
	s := b.servers[h.sends[0]]
	b.checkHealth(sec + 10*sec)
	if !s.ejected || b.inFlightEjected != 1 {
		t.Fatalf("out %t, stuck %d", s.ejected, b.inFlightEjected)
	}
	b.Outcome(12*sec, Outcome{ID: 1, Server: s.ID, Verdict: Timeout, Latency: 11 * sec})
	safe, unsafe := &request{class: &b.settings.Classes[0]}, &request{class: &b.settings.Classes[4]}
	if b.mayProbe(s.ejectedUntil-1, safe, s) || b.mayProbe(s.ejectedUntil, unsafe, s) || !b.mayProbe(s.ejectedUntil, safe, s) {
		t.Fatal("trial not as due")
	}
	b.recordOutcome(20*sec, s, Outcome{Verdict: OK, Latency: ms})
	if s.ejected {
		t.Fatal("still out after an answer")
	}
}

// Most of a fleet out at once is no matter of outliers: calls still go to it.
func TestRequestsAreSentWhenAllServersAreEjected(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(6)...)
	for _, s := range b.subset {
		b.eject(sec, s, "silent")
	}
	b.ejectedCount = len(b.subset)
	b.Request(sec, Request{ID: 1, Class: 4, TimeLeft: 3 * sec})
	if h.count("send 1") != 1 {
		t.Fatalf("acts %v", h.actions)
	}
}

// Asked discovery: one watch in time, again after a failure and never in step; pushed: none.
func TestDiscoveryIsPolledWithBackoff(t *testing.T) {
	cfg := testSettings()
	_, h := newBalancer(t, cfg, readyServers(2)...)
	if len(h.timers) != 0 {
		t.Fatal("asked although pushed")
	}
	cfg.PollDiscovery = true
	b, h := newBalancer(t, cfg, readyServers(2)...)
	at, ok := h.timers[discoveryToken]
	if !ok || at-sec > cfg.MaxPollInterval {
		t.Fatalf("first watch at %v", at)
	}
	for range 8 {
		b.Timer(at, discoveryToken)
		b.UpdateEndpoints(at, Failed, nil)
		next := h.timers[discoveryToken]
		if next <= at || next-at > cfg.MaxPollInterval {
			t.Fatalf("watch again %v after a failure", next-at)
		}
		at = next
	}
	asked := h.count("watch")
	b.UpdateEndpoints(at, Delta, readyServers(2))
	if asked != 8 || h.timers[discoveryToken] != at {
		t.Fatal("asked again while subscribed")
	}
	if len(b.listed) != 2 {
		t.Fatalf("%d servers after a failed call, want the list kept", len(b.listed))
	}
}

// Misuse and bad information are passed over.
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
		t.Fatalf("acts %v, %d in flight", h.actions, b.inFlight)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
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
		spoil(&cfg)
		if _, err := New(cfg, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %s", err, want)
		}
	}
}

// The same seed and events give the same actions.
func TestSameSeedGivesSameActions(t *testing.T) {
	play := func() string {
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
	if first := play(); first != play() || len(first) < 10000 {
		t.Fatal("two runs differ or did nothing")
	}
}

// The module's size: two engineers read every change within an hour.
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
			continue // types, settings, figures, and what is only told and kept: they decide about no call
		}
		if !strings.Contains(string(deploy), `"lbpolicy/`+name+`"`) {
			t.Errorf("%s: the deploy file's policy does not name it", name)
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
				t.Errorf("%s:%d: %d columns", name, i+1, n)
			}
		}
	}
	if lines > 1200 || lines < 500 { // as the pages allow
		t.Errorf("%d lines that are not blank, 1,200 at most", lines)
	}
}

// Guards against the black hole: a server that errs at once would look the fastest of all. Errors that all servers
// give come from deeper in the chain and put nobody out.
func TestServerWithFastErrorsIsEjected(t *testing.T) {
	for _, all := range []bool{false, true} {
		b, _ := newBalancer(t, testSettings(), readyServers(6)...)
		for range 5 {
			for _, s := range b.subset {
				v := OK
				if all || s == b.subset[0] {
					v = Error
				}
				b.recordOutcome(2*sec, s, Outcome{Verdict: v, Latency: 50 * ms})
			}
		}
		if bad := b.subset[0]; bad.ejected == all || !all && b.score(2*sec, bad) <= b.score(2*sec, b.subset[1]) {
			t.Errorf("all err %t: out %t", all, bad.ejected)
		}
		if b.subset[1].ejected {
			t.Errorf("all err %t: a server was put out for no fault of its own", all)
		}
	}
}

// Guards against an uneven front: traffic of a tenant within its part of the whole is not low worth at a balancer
// that gets more than an even slice, and marked retries use up nobody's share.
func TestTenantQuotaFollowsTrafficShare(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers, cfg.RetriesMarked = 10, true
	cfg.Tenants = []Tenant{{QuotaPerSecond: 100}, {QuotaPerSecond: 100}}
	b, _ := newBalancer(t, cfg, readyServers(8)...)
	low := [2]int{}
	for i := range 5000 { // 50 a second where an even slice is 20; the first tenant asks for four times the second
		now := 2*sec + time.Duration(i)*20*ms
		tenant := 0
		if i%5 == 0 {
			tenant = 1
		}
		b.Request(now, Request{ID: RequestID(i), Class: 4, Tenant: tenant, TimeLeft: 3 * sec})
		if i > 1000 && b.levelOf(Request{Tenant: tenant, Class: 4}) == lowestLevel {
			low[tenant]++
		}
		before := b.tenants[tenant].tokens
		if b.levelOf(Request{Tenant: tenant, Class: 4, Retry: true}) != lowestLevel || b.tenants[tenant].tokens != before {
			t.Fatal("a marked retry is not low worth, or uses up a share")
		}
	}
	if low[0] < 1000 || low[1] > 0 {
		t.Fatalf("counted as over its share: %v", low)
	}
}

// Guards worth order where T1 alone holds an overload back: a call refused while lower worth is let in moves the
// cursor, also with load under its target.
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
		t.Fatalf("cursor %d, want home", b.cursor)
	}
}

// One broken connection puts no server out; a second with no answer since does.
func TestSecondResetWithoutAnswerEjectsServer(t *testing.T) {
	h := &recorder{}
	b, err := New(testSettings(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(sec, Full, []Server{{ID: 1, State: Ready}})
	id, now := RequestID(0), sec
	end := func(v Verdict) {
		id++
		now += ms
		b.Request(now, Request{ID: id, TimeLeft: 5 * sec})
		b.Outcome(now, Outcome{ID: id, Server: 1, Verdict: v, Latency: ms, Final: true})
	}
	for range 5 {
		end(OK)
		end(Reset)
	}
	if b.servers[1].ejected {
		t.Error("put out for connections that broke singly")
	}
	end(Reset)
	if !b.servers[1].ejected {
		t.Error("not put out")
	}
}

// A server that turns all calls away, where others serve, is put out, and again after a trial that it turns away.
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
	// Two calls a server are out at all times, so that none of the six is left aside.
	type call struct {
		id RequestID
		n  int
	}
	var out []call
	turned, late := 0, 0
	for id := range RequestID(2000) {
		now += 10 * ms
		b.Request(now, Request{ID: id + 1, TimeLeft: 5 * sec})
		out = append(out, call{id + 1, 0})
		for len(out) > 12 {
			c := out[0]
			out = out[1:]
			r := b.requests[c.id]
			if r == nil {
				continue
			}
			o := Outcome{ID: c.id, Attempt: c.n, Server: r.attempts[c.n].server.ID, Latency: 120 * ms, Final: true}
			if o.Server == 1 && id >= 200 {
				o.Verdict, o.Final = ServerFull, false
				out = append([]call{{c.id, c.n + 1}}, out...)
				if turned++; id >= 1000 {
					late++
				}
			}
			b.Outcome(now, o)
		}
	}
	if turned == 0 || turned > 100 || late == 0 || late > 20 {
		t.Errorf("%d calls sent to be turned away, %d of them late", turned, late)
	}
}

// Who is refused for a full queue is asked to come back later, also at home, and not together with the others; who
// had too little time is not.
func TestRetryAfterIsJittered(t *testing.T) {
	cfg := testSettings()
	cfg.SendsRetryAfter, cfg.MaxRetryAfter = true, 2*sec
	b, _ := newBalancer(t, cfg, readyServers(4)...)
	var waits []time.Duration
	b.host = &retryAfterRecorder{Host: b.host, delays: &waits}
	b.advance(9 * sec)
	b.inFlight = 1000
	for id := range RequestID(20) {
		b.Request(9*sec, Request{ID: id + 1, Class: 0, TimeLeft: 3 * sec})
	}
	slices.Sort(waits)
	if len(waits) != 20 || waits[0] < b.period/2 || waits[19] > 3*b.period || waits[19]-waits[0] < b.period/4 {
		t.Errorf("period %v: %v", b.period, waits)
	}
	b.inFlight = 0
	b.Request(9*sec, Request{ID: 30, Class: 0, TimeLeft: ms})
	if len(waits) != 21 || waits[20] != 0 {
		t.Errorf("too little time: %v", waits[20:])
	}
}

type retryAfterRecorder struct {
	Host
	delays *[]time.Duration
}

func (r *retryAfterRecorder) Reject(_ RequestID, after time.Duration) {
	*r.delays = append(*r.delays, after)
}

// What is learnt of the time that a class takes is forgotten where nothing new is seen, so that a time of slowness
// does not shut callers out for good.
func TestExpectedLatencyFades(t *testing.T) {
	b, _ := newBalancer(t, testSettings(), readyServers(4)...)
	b.baseLatency = 0.01
	of := func(class int) *request {
		return &request{class: &b.settings.Classes[class], expected: b.expected[class]}
	}
	for range 50 {
		b.expected[0].observe(sec, OK, 1)
	}
	if !b.hasTooLittleTime(sec, of(0), 0.8) || b.hasTooLittleTime(sec, of(0), 1.2) || b.hasTooLittleTime(sec, of(1), 0.8) {
		t.Error("not as learnt")
	}
	if b.hasTooLittleTime(20*sec, of(0), 0.8) {
		t.Error("not forgotten")
	}
	for range 50 {
		b.expected[0].observe(sec, Timeout, 0.5) // cut off sooner: tells nothing
	}
	if !b.hasTooLittleTime(sec, of(0), 0.8) {
		t.Error("lowered by calls that had no answer")
	}
}

// What an attempt waits for before it goes out is no silence of its server, nor does it put it out for the calls that are
// there; when it has gone out its waiting counts.
func TestPendingDispatchIsNotServerSilence(t *testing.T) {
	for _, on := range []bool{true, false} {
		b, h := newBalancer(t, testSettings(), readyServers(1)...)
		for i := range RequestID(8) {
			b.Request(sec, Request{ID: i + 1, TimeLeft: 9 * sec})
			b.SetDispatchPending(sec, i+1, 0, on)
		}
		s := b.servers[1]
		for now := sec; now < 6*sec; now += sec / 10 {
			b.advance(now)
		}
		if s.ejected == on || (s.waited == 0 && !s.ejected) != on {
			t.Errorf("on its way %t: out %t, held %v", on, s.ejected, s.waited)
		}
		for i := range RequestID(8) {
			b.Outcome(6*sec, Outcome{ID: i + 1, Server: 1, Verdict: NotSent, Final: true})
		}
		if s.dispatchPending != 0 || s.inFlight != 0 || len(h.sends) < 8 {
			t.Errorf("%d on their way, %d in flight", s.dispatchPending, s.inFlight)
		}
	}
}
