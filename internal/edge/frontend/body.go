package frontend

import (
	"context"
	"errors"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/base/chunked"
)

const (
	maxBufferedBody   = 64 << 10 // bodies up to this size are buffered whole, and can be sent again
	maxUnreservedBody = 4 << 10  // covered by the memory of each connection
	firstBodyBuffer   = 2 << 10  // of a body whose length is not known
	// messageTimeout is how long a head may take from the start of its connection, and a buffered body from the end of its head. Bad
	// clients send at full speed and must have a response or a close 3 s after connecting; slow good ones get both times.
	messageTimeout = 2600 * time.Millisecond
	// minBodyBytesPerSecond is the average rate that a larger body must reach beyond messageTimeout: half of that of the slowest clients
	// on the platform's page. Only time in which the server waited for the client counts.
	minBodyBytesPerSecond = 32 << 10
)

var (
	errTooLarge     = errors.New("body too large")
	errNoBodyMemory = errors.New("no memory for the body")
	errBadBody      = errors.New("the client's body cannot be read")
	errBodyStopped  = errors.New("the body is not read any more")
)

// StreamingExchange is an exchange that takes bodies larger than the buffer while they are received.
type StreamingExchange interface {
	Exchange
	// MaxBodyBytes returns the largest size of a body.
	MaxBodyBytes() int64
	// Stream is Do for a request of whose body the first bytes are buffered, and the rest is read from a stream. Its time counts from
	// rest.ReceivedAt once the body is complete.
	Stream(ctx context.Context, buffered []byte, rest *BodyStream) engine.Result
}

// body is a request's body, with its part of the memory that all bodies share.
type body struct {
	bytes    []byte
	stream   *BodyStream // what follows the buffered bytes; nil: nothing does
	budget   Budget
	reserved int64
}

func (b *body) release() {
	b.budget.Release(b.reserved)
	b.bytes = nil
	b.reserved = 0
}

// reserve takes memory before it is filled, and waits for it. Waiting costs the client nothing: its deadline begins with its last
// byte.
func (b *body) reserve(ctx context.Context, n int64, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if b.budget.Acquire(ctx, n) != nil {
		return errNoBodyMemory
	}
	b.reserved += n
	return nil
}

// read reads the body whole, or its first bytes where it is larger than the buffer and may be streamed. Large bodies wait for each
// other's memory, as far as the budget lets them.
func (b *body) read(c *clientConn, maxBytes int64) error {
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
	if capacity > maxUnreservedBody {
		if err := b.reserve(c.ctx, capacity, time.Now().Add(messageTimeout)); err != nil {
			return err
		}
	}
	if err := c.sendContinueIfExpected(); err != nil {
		return err
	}
	stream := newBodyStream(c, size, maxBytes)
	if err := b.fill(stream, capacity); err != nil {
		return err
	}
	if stream.isFullyReceived() && len(b.bytes) <= maxBufferedBody {
		return nil
	}
	if maxBytes <= maxBufferedBody { // there is more than is allowed
		return errTooLarge
	}
	stream.timeLeft += time.Duration(len(b.bytes)) * time.Second / minBodyBytesPerSecond
	b.stream = stream
	return nil
}

// sendContinueIfExpected asks for the body of a client that waits for it (Expect: 100-continue, RFC 9110, 10.1.1).
func (c *clientConn) sendContinueIfExpected() error {
	if !c.expectsContinue {
		return nil
	}
	c.expectsContinue = false
	if len(c.input) > 0 { // the body is on its way already
		return nil
	}
	return c.writeContinue()
}

// fill reads the body into the buffer, up to its capacity.
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
	var next [1]byte // of a body whose length is not known: another byte, or its end
	n, err := stream.Read(next[:])
	b.bytes = append(b.bytes, next[:n]...)
	return err
}

func newBodyStream(c *clientConn, length, maxBytes int64) *BodyStream {
	s := &BodyStream{conn: c, length: length, remaining: length, maxBytes: maxBytes, timeLeft: messageTimeout}
	if length < 0 {
		s.chunkDecoder = &chunked.Decoder{}
	}
	return s
}
