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

// simulation runs members in virtual time. Messages between them are lost, duplicated and blocked.
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

// messageInFlight is a message that has been sent and arrives at a later time.
type messageInFlight struct {
	arrivesAt time.Duration
	from, to  int
	message   *Message
}

func memberName(i int) string { return fmt.Sprintf("m%04d", i) }

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 32)), blocked: map[[2]int]bool{}}
	var names []string
	for i := range n {
		names = append(names, memberName(i))
	}
	for i := range n {
		core := New(memberName(i), s.rng.Uint64(), rand.New(rand.NewPCG(seed, uint64(i))))
		core.SetMembers(names)
		s.cores = append(s.cores, core)
	}
	return s
}

// size returns the approximate encoded size of the message in bytes.
func (m *Message) size() int {
	n := 100 + 40*len(m.Digests) + 40*len(m.Requests)
	for _, u := range m.Updates {
		n += u.approximateBytes()
	}
	return n
}

// sendReady puts the outgoing messages of a member in flight, and checks each of them.
func (s *simulation) sendReady(i int) {
	for _, envelope := range s.cores[i].Ready() {
		var to int
		fmt.Sscanf(envelope.To, "m%d", &to)
		s.messagesSent++
		s.bytesSent += envelope.Message.size()
		if err := envelope.Message.Check(); err != nil {
			s.checkError = err
		}
		for s.rng.Float64() >= s.lossRate && !s.blocked[[2]int{i, to}] {
			s.inFlight = append(s.inFlight, messageInFlight{s.now + time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), i, to, envelope.Message})
			if s.rng.IntN(10) > 0 { // one message in ten is duplicated
				break
			}
		}
	}
}

// advance lets a duration pass in steps of 10 ms. Each member ticks every TickInterval, 7 ms after the member before it.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		sent := s.inFlight
		s.inFlight = nil
		for _, pending := range sent {
			if pending.arrivesAt > s.now {
				s.inFlight = append(s.inFlight, pending)
				continue
			}
			s.cores[pending.to].Receive(s.now, memberName(pending.from), pending.message)
			s.sendReady(pending.to)
		}
		for i, c := range s.cores {
			if (s.now+time.Duration(i)*7*time.Millisecond)%TickInterval < 10*time.Millisecond {
				c.Tick(s.now)
				s.sendReady(i)
			}
		}
	}
}

func (s *simulation) announce(i int, vector version.Vector) {
	s.cores[i].Announce(s.now, vector, time.UnixMilli(0))
	s.sendReady(i)
}

// allStatesKnown reports whether all members know the sequence number of the latest state of each member.
func (s *simulation) allStatesKnown() bool {
	for _, c := range s.cores {
		for _, other := range s.cores {
			if peer := c.peers[other.self.Name]; other.self.Seq > 0 && c != other && (peer == nil || peer.Incarnation != other.self.Incarnation || peer.Seq != other.self.Seq) {
				return false
			}
		}
	}
	return true
}

// allVectorsMatch reports whether the vectors that all members know are those that each member applies.
func (s *simulation) allVectorsMatch() bool {
	for _, c := range s.cores {
		for _, other := range s.cores {
			if peer, ok := c.Peer(other.self.Name); other.self.Seq > 0 && (!ok || !slices.EqualFunc(peer.Vector, other.self.Vector, equalEntries)) {
				return false
			}
		}
	}
	return true
}

// awaitConvergence lets time pass until all members know the states of all members, and returns how long that took. The test
// fails if it takes longer than timeout.
func (s *simulation) awaitConvergence(t interface{ Fatalf(string, ...any) }, timeout time.Duration) time.Duration {
	start := s.now
	for !s.allStatesKnown() {
		if s.now-start > timeout {
			t.Fatalf("members have not converged after %v", timeout)
		}
		s.advance(50 * time.Millisecond)
	}
	if s.checkError != nil || !s.allVectorsMatch() {
		t.Fatalf("known vectors differ from the applied ones, or a message failed Check: %v", s.checkError)
	}
	return s.now - start
}

func entry(kind version.Kind, name string, content int) version.Entry {
	return version.Entry{Kind: kind, Name: name, Hash: version.HashOf(fmt.Append(nil, content)), Description: fmt.Sprint(content)}
}

