// Package gossip replicates to all members of a fleet the versions that each of them applies, and keeps the known state of every
// member.
//
// The package does no I/O, reads no clock and starts no goroutines. Its host passes it the time, the members of the view and
// the messages received, and sends what Ready returns. A Core belongs to one host, which serialises all calls.
//
// Each member that receives an urgent update pushes it to other members a few times (rumour mongering: Demers and others, PODC
// 1987). Members that miss an update find it by comparing digests (anti-entropy). Both are bounded, whatever the number of
// members: in each tick a member sends at most one push and one digest message, of limited size.
package gossip

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

const (
	// TickInterval is how often the host has to call Tick.
	TickInterval = 250 * time.Millisecond

	ticksPerDigest = 4 // ticks from one exchange of digests to the next one
	ticksPerForget = 240
	// departedRetention is how long the state of a member outside the view is kept after its last update or confirmation. A
	// member that was only isolated is still known when it returns.
	departedRetention = 10 * time.Minute

	maxDigests       = 32
	maxRequests      = 32
	maxUpdates       = 16
	maxResponseBytes = 256 << 10 // total size of the updates in a response; the update that reaches the limit is still added
	maxPushBytes     = 800       // total size of the updates that are pushed together: they fit in one packet
	recentDigests    = 16        // digests of the peers with the most recent updates; the other peers take turns
	pushFanout       = 2         // members to which an announcement is pushed immediately
	maxPeers         = 10000
	maxGeneration    = 1 << 40
	maxNameBytes     = 256
)

// Peer is the known state of another member.
type Peer struct {
	MemberState
	ReceivedAt  time.Duration // when this state was received
	ConfirmedAt time.Duration // when the member last confirmed this state, as far as is known
	pushesLeft  int
	previousSeq uint64 // sequence number of the state on which the pushed updates are based
}

// Envelope is a message with its recipient.
type Envelope struct {
	To      string
	Message *Message
}

// Core is the state of one member. It is not safe for concurrent use.
type Core struct {
	random   *rand.Rand
	now      time.Duration
	ticks    int
	outgoing []Envelope

	self        MemberState
	pushesLeft  int    // pushes left for this member's own state
	previousSeq uint64 // sequence number of the state on which the pushed updates are based

	members       []string // members of the view, without this member
	peers         map[string]*Peer
	sortedNames   []string // names of the peers; nil: has to be rebuilt
	digestCursor  int      // position in sortedNames
	requestCursor int      // position in members of the search for unknown states
	moreExpected  bool     // an update has arrived or was requested, so the next tick sends digests
}

// New returns the Core of a member that has announced nothing yet.
func New(name string, incarnation uint64, random *rand.Rand) *Core {
	return &Core{
		random: random,
		self:   MemberState{Name: name, Incarnation: incarnation, Generation: 1},
		peers:  map[string]*Peer{},
	}
}

// SetMembers sets the members of the view. The state of other members is forgotten after departedRetention.
func (c *Core) SetMembers(names []string) {
	c.members = c.members[:0]
	for _, name := range names {
		if name != c.self.Name {
			c.members = append(c.members, name)
		}
	}
}

// Announce sets the versions that this member applies from now on. Urgent changes are pushed immediately. Other members find
// the remaining changes by comparing digests. Endpoint lists change at all members at the same time, and if a thousand
// members pushed them to a thousand others, they would do little else.
func (c *Core) Announce(now time.Duration, vector version.Vector, appliedAt time.Time) {
	c.now = max(now, c.now)
	before := c.self.Seq
	c.self = c.self.successor(vector, appliedAt.UnixMilli())
	update := c.self.changesSince(c.self.Incarnation, before)
	if hasUrgent(update.Changed) {
		c.pushesLeft, c.previousSeq = c.pushCount(), before
		c.pushUpdate(update)
	}
}

// Self returns this member's state.
func (c *Core) Self() MemberState { return c.self }

// Peer returns the known state of a member. It also accepts the name of this member.
func (c *Core) Peer(name string) (Peer, bool) {
	if name == c.self.Name {
		return Peer{MemberState: c.self, ReceivedAt: c.now, ConfirmedAt: c.now}, true
	}
	peer := c.peers[name]
	if peer == nil {
		return Peer{}, false
	}
	return *peer, true
}

