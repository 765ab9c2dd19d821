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
	minStreamBuffer   = 4 << 10 // a smaller first part of a body gives no buffer for the rest
	// streamWriteTimeout is how long a client may read nothing of a streamed response. It is longer than writeTimeout, because the
	// response cannot be requested again.
	streamWriteTimeout = 10 * time.Second
)

// streamBufferPool holds buffers of streamBufferBytes bytes.
var streamBufferPool = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// writeStream writes a response whose body is still being received. It reads from the endpoint only as fast as the client reads. If the
// body is truncated, the connection ends in a way that the client can detect: before the declared length, without the last chunk, or by a
// reset.
func (c *clientConn) writeStream(response *upstream.Response) {
	defer response.Stream.Close()
	size := response.Stream.Length()
	chunked := size < 0 && c.request.Proto != "HTTP/1.0"
	if size < 0 && !chunked {
		c.closeAfter = true
	}
	c.writeHead(responseHead{status: response.Status, header: response.Header, forwarded: true, size: size}, nil)
	if c.writeFailed {
		return
	}
	buffer := response.Body[:cap(response.Body)] // of the first part, which is written first
	if len(buffer) < minStreamBuffer {
		pooled := streamBufferPool.Get().(*[]byte)
		defer streamBufferPool.Put(pooled)
		buffer = *pooled
	}
	piece := response.Body
	for {
		if len(piece) > 0 && !c.writeChunk(piece, chunked) {
			return
		}
		n, err := response.Stream.Read(buffer)
		piece = buffer[:n]
		switch {
		case err == io.EOF: //nolint:errorlint // a wrapped EOF means a truncated body
			if len(piece) > 0 && !c.writeChunk(piece, chunked) {
				return
			}
			if chunked && !c.writeParts(streamWriteTimeout, []byte("0\r\n\r\n")) {
				return
			}
			response.Stream.MarkDelivered()
			return
		case err != nil:
			c.streamError = err
			c.abort()
			return
		}
	}
}

// writeChunk writes a part of a body, in chunked coding or unchanged. It returns false if the connection was aborted.
func (c *clientConn) writeChunk(p []byte, chunked bool) bool {
	if !chunked {
		return c.writeParts(streamWriteTimeout, p)
	}
	line := strconv.AppendInt(make([]byte, 0, 18), int64(len(p)), 16)
	return c.writeParts(streamWriteTimeout, append(line, "\r\n"...), p, []byte("\r\n"))
}

// writeParts writes at most about 64 KiB, and aborts the connection if the write fails or takes too long. The timeout is within, or up to
// deadlineSlack less. It returns false if the connection was aborted.
func (c *clientConn) writeParts(within time.Duration, parts ...[]byte) bool {
	c.extendWriteDeadline(time.Now(), within)
	message := net.Buffers(parts)
	if _, err := message.WriteTo(c.Conn); err != nil {
		c.writeFailed = true
		c.abort()
		return false
	}
	return true
}

// abort marks the connection to be reset on close, so that the client does not take the response for complete.
func (c *clientConn) abort() {
	c.closeAfter = true
	c.lingers = false
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
