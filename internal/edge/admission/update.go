package admission

import (
	"slices"
	"time"
)

// Update puts another policy in force. Connections are of the groups that it says; those over its bounds are returned, as
// far as they are idle, and are to be ended.
func (d *Controller) Update(now time.Time, p Policy) (evict []*Conn) {
	old := d.groups
	d.policy, d.groupIndex, d.groups, d.reserved = p, newGroupIndex(p.Groups), nil, 0
	d.reducedCapacity = p.Capacity
	for _, g := range p.Groups {
		is := &group{Group: g}
		for _, o := range old {
			if o.Name == g.Name {
				is.counts = o.counts
			}
		}
		d.groups = append(d.groups, is)
		d.reserved += g.Reserve
	}
	all := d.connsByAge()
	all = slices.DeleteFunc(all, func(c *Conn) bool { return c.source == nil && c.waitingSource == nil })
	for _, c := range all {
		d.vacate(now, c)
	}
	for _, s := range d.sources { // they hold nothing now
		i := slices.IndexFunc(d.groups, func(g *group) bool { return g.Name == s.key.group })
		if i < 0 || d.groups[i].Rate <= 0 { // nothing to remember
			d.removeUnused(s)
			delete(d.sources, s.key)
			continue
		}
		s.group = d.groups[i]
	}
	for _, c := range all {
		g, _ := d.groupOf(c.addr, c.certificateNames)
		if c.state == waiting {
			d.pushWaiting(c, d.source(c.addr, g))
			continue
		}
		d.occupy(c, g)
		d.link(c)
	}
	evict = d.trim(now)
	for _, g := range d.groups {
		for g.Deny && g.idle.first() != nil { // those at work end when they rest
			c := g.idle.first()
			d.evict(now, c)
			evict = append(evict, c)
		}
	}
	return evict
}
