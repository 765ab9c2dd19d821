package upstream

import (
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/base/socket"
	"silvertrail/lbpolicy"
)

// AttemptProgress tracks the progress of one attempt, whether or not the attempt's goroutine has run in the meantime. It tells since when
// the attempt has been waiting for its endpoint, and whether a response has arrived that Do has not returned yet. Such a response is
// unread in the socket, or has been read and is being parsed. The zero value is ready for use by one call of Do. The exported methods
// may be called from any goroutine and do not block.
type AttemptProgress struct {
	dial atomic.Pointer[pendingDial] // nil: no connection is being opened
	conn atomic.Pointer[conn]        // connection that the attempt uses; nil: none yet
	// isReading is set before the socket is read, and cleared when the read finds the socket empty. It stays set after the end of a
	// response.
	isReading atomic.Bool
	sentAt    time.Time // valid once isSent
	isSent    atomic.Bool
	arrivedAt atomic.Int64 // time since processStart at which bytes of the response last arrived; zero: none did
	stall     atomic.Int64 // time without bytes after which a response that has begun is stalled
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	startedAt time.Time
	socket    atomic.Pointer[syscall.RawConn] // socket of the latest dial; nil: not known
}

// WaitingSince returns since when the attempt has been waiting for its endpoint: for a connection, or for the response after the
// request was written. For a request that is streamed or larger than maxSingleWrite, the wait includes the writing. The result waits
// is false while the attempt waits for this process.
func (p *AttemptProgress) WaitingSince() (since time.Time, waits bool) {
	if p.isSent.Load() {
		return p.sentAt, true
	}
	if d := p.dial.Load(); d != nil && d.isConnecting() {
		return d.startedAt, true
	}
	return time.Time{}, false
}

// HasUnreadResponse reports whether a part of the response has arrived that Do has not returned yet.
func (p *AttemptProgress) HasUnreadResponse() bool {
	c := p.conn.Load()
	return c != nil && (c.hasUnread() || p.isReading.Load())
}

// processStart is the origin of times that are kept in atomic integers.
var processStart = time.Now()

// ResponseProgress tells whether a response has begun, and whether it has delivered no bytes for its stall timeout.
func (p *AttemptProgress) ResponseProgress() lbpolicy.ResponseProgress {
	arrivedAt := p.arrivedAt.Load()
	silent := int64(time.Since(processStart)) - arrivedAt
	switch {
	case arrivedAt == 0:
		return lbpolicy.ResponseAwaited
	case silent < p.stall.Load() || p.HasUnreadResponse():
		return lbpolicy.ResponseArriving
	}
	return lbpolicy.ResponseStalled
}

// recordResponse records that a response has begun, with its stall timeout.
func (p *AttemptProgress) recordResponse(stall time.Duration) {
	p.stall.Store(int64(stall))
	p.recordArrival()
}

// recordInformational records that what has arrived was an informational response, so that the final one is awaited.
func (p *AttemptProgress) recordInformational() { p.arrivedAt.Store(0) }

// recordArrival records that bytes of the response have arrived.
func (p *AttemptProgress) recordArrival() { p.arrivedAt.Store(int64(time.Since(processStart))) }

// recordSent records that the request was written, or that the writing of a large or streamed request begins.
func (p *AttemptProgress) recordSent() {
	p.sentAt = time.Now()
	p.isSent.Store(true)
}

// isConnecting reports whether the endpoint has not responded to the dial yet. If the socket is not known, it returns true.
func (d *pendingDial) isConnecting() bool {
	raw := d.socket.Load()
	return raw == nil || socket.IsConnecting(*raw)
}
