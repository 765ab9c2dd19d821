package engine

import (
	"context"
	"time"
)

// This file: callers that have left while their requests waited.
//
// A front learns of a caller's end by waiting for it, and what waits can be late: the whole process may have stood
// still, or the end came behind bytes that nobody has read. Between the end and its being known a dial can come up, a
// record be written or another attempt get off its connection, and the request would go out for nobody. So the front is
// asked once more just before anything goes out, whatever was waited for. It could hurt a caller that closes its sending
// side alone and still wants its answer: nobody can tell it from one that has gone, and it gets a failure.

type disconnectCheckKey struct{}

// WithDisconnectCheck has what is done under ctx ask whether the caller has left. Left is called from any goroutine, also after ctx
// has ended, and must not block. Where it returns true it has ended ctx or what ctx comes from.
func WithDisconnectCheck(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, disconnectCheckKey{}, left)
}

// IsDisconnected tells whether the caller of what is done under ctx has left by now.
func IsDisconnected(ctx context.Context) bool {
	left, _ := ctx.Value(disconnectCheckKey{}).(func() bool)
	return ctx.Err() != nil || left != nil && left()
}

// disconnectCheckValidity is for how long a look at the caller holds: half of the 0.1 s after which nothing begins for one that has left.
const disconnectCheckValidity = 50 * time.Millisecond

// isClientPresent tells whether a call's caller is there. Where it has left the decisions hear of it first: they make no further
// attempt of one that is held back for this.
func (h *Engine) isClientPresent(c *Call) bool {
	if c.isClientGone == nil || !c.isClientGone() {
		return true
	}
	h.ClientDisconnected(c)
	return false
}

// claimDispatch is asked just before an attempt's first byte: it may no longer go out, see mayStart, and its caller may have left.
// The look at the caller comes before the lock, as nothing is asked of the system under it. What held the lock up meanwhile
// (a long list, a line of log that nobody reads) makes the look too old: then it is made again. That ends with the
// attempt's time at the latest.
func (h *Engine) claimDispatch(c *Call, a *attempt) bool {
	for {
		looked := time.Now()
		if !h.isClientPresent(c) {
			return false
		}
		h.mu.Lock()
		now := time.Now() // after a pause of the whole process the timer of the deadline may come later than this
		may := h.mayStart(now, c, a)
		again := may && now.Sub(looked) > disconnectCheckValidity
		a.firstByteSent = may && !again
		h.mu.Unlock()
		if !again {
			return may
		}
	}
}
