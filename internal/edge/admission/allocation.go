package admission

import "time"

// allocate finds a slot for one more connection of a source. If it evicts an idle connection for the slot, it returns that connection.
// If there is no slot, ok is false, and reason says which limit was reached.
func (ctl *Controller) allocate(now time.Time, g *group, s *source) (evicted *Conn, reason Reason, ok bool) {
	switch {
	case g.Deny: // by a policy update while the connection waited
		return nil, Denied, false
	case g.MaxPerSource > 0 && s.inUse >= g.MaxPerSource:
		evicted = s.idle.first()
		reason = SourceFull
	case g.MaxConns > 0 && g.inUse >= g.MaxConns:
		evicted = ctl.evictionCandidate(now, s, func(o *group) bool { return o == g })
		reason = GroupFull
	case g.inUse < g.Reserve: // even if a policy update has reduced the capacity below the slots in use
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
// Without this limit, a source that connects in a loop takes each slot as soon as it becomes free. The limit has a cost if all clients
// share one address: a part of the capacity is never used, one slot in nine with a factor of 8.
func (ctl *Controller) withinFairShare(s *source, free int) bool {
	return ctl.policy.FreeFactor <= 0 || float64(s.inUse+1)/s.group.weight() <= ctl.policy.FreeFactor*float64(free)
}

// evictionCandidate returns the idle connection to evict for a new connection of a source, or nil. Only connections of groups that from
// accepts can be evicted.
//
// The candidate belongs to the source with the highest weighted load. Connections that never carried a request come first, then the
// connection that has been idle longest. If the load of the new connection's source, with that connection, is higher still, the source
// evicts one of its own idle connections. Without one, it may evict a connection of another source only after IdleProtection, or if that
// connection never carried a request.
//
// So a source cannot keep others out by holding many connections. Clients that share one address need a group with a higher weight.
// Otherwise their idle connections are closed before those of others while all slots are in use.
func (ctl *Controller) evictionCandidate(now time.Time, s *source, from func(*group) bool) *Conn {
	var heaviest *source
	var oldest *Conn
	for _, g := range ctl.groups {
		if !from(g) || len(g.idleSources) == 0 {
			continue
		}
		if top := g.idleSources[0]; heaviest == nil || top.weightedLoad() > heaviest.weightedLoad() ||
			top.weightedLoad() == heaviest.weightedLoad() && top.idle.first().shouldEvictBefore(heaviest.idle.first()) {
			heaviest = top
		}
		if c := g.idle.first(); oldest == nil || c.shouldEvictBefore(oldest) {
			oldest = c
		}
	}
	switch {
	case heaviest == nil:
		return nil
	case ctl.policy.BlockWhenFull: // all sources are treated alike
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

// idleGrace protects a connection that has just become idle. Its client may already be sending the next request, and could not tell
// whether the server accepted that request.
const idleGrace = 20 * time.Millisecond
