package engine

import (
	"context"
	"time"
)

// A front end notices the end of a client connection by waiting for it, and that can be late: the whole process may have been
// paused, or the end came behind bytes that nobody has read. Between the end and its notice, a dial may succeed, a record be
// written, or another attempt release its connection, and the request would be sent for nobody. So the front end is asked
// once more just before anything is sent. A client that closes only its sending side and still waits for the response
// cannot be told from one that has disconnected, and gets a failure.

type disconnectCheckKey struct{}

// WithDisconnectCheck adds a check whether the client has disconnected to a context. The check is called from any goroutine, also
// after the context has ended, and must not block. If it returns true, it has ended the context or its parent.
func WithDisconnectCheck(ctx context.Context, isDisconnected func() bool) context.Context {
	return context.WithValue(ctx, disconnectCheckKey{}, isDisconnected)
}

// IsDisconnected reports whether the client of a context has disconnected.
func IsDisconnected(ctx context.Context) bool {
	isDisconnected, _ := ctx.Value(disconnectCheckKey{}).(func() bool)
	return ctx.Err() != nil || isDisconnected != nil && isDisconnected()
}

// disconnectCheckValidity is how long a check counts: half of the 0.1 s after which nothing begins for a client that has
// disconnected.
const disconnectCheckValidity = 50 * time.Millisecond

// isClientPresent reports whether a call's client is still connected. If not, the policy is told first: it makes no further
// attempt in place of the one that is held back.
func (e *Engine) isClientPresent(c *Call) bool {
	if c.isClientGone == nil || !c.isClientGone() {
		return true
	}
	e.ClientDisconnected(c)
	return false
}

// claimDispatch is called just before an attempt's first byte is sent: it may not be sent any more, see mayStart, or its
// client may have disconnected. The client is checked before the lock is taken, as no system call is made under it. If the
// lock was held meanwhile (a long list, a log line that nobody reads), the check is too old and is repeated, until the
// attempt's time is over at the latest.
func (e *Engine) claimDispatch(c *Call, a *attempt) bool {
	for {
		checkedAt := time.Now()
		if !e.isClientPresent(c) {
			return false
		}
		mayStart, outdated := e.tryClaimDispatch(checkedAt, c, a)
		if !outdated {
			return mayStart
		}
	}
}

// tryClaimDispatch marks an attempt as sent if it may be, and the check of its client is not outdated.
func (e *Engine) tryClaimDispatch(checkedAt time.Time, c *Call, a *attempt) (mayStart, outdated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now() // after a pause of the whole process, the deadline timer may fire later than this
	mayStart = e.mayStart(now, c, a)
	outdated = mayStart && now.Sub(checkedAt) > disconnectCheckValidity
	a.firstByteSent = mayStart && !outdated
	return mayStart, outdated
}
