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

var long = flag.Bool("long", false, "play the full size of what is scaled down by default")

// search plays orders in which messages of the agreement on one view are delivered or lost, to a depth, with two
// members that propose different changes and one that proposes again. It returns how many states it saw, and what was wrong.
type search struct {
	members int
	amnesia bool // the fault that it has to find: promises are forgotten
	depth   int
	most    int
	seen    map[string]bool
	wrong   error
	rng     *rand.Rand
}

// step is one of: deliver or lose a message that is on its way, or propose again.
type step struct {
	what string
	at   int
}

type table struct {
	cores []*Core
	way   []Envelope
	again int
	views map[uint64]uint64
	wrong error
}

func (s *search) replay(path []step) *table {
	t := &table{views: map[uint64]uint64{}}
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
	t.collect(s)
	for _, p := range path {
		switch p.what {
		case "deliver":
			m := t.way[p.at]
			t.way = slices.Delete(t.way, p.at, p.at+1)
			for _, c := range t.cores {
				if c.options.Self.Name == m.To.Name {
					msg := *m.Message
					c.Receive(c.now, &msg)
				}
			}
		case "lose":
			t.way = slices.Delete(t.way, p.at, p.at+1)
		case "again":
			t.again++
			if c := t.cores[p.at]; c.view.Number == 1 {
				c.startProposal(&Delta{Add: []Member{{Name: "x2", Address: "x", Incarnation: 9}}})
			}
		}
		t.collect(s)
	}
	return t
}

func (t *table) collect(s *search) {
	for _, c := range t.cores {
		out, _ := c.Ready()
		for _, o := range out {
			switch o.Message.Kind {
			case Prepare, Promise, Accept, Accepted:
				if o.Message.Kind == Prepare || o.Message.Kind == Accept || o.Message.Affirmed {
					t.way = append(t.way, o)
				}
			}
		}
		if s.amnesia {
			c.accepted = acceptor{}
		}
		if c.view.Number > 1 {
			if h, is := t.views[c.view.Number]; is && h != c.view.Hash() {
				t.wrong = fmt.Errorf("view %d differs", c.view.Number)
			}
			t.views[c.view.Number] = c.view.Hash()
		}
	}
}

func (t *table) signature() string {
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
	for _, s := range t.way {
		way = append(way, fmt.Sprint(s.To.Name, s.Message.From.Name, s.Message.Kind, s.Message.Ballot, s.Message.PriorBallot, s.Message.Delta))
	}
	slices.Sort(way)
	fmt.Fprint(&b, way, t.again)
	return b.String()
}

func (s *search) walk(path []step) {
	if s.wrong != nil || len(s.seen) >= s.most {
		return
	}
	t := s.replay(path)
	if t.wrong != nil {
		s.wrong = fmt.Errorf("%v: %w", path, t.wrong)
		return
	}
	sig := t.signature()
	if s.seen[sig] || len(path) >= s.depth {
		return
	}
	s.seen[sig] = true
	var next []step
	for i := range t.way {
		next = append(next, step{"deliver", i}, step{"lose", i})
	}
	if t.again < 1 {
		next = append(next, step{"again", 0})
	}
	s.rng.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] }) // not one corner alone where there are too many
	for _, p := range next {
		s.walk(append(slices.Clone(path), p))
	}
}

// Two views of one number never differ, in whatever order messages come and whichever are lost; the search finds a member
// that forgets its promises.
func TestSearch(t *testing.T) {
	t.Parallel()
	most := 600
	if *long {
		most = 100_000
	}
	play := func(members, most int, amnesia bool) *search {
		s := &search{members: members, depth: 30, most: most, amnesia: amnesia, seen: map[string]bool{}, rng: rand.New(rand.NewPCG(36, uint64(members)))}
		s.walk(nil)
		t.Logf("%d members, forgetting %v: %d states, %v", members, amnesia, len(s.seen), s.wrong)
		return s
	}
	for _, members := range []int{3, 4, 5} {
		if s := play(members, most, false); s.wrong != nil {
			t.Error(s.wrong)
		}
	}
	if s := play(3, 100_000, true); s.wrong == nil {
		t.Error("a member that forgets its promises was not found")
	}
}

// trouble is something that happens to some members of a world for a time.
type trouble struct {
	kind      string
	at, lasts time.Duration
	who       []int
}

func (x trouble) apply(w *world, on bool) {
	all := upTo(len(w.nodes))
	rest := without(all, x.who...)
	switch x.kind {
	case "pause":
		for _, i := range x.who {
			w.nodes[i].pause(on)
		}
	case "mute":
		w.partition(x.who, rest, false, on)
	case "deaf":
		w.partition(rest, x.who, false, on)
	case "part":
		w.partition(x.who, rest, true, on)
	case "pair":
		w.partition(x.who[:1], x.who[len(x.who)-1:], true, on)
	case "slow":
		for _, i := range x.who {
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
			for _, i := range x.who {
				m := w.nodes[i].core.options.Self
				w.nodes[i].dead = true
				w.start(Member{Name: m.Name, Address: m.Address, Incarnation: w.rng.Uint64()}, i)
			}
		}
	}
}

// takesOut tells whether a trouble may rightly end in a view without those whom it is about.
func (x trouble) takesOut() bool {
	return !slices.Contains([]string{"pair", "slow", "loss"}, x.kind)
}

// Random troubles, up to three at the same time, of a minority: no two views of one number, nobody out whom no trouble
// is about, and all one view when it is over.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		sizes := []int{3, 5, 9, 16, 20}
		if *long {
			sizes = append(sizes, 50)
		}
		n := rapid.SampledFrom(sizes).Draw(r, "members")
		w := newWorld(t, rapid.Uint64().Draw(r, "seed"), n)
		w.awaitView(n, time.Minute)
		var troubles []trouble
		affected := map[int]bool{}
		budget := (n - 1) / 2
		for i := range rapid.IntRange(1, 3).Draw(r, "troubles") {
			x := trouble{kind: rapid.SampledFrom([]string{"pause", "mute", "deaf", "part", "pair", "slow", "loss", "again"}).Draw(r, fmt.Sprint("kind", i)),
				at:    time.Duration(rapid.IntRange(0, 8000).Draw(r, fmt.Sprint("at", i))) * time.Millisecond,
				lasts: time.Duration(rapid.IntRange(200, 15000).Draw(r, fmt.Sprint("for", i))) * time.Millisecond}
			count := rapid.IntRange(1, max(budget/3, 1)).Draw(r, fmt.Sprint("count", i))
			for range count {
				who := rapid.IntRange(1, n-1).Draw(r, "who") // the one that founds again stays
				if !slices.Contains(x.who, who) {
					x.who = append(x.who, who)
				}
			}
			if x.takesOut() {
				more := without(x.who, slices.Collect(maps.Keys(affected))...)
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
			w.after(x.at, func() { x.apply(w, true) })
			w.after(x.at+x.lasts, func() { x.apply(w, false) })
		}
		w.run(24 * time.Second)
		w.assertNoFalseRemoval(fmt.Sprint(troubles))
		w.awaitView(n, 40*time.Second)
		w.assertNoFalseRemoval(fmt.Sprint(troubles))
	})
}
