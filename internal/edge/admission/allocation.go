package admission

import (
	"time"
)

// allocate finds a place for one more connection of a source, at the cost of an idle one where that is right.
func (d *Controller) allocate(now time.Time, g *group, s *source) (evict *Conn, why Reason, ok bool) {
	switch {
	case g.Deny: // since it got in line
		return nil, Denied, false
	case g.MaxPerSource > 0 && s.inUse >= g.MaxPerSource:
		evict, why = s.idle.first(), SourceFull
	case g.MaxConns > 0 && g.inUse >= g.MaxConns:
		evict, why = d.evictionCandidate(now, s, func(o *group) bool { return o == g }), GroupFull
	case g.inUse < g.Reserve: // also where a new policy has fewer places than are held
		return nil, 0, true
	case d.unreservedInUse < d.unreservedCapacity(now):
		if d.withinFairShare(s, d.unreservedCapacity(now)-d.unreservedInUse) {
			return nil, 0, true
		}
		evict, why = s.idle.first(), SourceFull
	default:
		evict, why = d.evictionCandidate(now, s, func(o *group) bool { return o == g || o.unreservedInUse() > 0 }), ListenerFull
	}
	if evict == nil {
		return nil, why, false
	}
	d.evict(now, evict)
	return evict, 0, true
}

// withinFairShare tells whether a source may have one of the places that are free.
//
// It guards against a source that takes each place the moment that it comes free, as one that asks without pause does. It
// could hurt where all callers come from one address: a part of the places, one in nine with a factor of 8, is never used.
func (d *Controller) withinFairShare(s *source, free int) bool {
	return d.policy.FreeFactor <= 0 || float64(s.inUse+1)/s.group.weight() <= d.policy.FreeFactor*float64(free)
}

// evictionCandidate returns the idle connection that ends in favour of a newcomer, or nil. It is the heaviest source's that has been
// idle longest, one that never brought a request before others. A source that holds more than that one after the newcomer
// gives one of its own, and may take from others only what their guard no longer keeps.
//
// It guards against callers who keep others out by the number of their connections; many behind one address are told from
// them by their group's weight. It could hurt many behind an address that nobody has named, in a shortage only: their idle
// connections end before those of others.
func (d *Controller) evictionCandidate(now time.Time, s *source, from func(*group) bool) *Conn {
	var heaviest *source
	var oldest *Conn
	for _, g := range d.groups {
		if !from(g) || len(g.heaviest) == 0 {
			continue
		}
		if h := g.heaviest[0]; heaviest == nil || h.weightedLoad() > heaviest.weightedLoad() ||
			h.weightedLoad() == heaviest.weightedLoad() && h.idle.first().endsBefore(heaviest.idle.first()) {
			heaviest = h
		}
		if c := g.idle.first(); oldest == nil || c.endsBefore(oldest) {
			oldest = c
		}
	}
	switch {
	case heaviest == nil:
		return nil
	case d.policy.BlockWhenFull: // all stand in one line, whoever they are
		return oldest
	case s == nil || d.policy.IdleProtection == 0:
		return heaviest.idle.first()
	case heaviest.weightedLoad() >= float64(s.inUse+1)/s.group.weight():
		if c := heaviest.idle.first(); c.neverUsed || now.Sub(c.since) >= idleGrace {
			return c
		}
		return nil
	case s.idle.first() != nil:
		return s.idle.first()
	case oldest.neverUsed || now.Sub(oldest.since) >= d.policy.IdleProtection:
		return oldest
	}
	return nil
}

// idleGrace is how long a connection has been idle at the least: its caller may be sending the next request just now, and would
// not know whether it was taken.
const idleGrace = 20 * time.Millisecond
