package admission

import (
	"net/netip"
	"time"
)

// MaxIdentifying returns how many connections may be admitted beyond the capacity at a time to present their certificates.
func (p *Policy) MaxIdentifying() int {
	n := 0
	for _, g := range p.Groups {
		if len(g.CertificateNames) > 0 {
			n += max(g.Reserve, 1)
		}
	}
	return min(n, maxIdentifying)
}

const (
	// maxIdentifying bounds MaxIdentifying for large reserves.
	maxIdentifying = 256
	// identificationGrace is how long a connection has to present its certificate before another may replace it.
	identificationGrace = 250 * time.Millisecond
)

// admitForIdentification admits a connection beyond the capacity to present its certificate. If MaxIdentifying connections do so already,
// it evicts the oldest one of the source with the most of them. If no source would have more of them than the new connection's, it evicts
// the oldest of all, provided that its identificationGrace is over.
func (ctl *Controller) admitForIdentification(now time.Time, c *Conn, evict **Conn) bool {
	limit := ctl.policy.MaxIdentifying()
	if limit == 0 {
		return false
	}
	if ctl.identifyingCount >= limit {
		connsPerPrefix := map[netip.Prefix]int{}
		for o := ctl.identifying.first; o != nil; o = o.links[primaryList].next {
			connsPerPrefix[ctl.prefixOf(o.addr)]++
		}
		ownCount := connsPerPrefix[ctl.prefixOf(c.addr)] + 1
		candidate := ctl.identifying.first
		for o := ctl.identifying.first; o != nil; o = o.links[primaryList].next {
			if connsPerPrefix[ctl.prefixOf(o.addr)] > connsPerPrefix[ctl.prefixOf(candidate.addr)] {
				candidate = o
			}
		}
		if connsPerPrefix[ctl.prefixOf(candidate.addr)] <= ownCount {
			if candidate = ctl.identifying.first; now.Sub(candidate.since) < identificationGrace {
				return false
			}
		}
		*evict = candidate
		ctl.remove(now, candidate)
	}
	c.state, c.since = identifying, now
	ctl.conns[c] = struct{}{}
	ctl.identifying.push(c, primaryList)
	ctl.identifyingCount++
	return true
}

// Identify records the names of a connection's verified certificate; names is empty if the client presented none. The caller sends a
// response on a rejected connection and closes it. A connection that holds a slot is rejected only if its group is denied.
func (ctl *Controller) Identify(now time.Time, c *Conn, names []string) Verdict {
	ctl.expireGrace(now)
	if c.state == closed {
		return Verdict{Rejected: true, Reason: Unidentified, RetryAfter: sourceRetryAfter}
	}
	g, known := ctl.groupOf(c.addr, names)
	if c.state != identifying && !known {
		ctl.finishHandshake(now, c)
		return Verdict{Conn: c}
	}
	c.certificateNames = names
	if g.Deny {
		g.counts.Rejected[Denied]++
		ctl.remove(now, c)
		return Verdict{Rejected: true, Reason: Denied}
	}
	hadSlot := c.source != nil
	if hadSlot && c.source.group == g {
		ctl.finishHandshake(now, c)
		return Verdict{Conn: c}
	}
	s := ctl.source(c.addr, g)
	evict, reason, ok := ctl.allocate(now, g, s)
	if !ok {
		ctl.keepIfUnused(s, now)
		if hadSlot {
			ctl.finishHandshake(now, c)
			return Verdict{Conn: c}
		}
		if !known {
			reason = Unidentified
		}
		g.counts.Rejected[reason]++
		ctl.remove(now, c)
		return Verdict{Rejected: true, Reason: reason, RetryAfter: retryAfter(reason)}
	}
	if evict == c { // the connection was its own candidate, as it carried no request within its grace
		evict, c.state = nil, awaitingRequest
		ctl.conns[c] = struct{}{}
	}
	ctl.releaseSlot(now, c)
	ctl.acquireSlot(c, g)
	ctl.awaitRequest(now, c, false)
	if known {
		g.counts.Identified++
	}
	if !hadSlot {
		g.counts.Admitted++
	}
	return Verdict{Conn: c, Evict: evict}
}
