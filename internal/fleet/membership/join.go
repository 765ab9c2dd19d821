package membership

import "slices"

// maxSeeds is the number of seeds up to which addSeeds adds addresses.
const maxSeeds = 16

// requestJoin asks the seeds to admit this process, once per requestInterval, or founds a fleet.
func (c *Core) requestJoin() {
	if c.leaving || c.nameTaken {
		return
	}
	if c.lastViewRequest == 0 || c.now-c.lastViewRequest >= c.heartbeats(requestInterval) {
		c.lastViewRequest = c.now
		for _, seed := range c.options.Seeds {
			if seed != c.options.Self.Address {
				c.send(Member{Address: seed}, &Message{Kind: Join})
			}
		}
	}
	if c.mayBootstrap() {
		c.installView(&View{Lineage: c.options.Rand.Uint64() | 1, Number: 1, Members: []Member{c.options.Self}})
	}
}

// mayBootstrap reports whether this process founds a fleet now. Of several processes without a view, only the one whose name is
// first in alphabetical order does.
func (c *Core) mayBootstrap() bool {
	mayFound := c.options.Bootstrap
	for name, until := range c.unjoined {
		if until < c.now {
			delete(c.unjoined, name)
		} else if name < c.options.Self.Name {
			mayFound = false
		}
	}
	delay := c.heartbeats(bootstrapDelay)
	if c.wasMember {
		delay *= rejoinFactor
	}
	return mayFound && (c.now-c.startedAt >= delay || len(c.options.Seeds) == 0)
}

// addSeeds adds addresses of random members to the seeds, up to maxSeeds.
func (c *Core) addSeeds(members []Member) {
	for _, i := range c.options.Rand.Perm(len(members)) {
		address := members[i].Address
		if len(c.options.Seeds) < maxSeeds && !slices.Contains(c.options.Seeds, address) {
			c.options.Seeds = append(c.options.Seeds, address)
		}
	}
}

// handleOutsideView handles the messages that a process may send or receive while it is in no view.
func (c *Core) handleOutsideView(m *Message) {
	switch m.Kind {
	case ViewResponse:
		if c.view == nil && c.canEnter(m.View) {
			c.installView(m.View)
		}
	case NameTaken:
		if c.view == nil {
			c.nameTaken = true
			c.changes = append(c.changes, Change{NameTaken: true})
		}
	case Join:
		c.handleJoin(m.From)
	}
}

// canEnter reports whether this process, which is in no view, may install a view.
func (c *Core) canEnter(view *View) bool {
	return view.Contains(c.options.Self) && view.Lineage != 0 && view.Lineage != c.endedLineage && !c.isStale(view)
}

// isStale reports whether a view is older than one that this process has known. This process may have discarded its promises for
// the view after the stale one, so it must not take part in that decision again.
func (c *Core) isStale(view *View) bool {
	return view.Lineage == c.latestView.lineage && view.Number < c.latestView.number
}

// handleJoin handles a request to join. A sender that is a member already has missed the view, and is sent it again.
func (c *Core) handleJoin(from Member) {
	switch {
	case c.view == nil:
		c.unjoined[from.Name] = c.now + c.heartbeats(2*requestInterval)
	case c.view.Contains(from):
		c.sendView(from)
	default:
		c.admitJoin(from)
	}
}

// admitJoin records a candidate, a process that requests to join. If a member at another address has the same name and is still
// reachable, the candidate is rejected. A candidate at the address of the member of its name is a restarted process, so the
// earlier incarnation has ended and is removed.
func (c *Core) admitJoin(candidate Member) {
	if i := c.view.Index(candidate.Name); i >= 0 {
		member := c.view.Members[i]
		sameAddress := member.Address == candidate.Address
		if !sameAddress && (c.isSelf(i) || c.isReachable(c.links[i])) {
			c.send(candidate, &Message{Kind: NameTaken})
			return
		}
		if sameAddress {
			c.departing[member] = c.now + c.heartbeats(reportTTL)
		}
	}
	if len(c.joining) < MaxMembers {
		c.joining[candidate] = c.now + c.heartbeats(reportTTL)
	}
	c.abandonLostFleet()
}

// abandonLostFleet leaves the view if this process is isolated and so many members have been restarted, on their addresses, that
// the others are not a majority. Such a view can never have a successor. The remaining members found a fleet with the restarted
// ones.
func (c *Core) abandonLostFleet() {
	restarted := 0
	for candidate := range c.joining {
		i := c.view.Index(candidate.Name)
		if i < 0 {
			continue
		}
		if member := c.view.Members[i]; member.Address == candidate.Address && member.Incarnation != candidate.Incarnation {
			restarted++
		}
	}
	if c.IsIsolated() && len(c.view.Members)-restarted < c.view.Majority() {
		c.endedLineage = c.view.Lineage
		c.leaveView(reasonRestarted)
		c.wasMember = false
	}
}

// probeForOtherFleets requests the view from the seeds that are not in this view, as they may be in a fleet that was founded
// separately.
func (c *Core) probeForOtherFleets() {
	known := map[string]bool{c.options.Self.Address: true}
	for _, m := range c.view.Members {
		known[m.Address] = true
	}
	for _, seed := range c.options.Seeds {
		if !known[seed] {
			c.send(Member{Address: seed}, &Message{Kind: ViewRequest})
		}
	}
}

// handleOtherFleet handles a message from another lineage: a fleet of this name that was founded separately.
func (c *Core) handleOtherFleet(m *Message) {
	switch m.Kind {
	case ViewResponse:
		if c.shouldJoinFleet(m.View, m.Affirmed) {
			c.endedLineage = c.view.Lineage
			c.leaveView(reasonOtherFleet)
			c.addSeeds(m.View.Members)
		}
	case Heartbeat, ViewRequest, Report:
		c.sendView(m.From)
	}
}

// shouldJoinFleet reports whether this process leaves its fleet to join the other one. The members of the smaller fleet do, or of
// the one with the lower lineage if both have the same size, unless only their own fleet has a quorum. An isolated process also
// joins a fleet that has a quorum, as most of its own fleet may have been restarted.
func (c *Core) shouldJoinFleet(other *View, otherHasQuorum bool) bool {
	if other.Lineage == c.view.Lineage {
		return false
	}
	size, otherSize := len(c.view.Members), len(other.Members)
	isLarger := otherSize > size || otherSize == size && other.Lineage > c.view.Lineage
	if isLarger {
		return !c.HasQuorum() || otherHasQuorum
	}
	return c.IsIsolated() && otherHasQuorum
}

// handleView handles a whole view of the lineage that this process is in.
func (c *Core) handleView(view *View) {
	switch {
	case view.Lineage != c.view.Lineage || view.Number < c.view.Number:
	case view.Number == c.view.Number:
		if view.Hash() != c.viewHash {
			c.changes = append(c.changes, Change{Violation: conflictingViews})
		}
	case !view.Contains(c.options.Self):
		c.latestView = viewID{view.Lineage, view.Number}
		c.leaveView(reasonRemoved)
	default:
		c.installView(view)
	}
}
