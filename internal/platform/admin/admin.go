// Package admin serves the administration interface at an address of its own. It uses HTTP/1.1 with one call per connection,
// and passes each call to an Operations implementation.
//
// The number of connections is limited. Above the limit, the server closes the oldest connection without a complete call, so
// that clients that connect and send nothing cannot use up all connections. The connection of a client that sends its request
// head slowly may therefore be closed while many other clients connect.
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
	// MaxConnections is the maximum number of connections. It allows for a few clients that hang, with capacity left for
	// others.
	MaxConnections = 16

	headTimeout     = 2 * time.Second // for the whole call, which has a head and no body
	responseTimeout = 2 * time.Second
	maxHeadBytes    = 8 << 10
	maxIDBytes      = 256
)

// ErrUnknownEndpoint means that an endpoint was never in an endpoint list.
var ErrUnknownEndpoint = errors.New("admin: the endpoint was never listed")

// Operations implements the calls. Each method must return within 1 s, because clients wait no longer.
type Operations interface {
	// IsReady reports whether this process accepts clients.
	IsReady() bool
	// Stats returns the counters as JSON.
	Stats() []byte
	// SetEjected ejects an endpoint, so that it gets no new requests, or ends its ejection. It returns ErrUnknownEndpoint for an
	// endpoint that was never listed.
	SetEjected(ctx context.Context, id string, ejected bool) error
}

// Server serves the administration interface.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	waiting []net.Conn        // connections without a complete call, oldest first
	open    map[net.Conn]bool // all connections
}

// New returns a server for a listener. The caller must call Serve.
func New(l net.Listener, o Operations, errors *log.Logger) *Server {
	s := &Server{open: map[net.Conn]bool{}}
	s.listener = l
	s.http = &http.Server{Handler: handler(o), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout, WriteTimeout: responseTimeout,
		IdleTimeout: headTimeout, MaxHeaderBytes: maxHeadBytes, ErrorLog: errors, ConnState: s.trackConnection}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close closes the listener and all connections, including those with calls in progress.
func (s *Server) Close() error { return s.http.Close() }

// trackConnection records the state of a connection. If a new connection exceeds MaxConnections, it closes the oldest
// connection without a complete call.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	var excess net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		if len(s.open) >= MaxConnections && len(s.waiting) > 0 {
			excess = s.waiting[0]
			s.waiting = s.waiting[1:]
			delete(s.open, excess)
		}
		s.open[c] = true
		s.waiting = append(s.waiting, c)
	case http.StateActive: // the call is complete and will get its response soon
		s.removeWaiting(c)
	case http.StateClosed, http.StateHijacked:
		s.removeWaiting(c)
		delete(s.open, c)
	}
	s.mu.Unlock()
	if excess != nil {
		excess.Close()
	}
}

// removeWaiting removes a connection from those without a complete call. The caller holds the lock.
func (s *Server) removeWaiting(c net.Conn) {
	for i, waiting := range s.waiting {
		if waiting == c {
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

// setEjected handles a call to eject an endpoint or to end its ejection. escaped is the endpoint's percent-encoded ID.
func setEjected(w http.ResponseWriter, r *http.Request, o Operations, escaped string, ejected bool) {
	if !allow(w, r, http.MethodPut) {
		return
	}
	id, err := url.PathUnescape(escaped)
	if err != nil || id == "" || len(id) > maxIDBytes || strings.Contains(escaped, "/") {
		writeText(w, http.StatusBadRequest, "the last part of the path must be one endpoint's id, percent-encoded")
		return
	}
	switch err := o.SetEjected(r.Context(), id, ejected); {
	case errors.Is(err, ErrUnknownEndpoint):
		writeText(w, http.StatusNotFound, fmt.Sprintf("endpoint %q was never listed here", id))
	case err != nil:
		writeText(w, http.StatusInternalServerError, err.Error())
	case ejected:
		writeText(w, http.StatusOK, fmt.Sprintf("endpoint %q gets nothing more", id))
	default:
		writeText(w, http.StatusOK, fmt.Sprintf("endpoint %q may serve again", id))
	}
}

// allow reports whether a call has the allowed method, or is HEAD where GET is allowed. Otherwise it writes a response with
// status 405.
func allow(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method || method == http.MethodGet && r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", method)
	writeText(w, http.StatusMethodNotAllowed, r.Method+" is not allowed here, "+method+" is")
	return false
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}
