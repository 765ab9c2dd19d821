// Package frontend serves callers.
package frontend

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/admission"
)

const (
	idleTimeout  = 8 * time.Second // callers keep connections; 2 s is what they may count on
	writeTimeout = 3 * time.Second // a caller that reads nothing holds up no more
	renewal      = time.Second     // a deadline that has more left than its time less this is left as it is
	maxHead      = 16 << 10
)

// Budget is memory that request bodies share. Acquire waits for n bytes until ctx ends; *semaphore.Weighted is one.
type Budget interface {
	Acquire(ctx context.Context, n int64) error
	Release(n int64)
}

// Router finds what is to be done with a request whose head has been read.
type Router interface {
	// Route returns the exchange that serves the request, or the answer that the front gives at once. Of the request
	// Method, RequestURI, Host, Header, ContentLength, TransferEncoding and RemoteAddr are set; it is the front's
	// again when Route returns, but for the header's values.
	Route(r *http.Request) (Exchange, *Reply)
}

// Exchange is one request on its way.
type Exchange interface {
	Bodies() Budget
	// Do gives the request, now whole, its one final answer. Where ctx ends the caller has gone: what comes back then
	// is read by nobody unless it is a reply.
	Do(ctx context.Context, body []byte) engine.Result
	// Reply gives the answer in place of the front's own wording; nil where the front's is right.
	Reply(a engine.Result) *Reply
	// End follows every exchange, also one whose body never came.
	End()
}

// Reply is an answer of the program's own.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection: what else stands on it is not to be trusted.
	Close bool
}

// Server takes callers' requests, HTTP/1.1 over plain connections, and gives each one final answer.
//
// It reads messages itself rather than through package net/http: what is read in one way there and in another by an
// endpoint is refused here, and each request costs one look at its head.
type Server struct {
	router   Router
	health   string // path of the readiness check
	conns    *callerConns
	errors   *log.Logger
	ready    atomic.Bool
	ending   atomic.Bool   // not ready any more
	closing  atomic.Bool   // connections end
	retired  atomic.Bool   // another process takes the connections that come
	accepts  chan struct{} // told when this one takes them again, or ends
	requests atomic.Int64  // in work
}

// New returns a server on l that takes the connections that the policy admits.
func New(router Router, l net.Listener, p admission.Policy, errorLog *log.Logger) *Server {
	s := &Server{router: router, health: "/health/ready", errors: errorLog, accepts: make(chan struct{}, 1)}
	s.conns = newCallerConns(l, p, s.serve)
	return s
}

const (
	acceptWait    = 5 * time.Millisecond  // after a connection that could not be taken, doubled up to
	acceptPause   = 80 * time.Millisecond // callers wait meanwhile, and places come free
	acceptWaitMax = time.Second
)

// Serve takes connections until End closes the listener.
func (s *Server) Serve() error {
	wait := acceptWait
	for {
		c, err := s.conns.accept()
		switch {
		case err == nil:
			wait = acceptWait
			go s.serve(c)
		case s.closing.Load():
			return nil
		case s.retired.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			<-s.accepts
		case errors.Is(err, net.ErrClosed):
			return err
		default: // descriptors or memory are short for the moment: what is open is served on
			if wait > acceptWaitMax/2 || wait == acceptWait { // at the beginning, then from time to time
				s.errors.Printf("accept: %v", err)
			}
			time.Sleep(min(wait, acceptPause))
			wait = min(2*wait, acceptWaitMax)
		}
	}
}

// Admit changes which connections are taken.
func (s *Server) Admit(p admission.Policy) { s.conns.admit(p) }

// Secure has connections that come from now on speak TLS; nil: plain ones.
func (s *Server) Secure(by *Secure) { s.conns.secure.Store(by) }

// Secured returns how connections are made secure, or nil.
func (s *Server) Secured() *Secure { return s.conns.secure.Load() }

// OnShort has f called where the process has no descriptor for a connection.
func (s *Server) OnShort(f func()) { s.conns.onShort.Store(&f) }

// Short closes idle connections where the process has run out of descriptors, and returns how many.
func (s *Server) Short() int { return s.conns.short() }

// Door tells how the connections stand, with so many of the sources that hold most.
func (s *Server) Door(sources int) admission.Status { return s.conns.look(sources) }

// Who tells how an address stands.
func (s *Server) Who(a netip.Addr) admission.AddressStatus { return s.conns.who(a) }

// Retire has another process take the connections that come, with the same listening socket, which stays open here. Those
// that stand are served on; each answer asks its caller to come back on a new one.
func (s *Server) Retire() {
	s.retired.Store(true)
	if l, ok := s.conns.listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Unix(1, 0))
	}
}

// Resume ends a retirement.
func (s *Server) Resume() {
	if !s.retired.Load() {
		return
	}
	if l, ok := s.conns.listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Time{})
	}
	s.retired.Store(false)
	s.again()
}

func (s *Server) again() {
	select {
	case s.accepts <- struct{}{}:
	default:
	}
}

// Ready lets the readiness check pass.
func (s *Server) Ready() { s.ready.Store(true) }

// Close ends everything at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.conns.listener.Close()
	s.again()
	s.conns.closeAll()
	return err
}

// Conns returns the number of callers' connections.
func (s *Server) Conns() int { return s.conns.count() }

