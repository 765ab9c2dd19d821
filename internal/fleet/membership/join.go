package membership

// This file: how a process comes into a view and out of it, and what becomes of fleets that were founded apart.

import (
	"slices"
)

// requestJoin asks to be let in, or founds a fleet.
func (c *Core) requestJoin() {
	if c.leaving || c.nameTaken {
		return
	}
	if c.lastViewRequest == 0 || c.now-c.lastViewRequest >= c.heartbeats(requestInterval) {
		c.lastViewRequest = c.now
		for _, s := range c.options.Seeds {
			if s != c.options.Self.Address {
				c.send(Member{Address: s}, &Message{Kind: Join})
			}
		}
	}
	first, after := c.options.Bootstrap, c.heartbeats(bootstrapDelay)
	if c.wasMember { // the others may be on the far side of a cut
		after *= 8
	}
	for name, until := range c.unjoined {
		if until < c.now {
			delete(c.unjoined, name)
		} else if name < c.options.Self.Name {
			first = false
		}
	}
	if wait := c.now - c.startedAt; first && (wait >= after || len(c.options.Seeds) == 0) {
		c.installView(&View{Lineage: c.options.Rand.Uint64() | 1, Number: 1, Members: []Member{c.options.Self}})
	}
}

// out of its view: it was taken out, or goes over to a larger fleet.
func (c *Core) leaveView(why string) {
	c.changes = append(c.changes, Change{Removed: true, Reason: why})
	c.rememberSeeds(c.view.Members)
	c.view, c.previousView, c.links, c.subjects, c.observers, c.collectors = nil, nil, nil, nil, nil, nil
	c.startedAt, c.lastViewRequest, c.majorityReached = c.now, 0, false
	c.reportedStates = map[string]State{}
	clear(c.reports)
	c.accepted, c.proposal = acceptor{}, proposer{}
}

// rememberSeeds keeps the addresses of some members, to ask them to be let in.
func (c *Core) rememberSeeds(members []Member) {
	const most = 16
	for _, i := range c.options.Rand.Perm(len(members)) {
		if a := members[i].Address; len(c.options.Seeds) < most && !slices.Contains(c.options.Seeds, a) {
			c.options.Seeds = append(c.options.Seeds, a)
		}
	}
}

// handleOutsideView takes what is said to or by processes in no view.
func (c *Core) handleOutsideView(m *Message) {
	switch {
	case m.Kind == ViewResponse && c.view == nil:
		if m.View.Contains(c.options.Self) && m.View.Lineage != 0 && m.View.Lineage != c.endedLineage && !c.isStale(m.View) {
			c.installView(m.View)
		}
	case m.Kind == NameTaken:
		if c.view == nil {
			c.nameTaken = true
			c.changes = append(c.changes, Change{NameTaken: true})
		}
	case m.Kind != Join:
	case c.view == nil:
		c.unjoined[m.From.Name] = c.now + c.heartbeats(2*requestInterval)
	case c.view.Contains(m.From):
		c.send(m.From, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()})
	default:
		c.admitJoin(m.From)
	}
}

// isStale tells that a view is older than one that this process has known. What it promised for the one after it is
// forgotten, and it must never be asked for it again.
func (c *Core) isStale(v *View) bool { return v.Lineage == c.latest[0] && v.Number < c.latest[1] }

// admitJoin takes a process that wants in. Where its name is another's that is still heard it is told to go: the one that is
// in stays. One that comes back on the same address is the same place started again, so the earlier one has ended.
func (c *Core) admitJoin(m Member) {
	if i := c.view.Index(m.Name); i >= 0 {
		is := c.view.Members[i]
		l := c.links[i]
		if is.Address != m.Address && (l == nil || c.now-l.lastMessage < c.reachableWindow()) {
			c.send(m, &Message{Kind: NameTaken})
			return
		}
		if is.Address == m.Address {
			c.departing[is] = c.now + c.heartbeats(reportTTL)
		}
	}
	if len(c.joining) < MaxMembers {
		c.joining[m] = c.now + c.heartbeats(reportTTL)
	}
	c.abandonLostFleet()
}

// abandonLostFleet gives a view up of which most members have been started anew, on their addresses: no majority of it can agree to
// anything any more, here or elsewhere. Those who are left found a fleet with the new ones.
func (c *Core) abandonLostFleet() {
	anew := 0
	for j := range c.joining {
		if i := c.view.Index(j.Name); i >= 0 && c.view.Members[i].Address == j.Address && c.view.Members[i].Incarnation != j.Incarnation {
			anew++
		}
	}
	if c.IsIsolated() && len(c.view.Members)-anew < c.view.Majority() {
		c.endedLineage = c.view.Lineage
		c.leaveView("most of the fleet has been started anew")
		c.wasMember = false
	}
}

// probeForOtherFleets asks the seeds that are not in this view, which may be in another one that was founded apart.
func (c *Core) probeForOtherFleets() {
	in := map[string]bool{c.options.Self.Address: true}
	for _, m := range c.view.Members {
		in[m.Address] = true
	}
	for _, s := range c.options.Seeds {
		if !in[s] {
			c.send(Member{Address: s}, &Message{Kind: ViewRequest})
		}
	}
}

// handleOtherFleet takes what a member of another fleet of this name says: both were founded apart. The smaller one goes over, or
// the one whose number is lower where they are of one size; its members come in as any other. So does one that is isolated,
// where the other has its majority: most of its own fleet may have been started anew.
func (c *Core) handleOtherFleet(m *Message) {
	switch m.Kind {
	case ViewResponse:
		o := m.View
		mine, others := len(c.view.Members), len(o.Members)
		larger := others > mine || others == mine && o.Lineage > c.view.Lineage
		if o.Lineage == c.view.Lineage || !larger && !(c.IsIsolated() && m.Affirmed) || larger && c.HasQuorum() && !m.Affirmed {
			return
		}
		c.endedLineage = c.view.Lineage
		c.leaveView("another fleet of this name is larger, or has its majority")
		c.rememberSeeds(o.Members)
	case Heartbeat, ViewRequest, Report:
		c.send(m.From, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()})
	}
}

// handleView takes a whole view of the own lineage.
func (c *Core) handleView(v *View) {
	switch {
	case v.Lineage != c.view.Lineage || v.Number < c.view.Number:
	case v.Number == c.view.Number:
		if v.Hash() != c.viewHash {
			c.changes = append(c.changes, Change{Violation: "two views of one number"})
		}
	case !v.Contains(c.options.Self):
		c.latest = [2]uint64{v.Lineage, v.Number}
		c.leaveView("taken out while it was not heard")
	default:
		c.installView(v)
	}
}
