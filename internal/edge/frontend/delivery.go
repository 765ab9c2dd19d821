package frontend

import (
	"errors"
	"time"
)

var (
	// ErrClientGone means that the client disconnected before its response was written.
	ErrClientGone = errors.New("client disconnected")
	// ErrOverdue means that the exchange gave no result in time. The server responded with a failure.
	ErrOverdue = errors.New("no result in time")
	// ErrNotWritten means that the client's connection failed while the response was written, or that the client did not read it.
	ErrNotWritten = errors.New("response not written")
)

// Delivery tells how the response to a request was delivered.
type Delivery struct {
	// Err is nil if the response was written completely. Otherwise it is ErrClientGone, ErrOverdue, ErrNotWritten, or the error for which
	// a streamed response was cut off.
	Err error
	// Late is how long after the request's deadline the response ended. Zero or negative: in time.
	Late time.Duration
}

// delivery returns how the response to the current request was delivered.
func (c *clientConn) delivery() Delivery {
	d := Delivery{Late: c.guard.sinceDeadline(time.Now())}
	switch {
	case c.guard.isOverdue():
		d.Err = ErrOverdue
	case c.streamError != nil:
		d.Err = c.streamError
	case c.writeFailed:
		d.Err = ErrNotWritten
	case c.ctx.Err() != nil:
		d.Err = ErrClientGone
	}
	return d
}
