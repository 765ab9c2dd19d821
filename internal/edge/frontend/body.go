package frontend

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/base/chunked"
)

const (
	maxBufferedBody   = 64 << 10 // held whole, and can be sent again
	maxUnreservedBody = 4 << 10  // within what each connection may take anyway
	// messageTimeout is how long a head may take from its connection's beginning, and a body that is held whole from its head's
	// end. Bad clients send at full speed and are owed an answer or a close 3 s after connecting; slow good ones get both
	// times.
	messageTimeout = 2600 * time.Millisecond
	// minBodyBytesPerSecond is how many bytes a second a larger body must bring on average, beyond wholeIn: half of what the slowest
	// callers are said to bring. Only time in which the front waited for the caller counts.
	minBodyBytesPerSecond = 32 << 10
)

var (
	errTooLarge     = errors.New("body too large")
	errNoBodyMemory = errors.New("no memory for the body")
	errBadBody      = errors.New("the caller's body can't be read")
	errBodyStopped  = errors.New("the body is not read any more")
)

// StreamingExchange is an exchange that takes bodies of more than 64 KiB as they come.
type StreamingExchange interface {
	Exchange
	// MaxBodyBytes is how many bytes a body may have.
	MaxBodyBytes() int64
	// Stream is Do for a request whose body is held up to a point and comes as it is read beyond that.
	Stream(ctx context.Context, held []byte, rest *BodyStream) engine.Result
}

// body is a request's body and what it holds of the memory that all bodies share.
type body struct {
	bytes    []byte
	stream   *BodyStream // what comes behind them; nil: nothing does
	budget   Budget
	reserved int64
}

func (b *body) release() {
	b.budget.Release(b.reserved)
	b.bytes, b.reserved = nil, 0
}

// reserve takes memory before it is filled. To wait costs the caller nothing: its time runs from its last byte.
func (b *body) reserve(ctx context.Context, n int64, by time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	if b.budget.Acquire(ctx, n) != nil {
		return errNoBodyMemory
	}
	b.reserved += n
	return nil
}

// read takes the body in, whole, or its first 64 KiB where it has more and may have. Many large bodies at once wait for
// each other rather than for the memory limit, where the budget lets them.
func (b *body) read(c *clientConn, most int64) error {
	size := c.request.ContentLength
	switch {
	case size == 0:
		return nil
	case size > most:
		return errTooLarge
	}
	room := int64(maxBufferedBody)
	if size > 0 {
		room = min(room, size)
	}
	if room > maxUnreservedBody {
		if err := b.reserve(c.ctx, room, time.Now().Add(messageTimeout)); err != nil {
			return err
		}
	}
	if c.expectsContinue { // and holds the body back until it is asked for (RFC 9110, 10.1.1)
		c.expectsContinue = false
		if len(c.input) == 0 {
			if err := c.writeContinue(); err != nil {
				return err
			}
		}
	}
	rest := &BodyStream{conn: c, length: size, remaining: size, maxBytes: most, timeLeft: messageTimeout}
	if size < 0 {
		rest.chunkDecoder = &chunked.Decoder{}
	}
	b.bytes = make([]byte, 0, min(room, 2<<10))
	if size > 0 {
		b.bytes = make([]byte, 0, room)
	}
	for !rest.isOver() && int64(len(b.bytes)) < room {
		if len(b.bytes) == cap(b.bytes) {
			grown := make([]byte, len(b.bytes), min(2*cap(b.bytes), maxBufferedBody))
			copy(grown, b.bytes)
			b.bytes = grown
		}
		n, err := rest.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return err
		}
	}
	if !rest.isOver() && size < 0 { // whether a byte more comes, or the end
		var one [1]byte
		n, err := rest.Read(one[:])
		if b.bytes = append(b.bytes, one[:n]...); err != nil {
			return err
		}
	}
	if rest.isOver() && len(b.bytes) <= maxBufferedBody {
		return nil
	}
	if most <= maxBufferedBody { // there is more than may be
		return errTooLarge
	}
	rest.timeLeft += time.Duration(len(b.bytes)) * time.Second / minBodyBytesPerSecond
	b.stream = rest
	return nil
}

