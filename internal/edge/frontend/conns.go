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

// callerConns hosts the door of a listener: it takes connections, and ends those that the door says.
type callerConns struct {
	listener net.Listener
	secure   atomic.Pointer[Secure] // nil: plain connections
	onShort  atomic.Pointer[func()]

	mu      sync.Mutex
	door    *admission.Controller
	waiting int  // taken from the system and not let in yet
	ticking bool // the line is looked at from time to time

	serve func(*callerConn) // those that come in from the line

	// A descriptor that is given up so that a connection can be taken, if only to be refused, when there is no other. Of
	// the accepting goroutine alone.
	spare *os.File
	bare  atomic.Bool // it is given up

	lobby lobby
}

func newCallerConns(l net.Listener, p admission.Policy, serve func(*callerConn)) *callerConns {
	return &callerConns{listener: l, door: admission.New(p, time.Now()), serve: serve}
}

// admit puts another policy in force.
func (l *callerConns) admit(p admission.Policy) {
	l.mu.Lock()
	over := l.door.Update(time.Now(), p)
	next := l.next()
	l.mu.Unlock()
	end(over)
	next()
}

// short frees descriptors.
func (l *callerConns) short() int {
	l.mu.Lock()
	over := l.door.ReduceCapacity(time.Now())
	l.mu.Unlock()
	end(over)
	return len(over)
}

// end closes connections that the door has ended.
func end(over []*admission.Conn) {
	for _, c := range over {
		c.Owner.(*callerConn).Close()
	}
}

// waitStep is how often a connection that waits for a place asks again: places come free by time, too.
const waitStep = 5 * time.Millisecond

// next gives what has come free to those who wait in line. The caller holds the lock; what it returns is called without.
func (l *callerConns) next() func() {
	taken, evicted := l.door.AdmitWaiting(time.Now())
	if len(taken)+len(evicted) == 0 {
		return func() {}
	}
	return func() {
		end(evicted)
		for _, c := range taken {
			go l.serve(c.Owner.(*callerConn))
		}
	}
}

// tick gives places that have come free by time alone, for as long as somebody waits in line.
func (l *callerConns) tick() {
	l.mu.Lock()
	next := l.next()
	if l.ticking = l.door.Waiting() > 0; l.ticking {
		time.AfterFunc(waitStep, l.tick)
	}
	l.mu.Unlock()
	next()
}

// expire ends a connection's wait in line.
func (l *callerConns) expire(c *callerConn) {
	l.mu.Lock()
	v := l.door.ExpireWait(time.Now(), c.place)
	l.mu.Unlock()
	if v.Rejected {
		l.refuse(c, v)
	}
}

// accept returns the next connection that is let in. Those that are refused are answered and ended.
func (l *callerConns) accept() (*callerConn, error) {
	for {
		nc, err := l.take()
		if err != nil {
			return nil, err
		}
		c, err := newCallerConn(nc, l)
		if err != nil {
			return nil, err
		}
		if l.letIn(c) {
			return c, nil
		}
	}
}

// take takes a connection from the system. Where there is no descriptor for it idle connections end first; where there are
// none the spare one is given up.
func (l *callerConns) take() (net.Conn, error) {
	if l.spare == nil {
		l.spare, _ = os.Open(os.DevNull) // next time, where there is none
		l.bare.Store(l.spare == nil)
	}
	nc, err := l.listener.Accept()
	if !exhaustion.Is(err) {
		return nc, err
	}
	if l.short(); l.onShort.Load() != nil {
		(*l.onShort.Load())()
	}
	if nc, err = l.listener.Accept(); !exhaustion.Is(err) || l.spare == nil {
		return nc, err
	}
	l.spare.Close()
	l.spare = nil
	l.bare.Store(true)
	return l.listener.Accept()
}

// letIn gives a connection to the door. Where it returns false the connection has been refused.
func (l *callerConns) letIn(c *callerConn) bool {
	waits := false
	for {
		l.mu.Lock()
		v := l.door.Admit(time.Now(), c.from, c.secure != nil, c)
		c.place, c.proving = v.Conn, v.MustIdentify
		if v.Waiting && !l.ticking {
			l.ticking = true
			time.AfterFunc(waitStep, l.tick)
		}
		if v.AskAgain != waits {
			waits = v.AskAgain
			if waits {
				l.waiting++
			} else {
				l.waiting--
			}
		}
		l.mu.Unlock()
		if v.Evict != nil {
			end([]*admission.Conn{v.Evict})
		}
		switch {
		case v.AskAgain && !l.lobby.over():
			time.Sleep(waitStep)
		case v.AskAgain:
			l.mu.Lock()
			l.waiting--
			l.mu.Unlock()
			c.Close()
			return false
		case v.Rejected:
			l.refuse(c, v)
			return false
		case v.Waiting:
			time.AfterFunc(v.RetryAfter, func() { l.expire(c) })
			return false
		default:
			return true
		}
	}
}

