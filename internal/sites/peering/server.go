package peering

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"silvertrail/internal/sites/accounting"
)

const (
	minConnectionCapacity = 64 // connections accepted at once, of all sites; more if the sites may have more

	// connectionWindowBytes bounds what is in transit in one direction, and so what a small request or a heartbeat waits
	// behind on a narrow path. With a round trip of 30 ms it lets 17 MB a second pass.
	connectionWindowBytes = 512 << 10

	idleTimeout       = 2 * time.Second
	sessionIdleTimeout       = time.Minute // of a connection without any stream
	acceptBackoff     = 20 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
	maxFrameBytes     = 64 << 10
	maxHTTPHeaderBytes  = 16 << 10
	controlStreams    = 16 // beside the requests of a connection: heartbeats and the like
)

// server accepts the other sites' connections.
type server struct {
	transport  *Transport
	listener   net.Listener
	h2         *http2.Server
	httpServer *http.Server // its Shutdown sends GOAWAY on all connections
	handlers   sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]bool
	sites       map[string]*siteSessions
}

// listen opens the listener and accepts connections until close.
func (t *Transport) listen() (*server, error) {
	listener, err := net.Listen("tcp", t.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	s := &server{
		transport:   t,
		listener:    listener,
		connections: map[net.Conn]bool{},
		sites:       map[string]*siteSessions{},
		h2: &http2.Server{
			MaxConcurrentStreams:         uint32(t.options.MaxInFlight + controlStreams), // beyond it the sender waits
			MaxReadFrameSize:             maxFrameBytes,
			MaxUploadBufferPerStream:     maxMessageBytes,
			MaxUploadBufferPerConnection: connectionWindowBytes,
			ReadIdleTimeout:              idleTimeout,
			PingTimeout:                  idleTimeout,
			IdleTimeout:                  sessionIdleTimeout,
			WriteByteTimeout:             idleTimeout,
		},
		httpServer: &http.Server{
			MaxHeaderBytes: maxHTTPHeaderBytes,
			ErrorLog:       slog.NewLogLogger(t.log.Handler(), slog.LevelDebug),
		},
	}
	if err := http2.ConfigureServer(s.httpServer, s.h2); err != nil {
		listener.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	t.goroutines.Go(s.accept)
	return s, nil
}

// accept serves connections until the listener is closed. Beyond the capacity they are closed at once.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // the process is out of file descriptors
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		go func() {
			defer s.handlers.Done()
			defer s.release(conn)
			if err := s.serveConnection(conn); err != nil {
				s.transport.log.Warn("connection rejected", "component", "link", "from", conn.RemoteAddr().String(), "error", err)
			}
		}()
	}
}

// admit counts a connection, if there is capacity for it.
func (s *server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= s.connectionCapacity() || s.transport.ctx.Err() != nil {
		return false
	}
	s.connections[conn] = true
	s.handlers.Add(1)
	return true
}

// release closes a connection and ends its count.
func (s *server) release(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

// connectionCapacity returns the number of connections accepted at once: twice what all sites may have, as one may end
// late after the other end has opened another.
func (s *server) connectionCapacity() int {
	_, all := s.transport.gatewayCounts()
	return max(minConnectionCapacity, 2*maxConnections*all)
}

// serveConnection authenticates the other end and serves the connection until it ends.
func (s *server) serveConnection(conn net.Conn) error {
	c := &connection{server: s}
	if s.transport.credentials != nil {
		secured := tls.Server(conn, s.transport.credentials.serverConfig())
		ctx, cancel := context.WithTimeout(s.transport.ctx, handshakeTimeout)
		defer cancel()
		if err := secured.HandshakeContext(ctx); err != nil {
			return err
		}
		site, err := peerSite(secured, s.transport.isPeer)
		if err != nil {
			return err
		}
		c.site = site
		conn = secured
	}
	s.h2.ServeConn(conn, &http2.ServeConnOpts{Context: s.transport.ctx, BaseConfig: s.httpServer, Handler: c})
	c.close()
	return nil
}

// drain asks all sites to connect elsewhere, and waits until their connections have ended or ctx ends.
func (s *server) drain(ctx context.Context) {
	s.listener.Close()
	_ = s.httpServer.Shutdown(ctx) // what is still open when ctx ends is closed with the process
	for s.connectionCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// connectionCount returns the number of connections that are served.
func (s *server) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// close closes the listener and all connections, and waits for their handlers.
func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.connections {
		conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

// counters returns the counters of what came from a site.
func (s *server) counters(site string) []accounting.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.sites[site]
	if received == nil {
		return nil
	}
	all := received.retiredCounters
	for _, session := range received.sessions {
		all = accounting.Merge(all, session.counters())
	}
	return all
}
