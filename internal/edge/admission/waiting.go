package admission

import (
	"time"
)

// enqueue has a newcomer wait for a place, if its source holds none and has nobody in line yet, for each of its weight.
//
// It guards against a quarter of a second's absence for a place that is free a moment later. It could hurt where places come
// free more slowly than its patience: then it holds descriptors in vain, which are bounded.
func (d *Controller) enqueue(now time.Time, c *Conn, s *source) bool {
	if d.policy.MaxWait <= 0 || d.waitingCount >= d.policy.MaxWaiting || s.inUse > 0 || float64(s.waiting) >= s.group.weight() || d.capacity(now) < d.policy.Capacity {
		return false
	}
	c.state, c.since = waiting, now
	d.conns[c] = struct{}{}
	d.pushWaiting(c, s)
	return true
}

// pushWaiting puts a connection at the end of the line, for a place of a source.
func (d *Controller) pushWaiting(c *Conn, s *source) {
	c.waitingSource = s
	s.waiting++
	d.removeUnused(s)
	d.waiting.push(c, ofSource)
	d.waitingCount++
}

// dequeue takes a connection out of the line.
func (d *Controller) dequeue(now time.Time, c *Conn) {
	d.waiting.remove(c, ofSource)
	d.waitingCount--
	s := c.waitingSource
	c.waitingSource = nil
	s.waiting--
	d.keepIfUnused(s, now)
}

// AdmitWaiting gives places to those in line, as long as there are any, the oldest first. It is to be called after all that may
// have freed one. What is taken is to be served now, and what is evicted ends.
func (d *Controller) AdmitWaiting(now time.Time) (taken, evicted []*Conn) {
	if d.waitingCount == 0 {
		return nil, nil
	}
	d.expireGrace(now)
	for c := d.waiting.first; c != nil; c = d.waiting.first {
		s := c.waitingSource
		evict, _, ok := d.allocate(now, s.group, s)
		if !ok {
			break
		}
		if evict != nil {
			evicted = append(evicted, evict)
		}
		d.dequeue(now, c)
		d.occupy(c, s.group)
		d.awaitRequest(now, c, c.canIdentify)
		c.source.group.counts.Admitted++
		taken = append(taken, c)
	}
	return taken, evicted
}

// ExpireWait tells that a connection's patience in line is over. It is refused where it still waits.
func (d *Controller) ExpireWait(now time.Time, c *Conn) Verdict {
	if c.state != waiting {
		return Verdict{Conn: c}
	}
	g := c.waitingSource.group
	g.counts.Rejected[ListenerFull]++
	d.remove(now, c)
	return Verdict{Rejected: true, Reason: ListenerFull, RetryAfter: fullRetryAfter}
}
