package membership

import (
	"slices"
	"time"
)

// HasQuorum reports whether this process is in a view and reaches a majority of its members. In a large fleet, a recent grant
// from a collector stands for the majority.
func (c *Core) HasQuorum() bool {
	return c.view != nil && c.majorityReached && c.noMajoritySince == 0
}

// IsIsolated reports whether the last contact with a majority was about isolatedAfter ago or earlier: this process is cut off, or
// on the smaller side of a partition. An isolated process must not do anything that needs the fleet.
func (c *Core) IsIsolated() bool {
	return c.view != nil && c.noMajoritySince > 0 && c.now-c.noMajoritySince >= c.heartbeats(isolatedAfter-reachableFor)
}

// isSuspicionPaused reports whether this process must suspect no member: its own observations are unreliable, or it is leaving.
func (c *Core) isSuspicionPaused() bool {
	return c.now < c.suspicionPausedUntil || !c.majorityReached || c.noMajoritySince > 0 || c.leaving
}

// updateQuorum determines whether a majority is reachable, and requests the view while none has been since the last
// pause.
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

// countReachable returns how many members, this process included, are in the same view and exchange messages with this process
// in both directions. In a large fleet a collector counts them: a grant shows that a majority is alive and that messages pass
// in both directions.
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

// reportsSelfUnreachable reports whether a member has reported that it receives no messages from this process.
func (c *Core) reportsSelfUnreachable(link *peerLink) bool {
	self := c.view.Index(c.options.Self.Name)
	return slices.ContainsFunc(link.unreachable, func(i uint16) bool { return int(i) == self })
}

// renewGrant asks a collector of a large fleet with each heartbeat whether a majority is alive. All members ask the first
// collector that answers, so that this collector sees a majority if there is one. If an earlier collector answers again, it
// takes over. While no grant arrives, several collectors are asked with each tick: on a lossy network half of the requests or
// answers are lost, collectors may fail together, and a member without a grant considers itself isolated.
func (c *Core) renewGrant(heartbeatDue bool) {
	late := c.now-c.majorityGrantedAt > c.reachableWindow() // a grant is about 500 ms old on arrival, and one arrives every second
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
	additional := 1 // always a second collector: the path to a single one may be cut
	if late {
		additional = initialCollectors - 1
	}
	for i := 1; i <= additional; i++ {
		c.requestGrant((c.currentCollector + i) % len(c.collectors))
	}
}

// requestGrant requests a grant from the collector at a position in the order of preference.
func (c *Core) requestGrant(position int) {
	i := c.collectors[position]
	m := Message{Kind: GrantRequest, From: c.options.Self}
	if c.isSelf(i) {
		c.handleGrantRequest(&m)
		return
	}
	c.send(c.view.Members[i], &m)
}

// handleGrant handles a collector's answer to a GrantRequest.
func (c *Core) handleGrant(m *Message) {
	position := slices.IndexFunc(c.collectors, func(i int) bool { return c.view.Members[i] == m.From })
	if position >= 0 && (position <= c.currentCollector || m.Affirmed) {
		c.currentCollector, c.collectorAnsweredAt = position, c.now
	}
	if m.Affirmed {
		c.majorityGrantedAt = max(c.majorityGrantedAt, c.now-grantAge(m))
	}
}

// maxGrantAge is the largest age that is accepted from a grant; higher ones are reduced to it.
const maxGrantAge = time.Hour

// grantAge returns the age of a grant when it was sent: the period within which a majority had requested grants.
func grantAge(m *Message) time.Duration {
	return time.Duration(min(m.Seq, uint64(maxGrantAge.Microseconds()))) * time.Microsecond
}

// handleGrantRequest answers whether a majority is alive, with the age of that result. Without the age, a member that is cut off
// together with this collector would rely on the majority for too long.
func (c *Core) handleGrantRequest(m *Message) {
	c.renewals[m.From.Name] = c.now
	grant := Message{Kind: Grant, From: c.options.Self}
	if since := c.majorityRenewal(); since > 0 {
		grant.Affirmed = true
		grant.Seq = uint64((c.now - since).Microseconds())
	}
	if m.From == c.options.Self {
		c.handleGrant(&grant)
		return
	}
	c.send(m.From, &grant)
}

// majorityRenewal returns the time since which a majority has requested grants from this collector, or zero. It is computed once a
// tick, as each of a thousand members asks every second. A result that is one tick old can only understate that time.
func (c *Core) majorityRenewal() time.Duration {
	if c.majorityCountedAt > 0 && c.now-c.majorityCountedAt < c.TickInterval() {
		return c.majorityRenewedAt
	}
	c.majorityCountedAt, c.majorityRenewedAt = c.now, 0
	var recent []time.Duration
	for name, requestedAt := range c.renewals {
		if c.now-requestedAt < c.heartbeats(isolatedAfter) {
			recent = append(recent, requestedAt)
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

// Quota is a member's part of a limit that the members share equally.
type Quota struct {
	Members int // number of members that share the limit
	Index   int // index of this member among them, from 0
	// Minimal means that this process must use almost nothing: it is in no view, or isolated, or has reached no majority since a
	// pause. The other members may have taken over its part.
	Minimal bool
}

// Quota returns this process's part. A part must not grow while a removed member may still use its own. After a view with fewer
// members, the earlier number of members therefore applies for quotaHold, until a member that was cut off must have noticed
// that it is isolated.
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
