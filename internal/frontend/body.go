package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
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
// memory limit.
func (b *body) read(w http.ResponseWriter, r *http.Request, by time.Time) error {
	size := r.ContentLength
	switch {
	case size == 0:
		return nil
	case size > maxBody:
		return errTooLarge
	case size < 0: // untold
		size = maxBody + 1
	}
	if size > smallBody {
		if err := b.reserve(r.Context(), size, by); err != nil {
			return err
		}
	}
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(by)
	var err error
	if r.ContentLength > 0 {
		b.bytes = make([]byte, size)
		_, err = io.ReadFull(r.Body, b.bytes)
	} else if b.bytes, err = io.ReadAll(io.LimitReader(r.Body, size)); len(b.bytes) > maxBody {
		err = errTooLarge
	}
	if err == nil {
		conn.SetReadDeadline(time.Time{})
	}
	return err
}
