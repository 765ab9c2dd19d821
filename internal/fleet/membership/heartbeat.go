package membership

import (
	"slices"
	"time"
)

// peerLink is what is known of another member, from its own messages and from the members that reach it.
type peerLink struct {
	reachableAt     time.Duration // its last message, or its last answer through another member
	lastMessage     time.Duration // its last message
	unansweredPings int           // since reachableAt, direct and indirect
	heartbeatSeq    uint64        // of its last heartbeat
	lossRatio       float64       // the smoothed ratio of heartbeats that do not arrive
	viewNumber      uint64        // its view, as of its last heartbeat
	isolatedSince   time.Duration // since when it reports that it is isolated; zero: it does not
	unreachable     []uint16      // members that it does not reach, by index in the view
	rowUpdatedAt    time.Duration // when unreachable was updated
	rowSeq          uint64        // the heartbeat that unreachable comes from
	suspectedSince  time.Duration // by this process; zero: it is not suspected
	leaving         bool
}

// lossSmoothing is the weight of one heartbeat in lossRatio.
const lossSmoothing = 0.1

// maxSeqGap is the largest gap between two heartbeats that counts as loss.
const maxSeqGap = 100

func newPeerLink(now time.Duration) *peerLink {
	return &peerLink{reachableAt: now, lastMessage: now}
}

// shift discounts a delay of this process.
func (l *peerLink) shift(delay time.Duration) {
	l.reachableAt += delay
	l.lastMessage += delay
	if l.isolatedSince > 0 {
		l.isolatedSince += delay
	}
}

// isReachable reports whether the member has sent a message lately.
func (c *Core) isReachable(l *peerLink) bool { return c.now-l.lastMessage < c.reachableWindow() }

// IsReachable reports whether a member has sent a message lately. A member that this process does not observe counts as
// reachable.
func (c *Core) IsReachable(name string) bool {
	if c.view == nil {
		return false
	}
	i := c.view.Index(name)
	if i < 0 {
		return false
	}
	return c.isSelf(i) || !c.observes(i) || c.isReachable(c.links[i])
}

// observes reports whether this process observes a member, and so receives its heartbeats.
func (c *Core) observes(i int) bool {
	if len(c.view.Members) <= fullMeshMembers {
		return true
	}
	return slices.Contains(c.subjects, i)
}

// sendHeartbeats sends a heartbeat to the observers of this process.
func (c *Core) sendHeartbeats() {
	c.heartbeatSeq++
	m := Message{
		Kind:     Heartbeat,
		Seq:      c.heartbeatSeq,
		ViewHash: c.viewHash,
		Isolated: c.IsIsolated(),
		Leaving:  c.leaving,
		Rows:     c.reachabilityRows(),
	}
	for _, i := range c.subjects {
		if !c.isReachable(c.links[i]) && len(m.Unreachable) < maxUnreachable {
			m.Unreachable = append(m.Unreachable, uint16(i))
		}
	}
	self := c.view.Index(c.options.Self.Name)
	if self < 0 {
		return
	}
	for _, i := range c.observers[self] {
		heartbeat := m
		c.send(c.view.Members[i], &heartbeat)
	}
}

// recordMessage records that a member has sent a message.
func (c *Core) recordMessage(m *Message) {
	i := c.view.Index(m.From.Name)
	if i < 0 || c.isSelf(i) || c.view.Members[i].Incarnation != m.From.Incarnation {
		return
	}
	link := c.links[i]
	link.reachableAt, link.lastMessage = c.now, c.now
	link.unansweredPings = 0
	link.suspectedSince = 0
}

func (c *Core) handleHeartbeat(i int, m *Message) {
	link := c.links[i]
	link.updateLoss(m.Seq)
	link.heartbeatSeq = max(link.heartbeatSeq, m.Seq)
	link.viewNumber = m.ViewNumber
	link.leaving = m.Leaving
	if m.Seq > link.rowSeq {
		link.unreachable, link.rowUpdatedAt, link.rowSeq = m.Unreachable, c.now, m.Seq
	}
	if len(m.Rows) == len(c.links) {
		c.mergeRows(m.Rows)
	}
	switch {
	case !m.Isolated:
		link.isolatedSince = 0
	case link.isolatedSince == 0:
		link.isolatedSince = c.now
	}
	if m.ViewHash != c.viewHash {
		c.changes = append(c.changes, Change{Violation: conflictingViews})
	}
}

// conflictingViews is the violation of the agreement on views.
const conflictingViews = "two views of one number"

// updateLoss counts the heartbeats that are missing before one with a sequence number.
func (l *peerLink) updateLoss(seq uint64) {
	if l.heartbeatSeq == 0 || seq <= l.heartbeatSeq || seq-l.heartbeatSeq >= maxSeqGap {
		return
	}
	for range seq - l.heartbeatSeq - 1 {
		l.lossRatio += (1 - l.lossRatio) * lossSmoothing
	}
	l.lossRatio *= 1 - lossSmoothing
}

// mergeRows updates what other members do not reach, as another member relays it.
func (c *Core) mergeRows(rows []ReachabilityRow) {
	for i, row := range rows {
		link := c.links[i]
		if link == nil || row.Seq <= link.rowSeq {
			continue
		}
		link.rowSeq, link.rowUpdatedAt, link.unreachable = row.Seq, c.now, nil
		for j := range c.links {
			if row.Unreachable&(1<<j) != 0 {
				link.unreachable = append(link.unreachable, uint16(j))
			}
		}
	}
}

// reachabilityRows returns what all members do not reach, for those that do not receive it directly. Large fleets do not
// exchange it.
func (c *Core) reachabilityRows() []ReachabilityRow {
	if len(c.links) > fullMeshMembers {
		return nil
	}
	rows := make([]ReachabilityRow, len(c.links))
	for i, link := range c.links {
		if link == nil {
			continue
		}
		rows[i].Seq = link.rowSeq
		for _, j := range link.unreachable {
			rows[i].Unreachable |= 1 << j
		}
	}
	return rows
}
