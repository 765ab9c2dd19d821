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
	maxBody   = 64 << 10 // held whole, and can be sent again
	smallBody = 4 << 10  // within what each connection may take anyway
	// wholeIn is how long a head may take from its connection's beginning, and a body that is held whole from its head's
	// end. Bad clients send at full speed and are owed an answer or a close 3 s after connecting; slow good ones get both
	// times.
	wholeIn = 2600 * time.Millisecond
	// bodyRate is how many bytes a second a larger body must bring on average, beyond wholeIn: half of what the slowest
	// callers are said to bring. Only time in which the front waited for the caller counts.
	bodyRate = 32 << 10
)

var (
	errTooLarge = errors.New("body too large")
	errNoMemory = errors.New("no memory for the body")
	errBody     = errors.New("the caller's body can't be read")
	errStopped  = errors.New("the body is not read any more")
)

// Streamer is an exchange that takes bodies of more than 64 KiB as they come.
type Streamer interface {
	Exchange
	// Most is how many bytes a body may have.
	Most() int64
	// Stream is Do for a request whose body is held up to a point and comes as it is read beyond that.
	Stream(ctx context.Context, held []byte, rest *Rest) engine.Result
}

// body is a request's body and what it holds of the memory that all bodies share.
type body struct {
	bytes  []byte
	rest   *Rest // what comes behind them; nil: nothing does
	budget Budget
	held   int64
}

func (b *body) release() {
	b.budget.Release(b.held)
	b.bytes, b.held = nil, 0
}

// reserve takes memory before it is filled. To wait costs the caller nothing: its time runs from its last byte.
func (b *body) reserve(ctx context.Context, n int64, by time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	if b.budget.Acquire(ctx, n) != nil {
		return errNoMemory
	}
	b.held += n
	return nil
}

// read takes the body in, whole, or its first 64 KiB where it has more and may have. Many large bodies at once wait for
// each other rather than for the memory limit, where the budget lets them.
func (b *body) read(c *callerConn, most int64) error {
	size := c.request.ContentLength
	switch {
	case size == 0:
		return nil
	case size > most:
		return errTooLarge
	}
	room := int64(maxBody)
	if size > 0 {
		room = min(room, size)
	}
	if room > smallBody {
		if err := b.reserve(c.ctx, room, time.Now().Add(wholeIn)); err != nil {
			return err
		}
	}
	if c.expects { // and holds the body back until it is asked for (RFC 9110, 10.1.1)
		c.expects = false
		if len(c.in) == 0 {
			if err := c.continues(); err != nil {
				return err
			}
		}
	}
	rest := &Rest{conn: c, length: size, left: size, most: most, patience: wholeIn}
	if size < 0 {
		rest.chunks = &chunked.Decoder{}
	}
	b.bytes = make([]byte, 0, min(room, 2<<10))
	if size > 0 {
		b.bytes = make([]byte, 0, room)
	}
	for !rest.over() && int64(len(b.bytes)) < room {
		if len(b.bytes) == cap(b.bytes) {
			grown := make([]byte, len(b.bytes), min(2*cap(b.bytes), maxBody))
			copy(grown, b.bytes)
			b.bytes = grown
		}
		n, err := rest.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return err
		}
	}
	if !rest.over() && size < 0 { // whether a byte more comes, or the end
		var one [1]byte
		n, err := rest.Read(one[:])
		if b.bytes = append(b.bytes, one[:n]...); err != nil {
			return err
		}
	}
	if rest.over() && len(b.bytes) <= maxBody {
		return nil
	}
	if most <= maxBody { // there is more than may be
		return errTooLarge
	}
	rest.patience += time.Duration(len(b.bytes)) * time.Second / bodyRate
	b.rest = rest
	return nil
}

// Rest is what comes of a body behind what is held of it. Whoever takes it first reads it; nobody can read it again.
type Rest struct {
	conn   *callerConn
	length int64 // of the whole body; -1: not told
	most   int64

	mu       sync.Mutex // held while it is read
	left     int64      // of a told length
	chunks   *chunked.Decoder
	got      int64
	patience time.Duration // for the caller, in which the front may yet wait for it
	err      error

	stop    sync.Mutex // over what follows
	taken   bool
	stopped bool
	watched bool // its caller is watched: nothing is read of it any more
}

