package admission

import "time"

// allocate finds a slot for one more connection of a source. Where it takes the slot of an idle connection, that one is evicted and
// returned. Without a slot ok is false, for the reason.
func (ctl *Controller) allocate(now time.Time, g *group, s *source) (evicted *Conn, reason Reason, ok bool) {
	switch {
	case g.Deny: // since it began to wait
		return nil, Denied, false
	case g.MaxPerSource > 0 && s.inUse >= g.MaxPerSource:
		evicted = s.idle.first()
		reason = SourceFull
	case g.MaxConns > 0 && g.inUse >= g.MaxConns:
		evicted = ctl.evictionCandidate(now, s, func(o *group) bool { return o == g })
		reason = GroupFull
	case g.inUse < g.Reserve: // also where a new policy has a smaller capacity than is in use
		return nil, 0, true
	case ctl.unreservedInUse < ctl.unreservedCapacity(now):
		if ctl.withinFairShare(s, ctl.unreservedCapacity(now)-ctl.unreservedInUse) {
			return nil, 0, true
		}
		evicted = s.idle.first()
		reason = SourceFull
	default:
		evicted = ctl.evictionCandidate(now, s, func(o *group) bool { return o == g || o.unreservedInUse() > 0 })
		reason = ListenerFull
	}
	if evicted == nil {
		return nil, reason, false
	}
	ctl.evict(now, evicted)
	return evicted, 0, true
}

// withinFairShare reports whether a source may take one of the free slots (dynamic thresholds: Choudhury and Hahne, 1998).
//
// Without it a source that connects in a loop takes each slot the moment it is free. Where all clients have one address, a part of the
// capacity is never used: one in nine with a factor of 8.
func (ctl *Controller) withinFairShare(s *source, free int) bool {
	return ctl.policy.FreeFactor <= 0 || float64(s.inUse+1)/s.group.weight() <= ctl.policy.FreeFactor*float64(free)
}

// evictionCandidate returns the idle connection to close for a new one, or nil. It is one of the source with the highest weighted load:
// first those that never carried a request, then the one that has been idle longest. A source whose load with the new connection is
// higher closes one of its own, and takes from others only what is idle for longer than IdleProtection.
//
// So no source keeps others out by the number of its connections. Clients behind one address get a group with a higher weight; without
// one their idle connections are closed before those of others while the capacity is used up.
func (ctl *Controller) evictionCandidate(now time.Time, s *source, from func(*group) bool) *Conn {
	var heaviest *source
	var oldest *Conn
	for _, g := range ctl.groups {
		if !from(g) || len(g.idleSources) == 0 {
			continue
		}
		if h := g.idleSources[0]; heaviest == nil || h.weightedLoad() > heaviest.weightedLoad() ||
			h.weightedLoad() == heaviest.weightedLoad() && h.idle.first().shouldEvictBefore(heaviest.idle.first()) {
			heaviest = h
		}
		if c := g.idle.first(); oldest == nil || c.shouldEvictBefore(oldest) {
			oldest = c
		}
	}
	switch {
	case heaviest == nil:
		return nil
	case ctl.policy.BlockWhenFull: // sources are not distinguished
		return oldest
	case s == nil || ctl.policy.IdleProtection == 0:
		return heaviest.idle.first()
	case heaviest.weightedLoad() >= float64(s.inUse+1)/s.group.weight():
		if c := heaviest.idle.first(); c.neverUsed || now.Sub(c.since) >= idleGrace {
			return c
		}
		return nil
	case s.idle.first() != nil:
		return s.idle.first()
	case oldest.neverUsed || now.Sub(oldest.since) >= ctl.policy.IdleProtection:
		return oldest
	}
	return nil
}

// idleGrace protects a connection that has just become idle: its client may be sending the next request, and could not know whether it
// was accepted.
const idleGrace = 20 * time.Millisecond
