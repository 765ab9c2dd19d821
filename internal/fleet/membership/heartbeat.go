package membership

import (
	"math"
	"slices"
	"time"
)

// peerLink is what is known of another member by its own words and by those who hear it.
type peerLink struct {
	reachableAt     time.Duration // a word of its own came, or it answered through another
	lastMessage     time.Duration // a word of its own came
	unansweredPings int           // questions since then, through others too
	heartbeatSeq    uint64        // of its last beat
	lossRatio       float64       // part of its beats that do not come, smoothed
	viewNumber      uint64        // that it is in, by its last beat
	isolatedSince   time.Duration // since when it says so; zero: it does not
	unreachable     []uint16      // whom it does not hear, by places in the view
	rowAt           time.Duration
	rowSeq          uint64
	suspectedSince  time.Duration // since when it is accused by me; zero: it is not
	leaving         bool
}

func (l *peerLink) shift(late time.Duration) {
	l.reachableAt += late
	l.lastMessage += late
	if l.isolatedSince > 0 {
		l.isolatedSince += late
	}
}

// noteMessage notes that a word has come.
func (c *Core) noteMessage(m *Message) {
	i := c.view.Index(m.From.Name)
	if i < 0 || c.links[i] == nil || c.view.Members[i].Incarnation != m.From.Incarnation {
		return
	}
	l := c.links[i]
	l.reachableAt, l.lastMessage, l.unansweredPings, l.suspectedSince = c.now, c.now, 0, 0
}

func (c *Core) handleHeartbeat(i int, m *Message) {
	l := c.links[i]
	if l.heartbeatSeq > 0 && m.Seq > l.heartbeatSeq && m.Seq-l.heartbeatSeq < 100 {
		for range m.Seq - l.heartbeatSeq - 1 {
			l.lossRatio += (1 - l.lossRatio) * 0.1
		}
		l.lossRatio *= 0.9
	}
	l.heartbeatSeq = max(l.heartbeatSeq, m.Seq)
	l.viewNumber, l.leaving = m.ViewNumber, m.Leaving
	if m.Seq > l.rowSeq {
		l.unreachable, l.rowAt, l.rowSeq = m.Unreachable, c.now, m.Seq
	}
	if len(m.Rows) == len(c.links) {
		c.mergeRows(m.Rows)
	}
	switch {
	case !m.Isolated:
		l.isolatedSince = 0
	case l.isolatedSince == 0:
		l.isolatedSince = c.now
	}
	if m.ViewHash != c.viewHash {
		c.changes = append(c.changes, Change{Violation: "two views of one number"})
	}
}

// mergeRows takes what others do not hear, at second hand: the rows of those whom I do not hear myself too.
func (c *Core) mergeRows(rows []ReachabilityRow) {
	for i, r := range rows {
		l := c.links[i]
		if l == nil || r.Seq <= l.rowSeq {
			continue
		}
		l.rowSeq, l.rowAt, l.unreachable = r.Seq, c.now, nil
		for j := range c.links {
			if r.Unreachable&(1<<j) != 0 {
				l.unreachable = append(l.unreachable, uint16(j))
			}
		}
	}
}

// reachabilityRows is what is known of who does not hear whom, for those who do not hear it from all.
func (c *Core) reachabilityRows() []ReachabilityRow {
	if len(c.links) > fullMeshMembers {
		return nil
	}
	out := make([]ReachabilityRow, len(c.links))
	for i, l := range c.links {
		if l == nil {
			continue
		}
		out[i].Seq = l.rowSeq
		for _, j := range l.unreachable {
			out[i].Unreachable |= 1 << j
		}
	}
	return out
}

// handleAck passes on what was asked for another; an answer to my own question has been heard as any word.
func (c *Core) handleAck(m *Message) {
	if j := c.view.Index(m.Target.Name); j >= 0 && c.view.Members[j] == m.Target && m.Target != c.options.Self {
		c.send(m.Target, &Message{Kind: IndirectAck, Seq: m.Seq, Target: m.From})
	}
}

// handleIndirectAck notes that a member is there, though nothing comes from it on the direct way.
func (c *Core) handleIndirectAck(m *Message) {
	if j := c.view.Index(m.Target.Name); j >= 0 && c.view.Members[j] == m.Target && c.links[j] != nil {
		l := c.links[j]
		l.reachableAt, l.unansweredPings, l.suspectedSince = c.now, 0, 0
	}
}

