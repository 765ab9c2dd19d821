package admission

import (
	"net/netip"
	"time"
)

// Controller holds the connections of one listener. It is not safe for concurrent use, and the times passed to it must not decrease.
type Controller struct {
	policy     Policy
	groupIndex *groupIndex
	groups     []*group
	sources    map[sourceKey]*source
	conns      map[*Conn]struct{}

	inUse            int  // connections that hold a slot
	unreservedInUse  int  // of them those beyond the reserves of their groups
	reserved         int  // of all groups
	awaitingRequest  list // connections without a request whose grace is not over, the oldest first
	handshaking      list // the same, of connections whose handshake is not over
	identifying      list // admitted beyond the capacity to present a certificate, the oldest first
	identifyingCount int
	waiting          list // connections that wait for a slot, the oldest first
	waitingCount     int

	// After descriptors ran out the capacity is reduced for a while.

	reducedCapacity int
	reducedAt       time.Time

	// Sources without a connection, in the order in which they became so.

	firstUnused, lastUnused *source
	unusedCount             int
}

// Conn is a connection's state in a Controller.
type Conn struct {
	Owner any // the caller's value, not used here

	addr             netip.Addr
	certificateNames []string
	canIdentify      bool    // it begins with a TLS handshake
	source           *source // nil: it holds no slot
	waitingSource    *source // whose slot it waits for; nil: it does not wait
	state            state
	neverUsed        bool // idle, and has never carried a request
	since            time.Time
	links            [2]link // by list kind
}

// state is the state of a connection.
type state uint8

const (
	closed          state = iota // has ended, or was evicted
	identifying                  // without a slot, presents its certificate
	waiting                      // waits for a slot
	handshaking                  // holds a slot, and its handshake is not over
	awaitingRequest              // has carried no request yet
	idle
	active // a request's head has been read
)

// Verdict is the decision on a connection. Exactly one of Conn, Rejected and AskAgain is set.
type Verdict struct {
	Conn         *Conn // it is admitted
	Waiting      bool  // it has no slot yet: AdmitWaiting gives it one, ExpireWait ends its wait after RetryAfter
	MustIdentify bool  // it must present a certificate soon
	Evict        *Conn // the connection that is closed for its slot
	Rejected     bool
	Reason       Reason
	RetryAfter   time.Duration // 0: the client need not try again
	AskAgain     bool          // the caller asks again later
}

// Retry-After of a rejected connection. Slots of a full listener become free all the time; those of a source that holds its share
// become free by its own connections alone.
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

// New returns a controller without connections.
func New(p Policy, now time.Time) *Controller {
	ctl := &Controller{sources: map[sourceKey]*source{}, conns: map[*Conn]struct{}{}}
	ctl.Update(now, p)
	return ctl
}

// Admit decides on a new connection from an address. A connection that canIdentify begins with a TLS handshake, which may bring a
// certificate. The owner is kept in Conn.Owner.
func (ctl *Controller) Admit(now time.Time, address netip.Addr, canIdentify bool, owner any) Verdict {
	ctl.expireGrace(now)
	g, _ := ctl.groupOf(address, nil)
	if g.Deny {
		g.counts.Rejected[Denied]++
		return Verdict{Rejected: true, Reason: Denied}
	}
	s := ctl.source(address, g)
	if wait := s.takeRateToken(now); wait > 0 {
		ctl.keepIfUnused(s, now)
		g.counts.Rejected[RateExceeded]++
		return Verdict{Rejected: true, Reason: RateExceeded, RetryAfter: wait}
	}
	c := &Conn{Owner: owner, addr: address, canIdentify: canIdentify}
	evict, reason, ok := ctl.allocate(now, g, s)
	switch {
	case ok:
		ctl.conns[c] = struct{}{}
		ctl.acquireSlot(c, g)
		ctl.awaitRequest(now, c, canIdentify)
		g.counts.Admitted++
		return Verdict{Conn: c, Evict: evict}
	case canIdentify && ctl.admitForIdentification(now, c, &evict):
		ctl.keepIfUnused(s, now)
		return Verdict{Conn: c, MustIdentify: true, Evict: evict}
	case reason == ListenerFull && ctl.enqueue(now, c, s):
		return Verdict{Conn: c, Waiting: true, RetryAfter: ctl.policy.MaxWait}
	}
	ctl.keepIfUnused(s, now)
	if ctl.policy.BlockWhenFull && reason == ListenerFull {
		return Verdict{AskAgain: true}
	}
	g.counts.Rejected[reason]++
	return Verdict{Rejected: true, Reason: reason, RetryAfter: retryAfter(reason)}
}

// awaitRequest starts the grace of a connection with a slot: for its handshake, or for its first request.
func (ctl *Controller) awaitRequest(now time.Time, c *Conn, handshake bool) {
	c.state = awaitingRequest
	c.neverUsed = false
	c.since = now
	if handshake {
		c.state = handshaking
	}
	ctl.link(c)
}

