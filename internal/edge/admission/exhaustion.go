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
func (d *Controller) ReduceCapacity(now time.Time) []*Conn {
	d.expireGrace(now)
	if d.reducedCapacity >= d.policy.Capacity || now.Sub(d.reducedAt) >= reduceInterval {
		d.reducedCapacity, d.reducedAt = max(d.inUse-max(d.inUse/16, 1), 1), now
	}
	return d.trim(now)
}

const (
	reduceInterval  = 100 * time.Millisecond // the places fall once; what is freed takes a moment to be felt
	recoverInterval = 250 * time.Millisecond // after a shortage a
	recoverDivisor  = 32                     // thirty-second of the places comes back so often
)

// capacity returns how many there are now.
func (d *Controller) capacity(now time.Time) int {
	if d.reducedCapacity >= d.policy.Capacity {
		return d.policy.Capacity
	}
	back := int(now.Sub(d.reducedAt)/recoverInterval) * max(d.policy.Capacity/recoverDivisor, 1)
	return min(d.reducedCapacity+back, d.policy.Capacity)
}

// unreservedCapacity returns how many places are nobody's.
func (d *Controller) unreservedCapacity(now time.Time) int { return max(d.capacity(now)-d.reserved, 0) }

// trim ends idle connections until no more are held than there are places for.
func (d *Controller) trim(now time.Time) (evict []*Conn) {
	for d.inUse > d.capacity(now) || d.unreservedInUse > d.unreservedCapacity(now) {
		c := d.evictionCandidate(now, nil, func(g *group) bool { return g.unreservedInUse() > 0 })
		if c == nil && d.inUse > d.policy.Capacity {
			c = d.evictionCandidate(now, nil, func(*group) bool { return true })
		}
		if c == nil {
			return evict
		}
		d.evict(now, c)
		evict = append(evict, c)
	}
	return evict
}
