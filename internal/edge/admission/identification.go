package admission

import (
	"net/netip"
	"time"
)

// MaxIdentifying returns how many connections may present their certificates at a time beyond the capacity.
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
	maxIdentifying = 256
	// identificationGrace is how long a connection has to present its certificate before another may replace it.
	identificationGrace = 250 * time.Millisecond
)

// admitForIdentification admits a connection to present its certificate. Where too many do, one of them is evicted: the oldest of the
// source with the most of them, or the oldest of all once its grace is over.
func (ctl *Controller) admitForIdentification(now time.Time, c *Conn, evict **Conn) bool {
	most := ctl.policy.MaxIdentifying()
	if most == 0 {
		return false
	}
	if ctl.identifyingCount >= most {
		of := map[netip.Prefix]int{}
		for o := ctl.identifying.first; o != nil; o = o.links[primaryList].next {
			of[ctl.prefixOf(o.addr)]++
		}
		own := of[ctl.prefixOf(c.addr)] + 1
		first := ctl.identifying.first
		for o := ctl.identifying.first; o != nil; o = o.links[primaryList].next {
			if of[ctl.prefixOf(o.addr)] > of[ctl.prefixOf(first.addr)] {
				first = o
			}
		}
		if of[ctl.prefixOf(first.addr)] <= own {
			if first = ctl.identifying.first; now.Sub(first.since) < identificationGrace {
				return false
			}
		}
		*evict = first
		ctl.remove(now, first)
	}
	c.state, c.since = identifying, now
	ctl.conns[c] = struct{}{}
	ctl.identifying.push(c, primaryList)
	ctl.identifyingCount++
	return true
}

// Identify records the names of a connection's verified certificate; none: it has presented none. A rejected connection is to be
// answered and closed. One that holds a slot keeps it.
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
	held := c.source != nil
	if held && c.source.group == g {
		ctl.finishHandshake(now, c)
		return Verdict{Conn: c}
	}
	s := ctl.source(c.addr, g)
	evict, why, ok := ctl.allocate(now, g, s)
	if !ok {
		ctl.keepIfUnused(s, now)
		if held {
			ctl.finishHandshake(now, c)
			return Verdict{Conn: c}
		}
		if !known {
			why = Unidentified
		}
		g.counts.Rejected[why]++
		ctl.remove(now, c)
		return Verdict{Rejected: true, Reason: why, RetryAfter: retryAfter(why)}
	}
	if evict == c { // its own slot, as it carried no request within its grace
		evict, c.state = nil, awaitingRequest
		ctl.conns[c] = struct{}{}
	}
	ctl.releaseSlot(now, c)
	ctl.acquireSlot(c, g)
	ctl.awaitRequest(now, c, false)
	if known {
		g.counts.Identified++
	}
	if !held {
		g.counts.Admitted++
	}
	return Verdict{Conn: c, Evict: evict}
}
