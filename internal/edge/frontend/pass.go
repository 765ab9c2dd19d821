package frontend

import (
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"silvertrail/internal/balancer/upstream"
)

const (
	passBuffer = 16 << 10
	// passIn is how long a caller may read nothing of an answer that is passed on as it comes: it is longer than that of
	// a small answer, as it has begun and can't be had again.
	passIn = 10 * time.Second
)

var passBuffers = sync.Pool{New: func() any { b := make([]byte, passBuffer); return &b }}

// pass gives the caller an answer of an endpoint whose body is still coming, piece by piece: the endpoint is read as fast as
// the caller reads. One that breaks off ends the connection so that the caller can tell: short of its length, without its
// last chunk, or by a reset.
func (c *callerConn) pass(a *upstream.Response) {
	defer a.Stream.Close()
	size := a.Stream.Length()
	chunks := size < 0 && c.request.Proto != "HTTP/1.0"
	if size < 0 && !chunks {
		c.ends = true
	}
	c.begin(a.Status, a.Header, nil, true, size)
	if c.broken {
		return
	}
	pooled := passBuffers.Get().(*[]byte)
	defer passBuffers.Put(pooled)
	piece := a.Body
	for {
		if len(piece) > 0 && !c.piece(piece, chunks) {
			return
		}
		n, err := a.Stream.Read(*pooled)
		piece = (*pooled)[:n]
		switch {
		case err == io.EOF:
			if len(piece) > 0 && !c.piece(piece, chunks) {
				return
			}
			if chunks && !c.deliver(passIn, []byte("0\r\n\r\n")) {
				return
			}
			a.Stream.MarkDelivered()
			return
		case err != nil:
			c.cut()
			return
		}
	}
}

func (c *callerConn) piece(p []byte, chunk bool) bool {
	if !chunk {
		return c.deliver(passIn, p)
	}
	line := strconv.AppendInt(make([]byte, 0, 18), int64(len(p)), 16)
	return c.deliver(passIn, append(line, "\r\n"...), p, []byte("\r\n"))
}

// deliver writes parts in steps of at most some 64 KiB, each of which has the given time.
func (c *callerConn) deliver(within time.Duration, parts ...[]byte) bool {
	if now := time.Now(); c.writeTo.Sub(now) < within-renewal {
		c.writeTo = now.Add(within)
		c.Conn.SetWriteDeadline(c.writeTo)
	}
	message := net.Buffers(parts)
	if _, err := message.WriteTo(c.Conn); err != nil {
		c.cut()
		return false
	}
	return true
}

// cut ends the connection in a way that no reader takes for the end of a whole answer.
func (c *callerConn) cut() {
	c.ends, c.spoilt = true, false
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}
