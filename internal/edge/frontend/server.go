// Package frontend serves clients over HTTP/1.1, with or without TLS. It accepts connections, reads requests, passes them to the
// exchanges that a Router returns, and writes one final response to each request.
//
// A Server uses the goroutine that calls Serve and one goroutine for each connection. Another goroutine watches each connection whose
// request stays in flight, to detect a disconnect of the client.
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

// Budget is the memory that request bodies share. Acquire waits for n bytes until ctx ends. *semaphore.Weighted implements Budget.
type Budget interface {
	Acquire(ctx context.Context, n int64) error
	Release(n int64)
}

// Router selects the exchange that serves a request.
type Router interface {
	// Route returns the exchange that serves the request, or a reply to write at once. These fields of the request are set: Method,
	// RequestURI, Host, Header, ContentLength, TransferEncoding and RemoteAddr. The server reuses the request after Route has returned,
	// so that only the header's values may be retained.
	Route(r *http.Request) (Exchange, *Reply)
}

// Exchange is one request and its response.
type Exchange interface {
	// BodyBudget returns the budget from which memory for the request's body is reserved.
	BodyBudget() Budget
	// Timeout returns how long after its last byte the request must have its response. It is called before Do and Stream.
	Timeout() time.Duration
	// Do serves the request and returns its final result. The request's deadline counts from receivedAt, when its last byte reached this
	// machine. When ctx ends, the client has disconnected and nobody reads the response.
	Do(ctx context.Context, body []byte, receivedAt time.Time) engine.Result
	// Reply returns the response to write in place of the one that the server makes from the result. It returns nil to keep the
	// server's response.
	Reply(result engine.Result) *Reply
	// Delivered is called after the response was written, or could not be. It is not called if serving the request panics.
	Delivered(d Delivery)
	// Close releases the exchange. The server calls it after every exchange, including one whose body was not received.
	Close()
}

// Reply is a response that this process generates, as opposed to one forwarded from an endpoint.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Close makes the server close the connection after the response, because further input on it cannot be trusted.
	Close bool
}

// healthPath is the path of the readiness check. The platform's page defines it.
const healthPath = "/health/ready"

// Server serves the connections of one listener. All its methods may be called from any goroutine.
//
// Server parses messages itself and does not use net/http's server. It rejects a message that an endpoint might parse differently, and it
// parses each head only once.
type Server struct {
	router       Router
	acceptor     *acceptor
	errorLog     *log.Logger
	ready        atomic.Bool
	shuttingDown atomic.Bool   // the readiness check fails
	closing      atomic.Bool   // each connection is closed after its current response
	retired      atomic.Bool   // another process accepts new connections
	acceptWake   chan struct{} // wakes Serve after Resume, Shutdown and Close; buffers one token
	inFlight     atomic.Int64  // number of requests in flight
	// receiving ends when no body is received any more, at the deadline of a shutdown.
	receiving     context.Context
	stopReceiving context.CancelFunc
}

// New returns a server for the connections of l, with p as its admission policy.
func New(router Router, l net.Listener, p admission.Policy, errorLog *log.Logger) *Server {
	s := &Server{router: router, errorLog: errorLog, acceptWake: make(chan struct{}, 1)}
	s.receiving, s.stopReceiving = context.WithCancel(context.Background())
	s.acceptor = newAcceptor(l, p, s.serve)
	return s
}

const (
	acceptBackoff    = 5 * time.Millisecond // wait after a failed accept; doubled after each further failure
	maxAcceptBackoff = time.Second
	maxAcceptSleep   = 80 * time.Millisecond // clients wait during the sleep; descriptors may become free
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
		default: // descriptors or memory are exhausted; open connections are still served
			if backoff > maxAcceptBackoff/2 || backoff == acceptBackoff { // log the first failure, then only those with a long backoff
				s.errorLog.Printf("accept: %v", err)
			}
			time.Sleep(min(backoff, maxAcceptSleep))
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// SetPolicy replaces the admission policy.
func (s *Server) SetPolicy(p admission.Policy) { s.acceptor.setPolicy(p) }

// SetTLS sets the TLS configuration of new connections. With nil, new connections do not use TLS.
func (s *Server) SetTLS(config *TLSConfig) { s.acceptor.tlsConfig.Store(config) }

// TLS returns the TLS configuration of new connections, or nil if they do not use TLS.
func (s *Server) TLS() *TLSConfig { return s.acceptor.tlsConfig.Load() }

// OnExhausted registers f to be called when the process has no file descriptor left for a new connection.
func (s *Server) OnExhausted(f func()) { s.acceptor.onExhausted.Store(&f) }

// FreeDescriptors closes idle connections after file descriptors were exhausted, and returns the number of closed connections.
func (s *Server) FreeDescriptors() int { return s.acceptor.freeDescriptors() }

// Status returns the state of the connections, listing at most the given number of sources.
func (s *Server) Status(sources int) admission.Status { return s.acceptor.status(sources) }

// AddressStatus returns the admission state of a client address.
func (s *Server) AddressStatus(a netip.Addr) admission.AddressStatus {
	return s.acceptor.addressStatus(a)
}

// Conns returns the number of connections that are open or wait for admission.
func (s *Server) Conns() int { return s.acceptor.count() }

// SetReady makes the readiness check pass, until Shutdown is called.
func (s *Server) SetReady() { s.ready.Store(true) }

func (s *Server) readiness() int {
	if s.ready.Load() && !s.shuttingDown.Load() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
