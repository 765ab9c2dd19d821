package membership

// installView puts a view in force, and resets the state that depends on the view.
func (c *Core) installView(view *View) {
	previous := c.view
	c.previousView, c.view = previous, view
	c.viewHash = view.Hash()
	c.viewSince = c.now
	c.latestView = viewID{view.Lineage, view.Number}
	c.wasMember = true
	c.installLinks(previous, view)
	c.recordDepartures(previous, view)
	c.collectors = view.ringOrder(ringCount)
	c.resetPendingChange()
	c.majorityGrantedAt, c.collectorAnsweredAt = c.now, c.now
	c.currentCollector, c.noMajoritySince = 0, 0
	c.majorityReached = previous == nil || c.majorityReached // a process that had no view was admitted by a majority
	c.changes = append(c.changes, Change{View: view})
}

// installLinks computes the observers and subjects of a view, and keeps the links to the members that stay.
func (c *Core) installLinks(previous, view *View) {
	wasSubject := map[string]bool{}
	for _, i := range c.subjects {
		wasSubject[previous.Members[i].Name] = true
	}
	observers, subjects := view.observation()
	c.observers, c.subjects = observers, nil
	self := view.Index(c.options.Self.Name)
	if self >= 0 {
		c.subjects = subjects[self]
	}
	links := make([]*peerLink, len(view.Members))
	for i, m := range view.Members {
		if i != self {
			links[i] = c.keepLink(previous, m, wasSubject[m.Name])
		}
	}
	c.links = links
}

// keepLink returns the link to a member of the previous view, reset for the next one, or a new link.
func (c *Core) keepLink(previous *View, m Member, wasSubject bool) *peerLink {
	if previous == nil {
		return newPeerLink(c.now)
	}
	i := previous.Index(m.Name)
	if i < 0 || previous.Members[i] != m {
		return newPeerLink(c.now)
	}
	link := c.links[i]
	link.unreachable, link.suspectedSince = nil, 0
	link.viewNumber = 0 // the member has not confirmed this view yet
	if !wasSubject {    // the member had no reason to send messages to this process
		link.reachableAt, link.lastMessage, link.heartbeatSeq = c.now, c.now, 0
	}
	return link
}

// recordDepartures records the members of the previous view that are not in this one, and discards the joins
// and departures that this view completes.
func (c *Core) recordDepartures(previous, view *View) {
	if previous != nil {
		for _, m := range previous.Members {
			if !view.Contains(m) && view.Index(m.Name) < 0 {
				_, left := c.departing[m]
				c.departed[m.Name] = Departed{Member: m, At: c.now, Left: left, ViewNumber: view.Number}
			}
		}
	}
	for _, m := range view.Members {
		delete(c.departed, m.Name)
		delete(c.joining, m)
	}
	for m := range c.departing {
		if !view.Contains(m) {
			delete(c.departing, m)
		}
	}
}

// resetPendingChange discards reports, grant requests and proposals, which are valid only in the view in which they were made.
func (c *Core) resetPendingChange() {
	clear(c.reports)
	clear(c.renewals)
	c.majorityCountedAt = 0
	c.changePendingSince = 0
	c.accepted, c.proposal = acceptor{}, proposer{}
}

// leaveView returns to the state of a process in no view. It is called when this process leaves, was removed, or moves to another
// fleet.
func (c *Core) leaveView(reason string) {
	c.changes = append(c.changes, Change{Removed: true, Reason: reason})
	c.addSeeds(c.view.Members)
	c.view, c.previousView = nil, nil
	c.links, c.subjects, c.observers, c.collectors = nil, nil, nil, nil
	c.startedAt = c.now
	c.lastViewRequest = 0
	c.majorityReached = false
	c.reportedStates = map[string]State{}
	clear(c.reports)
	c.accepted, c.proposal = acceptor{}, proposer{}
}
