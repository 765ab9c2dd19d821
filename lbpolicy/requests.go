package lbpolicy

// This file: what is recorded of a request in progress: its client, its body, its key, how long its server keeps it
// waiting, and waits that are not caused by a server. What follows from them is decided in attempt.go and health.go.

import (
	"slices"
	"time"
)

func (b *Balancer) newRequest(now time.Duration, q Request) *request {
	r := &request{
		id:          q.ID,
		class:       q.ClassAtArrival,
		expected:    b.expected[q.Class],
		deadline:    now + q.TimeLeft,
		maxAttempts: b.settings.MaxAttempts,
		keyState:    q.KeyState,
	}
	if r.class == nil {
		r.class = &b.settings.Classes[q.Class]
	}
	if q.MaxAttempts > 0 {
		r.maxAttempts = min(r.maxAttempts, q.MaxAttempts)
	}
	return r
}

// release forgets a finished request once none of its attempts is in flight; those that are get cancelled
// where that is allowed.
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

// ResponseStarted records that the response to a streamed request has begun: it belongs to the client, and no
// further attempt is made.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.done = true })
}

// MarkNotReplayable records that no further attempt of a request is possible: its body is consumed.
func (b *Balancer) MarkNotReplayable(now time.Duration, id RequestID) {
	b.update(now, id, func(r *request) { r.maxAttempts = len(r.attempts) })
}

// RequestBodyReceived records that a request is complete only now, while it is being sent: its time starts
// here.
func (b *Balancer) RequestBodyReceived(now time.Duration, id RequestID, timeLeft time.Duration) {
	b.update(now, id, func(r *request) { r.deadline = now + timeLeft })
}

// KeyStateUpdated sets what has become known of a request's key since it arrived.
func (b *Balancer) KeyStateUpdated(now time.Duration, id RequestID, state KeyState) {
	b.update(now, id, func(r *request) { r.keyState = state })
}

func (b *Balancer) update(now time.Duration, id RequestID, change func(*request)) {
	b.advance(now)
	if r := b.requests[id]; r != nil {
		change(r)
	}
}

// SetDispatchPending records that an attempt waits for something that its server has not caused, or no longer
// does. Such a wait does not make the server unresponsive.
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

// ClientDisconnected records that the client has disconnected: no answer is due.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.done {
		r.done = true
		b.release(r)
	}
}

// accumulateWait adds up how long a server's requests have waited since it last answered.
func (s *server) accumulateWait(now time.Duration) {
	if waiting := s.inFlight - s.dispatchPending; waiting > 0 {
		dt := (now - s.waitedAt).Seconds()
		s.unansweredSeconds += dt
		s.waited += dt * float64(waiting)
	}
	s.waitedAt = now
}

// clearWait is called when a server has answered, or is ejected.
func (s *server) clearWait() { s.waited, s.unansweredSeconds = 0, 0 }
