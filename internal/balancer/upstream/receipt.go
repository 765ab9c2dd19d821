package upstream

import (
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/base/socket"
)

// Receipt tells how far one attempt is, whether its own goroutine has run meanwhile or not: since when it waits for the endpoint,
// and whether a response has arrived that Do has not returned yet. Such a response lies in the socket, or was read and is being
// parsed. The zero Receipt is ready for use by one call of Do. Its exported methods may be called from any goroutine, and do not
// block.
type Receipt struct {
	dial atomic.Pointer[pendingDial] // nil: no connection is being opened
	conn atomic.Pointer[conn]        // that the attempt uses; nil: none yet
	// isReading is true from before the socket is read until it is found empty. After the end of a response it stays true.
	isReading atomic.Bool
	sentAt    time.Time // valid once isSent
	isSent    atomic.Bool
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	startedAt time.Time
	socket    atomic.Pointer[syscall.RawConn] // of the latest dial; nil: not known
}

// WaitsSince returns since when the attempt waits for its endpoint: for a connection, or for the response since the request was
// written. The writing of a request that a socket does not take at once counts too. It is false while the attempt waits for this
// process.
func (r *Receipt) WaitsSince() (since time.Time, waits bool) {
	if r.isSent.Load() {
		return r.sentAt, true
	}
	if d := r.dial.Load(); d != nil && d.isConnecting() {
		return d.startedAt, true
	}
	return time.Time{}, false
}

// HasArrived reports whether a part of the response has arrived that was not returned yet.
func (r *Receipt) HasArrived() bool {
	c := r.conn.Load()
	return c != nil && (socket.Unread(c.raw) > 0 || r.isReading.Load())
}

// recordSent records that the request was written, or that its writing begins.
func (r *Receipt) recordSent() {
	r.sentAt = time.Now()
	r.isSent.Store(true)
}

// isConnecting reports whether the endpoint has not responded to a dial. Without the socket nobody can tell that it has.
func (d *pendingDial) isConnecting() bool {
	raw := d.socket.Load()
	return raw == nil || socket.IsConnecting(*raw)
}
