package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world is a fleet in virtual time: the real modules, and ways between them that lose, delay, double and are cut by
// direction and pair. One seed gives one history.
type world struct {
	t                testing.TB
	rng              *rand.Rand
	now              time.Duration
	queue            events
	order            int
	nodes            []*node
	byAddress        map[string]*node
	lossRatio        float64
	delay            time.Duration // at the most, one way
	duplicationRatio float64
	cut              map[[2]int]bool // from, to

	views          map[[2]uint64]uint64 // by lineage and number: hash
	removed        []removal
	packets        int
	observeMessage func(*Message) // sees each
	healthy        map[int]bool   // whom no view may take out
	fault          string
}

type removal struct {
	at     time.Duration
	name   string
	number uint64
}

type node struct {
	w             *world
	place         int
	core          *Core
	dead          bool
	paused        bool
	held          []func()      // while paused
	tickDelay     time.Duration // its ticks come so much late, by turns
	changes       []Change
	removals      int
	isolatedSince time.Duration // since when it thinks that it is isolated; zero: it does not
	falseSuspect  *Member       // accuses it, whatever it hears
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newWorld(t testing.TB, seed uint64, n int) *world {
	t.Helper()
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 36)), byAddress: map[string]*node{}, delay: 2 * time.Millisecond, cut: map[[2]int]bool{},
		views: map[[2]uint64]uint64{}, healthy: map[int]bool{}}
	for range n {
		w.add(n)
	}
	return w
}

// add starts a process. The first one may found the fleet; the others know two.
func (w *world) add(int) *node {
	i := len(w.nodes)
	return w.start(Member{Name: fmt.Sprintf("m%04d", i), Address: fmt.Sprint("a", i), Incarnation: w.rng.Uint64()}, i)
}

func (w *world) start(me Member, place int) *node {
	n := &node{w: w, place: place}
	n.core = New(Options{Self: me, Seeds: []string{"a0", "a1"}, Bootstrap: place == 0, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1))})
	if place < len(w.nodes) {
		w.nodes[place] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAddress[me.Address] = n
	w.after(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), n.tick)
	return n
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && w.fault == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
	if w.fault != "" {
		w.t.Fatalf("at %v: %s", w.now, w.fault)
	}
}

func (n *node) tick() {
	if n.dead {
		return
	}
	if n.paused {
		n.held = append(n.held, n.tick)
		return
	}
	n.core.Tick(n.w.now)
	if n.falseSuspect != nil && n.core.view != nil {
		for _, i := range n.core.activeCollectors() {
			n.core.send(n.core.view.Members[i], &Message{Kind: Report, Suspects: []Member{*n.falseSuspect}})
		}
	}
	n.drain()
	late := time.Duration(0)
	if n.tickDelay > 0 && n.w.rng.IntN(3) == 0 {
		late = time.Duration(n.w.rng.Int64N(int64(n.tickDelay)))
	}
	n.w.after(n.core.TickInterval()+late, n.tick)
}

func (n *node) drain() {
	w := n.w
	out, changes := n.core.Ready()
	for _, c := range changes {
		n.changes = append(n.changes, c)
		switch {
		case c.Violation != "":
			w.fault = fmt.Sprintf("%s: %s", n.core.options.Self.Name, c.Violation)
		case c.View != nil:
			id := [2]uint64{c.View.Lineage, c.View.Number}
			if h, is := w.views[id]; is && h != c.View.Hash() {
				w.fault = fmt.Sprintf("view %d differs: %+v", c.View.Number, c.View.Members)
			} else if !is {
				w.views[id] = c.View.Hash()
				w.audit(c.View)
			}
		case c.Removed:
			n.removals++
		}
	}
	switch {
	case !n.core.IsIsolated():
		n.isolatedSince = 0
	case n.isolatedSince == 0:
		n.isolatedSince = w.now
	}
	for _, s := range out {
		if err := s.Message.Check(); err != nil {
			w.fault = err.Error()
		}
		w.deliver(n, s)
	}
}

