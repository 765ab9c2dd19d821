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

// clientConn is a client's connection. One goroutine serves it; Close may be called from any.
//
// Heads are read strictly, against request smuggling: a head that can be read in two ways, and bytes behind a body that begin no request
// (so that the length of the body was wrong), have the request rejected and the connection closed, with nothing behind it read. A client
// that sends stray line ends between requests is rejected, too.
type clientConn struct {
	net.Conn   // what is written: the socket, or TLS over it
	socket     net.Conn
	received   *receivingSocket // over socket
	reader     io.Reader        // received, or TLS over it
	rawConn    syscall.RawConn
	acceptor   *acceptor
	tlsConfig  *TLSConfig // nil: no TLS
	remoteIP   netip.Addr
	remoteAddr string
	ctx        context.Context // ends with the connection, or with the client's disconnect
	cancel     context.CancelFunc

	buffer          []byte // the memory of input
	input           []byte // read and not used yet
	request         http.Request
	expectsContinue bool        // Expect: 100-continue
	headStarted     atomic.Bool // a part of a head was read
	closeAfter      bool        // the connection is closed after the current response
	writeFailed     bool
	lingers         bool // input that is still on its way is discarded before the close
	requestCount    int
	readDeadline    time.Time // as set last
	writeDeadline   time.Time // as set last

	// The watch for a disconnect while a request is in flight.

	watchTimer *time.Timer
	mu         sync.Mutex
	inFlight   bool
	watchDone  chan struct{} // closed when the watch has ended; nil: there is none

	pipelined []byte // input that the watch has read under TLS

	slot         *admission.Conn // under acceptor.mu until the connection is admitted; nil: it was rejected, or is undecided
	mustIdentify bool            // it was admitted to present a certificate
}

const (
	readBufferBytes   = 1 << 10
	maxKeptReadBuffer = 4 << 10 // a larger buffer is freed after its request
)

// pastDeadline makes a read return at once, also one in progress.
var pastDeadline = time.Unix(1, 0)

func newClientConn(nc net.Conn, a *acceptor) (*clientConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		nc.Close()
		return nil, errors.New("frontend: a connection that is no socket")
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
	c.ctx, c.cancel = context.WithCancel(engine.WithDisconnectCheck(context.Background(), c.isDisconnected))
	return c, nil
}

// Close closes the connection and frees its slot.
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

// startRequest marks the connection as active. It returns false where the connection was closed as idle just before its request was
// read: the client sends that request again elsewhere, so that it must not be forwarded.
func (c *clientConn) startRequest() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.acceptor.controller.StartRequest(c.slot)
}

// endRequest marks the connection as idle. It returns false where it must be closed.
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

// hasInvalidInput reports whether the bytes behind a request begin no request.
func (c *clientConn) hasInvalidInput() bool {
	return len(c.input) > 0 && (c.input[0] < 'A' || c.input[0] > 'Z')
}

// abandonInput has the connection closed after the response: what is still on its way cannot be trusted.
func (c *clientConn) abandonInput() {
	c.closeAfter = true
	c.lingers = true
}

// discardBody discards the body of a request that is answered without it. A part that was not received yet is not awaited.
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

// reject answers a request that cannot be served with a status, and has the connection closed.
func (c *clientConn) reject(status int) { c.rejectWith(&Reply{Status: status}) }

func (c *clientConn) rejectWith(r *Reply) {
	c.abandonInput()
	c.writeReply(r)
}

const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// linger discards input so that the client receives the last response: a connection that is closed with unread input is reset, and the
// response may be lost (RFC 9112, 9.6).
func (c *clientConn) linger() {
	if !c.lingers {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // where it fails the reads below fail, too
	}
	deadline := time.Now().Add(lingerTimeout)
	c.setReadDeadline(deadline)
	if n, _ := io.CopyN(io.Discard, c.Conn, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(time.Until(deadline))
	}
}
