package upstream

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxSingleWrite is the largest request that is written in one call without a deadline. An idle connection accepts it at once,
	// because the system's send buffer is empty and larger.
	maxSingleWrite     = 4 << 10
	writeTimeout       = time.Second // for a whole request; less if the request has less time left
	requestBufferBytes = 2 << 10

	timeoutHeader       = "X-Timeout-Ms" // tells the endpoint how long the client waits
	contentLengthHeader = "Content-Length"
)

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, requestBufferBytes); return &b }}

// writeRequest writes a request whose body is buffered. It returns the number of bytes written, and reports whether that is the whole
// request. An endpoint that does not respond cannot have started a request that it did not receive completely.
func (c *conn) writeRequest(r *Request, timeout time.Duration) (written int64, isComplete bool) {
	pooled := requestBuffers.Get().(*[]byte)
	head := appendHead((*pooled)[:0], r, timeout)
	size := int64(len(head) + len(r.Body))
	if size <= maxSingleWrite {
		head = append(head, r.Body...)
		n, _ := c.Conn.Write(head)
		c.progress.recordSent()
		written = int64(n)
	} else {
		c.progress.recordSent()
		c.SetWriteDeadline(time.Now().Add(min(timeout, writeTimeout)))
		message := net.Buffers{head, r.Body}
		written, _ = message.WriteTo(c.Conn)
		c.SetWriteDeadline(time.Time{})
	}
	if cap(head) <= maxHeadBytes {
		*pooled = head[:0]
		requestBuffers.Put(pooled)
	}
	return written, written == size
}

// appendHead appends the head of a request. The target is written byte for byte as the client sent it, or as the gateway has
// normalized it. Header values contain no line ends, because heads are parsed strictly.
func appendHead(b []byte, r *Request, timeout time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if name == contentLengthHeader || name == timeoutHeader {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	b = append(b, timeoutHeader+": "...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	switch {
	case r.Stream != nil && r.Stream.Length() < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case r.Stream != nil:
		b = appendContentLength(b, r.Stream.Length())
	case r.Method != http.MethodGet:
		b = appendContentLength(b, int64(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendContentLength(b []byte, length int64) []byte {
	b = append(b, contentLengthHeader+": "...)
	b = strconv.AppendInt(b, length, 10)
	return append(b, "\r\n"...)
}
