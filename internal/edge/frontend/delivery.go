package frontend

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// loggedLateness is how long after its deadline a response ends that is logged. Results come at the deadline, so that their responses are
// a little late.
const loggedLateness = 100 * time.Millisecond

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

// Log logs a delivery that failed or was late. A client that disconnected is logged at debug level.
func (d Delivery) Log(log *slog.Logger, requestID, class string) {
	level := slog.LevelInfo
	switch {
	case d.Err == nil && d.Late <= loggedLateness:
		return
	case errors.Is(d.Err, ErrClientGone):
		level = slog.LevelDebug
	case errors.Is(d.Err, ErrOverdue):
		level = slog.LevelWarn
	}
	log.Log(context.Background(), level, "response not delivered in time", "request", requestID, "class", class,
		"late", d.Late.Round(time.Millisecond), "error", d.Err)
}

// delivery returns how the response to the current request was delivered.
func (c *clientConn) delivery() Delivery {
	guard := c.guard.Load()
	d := Delivery{Late: guard.sinceDeadline(time.Now())}
	switch {
	case guard.isOverdue():
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