// All members end up with the vectors that the others apply, although members announce several vectors, restart under their
// names without state, and are isolated for a time, while messages are lost and duplicated.
func TestMembersConvergeAfterLossPartitionAndRestart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 5, 12}).Draw(r, "members")
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), n)
		s.lossRate = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(r, "loss")
		vectors := make([]version.Vector, n)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			member := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.IntRange(0, 8).Draw(r, "what") {
			case 0: // restart
				s.cores[member] = New(memberName(member), s.rng.Uint64(), s.rng)
				s.cores[member].SetMembers(memberNames(n))
				vectors[member] = nil
				s.announce(member, vectors[member].With(entry(version.Build, "", 1)))
			case 1: // the messages that the member sends are blocked, or no longer blocked
				for j := range n {
					s.blocked[[2]int{member, j}] = !s.blocked[[2]int{member, j}]
				}
			case 2: // an entry is deleted
				if len(vectors[member]) > 0 {
					vectors[member] = vectors[member].Without(vectors[member][0].Kind, vectors[member][0].Name)
					s.announce(member, vectors[member])
				}
			default: // entries are added or changed
				kind := rapid.SampledFrom([]version.Kind{version.Configuration, version.EndpointList}).Draw(r, "kind")
				for range rapid.SampledFrom([]int{1, 1, 3, 90}).Draw(r, "how many") {
					vectors[member] = vectors[member].With(entry(kind, fmt.Sprint(s.rng.IntN(120)), s.rng.IntN(1000)))
				}
				s.announce(member, vectors[member])
			}
			s.advance(time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond)
		}
		clear(s.blocked)
		s.awaitConvergence(r, 10*time.Minute) // two members at 60% loss: one message in six gets through three transmissions
	})
}

func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, memberName(i))
	}
	return out
}

// An earlier state never replaces a later one, whichever member forwards it and when. Nor does a state of an earlier process
// replace one of a later process with its name.
func TestOlderStateIsIgnored(t *testing.T) {
	t.Parallel()
	core := New("a", 1, rand.New(rand.NewPCG(1, 1)))
	earlierProcess := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	first := earlierProcess.successor(version.Vector{entry(version.Configuration, "", 1)}, 0)
	second := first.successor(version.Vector{entry(version.Configuration, "", 2)}, 0)
	laterProcess := MemberState{Name: "b", Incarnation: 3, Generation: 2}
	third := laterProcess.successor(version.Vector{entry(version.Configuration, "", 3)}, 0)
	expectState := func(seq uint64, incarnation uint64) {
		t.Helper()
		if peer, _ := core.Peer("b"); peer.Seq != seq || peer.Incarnation != incarnation {
			t.Errorf("known state has sequence number %d of incarnation %d, want %d of %d", peer.Seq, peer.Incarnation, seq, incarnation)
		}
	}
	receive := func(updates ...Update) { core.Receive(time.Second, "x", &Message{Updates: updates}) }
	receive(second.changesSince(7, 1))
	expectState(0, 0) // the base state is not known
	receive(second.changesSince(0, 0))
	expectState(2, 7)
	receive(first.changesSince(0, 0))
	expectState(2, 7)
	receive(third.changesSince(0, 0))
	expectState(1, 3)
	receive(second.changesSince(0, 0), first.changesSince(0, 0))
	expectState(1, 3)
	forged := third.successor(version.Vector{entry(version.Configuration, "", 4)}, 0)
	update := forged.changesSince(3, 1)
	update.VectorHash = version.HashOf([]byte("else"))
	receive(update)
	expectState(1, 3) // the vector does not have the hash of the update
}