// updateQuorum finds out whether a majority is heard.
func (c *Core) updateQuorum() {
	there := 1 // me
	if len(c.view.Members) <= fullMeshMembers {
		for _, l := range c.links {
			if l != nil && c.now-l.lastMessage < c.reachableWindow() && l.viewNumber == c.view.Number && !c.isUnreachableFor(l) {
				there++
			}
		}
	} else if c.now-c.majorityGrantedAt < c.heartbeats(isolatedAfter) { // a clerk counts them all, and its word shows that it is heard and hears
		there = len(c.view.Members)
	}
	switch {
	case there >= c.view.Majority():
		if c.noMajoritySince > 0 || !c.majorityReached {
			c.suspicionPausedUntil = max(c.suspicionPausedUntil, c.now+c.heartbeats(1))
		}
		c.noMajoritySince, c.majorityReached = 0, true
	case c.noMajoritySince == 0:
		c.noMajoritySince = c.now
	}
	if !c.majorityReached && c.now-c.lastViewRequest >= c.heartbeats(requestInterval) {
		c.requestView()
	}
}

// isUnreachableFor tells that a member does not hear me: I hear it say so.
func (c *Core) isUnreachableFor(l *peerLink) bool {
	me := c.view.Index(c.options.Self.Name)
	for _, i := range l.unreachable {
		if int(i) == me {
			return true
		}
	}
	return false
}

// observes tells whether a member is one that I observe, so that its beats come here.
func (c *Core) observes(i int) bool {
	if len(c.view.Members) <= fullMeshMembers {
		return true
	}
	return slices.Contains(c.subjects, i)
}

// IsIsolated tells that no majority has been heard for a time: this process is the one that is cut off, or in the smaller
// part. It acts on nothing that needs the fleet.
func (c *Core) IsIsolated() bool {
	return c.view != nil && c.noMajoritySince > 0 && c.now-c.noMajoritySince >= c.heartbeats(isolatedAfter-reachableFor)
}

// sendHeartbeats tells those near by that I am there.
func (c *Core) sendHeartbeats() {
	c.heartbeatSeq++
	m := Message{Kind: Heartbeat, Seq: c.heartbeatSeq, ViewHash: c.viewHash, Isolated: c.IsIsolated(), Leaving: c.leaving, Rows: c.reachabilityRows()}
	for _, i := range c.subjects {
		if l := c.links[i]; c.now-l.lastMessage >= c.reachableWindow() && len(m.Unreachable) < maxUnreachable {
			m.Unreachable = append(m.Unreachable, uint16(i))
		}
	}
	if me := c.view.Index(c.options.Self.Name); me >= 0 {
		for _, i := range c.observers[me] {
			one := m
			c.send(c.view.Members[i], &one)
		}
	}
}

// renewGrant asks a clerk of a large fleet with each beat whether a majority is there. All ask the first one that answers, so
// that it hears a majority if there is one; an earlier one that answers again takes over. While no grant comes several are
// asked with each tick: on a lossy way half of what is asked or answered is lost, clerks may be lost together, and a member
// without a grant takes itself for isolated.
func (c *Core) renewGrant(beat bool) {
	late := c.now-c.majorityGrantedAt > c.reachableWindow() // a majority's word is half a second old when it comes, and comes every second
	if len(c.view.Members) <= fullMeshMembers || !beat && !late {
		return
	}
	if c.now-c.collectorAnsweredAt > c.reachableWindow() {
		c.collectorTurn, c.collectorAnsweredAt = (c.collectorTurn+1)%len(c.collectors), c.now
	}
	c.requestGrant(c.collectorTurn)
	if c.collectorTurn > 0 {
		c.requestGrant(c.options.Rand.IntN(c.collectorTurn))
	}
	for more := 1; more < 2 || late && more < initialCollectors; more++ { // two always: a way to one alone may be cut
		c.requestGrant((c.collectorTurn + more) % len(c.collectors))
	}
}

func (c *Core) requestGrant(turn int) {
	i := c.collectors[turn]
	m := Message{Kind: GrantRequest, From: c.options.Self}
	if c.links[i] == nil {
		c.handleGrantRequest(&m)
		return
	}
	c.send(c.view.Members[i], &m)
}

