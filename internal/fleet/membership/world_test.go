package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation runs a fleet of Cores in virtual time. Its network can delay, lose and duplicate messages, and can block them
// between any two processes in either direction. A run is determined by its seed.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	now              time.Duration
	queue            eventQueue
	lastSequence     int
	nodes            []*node
	byAddress        map[string]*node
	lossRatio        float64         // of all messages but ViewResponse, which is never lost
	maxDelay         time.Duration   // one way, beyond the fixed 50 microseconds
	duplicationRatio float64         // of messages
	blocked          map[[2]int]bool // by the indices of sender and recipient

	viewHashes     map[[2]uint64]uint64 // by lineage and view number
	falseRemovals  []removal
	messageCount   int            // messages sent, with those that are lost or blocked
	observeMessage func(*Message) // called with each message that is sent; may be nil
	healthy        map[int]bool   // the indices of processes that no view may remove
	violation      string         // the violated invariant; it ends the run
}

// removal is the removal of a member by a view.
type removal struct {
	at         time.Duration
	name       string
	viewNumber uint64
}

// node is a simulated process.
type node struct {
	sim           *simulation
	index         int
	core          *Core
	killed        bool
	paused        bool
	deferred      []func()      // ticks and up to 4096 messages that arrived during a pause
	tickDelay     time.Duration // the largest delay of a tick; a random third of the ticks is delayed
	changes       []Change
	removals      int
	isolatedSince time.Duration // when its Core became isolated; zero: it is not isolated
	falseSuspect  *Member       // a member that it reports as suspected with each tick, whatever it receives
}

// event is an action at a point of virtual time. Events of the same time run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newSimulation starts a fleet of n processes.
func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	t.Helper()
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 36)), byAddress: map[string]*node{}, maxDelay: 2 * time.Millisecond, blocked: map[[2]int]bool{},
		viewHashes: map[[2]uint64]uint64{}, healthy: map[int]bool{}}
	for range n {
		sim.addNode(n)
	}
	return sim
}

// addNode starts another process. All processes have the first two as seeds, and only the first one may found a fleet.
func (sim *simulation) addNode(int) *node {
	i := len(sim.nodes)
	return sim.startNode(Member{Name: fmt.Sprintf("m%04d", i), Address: fmt.Sprint("a", i), Incarnation: sim.rng.Uint64()}, i)
}

// startNode starts a process at an index, where it replaces any earlier process.
func (sim *simulation) startNode(self Member, index int) *node {
	n := &node{sim: sim, index: index}
	n.core = New(Options{Self: self, Seeds: []string{"a0", "a1"}, Bootstrap: index == 0, Rand: rand.New(rand.NewPCG(sim.rng.Uint64(), 1))})
	if index < len(sim.nodes) {
		sim.nodes[index] = n
	} else {
		sim.nodes = append(sim.nodes, n)
	}
	sim.byAddress[self.Address] = n
	sim.schedule(time.Duration(sim.rng.Int64N(int64(100*time.Millisecond))), n.tick)
	return n
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{sim.now + delay, sim.lastSequence, action})
}

// runFor advances the virtual time, and fails the test when an invariant is violated.
func (sim *simulation) runFor(duration time.Duration) {
	end := sim.now + duration
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.action()
	}
	sim.now = end
	if sim.violation != "" {
		sim.t.Fatalf("at %v: invariant violated: %s", sim.now, sim.violation)
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
	n.core.Tick(n.sim.now)
	if n.falseSuspect != nil && n.core.view != nil {
		for _, i := range n.core.activeCollectors() {
			n.core.send(n.core.view.Members[i], &Message{Kind: Report, Suspects: []Member{*n.falseSuspect}})
		}
	}
	n.handleReady()
	delay := time.Duration(0)
	if n.tickDelay > 0 && n.sim.rng.IntN(3) == 0 {
		delay = time.Duration(n.sim.rng.Int64N(int64(n.tickDelay)))
	}
	n.sim.schedule(n.core.TickInterval()+delay, n.tick)
}

// handleReady checks the changes that the Core returns, and sends its messages.
func (n *node) handleReady() {
	sim := n.sim
	outgoing, changes := n.core.Ready()
	for _, change := range changes {
		n.changes = append(n.changes, change)
		switch {
		case change.Violation != "":
			sim.violation = fmt.Sprintf("%s: %s", n.core.options.Self.Name, change.Violation)
		case change.View != nil:
			id := [2]uint64{change.View.Lineage, change.View.Number}
			if hash, found := sim.viewHashes[id]; found && hash != change.View.Hash() {
				sim.violation = fmt.Sprintf("view %d differs from another view of its number: %+v", change.View.Number, change.View.Members)
			} else if !found {
				sim.viewHashes[id] = change.View.Hash()
				sim.recordFalseRemovals(change.View)
			}
		case change.Removed:
			n.removals++
		}
	}
	switch {
	case !n.core.IsIsolated():
		n.isolatedSince = 0
	case n.isolatedSince == 0:
		n.isolatedSince = sim.now
	}
	for _, envelope := range outgoing {
		if err := envelope.Message.Check(); err != nil {
			sim.violation = err.Error()
		}
		sim.deliver(n, envelope)
	}
}

