// Package gossip spreads what each member of a fleet says that it acts on, and keeps what is known of all. It does no I/O,
// has no clock and starts no goroutines: its host tells it the time, who is in, and what has come, and carries what it raises.
//
// A new word is pushed on by whoever hears it, a few times (rumour mongering: Demers and others, PODC 1987); what that misses
// the comparing of heads finds (anti-entropy). Both are bounded, whatever the number of members.
package gossip

import (
	"cmp"
	"errors"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

// Digest stands for a word.
type Digest struct {
	Name            string
	Incarnation     uint64
	Generation, Seq uint64
	AgeMilliseconds uint32 // milliseconds since the member said by itself that it stands
}

// Request asks for a member's word, by one who has such a word of such a process already.
type Request struct {
	Name                  string
	Incarnation, KnownSeq uint64
}

// Message is what members say to each other.
type Message struct {
	Digests  []Digest
	Requests []Request
	Updates  []Update
}

// Envelope is a message on its way.
type Envelope struct {
	To      string
	Message *Message
}

const (
	maxDigests       = 32
	maxRequests      = 32
	maxUpdates       = 16
	maxResponseBytes = 256 << 10 // of the words in an answer, but for the first
	maxPushBytes     = 800       // of what is handed on unasked: it goes in one packet
	recentDigests    = 16        // heads of those who have changed last; the others come in turn
	maxPeers         = 10000
	maxGeneration    = 1 << 40
	maxNameBytes     = 256
	// TickInterval is how often the host calls Tick.
	TickInterval   = 250 * time.Millisecond
	ticksPerDigest = 4 // ticks from one comparing to the next
)

// Check tells what is wrong with a message that came from elsewhere.
func (m *Message) Check() error {
	if len(m.Digests) > maxDigests || len(m.Requests) > maxRequests || len(m.Updates) > maxUpdates {
		return errors.New("exchange: a message that no member sends")
	}
	for _, h := range m.Digests {
		if h.Name == "" || len(h.Name) > maxNameBytes {
			return errors.New("exchange: a head without a name")
		}
	}
	for _, w := range m.Requests {
		if w.Name == "" || len(w.Name) > maxNameBytes {
			return errors.New("exchange: a question without a name")
		}
	}
	for _, w := range m.Updates {
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// Peer is what is known of a member.
type Peer struct {
	MemberState
	ReceivedAt  time.Duration // when this word came here first
	ConfirmedAt time.Duration // until when the member is known to have said by itself that it stands
	pushesLeft  int           // how often it has still to be handed on
	previousSeq uint64        // which word it followed when it came
}

// Core is the state of one member.
type Core struct {
	random        *rand.Rand
	self          MemberState
	now           time.Duration
	ticks         int
	members       []string // the members of the view, without me
	peers         map[string]*Peer
	digestCursor  int // where in the order of names the heads go on
	requestCursor int // where in the view the search for those goes on of whom nothing is known
	moreExpected  bool
	outgoing      []Envelope
	pushesLeft    int      // how often my word has still to be handed on
	previousSeq   uint64   // which one it follows
	sortedNames   []string // names of the known; nil: to be made again
}

// New returns a member that acts on nothing yet.
func New(name string, life uint64, rng *rand.Rand) *Core {
	return &Core{random: rng, self: MemberState{Name: name, Incarnation: life, Generation: 1}, peers: map[string]*Peer{}}
}

// SetMembers tells who is in. Others are forgotten a while after they are not.
func (c *Core) SetMembers(names []string) {
	c.members = c.members[:0]
	for _, n := range names {
		if n != c.self.Name {
			c.members = append(c.members, n)
		}
	}
}

// Announce has this member act on a vector from now on. What is urgent is handed on at once; the rest is found by the comparing of
// heads, as a list that changes changes everywhere, and a thousand members that told a thousand at once would do little else.
func (c *Core) Announce(now time.Duration, v version.Vector, taken time.Time) {
	c.now = max(now, c.now)
	before := c.self.Seq
	c.self = c.self.successor(v, taken.UnixMilli())
	if changes := c.self.changesSince(c.self.Incarnation, before); hasUrgent(changes.Changed) {
		c.pushesLeft, c.previousSeq = c.pushCount(), before
		c.pushUpdate(changes)
	}
}

// Self returns this member's word.
func (c *Core) Self() MemberState { return c.self }

// Peer returns what is known of a member, of this one too.
func (c *Core) Peer(name string) (Peer, bool) {
	if name == c.self.Name {
		return Peer{MemberState: c.self, ReceivedAt: c.now, ConfirmedAt: c.now}, true
	}
	k := c.peers[name]
	if k == nil {
		return Peer{}, false
	}
	return *k, true
}

// Entries returns all members' entries of a thing, this one's too.
func (c *Core) Entries(kind version.Kind, name string) (out []version.Entry) {
	if e, ok := c.self.Vector.Find(kind, name); ok {
		out = append(out, e)
	}
	for _, k := range c.peers {
		if e, ok := k.Vector.Find(kind, name); ok {
			out = append(out, e)
		}
	}
	return out
}

// Ready returns what is to be sent, and forgets it.
func (c *Core) Ready() (out []Envelope) {
	out, c.outgoing = c.outgoing, nil
	return out
}

func (c *Core) send(to string, m *Message) {
	c.outgoing = append(c.outgoing, Envelope{to, m})
}

// randomMembers draws members.
func (c *Core) randomMembers(n int) (out []string) {
	for range min(n, len(c.members)) {
		if x := c.members[c.random.IntN(len(c.members))]; !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	return out
}

// pushCount is how often each hands a new word on: enough that with so many members few are left for the comparing of heads.
func (c *Core) pushCount() int { return 1 + bits.Len(uint(len(c.members)))/2 }

// pushUpdate tells some at once what has changed here.
func (c *Core) pushUpdate(p Update) {
	if p.approximateBytes() > maxPushBytes {
		return
	}
	for _, to := range c.randomMembers(2) {
		c.send(to, &Message{Updates: []Update{p}})
	}
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = max(now, c.now)
	c.ticks++
	c.forgetDeparted()
	var hot []Update
	bytes := 0
	add := func(w *MemberState, told *int, from uint64) {
		if *told == 0 || len(hot) == maxUpdates || bytes > maxPushBytes {
			return
		}
		p := w.changesSince(w.Incarnation, from)
		if p.approximateBytes() > maxPushBytes {
			*told = 0 // who lacks it asks
			return
		}
		if bytes += p.approximateBytes(); bytes <= maxPushBytes {
			*told--
			hot = append(hot, p)
		}
	}
	add(&c.self, &c.pushesLeft, c.previousSeq)
	for _, name := range c.peerNames() {
		k := c.peers[name]
		add(&k.MemberState, &k.pushesLeft, k.previousSeq)
	}
	for _, to := range c.randomMembers(1) {
		if len(hot) > 0 {
			c.send(to, &Message{Updates: hot})
		}
	}
	if c.ticks%ticksPerDigest == 0 || c.moreExpected { // where something is new there may be more
		c.moreExpected = false
		for _, to := range c.randomMembers(1) {
			c.send(to, &Message{Digests: c.digests(), Requests: c.requestsForUnknown()})
		}
	}
}

// requestsForUnknown asks for some members of the view of whom nothing is known.
func (c *Core) requestsForUnknown() (out []Request) {
	for range c.members {
		if len(out) == maxRequests {
			break
		}
		c.requestCursor = (c.requestCursor + 1) % len(c.members)
		if n := c.members[c.requestCursor]; c.peers[n] == nil {
			out = append(out, Request{Name: n})
		}
	}
	c.moreExpected = c.moreExpected || len(out) > 0
	return out
}

// peerNames returns those of whom something is known, in order.
func (c *Core) peerNames() []string {
	if c.sortedNames == nil {
		c.sortedNames = slices.Sorted(maps.Keys(c.peers))
	}
	return c.sortedNames
}

// departedRetention is for how long one that is out is still known: as those who were cut off have to learn what was.
const departedRetention = 10 * time.Minute

func (c *Core) forgetDeparted() {
	if c.ticks%240 != 0 {
		return
	}
	for name, k := range c.peers {
		if !slices.Contains(c.members, name) && c.now-max(k.ReceivedAt, k.ConfirmedAt) > departedRetention {
			delete(c.peers, name)
			c.sortedNames = nil
		}
	}
}

// digests returns this member's head, those of who have changed last, and others' in turn, so that all come round.
func (c *Core) digests() []Digest {
	out := []Digest{{Name: c.self.Name, Incarnation: c.self.Incarnation, Generation: c.self.Generation, Seq: c.self.Seq}}
	add := func(k *Peer) {
		if !slices.ContainsFunc(out, func(h Digest) bool { return h.Name == k.Name }) {
			age := min(max(c.now-k.ConfirmedAt, 0).Milliseconds(), 1<<31)
			out = append(out, Digest{k.Name, k.Incarnation, k.Generation, k.Seq, uint32(age)})
		}
	}
	names := c.peerNames()
	last := make([]*Peer, 0, len(names))
	for _, n := range names {
		last = append(last, c.peers[n])
	}
	slices.SortStableFunc(last, func(a, b *Peer) int { return cmp.Compare(b.ReceivedAt, a.ReceivedAt) })
	for _, k := range last[:min(len(last), recentDigests)] {
		add(k)
	}
	for range names {
		if len(out) == maxDigests {
			break
		}
		c.digestCursor = (c.digestCursor + 1) % len(names)
		add(c.peers[names[c.digestCursor]])
	}
	return out
}

// supersedes tells whether one word follows another of the same name: the same process's next one, or another process's that
// was started after it.
func supersedes(life, start, seq uint64, than *MemberState) bool {
	switch {
	case life == than.Incarnation:
		return seq > than.Seq
	case start != than.Generation:
		return start > than.Generation
	}
	return life > than.Incarnation // two of one name at the same time: one of them is told to go
}

// Receive takes a message that Check has passed, from a member.
func (c *Core) Receive(now time.Duration, from string, m *Message) {
	c.now = max(now, c.now)
	var answer Message
	for _, p := range m.Updates {
		c.handleUpdate(&p, p.Name == from, &answer)
	}
	for _, h := range m.Digests {
		c.handleDigest(from, h, &answer)
	}
	for _, w := range m.Requests {
		if k, ok := c.Peer(w.Name); ok && k.Seq > 0 && (k.Incarnation != w.Incarnation || k.Seq > w.KnownSeq) {
			answer.addUpdate(k.changesSince(w.Incarnation, w.KnownSeq))
		}
	}
	if len(answer.Updates) > 0 {
		c.send(from, &Message{Updates: answer.Updates})
	}
	if len(answer.Requests) > 0 {
		c.send(from, &Message{Requests: answer.Requests})
	}
}

// addUpdate adds a word where there is room.
func (m *Message) addUpdate(p Update) {
	bytes := 0
	for _, w := range m.Updates {
		bytes += w.approximateBytes()
	}
	if len(m.Updates) < maxUpdates && bytes < maxResponseBytes {
		m.Updates = append(m.Updates, p)
	}
}

func (m *Message) addRequest(name string, life, have uint64) {
	if len(m.Requests) < maxRequests {
		m.Requests = append(m.Requests, Request{name, life, have})
	}
}

// handleDigest asks for what the other knows better, and tells it what is known better here.
func (c *Core) handleDigest(from string, h Digest, answer *Message) {
	if h.Name == c.self.Name {
		c.supersedeEarlierProcess(h.Incarnation, h.Generation)
		if h.Incarnation != c.self.Incarnation || h.Seq < c.self.Seq {
			answer.addUpdate(c.self.changesSince(h.Incarnation, h.Seq))
		}
		return
	}
	k := c.peers[h.Name]
	switch {
	case h.Seq == 0:
	case k == nil:
		answer.addRequest(h.Name, 0, 0)
	case supersedes(h.Incarnation, h.Generation, h.Seq, &k.MemberState):
		answer.addRequest(h.Name, k.Incarnation, k.Seq)
	case k.Incarnation != h.Incarnation || k.Seq != h.Seq:
		answer.addUpdate(k.changesSince(h.Incarnation, h.Seq))
	case from == h.Name:
		k.ConfirmedAt = c.now
	default:
		k.ConfirmedAt = max(k.ConfirmedAt, c.now-time.Duration(h.AgeMilliseconds)*time.Millisecond)
	}
}

// supersedeEarlierProcess takes a word of an earlier process with this one's name: this one comes after it.
func (c *Core) supersedeEarlierProcess(life, start uint64) {
	if life != c.self.Incarnation && start >= c.self.Generation && start < maxGeneration {
		c.self.Generation = start + 1
		if c.self.Seq > 0 { // said again, as what was said under the number before counts as the earlier one's
			c.self.Seq++
			c.pushesLeft, c.previousSeq = c.pushCount(), 0
		}
	}
}

// handleUpdate takes what has changed in a member's word.
func (c *Core) handleUpdate(p *Update, itself bool, answer *Message) {
	if p.Name == c.self.Name {
		c.supersedeEarlierProcess(p.Incarnation, p.Generation)
		return
	}
	k := c.peers[p.Name]
	if k != nil && !supersedes(p.Incarnation, p.Generation, p.Seq, &k.MemberState) {
		if itself && k.Incarnation == p.Incarnation && k.Seq == p.Seq {
			k.ConfirmedAt = c.now
		}
		return
	}
	if k == nil && len(c.peers) >= maxPeers {
		return
	}
	var before *MemberState
	if k != nil {
		before = &k.MemberState
	}
	w, fits := p.apply(before)
	if !fits {
		if p.BaseSeq > 0 { // what it follows is not known here
			answer.addRequest(p.Name, 0, 0)
		}
		return
	}
	next := &Peer{MemberState: w, ReceivedAt: c.now, pushesLeft: c.pushCount(), previousSeq: p.BaseSeq}
	if k != nil {
		next.ConfirmedAt = k.ConfirmedAt
	} else {
		c.sortedNames = nil
	}
	if itself {
		next.ConfirmedAt = c.now
	}
	if !hasUrgent(p.Changed) {
		next.pushesLeft = 0
	}
	c.peers[p.Name] = next
	c.moreExpected = true
}

// hasUrgent tells whether anything but lists has changed.
func hasUrgent(v version.Vector) bool {
	return slices.ContainsFunc(v, func(e version.Entry) bool { return e.Kind.IsUrgent() })
}
