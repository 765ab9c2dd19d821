package admission

import (
	"slices"
	"time"
)

// Update replaces the policy, and assigns all connections to the groups of the new one. It returns the idle connections that exceed the
// new limits, which the caller closes.
func (ctl *Controller) Update(now time.Time, p Policy) (evict []*Conn) {
	old := ctl.groups
	ctl.policy = p
	ctl.groupIndex = newGroupIndex(p.Groups)
	ctl.groups = nil
	ctl.reserved = 0
	ctl.reducedCapacity = p.Capacity
	for _, g := range p.Groups {
		created := &group{Group: g}
		for _, o := range old {
			if o.Name == g.Name {
				created.counts = o.counts
			}
		}
		ctl.groups = append(ctl.groups, created)
		ctl.reserved += g.Reserve
	}
	all := ctl.connsByAge()
	all = slices.DeleteFunc(all, func(c *Conn) bool { return c.source == nil && c.waitingSource == nil })
	for _, c := range all {
		ctl.releaseSlot(now, c)
	}
	for _, s := range ctl.sources { // no source holds a connection at this point
		i := slices.IndexFunc(ctl.groups, func(g *group) bool { return g.Name == s.key.group })
		if i < 0 || ctl.groups[i].Rate <= 0 { // without a rate limiter
			ctl.removeUnused(s)
			delete(ctl.sources, s.key)
			continue
		}
		s.group = ctl.groups[i]
	}
	for _, c := range all {
		g, _ := ctl.groupOf(c.addr, c.certificateNames)
		if c.state == waiting {
			ctl.pushWaiting(c, ctl.source(c.addr, g))
			continue
		}
		ctl.acquireSlot(c, g)
		ctl.link(c)
	}
	evict = ctl.trim(now)
	for _, g := range ctl.groups {
		for g.Deny && g.idle.first() != nil { // active connections are closed after their requests
			c := g.idle.first()
			ctl.evict(now, c)
			evict = append(evict, c)
		}
	}
	return evict
}
