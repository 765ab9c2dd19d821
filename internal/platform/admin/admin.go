// Package admin serves operators at an address of their own: HTTP/1.1, one call to a connection. It hands calls on and
// decides nothing.
//
// Its connections are few and end by themselves: of those that have brought no whole call yet the oldest ends when there
// are too many. It guards against callers that connect and say nothing, so that a good one always finds a place; it could
// hurt a caller that takes long for its head while many others come.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// MaxConnections bounds the connections: a few callers that hang, and room for those that do not.
	MaxConnections = 16

	headTimeout     = 2 * time.Second // a call is a head alone
	responseTimeout = 2 * time.Second
	maxHeadBytes    = 8 << 10
	maxIDBytes      = 256
)

// ErrUnknownEndpoint says that an endpoint was never listed.
var ErrUnknownEndpoint = errors.New("never listed")

// Operations are what a call may ask for. They must not block for longer than a caller waits, 1 s.
type Operations interface {
	// IsReady tells whether this process takes clients.
	IsReady() bool
	// Stats returns the figures as JSON.
	Stats() []byte
	// SetEjected keeps an endpoint from new calls, or ends that. ErrUnknown tells that it was never listed.
	SetEjected(ctx context.Context, id string, on bool) error
}

// Server is the operators' address.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	waiting []net.Conn // that have not brought a call yet, the oldest first
	open    map[net.Conn]bool
}

// New returns a server on l. Serve must be called.
func New(l net.Listener, o Operations, errors *log.Logger) *Server {
	s := &Server{open: map[net.Conn]bool{}}
	s.listener = l
	s.http = &http.Server{Handler: handler(o), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout, WriteTimeout: responseTimeout,
		IdleTimeout: headTimeout, MaxHeaderBytes: maxHeadBytes, ErrorLog: errors, ConnState: s.trackConnection}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve serves until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close ends all calls and connections.
func (s *Server) Close() error { return s.http.Close() }

// trackConnection keeps the number of connections within its bound.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	var over net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		if len(s.open) >= MaxConnections && len(s.waiting) > 0 {
			over = s.waiting[0]
			s.waiting = s.waiting[1:]
			delete(s.open, over)
		}
		s.open[c] = true
		s.waiting = append(s.waiting, c)
	case http.StateActive: // its call is whole, and answered in a moment
		s.removeWaiting(c)
	case http.StateClosed, http.StateHijacked:
		s.removeWaiting(c)
		delete(s.open, c)
	}
	s.mu.Unlock()
	if over != nil {
		over.Close()
	}
}

// removeWaiting takes a connection off the list of those that have brought no call. The caller holds the lock.
func (s *Server) removeWaiting(c net.Conn) {
	for i, o := range s.waiting {
		if o == c {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

const (
	readinessPath = "/ops/readiness"
	statsPath     = "/ops/stats"
	downPrefix    = "/ops/endpoints/down/"
	upPrefix      = "/ops/endpoints/up/"
)

func handler(o Operations) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.EscapedPath()
		switch {
		case path == readinessPath:
			if !allow(w, r, http.MethodGet) {
				return
			}
			if !o.IsReady() {
				writeText(w, http.StatusServiceUnavailable, "this process takes no clients now")
				return
			}
			writeText(w, http.StatusOK, "ready")
		case path == statsPath:
			if !allow(w, r, http.MethodGet) {
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(o.Stats())
		case strings.HasPrefix(path, downPrefix):
			setEjected(w, r, o, path[len(downPrefix):], true)
		case strings.HasPrefix(path, upPrefix):
			setEjected(w, r, o, path[len(upPrefix):], false)
		default:
			writeText(w, http.StatusNotFound, "no such call; there are GET "+readinessPath+", GET "+statsPath+", PUT "+downPrefix+"ID, PUT "+upPrefix+"ID")
		}
	})
}

func setEjected(w http.ResponseWriter, r *http.Request, o Operations, escaped string, on bool) {
	if !allow(w, r, http.MethodPut) {
		return
	}
	id, err := url.PathUnescape(escaped)
	if err != nil || id == "" || len(id) > maxIDBytes || strings.Contains(escaped, "/") {
		writeText(w, http.StatusBadRequest, "the last part of the path must be one endpoint's id, percent-encoded")
		return
	}
	switch err := o.SetEjected(r.Context(), id, on); {
	case errors.Is(err, ErrUnknownEndpoint):
		writeText(w, http.StatusNotFound, fmt.Sprintf("endpoint %q was never listed here", id))
	case err != nil:
		writeText(w, http.StatusInternalServerError, err.Error())
	case on:
		writeText(w, http.StatusOK, fmt.Sprintf("endpoint %q gets nothing more", id))
	default:
		writeText(w, http.StatusOK, fmt.Sprintf("endpoint %q may serve again", id))
	}
}

func allow(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method || method == http.MethodGet && r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", method)
	writeText(w, http.StatusMethodNotAllowed, r.Method+" is not allowed here, "+method+" is")
	return false
}

func writeText(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, why)
}
