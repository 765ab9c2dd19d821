package admission

import "time"

// enqueue lets a new connection wait for a slot, if its source holds none and has fewer connections waiting than its weight.
//
// A slot is often free a moment later, sooner than a rejected client returns. Where slots become free more slowly than MaxWait, waiting
// connections hold descriptors without gain; their number is bounded.
func (ctl *Controller) enqueue(now time.Time, c *Conn, s *source) bool {
	switch {
	case ctl.policy.MaxWait <= 0 || ctl.waitingCount >= ctl.policy.MaxWaiting:
		return false
	case s.inUse > 0 || float64(s.waiting) >= s.group.weight():
		return false
	case ctl.capacity(now) < ctl.policy.Capacity: // descriptors are exhausted
		return false
	}
	c.state = waiting
	c.since = now
	ctl.conns[c] = struct{}{}
	ctl.pushWaiting(c, s)
	return true
}

// pushWaiting appends a connection to those that wait, for a slot of a source.
func (ctl *Controller) pushWaiting(c *Conn, s *source) {
	c.waitingSource = s
	s.waiting++
	ctl.removeUnused(s)
	ctl.waiting.push(c, primaryList)
	ctl.waitingCount++
}

// dequeue removes a connection from those that wait.
func (ctl *Controller) dequeue(now time.Time, c *Conn) {
	ctl.waiting.remove(c, primaryList)
	ctl.waitingCount--
	s := c.waitingSource
	c.waitingSource = nil
	s.waiting--
	ctl.keepIfUnused(s, now)
}

// AdmitWaiting gives free slots to waiting connections, the oldest first. It must be called after whatever may have freed a slot. The
// caller serves the admitted connections and closes the evicted ones.
func (ctl *Controller) AdmitWaiting(now time.Time) (admitted, evicted []*Conn) {
	if ctl.waitingCount == 0 {
		return nil, nil
	}
	ctl.expireGrace(now)
	for c := ctl.waiting.first; c != nil; c = ctl.waiting.first {
		s := c.waitingSource
		evict, _, ok := ctl.allocate(now, s.group, s)
		if !ok {
			break
		}
		if evict != nil {
			evicted = append(evicted, evict)
		}
		ctl.dequeue(now, c)
		ctl.acquireSlot(c, s.group)
		ctl.awaitRequest(now, c, c.canIdentify)
		c.source.group.counts.Admitted++
		admitted = append(admitted, c)
	}
	return admitted, evicted
}

// ExpireWait rejects a connection that still waits after MaxWait.
func (ctl *Controller) ExpireWait(now time.Time, c *Conn) Verdict {
	if c.state != waiting {
		return Verdict{Conn: c}
	}
	g := c.waitingSource.group
	g.counts.Rejected[ListenerFull]++
	ctl.remove(now, c)
	return Verdict{Rejected: true, Reason: ListenerFull, RetryAfter: fullRetryAfter}
}
