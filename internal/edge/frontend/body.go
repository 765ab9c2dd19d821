package frontend

import (
	"context"
	"errors"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/base/chunked"
)

const (
	maxBufferedBody   = 64 << 10 // bodies up to this size are buffered completely, so that they can be sent again
	maxUnreservedBody = 4 << 10  // accounted for in the memory of each connection
	firstBodyBuffer   = 2 << 10  // initial buffer size for a body of unknown length
	// streamedBodyBuffers is the memory that forwards a body while it is received: the buffers of both connections.
	streamedBodyBuffers = 32 << 10
	// messageTimeout is the maximum time for a head, counted from the start of the connection, and for a buffered body, counted from the
	// end of its head. Faulty clients send at full speed, and must get a response or a close within 3 s of connecting. Slow valid clients
	// may use both periods.
	messageTimeout = 2600 * time.Millisecond
	// minBodyBytesPerSecond is the average rate that a larger body must reach beyond messageTimeout. It is half the rate of the slowest
	// clients on the platform's page. Only the time that the server spends waiting for the client counts.
	minBodyBytesPerSecond = 32 << 10
)

var (
	errTooLarge     = errors.New("request body exceeds the size limit")
	errNoBodyMemory = errors.New("no memory available for the request body")
	errBadBody      = errors.New("request body is malformed or truncated")
	errBodyStopped  = errors.New("reading of the request body was stopped")
)

// StreamingExchange is an exchange that can process bodies larger than maxBufferedBody while they are being received.
type StreamingExchange interface {
	Exchange
	// MaxBodyBytes returns the maximum size of a body.
	MaxBodyBytes() int64
	// Stream serves a request like Do, but only the first bytes of the body are buffered, and the rest is read from a stream. Once the
	// body is complete, the request's deadline counts from rest.ReceivedAt.
	Stream(ctx context.Context, buffered []byte, rest *BodyStream) engine.Result
}

// body is a request's body and the memory reserved for it from the shared budget.
type body struct {
	bytes    []byte
	stream   *BodyStream // the rest of the body after the buffered bytes; nil if all of it is buffered
	budget   Budget
	reserved int64
	// receiving ends when no body is received any more.
	receiving context.Context
}

func (b *body) release() {
	b.budget.Release(b.reserved)
	b.bytes = nil
	b.reserved = 0
}

// reserve acquires n bytes from the budget before they are filled, and waits for them until the deadline.
func (b *body) reserve(ctx context.Context, n int64, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(b.receiving, cancel)()
	if b.budget.Acquire(ctx, n) != nil {
		return errNoBodyMemory
	}
	b.reserved += n
	return nil
}

// read reads the whole body, or only its first bytes if it exceeds maxBufferedBody and may be streamed. A body larger than
// maxUnreservedBody waits until the shared budget has memory for it, but not longer than the request's timeout, because the whole
// request may have been received already.
func (b *body) read(c *clientConn, maxBytes int64, timeout time.Duration) error {
	size := c.request.ContentLength
	switch {
	case size == 0:
		return nil
	case size > maxBytes:
		return errTooLarge
	}
	capacity := int64(maxBufferedBody)
	if size > 0 {
		capacity = min(capacity, size)
	}
	reserved := capacity
	if maxBytes > maxBufferedBody && (size < 0 || size > maxBufferedBody) {
		reserved += streamedBodyBuffers
	}
	if capacity > maxUnreservedBody {
		if err := b.reserve(c.ctx, reserved, time.Now().Add(min(timeout, messageTimeout))); err != nil {
			return err
		}
	}
	if err := c.sendContinueIfExpected(); err != nil {
		return err
	}
	stream := newBodyStream(c, size, maxBytes)
	defer context.AfterFunc(b.receiving, stream.endReceipt)()
	if err := b.fill(stream, capacity); err != nil {
		return err
	}
	if stream.isFullyReceived() && len(b.bytes) <= maxBufferedBody {
		return nil
	}
	if maxBytes <= maxBufferedBody { // the body may not be streamed and exceeds maxBytes
		return errTooLarge
	}
	stream.timeLeft += time.Duration(len(b.bytes)) * time.Second / minBodyBytesPerSecond
	b.stream = stream
	return nil
}

// sendContinueIfExpected writes 100 Continue if the client waits for it before it sends the body (RFC 9110, 10.1.1).
func (c *clientConn) sendContinueIfExpected() error {
	if !c.expectsContinue {
		return nil
	}
	c.expectsContinue = false
	if len(c.input) > 0 { // the client has started to send the body
		return nil
	}
	return c.writeContinue()
}

// fill reads the body into b.bytes, up to capacity bytes. For a body of unknown length it reads one byte more, to detect the end.
func (b *body) fill(stream *BodyStream, capacity int64) error {
	if stream.length > 0 {
		b.bytes = make([]byte, 0, capacity)
	} else {
		b.bytes = make([]byte, 0, min(capacity, firstBodyBuffer))
	}
	for !stream.isFullyReceived() && int64(len(b.bytes)) < capacity {
		if len(b.bytes) == cap(b.bytes) {
			grown := make([]byte, len(b.bytes), min(2*cap(b.bytes), maxBufferedBody))
			copy(grown, b.bytes)
			b.bytes = grown
		}
		n, err := stream.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return err
		}
	}
	if stream.isFullyReceived() || stream.length >= 0 {
		return nil
	}
	var next [1]byte // the next byte of a body of unknown length, if there is one
	n, err := stream.Read(next[:])
	b.bytes = append(b.bytes, next[:n]...)
	return err
}

func newBodyStream(c *clientConn, length, maxBytes int64) *BodyStream {
	s := &BodyStream{conn: c, length: length, remaining: length, maxBytes: maxBytes, timeLeft: messageTimeout, receivedAt: c.received.receivedAt,
		receipt: newReceiptClock(c.received.receivedAt)}
	if length < 0 {
		s.chunkDecoder = &chunked.Decoder{}
	}
	return s
}
