package selection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var rules = Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second}

// world runs an order over planes that are alive or not, in steps of simulated time.
type world struct {
	o       *Selector
	now     time.Time
	alive   []bool
	open    []bool
	tries   []time.Time // of the first plane
	changes int         // of the one that is listened to
	last    int
}

func newWorld(planes int, seed uint64) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), alive: make([]bool, planes), open: make([]bool, planes), last: -1}
	w.o = New(w.now, planes, rules, rand.New(rand.NewPCG(seed, 1)))
	return w
}

func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	connect, drop := w.o.Advance(w.now)
	for _, i := range drop {
		w.open[i] = false
	}
	for _, i := range connect {
		w.open[i] = true
		if i == 0 {
			w.tries = append(w.tries, w.now)
		}
	}
	for i := range w.open {
		switch {
		case w.open[i] && w.alive[i]:
			w.o.MarkUp(w.now, i)
		case w.open[i]:
			w.open[i] = false
			w.o.MarkDown(w.now, i)
		}
	}
	if at, ok := w.o.Active(); ok && at != w.last {
		w.last = at
		w.changes++
	}
}

func (w *world) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.step(100 * time.Millisecond)
	}
}

func (w *world) listens(t *testing.T, want int) {
	t.Helper()
	if at, ok := w.o.Active(); ok != (want >= 0) || ok && at != want {
		t.Errorf("listens to %d, %v; want %d", at, ok, want)
	}
}

// The first plane is lost and returns: the second one comes after the patience where something is known, the first after its trial.
func TestReturn(t *testing.T) {
	w := newWorld(3, 1)
	w.alive = []bool{true, true, true}
	w.run(time.Second)
	w.listens(t, 0)
	w.o.SetCached()
	w.alive[0] = false
	w.run(4 * time.Second)
	w.listens(t, -1)
	w.run(3 * time.Second)
	w.listens(t, 1)
	if w.open[2] {
		t.Error("the third one is connected to for nothing")
	}
	w.alive[0] = true
	w.run(9 * time.Second)
	w.listens(t, 1)
	w.run(35 * time.Second)
	w.listens(t, 0)
	if w.open[1] {
		t.Error("the second one is still connected to")
	}
}

// Where nothing is known the next plane is tried at once.
func TestFirstStart(t *testing.T) {
	w := newWorld(3, 2)
	w.alive = []bool{false, false, true}
	w.run(500 * time.Millisecond)
	w.listens(t, 2)
}

// A first plane that comes and goes is not followed to and fro.
func TestFlapping(t *testing.T) {
	w := newWorld(2, 3)
	w.alive = []bool{true, true}
	w.run(time.Second)
	w.o.SetCached()
	for range 60 { // an hour of it: up for 40 s, down for 20
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
	w.listens(t, 0)
}

// A crowd that has lost its plane at once comes back spread out.
func TestCrowd(t *testing.T) {
	const crowd = 500
	var all []*world
	for i := range crowd {
		w := newWorld(1, uint64(i))
		w.alive[0] = true
		w.run(time.Minute)
		w.alive[0], w.tries = false, nil
		all = append(all, w)
	}
	for _, w := range all {
		w.run(2 * time.Minute)
	}
	in := map[int64]int{}
	for _, w := range all {
		for _, at := range w.tries {
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
	t.Logf("tries in each second: %v; after ten seconds %d at the most, %d in all", in, peak, late)
	if peak > crowd/5 || late > crowd*30 {
		t.Errorf("after ten seconds %d tries in one second, %d in all", peak, late)
	}
}

// Whatever happens: at most one plane is listened to, it is up, and where one is up and stays so, it is found; Next never lets a
// change be slept over.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "planes")
		w := newWorld(n, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.alive[rapid.IntRange(0, n-1).Draw(t, "plane")] = rapid.Bool().Draw(t, "alive")
			if rapid.Bool().Draw(t, "known") {
				w.o.SetCached()
			}
			w.step(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			if at, ok := w.o.Active(); ok && (!w.open[at] || !w.alive[at]) {
				t.Fatalf("listens to %d, which is not up", at)
			}
		}
		if !slices.Contains(w.alive, true) {
			w.alive[n-1] = true
		}
		spins := 0
		for range 500 { // by Next alone
			at := w.o.NextDeadline(w.now)
			if at.IsZero() {
				break
			}
			if at.After(w.now) {
				spins = 0
			} else if spins++; spins > 2*n {
				t.Fatalf("due at once, again and again: %+v", w.o)
			}
			w.step(at.Sub(w.now))
		}
		if at, ok := w.o.Active(); !ok || at != slices.Index(w.alive, true) {
			t.Fatalf("listens to %d, %v; alive are %v", at, ok, w.alive)
		}
	})
}