// audit holds a new view against what is true.
func (w *world) audit(v *View) {
	if v.Number == 1 {
		return
	}
	for i := range w.healthy {
		n := w.nodes[i]
		if n.core.view != nil && n.core.view.Lineage == v.Lineage && n.core.view.Number <= v.Number && n.core.view.Contains(n.core.options.Self) && !v.Contains(n.core.options.Self) {
			w.removed = append(w.removed, removal{w.now, n.core.options.Self.Name, v.Number})
		}
	}
}

func (w *world) deliver(from *node, s Envelope) {
	to := w.byAddress[s.To.Address]
	w.packets++
	if w.observeMessage != nil {
		w.observeMessage(s.Message)
	}
	if to == nil || w.cut[[2]int{from.place, to.place}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		if w.rng.Float64() < w.duplicationRatio {
			copies++
		}
		if w.rng.Float64() < w.lossRatio && s.Message.Kind != ViewResponse {
			continue
		}
		msg := *s.Message
		w.after(50*time.Microsecond+time.Duration(w.rng.Int64N(int64(w.delay))), func() { to.receive(&msg) })
	}
}

func (n *node) receive(m *Message) {
	if n.dead || n.w.byAddress[n.core.options.Self.Address] != n {
		return
	}
	if n.paused {
		if len(n.held) < 4096 {
			n.held = append(n.held, func() { n.receive(m) })
		}
		return
	}
	n.core.Receive(n.w.now, m)
	n.drain()
}

func (n *node) pause(on bool) {
	n.paused = on
	if !on {
		held := n.held
		n.held = nil
		for _, do := range held {
			n.w.after(0, do)
		}
	}
}

// partition cuts two groups from one another, in one direction or both.
func (w *world) partition(a, b []int, both, on bool) {
	for _, x := range a {
		for _, y := range b {
			w.cut[[2]int{x, y}] = on
			if both {
				w.cut[[2]int{y, x}] = on
			}
		}
	}
}

// awaitView waits until all that are up have one view of so many members, all confirmed.
func (w *world) awaitView(n int, within time.Duration) time.Duration {
	w.t.Helper()
	begun := w.now
	for w.now-begun < within {
		w.run(50 * time.Millisecond)
		if w.isAgreed(n) {
			return w.now - begun
		}
	}
	for _, x := range w.nodes {
		if !x.dead && !x.paused {
			if v := x.core.View(); v != nil {
				w.t.Logf("%s: view %d of %d, sure %v, lonely %v, %+v", x.core.options.Self.Name, v.Number, len(v.Members), x.core.majorityReached, x.core.noMajoritySince, x.core.changePendingSince)
			} else {
				w.t.Logf("%s: no view", x.core.options.Self.Name)
			}
		}
	}
	w.t.Fatalf("%v: no agreement on a view of %d within %v", w.now, n, within)
	return 0
}

func (w *world) isAgreed(n int) bool {
	var view *View
	for _, x := range w.nodes {
		if x.dead || x.paused {
			continue
		}
		v := x.core.View()
		if v == nil || len(v.Members) != n || !x.core.HasQuorum() || view != nil && (v.Number != view.Number || v.Lineage != view.Lineage) {
			return false
		}
		view = v
	}
	return view != nil
}

// assertNoFalseRemoval tells whether no healthy member has been taken out.
func (w *world) assertNoFalseRemoval(what string) {
	w.t.Helper()
	if len(w.removed) > 0 {
		w.t.Fatalf("%s: healthy members taken out: %v", what, w.removed[:min(len(w.removed), 5)])
	}
}

// all marks members as healthy.
func (w *world) setHealthy(of ...int) {
	w.healthy = map[int]bool{}
	for _, i := range of {
		w.healthy[i] = true
	}
}

func five(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(t, seed, 5)
	w.awaitView(5, 30*time.Second)
	return w
}

func upTo(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

func without(all []int, some ...int) []int {
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(some, i) })
}
