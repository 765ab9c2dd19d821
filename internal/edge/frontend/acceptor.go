package frontend

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/base/exhaustion"
	"silvertrail/internal/edge/admission"
)

// acceptor hosts the door of a listener: it takes connections, and ends those that the door says.
type acceptor struct {
	listener    net.Listener
	tlsConfig   atomic.Pointer[TLSConfig] // nil: plain connections
	onExhausted atomic.Pointer[func()]

	mu         sync.Mutex
	controller *admission.Controller
	undecided  int  // taken from the system and not let in yet
	ticking    bool // the line is looked at from time to time

	serve func(*clientConn) // those that come in from the line

	// A descriptor that is given up so that a connection can be taken, if only to be refused, when there is no other. Of
	// the accepting goroutine alone.
	spareDescriptor *os.File
	spareUsed       atomic.Bool // it is given up

	lingering lingeringConns
}

func newAcceptor(l net.Listener, p admission.Policy, serve func(*clientConn)) *acceptor {
	return &acceptor{listener: l, controller: admission.New(p, time.Now()), serve: serve}
}

// setPolicy puts another policy in force.
func (l *acceptor) setPolicy(p admission.Policy) {
	l.mu.Lock()
	over := l.controller.Update(time.Now(), p)
	next := l.admitWaiting()
	l.mu.Unlock()
	closeEvicted(over)
	next()
}

// freeDescriptors frees descriptors.
func (l *acceptor) freeDescriptors() int {
	l.mu.Lock()
	over := l.controller.ReduceCapacity(time.Now())
	l.mu.Unlock()
	closeEvicted(over)
	return len(over)
}

// closeEvicted closes connections that the door has ended.
func closeEvicted(over []*admission.Conn) {
	for _, c := range over {
		c.Owner.(*clientConn).Close()
	}
}

// admitInterval is how often a connection that waits for a place asks again: places come free by time, too.
const admitInterval = 5 * time.Millisecond

// admitWaiting gives what has come free to those who wait in line. The caller holds the lock; what it returns is called without.
func (l *acceptor) admitWaiting() func() {
	taken, evicted := l.controller.AdmitWaiting(time.Now())
	if len(taken)+len(evicted) == 0 {
		return func() {}
	}
	return func() {
		closeEvicted(evicted)
		for _, c := range taken {
			go l.serve(c.Owner.(*clientConn))
		}
	}
}

// tick gives places that have come free by time alone, for as long as somebody waits in line.
func (l *acceptor) tick() {
	l.mu.Lock()
	next := l.admitWaiting()
	if l.ticking = l.controller.Waiting() > 0; l.ticking {
		time.AfterFunc(admitInterval, l.tick)
	}
	l.mu.Unlock()
	next()
}

// expireWait ends a connection's wait in line.
func (l *acceptor) expireWait(c *clientConn) {
	l.mu.Lock()
	v := l.controller.ExpireWait(time.Now(), c.slot)
	l.mu.Unlock()
	if v.Rejected {
		l.reject(c, v)
	}
}

// accept returns the next connection that is let in. Those that are refused are answered and ended.
func (l *acceptor) accept() (*clientConn, error) {
	for {
		nc, err := l.acceptOne()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(nc, l)
		if err != nil {
			return nil, err
		}
		if l.admit(c) {
			return c, nil
		}
	}
}

// acceptOne takes a connection from the system. Where there is no descriptor for it idle connections end first; where there are
// none the spare one is given up.
func (l *acceptor) acceptOne() (net.Conn, error) {
	if l.spareDescriptor == nil {
		l.spareDescriptor, _ = os.Open(os.DevNull) // next time, where there is none
		l.spareUsed.Store(l.spareDescriptor == nil)
	}
	nc, err := l.listener.Accept()
	if !exhaustion.Is(err) {
		return nc, err
	}
	if l.freeDescriptors(); l.onExhausted.Load() != nil {
		(*l.onExhausted.Load())()
	}
	if nc, err = l.listener.Accept(); !exhaustion.Is(err) || l.spareDescriptor == nil {
		return nc, err
	}
	l.spareDescriptor.Close()
	l.spareDescriptor = nil
	l.spareUsed.Store(true)
	return l.listener.Accept()
}

// admit gives a connection to the door. Where it returns false the connection has been refused.
func (l *acceptor) admit(c *clientConn) bool {
	waits := false
	for {
		l.mu.Lock()
		v := l.controller.Admit(time.Now(), c.remoteIP, c.tlsConfig != nil, c)
		c.slot, c.mustIdentify = v.Conn, v.MustIdentify
		if v.Waiting && !l.ticking {
			l.ticking = true
			time.AfterFunc(admitInterval, l.tick)
		}
		if v.AskAgain != waits {
			waits = v.AskAgain
			if waits {
				l.undecided++
			} else {
				l.undecided--
			}
		}
		l.mu.Unlock()
		if v.Evict != nil {
			closeEvicted([]*admission.Conn{v.Evict})
		}
		switch {
		case v.AskAgain && !l.lingering.isClosed():
			time.Sleep(admitInterval)
		case v.AskAgain:
			l.mu.Lock()
			l.undecided--
			l.mu.Unlock()
			c.Close()
			return false
		case v.Rejected:
			l.reject(c, v)
			return false
		case v.Waiting:
			time.AfterFunc(v.RetryAfter, func() { l.expireWait(c) })
			return false
		default:
			return true
		}
	}
}

