package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"time"
)

const (
	maxBody   = 64 << 10
	smallBody = 4 << 10 // within what each connection may take anyway
	// wholeIn is how long a head may take from its connection's beginning, and a body from its head's end. Bad clients
	// send at full speed and are owed an answer or a close 3 s after connecting; slow good ones get both times.
	wholeIn = 2600 * time.Millisecond
)

var (
	errTooLarge = errors.New("body too large")
	errNoMemory = errors.New("no memory for the body")
)

// body is a request's body and what it holds of the memory that all bodies share.
type body struct {
	bytes  []byte
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

// read takes the whole body in, by the given time. Many large bodies at once wait for each other rather than for the
// memory limit, where the budget lets them.
func (b *body) read(c *callerConn, by time.Time) error {
	size := c.request.ContentLength
	switch {
	case size == 0:
		return nil
	case size > maxBody:
		return errTooLarge
	case size < 0: // untold
		size = maxBody + 1
	}
	if size > smallBody {
		if err := b.reserve(c.ctx, size, by); err != nil {
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
	if c.request.ContentLength < 0 {
		c.readBy(by)
		var err error
		chunks := httputil.NewChunkedReader(io.MultiReader(bytes.NewReader(c.in), c.Conn))
		c.in = c.in[:0] // the connection ends with this request: what stands behind it is never looked at
		if b.bytes, err = io.ReadAll(io.LimitReader(chunks, size)); len(b.bytes) > maxBody {
			err = errTooLarge
		}
		return err
	}
	b.bytes = make([]byte, size)
	n := copy(b.bytes, c.in)
	c.in = c.in[n:]
	if n == len(b.bytes) {
		return nil
	}
	c.readBy(by)
	_, err := io.ReadFull(c.Conn, b.bytes[n:])
	return err
}
