package membership

import "math"

// Probes work as in SWIM (Das, Gupta and Motivala, DSN 2002): a member whose messages are late is pinged directly, and through
// other members.
const (
	indirectPings = 2 // pings through other members with each direct ping
	minPings      = 3 // lowest number of unanswered pings before a member is suspected
	// falseSuspicionProbability is the accepted probability that all pings of a healthy member stay unanswered.
	falseSuspicionProbability = 1e-4
	// minRoundTripRatio is the lowest ratio of answered pings that is assumed on a lossy network.
	minRoundTripRatio = 0.02
	// losslessRatio is the ratio of answered pings above which minPings pings are enough.
	losslessRatio = 0.999
)

// handleProbe handles pings, their answers and requests for them. It ignores messages of other kinds.
func (c *Core) handleProbe(m *Message) {
	switch m.Kind {
	case Ping:
		c.send(m.From, &Message{Kind: Ack, Seq: m.Seq, Target: m.Target})
	case Ack:
		c.handleAck(m)
	case IndirectAck:
		c.handleIndirectAck(m)
	case PingRequest:
		if i := c.indexOf(m.Target); i >= 0 && !c.isSelf(i) {
			c.send(m.Target, &Message{Kind: Ping, Seq: m.Seq, Target: m.From})
		}
	}
}

// indexOf returns the index of exactly this member, with address and incarnation, in the view, or -1.
func (c *Core) indexOf(m Member) int {
	i := c.view.Index(m.Name)
	if i < 0 || c.view.Members[i] != m {
		return -1
	}
	return i
}

// handleAck relays an answer to the member that requested the ping. An answer to this process's own ping needs no more than
// recordMessage, which has been called for it.
func (c *Core) handleAck(m *Message) {
	if c.indexOf(m.Target) >= 0 && m.Target != c.options.Self {
		c.send(m.Target, &Message{Kind: IndirectAck, Seq: m.Seq, Target: m.From})
	}
}

// handleIndirectAck records that a member has answered a ping through another member.
func (c *Core) handleIndirectAck(m *Message) {
	i := c.indexOf(m.Target)
	if i < 0 || c.isSelf(i) {
		return
	}
	link := c.links[i]
	link.reachableAt = c.now
	link.unansweredPings = 0
	link.suspectedSince = 0
}

// probeSubjects pings the subjects whose messages are late, and suspects those that answer no ping.
func (c *Core) probeSubjects() {
	loss := c.meanLossRatio()
	for _, i := range c.subjects {
		link := c.links[i]
		sinceReachable := c.now - link.reachableAt
		if sinceReachable < c.heartbeats(pingAfter)+c.largeFleetAllowance() {
			link.unansweredPings = 0
			continue
		}
		link.unansweredPings++
		c.sendPings(i)
		switch {
		case c.isSuspicionPaused():
			link.suspectedSince = 0
		case link.suspectedSince > 0:
		case sinceReachable >= c.heartbeats(suspectAfter)+c.largeFleetAllowance() && link.unansweredPings >= requiredPings(loss):
			link.suspectedSince = c.now
		}
	}
}

// sendPings pings a subject directly, and through randomly drawn members.
func (c *Core) sendPings(subject int) {
	seq := uint64(c.links[subject].unansweredPings)
	c.send(c.view.Members[subject], &Message{Kind: Ping, Seq: seq})
	for range indirectPings {
		i := c.options.Rand.IntN(len(c.links))
		if i != subject && !c.isSelf(i) && c.isReachable(c.links[i]) {
			c.send(c.view.Members[i], &Message{Kind: PingRequest, Seq: seq, Target: c.view.Members[subject]})
		}
	}
}

// requiredPings returns how many pings must stay unanswered before a member is suspected, on a network with this loss ratio in
// each direction.
func requiredPings(loss float64) int {
	answered := (1 - loss) * (1 - loss)
	if answered > losslessRatio {
		return minPings
	}
	unanswered := 1 - max(answered, minRoundTripRatio)
	return max(minPings, int(math.Ceil(math.Log(falseSuspicionProbability)/math.Log(unanswered))))
}

// meanLossRatio returns the mean loss ratio of the reachable subjects. The loss ratio of a single subject may be caused by that
// subject alone.
func (c *Core) meanLossRatio() float64 {
	sum, n := 0.0, 0
	for _, i := range c.subjects {
		if link := c.links[i]; c.isReachable(link) {
			sum += link.lossRatio
			n++
		}
	}
	return sum / float64(max(n, 1))
}
