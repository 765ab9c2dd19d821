package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/base/httphead"
	"silvertrail/internal/edge/admission"
)

// clientConn is a caller's connection. One goroutine serves it; closing it from another is allowed.
//
// It reads heads strictly. It guards against requests hidden in the bodies of others, whatever the trick: a head that
// could be read in two ways, and bytes behind a body that begin no request (so that the body's length was wrong), make
// the request refused and the connection closed, with nothing behind it read. It would also catch splitting by line
// feeds and folded lines. It can harm a caller that writes stray line ends between requests.
type clientConn struct {
	net.Conn   // what is read and written: the socket, or TLS over it
	socket     net.Conn
	rawConn    syscall.RawConn
	acceptor   *acceptor
	tlsConfig  *TLSConfig // nil: plain
	remoteIP   netip.Addr
	remoteAddr string
	ctx        context.Context // ends with the connection, or when its caller has gone
	cancel     context.CancelFunc

	buffer          []byte // what in lies in
	input           []byte // read and not yet used
	request         http.Request
	expectsContinue bool        // "100-continue"
	headStarted     atomic.Bool // a part of a head has been read
	closeAfter      bool        // after the answer in hand
	writeFailed     bool        // an answer could not be written
	lingers         bool        // more may be on its way, which is not looked at
	requestCount    int         // requests so far
	readDeadline    time.Time   // deadline for reading, as set
	writeDeadline   time.Time   // for writing

	// The watch for a caller that goes while its request is in work.
	watchTimer *time.Timer
	mu         sync.Mutex
	inFlight   bool
	watchDone  chan struct{} // closed when the watch has ended; nil: there is none

	pipelined []byte // what the watch has read of TLS

	slot         *admission.Conn // nil: refused, or not decided on yet; under conns.mu until it is let in
	mustIdentify bool            // it must show a certificate first
}

const (
	readBufferBytes   = 1 << 10
	maxKeptReadBuffer = 4 << 10 // a larger buffer is given back after its request
)

func newClientConn(nc net.Conn, conns *acceptor) (*clientConn, error) {
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
	c := &clientConn{Conn: nc, socket: nc, rawConn: raw, acceptor: conns, remoteAddr: nc.RemoteAddr().String(), tlsConfig: conns.tlsConfig.Load()}
	if at, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remoteIP = at.AddrPort().Addr().Unmap()
	}
	c.ctx, c.cancel = context.WithCancel(engine.WithDisconnectCheck(context.Background(), c.isDisconnected))
	return c, nil
}

// setReadDeadline sets the deadline for reading.
func (c *clientConn) setReadDeadline(t time.Time) {
	if t != c.readDeadline {
		c.readDeadline = t
		c.Conn.SetReadDeadline(t)
	}
}

// readHead reads the next request's head into c.request. The status is not 0 where the request must be turned away; an
// error is the connection's, or the caller's time is over.
func (c *clientConn) readHead() (status int, err error) {
	now := time.Now()
	switch {
	case c.requestCount == 0 || len(c.input) > 0:
		c.setReadDeadline(now.Add(messageTimeout))
	case c.readDeadline.Sub(now) < idleTimeout-deadlineSlack:
		c.setReadDeadline(now.Add(idleTimeout))
	}
	c.requestCount++
	c.request = http.Request{}
	if len(c.input) == 0 {
		if cap(c.buffer) == 0 || cap(c.buffer) > maxKeptReadBuffer {
			c.buffer = make([]byte, readBufferBytes)
		}
		c.input = c.buffer[:0]
	}
	c.headStarted.Store(len(c.input) > 0)
	late := len(c.input) > 0 || c.requestCount == 1 // the deadline is the head's already
	for {
		end := httphead.End(c.input)
		if end > maxHeadBytes || end < 0 && len(c.input) > maxHeadBytes {
			return http.StatusRequestHeaderFieldsTooLarge, nil
		}
		if end >= 0 {
			text := c.input[:end]
			status := c.parseHead(text)
			c.input = c.input[end:]
			return status, nil
		}
		if len(c.input) == cap(c.input) { // also where what was used has been cut off in front
			c.buffer = make([]byte, max(2*len(c.input), readBufferBytes))
			c.input = c.buffer[:copy(c.buffer, c.input)]
		}
		n, err := c.Conn.Read(c.input[len(c.input):cap(c.input)])
		c.input = c.input[:len(c.input)+n]
		if n == 0 && err != nil {
			return 0, err
		}
		c.headStarted.Store(true)
		if !late && httphead.End(c.input) < 0 { // the rest has a head's time, not an idle connection's
			late = true
			c.setReadDeadline(time.Now().Add(messageTimeout))
		}
	}
}

