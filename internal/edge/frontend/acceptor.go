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
	tlsConfig   atomic.Pointer[TLSConfig] // nil: no TLS
	onExhausted atomic.Pointer[func()]
	serve       func(*clientConn) // for connections that are admitted after a wait

	mu         sync.Mutex
	controller *admission.Controller
	undecided  int  // connections that were accepted and wait in admit
	tickScheduled    bool // tick is scheduled

	// spareDescriptor is given up so that a connection can be accepted, if only to be rejected, while there is no other descriptor. It
	// belongs to the accepting goroutine.
	spareDescriptor *os.File
	spareUsed       atomic.Bool

	lingering lingeringConns
}

// admitInterval is how often connections that wait for a slot are considered: slots become free by time, too.
const admitInterval = 5 * time.Millisecond

func newAcceptor(l net.Listener, p admission.Policy, serve func(*clientConn)) *acceptor {
	return &acceptor{listener: l, controller: admission.New(p, time.Now()), serve: serve}
}

// setPolicy puts another admission policy in force.
func (a *acceptor) setPolicy(p admission.Policy) {
	a.mu.Lock()
	evicted := a.controller.Update(time.Now(), p)
	admitWaiting := a.admitWaiting()
	a.mu.Unlock()
	closeEvicted(evicted)
	admitWaiting()
}

// freeDescriptors closes idle connections after descriptors were exhausted, and returns how many.
func (a *acceptor) freeDescriptors() int {
	a.mu.Lock()
	evicted := a.controller.ReduceCapacity(time.Now())
	a.mu.Unlock()
	closeEvicted(evicted)
	return len(evicted)
}

// closeEvicted closes connections that the controller has evicted. The lock must not be held.
func closeEvicted(evicted []*admission.Conn) {
	for _, c := range evicted {
		c.Owner.(*clientConn).Close()
	}
}

// admitWaiting gives free slots to waiting connections. The caller holds the lock, and calls the result without it.
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

// tick gives slots that became free by time alone to waiting connections, as long as there are any.
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

// expireWait rejects a connection that has waited for too long.
func (a *acceptor) expireWait(c *clientConn) {
	a.mu.Lock()
	v := a.controller.ExpireWait(time.Now(), c.slot)
	a.mu.Unlock()
	if v.Rejected {
		a.reject(c, v)
	}
}

// accept returns the next connection that is admitted. Those that are rejected are answered and closed.
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

// acceptOne accepts a connection. Without a descriptor for it, idle connections are closed, then the spare descriptor is given up.
func (a *acceptor) acceptOne() (net.Conn, error) {
	if a.spareDescriptor == nil {
		a.spareDescriptor, _ = os.Open(os.DevNull) // where it fails the next call tries again
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

// admit passes a connection to the controller. It returns false where the connection was rejected, or waits for a slot.
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

// decide asks the controller for a decision, and counts the connections that have none yet.
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

// closeAll closes all connections.
func (a *acceptor) closeAll() {
	a.mu.Lock()
	all := a.controller.Conns()
	a.mu.Unlock()
	closeEvicted(all)
	a.lingering.close()
}

// closeIdle closes up to limit connections that carry no request, except new ones before their first request, and those with input, which
// may be a part of a request.
func (a *acceptor) closeIdle(limit int) {
	a.mu.Lock()
	now := time.Now()
	var idle []*admission.Conn
	for _, c := range a.controller.IdleConns(now) {
		if len(idle) < limit && !c.Owner.(*clientConn).hasInput() {
			idle = append(idle, c)
			a.controller.Remove(now, c)
		}
	}
	a.mu.Unlock()
	closeEvicted(idle)
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
	// Control fails on a closed listener alone, which has none.
	_ = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		pending = err == nil && n == 1 && p[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// count returns the number of connections that are open or wait for a slot.
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