// A member that was away learns of deleted entries even if their tombstones were dropped meanwhile: it gets the complete state.
func TestUpdateIsCompleteWhenDeletionsAreForgotten(t *testing.T) {
	t.Parallel()
	state := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	var vector version.Vector
	for i := range 200 {
		vector = vector.With(entry(version.EndpointList, fmt.Sprint(i), i))
	}
	state = state.successor(vector, 0)
	old := state
	for i := range 150 {
		vector = vector.Without(version.EndpointList, fmt.Sprint(i))
		state = state.successor(vector, 0)
	}
	for _, known := range []MemberState{old, state, {}} {
		update := state.changesSince(known.Incarnation, known.Seq)
		if update.Seq == update.BaseSeq {
			continue
		}
		if err := update.check(); err != nil {
			t.Fatal(err)
		}
		if got, ok := update.apply(&known); !ok || got.Vector.Digest() != vector.Digest() {
			t.Errorf("update since sequence number %d gives %d entries, want the vector of %d entries", known.Seq, len(got.Vector), len(vector))
		}
	}
	if len(state.Tombstones) > maxTombstones || state.CompactedSeq == 0 {
		t.Errorf("%d tombstones are kept and those up to sequence number %d dropped, want at most maxTombstones and some dropped", len(state.Tombstones), state.CompactedSeq)
	}
}

// Check rejects messages that only a faulty or malicious member can send.
func TestCheckRejectsInvalidMessages(t *testing.T) {
	t.Parallel()
	initial := MemberState{Name: "b", Incarnation: 7, Generation: 1}
	valid := (&initial).successor(version.Vector{entry(version.EndpointList, "x", 1), entry(version.EndpointList, "y", 1)}, 0)
	if err := (&Message{Updates: []Update{valid.changesSince(0, 0)}}).Check(); err != nil {
		t.Fatal(err)
	}
	for fault, corrupt := range map[string]func(u *Update){
		"empty name": func(u *Update) { u.Name = "" }, "base not before the update": func(u *Update) { u.BaseSeq = u.Seq }, "no sequence numbers of changes": func(u *Update) { u.ChangedAt = nil },
		"change after the update": func(u *Update) { u.ChangedAt = []uint64{1, 99} }, "entries out of order": func(u *Update) { u.Changed = slices.Clone(u.Changed); slices.Reverse(u.Changed) },
		"generation over the maximum": func(u *Update) { u.Generation = 1 << 63 }, "too many tombstones": func(u *Update) { u.Tombstones = make([]Tombstone, maxTombstones+1) },
	} {
		update := valid.changesSince(0, 0)
		corrupt(&update)
		if (&Message{Updates: []Update{update}}).Check() == nil {
			t.Errorf("update passed Check: %s", fault)
		}
	}
	if (&Message{Digests: make([]Digest, maxDigests+1)}).Check() == nil || (&Message{Requests: make([]Request, 1)}).Check() == nil || (&Message{Digests: make([]Digest, 1)}).Check() == nil {
		t.Error("message with too many digests or an empty name passed Check")
	}
}

// Measures the time until all members know that one or all of them have changed the configuration, or that an endpoint list has
// changed at all members. It also measures the traffic without changes. -members sets the number of members, -v prints the
// figures.
func TestMeasureConvergence(t *testing.T) {
	t.Parallel()
	n := *memberCount
	s := newSimulation(32, n)
	vector := func(conf, list int) (v version.Vector) {
		v = v.With(entry(version.Configuration, "", conf))
		for i := range 20 {
			v = v.With(entry(version.EndpointList, fmt.Sprint("cluster-", i), list))
		}
		return v
	}
	measure := func(scenario string, announce func()) {
		s.messagesSent, s.bytesSent = 0, 0
		start := s.now
		announce()
		took := s.awaitConvergence(t, 5*time.Minute)
		for s.now-start < 10*time.Second {
			s.advance(time.Second)
		}
		perMemberAndSecond := func(x int) float64 { return float64(x) / float64(n) / (s.now - start).Seconds() }
		t.Logf("%d members, %s: converged after %v; %.1f messages and %.0f bytes per member and second over %v", n, scenario, took, perMemberAndSecond(s.messagesSent), perMemberAndSecond(s.bytesSent), s.now-start)
	}
	measure("all members start", func() {
		for i := range n {
			s.announce(i, vector(1, 1))
		}
	})
	measure("nothing changes", func() {})
	measure("one member changes its configuration", func() { s.announce(n/2, vector(2, 1)) })
	measure("all members change their configuration", func() {
		for i := range n {
			s.announce(i, vector(3, 1))
		}
	})
	measure("an endpoint list changes at all members", func() {
		for i := range n {
			s.announce(i, vector(3, 2))
		}
	})
}
