package lbpolicy

// This file: what is told of a request on its way: its caller, its body, its key, and waits that are no
// server's. What becomes of it is decided in attempt.go.

import (
	"slices"
	"time"
)

// release forgets a finished request once nothing of it is out; what is out is cancelled where that is
// allowed.
func (b *Balancer) release(r *request) {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.settings.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.allEnded() {
		delete(b.requests, r.id)
	}
}

// ResponseStarted tells that the answer of a streamed request has begun: it belongs to the client, and takes no
// further attempt.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.done = true })
}

// MarkNotReplayable tells that no further attempt of a request is possible: what it would send is gone.
func (b *Balancer) MarkNotReplayable(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.maxAttempts = len(r.attempts) })
}

// RequestBodyReceived tells that a request has come whole only now, while it was being sent: its time counts from here.
func (b *Balancer) RequestBodyReceived(now time.Duration, id RequestID, left time.Duration) {
	b.update(now, id, func(r *request) { r.deadline = now + left })
}

// KeyStateUpdated takes what has become known of a request's key since it came.
func (b *Balancer) KeyStateUpdated(now time.Duration, id RequestID, p KeyState) {
	b.update(now, id, func(r *request) { r.keyState = p })
}

func (b *Balancer) update(now time.Duration, id RequestID, f func(*request)) {
	b.advance(now)
	if r := b.requests[id]; r != nil {
		f(r)
	}
}

// SetDispatchPending tells that an attempt waits for something that is not its server's doing, and then that it no longer
// does. Such a wait is no silence of the server.
func (b *Balancer) SetDispatchPending(now time.Duration, id RequestID, n int, on bool) {
	b.advance(now)
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].ended {
		b.setDispatchPending(now, &r.attempts[n], on)
	}
}

func (b *Balancer) setDispatchPending(now time.Duration, a *attempt, on bool) {
	if a.dispatchPending == on {
		return
	}
	a.server.accumulateWait(now)
	a.dispatchPending = on
	n := map[bool]int{true: 1, false: -1}[on]
	a.server.dispatchPending += n
	b.dispatchPending += n
}

func (r *request) allEnded() bool {
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

// ClientDisconnected tells that the client has left: nothing more is owed.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.done {
		r.done = true
		b.release(r)
	}
}
