package admission

import "time"

// ReduceCapacity records that the process had no file descriptor for a connection. It reduces the capacity to fifteen sixteenths of the
// slots in use, so that descriptors are free for connections to endpoints and for other files. The capacity then recovers step by step.
// ReduceCapacity returns the idle connections that it evicted, which the caller closes.
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
	reduceDivisor   = 16                     // each reduction takes one in this many of the slots in use
	reduceInterval  = 100 * time.Millisecond // minimum between two reductions: evicted connections free their descriptors after a moment
	recoverInterval = 250 * time.Millisecond // after a reduction, one part of the capacity returns in each such interval
	recoverDivisor  = 32                     // number of parts into which the capacity is divided for recovery
)

// capacity returns the current number of slots.
func (ctl *Controller) capacity(now time.Time) int {
	if ctl.reducedCapacity >= ctl.policy.Capacity {
		return ctl.policy.Capacity
	}
	recovered := int(now.Sub(ctl.reducedAt)/recoverInterval) * max(ctl.policy.Capacity/recoverDivisor, 1)
	return min(ctl.reducedCapacity+recovered, ctl.policy.Capacity)
}

// unreservedCapacity returns the current number of slots outside the reserves of all groups.
func (ctl *Controller) unreservedCapacity(now time.Time) int {
	return max(ctl.capacity(now)-ctl.reserved, 0)
}

// trim evicts idle connections until the slots in use fit into the capacity, or no connection can be evicted.
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
