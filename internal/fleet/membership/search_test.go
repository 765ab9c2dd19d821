package membership

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var long = flag.Bool("long", false, "run the tests at full size instead of the reduced default")

// search explores the orders in which the messages of the agreement on one view can be delivered or lost. Two members propose
// different changes, and the first one may propose a third change later. The search ends at maxDepth steps, at maxStates
// states, or at the first violation.
type search struct {
	members        int
	forgetPromises bool // an injected fault: acceptors forget what they promised and accepted
	maxDepth       int
	maxStates      int
	seen           map[string]bool // the fingerprints of the states explored
	violation      error
	rng            *rand.Rand
}

// step is one step of a search: it delivers or loses a message in flight, or has a member propose again.
type step struct {
	action string // "deliver", "lose" or "again"
	index  int    // of the message in flight, or of the proposing member
}

// searchState is the state that a path of steps leads to.
type searchState struct {
	cores      []*Core
	inFlight   []Envelope
	retries    int // how many times a member has proposed again
	viewHashes map[uint64]uint64
	violation  error
}

// replay returns the state after a path of steps from the initial state.
func (s *search) replay(path []step) *searchState {
	state := &searchState{viewHashes: map[uint64]uint64{}}
	view := &View{Lineage: 1, Number: 1}
	for i := range s.members {
		view.Members = append(view.Members, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprint(i), Incarnation: uint64(i + 1)})
	}
	for i := range s.members {
		core := New(Options{Self: view.Members[i], Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		core.now = time.Hour
		core.installView(view)
		state.cores = append(state.cores, core)
	}
	for i := range 2 {
		state.cores[i].startProposal(&Delta{Add: []Member{{Name: fmt.Sprint("x", i), Address: "x", Incarnation: 9}}})
	}
	state.collectMessages(s)
	for _, next := range path {
		switch next.action {
		case "deliver":
			envelope := state.inFlight[next.index]
			state.inFlight = slices.Delete(state.inFlight, next.index, next.index+1)
			for _, core := range state.cores {
				if core.options.Self.Name == envelope.To.Name {
					message := *envelope.Message
					core.Receive(core.now, &message)
				}
			}
		case "lose":
			state.inFlight = slices.Delete(state.inFlight, next.index, next.index+1)
		case "again":
			state.retries++
			if core := state.cores[next.index]; core.view.Number == 1 {
				core.startProposal(&Delta{Add: []Member{{Name: "x2", Address: "x", Incarnation: 9}}})
			}
		}
		state.collectMessages(s)
	}
	return state
}

// collectMessages adds the messages that the members send to those in flight, and compares the views that they install. Rejections
// are left out, as they have no effect on a proposer.
func (state *searchState) collectMessages(s *search) {
	for _, core := range state.cores {
		outgoing, _ := core.Ready()
		for _, envelope := range outgoing {
			switch envelope.Message.Kind {
			case Prepare, Promise, Accept, Accepted:
				if envelope.Message.Kind == Prepare || envelope.Message.Kind == Accept || envelope.Message.Affirmed {
					state.inFlight = append(state.inFlight, envelope)
				}
			}
		}
		if s.forgetPromises {
			core.accepted = acceptor{}
		}
		if core.view.Number > 1 {
			if hash, found := state.viewHashes[core.view.Number]; found && hash != core.view.Hash() {
				state.violation = fmt.Errorf("view %d differs between two members", core.view.Number)
			}
			state.viewHashes[core.view.Number] = core.view.Hash()
		}
	}
}

// fingerprint identifies the state, so that states reached by several paths are explored once.
func (state *searchState) fingerprint() string {
	var b strings.Builder
	for _, core := range state.cores {
		proposal := core.proposal
		fmt.Fprintf(&b, "%d %v %v %v|%v %v %v %v|", core.view.Hash(), core.accepted.promised, core.accepted.acceptedBallot, core.accepted.acceptedValue, proposal.ballot, proposal.value, len(proposal.promises), len(proposal.accepts))
		for _, set := range []map[string]bool{proposal.promises, proposal.accepts} {
			names := []string{}
			for name := range set {
				names = append(names, name)
			}
			slices.Sort(names)
			fmt.Fprint(&b, names)
		}
	}
	var inFlight []string
	for _, envelope := range state.inFlight {
		inFlight = append(inFlight, fmt.Sprint(envelope.To.Name, envelope.Message.From.Name, envelope.Message.Kind, envelope.Message.Ballot, envelope.Message.PriorBallot, envelope.Message.Delta))
	}
	slices.Sort(inFlight)
	fmt.Fprint(&b, inFlight, state.retries)
	return b.String()
}

// explore visits the states that follow a path, depth first.
func (s *search) explore(path []step) {
	if s.violation != nil || len(s.seen) >= s.maxStates {
		return
	}
	state := s.replay(path)
	if state.violation != nil {
		s.violation = fmt.Errorf("%v: %w", path, state.violation)
		return
	}
	fingerprint := state.fingerprint()
	if s.seen[fingerprint] || len(path) >= s.maxDepth {
		return
	}
	s.seen[fingerprint] = true
	var next []step
	for i := range state.inFlight {
		next = append(next, step{"deliver", i}, step{"lose", i})
	}
	if state.retries < 1 {
		next = append(next, step{"again", 0})
	}
	s.rng.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] }) // so that maxStates does not limit the search to one region
	for _, following := range next {
		s.explore(append(slices.Clone(path), following))
	}
}