// parseHead fills c.request.
func (c *clientConn) parseHead(text []byte) (status int) {
	head, err := httphead.Parse(text)
	if err != nil {
		return http.StatusBadRequest
	}
	method, rest, ok := strings.Cut(head.StartLine, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	switch {
	case !ok || !ok2 || !httphead.IsToken(method) || target == "" || strings.ContainsFunc(target, isUnprintable):
		return http.StatusBadRequest
	case proto != "HTTP/1.1" && proto != "HTTP/1.0":
		if strings.HasPrefix(proto, "HTTP/") && !strings.Contains(proto, " ") {
			return http.StatusHTTPVersionNotSupported
		}
		return http.StatusBadRequest
	}
	hosts := head.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && proto == "HTTP/1.1" || len(hosts) == 1 && strings.ContainsFunc(hosts[0], isUnprintable) {
		return http.StatusBadRequest
	}
	c.request = http.Request{Method: method, RequestURI: target, Proto: proto, Header: head.Header, RemoteAddr: c.remoteAddr}
	r := &c.request
	if len(hosts) == 1 {
		r.Host = hosts[0]
		delete(head.Header, "Host")
	}
	if _, rest, absolute := strings.Cut(target, "://"); absolute && target[0] != '/' { // its host counts (RFC 9112, 3.2.2)
		r.Host = rest
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			r.Host = rest[:i]
		}
	}
	switch {
	case head.Chunked:
		r.ContentLength, r.TransferEncoding = -1, chunkedCoding
	case head.ContentLength > 0:
		r.ContentLength = head.ContentLength
	}
	c.closeAfter = proto == "HTTP/1.0" || head.IsClose()
	c.expectsContinue = false
	if expect := head.Header["Expect"]; len(expect) > 0 {
		if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
			return http.StatusExpectationFailed
		}
		c.expectsContinue = true
	}
	return 0
}

var chunkedCoding = []string{"chunked"}

func isUnprintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// hasInvalidInput tells that something stands behind a request that begins none.
func (c *clientConn) hasInvalidInput() bool {
	return len(c.input) > 0 && (c.input[0] < 'A' || c.input[0] > 'Z')
}

// abandonInput has the connection end after the answer: what is still on its way is not to be trusted.
func (c *clientConn) abandonInput() { c.closeAfter, c.lingers = true, true }

// skipBody passes over the body of a request that was answered without it. What has not come yet is not waited for.
func (c *clientConn) skipBody() {
	n := c.request.ContentLength
	switch {
	case n == 0:
		return
	case n > 0 && int64(len(c.input)) >= n:
		if c.input = c.input[n:]; !c.hasInvalidInput() {
			return
		}
	}
	c.abandonInput()
}

// reject answers a request that can't be served, and ends its connection.
func (c *clientConn) reject(status int) { c.rejectWith(&Reply{Status: status}) }

func (c *clientConn) rejectWith(r *Reply) {
	c.abandonInput()
	c.writeReply(r)
}

const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// linger lets the last answer arrive: a connection that is closed with something unread is reset, and the answer may be
// lost with it (RFC 9112, 9.6).
func (c *clientConn) linger() {
	if !c.lingers {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	by := time.Now().Add(lingerTimeout)
	c.setReadDeadline(by)
	if n, _ := io.CopyN(io.Discard, c.Conn, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(time.Until(by))
	}
}

// watchDelay is how long a request is in work before its caller is watched: most are answered sooner, and a watch costs
// a goroutine.
const watchDelay = 20 * time.Millisecond

// startWatch has the connection's context end when its caller goes. A caller that closes its sending side alone has gone
// too, as nobody can tell the two apart.
func (c *clientConn) startWatch() {
	c.mu.Lock()
	c.inFlight = true
	c.mu.Unlock()
	if c.watchTimer == nil {
		c.watchTimer = time.AfterFunc(watchDelay, c.watchClient)
	} else {
		c.watchTimer.Reset(watchDelay)
	}
}

// watchClient waits for the connection's end, and takes nothing of what comes before that.
func (c *clientConn) watchClient() {
	c.mu.Lock()
	if !c.inFlight || c.watchDone != nil {
		c.mu.Unlock()
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	defer close(done)
	if c.tlsConfig != nil {
		c.watchTLS()
		return
	}
	c.awaitDisconnect()
}

// awaitDisconnect waits for the socket's end, also behind what stands unread on it.
func (c *clientConn) awaitDisconnect() {
	if c.rawConn.Read(isPeerClosed) == nil {
		c.cancel()
	}
}

// isDisconnected tells whether the caller has gone, as of now: the watch may not have come to it yet. A connection that is closed
// here has no caller. It may be called from any goroutine.
func (c *clientConn) isDisconnected() bool {
	if c.ctx.Err() != nil {
		return true
	}
	gone := true
	c.rawConn.Control(func(fd uintptr) { gone = isPeerClosed(fd) })
	if gone {
		c.cancel()
	}
	return gone
}

// stopWatch ends the watch; when it returns nothing else reads from the connection.
func (c *clientConn) stopWatch() {
	c.watchTimer.Stop()
	c.mu.Lock()
	c.inFlight = false
	watching := c.watchDone
	c.watchDone = nil
	c.mu.Unlock()
	if watching != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-watching
		c.readDeadline = time.Time{}
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	if len(c.pipelined) > 0 {
		c.input, c.pipelined = append(c.input, c.pipelined...), nil
	}
}
