package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation is a fleet in virtual time: the real modules, and ways between them that lose, delay, double and are cut by
// direction and pair. One seed gives one history.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	now              time.Duration
	queue            eventQueue
	lastSequence            int
	nodes            []*node
	byAddress        map[string]*node
	lossRatio        float64
	maxDelay            time.Duration // at the most, one way
	duplicationRatio float64
	blocked              map[[2]int]bool // from, to

	viewHashes          map[[2]uint64]uint64 // by lineage and number: hash
	falseRemovals        []removal
	messageCount        int
	observeMessage func(*Message) // sees each
	healthy        map[int]bool   // whom no view may take out
	violation          string
}

type removal struct {
	at     time.Duration
	name   string
	viewNumber uint64
}

type node struct {
	simulation             *simulation
	index         int
	core          *Core
	killed          bool
	paused        bool
	deferred          []func()      // while paused
	tickDelay     time.Duration // its ticks come so much late, by turns
	changes       []Change
	removals      int
	isolatedSince time.Duration // since when it thinks that it is isolated; zero: it does not
	falseSuspect  *Member       // accuses it, whatever it hears
}

type event struct {
	at    time.Duration
	sequence int
	action    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	t.Helper()
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 36)), byAddress: map[string]*node{}, maxDelay: 2 * time.Millisecond, blocked: map[[2]int]bool{},
		viewHashes: map[[2]uint64]uint64{}, healthy: map[int]bool{}}
	for range n {
		w.addNode(n)
	}
	return w
}

// addNode starts a process. The first one may found the fleet; the others know two.
func (w *simulation) addNode(int) *node {
	i := len(w.nodes)
	return w.startNode(Member{Name: fmt.Sprintf("m%04d", i), Address: fmt.Sprint("a", i), Incarnation: w.rng.Uint64()}, i)
}

func (w *simulation) startNode(me Member, place int) *node {
	n := &node{simulation: w, index: place}
	n.core = New(Options{Self: me, Seeds: []string{"a0", "a1"}, Bootstrap: place == 0, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1))})
	if place < len(w.nodes) {
		w.nodes[place] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	w.byAddress[me.Address] = n
	w.schedule(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), n.tick)
	return n
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{w.now + d, w.lastSequence, do})
}

func (w *simulation) runFor(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.action()
	}
	w.now = end
	if w.violation != "" {
		w.t.Fatalf("at %v: %s", w.now, w.violation)
	}
}

func (n *node) tick() {
	if n.killed {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, n.tick)
		return
	}
	n.core.Tick(n.simulation.now)
	if n.falseSuspect != nil && n.core.view != nil {
		for _, i := range n.core.activeCollectors() {
			n.core.send(n.core.view.Members[i], &Message{Kind: Report, Suspects: []Member{*n.falseSuspect}})
		}
	}
	n.handleReady()
	late := time.Duration(0)
	if n.tickDelay > 0 && n.simulation.rng.IntN(3) == 0 {
		late = time.Duration(n.simulation.rng.Int64N(int64(n.tickDelay)))
	}
	n.simulation.schedule(n.core.TickInterval()+late, n.tick)
}

func (n *node) handleReady() {
	w := n.simulation
	out, changes := n.core.Ready()
	for _, c := range changes {
		n.changes = append(n.changes, c)
		switch {
		case c.Violation != "":
			w.violation = fmt.Sprintf("%s: %s", n.core.options.Self.Name, c.Violation)
		case c.View != nil:
			id := [2]uint64{c.View.Lineage, c.View.Number}
			if h, is := w.viewHashes[id]; is && h != c.View.Hash() {
				w.violation = fmt.Sprintf("view %d differs: %+v", c.View.Number, c.View.Members)
			} else if !is {
				w.viewHashes[id] = c.View.Hash()
				w.recordFalseRemovals(c.View)
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
			w.violation = err.Error()
		}
		w.deliver(n, s)
	}
}

// recordFalseRemovals holds a new view against what is true.
func (w *simulation) recordFalseRemovals(v *View) {
	if v.Number == 1 {
		return
	}
	for i := range w.healthy {
		n := w.nodes[i]
		if n.core.view != nil && n.core.view.Lineage == v.Lineage && n.core.view.Number <= v.Number && n.core.view.Contains(n.core.options.Self) && !v.Contains(n.core.options.Self) {
			w.falseRemovals = append(w.falseRemovals, removal{w.now, n.core.options.Self.Name, v.Number})
		}
	}
}

func (w *simulation) deliver(from *node, s Envelope) {
	to := w.byAddress[s.To.Address]
	w.messageCount++
	if w.observeMessage != nil {
		w.observeMessage(s.Message)
	}
	if to == nil || w.blocked[[2]int{from.index, to.index}] {
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
		w.schedule(50*time.Microsecond+time.Duration(w.rng.Int64N(int64(w.maxDelay))), func() { to.receive(&msg) })
	}
}

func (n *node) receive(m *Message) {
	if n.killed || n.simulation.byAddress[n.core.options.Self.Address] != n {
		return
	}
	if n.paused {
		if len(n.deferred) < 4096 {
			n.deferred = append(n.deferred, func() { n.receive(m) })
		}
		return
	}
	n.core.Receive(n.simulation.now, m)
	n.handleReady()
}

func (n *node) setPaused(on bool) {
	n.paused = on
	if !on {
		held := n.deferred
		n.deferred = nil
		for _, do := range held {
			n.simulation.schedule(0, do)
		}
	}
}

// setPartition cuts two groups from one another, in one direction or both.
func (w *simulation) setPartition(a, b []int, both, on bool) {
	for _, x := range a {
		for _, y := range b {
			w.blocked[[2]int{x, y}] = on
			if both {
				w.blocked[[2]int{y, x}] = on
			}
		}
	}
}

// awaitView waits until all that are up have one view of so many members, all confirmed.
func (w *simulation) awaitView(n int, within time.Duration) time.Duration {
	w.t.Helper()
	begun := w.now
	for w.now-begun < within {
		w.runFor(50 * time.Millisecond)
		if w.hasAgreedView(n) {
			return w.now - begun
		}
	}
	for _, x := range w.nodes {
		if !x.killed && !x.paused {
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

func (w *simulation) hasAgreedView(n int) bool {
	var view *View
	for _, x := range w.nodes {
		if x.killed || x.paused {
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
func (w *simulation) assertNoFalseRemoval(what string) {
	w.t.Helper()
	if len(w.falseRemovals) > 0 {
		w.t.Fatalf("%s: healthy members taken out: %v", what, w.falseRemovals[:min(len(w.falseRemovals), 5)])
	}
}

// all marks members as healthy.
func (w *simulation) setHealthy(of ...int) {
	w.healthy = map[int]bool{}
	for _, i := range of {
		w.healthy[i] = true
	}
}

func newFiveMemberFleet(t *testing.T, seed uint64) *simulation {
	t.Helper()
	w := newSimulation(t, seed, 5)
	w.awaitView(5, 30*time.Second)
	return w
}

func indicesUpTo(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

func excludeIndices(all []int, some ...int) []int {
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(some, i) })
}