func (c *Core) handleGrant(m *Message) {
	turn := slices.IndexFunc(c.collectors, func(i int) bool { return c.view.Members[i] == m.From })
	if turn >= 0 && (turn <= c.collectorTurn || m.Affirmed) {
		c.collectorTurn, c.collectorAnsweredAt = turn, c.now
	}
	if m.Affirmed {
		c.majorityGrantedAt = max(c.majorityGrantedAt, c.now-time.Duration(min(m.Seq, uint64(time.Hour.Microseconds())))*time.Microsecond)
	}
}

// handleGrantRequest answers with how long ago a majority had asked: not whether it has lately, or one that was cut off together
// with this clerk would hear of a majority for as long again.
func (c *Core) handleGrantRequest(m *Message) {
	c.renewals[m.From.Name] = c.now
	g := Message{Kind: Grant, From: c.options.Self}
	if at := c.majorityRenewal(); at > 0 {
		g.Affirmed, g.Seq = true, uint64((c.now - at).Microseconds())
	}
	if m.From == c.options.Self {
		c.handleGrant(&g)
		return
	}
	c.send(m.From, &g)
}

// majorityRenewal returns since when a majority has asked this clerk; zero: none has lately. It is counted once in a tick, as
// each of a thousand members asks every second: what is a tick old promises less, and nothing that is not so.
func (c *Core) majorityRenewal() time.Duration {
	if c.majorityCountedAt > 0 && c.now-c.majorityCountedAt < c.TickInterval() {
		return c.majorityRenewedAt
	}
	c.majorityCountedAt, c.majorityRenewedAt = c.now, 0
	var asked []time.Duration
	for name, at := range c.renewals {
		if c.now-at < c.heartbeats(isolatedAfter) {
			asked = append(asked, at)
		} else {
			delete(c.renewals, name)
		}
	}
	if n := c.view.Majority(); len(asked) >= n {
		slices.Sort(asked)
		c.majorityRenewedAt = asked[len(asked)-n]
	}
	return c.majorityRenewedAt
}

// isSuspicionPaused tells that what this process does not hear says nothing of others.
func (c *Core) isSuspicionPaused() bool {
	return c.now < c.suspicionPausedUntil || !c.majorityReached || c.noMajoritySince > 0 || c.leaving
}

// requiredPings is how many must stay without an answer before silence says something, with what is lost on the way: each
// goes and comes back, and a sound member fails all of them once in ten thousand cases.
func requiredPings(loss float64) int {
	kept := (1 - loss) * (1 - loss)
	if kept > 0.999 {
		return 3
	}
	return max(3, int(math.Ceil(math.Log(1e-4)/math.Log(1-max(kept, 0.02)))))
}

// probeSubjects asks those who are late, and accuses those who have answered nothing.
func (c *Core) probeSubjects() {
	lossy := c.meanLossRatio()
	for _, i := range c.subjects {
		l := c.links[i]
		quiet := c.now - l.reachableAt
		if quiet < c.heartbeats(pingAfter)+c.largeFleetAllowance() {
			l.unansweredPings = 0
			continue
		}
		l.unansweredPings++
		c.send(c.view.Members[i], &Message{Kind: Ping, Seq: uint64(l.unansweredPings)})
		for range 2 {
			if j := c.options.Rand.IntN(len(c.links)); j != i && c.links[j] != nil && c.now-c.links[j].lastMessage < c.reachableWindow() {
				c.send(c.view.Members[j], &Message{Kind: PingRequest, Seq: uint64(l.unansweredPings), Target: c.view.Members[i]})
			}
		}
		switch {
		case c.isSuspicionPaused():
			l.suspectedSince = 0
		case l.suspectedSince == 0 && quiet >= c.heartbeats(suspectAfter)+c.largeFleetAllowance() && l.unansweredPings >= requiredPings(lossy):
			l.suspectedSince = c.now
		}
	}
}

// meanLossRatio is what is lost on the way from those near by, at the middle: what one member loses may be its own fault.
func (c *Core) meanLossRatio() float64 {
	sum, n := 0.0, 0
	for _, i := range c.subjects {
		if l := c.links[i]; c.now-l.lastMessage < c.reachableWindow() {
			sum += l.lossRatio
			n++
		}
	}
	return sum / float64(max(n, 1))
}