// recordFalseRemovals records the healthy members that a new view removes.
func (sim *simulation) recordFalseRemovals(view *View) {
	if view.Number == 1 {
		return
	}
	for i := range sim.healthy {
		n := sim.nodes[i]
		if n.core.view != nil && n.core.view.Lineage == view.Lineage && n.core.view.Number <= view.Number && n.core.view.Contains(n.core.options.Self) && !view.Contains(n.core.options.Self) {
			sim.falseRemovals = append(sim.falseRemovals, removal{sim.now, n.core.options.Self.Name, view.Number})
		}
	}
}

// deliver sends a message over the simulated network.
func (sim *simulation) deliver(from *node, envelope Envelope) {
	to := sim.byAddress[envelope.To.Address]
	sim.messageCount++
	if sim.observeMessage != nil {
		sim.observeMessage(envelope.Message)
	}
	if to == nil || sim.blocked[[2]int{from.index, to.index}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		if sim.rng.Float64() < sim.duplicationRatio {
			copies++
		}
		if sim.rng.Float64() < sim.lossRatio && envelope.Message.Kind != ViewResponse {
			continue
		}
		message := *envelope.Message
		sim.schedule(50*time.Microsecond+time.Duration(sim.rng.Int64N(int64(sim.maxDelay))), func() { to.receive(&message) })
	}
}

func (n *node) receive(message *Message) {
	if n.killed || n.sim.byAddress[n.core.options.Self.Address] != n {
		return
	}
	if n.paused {
		if len(n.deferred) < 4096 {
			n.deferred = append(n.deferred, func() { n.receive(message) })
		}
		return
	}
	n.core.Receive(n.sim.now, message)
	n.handleReady()
}

// setPaused pauses the process, or resumes it and has it handle what arrived in the meantime.
func (n *node) setPaused(paused bool) {
	n.paused = paused
	if !paused {
		deferred := n.deferred
		n.deferred = nil
		for _, action := range deferred {
			n.sim.schedule(0, action)
		}
	}
}

// setPartition blocks messages from group a to group b, and with both also from b to a. If blocked is
// false, it unblocks them.
func (sim *simulation) setPartition(a, b []int, both, blocked bool) {
	for _, from := range a {
		for _, to := range b {
			sim.blocked[[2]int{from, to}] = blocked
			if both {
				sim.blocked[[2]int{to, from}] = blocked
			}
		}
	}
}

// awaitView runs until all running processes have a quorum in the same view, with this many members, and returns how
// long that took.
func (sim *simulation) awaitView(members int, within time.Duration) time.Duration {
	sim.t.Helper()
	start := sim.now
	for sim.now-start < within {
		sim.runFor(50 * time.Millisecond)
		if sim.hasAgreedView(members) {
			return sim.now - start
		}
	}
	for _, n := range sim.nodes {
		if !n.killed && !n.paused {
			if view := n.core.View(); view != nil {
				sim.t.Logf("%s: view %d of %d members, majority reached %v, no majority since %v, change pending since %+v", n.core.options.Self.Name, view.Number, len(view.Members), n.core.majorityReached, n.core.noMajoritySince, n.core.changePendingSince)
			} else {
				sim.t.Logf("%s: no view", n.core.options.Self.Name)
			}
		}
	}
	sim.t.Fatalf("at %v: no agreement on a view of %d members within %v", sim.now, members, within)
	return 0
}

// hasAgreedView reports whether all running processes have a quorum in the same view, with this many members.
func (sim *simulation) hasAgreedView(members int) bool {
	var agreed *View
	for _, n := range sim.nodes {
		if n.killed || n.paused {
			continue
		}
		view := n.core.View()
		if view == nil || len(view.Members) != members || !n.core.HasQuorum() || agreed != nil && (view.Number != agreed.Number || view.Lineage != agreed.Lineage) {
			return false
		}
		agreed = view
	}
	return agreed != nil
}

// assertNoFalseRemoval fails the test if a view has removed a healthy member.
func (sim *simulation) assertNoFalseRemoval(condition string) {
	sim.t.Helper()
	if len(sim.falseRemovals) > 0 {
		sim.t.Fatalf("%s: healthy members removed: %v", condition, sim.falseRemovals[:min(len(sim.falseRemovals), 5)])
	}
}

// setHealthy sets which members no view may remove, by index.
func (sim *simulation) setHealthy(indices ...int) {
	sim.healthy = map[int]bool{}
	for _, i := range indices {
		sim.healthy[i] = true
	}
}

// newFiveMemberFleet starts five processes, and waits until they are in one view.
func newFiveMemberFleet(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, 5)
	sim.awaitView(5, 30*time.Second)
	return sim
}

// indicesUpTo returns the numbers from 0 to n-1.
func indicesUpTo(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// excludeIndices returns a copy of all without the excluded indices.
func excludeIndices(all []int, excluded ...int) []int {
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(excluded, i) })
}