// Length returns the length of the whole body, -1 where it is not told.
func (r *Rest) Length() int64 { return r.length }

// Acquire tells whether nobody else has taken the rest before.
func (r *Rest) Acquire() bool {
	r.stop.Lock()
	defer r.stop.Unlock()
	if r.taken || r.stopped {
		return false
	}
	r.taken = true
	return true
}

// over tells that the body has come whole.
func (r *Rest) over() bool {
	if r.chunks != nil {
		return r.chunks.IsComplete()
	}
	return r.left == 0
}

// Read reads what comes next. At the body's end n is 0 or more with Over true; errors are the caller's, or those of a rest
// that is not read any more.
func (r *Rest) Read(p []byte) (n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	n, err = r.read(p)
	r.got += int64(n)
	if err == nil && r.got > r.most {
		err = errTooLarge
	}
	r.err = err
	return n, err
}

// IsComplete tells that the body has come whole.
func (r *Rest) IsComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == nil && r.over()
}

func (r *Rest) read(p []byte) (n int, err error) {
	c := r.conn
	for n == 0 && !r.over() && len(p) > 0 {
		if len(c.in) == 0 {
			if err := r.fill(); err != nil {
				return 0, err
			}
		}
		if r.chunks == nil {
			n = copy(p[:min(int64(len(p)), r.left)], c.in)
			c.in = c.in[n:]
			r.left -= int64(n)
			continue
		}
		data, used, err := r.chunks.Feed(c.in[:min(len(c.in), len(p))])
		n = copy(p, data)
		c.in = c.in[used:]
		if err != nil {
			return n, errBody
		}
	}
	return n, nil
}

// fill waits for the caller. Large bodies are read through the connection's own buffer, in pieces of its size.
func (r *Rest) fill() error {
	c := r.conn
	if cap(c.buf) < bodyBuffer {
		c.buf = make([]byte, bodyBuffer)
	}
	began := time.Now()
	r.stop.Lock()
	if r.stopped {
		r.stop.Unlock()
		return errStopped
	}
	if r.taken && c.left() { // what stands here yet would go on for nobody
		r.stop.Unlock()
		return errBody
	}
	c.readBy(began.Add(min(r.patience, wholeIn)))
	r.stop.Unlock()
	n, err := c.Conn.Read(c.buf[:cap(c.buf)])
	c.in = c.buf[:n]
	r.patience += time.Duration(n)*time.Second/bodyRate - time.Since(began)
	if n > 0 {
		return nil
	}
	r.stop.Lock()
	defer r.stop.Unlock()
	switch {
	case r.stopped:
		return errStopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return os.ErrDeadlineExceeded
	}
	return errBody
}

// Sent tells that the body has been passed on whole: from now on its caller is watched, as that of any request in work.
func (r *Rest) Sent() {
	r.mu.Lock() // nothing is being read
	defer r.mu.Unlock()
	r.stop.Lock()
	defer r.stop.Unlock()
	if !r.stopped && r.err == nil && !r.watched {
		r.watched = true
		r.conn.watch()
	}
}

// Stop ends the reading; where one is in progress it fails. It guards a connection from being read by two.
func (r *Rest) Stop() {
	r.stop.Lock()
	was := r.stopped
	r.stopped = true
	watched := r.watched && !was
	r.conn.Conn.SetReadDeadline(time.Unix(1, 0))
	r.stop.Unlock()
	if watched {
		r.conn.unwatch()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn.till = time.Time{}
	r.conn.Conn.SetReadDeadline(time.Time{})
}

// fault tells what is wrong on the caller's side; nil: nothing.
func (r *Rest) fault() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, errStopped) {
		return nil
	}
	return r.err
}

// bodyBuffer is what a large body is read by.
const bodyBuffer = 16 << 10
