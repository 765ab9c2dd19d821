package peering

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

const (
	maxErrorBytes = 1024 // limit on the bytes read from an error response
)

// The errors that end a session. The status of the link contains their texts.
var (
	errConnectionBroken = errors.New("the connection has broken")
	errHeartbeatTimeout = errors.New("no answer to a heartbeat in time")
	errPeerDraining     = errors.New("the other end asks for a new connection")
)

// session is the sending end of one connection to a remote gateway, with the accounting of the requests forwarded on it.
type session struct {
	gateway       *gateway
	id            uint64
	remoteProcess uint64 // process ID that the remote gateway sent in its greeting
	conn          net.Conn
	client        *http2.ClientConn
	wakeups       chan struct{} // holds a token when run must check the session at once

	mu           sync.Mutex
	sender       *accounting.Sender
	waiters      map[uint64]chan accounting.Outcome // by request number; of requests that ended without a response
	roundTrip    time.Duration                      // moving average
	lastResponse time.Time
	ended        bool // the connection is closed, and no further request is sent
}

// connect opens a session to the remote gateway: it dials, sends the greeting and exchanges a first heartbeat.
func (g *gateway) connect() (*session, error) {
	ctx, cancel := context.WithTimeout(g.ctx, handshakeTimeout)
	defer cancel()
	conn, err := g.dial(ctx)
	if err != nil {
		return nil, err
	}
	s := &session{
		gateway: g,
		id:      rand.Uint64() | 1,
		conn:    conn,
		sender:  accounting.NewSender(),
		waiters: map[uint64]chan accounting.Outcome{},
		wakeups: make(chan struct{}, 1),
	}
	if err := s.open(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	g.add(s)
	return s, nil
}

// dial connects to the remote gateway, with TLS if there are credentials.
func (g *gateway) dial(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", g.address)
	if err != nil {
		return nil, err
	}
	if g.transport.credentials == nil {
		return conn, nil
	}
	secured := tls.Client(conn, g.transport.credentials.clientConfig(g.site))
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return secured, nil
}

// open starts HTTP/2 on the connection, sends the greeting and exchanges a first heartbeat.
func (s *session) open(ctx context.Context) error {
	client, err := newClientConn(s.conn)
	if err != nil {
		return err
	}
	s.client = client
	if err := s.greet(ctx); err != nil {
		return err
	}
	return s.exchangeHeartbeat()
}

// newClientConn starts HTTP/2 on a connection.
func newClientConn(conn net.Conn) (*http2.ClientConn, error) {
	transport, err := http2.ConfigureTransports(&http.Transport{
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests:   true,
			MaxReceiveBufferPerConnection: connectionWindowBytes,
			MaxReceiveBufferPerStream:     maxMessageBytes,
		},
	})
	if err != nil {
		return nil, err
	}
	transport.AllowHTTP = true
	return transport.NewClientConn(conn)
}

// greet sends the greeting that opens the session at the remote gateway.
func (s *session) greet(ctx context.Context) error {
	t := s.gateway.transport
	request := &helloRequest{
		OldestVersion: oldestVersion,
		NewestVersion: newestVersion,
		Site:          t.options.Site,
		ToSite:        s.gateway.site,
		ProcessID:     t.processID,
		SessionID:     s.id,
	}
	var response helloResponse
	err := s.request(ctx, pathHello, request, &response)
	switch {
	case err != nil:
		return err
	case response.Error != "":
		return fmt.Errorf("greeted with: %s", response.Error)
	case response.Version < oldestVersion || response.Version > newestVersion:
		return fmt.Errorf("the other end speaks version %d", response.Version)
	}
	s.remoteProcess = response.ProcessID
	return nil
}

// end closes the connection. No further request is sent on the session.
func (s *session) end() {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// run sends heartbeats and settles requests without a response until the session ends. It returns the error that ended
// the session.
func (s *session) run() error {
	ticker := time.NewTicker(s.gateway.transport.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.gateway.ctx.Done():
			return s.gateway.ctx.Err()
		case <-ticker.C:
			if err := s.exchangeHeartbeat(); err != nil {
				return err
			}
		case <-s.wakeups:
		}
		switch state := s.client.State(); {
		case state.Closed:
			return errConnectionBroken
		case state.Closing:
			return errPeerDraining
		}
		if err := s.settleAll(); err != nil {
			return err
		}
	}
}

