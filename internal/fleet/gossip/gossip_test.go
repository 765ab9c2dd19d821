package gossip

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/fleet/version"
)

var memberCount = flag.Int("members", 100, "how many members the measurement has")

// simulation is members in virtual time, with ways that lose, double and are cut.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	cores        []*Core
	inFlight     []messageInFlight
	lossRate     float64
	blocked      map[[2]int]bool
	messagesSent int
	bytesSent    int
	checkError   error
}

type messageInFlight struct {
	arrivesAt time.Duration
	from, to  int
	message   *Message
}

func memberName(i int) string { return fmt.Sprintf("m%04d", i) }

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 32)), blocked: map[[2]int]bool{}}
	var names []string
	for i := range n {
		names = append(names, memberName(i))
	}
	for i := range n {
		c := New(memberName(i), w.rng.Uint64(), rand.New(rand.NewPCG(seed, uint64(i))))
		c.SetMembers(names)
		w.cores = append(w.cores, c)
	}
	return w
}

func (m *Message) size() int {
	n := 100 + 40*len(m.Digests) + 40*len(m.Requests)
	for _, p := range m.Updates {
		n += p.approximateBytes()
	}
	return n
}

func (w *simulation) sendReady(i int) {
	for _, s := range w.cores[i].Ready() {
		var to int
		fmt.Sscanf(s.To, "m%d", &to)
		w.messagesSent++
		w.bytesSent += s.Message.size()
		if err := s.Message.Check(); err != nil {
			w.checkError = err
		}
		for w.rng.Float64() >= w.lossRate && !w.blocked[[2]int{i, to}] {
			w.inFlight = append(w.inFlight, messageInFlight{w.now + time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), i, to, s.Message})
			if w.rng.IntN(10) > 0 { // one in ten comes twice
				break
			}
		}
	}
}

// advance lets so much time pass, all ticking at about the same times.
func (w *simulation) advance(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * time.Millisecond {
		due := w.inFlight
		w.inFlight = nil
		for _, f := range due {
			if f.arrivesAt > w.now {
				w.inFlight = append(w.inFlight, f)
				continue
			}
			w.cores[f.to].Receive(w.now, memberName(f.from), f.message)
			w.sendReady(f.to)
		}
		for i, c := range w.cores {
			if (w.now+time.Duration(i)*7*time.Millisecond)%TickInterval < 10*time.Millisecond {
				c.Tick(w.now)
				w.sendReady(i)
			}
		}
	}
}

func (w *simulation) announce(i int, v version.Vector) {
	w.cores[i].Announce(w.now, v, time.UnixMilli(0))
	w.sendReady(i)
}

// allStatesKnown tells whether all know of all what each acts on.
func (w *simulation) allStatesKnown() bool {
	for _, c := range w.cores {
		for _, o := range w.cores {
			if k := c.peers[o.self.Name]; o.self.Seq > 0 && c != o && (k == nil || k.Incarnation != o.self.Incarnation || k.Seq != o.self.Seq) {
				return false
			}
		}
	}
	return true
}

// allVectorsMatch tells whether what all know of all is what each acts on.
func (w *simulation) allVectorsMatch() bool {
	for _, c := range w.cores {
		for _, o := range w.cores {
			if k, ok := c.Peer(o.self.Name); o.self.Seq > 0 && (!ok || !slices.EqualFunc(k.Vector, o.self.Vector, equalEntries)) {
				return false
			}
		}
	}
	return true
}

func (w *simulation) awaitConvergence(t interface{ Fatalf(string, ...any) }, within time.Duration) time.Duration {
	from := w.now
	for !w.allStatesKnown() {
		if w.now-from > within {
			t.Fatalf("not known by all after %v", within)
		}
		w.advance(50 * time.Millisecond)
	}
	if w.checkError != nil || !w.allVectorsMatch() {
		t.Fatalf("what is known is not what is acted on; %v", w.checkError)
	}
	return w.now - from
}

