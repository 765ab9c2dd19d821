package admission

import (
	"net/netip"
	"time"
)

// Controller keeps the connections of one listener. It is not safe for use by several goroutines at once, and the times that it
// is told never go back.
type Controller struct {
	policy     Policy
	groupIndex *groupIndex
	groups     []*group
	sources    map[sourceKey]*source
	conns      map[*Conn]struct{}

	inUse            int  // places in use
	unreservedInUse  int  // of them those beyond their groups' reserves
	reserved         int  // of all groups
	awaitingRequest  list // connections that have brought no request, the oldest first; their grace is not over
	handshaking      list // likewise, of those that may still show a certificate
	identifying      list // let in beyond the places to show a certificate, the oldest first
	identifyingCount int
	waiting          list // wait for a place, the oldest first
	waitingCount     int

	// After descriptors ran out the places are fewer for a while.
	reducedCapacity int
	reducedAt       time.Time

	firstUnused, lastUnused *source
	unusedCount             int
}

// Conn is a connection as the door knows it.
type Conn struct {
	Owner any // the host's

	addr             netip.Addr
	certificateNames []string // of its certificate
	canIdentify      bool     // it begins with a handshake
	source           *source  // nil: it holds no place
	waitingSource    *source  // whose place it waits for, while it does
	state            state
	neverUsed        bool // idle, and has never brought a request
	since            time.Time
	links            [2]link // while idle; a fresh or proving one uses the first
}

type state uint8

const (
	closed          state = iota // has left, or been told to
	identifying                  // shows its certificate
	waiting                      // waits for a place
	handshaking                  // has a place, and its handshake is not over
	awaitingRequest              // has brought no request yet
	idle
	active // a request's head has been read
)

// Verdict is what becomes of a newcomer. At most one of Conn, Refused and Wait is set.
type Verdict struct {
	Conn         *Conn // it is taken
	Waiting      bool  // and has no place yet: Next tells when it has, Expire ends its wait, due after After
	MustIdentify bool  // and must show a certificate soon, or go
	Evict        *Conn // this one ends in its favour
	Rejected     bool
	Reason       Reason
	RetryAfter   time.Duration // when it may come back; 0: never
	AskAgain     bool          // ask again when something has changed
}

// When a caller is told to come back for whom there was no place: connections come and go all the time; one whose source has
// its part already, or must be known first, waits for its own.
const (
	fullRetryAfter   = 250 * time.Millisecond
	sourceRetryAfter = time.Second
)

func retryAfter(r Reason) time.Duration {
	if r == ListenerFull {
		return fullRetryAfter
	}
	return sourceRetryAfter
}

// New returns a door with no connections.
func New(p Policy, now time.Time) *Controller {
	d := &Controller{sources: map[sourceKey]*source{}, conns: map[*Conn]struct{}{}}
	d.Update(now, p)
	return d
}

// Admit decides on a connection that has come. Provable tells that it can show a certificate before it is served.
func (d *Controller) Admit(now time.Time, a netip.Addr, provable bool, host any) Verdict {
	d.expireGrace(now)
	g, _ := d.groupOf(a, nil)
	if g.Deny {
		g.counts.Rejected[Denied]++
		return Verdict{Rejected: true, Reason: Denied}
	}
	s := d.source(a, g)
	if wait := s.takeRateToken(now); wait > 0 {
		d.keepIfUnused(s, now)
		g.counts.Rejected[RateExceeded]++
		return Verdict{Rejected: true, Reason: RateExceeded, RetryAfter: wait}
	}
	c := &Conn{Owner: host, addr: a, canIdentify: provable}
	evict, why, ok := d.allocate(now, g, s)
	switch {
	case ok:
		d.conns[c] = struct{}{}
		d.occupy(c, g)
		d.awaitRequest(now, c, provable)
		g.counts.Admitted++
		return Verdict{Conn: c, Evict: evict}
	case provable && d.admitForIdentification(now, c, &evict):
		d.keepIfUnused(s, now)
		return Verdict{Conn: c, MustIdentify: true, Evict: evict}
	case why == ListenerFull && d.enqueue(now, c, s):
		return Verdict{Conn: c, Waiting: true, RetryAfter: d.policy.MaxWait}
	}
	d.keepIfUnused(s, now)
	if d.policy.BlockWhenFull && why == ListenerFull {
		return Verdict{AskAgain: true}
	}
	g.counts.Rejected[why]++
	return Verdict{Rejected: true, Reason: why, RetryAfter: retryAfter(why)}
}

// awaitRequest has a connection that has a place bring a request within its grace, after its handshake where it has one to come.
func (d *Controller) awaitRequest(now time.Time, c *Conn, handshake bool) {
	c.state, c.neverUsed, c.since = awaitingRequest, false, now
	if handshake {
		c.state = handshaking
	}
	d.link(c)
}

