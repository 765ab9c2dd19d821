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

var fullSize = flag.Bool("long", false, "play the full size of what is scaled down by default")

// search plays orders in which messages of the agreement on one view are delivered or lost, to a depth, with two
// members that propose different changes and one that proposes again. It returns how many states it saw, and what was wrong.
type search struct {
	members int
	forgetPromises bool // the fault that it has to find: promises are forgotten
	maxDepth   int
	maxStates    int
	seen    map[string]bool
	violation   error
	rng     *rand.Rand
}

// step is one of: deliver or lose a message that is on its way, or propose again.
type step struct {
	action string
	index   int
}

type searchState struct {
	cores []*Core
	inFlight   []Envelope
	retries int
	viewHashes map[uint64]uint64
	violation error
}

func (s *search) replay(path []step) *searchState {
	t := &searchState{viewHashes: map[uint64]uint64{}}
	v := &View{Lineage: 1, Number: 1}
	for i := range s.members {
		v.Members = append(v.Members, Member{Name: fmt.Sprint("m", i), Address: fmt.Sprint(i), Incarnation: uint64(i + 1)})
	}
	for i := range s.members {
		c := New(Options{Self: v.Members[i], Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		c.now = time.Hour
		c.installView(v)
		t.cores = append(t.cores, c)
	}
	for i := range 2 {
		t.cores[i].startProposal(&Delta{Add: []Member{{Name: fmt.Sprint("x", i), Address: "x", Incarnation: 9}}})
	}
	t.collectMessages(s)
	for _, p := range path {
		switch p.action {
		case "deliver":
			m := t.inFlight[p.index]
			t.inFlight = slices.Delete(t.inFlight, p.index, p.index+1)
			for _, c := range t.cores {
				if c.options.Self.Name == m.To.Name {
					msg := *m.Message
					c.Receive(c.now, &msg)
				}
			}
		case "lose":
			t.inFlight = slices.Delete(t.inFlight, p.index, p.index+1)
		case "again":
			t.retries++
			if c := t.cores[p.index]; c.view.Number == 1 {
				c.startProposal(&Delta{Add: []Member{{Name: "x2", Address: "x", Incarnation: 9}}})
			}
		}
		t.collectMessages(s)
	}
	return t
}

func (t *searchState) collectMessages(s *search) {
	for _, c := range t.cores {
		out, _ := c.Ready()
		for _, o := range out {
			switch o.Message.Kind {
			case Prepare, Promise, Accept, Accepted:
				if o.Message.Kind == Prepare || o.Message.Kind == Accept || o.Message.Affirmed {
					t.inFlight = append(t.inFlight, o)
				}
			}
		}
		if s.forgetPromises {
			c.accepted = acceptor{}
		}
		if c.view.Number > 1 {
			if h, is := t.viewHashes[c.view.Number]; is && h != c.view.Hash() {
				t.violation = fmt.Errorf("view %d differs", c.view.Number)
			}
			t.viewHashes[c.view.Number] = c.view.Hash()
		}
	}
}

func (t *searchState) fingerprint() string {
	var b strings.Builder
	for _, c := range t.cores {
		p := c.proposal
		fmt.Fprintf(&b, "%d %v %v %v|%v %v %v %v|", c.view.Hash(), c.accepted.promised, c.accepted.acceptedBallot, c.accepted.acceptedValue, p.ballot, p.value, len(p.promises), len(p.accepts))
		for _, set := range []map[string]bool{p.promises, p.accepts} {
			names := []string{}
			for n := range set {
				names = append(names, n)
			}
			slices.Sort(names)
			fmt.Fprint(&b, names)
		}
	}
	var way []string
	for _, s := range t.inFlight {
		way = append(way, fmt.Sprint(s.To.Name, s.Message.From.Name, s.Message.Kind, s.Message.Ballot, s.Message.PriorBallot, s.Message.Delta))
	}
	slices.Sort(way)
	fmt.Fprint(&b, way, t.retries)
	return b.String()
}

func (s *search) explore(path []step) {
	if s.violation != nil || len(s.seen) >= s.maxStates {
		return
	}
	t := s.replay(path)
	if t.violation != nil {
		s.violation = fmt.Errorf("%v: %w", path, t.violation)
		return
	}
	sig := t.fingerprint()
	if s.seen[sig] || len(path) >= s.maxDepth {
		return
	}
	s.seen[sig] = true
	var next []step
	for i := range t.inFlight {
		next = append(next, step{"deliver", i}, step{"lose", i})
	}
	if t.retries < 1 {
		next = append(next, step{"again", 0})
	}
	s.rng.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] }) // not one corner alone where there are too many
	for _, p := range next {
		s.explore(append(slices.Clone(path), p))
	}
}

