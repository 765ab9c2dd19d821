// Package frontend serves callers.
package frontend

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"maplepulley/internal/config"
	"maplepulley/internal/host"
	"maplepulley/internal/upstream"
)

const (
	headTimeout  = 4 * time.Second // a slow caller takes 2 s for its head
	idleTimeout  = 60 * time.Second
	writeTimeout = 10 * time.Second // for a piece of an answer: a caller that reads nothing holds up no more
	maxHead      = 16 << 10
)

// Server takes callers' requests and gives each one final answer.
type Server struct {
	config   *config.Config
	host     *host.Host
	conns    *callerConns
	http     *http.Server
	bodies   *semaphore.Weighted
	ready    atomic.Bool
	ending   atomic.Bool
	requests atomic.Int64 // in work
}

// New returns a server on l with at most maxConns connections and maxBodies bytes of request bodies.
func New(c *config.Config, h *host.Host, l net.Listener, maxConns int, maxBodies int64, errorLog *log.Logger) *Server {
	s := &Server{config: c, host: h, conns: newCallerConns(l, maxConns), bodies: semaphore.NewWeighted(maxBodies)}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ConnState:         changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: errorLog,
	}
	return s
}

type connKey struct{}

// Serve takes connections until End closes the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.conns)
	if s.ending.Load() {
		return nil
	}
	return err
}

// Ready lets the readiness check pass.
func (s *Server) Ready() { s.ready.Store(true) }

// Conns returns the number of callers' connections.
func (s *Server) Conns() int { return s.conns.count() }

// acceptOn is how long new connections go on coming once the process has been asked to end.
const acceptOn = 500 * time.Millisecond

// End finishes what is held and returns when all is answered, or at the given time. Callers go on using the
// connections that they have, and new ones go on coming for a while: both are served, and closed after an answer.
func (s *Server) End(by time.Time) {
	s.ending.Store(true)
	s.host.End(by)
	s.conns.closeIdle(cap(s.conns.room))
	time.Sleep(acceptOn)
	s.conns.Listener.Close()
	for time.Now().Before(by.Add(flush)) {
		s.conns.closeIdle(cap(s.conns.room))
		if s.requests.Load() == 0 && s.conns.count() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// flush is what the last answers take to be written.
const flush = 100 * time.Millisecond

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && !c.claim() {
		panic(http.ErrAbortHandler)
	}
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if s.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" {
		s.health(w)
		return
	}
	up, q, status := s.parse(r)
	if status != 0 {
		reply(w, status)
		return
	}
	b := &body{budget: s.bodies}
	defer b.release()
	switch err := b.read(w, r); {
	case errors.Is(err, errTooLarge):
		reply(w, http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoMemory):
		reply(w, http.StatusServiceUnavailable)
		return
	case err != nil: // broken off, or too slow
		panic(http.ErrAbortHandler)
	}
	up.Body = b.bytes
	call := s.host.Begin(up, q)
	select {
	case a := <-call.Answer():
		s.answer(w, a)
	case <-r.Context().Done():
		s.host.Gone(call)
		select {
		case a := <-call.Answer(): // it came first
			s.answer(w, a)
		default: // nobody reads this, unless the caller has closed its sending side alone
			reply(w, http.StatusBadGateway)
		}
	}
}

func (s *Server) health(w http.ResponseWriter) {
	if s.ready.Load() && !s.ending.Load() {
		reply(w, http.StatusOK)
	} else {
		reply(w, http.StatusServiceUnavailable)
	}
}

// reply writes an answer of the sidecar's own.
func reply(w http.ResponseWriter, status int) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (s *Server) answer(w http.ResponseWriter, a host.Answer) {
	switch {
	case a.Reply != nil:
		pass(w, a)
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
func pass(w http.ResponseWriter, a host.Answer) {
	conn := http.NewResponseController(w)
	h := w.Header()
	for name, values := range endToEnd(a.Reply.Header) {
		h[name] = values
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // package http would guess one
	}
	h.Del("Content-Length")
	if !a.Reply.Long {
		h.Set("Content-Length", strconv.Itoa(len(a.Reply.Body)))
	} else if a.Reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Reply.Length, 10))
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(a.Reply.Body)
	if !a.Reply.Long {
		return
	}
	if err == nil {
		err = stream(w, conn, a.Reply)
	}
	a.Ended(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler) // cuts the answer off, for all to see
	}
}

// stream passes on the rest of a long answer as it comes.
func stream(w http.ResponseWriter, conn *http.ResponseController, from *upstream.Answer) error {
	buf := make([]byte, 32<<10)
	for {
		if err := conn.Flush(); err != nil {
			return err
		}
		n, err := from.Read(buf)
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