// Close ends the connection and gives its place back.
func (c *clientConn) Close() error {
	next := func() {}
	c.acceptor.mu.Lock()
	if c.slot != nil {
		c.acceptor.controller.Remove(time.Now(), c.slot)
		next = c.acceptor.admitWaiting()
	}
	c.acceptor.mu.Unlock()
	err := c.socket.Close()
	c.cancel()
	next()
	return err
}

// closeAll closes all connections.
func (l *acceptor) closeAll() {
	l.mu.Lock()
	all := l.controller.Conns()
	l.mu.Unlock()
	closeEvicted(all)
	l.lingering.close()
}

// startRequest marks the connection as at work. It returns false where the connection was closed as idle just before its
// request was read: the caller sends that request again elsewhere, so that it must not be sent on from here.
func (c *clientConn) startRequest() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.acceptor.controller.StartRequest(c.slot)
}

// endRequest marks the connection as idle. It returns false where it must end.
func (c *clientConn) endRequest() bool {
	c.acceptor.mu.Lock()
	stays := c.acceptor.controller.EndRequest(time.Now(), c.slot)
	next := c.acceptor.admitWaiting()
	c.acceptor.mu.Unlock()
	next()
	return stays
}

// closeIdle closes connections that carry no request, so many at the most, but for new ones that are still to bring one and
// for those on which a part of one has come, read or not: closing would lose it.
func (l *acceptor) closeIdle(most int) {
	l.mu.Lock()
	now := time.Now()
	var over []*admission.Conn
	for _, c := range l.controller.IdleConns(now) {
		if len(over) < most && !c.Owner.(*clientConn).hasInput() {
			over = append(over, c)
			l.controller.Remove(now, c)
		}
	}
	l.mu.Unlock()
	closeEvicted(over)
}

// hasPending tells whether the system has connections that nobody has taken yet.
func (l *acceptor) hasPending() (queued bool) {
	listener, ok := l.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		queued = err == nil && n == 1 && p[0].Revents&unix.POLLIN != 0
	})
	return queued
}

// hasInput tells whether something stands unread on a connection, or a part of a head has been read.
func (c *clientConn) hasInput() (more bool) {
	if c.headStarted.Load() {
		return true
	}
	c.rawConn.Control(func(fd uintptr) { more, _ = peek(fd) })
	return more
}

// count returns the number of connections that are open or wait for a place.
func (l *acceptor) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Count() + l.undecided
}

// status tells how the door stands.
func (l *acceptor) status(sources int) admission.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Status(time.Now(), sources)
}

func (l *acceptor) addressStatus(a netip.Addr) admission.AddressStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.AddressStatus(time.Now(), a)
}

// lingeringConns holds refused connections until their callers have read why, or a short time is over. It is bounded: when it is
// full the one that has stood longest goes.
type lingeringConns struct {
	mu     sync.Mutex
	conns  []*clientConn
	closed bool
}

const maxLingering = 64

func (l *lingeringConns) add(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if len(l.conns) == maxLingering {
		l.conns[0].socket.Close()
		l.conns = append(l.conns[:0], l.conns[1:]...)
	}
	l.conns = append(l.conns, c)
	return true
}

func (l *lingeringConns) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *lingeringConns) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.conns {
		if o == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

func (l *lingeringConns) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.conns {
		c.socket.Close()
	}
}

// rejectionReply is the answer to a caller who is not let in. All of these promise that nothing took effect.
func rejectionReply(v admission.Verdict) *Reply {
	r := &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Close: true}
	switch v.Reason {
	case admission.Denied:
		r.Status = http.StatusForbidden
	case admission.RateExceeded, admission.SourceFull: // by what it does itself (RFC 6585, 4)
		r.Status = http.StatusTooManyRequests
	}
	if v.RetryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(max(v.RetryAfter.Seconds(), 0.001), 'f', 3, 64))
	}
	return r
}

// internalErrorAlert is what a caller reads who is refused before its TLS has begun: a fatal alert, internal_error (RFC 8446, 6.2).
var internalErrorAlert = []byte{21, 3, 1, 0, 2, 2, 80}

// reject answers a connection that is not let in, before it has said anything, and sees it out. The answer fits into what
// the system keeps for a new connection: it does not wait.
func (l *acceptor) reject(c *clientConn, v admission.Verdict) {
	if c.tlsConfig != nil {
		c.socket.SetWriteDeadline(time.Now().Add(admitInterval))
		c.socket.Write(internalErrorAlert)
	} else {
		c.rejectWith(rejectionReply(v))
	}
	if l.spareUsed.Load() || !l.lingering.add(c) { // no descriptor is held for it where they are short
		c.Close()
		return
	}
	go func() {
		defer l.lingering.remove(c)
		defer c.Close()
		c.linger()
	}()
}