func entry(k version.Kind, n string, is int) version.Entry {
	return version.Entry{Kind: k, Name: n, Hash: version.HashOf(fmt.Append(nil, is)), Description: fmt.Sprint(is)}
}

// Members that say one thing after another, start anew with nothing and under their old names, lose and double messages and
// are cut off for a time, all end up knowing what each acts on, whatever has been lost.
func TestMembersConvergeAfterLossPartitionAndRestart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 5, 12}).Draw(r, "members")
		w := newSimulation(rapid.Uint64().Draw(r, "seed"), n)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(r, "loss")
		vectors := make([]version.Vector, n)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.IntRange(0, 8).Draw(r, "what") {
			case 0: // another process
				w.cores[i] = New(memberName(i), w.rng.Uint64(), w.rng)
				w.cores[i].SetMembers(memberNames(n))
				vectors[i] = nil
				w.announce(i, vectors[i].With(entry(version.Build, "", 1)))
			case 1:
				for j := range n {
					w.blocked[[2]int{i, j}] = !w.blocked[[2]int{i, j}]
				}
			case 2:
				if len(vectors[i]) > 0 {
					vectors[i] = vectors[i].Without(vectors[i][0].Kind, vectors[i][0].Name)
					w.announce(i, vectors[i])
				}
			default:
				kind := rapid.SampledFrom([]version.Kind{version.Configuration, version.List}).Draw(r, "kind")
				for range rapid.SampledFrom([]int{1, 1, 3, 90}).Draw(r, "how many") {
					vectors[i] = vectors[i].With(entry(kind, fmt.Sprint(w.rng.IntN(120)), w.rng.IntN(1000)))
				}
				w.announce(i, vectors[i])
			}
			w.advance(time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond)
		}
		clear(w.blocked)
		w.awaitConvergence(r, 10*time.Minute) // by two of which one message in six makes its three ways
	})
}

func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, memberName(i))
	}
	return out
}

// A word that was said before is never taken for the later one, whoever tells it when; nor one of a process that has been
// followed by another under its name.
func TestOlderStateIsIgnored(t *testing.T) {
	t.Parallel()
	c := New("a", 1, rand.New(rand.NewPCG(1, 1)))
	old := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	one := old.successor(version.Vector{entry(version.Configuration, "", 1)}, 0)
	two := one.successor(version.Vector{entry(version.Configuration, "", 2)}, 0)
	anew := MemberState{Name: "b", Incarnation: 3, Generation: 2}
	three := anew.successor(version.Vector{entry(version.Configuration, "", 3)}, 0)
	has := func(want uint64, life uint64) {
		t.Helper()
		if k, _ := c.Peer("b"); k.Seq != want || k.Incarnation != life {
			t.Errorf("knows word %d of %d, want %d of %d", k.Seq, k.Incarnation, want, life)
		}
	}
	tell := func(parts ...Update) { c.Receive(time.Second, "x", &Message{Updates: parts}) }
	tell(two.changesSince(7, 1))
	has(0, 0) // what it follows is not known
	tell(two.changesSince(0, 0))
	has(2, 7)
	tell(one.changesSince(0, 0))
	has(2, 7)
	tell(three.changesSince(0, 0))
	has(1, 3)
	tell(two.changesSince(0, 0), one.changesSince(0, 0))
	has(1, 3)
	forged := three.successor(version.Vector{entry(version.Configuration, "", 4)}, 0)
	part := forged.changesSince(3, 1)
	part.VectorHash = version.HashOf([]byte("else"))
	tell(part)
	has(1, 3) // its parts do not make what it says
}

