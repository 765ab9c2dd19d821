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
	idleTimeout   = 8 * time.Second // callers keep connections; 2 s is what they may count on
	writeTimeout  = 3 * time.Second // a caller that reads nothing holds up no more
	deadlineSlack = time.Second     // a deadline that has more left than its time less this is left as it is
	maxHeadBytes  = 16 << 10
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
	BodyBudget() Budget
	// Do gives the request, now whole, its one final answer. Where ctx ends the caller has gone: what comes back then
	// is read by nobody unless it is a reply.
	Do(ctx context.Context, body []byte) engine.Result
	// Reply gives the answer in place of the front's own wording; nil where the front's is right.
	Reply(a engine.Result) *Reply
	// Close follows every exchange, also one whose body never came.
	Close()
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
	router       Router
	healthPath   string // path of the readiness check
	acceptor     *acceptor
	errorLog     *log.Logger
	ready        atomic.Bool
	shuttingDown atomic.Bool   // not ready any more
	closing      atomic.Bool   // connections end
	retired      atomic.Bool   // another process takes the connections that come
	acceptWake   chan struct{} // told when this one takes them again, or ends
	inFlight     atomic.Int64  // in work
}

// New returns a server on l that takes the connections that the policy admits.
func New(router Router, l net.Listener, p admission.Policy, errorLog *log.Logger) *Server {
	s := &Server{router: router, healthPath: "/health/ready", errorLog: errorLog, acceptWake: make(chan struct{}, 1)}
	s.acceptor = newAcceptor(l, p, s.serve)
	return s
}

const (
	acceptBackoff    = 5 * time.Millisecond  // after a connection that could not be taken, doubled up to
	maxAcceptSleep   = 80 * time.Millisecond // callers wait meanwhile, and places come free
	maxAcceptBackoff = time.Second
)

// Serve takes connections until End closes the listener.
func (s *Server) Serve() error {
	wait := acceptBackoff
	for {
		c, err := s.acceptor.accept()
		switch {
		case err == nil:
			wait = acceptBackoff
			go s.serve(c)
		case s.closing.Load():
			return nil
		case s.retired.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			<-s.acceptWake
		case errors.Is(err, net.ErrClosed):
			return err
		default: // descriptors or memory are short for the moment: what is open is served on
			if wait > maxAcceptBackoff/2 || wait == acceptBackoff { // at the beginning, then from time to time
				s.errorLog.Printf("accept: %v", err)
			}
			time.Sleep(min(wait, maxAcceptSleep))
			wait = min(2*wait, maxAcceptBackoff)
		}
	}
}

// SetPolicy changes which connections are taken.
func (s *Server) SetPolicy(p admission.Policy) { s.acceptor.setPolicy(p) }

// SetTLS has connections that come from now on speak TLS; nil: plain ones.
func (s *Server) SetTLS(by *TLSConfig) { s.acceptor.tlsConfig.Store(by) }

// TLS returns how connections are made secure, or nil.
func (s *Server) TLS() *TLSConfig { return s.acceptor.tlsConfig.Load() }

// OnExhausted has f called where the process has no descriptor for a connection.
func (s *Server) OnExhausted(f func()) { s.acceptor.onExhausted.Store(&f) }

// FreeDescriptors closes idle connections where the process has run out of descriptors, and returns how many.
func (s *Server) FreeDescriptors() int { return s.acceptor.freeDescriptors() }

// Status tells how the connections stand, with so many of the sources that hold most.
func (s *Server) Status(sources int) admission.Status { return s.acceptor.status(sources) }

// AddressStatus tells how an address stands.
func (s *Server) AddressStatus(a netip.Addr) admission.AddressStatus {
	return s.acceptor.addressStatus(a)
}

// Retire has another process take the connections that come, with the same listening socket, which stays open here. Those
// that stand are served on; each answer asks its caller to come back on a new one.
func (s *Server) Retire() {
	s.retired.Store(true)
	if l, ok := s.acceptor.listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Unix(1, 0))
	}
}

// Resume ends a retirement.
func (s *Server) Resume() {
	if !s.retired.Load() {
		return
	}
	if l, ok := s.acceptor.listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Time{})
	}
	s.retired.Store(false)
	s.wakeAccept()
}

func (s *Server) wakeAccept() {
	select {
	case s.acceptWake <- struct{}{}:
	default:
	}
}

// SetReady lets the readiness check pass.
func (s *Server) SetReady() { s.ready.Store(true) }

// Close ends everything at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.acceptor.listener.Close()
	s.wakeAccept()
	s.acceptor.closeAll()
	return err
}

// Conns returns the number of callers' connections.
func (s *Server) Conns() int { return s.acceptor.count() }

