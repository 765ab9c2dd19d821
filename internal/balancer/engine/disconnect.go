package engine

import (
	"context"
	"time"
)

// The front end waits for the end of each client connection, but may detect it late: the whole process may have been paused, or
// bytes that have not been read yet may precede the end. Before the end is detected, a dial may succeed, a record may be written, or
// another attempt may release its connection. The request would then be sent although its client has disconnected. Therefore the
// front end is asked again just before the first byte is sent.
//
// A client that closes only its sending side and still waits for the response cannot be distinguished from one that has
// disconnected. Its request fails.

type disconnectCheckKey struct{}

// WithDisconnectCheck returns a context with a function that reports whether the client has disconnected. The function is called
// from any goroutine, also after the context has ended, and must not block. Before it returns true, it must end the context or its
// parent.
func WithDisconnectCheck(ctx context.Context, isDisconnected func() bool) context.Context {
	return context.WithValue(ctx, disconnectCheckKey{}, isDisconnected)
}

type disconnectHiddenKey struct{}

// WithHiddenDisconnectCheck returns a context with a function that reports whether a disconnect of the client might not be detectable: the
// client has sent so much beyond its request that the end of the connection may wait behind it. The function is called from any goroutine
// and must not block.
func WithHiddenDisconnectCheck(ctx context.Context, mayBeHidden func() bool) context.Context {
	return context.WithValue(ctx, disconnectHiddenKey{}, mayBeHidden)
}

// MayAttemptAgain reports whether the client of a context is known to wait still, so that another attempt may be made for it.
func MayAttemptAgain(ctx context.Context) bool {
	mayBeHidden, _ := ctx.Value(disconnectHiddenKey{}).(func() bool)
	return !IsDisconnected(ctx) && (mayBeHidden == nil || !mayBeHidden())
}

// IsDisconnected reports whether the client of a context has disconnected.
func IsDisconnected(ctx context.Context) bool {
	isDisconnected, _ := ctx.Value(disconnectCheckKey{}).(func() bool)
	return ctx.Err() != nil || isDisconnected != nil && isDisconnected()
}

// clientCheck tells about the connection of a call's client. Its functions may be called from any goroutine and do not block.
type clientCheck struct {
	isDisconnected  func() bool
	mayAttemptAgain func() bool
}

func newClientCheck(ctx context.Context) *clientCheck {
	return &clientCheck{
		isDisconnected:  func() bool { return IsDisconnected(ctx) },
		mayAttemptAgain: func() bool { return MayAttemptAgain(ctx) },
	}
}

// disconnectCheckValidity is how long the result of a check may be used. It is half of the 0.1 s after a disconnect within which an
// attempt may still begin.
const disconnectCheckValidity = 50 * time.Millisecond

// checkClientConnected reports whether the client of a call is still connected. If it is not, the policy is notified of that first, so
// that it makes no further attempt in place of the one that is not sent. A further attempt needs a client that is known to wait. The input
// behind the head of a streamed body is the body, which tells nothing.
func (e *Engine) checkClientConnected(c *Call, a *attempt) bool {
	if c.client == nil {
		return true
	}
	if c.client.isDisconnected() {
		e.ClientDisconnected(c)
		return false
	}
	return a.number == 0 || c.request.Stream != nil || c.client.mayAttemptAgain()
}

// claimDispatch is called just before the first byte of an attempt is sent, and reports whether it may be sent: mayDispatch still
// allows it, and the client is still connected. The client is checked before the lock is taken, because no system call is made
// under the lock. If taking the lock took longer than disconnectCheckValidity (because of a long endpoint list, or a log whose
// reader is slow), the check is repeated, until the call's deadline at the latest.
func (e *Engine) claimDispatch(c *Call, a *attempt) bool {
	for {
		checkedAt := time.Now()
		if !e.checkClientConnected(c, a) {
			return false
		}
		mayDispatch, outdated := e.tryClaimDispatch(checkedAt, c, a)
		if !outdated {
			return mayDispatch
		}
	}
}

// tryClaimDispatch marks an attempt as sent if it may be sent and the check of its client is not outdated.
func (e *Engine) tryClaimDispatch(checkedAt time.Time, c *Call, a *attempt) (mayDispatch, outdated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now() // mayDispatch compares it with the deadline, as the deadline timer may fire late after a pause of the process
	mayDispatch = e.mayDispatch(now, c, a)
	outdated = mayDispatch && now.Sub(checkedAt) > disconnectCheckValidity
	a.firstByteSent = mayDispatch && !outdated
	return mayDispatch, outdated
}