// Entries returns the entries of one kind and name of all members, including this member.
func (c *Core) Entries(kind version.Kind, name string) []version.Entry {
	var entries []version.Entry
	if e, ok := c.self.Vector.Find(kind, name); ok {
		entries = append(entries, e)
	}
	for _, peer := range c.peers {
		if e, ok := peer.Vector.Find(kind, name); ok {
			entries = append(entries, e)
		}
	}
	return entries
}

// Ready returns the messages to send since the last call, and clears them.
func (c *Core) Ready() []Envelope {
	outgoing := c.outgoing
	c.outgoing = nil
	return outgoing
}

// Tick advances the clock. The host calls it every TickInterval.
func (c *Core) Tick(now time.Duration) {
	c.now = max(now, c.now)
	c.ticks++
	c.forgetDeparted()
	updates := c.updatesToPush()
	for _, to := range c.randomMembers(1) {
		if len(updates) > 0 {
			c.send(to, &Message{Updates: updates})
		}
	}
	if c.ticks%ticksPerDigest != 0 && !c.moreExpected {
		return
	}
	c.moreExpected = false
	for _, to := range c.randomMembers(1) {
		c.send(to, &Message{Digests: c.digests(), Requests: c.requestsForUnknown()})
	}
}

func (c *Core) send(to string, m *Message) {
	c.outgoing = append(c.outgoing, Envelope{To: to, Message: m})
}

// randomMembers draws up to n different members.
func (c *Core) randomMembers(n int) []string {
	var drawn []string
	for range min(n, len(c.members)) {
		if name := c.members[c.random.IntN(len(c.members))]; !slices.Contains(drawn, name) {
			drawn = append(drawn, name)
		}
	}
	return drawn
}

// pushCount returns how often each member pushes a new state. It grows with the number of members, so that only a few of them
// miss the state and need anti-entropy.
func (c *Core) pushCount() int { return 1 + bits.Len(uint(len(c.members)))/2 }

// pushUpdate immediately sends an update of this member's state to pushFanout members, if it fits in one packet.
func (c *Core) pushUpdate(u Update) {
	if u.approximateBytes() > maxPushBytes {
		return
	}
	for _, to := range c.randomMembers(pushFanout) {
		c.send(to, &Message{Updates: []Update{u}})
	}
}

// updatesToPush returns the updates to push now, and counts them as pushed.
func (c *Core) updatesToPush() []Update {
	var batch pushBatch
	batch.add(&c.self, &c.pushesLeft, c.previousSeq)
	for _, name := range c.peerNames() {
		peer := c.peers[name]
		batch.add(&peer.MemberState, &peer.pushesLeft, peer.previousSeq)
	}
	return batch.updates
}

// pushBatch collects updates for one packet.
type pushBatch struct {
	updates []Update
	bytes   int
}

// add adds the update of a state that has pushes left. If the update is too large for a packet, it is not pushed: members that
// lack the state request it.
func (b *pushBatch) add(state *MemberState, pushesLeft *int, previousSeq uint64) {
	if *pushesLeft == 0 || len(b.updates) == maxUpdates || b.bytes > maxPushBytes {
		return
	}
	update := state.changesSince(state.Incarnation, previousSeq)
	size := update.approximateBytes()
	if size > maxPushBytes {
		*pushesLeft = 0
		return
	}
	b.bytes += size
	if b.bytes <= maxPushBytes {
		*pushesLeft--
		b.updates = append(b.updates, update)
	}
}

// peerNames returns the names of the peers in order.
func (c *Core) peerNames() []string {
	if c.sortedNames == nil {
		c.sortedNames = slices.Sorted(maps.Keys(c.peers))
	}
	return c.sortedNames
}

// forgetDeparted forgets the peers outside the view that had no update or confirmation for departedRetention.
func (c *Core) forgetDeparted() {
	if c.ticks%ticksPerForget != 0 {
		return
	}
	for name, peer := range c.peers {
		if !slices.Contains(c.members, name) && c.now-max(peer.ReceivedAt, peer.ConfirmedAt) > departedRetention {
			delete(c.peers, name)
			c.sortedNames = nil
		}
	}
}

// hasUrgent reports whether any of the changed entries is urgent.
func hasUrgent(changed version.Vector) bool {
	return slices.ContainsFunc(changed, func(e version.Entry) bool { return e.Kind.IsUrgent() })
}