// Two views of one number never differ, in whatever order messages come and whichever are lost; the search finds a member
// that forgets its promises.
func TestSearchFindsNoConflictingViews(t *testing.T) {
	t.Parallel()
	most := 600
	if *fullSize {
		most = 100_000
	}
	play := func(members, most int, amnesia bool) *search {
		s := &search{members: members, maxDepth: 30, maxStates: most, forgetPromises: amnesia, seen: map[string]bool{}, rng: rand.New(rand.NewPCG(36, uint64(members)))}
		s.explore(nil)
		t.Logf("%d members, forgetting %v: %d states, %v", members, amnesia, len(s.seen), s.violation)
		return s
	}
	for _, members := range []int{3, 4, 5} {
		if s := play(members, most, false); s.violation != nil {
			t.Error(s.violation)
		}
	}
	if s := play(3, 100_000, true); s.violation == nil {
		t.Error("a member that forgets its promises was not found")
	}
}

// fault is something that happens to some members of a world for a time.
type fault struct {
	kind      string
	startsAfter, duration time.Duration
	members       []int
}

func (x fault) setActive(w *simulation, on bool) {
	all := indicesUpTo(len(w.nodes))
	rest := excludeIndices(all, x.members...)
	switch x.kind {
	case "pause":
		for _, i := range x.members {
			w.nodes[i].setPaused(on)
		}
	case "mute":
		w.setPartition(x.members, rest, false, on)
	case "deaf":
		w.setPartition(rest, x.members, false, on)
	case "part":
		w.setPartition(x.members, rest, true, on)
	case "pair":
		w.setPartition(x.members[:1], x.members[len(x.members)-1:], true, on)
	case "slow":
		for _, i := range x.members {
			w.nodes[i].tickDelay = 0
			if on {
				w.nodes[i].tickDelay = time.Second
			}
		}
	case "loss":
		w.lossRatio = 0
		if on {
			w.lossRatio = 0.3
		}
	case "again": // ends, and a new process comes in its place
		if on {
			for _, i := range x.members {
				m := w.nodes[i].core.options.Self
				w.nodes[i].killed = true
				w.startNode(Member{Name: m.Name, Address: m.Address, Incarnation: w.rng.Uint64()}, i)
			}
		}
	}
}

// mayRemoveMembers tells whether a trouble may rightly end in a view without those whom it is about.
func (x fault) mayRemoveMembers() bool {
	return !slices.Contains([]string{"pair", "slow", "loss"}, x.kind)
}

// Random troubles, up to three at the same time, of a minority: no two views of one number, nobody out whom no trouble
// is about, and all one view when it is over.
func TestRandomFaultsRemoveNoHealthyMember(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		sizes := []int{3, 5, 9, 16, 20}
		if *fullSize {
			sizes = append(sizes, 50)
		}
		n := rapid.SampledFrom(sizes).Draw(r, "members")
		w := newSimulation(t, rapid.Uint64().Draw(r, "seed"), n)
		w.awaitView(n, time.Minute)
		var troubles []fault
		affected := map[int]bool{}
		budget := (n - 1) / 2
		for i := range rapid.IntRange(1, 3).Draw(r, "troubles") {
			x := fault{kind: rapid.SampledFrom([]string{"pause", "mute", "deaf", "part", "pair", "slow", "loss", "again"}).Draw(r, fmt.Sprint("kind", i)),
				startsAfter:    time.Duration(rapid.IntRange(0, 8000).Draw(r, fmt.Sprint("at", i))) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(200, 15000).Draw(r, fmt.Sprint("for", i))) * time.Millisecond}
			count := rapid.IntRange(1, max(budget/3, 1)).Draw(r, fmt.Sprint("count", i))
			for range count {
				who := rapid.IntRange(1, n-1).Draw(r, "who") // the one that founds again stays
				if !slices.Contains(x.members, who) {
					x.members = append(x.members, who)
				}
			}
			if x.mayRemoveMembers() {
				more := excludeIndices(x.members, slices.Collect(maps.Keys(affected))...)
				if len(affected)+len(more) > budget { // a majority stays
					continue
				}
				for _, i := range more {
					affected[i] = true
				}
			}
			troubles = append(troubles, x)
		}
		for i := range n {
			if !affected[i] {
				w.healthy[i] = true
			}
		}
		for _, x := range troubles {
			w.schedule(x.startsAfter, func() { x.setActive(w, true) })
			w.schedule(x.startsAfter+x.duration, func() { x.setActive(w, false) })
		}
		w.runFor(24 * time.Second)
		w.assertNoFalseRemoval(fmt.Sprint(troubles))
		w.awaitView(n, 40*time.Second)
		w.assertNoFalseRemoval(fmt.Sprint(troubles))
	})
}
