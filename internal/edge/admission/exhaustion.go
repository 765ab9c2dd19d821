package admission

import (
	"time"
)

// ReduceCapacity tells that the process had no descriptor for a connection. For a while there are fewer places: a sixteenth of those
// in use is given back for connections to endpoints and for what else the process must open. It returns the idle
// connections that end for that.
//
// It guards against a bound on connections that is higher than what the system grants. It could hurt by ending kept
// connections that would have been used again: their callers connect anew.
func (ctl *Controller) ReduceCapacity(now time.Time) []*Conn {
	ctl.expireGrace(now)
	if ctl.reducedCapacity >= ctl.policy.Capacity || now.Sub(ctl.reducedAt) >= reduceInterval {
		ctl.reducedCapacity, ctl.reducedAt = max(ctl.inUse-max(ctl.inUse/16, 1), 1), now
	}
	return ctl.trim(now)
}

const (
	reduceInterval  = 100 * time.Millisecond // the places fall once; what is freed takes a moment to be felt
	recoverInterval = 250 * time.Millisecond // after a shortage a
	recoverDivisor  = 32                     // thirty-second of the places comes back so often
)

// capacity returns how many there are now.
func (ctl *Controller) capacity(now time.Time) int {
	if ctl.reducedCapacity >= ctl.policy.Capacity {
		return ctl.policy.Capacity
	}
	back := int(now.Sub(ctl.reducedAt)/recoverInterval) * max(ctl.policy.Capacity/recoverDivisor, 1)
	return min(ctl.reducedCapacity+back, ctl.policy.Capacity)
}

// unreservedCapacity returns how many places are nobody's.
func (ctl *Controller) unreservedCapacity(now time.Time) int {
	return max(ctl.capacity(now)-ctl.reserved, 0)
}

// trim ends idle connections until no more are held than there are places for.
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
