package lbpolicy

// State of requests in progress: the client, the body, the idempotency key, the time that servers keep
// requests waiting, and waits that servers do not cause. The decisions that follow are in attempt.go and
// health.go.

import (
	"slices"
	"time"
)

func (b *Balancer) newRequest(now time.Duration, req Request) *request {
	r := &request{
		id:          req.ID,
		class:       req.ClassAtArrival,
		expected:    b.expected[req.Class],
		deadline:    now + req.TimeLeft,
		maxAttempts: b.settings.MaxAttempts,
		keyState:    req.KeyState,
	}
	if r.class == nil {
		r.class = &b.settings.Classes[req.Class]
	}
	if req.MaxAttempts > 0 {
		r.maxAttempts = min(r.maxAttempts, req.MaxAttempts)
	}
	return r
}

// release removes a finished request once none of its attempts is in flight. Attempts still in flight are
// cancelled if the settings allow that.
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

// ResponseStarted records that the response to a streamed request has begun. The client receives it, so no
// further attempt is made.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.done = true })
}

// MarkNotReplayable records that the body of a request is consumed, so that no further attempt is possible.
func (b *Balancer) MarkNotReplayable(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.maxAttempts = len(r.attempts) })
}

// RequestBodyReceived records that the body of a request has arrived completely, while the request is already
// being sent. The time left to the client counts from now.
func (b *Balancer) RequestBodyReceived(now time.Duration, id RequestID, timeLeft time.Duration) {
	b.update(now, id, func(r *request) { r.deadline = now + timeLeft })
}

// KeyStateUpdated replaces the state of a request's idempotency key, which may have changed since the request
// arrived.
func (b *Balancer) KeyStateUpdated(now time.Duration, id RequestID, state KeyState) {
	b.update(now, id, func(r *request) { r.keyState = state })
}

func (b *Balancer) update(now time.Duration, id RequestID, change func(*request)) {
	b.advance(now)
	if r := b.requests[id]; r != nil {
		change(r)
	}
}

// SetDispatchPending records whether an attempt waits for something that its server does not cause, or no
// longer causes. Such a wait does not count towards ejecting the server as unresponsive.
func (b *Balancer) SetDispatchPending(now time.Duration, id RequestID, attempt int, pending bool) {
	b.advance(now)
	r := b.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return
	}
	b.setDispatchPending(now, &r.attempts[attempt], pending)
}

func (b *Balancer) setDispatchPending(now time.Duration, a *attempt, pending bool) {
	if a.dispatchPending == pending {
		return
	}
	a.server.accumulateWait(now)
	a.dispatchPending = pending
	change := -1
	if pending {
		change = 1
	}
	a.server.dispatchPending += change
	b.dispatchPending += change
}

func (r *request) allEnded() bool {
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

// ClientDisconnected records that the client has disconnected. No response is due.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.done {
		r.done = true
		b.release(r)
	}
}

// accumulateWait adds the time since its last call to the summed wait of the server's requests, and to the
// server's time without a response.
func (s *server) accumulateWait(now time.Duration) {
	if waiting := s.inFlight - s.dispatchPending; waiting > 0 {
		dt := (now - s.waitedAt).Seconds()
		s.unansweredSeconds += dt
		s.waitSum += dt * float64(waiting)
	}
	s.waitedAt = now
}

// clearWait resets the wait when a server has responded or is ejected.
func (s *server) clearWait() { s.waitSum, s.unansweredSeconds = 0, 0 }
