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
	streamBufferBytes = 16 << 10
	// streamWriteTimeout is how long a caller may read nothing of an answer that is passed on as it comes: it is longer than that of
	// a small answer, as it has begun and can't be had again.
	streamWriteTimeout = 10 * time.Second
)

var streamBufferPool = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// writeStream gives the caller an answer of an endpoint whose body is still coming, piece by piece: the endpoint is read as fast as
// the caller reads. One that breaks off ends the connection so that the caller can tell: short of its length, without its
// last chunk, or by a reset.
func (c *clientConn) writeStream(a *upstream.Response) {
	defer a.Stream.Close()
	size := a.Stream.Length()
	chunks := size < 0 && c.request.Proto != "HTTP/1.0"
	if size < 0 && !chunks {
		c.closeAfter = true
	}
	c.writeHead(a.Status, a.Header, nil, true, size)
	if c.writeFailed {
		return
	}
	pooled := streamBufferPool.Get().(*[]byte)
	defer streamBufferPool.Put(pooled)
	piece := a.Body
	for {
		if len(piece) > 0 && !c.writeChunk(piece, chunks) {
			return
		}
		n, err := a.Stream.Read(*pooled)
		piece = (*pooled)[:n]
		switch {
		case err == io.EOF:
			if len(piece) > 0 && !c.writeChunk(piece, chunks) {
				return
			}
			if chunks && !c.writeParts(streamWriteTimeout, []byte("0\r\n\r\n")) {
				return
			}
			a.Stream.MarkDelivered()
			return
		case err != nil:
			c.abort()
			return
		}
	}
}

func (c *clientConn) writeChunk(p []byte, chunk bool) bool {
	if !chunk {
		return c.writeParts(streamWriteTimeout, p)
	}
	line := strconv.AppendInt(make([]byte, 0, 18), int64(len(p)), 16)
	return c.writeParts(streamWriteTimeout, append(line, "\r\n"...), p, []byte("\r\n"))
}

// writeParts writes parts in steps of at most some 64 KiB, each of which has the given time.
func (c *clientConn) writeParts(within time.Duration, parts ...[]byte) bool {
	if now := time.Now(); c.writeDeadline.Sub(now) < within-deadlineSlack {
		c.writeDeadline = now.Add(within)
		c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	message := net.Buffers(parts)
	if _, err := message.WriteTo(c.Conn); err != nil {
		c.abort()
		return false
	}
	return true
}

// abort ends the connection in a way that no reader takes for the end of a whole answer.
func (c *clientConn) abort() {
	c.closeAfter, c.lingers = true, false
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}
