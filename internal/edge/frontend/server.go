// Package frontend serves clients over HTTP/1.1, with or without TLS: it accepts connections, reads requests, passes them to a Router's
// exchanges, and writes each request's one final response.
//
// A Server owns the goroutine that calls Serve, one goroutine for each connection, and one that watches for a client's disconnect while
// its request is in flight.
package frontend

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/admission"
)

// Budget is memory that request bodies share. Acquire waits for n bytes until ctx ends; *semaphore.Weighted is one.
type Budget interface {
	Acquire(ctx context.Context, n int64) error
	Release(n int64)
}

// Router decides what serves a request whose head was read.
type Router interface {
	// Route returns the exchange that serves the request, or a reply to it. Of the request Method, RequestURI, Host, Header,
	// ContentLength, TransferEncoding and RemoteAddr are set. It belongs to the server again when Route returns, except for the values
	// of the header.
	Route(r *http.Request) (Exchange, *Reply)
}

// Exchange is one request with its response.
type Exchange interface {
	// BodyBudget returns the memory for the request's body.
	BodyBudget() Budget
	// Do returns the request's one final result. Its time counts from receivedAt, when its last byte reached this machine. Where ctx
	// ends the client has disconnected, and nobody reads the response.
	Do(ctx context.Context, body []byte, receivedAt time.Time) engine.Result
	// Reply returns the response in place of the server's own; nil where that is right.
	Reply(a engine.Result) *Reply
	// Close is called after every exchange, also one whose body was not received.
	Close()
}

// Reply is a response that this program makes itself.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close has the connection closed: further input cannot be trusted.
	Close bool
}

// healthPath is the path of the readiness check, which the platform's page defines.
const healthPath = "/health/ready"

// Server serves the connections of one listener. All its methods may be called from any goroutine.
//
// It reads messages itself, not through net/http: a message that this server and an endpoint may read in different ways is rejected, and
// a head is parsed once.
type Server struct {
	router       Router
	acceptor     *acceptor
	errorLog     *log.Logger
	ready        atomic.Bool
	shuttingDown atomic.Bool   // not ready any more
	closing      atomic.Bool   // connections are closed after their responses
	retired      atomic.Bool   // another process accepts new connections
	acceptWake   chan struct{} // holds a token after Resume and at the end
	inFlight     atomic.Int64  // requests
}

// New returns a server on a listener with an admission policy.
func New(router Router, l net.Listener, p admission.Policy, errorLog *log.Logger) *Server {
	s := &Server{router: router, errorLog: errorLog, acceptWake: make(chan struct{}, 1)}
	s.acceptor = newAcceptor(l, p, s.serve)
	return s
}

const (
	acceptBackoff    = 5 * time.Millisecond // after a failed accept; doubled with each further one
	maxAcceptBackoff = time.Second
	maxAcceptSleep   = 80 * time.Millisecond // clients wait meanwhile, and descriptors become free
)

// Serve accepts connections until Shutdown or Close closes the listener.
func (s *Server) Serve() error {
	backoff := acceptBackoff
	for {
		c, err := s.acceptor.accept()
		switch {
		case err == nil:
			backoff = acceptBackoff
			go s.serve(c)
		case s.closing.Load():
			return nil
		case s.retired.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			<-s.acceptWake
		case errors.Is(err, net.ErrClosed):
			return err
		default: // descriptors or memory are exhausted for now: open connections are served on
			if backoff > maxAcceptBackoff/2 || backoff == acceptBackoff { // the first failure, then from time to time
				s.errorLog.Printf("accept: %v", err)
			}
			time.Sleep(min(backoff, maxAcceptSleep))
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// SetPolicy puts another admission policy in force.
func (s *Server) SetPolicy(p admission.Policy) { s.acceptor.setPolicy(p) }

// SetTLS has new connections use TLS; nil: none.
func (s *Server) SetTLS(config *TLSConfig) { s.acceptor.tlsConfig.Store(config) }

// TLS returns the TLS configuration of new connections, or nil.
func (s *Server) TLS() *TLSConfig { return s.acceptor.tlsConfig.Load() }

// OnExhausted has f called when the process has no descriptor for a connection.
func (s *Server) OnExhausted(f func()) { s.acceptor.onExhausted.Store(&f) }

// FreeDescriptors closes idle connections after descriptors were exhausted, and returns how many.
func (s *Server) FreeDescriptors() int { return s.acceptor.freeDescriptors() }

// Status returns the state of the connections, with at most the given number of sources.
func (s *Server) Status(sources int) admission.Status { return s.acceptor.status(sources) }

// AddressStatus returns the state of an address.
func (s *Server) AddressStatus(a netip.Addr) admission.AddressStatus {
	return s.acceptor.addressStatus(a)
}

// Conns returns the number of connections.
func (s *Server) Conns() int { return s.acceptor.count() }

// SetReady lets the readiness check pass.
func (s *Server) SetReady() { s.ready.Store(true) }

func (s *Server) readiness() int {
	if s.ready.Load() && !s.shuttingDown.Load() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
