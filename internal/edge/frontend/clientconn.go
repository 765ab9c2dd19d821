package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/edge/admission"
)

// clientConn is a client's connection. One goroutine serves it. Close may be called from any goroutine.
//
// Heads are parsed strictly to prevent request smuggling. A request is rejected if its head is ambiguous, or if the bytes after its body
// cannot start another request, because then the length of the body was wrong. The connection is closed and no further input is parsed.
// Empty lines between requests are rejected, too.
type clientConn struct {
	net.Conn   // for writing: the socket, or TLS over it
	socket     net.Conn
	received   *receivingSocket // wraps socket
	reader     io.Reader        // for reading: received, or TLS over it
	rawConn    syscall.RawConn
	acceptor   *acceptor
	tlsConfig  *TLSConfig // nil without TLS
	remoteIP   netip.Addr
	remoteAddr string
	ctx        context.Context // cancelled when the connection is closed or the client disconnects
	cancel     context.CancelFunc

	buffer          []byte // backing memory of input
	input           []byte // bytes read but not consumed yet
	request         http.Request
	expectsContinue bool                         // the client waits for 100 Continue before it sends the body
	headStarted     atomic.Bool                  // a part of the next head was read
	interrupted     atomic.Bool                  // interruptIdle was called
	reservedHead    int64                        // memory reserved for the head of the present request
	closeAfter      bool                         // the connection is closed after the current response
	guard           atomic.Pointer[overdueGuard] // of the request being served; nil: none is
	responseStarted bool                         // of the request being served
	streamError     error                        // for which the streamed response was cut off
	writeFailed     bool
	lingers         bool // input still in transit is discarded before the close
	requestCount    int
	readDeadline    time.Time // last value set
	writeDeadline   time.Time // last value set

	// State of the watch for a disconnect while a request is in flight.

	watchTimer *time.Timer
	mu         sync.Mutex
	inFlight   bool
	watchDone  chan struct{} // closed when the watch has ended; nil if none was started

	pipelined []byte // input that was read under TLS while detecting a disconnect

	slot         *admission.Conn // guarded by acceptor.mu until admission; nil if rejected or not decided yet
	mustIdentify bool            // admitted only to present a client certificate
}

const (
	readBufferBytes   = 1 << 10
	maxKeptReadBuffer = 4 << 10 // larger buffers are freed after the request
)

// pastDeadline makes reads return at once, including a read in progress.
var pastDeadline = time.Unix(1, 0)

func newClientConn(nc net.Conn, a *acceptor) (*clientConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		nc.Close()
		return nil, errors.New("frontend: accepted connection is not a socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &clientConn{Conn: nc, socket: nc, rawConn: raw, acceptor: a,
		remoteAddr: nc.RemoteAddr().String(), tlsConfig: a.tlsConfig.Load()}
	c.received = &receivingSocket{Conn: nc, rawConn: raw}
	c.reader = c.received
	if address, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remoteIP = address.AddrPort().Addr().Unmap()
	}
	checked := engine.WithHiddenDisconnectCheck(engine.WithDisconnectCheck(context.Background(), c.isDisconnected), c.mayHideClose)
	c.ctx, c.cancel = context.WithCancel(checked)
	return c, nil
}

// Close closes the connection and releases its admission slot.
func (c *clientConn) Close() error {
	admitWaiting := func() {}
	c.acceptor.mu.Lock()
	if c.slot != nil {
		c.acceptor.controller.Remove(time.Now(), c.slot)
		admitWaiting = c.acceptor.admitWaiting()
	}
	c.acceptor.mu.Unlock()
	err := c.socket.Close()
	c.cancel()
	admitWaiting()
	return err
}

// startRequest marks the connection as active. It returns false if the connection was closed as idle just before its request was read.
// That request must not be forwarded, because the client sends it again on another connection.
func (c *clientConn) startRequest() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.acceptor.controller.StartRequest(c.slot)
}

// endRequest marks the connection as idle. It returns false if the connection must be closed.
func (c *clientConn) endRequest() bool {
	c.acceptor.mu.Lock()
	stays := c.acceptor.controller.EndRequest(time.Now(), c.slot)
	admitWaiting := c.acceptor.admitWaiting()
	c.acceptor.mu.Unlock()
	admitWaiting()
	return stays
}

func (c *clientConn) setReadDeadline(t time.Time) {
	if t != c.readDeadline {
		c.readDeadline = t
		c.Conn.SetReadDeadline(t)
	}
}

func (c *clientConn) clearReadDeadline() {
	c.readDeadline = time.Time{}
	c.Conn.SetReadDeadline(c.readDeadline)
}

// hasInvalidInput reports whether the bytes after a request cannot start another request.
func (c *clientConn) hasInvalidInput() bool {
	return len(c.input) > 0 && (c.input[0] < 'A' || c.input[0] > 'Z')
}

// abandonInput marks the connection to be closed after the response, because further input cannot be trusted.
func (c *clientConn) abandonInput() {
	c.closeAfter = true
	c.lingers = true
}

// discardBody discards the body of a request whose response does not depend on it. It does not wait for bytes that are
// not received yet: if the body is incomplete, the connection is closed after the response.
func (c *clientConn) discardBody() {
	n := c.request.ContentLength
	if n == 0 {
		return
	}
	if n > 0 && int64(len(c.input)) >= n {
		if c.input = c.input[n:]; !c.hasInvalidInput() {
			return
		}
	}
	c.abandonInput()
}

// reject responds with a status to a request that cannot be served, and closes the connection after the response.
func (c *clientConn) reject(status int) { c.rejectWith(&Reply{Status: status}) }

func (c *clientConn) rejectWith(r *Reply) {
	c.abandonInput()
	c.writeReply(r)
}

const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// linger discards input before the close so that the client receives the last response. Closing a connection with unread input resets
// it, and the response may be lost (RFC 9112, 9.6).
func (c *clientConn) linger() {
	if !c.lingers {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // if it fails, the reads below fail, too
	}
	c.buffer, c.input = nil, nil
	deadline := time.Now().Add(lingerTimeout)
	c.setReadDeadline(deadline)
	if c.discardInput() {
		time.Sleep(time.Until(deadline))
	}
}

// discardInput discards input up to maxLingerBytes, and reports whether there was as much. Many connections may linger at once, so that its
// buffer is small.
func (c *clientConn) discardInput() bool {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := (*pooled)[:cap(*pooled)]
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := c.Conn.Read(buffer)
		discarded += n
		if err != nil {
			return false
		}
	}
	return true
}
