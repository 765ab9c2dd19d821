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
	// streamWriteTimeout is how long a client may read nothing of a streamed response. It is longer than for a buffered one, as the
	// response cannot be requested again.
	streamWriteTimeout = 10 * time.Second
)

// streamBufferPool holds buffers of streamBufferBytes.
var streamBufferPool = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// writeStream writes a response whose body is still being received: the endpoint is read as fast as the client reads. One that breaks
// off ends the connection in a way that the client can detect: short of its length, without the last chunk, or by a reset.
func (c *clientConn) writeStream(a *upstream.Response) {
	defer a.Stream.Close()
	size := a.Stream.Length()
	chunked := size < 0 && c.request.Proto != "HTTP/1.0"
	if size < 0 && !chunked {
		c.closeAfter = true
	}
	c.writeHead(responseHead{status: a.Status, header: a.Header, forwarded: true, size: size}, nil)
	if c.writeFailed {
		return
	}
	pooled := streamBufferPool.Get().(*[]byte)
	defer streamBufferPool.Put(pooled)
	piece := a.Body
	for {
		if len(piece) > 0 && !c.writeChunk(piece, chunked) {
			return
		}
		n, err := a.Stream.Read(*pooled)
		piece = (*pooled)[:n]
		switch {
		case err == io.EOF: //nolint:errorlint // a wrapped one is a body that broke off
			if len(piece) > 0 && !c.writeChunk(piece, chunked) {
				return
			}
			if chunked && !c.writeParts(streamWriteTimeout, []byte("0\r\n\r\n")) {
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

// writeChunk writes a part of a body, in chunked coding or as it is.
func (c *clientConn) writeChunk(p []byte, chunked bool) bool {
	if !chunked {
		return c.writeParts(streamWriteTimeout, p)
	}
	line := strconv.AppendInt(make([]byte, 0, 18), int64(len(p)), 16)
	return c.writeParts(streamWriteTimeout, append(line, "\r\n"...), p, []byte("\r\n"))
}

// writeParts writes at most some 64 KiB within a time. It returns false where the connection was aborted.
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

// abort has the connection reset, which no client takes for the end of a complete response.
func (c *clientConn) abort() {
	c.closeAfter = true
	c.lingers = false
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection alone
	}
}