// finishHandshake tells that a connection's handshake is over. It may have taken longer than its grace.
func (d *Controller) finishHandshake(now time.Time, c *Conn) {
	if c.state == handshaking || c.state == idle && c.neverUsed {
		d.unlink(c)
		d.awaitRequest(now, c, false)
	}
}

// StartRequest tells that a request's head has been read. It returns false where the connection was told to end just before: what
// it brought must not be served.
func (d *Controller) StartRequest(c *Conn) bool {
	if c.state == closed {
		return false
	}
	if c.state != active && c.source != nil {
		d.unlink(c)
		c.source.group.active++
		c.state = active
	}
	return true
}

// EndRequest tells that a connection carries no request any more. It returns false where it must end now, as its place is gone.
func (d *Controller) EndRequest(now time.Time, c *Conn) bool {
	if c.state == closed || c.source == nil {
		return false
	}
	if c.state == active {
		c.source.group.active--
	} else {
		d.unlink(c)
	}
	c.state, c.neverUsed, c.since = idle, false, now
	d.link(c)
	if c.source.group.Deny || c.source.group.unreservedInUse() > 0 && d.unreservedInUse > d.unreservedCapacity(now) || d.inUse > d.policy.Capacity {
		d.evict(now, c)
		return false
	}
	return true
}

// Remove tells that a connection has ended.
func (d *Controller) Remove(now time.Time, c *Conn) { d.remove(now, c) }

func (d *Controller) evict(now time.Time, c *Conn) {
	c.source.group.counts.Evicted++
	d.remove(now, c)
}

// remove takes a connection out of all accounts.
func (d *Controller) remove(now time.Time, c *Conn) {
	d.vacate(now, c)
	c.state = closed
	delete(d.conns, c)
}

// occupy gives a connection a place in a group. It is on no list yet.
func (d *Controller) occupy(c *Conn, g *group) {
	c.source = d.source(c.addr, g)
	d.removeUnused(c.source)
	c.source.inUse++
	if g.inUse >= g.Reserve {
		d.unreservedInUse++
	}
	g.inUse++
	d.inUse++
	if c.state == active {
		g.active++
	}
	c.source.updateHeap()
}

// vacate takes a connection's place back, and takes it off its lists.
func (d *Controller) vacate(now time.Time, c *Conn) {
	if c.state == identifying {
		d.identifying.remove(c, ofSource)
		d.identifyingCount--
	}
	if c.state == waiting {
		d.dequeue(now, c)
	}
	s := c.source
	if s == nil {
		return
	}
	if c.state == active {
		s.group.active--
	} else {
		d.unlink(c)
	}
	c.source = nil
	s.inUse--
	s.group.inUse--
	if s.group.inUse >= s.group.Reserve {
		d.unreservedInUse--
	}
	d.inUse--
	s.updateHeap()
	d.keepIfUnused(s, now)
}

// link puts a connection that has entered on the lists of its state.
func (d *Controller) link(c *Conn) {
	switch c.state {
	case awaitingRequest:
		d.awaitingRequest.push(c, ofSource)
	case handshaking:
		d.handshaking.push(c, ofSource)
	case idle:
		c.source.idle.listOf(c).push(c, ofSource)
		c.source.group.idle.listOf(c).push(c, ofGroup)
		c.source.updateHeap()
	}
}

// unlink takes it off them.
func (d *Controller) unlink(c *Conn) {
	switch c.state {
	case awaitingRequest:
		d.awaitingRequest.remove(c, ofSource)
	case handshaking:
		d.handshaking.remove(c, ofSource)
	case idle:
		c.source.idle.listOf(c).remove(c, ofSource)
		c.source.group.idle.listOf(c).remove(c, ofGroup)
		c.source.updateHeap()
	}
}

// handshakeGrace is how long a handshake may take before its connection counts as idle: some round trips on a long way.
const handshakeGrace = time.Second

// expireGrace counts those as idle that have brought no request in their grace.
func (d *Controller) expireGrace(now time.Time) {
	for c := d.handshaking.first; c != nil && now.Sub(c.since) > handshakeGrace; c = d.handshaking.first {
		d.markIdle(now, &d.handshaking, c)
	}
	for c := d.awaitingRequest.first; c != nil && now.Sub(c.since) > d.policy.RequestGrace; c = d.awaitingRequest.first {
		d.markIdle(now, &d.awaitingRequest, c)
	}
}

func (d *Controller) markIdle(now time.Time, from *list, c *Conn) {
	from.remove(c, ofSource)
	c.state, c.neverUsed, c.since = idle, true, now
	d.link(c)
}
