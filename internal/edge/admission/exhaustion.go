package admission

import "time"

// ReduceCapacity records that the process had no descriptor for a connection. For a while the capacity is fifteen sixteenths of the
// slots in use, so that descriptors are free for connections to endpoints and for other files. It returns the idle connections that are
// evicted for that.
//
// So a configured capacity above the system's limit does no lasting harm. Clients of the evicted connections connect again.
func (ctl *Controller) ReduceCapacity(now time.Time) []*Conn {
	ctl.expireGrace(now)
	if ctl.reducedCapacity >= ctl.policy.Capacity || now.Sub(ctl.reducedAt) >= reduceInterval {
		ctl.reducedCapacity = max(ctl.inUse-max(ctl.inUse/reduceDivisor, 1), 1)
		ctl.reducedAt = now
	}
	return ctl.trim(now)
}

const (
	reduceDivisor   = 16                     // each reduction takes this part of the slots in use
	reduceInterval  = 100 * time.Millisecond // at most one reduction in this time: freed descriptors take effect after a moment
	recoverInterval = 250 * time.Millisecond // after a reduction, the time in which one part of the capacity returns
	recoverDivisor  = 32                     // the number of these parts
)

// capacity returns the current number of slots.
func (ctl *Controller) capacity(now time.Time) int {
	if ctl.reducedCapacity >= ctl.policy.Capacity {
		return ctl.policy.Capacity
	}
	back := int(now.Sub(ctl.reducedAt)/recoverInterval) * max(ctl.policy.Capacity/recoverDivisor, 1)
	return min(ctl.reducedCapacity+back, ctl.policy.Capacity)
}

// unreservedCapacity returns the current number of slots that no group reserves.
func (ctl *Controller) unreservedCapacity(now time.Time) int {
	return max(ctl.capacity(now)-ctl.reserved, 0)
}

// trim evicts idle connections until the slots in use fit into the capacity.
func (ctl *Controller) trim(now time.Time) (evict []*Conn) {
	for ctl.inUse > ctl.capacity(now) || ctl.unreservedInUse > ctl.unreservedCapacity(now) {
		c := ctl.evictionCandidate(now, nil, func(g *group) bool { return g.unreservedInUse() > 0 })
		if c == nil && ctl.inUse > ctl.policy.Capacity {
			c = ctl.evictionCandidate(now, nil, func(*group) bool { return true })
		}
		if c == nil {
			return evict
		}
		ctl.evict(now, c)
		evict = append(evict, c)
	}
	return evict
}
