package admission

import (
	"net/netip"
	"time"
)

// MaxIdentifying is how many connections may show their certificates at a time beyond the places.
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
	// identificationGrace is how long a newcomer has to show its certificate before another may take its turn.
	identificationGrace = 250 * time.Millisecond
)

// admitForIdentification lets a connection in to show its certificate. Where too many do, the one ends that came first of those whose
// source has most of them, or the first of all if its time was enough.
func (d *Controller) admitForIdentification(now time.Time, c *Conn, evict **Conn) bool {
	most := d.policy.MaxIdentifying()
	if most == 0 {
		return false
	}
	if d.identifyingCount >= most {
		of := map[netip.Prefix]int{}
		for o := d.identifying.first; o != nil; o = o.links[ofSource].next {
			of[d.prefixOf(o.addr)]++
		}
		own := of[d.prefixOf(c.addr)] + 1
		first := d.identifying.first
		for o := d.identifying.first; o != nil; o = o.links[ofSource].next {
			if of[d.prefixOf(o.addr)] > of[d.prefixOf(first.addr)] {
				first = o
			}
		}
		if of[d.prefixOf(first.addr)] <= own {
			if first = d.identifying.first; now.Sub(first.since) < identificationGrace {
				return false
			}
		}
		*evict = first
		d.remove(now, first)
	}
	c.state, c.since = identifying, now
	d.conns[c] = struct{}{}
	d.identifying.push(c, ofSource)
	d.identifyingCount++
	return true
}

// Identify tells the names of a connection's certificate, which has been verified; none: it has shown none. Where it is
// refused it is to be ended, with an answer. One that holds a place keeps it.
func (d *Controller) Identify(now time.Time, c *Conn, names []string) Verdict {
	d.expireGrace(now)
	if c.state == closed {
		return Verdict{Rejected: true, Reason: Unidentified, RetryAfter: sourceRetryAfter}
	}
	g, known := d.groupOf(c.addr, names)
	if c.state != identifying && !known {
		d.finishHandshake(now, c)
		return Verdict{Conn: c}
	}
	c.certificateNames = names
	if g.Deny {
		g.counts.Rejected[Denied]++
		d.remove(now, c)
		return Verdict{Rejected: true, Reason: Denied}
	}
	held := c.source != nil
	if held && c.source.group == g {
		d.finishHandshake(now, c)
		return Verdict{Conn: c}
	}
	s := d.source(c.addr, g)
	evict, why, ok := d.allocate(now, g, s)
	if !ok {
		d.keepIfUnused(s, now)
		if held {
			d.finishHandshake(now, c)
			return Verdict{Conn: c}
		}
		if !known {
			why = Unidentified
		}
		g.counts.Rejected[why]++
		d.remove(now, c)
		return Verdict{Rejected: true, Reason: why, RetryAfter: retryAfter(why)}
	}
	if evict == c { // its own place, as it brought no request in its grace
		evict, c.state = nil, awaitingRequest
		d.conns[c] = struct{}{}
	}
	d.vacate(now, c)
	d.occupy(c, g)
	d.awaitRequest(now, c, false)
	if known {
		g.counts.Identified++
	}
	if !held {
		g.counts.Admitted++
	}
	return Verdict{Conn: c, Evict: evict}
}
