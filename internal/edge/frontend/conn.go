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

// callerConn is a caller's connection. One goroutine serves it; closing it from another is allowed.
//
// It reads heads strictly. It guards against requests hidden in the bodies of others, whatever the trick: a head that
// could be read in two ways, and bytes behind a body that begin no request (so that the body's length was wrong), make
// the request refused and the connection closed, with nothing behind it read. It would also catch splitting by line
// feeds and folded lines. It can harm a caller that writes stray line ends between requests.
type callerConn struct {
	net.Conn // what is read and written: the socket, or TLS over it
	socket   net.Conn
	raw      syscall.RawConn
	conns    *callerConns
	secure   *Secure // nil: plain
	from     netip.Addr
	addr     string
	ctx      context.Context // ends with the connection, or when its caller has gone
	cancel   context.CancelFunc

	buf     []byte // what in lies in
	in      []byte // read and not yet used
	request http.Request
	expects bool        // "100-continue"
	begun   atomic.Bool // a part of a head has been read
	ends    bool        // after the answer in hand
	broken  bool        // an answer could not be written
	spoilt  bool        // more may be on its way, which is not looked at
	nth     int         // requests so far
	till    time.Time   // deadline for reading, as set
	writeTo time.Time   // for writing

	// The watch for a caller that goes while its request is in work.
	timer    *time.Timer
	mu       sync.Mutex
	inWork   bool
	watching chan struct{} // closed when the watch has ended; nil: there is none

	ahead []byte // what the watch has read of TLS

	place   *admission.Conn // nil: refused, or not decided on yet; under conns.mu until it is let in
	proving bool            // it must show a certificate first
}

const (
	readBuffer = 1 << 10
	keptRead   = 4 << 10 // a larger buffer is given back after its request
)

func newCallerConn(nc net.Conn, conns *callerConns) (*callerConn, error) {
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
	c := &callerConn{Conn: nc, socket: nc, raw: raw, conns: conns, addr: nc.RemoteAddr().String(), secure: conns.secure.Load()}
	if at, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.from = at.AddrPort().Addr().Unmap()
	}
	c.ctx, c.cancel = context.WithCancel(engine.WithDisconnectCheck(context.Background(), c.left))
	return c, nil
}

// readBy sets the deadline for reading.
func (c *callerConn) readBy(t time.Time) {
	if t != c.till {
		c.till = t
		c.Conn.SetReadDeadline(t)
	}
}

// readHead reads the next request's head into c.request. The status is not 0 where the request must be turned away; an
// error is the connection's, or the caller's time is over.
func (c *callerConn) readHead() (status int, err error) {
	now := time.Now()
	switch {
	case c.nth == 0 || len(c.in) > 0:
		c.readBy(now.Add(wholeIn))
	case c.till.Sub(now) < idleTimeout-renewal:
		c.readBy(now.Add(idleTimeout))
	}
	c.nth++
	c.request = http.Request{}
	if len(c.in) == 0 {
		if cap(c.buf) == 0 || cap(c.buf) > keptRead {
			c.buf = make([]byte, readBuffer)
		}
		c.in = c.buf[:0]
	}
	c.begun.Store(len(c.in) > 0)
	late := len(c.in) > 0 || c.nth == 1 // the deadline is the head's already
	for {
		end := httphead.End(c.in)
		if end > maxHead || end < 0 && len(c.in) > maxHead {
			return http.StatusRequestHeaderFieldsTooLarge, nil
		}
		if end >= 0 {
			text := c.in[:end]
			status := c.parse(text)
			c.in = c.in[end:]
			return status, nil
		}
		if len(c.in) == cap(c.in) { // also where what was used has been cut off in front
			c.buf = make([]byte, max(2*len(c.in), readBuffer))
			c.in = c.buf[:copy(c.buf, c.in)]
		}
		n, err := c.Conn.Read(c.in[len(c.in):cap(c.in)])
		c.in = c.in[:len(c.in)+n]
		if n == 0 && err != nil {
			return 0, err
		}
		c.begun.Store(true)
		if !late && httphead.End(c.in) < 0 { // the rest has a head's time, not an idle connection's
			late = true
			c.readBy(time.Now().Add(wholeIn))
		}
	}
}