// End finishes what is held and returns when all is answered, or at the time by, which the hosts must have been told
// beforehand. From now on the readiness check fails.
// Until the time given first, callers are served as ever, on the connections that they have and on new ones; then
// connections are closed, each after the answer that it waits for. The listener is closed once none waits to be taken: the
// system would reset them, with what their callers have written.
//
// It guards against a planned restart that shuts callers out while nobody else has taken over: others may be starting
// just then too, and who deals out connections notices late. It could hurt where others stand ready: what is taken
// shortly before the end has less time here than elsewhere, so that the decisions refuse what is too short.
func (s *Server) End(serveUntil, by time.Time) {
	s.ending.Store(true)
	if s.retired.Load() {
		s.wane(serveUntil)
	} else {
		time.Sleep(time.Until(serveUntil))
	}
	s.closing.Store(true)
	for !s.retired.Load() && s.conns.queued() && time.Now().Before(by) { // the system has taken them for this process
		s.conns.closeIdle(math.MaxInt)
		time.Sleep(queueStep)
	}
	s.conns.listener.Close()
	s.again()
	for time.Now().Before(by.Add(flush)) {
		s.conns.closeIdle(math.MaxInt)
		if s.requests.Load() == 0 && s.conns.count() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// wane closes the connections that stand idle at an even pace until the given time: their callers come back to the process
// that has taken over, and not all at once.
func (s *Server) wane(until time.Time) {
	for {
		left := time.Until(until)
		if left <= 0 || s.requests.Load() == 0 && s.conns.count() == 0 {
			return
		}
		s.conns.closeIdle(int(math.Ceil(float64(s.conns.count()) * float64(waneStep) / float64(max(left, waneStep)))))
		time.Sleep(min(waneStep, left))
	}
}

// waneStep is how often some connections are closed.
const waneStep = 50 * time.Millisecond

// queueStep is how often it is looked whether connections still wait to be taken.
const queueStep = 5 * time.Millisecond

// flush is what the last answers take to be written.
const flush = 100 * time.Millisecond

// serve serves one connection to its end.
func (s *Server) serve(c *callerConn) {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil { // one request's fault ends one connection
			s.errors.Printf("serving %s: %v\n%s", c.addr, p, debug.Stack())
		}
	}()
	if c.secure != nil && !c.handshake() {
		return
	}
	for {
		status, err := c.readHead()
		if err != nil {
			return
		}
		if !c.claim() { // closed as idle: the caller sends the request again elsewhere
			return
		}
		s.request(c, status)
		if c.ends || s.closing.Load() {
			c.linger()
			return
		}
		if !c.rest() {
			return
		}
	}
}

// request serves the request whose head has been read, or turns it away where the status is not 0.
func (s *Server) request(c *callerConn, status int) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if status != 0 {
		c.turnAway(status)
		return
	}
	r := &c.request
	if s.closing.Load() || s.retired.Load() {
		c.ends = true
	}
	if r.ContentLength == 0 && c.behind() {
		c.turnAway(http.StatusBadRequest)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == s.health && r.ContentLength == 0 {
		c.write(&Reply{Status: s.readiness()})
		return
	}
	x, local := s.router.Route(r)
	if local != nil {
		if c.skip(); local.Close {
			c.unread()
		}
		c.write(local)
		return
	}
	defer x.End()
	b := &body{budget: x.Bodies()}
	defer b.release()
	streamer, streams := x.(Streamer)
	most := int64(maxBody)
	if streams {
		most = streamer.Most()
	}
	err := b.read(c, most)
	switch {
	case errors.Is(err, errTooLarge):
		c.turnAway(http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoMemory): // nothing was sent: a refusal like any other
		c.unread()
		c.final(x, engine.Result{Rejected: true, RetryAfter: memoryRetry})
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.turnAway(http.StatusRequestTimeout)
		return
	case err != nil, b.rest == nil && c.behind(): // broken off, unreadable, or more than its length told
		c.turnAway(http.StatusBadRequest)
		return
	}
	if b.rest != nil {
		s.stream(c, streamer, b)
		return
	}
	if c.secure != nil {
		c.caughtUp()
	}
	c.watch()
	a := x.Do(c.ctx, b.bytes)
	c.unwatch()
	if c.ctx.Err() != nil {
		c.ends = true
	}
	c.final(x, a)
}

// stream serves a request whose body is passed on as it comes. While it comes its reader notices the caller's end, then the
// watch does.
func (s *Server) stream(c *callerConn, x Streamer, b *body) {
	a := x.Stream(c.ctx, b.bytes, b.rest)
	b.rest.Stop()
	if c.ctx.Err() != nil {
		c.ends = true
	}
	if fault := b.rest.fault(); fault != nil && a.Response == nil {
		x.Reply(engine.Result{}) // a failure, whatever the decisions made of it
		switch {
		case errors.Is(fault, errTooLarge):
			c.turnAway(http.StatusRequestEntityTooLarge)
		case errors.Is(fault, os.ErrDeadlineExceeded):
			c.turnAway(http.StatusRequestTimeout)
		default:
			c.turnAway(http.StatusBadRequest)
		}
		return
	}
	if !b.rest.IsComplete() || c.behind() {
		c.unread()
	}
	c.final(x, a)
}

// memoryRetry is when a caller is told to come back for whose body there was no memory.
const memoryRetry = time.Second

// final gives the caller its answer, in the exchange's words where it has some.
func (c *callerConn) final(x Exchange, a engine.Result) {
	own := x.Reply(a)
	if own == nil {
		c.answer(a)
		return
	}
	if a.Response != nil && a.Response.Stream != nil {
		a.Response.Stream.Close()
	}
	if own.Close {
		c.unread()
	}
	c.write(own)
}

func (s *Server) readiness() int {
	if s.ready.Load() && !s.ending.Load() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// peek tells what stands on a connection without taking it: more, nothing yet, or its end.
func peek(fd uintptr) (more, end bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return false, false
	case err != nil || n == 0:
		return false, true
	}
	return true, false
}

// ended tells whether a connection's end has come, by FIN or reset, also behind bytes that nobody has read: those hide
// it from a look at what stands there.
func ended(fd uintptr) bool {
	more, end := peek(fd)
	if !more {
		return end
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