// Shutdown finishes what is held and returns when all is answered, or at the time by, which the hosts must have been told
// beforehand. From now on the readiness check fails.
// Until the time given first, callers are served as ever, on the connections that they have and on new ones; then
// connections are closed, each after the answer that it waits for. The listener is closed once none waits to be taken: the
// system would reset them, with what their callers have written.
//
// It guards against a planned restart that shuts callers out while nobody else has taken over: others may be starting
// just then too, and who deals out connections notices late. It could hurt where others stand ready: what is taken
// shortly before the end has less time here than elsewhere, so that the decisions refuse what is too short.
func (s *Server) Shutdown(serveUntil, by time.Time) {
	s.shuttingDown.Store(true)
	if s.retired.Load() {
		s.drainIdle(serveUntil)
	} else {
		time.Sleep(time.Until(serveUntil))
	}
	s.closing.Store(true)
	for !s.retired.Load() && s.acceptor.hasPending() && time.Now().Before(by) { // the system has taken them for this process
		s.acceptor.closeIdle(math.MaxInt)
		time.Sleep(pendingInterval)
	}
	s.acceptor.listener.Close()
	s.wakeAccept()
	for time.Now().Before(by.Add(flushTime)) {
		s.acceptor.closeIdle(math.MaxInt)
		if s.inFlight.Load() == 0 && s.acceptor.count() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// drainIdle closes the connections that stand idle at an even pace until the given time: their callers come back to the process
// that has taken over, and not all at once.
func (s *Server) drainIdle(until time.Time) {
	for {
		left := time.Until(until)
		if left <= 0 || s.inFlight.Load() == 0 && s.acceptor.count() == 0 {
			return
		}
		s.acceptor.closeIdle(int(math.Ceil(float64(s.acceptor.count()) * float64(drainInterval) / float64(max(left, drainInterval)))))
		time.Sleep(min(drainInterval, left))
	}
}

// drainInterval is how often some connections are closed.
const drainInterval = 50 * time.Millisecond

// pendingInterval is how often it is looked whether connections still wait to be taken.
const pendingInterval = 5 * time.Millisecond

// flushTime is what the last answers take to be written.
const flushTime = 100 * time.Millisecond

// serve serves one connection to its end.
func (s *Server) serve(c *clientConn) {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil { // one request's fault ends one connection
			s.errorLog.Printf("serving %s: %v\n%s", c.remoteAddr, p, debug.Stack())
		}
	}()
	if c.tlsConfig != nil && !c.handshake() {
		return
	}
	for {
		status, err := c.readHead()
		if err != nil {
			return
		}
		if !c.startRequest() { // closed as idle: the caller sends the request again elsewhere
			return
		}
		s.serveRequest(c, status)
		if c.closeAfter || s.closing.Load() {
			c.linger()
			return
		}
		if !c.endRequest() {
			return
		}
	}
}

// serveRequest serves the request whose head has been read, or turns it away where the status is not 0.
func (s *Server) serveRequest(c *clientConn, status int) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if status != 0 {
		c.reject(status)
		return
	}
	r := &c.request
	if s.closing.Load() || s.retired.Load() {
		c.closeAfter = true
	}
	if r.ContentLength == 0 && c.hasInvalidInput() {
		c.reject(http.StatusBadRequest)
		return
	}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); path == s.healthPath && r.ContentLength == 0 {
		c.writeReply(&Reply{Status: s.readiness()})
		return
	}
	x, local := s.router.Route(r)
	if local != nil {
		if c.skipBody(); local.Close {
			c.abandonInput()
		}
		c.writeReply(local)
		return
	}
	defer x.Close()
	b := &body{budget: x.BodyBudget()}
	defer b.release()
	streamer, streams := x.(StreamingExchange)
	most := int64(maxBufferedBody)
	if streams {
		most = streamer.MaxBodyBytes()
	}
	err := b.read(c, most)
	switch {
	case errors.Is(err, errTooLarge):
		c.reject(http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoBodyMemory): // nothing was sent: a refusal like any other
		c.abandonInput()
		c.respond(x, engine.Result{Rejected: true, RetryAfter: memoryRetryAfter})
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout)
		return
	case err != nil, b.stream == nil && c.hasInvalidInput(): // broken off, unreadable, or more than its length told
		c.reject(http.StatusBadRequest)
		return
	}
	if b.stream != nil {
		s.serveStream(c, streamer, b)
		return
	}
	if c.tlsConfig != nil {
		c.readPendingTLS()
	}
	c.startWatch()
	a := x.Do(c.ctx, b.bytes)
	c.stopWatch()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	c.respond(x, a)
}

// serveStream serves a request whose body is passed on as it comes. While it comes its reader notices the caller's end, then the
// watch does.
func (s *Server) serveStream(c *clientConn, x StreamingExchange, b *body) {
	a := x.Stream(c.ctx, b.bytes, b.stream)
	b.stream.Stop()
	if c.ctx.Err() != nil {
		c.closeAfter = true
	}
	if fault := b.stream.clientError(); fault != nil && a.Response == nil {
		x.Reply(engine.Result{}) // a failure, whatever the decisions made of it
		switch {
		case errors.Is(fault, errTooLarge):
			c.reject(http.StatusRequestEntityTooLarge)
		case errors.Is(fault, os.ErrDeadlineExceeded):
			c.reject(http.StatusRequestTimeout)
		default:
			c.reject(http.StatusBadRequest)
		}
		return
	}
	if !b.stream.IsComplete() || c.hasInvalidInput() {
		c.abandonInput()
	}
	c.respond(x, a)
}

// memoryRetryAfter is when a caller is told to come back for whose body there was no memory.
const memoryRetryAfter = time.Second

// respond gives the caller its answer, in the exchange's words where it has some.
func (c *clientConn) respond(x Exchange, a engine.Result) {
	own := x.Reply(a)
	if own == nil {
		c.writeResult(a)
		return
	}
	if a.Response != nil && a.Response.Stream != nil {
		a.Response.Stream.Close()
	}
	if own.Close {
		c.abandonInput()
	}
	c.writeReply(own)
}

func (s *Server) readiness() int {
	if s.ready.Load() && !s.shuttingDown.Load() {
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

// isPeerClosed tells whether a connection's end has come, by FIN or reset, also behind bytes that nobody has read: those hide
// it from a look at what stands there.
func isPeerClosed(fd uintptr) bool {
	more, end := peek(fd)
	if !more {
		return end
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