// wake makes run check the connection and settle requests at once, without waiting for the next heartbeat.
func (s *session) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// exchangeHeartbeat sends this site's state to the remote gateway and records the state in its response. A late response is
// not an error while the remote gateway answers other requests.
func (s *session) exchangeHeartbeat() error {
	t := s.gateway.transport
	ctx, cancel := context.WithTimeout(s.gateway.ctx, t.options.HeartbeatTimeout)
	defer cancel()
	s.mu.Lock()
	message := &heartbeat{SettledTo: s.sender.SettledTo(), RoundTrip: s.roundTrip.Microseconds()}
	s.mu.Unlock()
	started := time.Now()
	message.Clock = t.clock()
	message.State = t.options.Handler.State()
	var response heartbeat
	err := s.request(ctx, pathState, message, &response)
	switch {
	case errors.Is(err, context.DeadlineExceeded) && s.isUnresponsive():
		return errHeartbeatTimeout
	case errors.Is(err, context.DeadlineExceeded):
		return nil
	case err != nil:
		return err
	}
	roundTrip := time.Since(started)
	s.mu.Lock()
	s.roundTrip = forwarding.AverageRoundTrip(s.roundTrip, roundTrip)
	s.mu.Unlock()
	t.markConnected(s.gateway, response.State, roundTrip)
	return nil
}

// isUnresponsive reports whether no response of any kind has arrived within the heartbeat timeout.
func (s *session) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastResponse) >= s.gateway.transport.options.HeartbeatTimeout
}

// inFlight returns the number of forwarded requests on the session without a known outcome.
func (s *session) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sender.Pending()
}

// counters returns the counters of the requests sent on the session.
func (s *session) counters() []accounting.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sender.Counters()
}

// request sends a message on the session's connection and decodes the response.
func (s *session) request(ctx context.Context, path string, message, response any) error {
	return s.requestWhileConnected(ctx, path, message, response, nil)
}

// requestWhileConnected is like request, for a client that may disconnect. Once isDisconnected returns true, the rest of the
// message is not sent, so that the remote gateway never has the complete message. isDisconnected may be nil.
func (s *session) requestWhileConnected(ctx context.Context, path string, message, response any, isDisconnected func() bool) error {
	payload, err := encode(message)
	if err != nil {
		return err
	}
	if len(payload) > maxMessageBytes {
		return fmt.Errorf("link: a message of %d bytes, over %d", len(payload), maxMessageBytes)
	}
	body := &abortableReader{bytes.NewReader(payload), isDisconnected}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+s.gateway.site+path, body)
	if err != nil {
		return err
	}
	httpRequest.ContentLength = int64(len(payload))
	httpResponse, err := s.client.RoundTrip(httpRequest)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	s.mu.Lock()
	s.lastResponse = time.Now()
	s.mu.Unlock()
	if httpResponse.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(httpResponse.Body, maxErrorBytes))
		return fmt.Errorf("link: answered with %d %s", httpResponse.StatusCode, bytes.TrimSpace(detail))
	}
	return decode(httpResponse.Body, response)
}

// abortableReader reads a message as long as its client is connected. HTTP/2 reads it only when the connection can send
// data. The check for a disconnect therefore comes after any wait for a stream or for the flow-control window.
type abortableReader struct {
	message        io.Reader
	isDisconnected func() bool // nil: the client stays connected
}

var errClientDisconnected = errors.New("link: the client has disconnected")

// Read implements io.Reader.
func (r *abortableReader) Read(b []byte) (int, error) {
	if r.isDisconnected != nil && r.isDisconnected() {
		return 0, errClientDisconnected
	}
	return r.message.Read(b)
}

// forward sends a request and waits for its response. The caller has reserved a stream for it. If no valid response arrives,
// run settles the outcome with the remote gateway.
func (s *session) forward(ctx context.Context, r *Request) ForwardResult {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return ForwardResult{Outcome: accounting.NeverRan}
	}
	r.Number = s.sender.Send(accounting.Kind{Class: r.Class, Tenant: r.Tenant, Reason: r.Reason})
	s.mu.Unlock()
	r.Clock = s.gateway.transport.clock()
	response := &Response{}
	err := s.requestWhileConnected(ctx, pathCall, r, response, r.IsDisconnected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && response.Number == r.Number {
		s.sender.Resolve(r.Number, response.Outcome)
		return ForwardResult{Response: response, Outcome: response.Outcome, Sent: true}
	}
	s.sender.Abandon(r.Number)
	settled := make(chan accounting.Outcome, 1)
	s.waiters[r.Number] = settled
	s.wake()
	return ForwardResult{Sent: true, settled: settled}
}
