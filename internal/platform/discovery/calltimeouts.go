package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"silvertrail/internal/base/socket"
	"silvertrail/internal/base/timeout"
	"silvertrail/internal/platform/discoverypoll"
)

// maxLateTime bounds how long this process may delay writing a request, or reading a response that has arrived.
const maxLateTime = time.Second

// callTimeouts are the two timeouts of a call: until the response's first byte, and from there to its last. The second is
// shorter than the timeout of a watch, because the changes in a response that stalls half-way count as notified long before
// a watch times out.
type callTimeouts struct {
	client      *Client
	call        discoverypoll.Call
	cancel      context.CancelCauseFunc
	startedAt   time.Duration
	conn        atomic.Pointer[syscall.RawConn] // connection of the call; nil: none yet
	writtenAt   atomic.Int64                    // time of the client's clock; 0: not yet
	isDecided   atomic.Bool                     // the response has begun, or the first timeout has expired
	stopWaiting func() bool                     // stops the first timeout
	begun       chan struct{}                   // closed after the first byte, if it came in time
	stopBody    func() bool                     // stops the second timeout; set before begun is closed
}

func (c *Client) startTimeouts(call discoverypoll.Call, cancel context.CancelCauseFunc) *callTimeouts {
	t := &callTimeouts{client: c, call: call, cancel: cancel, startedAt: c.now(), begun: make(chan struct{})}
	t.stopWaiting = c.after(call.FirstByteTimeout, t.expireFirstByte)
	return t
}

// gotConn records the connection of the call.
func (t *callTimeouts) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		t.conn.Store(&raw)
	}
}

// wroteRequest records that the request was written.
func (t *callTimeouts) wroteRequest(httptrace.WroteRequestInfo) {
	t.writtenAt.Store(int64(max(t.client.now(), 1)))
}

// expireFirstByte cancels a call that has no response, unless the delay is due to this process. If the request was written
// late, its timeout starts when it was written. A response that has arrived is read first.
func (t *callTimeouts) expireFirstByte() {
	for range maxLateTime / timeout.CatchUp {
		if !t.hasUnreadResponse() && !t.isWritePending() {
			break
		}
		time.Sleep(timeout.CatchUp)
	}
	writtenAt := time.Duration(t.writtenAt.Load())
	left := writtenAt + t.call.FirstByteTimeout - t.client.now()
	if writtenAt-t.startedAt > timeout.CatchUp && left > 0 {
		t.client.after(left, t.expireFirstByte)
		return
	}
	if t.isDecided.CompareAndSwap(false, true) {
		t.cancel(errNoResponse)
	}
}

func (t *callTimeouts) hasUnreadResponse() bool {
	raw := t.conn.Load()
	return raw != nil && socket.Unread(*raw) > 0
}

// isWritePending reports whether the call has a connection but has not written its request yet.
func (t *callTimeouts) isWritePending() bool { return t.conn.Load() != nil && t.writtenAt.Load() == 0 }

// firstByte ends the first timeout and starts the second.
func (t *callTimeouts) firstByte() {
	if !t.isDecided.CompareAndSwap(false, true) {
		return
	}
	t.stopWaiting()
	t.stopBody = t.client.after(t.call.BodyTimeout, func() { t.cancel(errIncomplete) })
	close(t.begun)
}

// hasBegun reports whether the response has begun in time.
func (t *callTimeouts) hasBegun() bool {
	select {
	case <-t.begun:
		return true
	default:
		return false
	}
}

// stop stops both timeouts.
func (t *callTimeouts) stop() {
	if t.hasBegun() {
		t.stopBody()
	}
	t.stopWaiting()
}

// classify wraps err with errNoResponse if the first timeout has expired, or with errIncomplete if the response has begun.
func (t *callTimeouts) classify(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errNoResponse):
		return fmt.Errorf("%w: %w", errNoResponse, err)
	case t.hasBegun():
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return err
}
