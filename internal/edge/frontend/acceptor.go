package frontend

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/base/exhaustion"
	"silvertrail/internal/edge/admission"
)

// acceptor accepts a listener's connections and runs the admission controller on them.
type acceptor struct {
	listener    net.Listener
	tlsConfig   atomic.Pointer[TLSConfig] // nil without TLS
	onExhausted atomic.Pointer[func()]
	serve       func(*clientConn) // serves connections that are admitted after a wait
	heads       *headMemory       // nil: unlimited
	rejections  rejectionCounters

	mu            sync.Mutex
	controller    *admission.Controller
	undecided     int  // accepted connections that wait for a decision in admit
	tickScheduled bool // tick is scheduled

	// spareDescriptor is closed when no other descriptor is free, so that a connection can be accepted, if only to be rejected. It is
	// used by the accepting goroutine alone.
	spareDescriptor *os.File
	spareUsed       atomic.Bool

	lingering lingeringConns
}

// admitInterval is the interval at which waiting connections are considered for a slot. Slots also become free as time passes.
const admitInterval = 5 * time.Millisecond

func newAcceptor(l net.Listener, p admission.Policy, serve func(*clientConn)) *acceptor {
	return &acceptor{listener: l, controller: admission.New(p, time.Now()), serve: serve}
}

// setPolicy replaces the admission policy and closes the connections that the new policy evicts.
func (a *acceptor) setPolicy(p admission.Policy) {
	a.mu.Lock()
	evicted := a.controller.Update(time.Now(), p)
	admitWaiting := a.admitWaiting()
	a.mu.Unlock()
	closeEvicted(evicted)
	admitWaiting()
}

// freeDescriptors closes idle connections after file descriptors were exhausted, and returns the number of closed connections.
func (a *acceptor) freeDescriptors() int {
	a.mu.Lock()
	evicted := a.controller.ReduceCapacity(time.Now())
	a.mu.Unlock()
	closeEvicted(evicted)
	return len(evicted)
}

// closeEvicted closes connections that the controller has evicted. The caller must not hold a.mu.
func closeEvicted(evicted []*admission.Conn) {
	for _, c := range evicted {
		c.Owner.(*clientConn).Close()
	}
}

// admitWaiting assigns free slots to waiting connections. The caller holds a.mu, and calls the returned function after releasing it. That
// function closes evicted connections and starts serving admitted ones.
func (a *acceptor) admitWaiting() func() {
	admitted, evicted := a.controller.AdmitWaiting(time.Now())
	if len(admitted)+len(evicted) == 0 {
		return func() {}
	}
	return func() {
		closeEvicted(evicted)
		for _, c := range admitted {
			go a.serve(c.Owner.(*clientConn))
		}
	}
}

// tick assigns slots that became free as time passed. It schedules itself again while connections wait.
func (a *acceptor) tick() {
	a.mu.Lock()
	admitWaiting := a.admitWaiting()
	a.tickScheduled = a.controller.Waiting() > 0
	if a.tickScheduled {
		time.AfterFunc(admitInterval, a.tick)
	}
	a.mu.Unlock()
	admitWaiting()
}

// expireWait rejects a connection that has waited too long for a slot.
func (a *acceptor) expireWait(c *clientConn) {
	a.mu.Lock()
	v := a.controller.ExpireWait(time.Now(), c.slot)
	a.mu.Unlock()
	if v.Rejected {
		a.reject(c, v)
	}
}

// rejectWaiting rejects all connections that wait for a slot.
func (a *acceptor) rejectWaiting() {
	for _, c := range a.conns() {
		a.expireWait(c)
	}
}

// accept returns the next connection that is admitted at once. It responds to rejected connections and closes them.
func (a *acceptor) accept() (*clientConn, error) {
	for {
		nc, err := a.acceptOne()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(nc, a)
		if err != nil {
			return nil, err
		}
		if a.admit(c) {
			return c, nil
		}
	}
}

