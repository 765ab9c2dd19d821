package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	maxBody   = 32 << 20
	smallBody = 16 << 10        // within what each connection may take anyway
	step      = 256 << 10       // by which the memory of a body of untold length grows
	minRate   = 32 << 10        // bytes a second, half of what a slow caller writes
	bodyGrace = 5 * time.Second // on top of that
	bodyWait  = 5 * time.Second // for memory
)

var (
	errTooLarge = errors.New("body too large")
	errNoMemory = errors.New("no memory for the body")
)

// body is a request's body and what it holds of the memory that all bodies share.
type body struct {
	bytes  []byte
	budget *semaphore.Weighted
	held   int64
}

func (b *body) release() {
	b.budget.Release(b.held)
	b.bytes, b.held = nil, 0
}

// reserve takes memory before it is filled. To wait costs the caller nothing: its time runs from its last byte.
func (b *body) reserve(ctx context.Context, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	if b.budget.Acquire(ctx, n) != nil {
		return errNoMemory
	}
	b.held += n
	return nil
}

// read takes the whole body in. Many large bodies at once wait for each other rather than for the memory limit.
func (b *body) read(w http.ResponseWriter, r *http.Request) error {
	size := r.ContentLength
	if size == 0 {
		return nil
	}
	if size > maxBody {
		return errTooLarge
	}
	if size > smallBody {
		if err := b.reserve(r.Context(), size); err != nil {
			return err
		}
	}
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(time.Now().Add(bodyGrace + time.Duration(max(size, step))*time.Second/minRate))
	defer conn.SetReadDeadline(time.Time{})
	if size > 0 {
		b.bytes = make([]byte, size)
		_, err := io.ReadFull(r.Body, b.bytes)
		return err
	}
	for len(b.bytes) <= maxBody {
		if err := b.reserve(r.Context(), step); err != nil {
			return err
		}
		conn.SetReadDeadline(time.Now().Add(bodyGrace + step*time.Second/minRate))
		piece, err := io.ReadAll(io.LimitReader(r.Body, step))
		b.bytes = append(b.bytes, piece...)
		if err != nil || len(piece) < step {
			return err
		}
	}
	return errTooLarge
}
