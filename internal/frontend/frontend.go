// Package frontend serves callers.
package frontend

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"silvertrail/internal/host"
	"silvertrail/internal/upstream"
)

const (
	idleTimeout  = 8 * time.Second // callers keep connections; 2 s is what they may count on
	writeTimeout = 3 * time.Second // a caller that reads nothing holds up no more
	maxHead      = 16 << 10
)

// Budget is memory that request bodies share. Acquire waits for n bytes until ctx ends; *semaphore.Weighted is one.
type Budget interface {
	Acquire(ctx context.Context, n int64) error
	Release(n int64)
}

// Router finds what is to be done with a request whose head has been read.
type Router interface {
	// Route returns the exchange that serves the request, or the answer that the front gives at once.
	Route(r *http.Request) (Exchange, *Reply)
}

// Exchange is one request on its way.
type Exchange interface {
	Bodies() Budget
	// Do gives the request, now whole, its one final answer. Where ctx ends the caller has gone: what comes back then
	// is read by nobody unless it is a reply.
	Do(ctx context.Context, body []byte) host.Answer
	// Reply gives the answer in place of the front's own wording; nil where the front's is right.
	Reply(a host.Answer) *Reply
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

// Server takes callers' requests and gives each one final answer.
type Server struct {
	router   Router
	health   string // path of the readiness check; empty: none
	conns    *callerConns
	http     *http.Server
	ready    atomic.Bool
	ending   atomic.Bool  // not ready any more
	closing  atomic.Bool  // connections end
	requests atomic.Int64 // in work
}

// New returns a server on l with at most maxConns connections.
func New(router Router, l net.Listener, maxConns int, errorLog *log.Logger) *Server {
	s := &Server{router: router, health: "/health/ready", conns: newCallerConns(l, maxConns)}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: wholeIn,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ConnState:         changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog:                     errorLog,
		DisableGeneralOptionsHandler: true, // each head that is read comes to the handler
	}
	return s
}

type connKey struct{}

// Serve takes connections until End closes the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.conns)
	if s.closing.Load() {
		return nil
	}
	return err
}

// Resize changes the bound on connections.
func (s *Server) Resize(maxConns int) { s.conns.resize(maxConns) }

// Ready lets the readiness check pass.
func (s *Server) Ready() { s.ready.Store(true) }

// Close ends everything at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	return s.http.Close()
}

// Conns returns the number of callers' connections.
func (s *Server) Conns() int { return s.conns.count() }

// End finishes what is held and returns when all is answered, or at the time by, which the hosts must have been told
// beforehand. From now on the readiness check fails.
// Until the time given first, callers are served as ever, on the connections that they have and on new ones; then
// connections are closed, each after the answer that it waits for.
//
// It guards against a planned restart that shuts callers out while nobody else has taken over: others may be starting
// just then too, and who deals out connections notices late. It could hurt where others stand ready: what is taken
// shortly before the end has less time here than elsewhere, so that the decisions refuse what is too short.
func (s *Server) End(serveUntil, by time.Time) {
	s.ending.Store(true)
	time.Sleep(time.Until(serveUntil))
	s.closing.Store(true)
	s.conns.Listener.Close()
	for time.Now().Before(by.Add(flush)) {
		s.conns.closeIdle(s.conns.count())
		if s.requests.Load() == 0 && s.conns.count() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// flush is what the last answers take to be written.
const flush = 100 * time.Millisecond

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*callerConn)
	if !c.claim() {
		panic(http.ErrAbortHandler)
	}
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if s.closing.Load() || len(r.TransferEncoding) > 0 { // the gate follows no bodies of untold length
		w.Header().Set("Connection", "close")
	}
	if s.health != "" && r.URL.Path == s.health && r.ContentLength == 0 && !c.refused() {
		s.readiness(w)
		return
	}
	if status := c.unfit(); status != 0 {
		s.turnAway(w, status)
		return
	}
	x, local := s.router.Route(r)
	if local != nil {
		s.local(w, local, r.ContentLength != 0)
		return
	}
	defer x.End()
	b := &body{budget: x.Bodies()}
	defer b.release()
	err := b.read(w, r, time.Now().Add(wholeIn))
	switch {
	case errors.Is(err, errTooLarge):
		s.turnAway(w, http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoMemory): // nothing was sent: a refusal like any other
		s.turnAway(w, http.StatusServiceUnavailable)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.turnAway(w, http.StatusRequestTimeout)
		return
	case err != nil, c.refused(): // broken off, unreadable, or more than its length told
		s.turnAway(w, http.StatusBadRequest)
		return
	}
	a := x.Do(r.Context(), b.bytes)
	if own := x.Reply(a); own != nil {
		s.local(w, own, false)
		return
	}
	s.answer(w, r, a)
}

// local gives an answer of the program's own. Unread tells that the request's body may still be on its way: then the
// connection ends too.
func (s *Server) local(w http.ResponseWriter, from *Reply, unread bool) {
	for name, values := range from.Header {
		w.Header()[name] = values
	}
	if from.Close || unread {
		// Package http reads on for some time to let the answer arrive; that time is short.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		w.Header().Set("Connection", "close")
	}
	write(w, from.Status, from.Body)
}

// turnAway answers a request that can't be served, and ends its connection: what else stands on it is not to be
// trusted.
func (s *Server) turnAway(w http.ResponseWriter, status int) {
	s.local(w, &Reply{Status: status, Close: true}, true)
}

func (s *Server) readiness(w http.ResponseWriter) {
	if s.ready.Load() && !s.ending.Load() {
		reply(w, http.StatusOK)
	} else {
		reply(w, http.StatusServiceUnavailable)
	}
}

// reply writes an answer of the sidecar's own.
func reply(w http.ResponseWriter, status int) {
	write(w, status, nil)
}

func write(w http.ResponseWriter, status int, body []byte) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if len(body) > 0 {
		if _, err := w.Write(body); err != nil {
			panic(http.ErrAbortHandler) // cuts the answer off, for all to see
		}
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, a host.Answer) {
	switch {
	case a.Reply != nil:
		pass(w, a.Reply, r.Method == http.MethodHead)
	case a.Refused:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		reply(w, http.StatusServiceUnavailable)
	default: // never 429 or 503: those promise that trying again is harmless
		reply(w, http.StatusBadGateway)
	}
}

// pass gives the caller an endpoint's answer.
func pass(w http.ResponseWriter, from *upstream.Answer, head bool) {
	h := w.Header()
	closing := h.Get("Connection")
	for name, values := range EndToEnd(from.Header) {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // package http would guess one
	}
	if head { // the length told is that of a GET's answer
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		w.WriteHeader(from.Status)
		return
	}
	write(w, from.Status, from.Body)
}
