package membership

import (
	"slices"
	"time"
)

// peerLink holds what this process knows of another member, from that member's own messages and from those that others relay.
type peerLink struct {
	reachableAt     time.Duration // time of its last message, or of its last answer that another member relayed
	lastMessage     time.Duration // time of its last message
	unansweredPings int           // rounds of direct and indirect pings since reachableAt
	heartbeatSeq    uint64        // sequence number of its last heartbeat
	lossRatio       float64       // smoothed ratio of lost heartbeats
	viewNumber      uint64        // number of its view, as of its last heartbeat; zero before its first heartbeat in this view
	isolatedSince   time.Duration // since when it reports that it is isolated; zero if it does not
	unreachable     []uint16      // its row: members that it receives no messages from, by index in the view
	rowUpdatedAt    time.Duration // when unreachable was updated
	rowSeq          uint64        // sequence number of the heartbeat that reported unreachable
	suspectedSince  time.Duration // since when this process suspects it; zero if it does not
	leaving         bool          // whether it has announced its departure in a heartbeat
}

// lossSmoothing is the weight of one heartbeat in lossRatio.
const lossSmoothing = 0.1

// maxSeqGap is the gap in sequence numbers from which on missing heartbeats are not counted as lost.
const maxSeqGap = 100

func newPeerLink(now time.Duration) *peerLink {
	return &peerLink{reachableAt: now, lastMessage: now}
}

// shift moves the recorded times forward by a delay of this process.
func (l *peerLink) shift(delay time.Duration) {
	l.reachableAt += delay
	l.lastMessage += delay
	if l.isolatedSince > 0 {
		l.isolatedSince += delay
	}
}

// isReachable reports whether a message of the member has arrived within reachableWindow.
func (c *Core) isReachable(l *peerLink) bool { return c.now-l.lastMessage < c.reachableWindow() }

// IsReachable reports whether a message of the member with this name has arrived lately. A member that this process does not
// observe counts as reachable.
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

// observes reports whether this process observes the member at an index, and so receives its heartbeats.
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

// handleHeartbeat updates the link to the member at an index, and the rows that its heartbeat relays.
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

// conflictingViews is the violation reported when another member has a different view of the same number.
const conflictingViews = "two different views with one number"

// updateLoss updates lossRatio with a received heartbeat and with those that are missing before it, by its sequence number.
func (l *peerLink) updateLoss(seq uint64) {
	if l.heartbeatSeq == 0 || seq <= l.heartbeatSeq || seq-l.heartbeatSeq >= maxSeqGap {
		return
	}
	for range seq - l.heartbeatSeq - 1 {
		l.lossRatio += (1 - l.lossRatio) * lossSmoothing
	}
	l.lossRatio *= 1 - lossSmoothing
}

// mergeRows takes over the rows that another member relays, where they are newer than those known here.
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

// reachabilityRows returns the latest rows of the other members, for members that do not receive their heartbeats directly. Large
// fleets do not exchange rows.
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
