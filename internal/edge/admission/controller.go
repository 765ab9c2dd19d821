package admission

import (
	"net/netip"
	"time"
)

// Controller decides on the connections of one listener and keeps their states. It is not safe for concurrent use. The times passed to
// its methods must not decrease.
type Controller struct {
	policy     Policy
	groupIndex *groupIndex
	groups     []*group
	sources    map[sourceKey]*source
	conns      map[*Conn]struct{}

	inUse            int  // connections that hold a slot
	unreservedInUse  int  // slots in use beyond the reserves of their groups
	reserved         int  // sum of the reserves of all groups
	awaitingRequest  list // connections within RequestGrace that have carried no request, the oldest first
	handshaking      list // connections within handshakeGrace whose handshake is not complete, the oldest first
	identifying      list // connections admitted beyond the capacity to present a certificate, the oldest first
	identifyingCount int
	waiting          list // connections that wait for a slot, the oldest first
	waitingCount     int

	// Reduced capacity after file descriptors ran out, and the time of the reduction. The capacity then recovers step by step.

	reducedCapacity int
	reducedAt       time.Time

	// Linked list of the sources without connections, the longest unused first.

	firstUnused, lastUnused *source
	unusedCount             int
}

// Conn is a connection's state in a Controller.
type Conn struct {
	Owner any // the caller's value, not used here

	addr             netip.Addr
	certificateNames []string
	canIdentify      bool    // it begins with a TLS handshake, which may present a certificate
	source           *source // nil: it holds no slot
	waitingSource    *source // the source for which it waits for a slot; nil: it does not wait
	state            state
	neverUsed        bool      // idle, and has never carried a request
	since            time.Time // when its wait, identification, grace or idle time began
	links            [2]link   // indexed by the kind of list
}

// state is the state of a connection.
type state uint8

const (
	closed          state = iota // has ended, or was evicted or rejected
	identifying                  // holds no slot, and has to present its certificate
	waiting                      // holds no slot, and waits for one
	handshaking                  // holds a slot, and its handshake is not complete
	awaitingRequest              // holds a slot, and is within its grace for the first request
	idle
	active // a request's head has been read
)

// Verdict is the decision on a connection. Exactly one of Conn, Rejected and AskAgain is set.
type Verdict struct {
	Conn         *Conn // the connection, if it is admitted or waits for a slot
	Waiting      bool  // Conn has no slot yet: AdmitWaiting may give it one, and the caller calls ExpireWait after RetryAfter
	MustIdentify bool  // Conn has no slot, and must present a certificate soon
	Evict        *Conn // the connection that was evicted for Conn; the caller closes it
	Rejected     bool
	Reason       Reason
	RetryAfter   time.Duration // when a rejected client may retry, 0 if it need not; the maximum wait of a waiting connection
	AskAgain     bool          // the listener is full and BlockWhenFull is set: the caller calls Admit again later
}

// Retry-After of a rejected connection. On a full listener any connection may free a slot, so slots become free all the time. A source
// that holds its share gets a slot only when one of its own connections frees one. sourceRetryAfter also
// applies to full groups and to connections without a known certificate.
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

// Admit decides on a new connection from an address. canIdentify says that the connection begins with a TLS handshake, in which the
// client may present a certificate. The owner is kept in Conn.Owner.
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

// awaitRequest starts the grace of a connection that holds a slot: handshakeGrace for a handshake, or RequestGrace for its first request.
func (ctl *Controller) awaitRequest(now time.Time, c *Conn, handshake bool) {
	c.state = awaitingRequest
	c.neverUsed = false
	c.since = now
	if handshake {
		c.state = handshaking
	}
	ctl.link(c)
}

// finishHandshake starts the grace for the first request after the handshake. It also does so for a connection that counts as idle
// because its handshake took longer than handshakeGrace.
func (ctl *Controller) finishHandshake(now time.Time, c *Conn) {
	if c.state == handshaking || c.state == idle && c.neverUsed {
		ctl.unlink(c)
		ctl.awaitRequest(now, c, false)
	}
}

// StartRequest records that the head of a request was read. It returns false if the connection was evicted just before; the request must
// then not be served.
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

// EndRequest records that a connection no longer carries a request. It returns false if the caller must close the connection.
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

// Remove records that a connection has ended. Further calls for it have no effect.
func (ctl *Controller) Remove(now time.Time, c *Conn) { ctl.remove(now, c) }

// evict removes an idle connection and counts it as evicted. The caller closes it.
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

// acquireSlot gives a connection a slot of a group. The connection must not be on any list.
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

// releaseSlot frees the slot of a connection, if it holds one, and removes the connection from all lists.
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

// handshakeGrace is how long a handshake may take before its connection counts as idle. It allows some round trips over a long distance.
const handshakeGrace = time.Second

// expireGrace moves connections whose grace is over without a request to the idle ones.
func (ctl *Controller) expireGrace(now time.Time) {
	for c := ctl.handshaking.first; c != nil && now.Sub(c.since) > handshakeGrace; c = ctl.handshaking.first {
		ctl.markIdle(now, &ctl.handshaking, c)
	}
	for c := ctl.awaitingRequest.first; c != nil && now.Sub(c.since) > ctl.policy.RequestGrace; c = ctl.awaitingRequest.first {
		ctl.markIdle(now, &ctl.awaitingRequest, c)
	}
}

// markIdle moves a connection whose grace is over from a list to the idle connections that never carried a request.
func (ctl *Controller) markIdle(now time.Time, from *list, c *Conn) {
	from.remove(c, primaryList)
	c.state = idle
	c.neverUsed = true
	c.since = now
	ctl.link(c)
}