// Close ends the connection and gives its place back.
func (c *callerConn) Close() error {
	next := func() {}
	c.conns.mu.Lock()
	if c.place != nil {
		c.conns.door.Remove(time.Now(), c.place)
		next = c.conns.next()
	}
	c.conns.mu.Unlock()
	err := c.socket.Close()
	c.cancel()
	next()
	return err
}

// closeAll closes all connections.
func (l *callerConns) closeAll() {
	l.mu.Lock()
	all := l.door.Conns()
	l.mu.Unlock()
	end(all)
	l.lobby.close()
}

// claim marks the connection as at work. It returns false where the connection was closed as idle just before its
// request was read: the caller sends that request again elsewhere, so that it must not be sent on from here.
func (c *callerConn) claim() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.door.StartRequest(c.place)
}

// rest marks the connection as idle. It returns false where it must end.
func (c *callerConn) rest() bool {
	c.conns.mu.Lock()
	stays := c.conns.door.EndRequest(time.Now(), c.place)
	next := c.conns.next()
	c.conns.mu.Unlock()
	next()
	return stays
}

// closeIdle closes connections that carry no request, so many at the most, but for new ones that are still to bring one and
// for those on which a part of one has come, read or not: closing would lose it.
func (l *callerConns) closeIdle(most int) {
	l.mu.Lock()
	now := time.Now()
	var over []*admission.Conn
	for _, c := range l.door.IdleConns(now) {
		if len(over) < most && !c.Owner.(*callerConn).speaks() {
			over = append(over, c)
			l.door.Remove(now, c)
		}
	}
	l.mu.Unlock()
	end(over)
}

// queued tells whether the system has connections that nobody has taken yet.
func (l *callerConns) queued() (queued bool) {
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

// speaks tells whether something stands unread on a connection, or a part of a head has been read.
func (c *callerConn) speaks() (more bool) {
	if c.begun.Load() {
		return true
	}
	c.raw.Control(func(fd uintptr) { more, _ = peek(fd) })
	return more
}

// count returns the number of connections that are open or wait for a place.
func (l *callerConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.door.Count() + l.waiting
}

// look tells how the door stands.
func (l *callerConns) look(sources int) admission.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.door.Status(time.Now(), sources)
}

func (l *callerConns) who(a netip.Addr) admission.AddressStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.door.AddressStatus(time.Now(), a)
}

// lobby holds refused connections until their callers have read why, or a short time is over. It is bounded: when it is
// full the one that has stood longest goes.
type lobby struct {
	mu    sync.Mutex
	conns []*callerConn
	ended bool
}

const mostLobby = 64

func (l *lobby) enter(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	if len(l.conns) == mostLobby {
		l.conns[0].socket.Close()
		l.conns = append(l.conns[:0], l.conns[1:]...)
	}
	l.conns = append(l.conns, c)
	return true
}

func (l *lobby) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

func (l *lobby) leave(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.conns {
		if o == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

func (l *lobby) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, c := range l.conns {
		c.socket.Close()
	}
}

// refusal is the answer to a caller who is not let in. All of these promise that nothing took effect.
func refusal(v admission.Verdict) *Reply {
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

// alert is what a caller reads who is refused before its TLS has begun: a fatal alert, internal_error (RFC 8446, 6.2).
var alert = []byte{21, 3, 1, 0, 2, 2, 80}

// refuse answers a connection that is not let in, before it has said anything, and sees it out. The answer fits into what
// the system keeps for a new connection: it does not wait.
func (l *callerConns) refuse(c *callerConn, v admission.Verdict) {
	if c.secure != nil {
		c.socket.SetWriteDeadline(time.Now().Add(waitStep))
		c.socket.Write(alert)
	} else {
		c.turnAwayWith(refusal(v))
	}
	if l.bare.Load() || !l.lobby.enter(c) { // no descriptor is held for it where they are short
		c.Close()
		return
	}
	go func() {
		defer l.lobby.leave(c)
		defer c.Close()
		c.linger()
	}()
}