// finishHandshake starts the grace for the first request. The handshake may have taken longer than its own grace.
func (ctl *Controller) finishHandshake(now time.Time, c *Conn) {
	if c.state == handshaking || c.state == idle && c.neverUsed {
		ctl.unlink(c)
		ctl.awaitRequest(now, c, false)
	}
}

// StartRequest records that a request's head was read. It returns false where the connection was evicted just before: the request must
// not be served.
func (ctl *Controller) StartRequest(c *Conn) bool {
	if c.state == closed {
		return false
	}
	if c.state != active && c.source != nil {
		ctl.unlink(c)
		c.source.group.active++
		c.state = active
	}
	return true
}

// EndRequest records that a connection carries no request any more. It returns false where it must be closed.
func (ctl *Controller) EndRequest(now time.Time, c *Conn) bool {
	if c.state == closed || c.source == nil {
		return false
	}
	if c.state == active {
		c.source.group.active--
	} else {
		ctl.unlink(c)
	}
	c.state = idle
	c.neverUsed = false
	c.since = now
	ctl.link(c)
	g := c.source.group
	overUnreserved := g.unreservedInUse() > 0 && ctl.unreservedInUse > ctl.unreservedCapacity(now)
	if g.Deny || overUnreserved || ctl.inUse > ctl.policy.Capacity {
		ctl.evict(now, c)
		return false
	}
	return true
}

// Remove records that a connection has ended.
func (ctl *Controller) Remove(now time.Time, c *Conn) { ctl.remove(now, c) }

// evict closes an idle connection for the slot of another.
func (ctl *Controller) evict(now time.Time, c *Conn) {
	c.source.group.counts.Evicted++
	ctl.remove(now, c)
}

// remove removes a connection from all counts and lists.
func (ctl *Controller) remove(now time.Time, c *Conn) {
	ctl.releaseSlot(now, c)
	c.state = closed
	delete(ctl.conns, c)
}

// acquireSlot gives a connection a slot of a group. It is on no list yet.
func (ctl *Controller) acquireSlot(c *Conn, g *group) {
	c.source = ctl.source(c.addr, g)
	ctl.removeUnused(c.source)
	c.source.inUse++
	if g.inUse >= g.Reserve {
		ctl.unreservedInUse++
	}
	g.inUse++
	ctl.inUse++
	if c.state == active {
		g.active++
	}
	c.source.updateHeap()
}

// releaseSlot frees a connection's slot, and removes it from its lists.
func (ctl *Controller) releaseSlot(now time.Time, c *Conn) {
	if c.state == identifying {
		ctl.identifying.remove(c, primaryList)
		ctl.identifyingCount--
	}
	if c.state == waiting {
		ctl.dequeue(now, c)
	}
	s := c.source
	if s == nil {
		return
	}
	if c.state == active {
		s.group.active--
	} else {
		ctl.unlink(c)
	}
	c.source = nil
	s.inUse--
	s.group.inUse--
	if s.group.inUse >= s.group.Reserve {
		ctl.unreservedInUse--
	}
	ctl.inUse--
	s.updateHeap()
	ctl.keepIfUnused(s, now)
}

// link puts a connection on the lists of its state.
func (ctl *Controller) link(c *Conn) {
	switch c.state {
	case awaitingRequest:
		ctl.awaitingRequest.push(c, primaryList)
	case handshaking:
		ctl.handshaking.push(c, primaryList)
	case idle:
		c.source.idle.listOf(c).push(c, primaryList)
		c.source.group.idle.listOf(c).push(c, groupIdleList)
		c.source.updateHeap()
	}
}

// unlink removes a connection from the lists of its state.
func (ctl *Controller) unlink(c *Conn) {
	switch c.state {
	case awaitingRequest:
		ctl.awaitingRequest.remove(c, primaryList)
	case handshaking:
		ctl.handshaking.remove(c, primaryList)
	case idle:
		c.source.idle.listOf(c).remove(c, primaryList)
		c.source.group.idle.listOf(c).remove(c, groupIdleList)
		c.source.updateHeap()
	}
}

// handshakeGrace is how long a handshake may take before its connection counts as idle: some round trips over a long distance.
const handshakeGrace = time.Second

// expireGrace makes connections idle that have carried no request within their grace.
func (ctl *Controller) expireGrace(now time.Time) {
	for c := ctl.handshaking.first; c != nil && now.Sub(c.since) > handshakeGrace; c = ctl.handshaking.first {
		ctl.markIdle(now, &ctl.handshaking, c)
	}
	for c := ctl.awaitingRequest.first; c != nil && now.Sub(c.since) > ctl.policy.RequestGrace; c = ctl.awaitingRequest.first {
		ctl.markIdle(now, &ctl.awaitingRequest, c)
	}
}

// markIdle moves a connection whose grace is over to the idle ones.
func (ctl *Controller) markIdle(now time.Time, from *list, c *Conn) {
	from.remove(c, primaryList)
	c.state = idle
	c.neverUsed = true
	c.since = now
	ctl.link(c)
}