// Of an entry that went long ago one who has been away learns all the same: it is told the whole.
func TestUpdateIsCompleteWhenDeletionsAreForgotten(t *testing.T) {
	t.Parallel()
	w := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	var v version.Vector
	for i := range 200 {
		v = v.With(entry(version.List, fmt.Sprint(i), i))
	}
	w = w.successor(v, 0)
	known := w
	for i := range 150 {
		v = v.Without(version.List, fmt.Sprint(i))
		w = w.successor(v, 0)
	}
	for _, from := range []MemberState{known, w, {}} {
		p := w.changesSince(from.Incarnation, from.Seq)
		if p.Seq == p.BaseSeq {
			continue
		}
		if err := p.check(); err != nil {
			t.Fatal(err)
		}
		if got, ok := p.apply(&from); !ok || got.Vector.Digest() != v.Digest() {
			t.Errorf("since %d: %d entries of %d", from.Seq, len(got.Vector), len(v))
		}
	}
	if len(w.Tombstones) > maxTombstones || w.CompactedSeq == 0 {
		t.Errorf("%d that went are kept, floor %d", len(w.Tombstones), w.CompactedSeq)
	}
}

// What nothing but a fault or an attack can send is refused.
func TestCheckRejectsInvalidMessages(t *testing.T) {
	t.Parallel()
	w := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	good := (&w).successor(version.Vector{entry(version.List, "x", 1), entry(version.List, "y", 1)}, 0)
	if err := (&Message{Updates: []Update{good.changesSince(0, 0)}}).Check(); err != nil {
		t.Fatal(err)
	}
	for what, spoil := range map[string]func(p *Update){
		"no name": func(p *Update) { p.Name = "" }, "base": func(p *Update) { p.BaseSeq = p.Seq }, "no times": func(p *Update) { p.ChangedAt = nil },
		"times": func(p *Update) { p.ChangedAt = []uint64{1, 99} }, "order": func(p *Update) { p.Changed = slices.Clone(p.Changed); slices.Reverse(p.Changed) },
		"start": func(p *Update) { p.Generation = 1 << 63 }, "gone": func(p *Update) { p.Tombstones = make([]Tombstone, maxTombstones+1) },
	} {
		p := good.changesSince(0, 0)
		spoil(&p)
		if (&Message{Updates: []Update{p}}).Check() == nil {
			t.Errorf("%s passed", what)
		}
	}
	if (&Message{Digests: make([]Digest, maxDigests+1)}).Check() == nil || (&Message{Requests: make([]Request, 1)}).Check() == nil || (&Message{Digests: make([]Digest, 1)}).Check() == nil {
		t.Error("passed")
	}
}

// How long it takes until all know of one that has changed its configuration, and of all that have, and of a list that has
// changed everywhere; and what it costs when nothing changes. -members makes it larger, -v prints the figures.
func TestMeasureConvergence(t *testing.T) {
	t.Parallel()
	n := *memberCount
	w := newSimulation(32, n)
	vector := func(conf, list int) (v version.Vector) {
		v = v.With(entry(version.Configuration, "", conf))
		for i := range 20 {
			v = v.With(entry(version.List, fmt.Sprint("cluster-", i), list))
		}
		return v
	}
	play := func(what string, do func()) {
		w.messagesSent, w.bytesSent = 0, 0
		from := w.now
		do()
		took := w.awaitConvergence(t, 5*time.Minute)
		for w.now-from < 10*time.Second {
			w.advance(time.Second)
		}
		each := func(x int) float64 { return float64(x) / float64(n) / (w.now - from).Seconds() }
		t.Logf("%d members, %s: known by all after %v; %.1f messages, %.0f bytes a second each over %v", n, what, took, each(w.messagesSent), each(w.bytesSent), w.now-from)
	}
	play("all begin", func() {
		for i := range n {
			w.announce(i, vector(1, 1))
		}
	})
	play("nothing changes", func() {})
	play("one takes a configuration", func() { w.announce(n/2, vector(2, 1)) })
	play("all take it", func() {
		for i := range n {
			w.announce(i, vector(3, 1))
		}
	})
	play("a list changes everywhere", func() {
		for i := range n {
			w.announce(i, vector(3, 2))
		}
	})
}
