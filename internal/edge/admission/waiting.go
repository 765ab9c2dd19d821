package admission

import "time"

// enqueue lets a new connection wait for a slot if its source holds no slot and has fewer waiting connections than its weight. It returns
// false if the connection may not wait.
//
// A slot often becomes free within a moment, before a rejected client would retry. If slots become free more slowly than within MaxWait,
// waiting connections hold file descriptors in vain, so their number is bounded.
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

// pushWaiting appends a connection to the list of waiting ones, and counts it for its source.
func (ctl *Controller) pushWaiting(c *Conn, s *source) {
	c.waitingSource = s
	s.waiting++
	ctl.removeUnused(s)
	ctl.waiting.push(c, primaryList)
	ctl.waitingCount++
}

// dequeue removes a connection from the list of waiting ones.
func (ctl *Controller) dequeue(now time.Time, c *Conn) {
	ctl.waiting.remove(c, primaryList)
	ctl.waitingCount--
	s := c.waitingSource
	c.waitingSource = nil
	s.waiting--
	ctl.keepIfUnused(s, now)
}

// AdmitWaiting gives slots to waiting connections, the oldest first, until there is no slot for the next one. It must be called after each
// event that may have freed a slot. The caller serves the admitted connections and closes the evicted ones.
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

// ExpireWait rejects a connection that still waits after MaxWait. It changes nothing for other connections.
func (ctl *Controller) ExpireWait(now time.Time, c *Conn) Verdict {
	if c.state != waiting {
		return Verdict{Conn: c}
	}
	g := c.waitingSource.group
	g.counts.Rejected[ListenerFull]++
	ctl.remove(now, c)
	return Verdict{Rejected: true, Reason: ListenerFull, RetryAfter: fullRetryAfter}
}
