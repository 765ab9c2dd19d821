package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSingleWrite is the largest request that is written in one call without a deadline. An idle connection accepts it at once,
	// because the system's send buffer is empty and larger.
	maxSingleWrite = 4 << 10
	writeTimeout   = time.Second // for a whole request; less if the request has less time left
	// streamWriteTimeout is how long an endpoint may accept no bytes of a streamed body.
	streamWriteTimeout = 5 * time.Second
	streamChunkBytes   = 16 << 10
	requestBufferBytes = 2 << 10

	timeoutHeader       = "X-Timeout-Ms" // tells the endpoint how long the client waits
	contentLengthHeader = "Content-Length"
	lastChunk           = "0\r\n\r\n"
)

var (
	// errRequestBody means that a streamed body could not be read completely from the client, or is read by another attempt. The
	// endpoint is not at fault.
	errRequestBody = errors.New("request body incomplete")
	// errEarlyResponse means that the response arrived, or the connection ended, before the body was complete.
	errEarlyResponse = errors.New("response arrived or connection ended before the request body was complete")
)

var (
	requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, requestBufferBytes); return &b }}
	streamBuffers  = sync.Pool{New: func() any { b := make([]byte, streamChunkBytes); return &b }}
)

// writeRequest writes the request, and reports whether it was written completely. An endpoint cannot have started a request that
// it did not receive completely. The error wraps errRequestBody if the client has failed to send the body.
func (c *conn) writeRequest(r *Request, timeout time.Duration) (complete bool, err error) {
	pooled := requestBuffers.Get().(*[]byte)
	head := appendHead((*pooled)[:0], r, timeout)
	if r.Stream != nil {
		c.progress.recordSent()
		w := streamWriter{conn: c, stream: r.Stream, chunked: r.Stream.Length() < 0}
		return w.write(head, r.Body)
	}
	size := int64(len(head) + len(r.Body))
	var written int64
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
	return written == size, nil
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

// The states of a streamWriter.
const (
	streaming int32 = iota
	responded       // the response arrived, or the connection ended, before the body was written
	completed       // the body was written before a response arrived
)

// streamWriter writes a request whose body is still arriving. While it writes, it also waits for the response: an endpoint that
// responds before the body is complete gets no more of the body.
type streamWriter struct {
	conn    *conn
	stream  RequestStream
	chunked bool
	state   atomic.Int32
}

// write writes the head, the part of the body that has arrived, and the rest of the body as it arrives.
func (w *streamWriter) write(head, body []byte) (complete bool, err error) {
	w.extendDeadline()
	if _, err := w.conn.Conn.Write(head); err != nil {
		return false, err
	}
	if err := w.writeChunk(body); err != nil {
		return false, err
	}
	if !w.stream.Acquire() { // another attempt reads the rest of the body
		return false, fmt.Errorf("%w: the rest is read by another attempt", errRequestBody)
	}
	w.awaitResponse()
	if err := w.copyBody(); err != nil {
		return false, err
	}
	if err := w.writeLastChunk(); err != nil {
		return false, err
	}
	w.state.CompareAndSwap(streaming, completed)
	w.stream.MarkForwarded()
	return true, nil
}

// awaitResponse starts a goroutine that stops the writing once a response arrives or the connection ends.
func (w *streamWriter) awaitResponse() {
	c := w.conn
	c.readTimeout = 0
	c.setReadDeadline(time.Time{})
	response := make(chan error, 1)
	c.earlyResponse = response
	go func() { // ends at the latest when the connection is closed
		_, err := c.reader.Peek(1)
		if w.state.CompareAndSwap(streaming, responded) {
			w.stream.Stop()
			if c.client.OnEarlyResponse != nil {
				c.client.OnEarlyResponse()
			}
			c.SetWriteDeadline(time.Unix(1, 0))
		}
		response <- err
	}()
}

// copyBody writes the rest of the body as it arrives.
func (w *streamWriter) copyBody() error {
	pooled := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(pooled)
	for !w.stream.IsComplete() {
		n, readErr := w.stream.Read(*pooled)
		var writeErr error
		if n > 0 {
			writeErr = w.writeChunk((*pooled)[:n])
		}
		hasResponse := w.state.Load() == responded
		switch {
		case writeErr != nil && !hasResponse:
			return writeErr
		case hasResponse && (writeErr != nil || !w.stream.IsComplete()):
			return errEarlyResponse
		case readErr != nil:
			return fmt.Errorf("%w: %w", errRequestBody, readErr)
		}
	}
	return nil
}

func (w *streamWriter) extendDeadline() {
	w.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
}

func (w *streamWriter) writeChunk(p []byte) error {
	w.extendDeadline()
	message := net.Buffers{p}
	if w.chunked && len(p) > 0 {
		size := append(strconv.AppendInt(nil, int64(len(p)), 16), "\r\n"...)
		message = net.Buffers{size, p, []byte("\r\n")}
	}
	_, err := message.WriteTo(w.conn.Conn)
	return err
}

func (w *streamWriter) writeLastChunk() error {
	if !w.chunked {
		return nil
	}
	w.extendDeadline()
	_, err := w.conn.Conn.Write([]byte(lastChunk))
	if err != nil && w.state.Load() == responded {
		return errEarlyResponse
	}
	return err
}
