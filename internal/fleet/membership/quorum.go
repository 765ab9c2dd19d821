package membership

import (
	"slices"
	"time"
)

// HasQuorum reports whether a majority of the view has been reachable lately, in that view.
func (c *Core) HasQuorum() bool {
	return c.view != nil && c.majorityReached && c.noMajoritySince == 0
}

// IsIsolated reports whether this process has reached no majority for some time: it is cut off, or in the smaller part of
// a partition. It must not do anything then that needs the fleet.
func (c *Core) IsIsolated() bool {
	return c.view != nil && c.noMajoritySince > 0 && c.now-c.noMajoritySince >= c.heartbeats(isolatedAfter-reachableFor)
}

// isSuspicionPaused reports whether missing messages say nothing about other members.
func (c *Core) isSuspicionPaused() bool {
	return c.now < c.suspicionPausedUntil || !c.majorityReached || c.noMajoritySince > 0 || c.leaving
}

// updateQuorum determines whether a majority is reachable.
func (c *Core) updateQuorum() {
	switch {
	case c.countReachable() >= c.view.Majority():
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

// countReachable returns how many members, this one among them, reach this process and are reached by it. In a large fleet
// a collector counts them: a grant shows that a majority is alive and that messages pass in both directions.
func (c *Core) countReachable() int {
	if len(c.view.Members) > fullMeshMembers {
		if c.now-c.majorityGrantedAt < c.heartbeats(isolatedAfter) {
			return len(c.view.Members)
		}
		return 1
	}
	count := 1
	for _, link := range c.links {
		if link != nil && c.isReachable(link) && link.viewNumber == c.view.Number && !c.reportsSelfUnreachable(link) {
			count++
		}
	}
	return count
}

// reportsSelfUnreachable reports whether a member says that it does not reach this process.
func (c *Core) reportsSelfUnreachable(link *peerLink) bool {
	self := c.view.Index(c.options.Self.Name)
	return slices.ContainsFunc(link.unreachable, func(i uint16) bool { return int(i) == self })
}

// renewGrant asks a collector of a large fleet with each heartbeat whether a majority is alive. All members ask the first
// collector that answers, so that it sees a majority if there is one; an earlier one that answers again takes over. While
// no grant arrives, several collectors are asked with each tick: on a lossy network half of the requests or answers are
// lost, collectors may fail together, and a member without a grant takes itself for isolated.
func (c *Core) renewGrant(heartbeatDue bool) {
	late := c.now-c.majorityGrantedAt > c.reachableWindow() // a grant is half a second old on arrival, and comes every second
	if len(c.view.Members) <= fullMeshMembers || !heartbeatDue && !late {
		return
	}
	if c.now-c.collectorAnsweredAt > c.reachableWindow() {
		c.currentCollector = (c.currentCollector + 1) % len(c.collectors)
		c.collectorAnsweredAt = c.now
	}
	c.requestGrant(c.currentCollector)
	if c.currentCollector > 0 {
		c.requestGrant(c.options.Rand.IntN(c.currentCollector))
	}
	more := 1 // always a second one: the path to a single one may be cut
	if late {
		more = initialCollectors - 1
	}
	for i := 1; i <= more; i++ {
		c.requestGrant((c.currentCollector + i) % len(c.collectors))
	}
}

// requestGrant asks one collector, by its place in the order of collectors.
func (c *Core) requestGrant(turn int) {
	i := c.collectors[turn]
	m := Message{Kind: GrantRequest, From: c.options.Self}
	if c.isSelf(i) {
		c.handleGrantRequest(&m)
		return
	}
	c.send(c.view.Members[i], &m)
}

// handleGrant handles a collector's answer.
func (c *Core) handleGrant(m *Message) {
	turn := slices.IndexFunc(c.collectors, func(i int) bool { return c.view.Members[i] == m.From })
	if turn >= 0 && (turn <= c.currentCollector || m.Affirmed) {
		c.currentCollector, c.collectorAnsweredAt = turn, c.now
	}
	if m.Affirmed {
		c.majorityGrantedAt = max(c.majorityGrantedAt, c.now-grantAge(m))
	}
}

// maxGrantAge bounds what is believed of a grant's age.
const maxGrantAge = time.Hour

// grantAge returns how long before the grant was sent a majority had asked for one.
func grantAge(m *Message) time.Duration {
	return time.Duration(min(m.Seq, uint64(maxGrantAge.Microseconds()))) * time.Microsecond
}

// handleGrantRequest answers with how long ago a majority had asked. An answer without that age would let a member that
// is cut off together with this collector believe in a majority for too long.
func (c *Core) handleGrantRequest(m *Message) {
	c.renewals[m.From.Name] = c.now
	grant := Message{Kind: Grant, From: c.options.Self}
	if at := c.majorityRenewal(); at > 0 {
		grant.Affirmed = true
		grant.Seq = uint64((c.now - at).Microseconds())
	}
	if m.From == c.options.Self {
		c.handleGrant(&grant)
		return
	}
	c.send(m.From, &grant)
}

// majorityRenewal returns the time since which a majority has asked this collector, or zero. It is counted once a tick, as
// each of a thousand members asks every second; a result that is one tick old promises less, never more.
func (c *Core) majorityRenewal() time.Duration {
	if c.majorityCountedAt > 0 && c.now-c.majorityCountedAt < c.TickInterval() {
		return c.majorityRenewedAt
	}
	c.majorityCountedAt, c.majorityRenewedAt = c.now, 0
	var recent []time.Duration
	for name, at := range c.renewals {
		if c.now-at < c.heartbeats(isolatedAfter) {
			recent = append(recent, at)
		} else {
			delete(c.renewals, name)
		}
	}
	if majority := c.view.Majority(); len(recent) >= majority {
		slices.Sort(recent)
		c.majorityRenewedAt = recent[len(recent)-majority]
	}
	return c.majorityRenewedAt
}

// Quota is a member's part of a limit that the fleet shares.
type Quota struct {
	Members int // that share the limit
	Index   int // of this member among them, from 0
	// Minimal tells that this process must use almost nothing: it is in no view, or isolated, and the others may have
	// taken over its part.
	Minimal bool
}

// Quota returns this process's part. A part must not grow while another member may still use it too: after a view with fewer
// members the earlier count holds until a member that was cut off must have noticed it.
func (c *Core) Quota(now time.Duration) Quota {
	if c.view == nil || c.IsIsolated() || !c.majorityReached {
		return Quota{Minimal: true}
	}
	view := c.view
	held := c.previousView != nil && now-c.viewSince < c.heartbeats(quotaHold)
	if held && len(c.previousView.Members) > len(view.Members) {
		view = c.previousView
	}
	return Quota{Members: len(view.Members), Index: view.Index(c.options.Self.Name)}
}
