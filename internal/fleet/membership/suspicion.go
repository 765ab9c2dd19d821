package membership

import "slices"

// initialCollectors is how many members are told of accusations at first. Where no view comes of it, twice as many with every
// few beats: the first ones may be lost together.
const initialCollectors = 5

// activeCollectors returns those who are to hear of a case, by places in the view.
func (c *Core) activeCollectors() []int {
	n := initialCollectors
	if c.changePendingSince > 0 {
		for waited := c.now - c.changePendingSince; waited > c.heartbeats(unstableDelay) && n < len(c.collectors); waited -= c.heartbeats(unstableDelay) {
			n *= 2
		}
	}
	return c.collectors[:min(n, len(c.collectors))]
}

// suspects returns whom this process accuses: those who answer nothing, and those who say of themselves that they hear no
// majority, or that they go.
func (c *Core) suspects() (out []Member) {
	if c.isSuspicionPaused() {
		return nil
	}
	for _, i := range c.subjects {
		l := c.links[i]
		if l.suspectedSince > 0 || l.isolatedSince > 0 && c.now-l.isolatedSince >= c.heartbeats(pingAfter) {
			out = append(out, c.view.Members[i])
		}
	}
	return out[:min(len(out), maxReportMembers)]
}

// sendReport tells the clerks whom I accuse and what else is to change, again with every beat: what is not said again counts
// no more.
func (c *Core) sendReport() {
	m := Message{Kind: Report, Suspects: c.suspects()}
	for j, until := range c.joining {
		if until < c.now {
			delete(c.joining, j)
		} else if len(m.Joining) < maxReportMembers {
			m.Joining = append(m.Joining, j)
		}
	}
	for l, until := range c.departing {
		if until < c.now {
			delete(c.departing, l)
		} else if len(m.Departing) < maxReportMembers && c.view.Contains(l) {
			m.Departing = append(m.Departing, l)
		}
	}
	if len(m.Suspects)+len(m.Joining)+len(m.Departing) == 0 {
		if len(c.reports) == 0 {
			c.changePendingSince = 0
		}
		return
	}
	if c.changePendingSince == 0 {
		c.changePendingSince = c.now
	}
	for _, i := range c.activeCollectors() {
		if c.links[i] == nil {
			c.handleReport(&Message{Kind: Report, From: c.options.Self, Suspects: m.Suspects, Joining: m.Joining, Departing: m.Departing})
			continue
		}
		one := m
		c.send(c.view.Members[i], &one)
	}
}

// handleReport notes an observer's word. Accusations count only of members that it observes.
func (c *Core) handleReport(m *Message) {
	o := c.view.Index(m.From.Name)
	r := &suspicionReport{at: c.now, suspects: map[Member]bool{}}
	for _, a := range m.Suspects {
		if s := c.view.Index(a.Name); s >= 0 && c.view.Members[s] == a && slices.Contains(c.observers[s], o) {
			r.suspects[a] = true
		}
	}
	c.reports[m.From.Name] = r
	until := c.now + c.heartbeats(reportTTL)
	for _, j := range m.Joining {
		if !c.view.Contains(j) && len(c.joining) < MaxMembers {
			c.joining[j] = until
		}
	}
	for _, l := range m.Departing {
		if c.view.Contains(l) {
			c.departing[l] = until
		}
	}
}

// suspicions counts the accusations that stand: how many observers accuse each member. An observer that is itself accused
// counts as accusing those whom another one accuses: it can't say it any more.
func (c *Core) suspicions() map[int][]int {
	by := map[int][]int{}
	for name, r := range c.reports {
		if c.now-r.at > c.heartbeats(reportTTL) {
			delete(c.reports, name)
			continue
		}
		for a := range r.suspects {
			s := c.view.Index(a.Name)
			by[s] = append(by[s], c.view.Index(name))
		}
	}
	// What one says that is accused itself, by enough, counts for nothing: it may be the one that hears nobody.
	for s, who := range by {
		by[s] = slices.DeleteFunc(who, func(o int) bool {
			_, high := watermarks(len(c.observers[o]))
			return len(by[o]) >= high && len(by[o]) > len(who)
		})
		if len(by[s]) == 0 {
			delete(by, s)
		}
	}
	if len(c.view.Members) <= fullMeshMembers {
		return by
	}
	lost := map[int]bool{}
	for s, who := range by {
		if low, _ := watermarks(len(c.observers[s])); len(who) >= low {
			lost[s] = true
		}
	}
	for s := range by {
		for _, o := range c.observers[s] {
			if lost[o] && !slices.Contains(by[s], o) {
				by[s] = append(by[s], o)
			}
		}
	}
	return by
}

// proposeDueChange proposes the next view where one is due: members that enough observers accuse, those who leave and those who
// come, all together. While others are accused by some and not by enough it waits a little for them.
func (c *Core) proposeDueChange() {
	if len(c.reports) == 0 && len(c.joining) == 0 && len(c.departing) == 0 {
		return
	}
	place := slices.Index(c.activeCollectors(), c.view.Index(c.options.Self.Name))
	if place < 0 || c.isSuspicionPaused() && !c.leaving && len(c.view.Members) > 1 {
		return
	}
	d, pending := c.dueChange()
	if len(d.Add)+len(d.Remove) == 0 {
		return
	}
	if c.changePendingSince == 0 {
		c.changePendingSince = c.now
	}
	wait := c.heartbeats(batchDelay)
	if pending {
		wait = c.heartbeats(unstableDelay)
	}
	// The first clerk that is not accused itself proposes; the next ones only if it does not.
	rank := 0
	for _, i := range c.collectors[:place] {
		if c.links[i] != nil && c.now-c.links[i].lastMessage < c.reachableWindow() && !slices.Contains(d.Remove, c.view.Members[i]) {
			rank++
		}
	}
	if c.now-c.changePendingSince >= wait+c.heartbeats(float64(2*rank)) && !c.proposal.inProgress(c) {
		c.startProposal(d)
	}
}

// dueChange is the change that the reports ask for.
func (c *Core) dueChange() (d *Delta, pending bool) {
	d = &Delta{}
	for s, who := range c.suspicions() {
		low, high := watermarks(len(c.observers[s]))
		switch {
		case len(who) >= high:
			d.Remove = append(d.Remove, c.view.Members[s])
		case len(who) >= low:
			pending = true
		}
	}
	for l, until := range c.departing {
		if until >= c.now && c.view.Contains(l) && !slices.Contains(d.Remove, l) {
			d.Remove = append(d.Remove, l)
		}
	}
	names := map[string]bool{}
	for j, until := range c.joining {
		i := c.view.Index(j.Name)
		free := i < 0 || slices.Contains(d.Remove, c.view.Members[i])
		if until >= c.now && free && !names[j.Name] && len(c.view.Members)+len(d.Add) < MaxMembers {
			names[j.Name] = true
			d.Add = append(d.Add, j)
		}
	}
	// Who is left must be able to agree to the change after it.
	byName := func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}
	slices.SortFunc(d.Remove, byName)
	slices.SortFunc(d.Add, byName)
	return d, pending
}
