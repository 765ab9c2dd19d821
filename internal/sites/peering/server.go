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
	minConnectionCapacity = 64 // lower limit of server.connectionCapacity

	// connectionWindowBytes is the HTTP/2 flow-control window of a connection. It limits the data in transit in one
	// direction, and so the data that delays a small request or a heartbeat on a path of low bandwidth. With a round trip
	// of 30 ms it allows 17 MB/s.
	connectionWindowBytes = 512 << 10

	// idleTimeout limits three waits on a connection: for a frame before a ping is sent, for the response to the ping, and
	// for progress of a write.
	idleTimeout = 2 * time.Second

	sessionIdleTimeout = time.Minute           // after which a connection without streams is closed
	acceptBackoff      = 20 * time.Millisecond // after an error of Accept
	drainPollInterval  = 10 * time.Millisecond // between two checks for open connections while draining
	maxFrameBytes      = 64 << 10
	maxHTTPHeaderBytes = 16 << 10
	controlStreams     = 16 // of a connection, beside those of MaxInFlight requests, for heartbeats and other control messages
)

// server accepts the connections of the other sites' gateways.
type server struct {
	transport  *Transport
	listener   net.Listener
	h2         *http2.Server
	httpServer *http.Server   // for ServeConn; its Shutdown sends GOAWAY on all connections
	handlers   sync.WaitGroup // one for each accepted connection

	mu          sync.Mutex
	connections map[net.Conn]bool        // accepted and not closed
	sites       map[string]*siteSessions // by site name
}

// listen opens the listener and starts to accept connections.
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
			MaxConcurrentStreams:         uint32(t.options.MaxInFlight + controlStreams), // at the limit the sender waits
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

// accept serves connections until the listener is closed. Connections over the capacity are closed at once.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // usually the process has no file descriptor left
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

// admit counts a connection. It returns false if the capacity is reached or the transport is stopped.
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

// release closes a connection and stops counting it.
func (s *server) release(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

// connectionCapacity returns the maximum number of open connections. It is twice the number that the gateways of all sites
// may use, because an old connection may end only after its replacement has been opened.
func (s *server) connectionCapacity() int {
	_, total := s.transport.gatewayCounts()
	return max(minConnectionCapacity, 2*maxConnections*total)
}

// serveConnection authenticates the client, if TLS is used, and serves the connection until it ends.
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

// drain stops accepting connections and sends GOAWAY on the open ones. It waits until they have ended or ctx ends.
func (s *server) drain(ctx context.Context) {
	s.listener.Close()
	_ = s.httpServer.Shutdown(ctx) // connections still open when ctx ends are closed with the process
	for s.connectionCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// connectionCount returns the number of open connections.
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

// counters returns the counters of all requests received from a site.
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