// Two views of one number never differ, in whatever order messages arrive and whichever are lost. As a check of the search
// itself, it must find a violation when members forget their promises.
func TestSearchFindsNoConflictingViews(t *testing.T) {
	t.Parallel()
	maxStates := 600
	if *long {
		maxStates = 100_000
	}
	runSearch := func(members, maxStates int, forgetPromises bool) *search {
		s := &search{members: members, maxDepth: 30, maxStates: maxStates, forgetPromises: forgetPromises, seen: map[string]bool{}, rng: rand.New(rand.NewPCG(36, uint64(members)))}
		s.explore(nil)
		t.Logf("%d members, promises forgotten %v: %d states, violation: %v", members, forgetPromises, len(s.seen), s.violation)
		return s
	}
	for _, members := range []int{3, 4, 5} {
		if s := runSearch(members, maxStates, false); s.violation != nil {
			t.Error(s.violation)
		}
	}
	if s := runSearch(3, 100_000, true); s.violation == nil {
		t.Error("no violation found though members forget their promises")
	}
}

// fault is a failure that affects some members of a simulation for a time. Its kind is one of:
//   - "pause": the processes are paused
//   - "mute": the other processes do not receive their messages
//   - "deaf": they do not receive the messages of the other processes
//   - "part": both, a partition
//   - "pair": the first and the last of them do not receive each other's messages
//   - "slow": their ticks are late by up to 1 s
//   - "loss": 30% of all messages are lost
//   - "again": they restart
type fault struct {
	kind                  string
	startsAfter, duration time.Duration
	members               []int
}

// setActive begins the fault, or ends it.
func (f fault) setActive(sim *simulation, active bool) {
	all := indicesUpTo(len(sim.nodes))
	others := excludeIndices(all, f.members...)
	switch f.kind {
	case "pause":
		for _, i := range f.members {
			sim.nodes[i].setPaused(active)
		}
	case "mute":
		sim.setPartition(f.members, others, false, active)
	case "deaf":
		sim.setPartition(others, f.members, false, active)
	case "part":
		sim.setPartition(f.members, others, true, active)
	case "pair":
		sim.setPartition(f.members[:1], f.members[len(f.members)-1:], true, active)
	case "slow":
		for _, i := range f.members {
			sim.nodes[i].tickDelay = 0
			if active {
				sim.nodes[i].tickDelay = time.Second
			}
		}
	case "loss":
		sim.lossRatio = 0
		if active {
			sim.lossRatio = 0.3
		}
	case "again": // a restart: the process is killed, and a new one takes its address
		if active {
			for _, i := range f.members {
				self := sim.nodes[i].core.options.Self
				sim.nodes[i].killed = true
				sim.startNode(Member{Name: self.Name, Address: self.Address, Incarnation: sim.rng.Uint64()}, i)
			}
		}
	}
}

// mayRemoveMembers reports whether a view may remove the members that the fault affects.
func (f fault) mayRemoveMembers() bool {
	return !slices.Contains([]string{"pair", "slow", "loss"}, f.kind)
}

// Up to three random faults, which may overlap, affect a minority of the members. Two views of one number never differ, and no
// member is removed unless a fault allows it. After the faults end, all members are in one view.
func TestRandomFaultsRemoveNoHealthyMember(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		sizes := []int{3, 5, 9, 16, 20}
		if *long {
			sizes = append(sizes, 50)
		}
		n := rapid.SampledFrom(sizes).Draw(r, "members")
		sim := newSimulation(t, rapid.Uint64().Draw(r, "seed"), n)
		sim.awaitView(n, time.Minute)
		var faults []fault
		affected := map[int]bool{}
		budget := (n - 1) / 2
		for i := range rapid.IntRange(1, 3).Draw(r, "faults") {
			f := fault{kind: rapid.SampledFrom([]string{"pause", "mute", "deaf", "part", "pair", "slow", "loss", "again"}).Draw(r, fmt.Sprint("kind", i)),
				startsAfter: time.Duration(rapid.IntRange(0, 8000).Draw(r, fmt.Sprint("at", i))) * time.Millisecond,
				duration:    time.Duration(rapid.IntRange(200, 15000).Draw(r, fmt.Sprint("for", i))) * time.Millisecond}
			count := rapid.IntRange(1, max(budget/3, 1)).Draw(r, fmt.Sprint("count", i))
			for range count {
				member := rapid.IntRange(1, n-1).Draw(r, "who") // member 0 is never affected: it alone may found a fleet
				if !slices.Contains(f.members, member) {
					f.members = append(f.members, member)
				}
			}
			if f.mayRemoveMembers() {
				newlyAffected := excludeIndices(f.members, slices.Collect(maps.Keys(affected))...)
				if len(affected)+len(newlyAffected) > budget { // a majority must stay unaffected
					continue
				}
				for _, i := range newlyAffected {
					affected[i] = true
				}
			}
			faults = append(faults, f)
		}
		for i := range n {
			if !affected[i] {
				sim.healthy[i] = true
			}
		}
		for _, f := range faults {
			sim.schedule(f.startsAfter, func() { f.setActive(sim, true) })
			sim.schedule(f.startsAfter+f.duration, func() { f.setActive(sim, false) })
		}
		sim.runFor(24 * time.Second)
		sim.assertNoFalseRemoval(fmt.Sprint(faults))
		sim.awaitView(n, 40*time.Second)
		sim.assertNoFalseRemoval(fmt.Sprint(faults))
	})
}
