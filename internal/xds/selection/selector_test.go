package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTiming = Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second}

// simulation runs a selector in steps of simulated time, with control planes that are reachable or not.
type simulation struct {
	selector      *Selector
	now           time.Time
	reachable     []bool
	open          []bool
	retries       []time.Time // times of the connection attempts to the first control plane
	activeChanges int         // number of times that the active control plane changed
	lastActive    int
}

func newSimulation(count int, seed uint64) *simulation {
	sim := &simulation{now: time.Unix(1_800_000_000, 0), reachable: make([]bool, count), open: make([]bool, count), lastActive: -1}
	sim.selector = New(sim.now, count, testTiming, rand.New(rand.NewPCG(seed, 1)))
	return sim
}

func (sim *simulation) step(d time.Duration) {
	sim.now = sim.now.Add(d)
	connect, disconnect := sim.selector.Advance(sim.now)
	for _, i := range disconnect {
		sim.open[i] = false
	}
	for _, i := range connect {
		sim.open[i] = true
		if i == 0 {
			sim.retries = append(sim.retries, sim.now)
		}
	}
	for i := range sim.open {
		switch {
		case sim.open[i] && sim.reachable[i]:
			sim.selector.MarkUp(sim.now, i)
		case sim.open[i]:
			sim.open[i] = false
			sim.selector.MarkDown(sim.now, i)
		}
	}
	if active, ok := sim.selector.Active(); ok && active != sim.lastActive {
		sim.lastActive = active
		sim.activeChanges++
	}
}

func (sim *simulation) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		sim.step(100 * time.Millisecond)
	}
}

func (sim *simulation) expectActive(t *testing.T, want int) {
	t.Helper()
	if active, ok := sim.selector.Active(); ok != (want >= 0) || ok && active != want {
		t.Errorf("active control plane is %d, up %v; want %d", active, ok, want)
	}
}

// The first control plane fails and recovers. With cached resources the second becomes active after the response timeout, and the
// first becomes active again after its probation.
func TestPreferredControlPlaneIsActiveAgainAfterProbation(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.reachable = []bool{true, true, true}
	sim.run(time.Second)
	sim.expectActive(t, 0)
	sim.selector.SetCached()
	sim.reachable[0] = false
	sim.run(4 * time.Second)
	sim.expectActive(t, -1)
	sim.run(3 * time.Second)
	sim.expectActive(t, 1)
	if sim.open[2] {
		t.Error("the third control plane is connected to while the second is active")
	}
	sim.reachable[0] = true
	sim.run(9 * time.Second)
	sim.expectActive(t, 1)
	sim.run(35 * time.Second)
	sim.expectActive(t, 0)
	if sim.open[1] {
		t.Error("the second control plane is still connected to after failback to the first")
	}
}

// Without cached resources the next control plane is tried as soon as one fails.
func TestFallbackIsImmediateWithoutCachedResources(t *testing.T) {
	sim := newSimulation(3, 2)
	sim.reachable = []bool{false, false, true}
	sim.run(500 * time.Millisecond)
	sim.expectActive(t, 2)
}

// Guards against a switch of the active control plane each time that the preferred one flaps. Once it stays up, it becomes active
// again.
func TestFlappingControlPlaneCausesFewChanges(t *testing.T) {
	sim := newSimulation(2, 3)
	sim.reachable = []bool{true, true}
	sim.run(time.Second)
	sim.selector.SetCached()
	for range 60 { // one hour: up for 40 s, down for 20 s
		sim.reachable[0] = true
		sim.run(40 * time.Second)
		sim.reachable[0] = false
		sim.run(20 * time.Second)
	}
	if sim.activeChanges > 20 {
		t.Errorf("the active control plane changed %d times in an hour, want at most 20", sim.activeChanges)
	}
	sim.reachable[0] = true
	sim.run(20 * time.Minute)
	sim.expectActive(t, 0)
}

// Clients that lose their control plane at the same time spread their reconnection attempts.
func TestReconnectionsOfManyClientsAreSpread(t *testing.T) {
	const clients = 500
	var clientSimulations []*simulation
	for i := range clients {
		sim := newSimulation(1, uint64(i))
		sim.reachable[0] = true
		sim.run(time.Minute)
		sim.reachable[0], sim.retries = false, nil
		clientSimulations = append(clientSimulations, sim)
	}
	for _, sim := range clientSimulations {
		sim.run(2 * time.Minute)
	}
	retriesBySecond := map[int64]int{}
	for _, sim := range clientSimulations {
		for _, at := range sim.retries {
			retriesBySecond[at.Unix()-clientSimulations[0].now.Unix()+120]++
		}
	}
	peak, total := 0, 0
	for second, n := range retriesBySecond {
		if second >= 10 {
			peak = max(peak, n)
		}
		total += n
	}
	t.Logf("retries by second after the failure: %v; peak after ten seconds %d, total %d", retriesBySecond, peak, total)
	if peak > clients/5 || total > clients*30 {
		t.Errorf("peak of %d retries in one second after the first ten, %d retries in total; want at most a fifth of the clients and 30 per client", peak, total)
	}
}

// Checks random sequences of failures and recoveries. The active control plane is always up. The first control plane that stays
// reachable becomes active when Advance is called at the times of NextDeadline alone.
func TestFirstReachableControlPlaneBecomesActive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "planes")
		sim := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			sim.reachable[rapid.IntRange(0, n-1).Draw(t, "plane")] = rapid.Bool().Draw(t, "is reachable")
			if rapid.Bool().Draw(t, "resources are cached") {
				sim.selector.SetCached()
			}
			sim.step(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			if active, ok := sim.selector.Active(); ok && (!sim.open[active] || !sim.reachable[active]) {
				t.Fatalf("the active control plane %d is not connected or not reachable", active)
			}
		}
		if !slices.Contains(sim.reachable, true) {
			sim.reachable[n-1] = true
		}
		overdueSteps := 0
		for range 500 { // time advances to NextDeadline alone
			at := sim.selector.NextDeadline(sim.now)
			if at.IsZero() {
				break
			}
			if at.After(sim.now) {
				overdueSteps = 0
			} else if overdueSteps++; overdueSteps > 2*n {
				t.Fatalf("NextDeadline is not after the current time in too many consecutive steps: %+v", sim.selector)
			}
			sim.step(at.Sub(sim.now))
		}
		if active, ok := sim.selector.Active(); !ok || active != slices.Index(sim.reachable, true) {
			t.Fatalf("active control plane is %d, up %v; want the first reachable one of %v", active, ok, sim.reachable)
		}
	})
}
