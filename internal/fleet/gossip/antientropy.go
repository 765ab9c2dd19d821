package gossip

import (
	"cmp"
	"slices"
	"time"
)

// requestsForUnknown returns requests for up to maxRequests members of the view whose state is unknown.
func (c *Core) requestsForUnknown() []Request {
	var requests []Request
	for range c.members {
		if len(requests) == maxRequests {
			break
		}
		c.requestCursor = (c.requestCursor + 1) % len(c.members)
		if name := c.members[c.requestCursor]; c.peers[name] == nil {
			requests = append(requests, Request{Name: name})
		}
	}
	c.moreExpected = c.moreExpected || len(requests) > 0
	return requests
}

// digests returns the digests of this member, of the peers with the most recent updates, and of other peers in turn.
func (c *Core) digests() []Digest {
	digests := []Digest{{Name: c.self.Name, Incarnation: c.self.Incarnation, Generation: c.self.Generation, Seq: c.self.Seq}}
	add := func(peer *Peer) {
		if !slices.ContainsFunc(digests, func(d Digest) bool { return d.Name == peer.Name }) {
			digests = append(digests, c.digestOf(peer))
		}
	}
	names := c.peerNames()
	recent := make([]*Peer, 0, len(names))
	for _, name := range names {
		recent = append(recent, c.peers[name])
	}
	slices.SortStableFunc(recent, func(a, b *Peer) int { return cmp.Compare(b.ReceivedAt, a.ReceivedAt) })
	for _, peer := range recent[:min(len(recent), recentDigests)] {
		add(peer)
	}
	for range names {
		if len(digests) == maxDigests {
			break
		}
		c.digestCursor = (c.digestCursor + 1) % len(names)
		add(c.peers[names[c.digestCursor]])
	}
	return digests
}

// maxAgeMilliseconds limits the age in a digest.
const maxAgeMilliseconds = 1 << 31

func (c *Core) digestOf(peer *Peer) Digest {
	age := min(max(c.now-peer.ConfirmedAt, 0).Milliseconds(), maxAgeMilliseconds)
	return Digest{
		Name:            peer.Name,
		Incarnation:     peer.Incarnation,
		Generation:      peer.Generation,
		Seq:             peer.Seq,
		AgeMilliseconds: uint32(age),
	}
}

// Receive handles a message from a member. The message must have passed Check.
func (c *Core) Receive(now time.Duration, from string, m *Message) {
	c.now = max(now, c.now)
	var response Message
	for _, u := range m.Updates {
		c.handleUpdate(&u, u.Name == from, &response)
	}
	for _, d := range m.Digests {
		c.handleDigest(from, d, &response)
	}
	for _, r := range m.Requests {
		c.handleRequest(r, &response)
	}
	if len(response.Updates) > 0 {
		c.send(from, &Message{Updates: response.Updates})
	}
	if len(response.Requests) > 0 {
		c.send(from, &Message{Requests: response.Requests})
	}
}

// handleRequest adds the requested state to a response, if it is newer than the state that the requesting member knows.
func (c *Core) handleRequest(r Request, response *Message) {
	peer, ok := c.Peer(r.Name)
	if ok && peer.Seq > 0 && (peer.Incarnation != r.Incarnation || peer.Seq > r.KnownSeq) {
		response.addUpdate(peer.changesSince(r.Incarnation, r.KnownSeq))
	}
}

// handleDigest compares a digest with the state that is known here. It requests the state if the sender knows a newer one, and
// adds an update to the response if the sender knows an older one. A digest of the same state confirms that state.
func (c *Core) handleDigest(from string, d Digest, response *Message) {
	if d.Name == c.self.Name {
		c.supersedeEarlierProcess(d.Incarnation, d.Generation)
		if d.Incarnation != c.self.Incarnation || d.Seq < c.self.Seq {
			response.addUpdate(c.self.changesSince(d.Incarnation, d.Seq))
		}
		return
	}
	peer := c.peers[d.Name]
	switch {
	case d.Seq == 0:
	case peer == nil:
		response.addRequest(d.Name, 0, 0)
	case peer.isSupersededBy(d.Incarnation, d.Generation, d.Seq):
		response.addRequest(d.Name, peer.Incarnation, peer.Seq)
	case peer.Incarnation != d.Incarnation || peer.Seq != d.Seq:
		response.addUpdate(peer.changesSince(d.Incarnation, d.Seq))
	case from == d.Name:
		peer.ConfirmedAt = c.now
	default:
		peer.ConfirmedAt = max(peer.ConfirmedAt, c.now-time.Duration(d.AgeMilliseconds)*time.Millisecond)
	}
}

// supersedeEarlierProcess takes a higher generation than another process with this member's name, because this process was
// started after it.
func (c *Core) supersedeEarlierProcess(incarnation, generation uint64) {
	if incarnation == c.self.Incarnation || generation < c.self.Generation || generation >= maxGeneration {
		return
	}
	c.self.Generation = generation + 1
	if c.self.Seq > 0 { // announced again, because other members may ignore the state with the old generation
		c.self.Seq++
		c.pushesLeft, c.previousSeq = c.pushCount(), 0
	}
}

// handleUpdate applies an update of a member's state. direct means that the update comes from that member itself.
func (c *Core) handleUpdate(u *Update, direct bool, response *Message) {
	if u.Name == c.self.Name {
		c.supersedeEarlierProcess(u.Incarnation, u.Generation)
		return
	}
	peer := c.peers[u.Name]
	if peer != nil && !peer.isSupersededBy(u.Incarnation, u.Generation, u.Seq) {
		if direct && peer.Incarnation == u.Incarnation && peer.Seq == u.Seq {
			peer.ConfirmedAt = c.now
		}
		return
	}
	if peer == nil && len(c.peers) >= maxPeers {
		return
	}
	var before *MemberState
	if peer != nil {
		before = &peer.MemberState
	}
	state, ok := u.apply(before)
	if !ok {
		if u.BaseSeq > 0 { // the base state is not known here: request the complete state
			response.addRequest(u.Name, 0, 0)
		}
		return
	}
	c.storePeer(state, u, direct)
}

// storePeer replaces the state of a peer after an update.
func (c *Core) storePeer(state MemberState, u *Update, direct bool) {
	next := &Peer{MemberState: state, ReceivedAt: c.now, previousSeq: u.BaseSeq}
	if previous := c.peers[u.Name]; previous != nil {
		next.ConfirmedAt = previous.ConfirmedAt
	} else {
		c.sortedNames = nil
	}
	if direct {
		next.ConfirmedAt = c.now
	}
	if hasUrgent(u.Changed) {
		next.pushesLeft = c.pushCount()
	}
	c.peers[u.Name] = next
	c.moreExpected = true
}
