package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var rules = Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second}

// simulation runs a selector over control planes that are alive or not, in steps of simulated time.
type simulation struct {
	s       *Selector
	now     time.Time
	alive   []bool
	open    []bool
	retries []time.Time // of the first control plane
	changes int         // of the active one
	last    int
}

func newSimulation(planes int, seed uint64) *simulation {
	w := &simulation{now: time.Unix(1_800_000_000, 0), alive: make([]bool, planes), open: make([]bool, planes), last: -1}
	w.s = New(w.now, planes, rules, rand.New(rand.NewPCG(seed, 1)))
	return w
}

func (w *simulation) step(d time.Duration) {
	w.now = w.now.Add(d)
	connect, drop := w.s.Advance(w.now)
	for _, i := range drop {
		w.open[i] = false
	}
	for _, i := range connect {
		w.open[i] = true
		if i == 0 {
			w.retries = append(w.retries, w.now)
		}
	}
	for i := range w.open {
		switch {
		case w.open[i] && w.alive[i]:
			w.s.MarkUp(w.now, i)
		case w.open[i]:
			w.open[i] = false
			w.s.MarkDown(w.now, i)
		}
	}
	if at, ok := w.s.Active(); ok && at != w.last {
		w.last = at
		w.changes++
	}
}

func (w *simulation) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.step(100 * time.Millisecond)
	}
}

func (w *simulation) expectActive(t *testing.T, want int) {
	t.Helper()
	if at, ok := w.s.Active(); ok != (want >= 0) || ok && at != want {
		t.Errorf("active is %d, %v; want %d", at, ok, want)
	}
}

// The first control plane is lost and returns: with cached resources the second is used after the response timeout, and the first
// again after its probation.
func TestFailback(t *testing.T) {
	w := newSimulation(3, 1)
	w.alive = []bool{true, true, true}
	w.run(time.Second)
	w.expectActive(t, 0)
	w.s.SetCached()
	w.alive[0] = false
	w.run(4 * time.Second)
	w.expectActive(t, -1)
	w.run(3 * time.Second)
	w.expectActive(t, 1)
	if w.open[2] {
		t.Error("the third is connected to without need")
	}
	w.alive[0] = true
	w.run(9 * time.Second)
	w.expectActive(t, 1)
	w.run(35 * time.Second)
	w.expectActive(t, 0)
	if w.open[1] {
		t.Error("the second is still connected to")
	}
}

// Without cached resources the next control plane is tried at once.
func TestFirstStart(t *testing.T) {
	w := newSimulation(3, 2)
	w.alive = []bool{false, false, true}
	w.run(500 * time.Millisecond)
	w.expectActive(t, 2)
}

// A first control plane that flaps is not followed.
func TestFlapping(t *testing.T) {
	w := newSimulation(2, 3)
	w.alive = []bool{true, true}
	w.run(time.Second)
	w.s.SetCached()
	for range 60 { // one hour: up for 40 s, down for 20
		w.alive[0] = true
		w.run(40 * time.Second)
		w.alive[0] = false
		w.run(20 * time.Second)
	}
	if w.changes > 20 {
		t.Errorf("%d changes in an hour", w.changes)
	}
	w.alive[0] = true
	w.run(20 * time.Minute)
	w.expectActive(t, 0)
}

// Clients that lose their control plane together return spread out.
func TestBackoffSpread(t *testing.T) {
	const clients = 500
	var all []*simulation
	for i := range clients {
		w := newSimulation(1, uint64(i))
		w.alive[0] = true
		w.run(time.Minute)
		w.alive[0], w.retries = false, nil
		all = append(all, w)
	}
	for _, w := range all {
		w.run(2 * time.Minute)
	}
	in := map[int64]int{}
	for _, w := range all {
		for _, at := range w.retries {
			in[at.Unix()-all[0].now.Unix()+120]++
		}
	}
	peak, late := 0, 0
	for second, n := range in {
		if second >= 10 {
			peak = max(peak, n)
		}
		late += n
	}
	t.Logf("retries in each second: %v; after ten seconds %d at the most, %d in all", in, peak, late)
	if peak > clients/5 || late > clients*30 {
		t.Errorf("after ten seconds %d retries in one second, %d in all", peak, late)
	}
}

// Whatever happens, the active control plane is up, one that is up and stays so becomes active, and NextDeadline misses no change.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "planes")
		w := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.alive[rapid.IntRange(0, n-1).Draw(t, "plane")] = rapid.Bool().Draw(t, "alive")
			if rapid.Bool().Draw(t, "known") {
				w.s.SetCached()
			}
			w.step(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			if at, ok := w.s.Active(); ok && (!w.open[at] || !w.alive[at]) {
				t.Fatalf("active is %d, which is not up", at)
			}
		}
		if !slices.Contains(w.alive, true) {
			w.alive[n-1] = true
		}
		spins := 0
		for range 500 { // by NextDeadline alone
			at := w.s.NextDeadline(w.now)
			if at.IsZero() {
				break
			}
			if at.After(w.now) {
				spins = 0
			} else if spins++; spins > 2*n {
				t.Fatalf("due at once repeatedly: %+v", w.s)
			}
			w.step(at.Sub(w.now))
		}
		if at, ok := w.s.Active(); !ok || at != slices.Index(w.alive, true) {
			t.Fatalf("active is %d, %v; alive are %v", at, ok, w.alive)
		}
	})
}