// BodyStream is what comes of a body behind what is held of it. Whoever takes it first reads it; nobody can read it again.
type BodyStream struct {
	conn     *clientConn
	length   int64 // of the whole body; -1: not told
	maxBytes int64

	mu           sync.Mutex // held while it is read
	remaining    int64      // of a told length
	chunkDecoder *chunked.Decoder
	received     int64
	timeLeft     time.Duration // for the caller, in which the front may yet wait for it
	err          error

	stateMu  sync.Mutex // over what follows
	acquired bool
	stopped  bool
	watched  bool // its caller is watched: nothing is read of it any more
}

// Length returns the length of the whole body, -1 where it is not told.
func (r *BodyStream) Length() int64 { return r.length }

// Acquire tells whether nobody else has taken the rest before.
func (r *BodyStream) Acquire() bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	if r.acquired || r.stopped {
		return false
	}
	r.acquired = true
	return true
}

// isOver tells that the body has come whole.
func (r *BodyStream) isOver() bool {
	if r.chunkDecoder != nil {
		return r.chunkDecoder.IsComplete()
	}
	return r.remaining == 0
}

// Read reads what comes next. At the body's end n is 0 or more with Over true; errors are the caller's, or those of a rest
// that is not read any more.
func (r *BodyStream) Read(p []byte) (n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	n, err = r.read(p)
	r.received += int64(n)
	if err == nil && r.received > r.maxBytes {
		err = errTooLarge
	}
	r.err = err
	return n, err
}

// IsComplete tells that the body has come whole.
func (r *BodyStream) IsComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == nil && r.isOver()
}

func (r *BodyStream) read(p []byte) (n int, err error) {
	c := r.conn
	for n == 0 && !r.isOver() && len(p) > 0 {
		if len(c.input) == 0 {
			if err := r.fill(); err != nil {
				return 0, err
			}
		}
		if r.chunkDecoder == nil {
			n = copy(p[:min(int64(len(p)), r.remaining)], c.input)
			c.input = c.input[n:]
			r.remaining -= int64(n)
			continue
		}
		data, used, err := r.chunkDecoder.Feed(c.input[:min(len(c.input), len(p))])
		n = copy(p, data)
		c.input = c.input[used:]
		if err != nil {
			return n, errBadBody
		}
	}
	return n, nil
}

// fill waits for the caller. Large bodies are read through the connection's own buffer, in pieces of its size.
func (r *BodyStream) fill() error {
	c := r.conn
	if cap(c.buffer) < bodyBufferBytes {
		c.buffer = make([]byte, bodyBufferBytes)
	}
	began := time.Now()
	r.stateMu.Lock()
	if r.stopped {
		r.stateMu.Unlock()
		return errBodyStopped
	}
	if r.acquired && c.isDisconnected() { // what stands here yet would go on for nobody
		r.stateMu.Unlock()
		return errBadBody
	}
	c.setReadDeadline(began.Add(min(r.timeLeft, messageTimeout)))
	r.stateMu.Unlock()
	n, err := c.Conn.Read(c.buffer[:cap(c.buffer)])
	c.input = c.buffer[:n]
	r.timeLeft += time.Duration(n)*time.Second/minBodyBytesPerSecond - time.Since(began)
	if n > 0 {
		return nil
	}
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	switch {
	case r.stopped:
		return errBodyStopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return os.ErrDeadlineExceeded
	}
	return errBadBody
}

// MarkForwarded tells that the body has been passed on whole: from now on its caller is watched, as that of any request in work.
func (r *BodyStream) MarkForwarded() {
	r.mu.Lock() // nothing is being read
	defer r.mu.Unlock()
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	if !r.stopped && r.err == nil && !r.watched {
		r.watched = true
		r.conn.startWatch()
	}
}

// Stop ends the reading; where one is in progress it fails. It guards a connection from being read by two.
func (r *BodyStream) Stop() {
	r.stateMu.Lock()
	was := r.stopped
	r.stopped = true
	watched := r.watched && !was
	r.conn.Conn.SetReadDeadline(time.Unix(1, 0))
	r.stateMu.Unlock()
	if watched {
		r.conn.stopWatch()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn.readDeadline = time.Time{}
	r.conn.Conn.SetReadDeadline(time.Time{})
}

// clientError tells what is wrong on the caller's side; nil: nothing.
func (r *BodyStream) clientError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, errBodyStopped) {
		return nil
	}
	return r.err
}

// bodyBufferBytes is what a large body is read by.
const bodyBufferBytes = 16 << 10