// parse fills c.request.
func (c *callerConn) parse(text []byte) (status int) {
	head, err := httphead.Parse(text)
	if err != nil {
		return http.StatusBadRequest
	}
	method, rest, ok := strings.Cut(head.StartLine, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	switch {
	case !ok || !ok2 || !httphead.IsToken(method) || target == "" || strings.ContainsFunc(target, unprintable):
		return http.StatusBadRequest
	case proto != "HTTP/1.1" && proto != "HTTP/1.0":
		if strings.HasPrefix(proto, "HTTP/") && !strings.Contains(proto, " ") {
			return http.StatusHTTPVersionNotSupported
		}
		return http.StatusBadRequest
	}
	hosts := head.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && proto == "HTTP/1.1" || len(hosts) == 1 && strings.ContainsFunc(hosts[0], unprintable) {
		return http.StatusBadRequest
	}
	c.request = http.Request{Method: method, RequestURI: target, Proto: proto, Header: head.Header, RemoteAddr: c.addr}
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
		r.ContentLength, r.TransferEncoding = -1, codings
	case head.ContentLength > 0:
		r.ContentLength = head.ContentLength
	}
	c.ends = proto == "HTTP/1.0" || head.IsClose()
	c.expects = false
	if expect := head.Header["Expect"]; len(expect) > 0 {
		if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
			return http.StatusExpectationFailed
		}
		c.expects = true
	}
	return 0
}

var codings = []string{"chunked"}

func unprintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// behind tells that something stands behind a request that begins none.
func (c *callerConn) behind() bool {
	return len(c.in) > 0 && (c.in[0] < 'A' || c.in[0] > 'Z')
}

// unread has the connection end after the answer: what is still on its way is not to be trusted.
func (c *callerConn) unread() { c.ends, c.spoilt = true, true }

// skip passes over the body of a request that was answered without it. What has not come yet is not waited for.
func (c *callerConn) skip() {
	n := c.request.ContentLength
	switch {
	case n == 0:
		return
	case n > 0 && int64(len(c.in)) >= n:
		if c.in = c.in[n:]; !c.behind() {
			return
		}
	}
	c.unread()
}

// turnAway answers a request that can't be served, and ends its connection.
func (c *callerConn) turnAway(status int) { c.turnAwayWith(&Reply{Status: status}) }

func (c *callerConn) turnAwayWith(r *Reply) {
	c.unread()
	c.write(r)
}

const (
	lingerFor  = 200 * time.Millisecond
	lingerMost = 1 << 20
)

// linger lets the last answer arrive: a connection that is closed with something unread is reset, and the answer may be
// lost with it (RFC 9112, 9.6).
func (c *callerConn) linger() {
	if !c.spoilt {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	by := time.Now().Add(lingerFor)
	c.readBy(by)
	if n, _ := io.CopyN(io.Discard, c.Conn, lingerMost); n == lingerMost {
		time.Sleep(time.Until(by))
	}
}

// watchAfter is how long a request is in work before its caller is watched: most are answered sooner, and a watch costs
// a goroutine.
const watchAfter = 20 * time.Millisecond

// watch has the connection's context end when its caller goes. A caller that closes its sending side alone has gone
// too, as nobody can tell the two apart.
func (c *callerConn) watch() {
	c.mu.Lock()
	c.inWork = true
	c.mu.Unlock()
	if c.timer == nil {
		c.timer = time.AfterFunc(watchAfter, c.look)
	} else {
		c.timer.Reset(watchAfter)
	}
}

// look waits for the connection's end, and takes nothing of what comes before that.
func (c *callerConn) look() {
	c.mu.Lock()
	if !c.inWork || c.watching != nil {
		c.mu.Unlock()
		return
	}
	done := make(chan struct{})
	c.watching = done
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	defer close(done)
	if c.secure != nil {
		c.lookSecure()
		return
	}
	c.awaitEnd()
}

// awaitEnd waits for the socket's end, also behind what stands unread on it.
func (c *callerConn) awaitEnd() {
	if c.raw.Read(ended) == nil {
		c.cancel()
	}
}

// left tells whether the caller has gone, as of now: the watch may not have come to it yet. A connection that is closed
// here has no caller. It may be called from any goroutine.
func (c *callerConn) left() bool {
	if c.ctx.Err() != nil {
		return true
	}
	gone := true
	c.raw.Control(func(fd uintptr) { gone = ended(fd) })
	if gone {
		c.cancel()
	}
	return gone
}

// unwatch ends the watch; when it returns nothing else reads from the connection.
func (c *callerConn) unwatch() {
	c.timer.Stop()
	c.mu.Lock()
	c.inWork = false
	watching := c.watching
	c.watching = nil
	c.mu.Unlock()
	if watching != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-watching
		c.till = time.Time{}
		c.Conn.SetReadDeadline(c.till)
	}
	if len(c.ahead) > 0 {
		c.in, c.ahead = append(c.in, c.ahead...), nil
	}
}