// acceptOne accepts a connection. If no descriptor is free, it first closes idle connections, then the spare descriptor.
func (a *acceptor) acceptOne() (net.Conn, error) {
	if a.spareDescriptor == nil {
		a.spareDescriptor, _ = os.Open(os.DevNull) // if it fails, the next call tries again
		a.spareUsed.Store(a.spareDescriptor == nil)
	}
	nc, err := a.listener.Accept()
	if !exhaustion.Is(err) {
		return nc, err
	}
	a.freeDescriptors()
	if onExhausted := a.onExhausted.Load(); onExhausted != nil {
		(*onExhausted)()
	}
	if nc, err = a.listener.Accept(); !exhaustion.Is(err) || a.spareDescriptor == nil {
		return nc, err
	}
	a.spareDescriptor.Close()
	a.spareDescriptor = nil
	a.spareUsed.Store(true)
	return a.listener.Accept()
}

// admit asks the controller to admit a connection. It returns false if the connection was rejected or waits for a slot.
func (a *acceptor) admit(c *clientConn) bool {
	isUndecided := false
	for {
		v := a.decide(c, &isUndecided)
		if v.Evict != nil {
			closeEvicted([]*admission.Conn{v.Evict})
		}
		switch {
		case v.AskAgain && !a.lingering.isClosed():
			time.Sleep(admitInterval)
		case v.AskAgain:
			a.mu.Lock()
			a.undecided--
			a.mu.Unlock()
			c.Close()
			return false
		case v.Rejected:
			a.reject(c, v)
			return false
		case v.Waiting:
			time.AfterFunc(v.RetryAfter, func() { a.expireWait(c) })
			return false
		default:
			return true
		}
	}
}

// decide asks the controller for a verdict on a connection, and keeps the count of undecided connections.
func (a *acceptor) decide(c *clientConn, isUndecided *bool) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.controller.Admit(time.Now(), c.remoteIP, c.tlsConfig != nil, c)
	c.slot = v.Conn
	c.mustIdentify = v.MustIdentify
	if v.Waiting && !a.tickScheduled {
		a.tickScheduled = true
		time.AfterFunc(admitInterval, a.tick)
	}
	switch {
	case v.AskAgain && !*isUndecided:
		a.undecided++
	case !v.AskAgain && *isUndecided:
		a.undecided--
	}
	*isUndecided = v.AskAgain
	return v
}

// conns returns the connections that are open or wait for a slot.
func (a *acceptor) conns() []*clientConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var open []*clientConn
	for _, c := range a.controller.Conns() {
		open = append(open, c.Owner.(*clientConn))
	}
	return open
}

// closeAll closes all connections.
func (a *acceptor) closeAll() {
	a.mu.Lock()
	all := a.controller.Conns()
	a.mu.Unlock()
	closeEvicted(all)
	a.lingering.close()
}

// closeIdle has at most limit idle connections closed. It skips new connections that have not sent a request yet, and connections with
// unread input, which may be part of a request. The goroutine that reads from a connection closes it, because nobody else knows whether a
// request has just been read.
func (a *acceptor) closeIdle(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	interrupted := 0
	for _, idle := range a.controller.IdleConns(time.Now()) {
		c := idle.Owner.(*clientConn)
		if interrupted == limit || c.hasInput() {
			continue
		}
		c.interruptIdle()
		interrupted++
	}
}

// hasPending reports whether connections are in the accept queue.
func (a *acceptor) hasPending() bool {
	listener, ok := a.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	// Control fails only on a closed listener, which has no accept queue.
	_ = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		pending = err == nil && n == 1 && p[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// count returns the number of connections that are open, wait for a slot or are undecided.
func (a *acceptor) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Count() + a.undecided
}

func (a *acceptor) status(sources int) admission.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Status(time.Now(), sources)
}

func (a *acceptor) addressStatus(address netip.Addr) admission.AddressStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.AddressStatus(time.Now(), address)
}
