package lbpolicy

// This file: requests, their attempts and their final answers.

import (
	"slices"
	"time"
)

// Request decides a new request: it is refused at once or sent.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.advance(now)
	if _, held := b.requests[q.ID]; held || q.Class < 0 || q.Class >= len(b.settings.Classes) {
		return
	}
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, 20)
	// After a pause what was learnt of a rate is void: calls come like those after a start. A tier behind
	// gets its calls from one endpoint, whose own bounds hold.
	if b.settings.Tier == 0 && b.inFlight == 0 && (now-b.lastArrival).Seconds() > b.meanObjective {
		b.resumedAt = now
	}
	b.lastArrival = now
	if !q.Retry {
		b.arrivedInPeriod++
	}
	r := &request{id: q.ID, class: q.ClassAtArrival, expected: b.expected[q.Class], deadline: now + q.TimeLeft,
		maxAttempts: b.settings.MaxAttempts, keyState: q.KeyState}
	if r.class == nil {
		r.class = &b.settings.Classes[q.Class]
	}
	if q.MaxAttempts > 0 {
		r.maxAttempts = min(r.maxAttempts, q.MaxAttempts)
	}
	b.requests[q.ID] = r
	level := b.levelOf(q)
	b.levelArrivals[level]++
	if b.dropFraction > 0 && b.isDropped(level) {
		b.reject(now, r, 1+b.cursor)
		return
	}
	if b.hasTooLittleTime(now, r, q.TimeLeft.Seconds()) {
		b.reject(now, r, 0)
		return
	}
	if float64(b.queueLength()) >= b.threshold(now, level) {
		b.priorityInversion = b.priorityInversion || level > 0 && b.table[level-1][b.cursor] > 0
		b.reject(now, r, 1+b.cursor)
		return
	}
	s := b.pick(now, r)
	if s == nil {
		b.reject(now, r, b.cursor)
		return
	}
	b.send(now, r, s)
}

// SetDropFraction tells what part of the traffic is to be refused, whatever the load: somebody who sees more than this
// balancer says so.
func (b *Balancer) SetDropFraction(now time.Duration, part float64) {
	b.advance(now)
	b.dropFraction = min(max(part, 0), 1)
}

// isDropped draws whether a call is of the part that is to be refused: the lowest level whole, then the next.
// Before any rate is known all levels are alike.
func (b *Balancer) isDropped(level int) bool {
	total, below := 0.0, 0.0
	for i, r := range b.levelRates {
		total += r
		if i < level {
			below += r
		}
	}
	part := b.dropFraction
	if total > 0 {
		part = (b.dropFraction*total - below) / max(b.levelRates[level], 1e-9)
	}
	return part >= 1 || part > 0 && b.random.Float64() < part
}

// scheduleCheck sets the time at which a request's newest attempt is looked at.
func (b *Balancer) scheduleCheck(now time.Duration, r *request) {
	left := (r.deadline - now).Seconds()
	if r.class.Effect == NonIdempotent || b.isExhausted(r) || left < b.baseLatency/2 {
		return
	}
	r.checkAt = now + time.Duration(min(unresponsiveMultiple*b.usualLatency(), left/2)*float64(time.Second))
	b.host.SetTimer(r.checkAt, uint64(r.id))
}

// isExhausted tells that a request has had all its attempts.
func (b *Balancer) isExhausted(r *request) bool {
	return len(r.attempts) >= r.maxAttempts || len(r.attempts) >= b.settings.MaxAttempts
}

// maySend is rules 1 to 3 for one more attempt.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || now >= r.deadline || b.isExhausted(r) || !s.isEligible() ||
		!r.keyState.allows(now, r.class.Scope, s) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s || !a.ended && !b.settings.MayHedge {
			return false
		}
		if a.neverRan || r.class.Effect == Idempotent {
			continue
		}
		if r.class.Effect == NonIdempotent || now-a.sentAt >= r.class.Window ||
			r.class.Scope == ScopeZone && a.zone != s.Zone ||
			r.class.Scope == ScopeCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// allows is rule 2 over requests with the same key: a repeat goes to the group that may have run the first
// try, while that group remembers it.
func (p *KeyState) allows(now time.Duration, scope Scope, s *server) bool {
	return !p.Known || !p.Unavailable && now < p.RetryUntil &&
		(scope != ScopeZone || p.Zone == s.Zone) && (scope != ScopeCell || p.Cell == s.Cell)
}

// send is the one gate for attempts.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	if !b.maySend(now, r, s) {
		return
	}
	r.attempts = append(r.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: now})
	s.accumulateWait(now)
	if now-s.lastSentAt > b.settings.ConnIdleTimeout {
		s.connections = 0
	}
	s.inFlight++
	b.inFlight++
	s.connections, s.lastSentAt = max(s.connections, s.inFlight), now
	s.slowStartBudget--
	s.firstCallDue = 0
	b.host.Send(r.id, s.ID)
	b.scheduleCheck(now, r)
}

// reject and fail are the gates for final answers: a refusal where a retry is harmless, else a failure. What a
// server has rejected is never refused: to send it again would serve nobody. Who is refused is told to come
// back after so many periods.
func (b *Balancer) reject(now time.Duration, r *request, periods int) {
	if r.done {
		return
	}
	if !mayReject(now, r) {
		b.fail(r)
		return
	}
	r.done = true
	b.host.Reject(r.id, b.retryAfter(periods))
	b.release(r)
}

func (b *Balancer) fail(r *request) {
	r.done = true
	b.host.Fail(r.id)
	b.release(r)
}

func mayReject(now time.Duration, r *request) bool {
	if r.keyState.Known && (r.class.Scope != ScopeAll || now >= r.keyState.RetryUntil) {
		return false
	}
	if r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && r.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// retryAfter is the time in which the cursor could come home, spread so that those who were refused together
// don't come back together. One that met a full queue at home is to come back a period later, when some calls
// have ended; one that had too little time gains nothing by waiting.
func (b *Balancer) retryAfter(periods int) time.Duration {
	if !b.settings.SendsRetryAfter || b.settings.Tier > 0 {
		return 0
	}
	d := float64(b.period) * float64(periods) * (0.5 + b.random.Float64())
	return min(time.Duration(d), b.settings.MaxRetryAfter)
}

// Outcome takes the end of an attempt. One of a request no longer held is passed over.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.advance(now)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Verdict.NeverRan()
	b.setDispatchPending(now, a, false)
	a.server.accumulateWait(now)
	a.server.inFlight--
	b.inFlight--
	if !a.server.ejected {
		r.expected.observe(now, o.Verdict, o.Latency.Seconds())
	}
	b.recordOutcome(now, a.server, o)
	b.closeIdleConnections(now, a.server)
	if o.Final || r.done {
		first := !r.done
		r.done = true
		if first || r.allEnded() {
			b.release(r)
		}
		return
	}
	switch {
	case o.Verdict == Rejected:
		b.fail(r)
	case r.allEnded():
		b.retry(now, r, o.Verdict)
	}
}

// closeIdleConnections closes connections left idle by peaks while servers are full of connections: each is a place
// that another balancer's call can't have.
func (b *Balancer) closeIdleConnections(now time.Duration, s *server) {
	scarce := b.connectionsFullAt > 0 && now-b.connectionsFullAt < b.settings.ConnIdleTimeout
	if scarce && b.settings.HandshakePrice == 0 && s.connections > s.inFlight {
		b.host.CloseIdle(s.ID)
		s.connections = s.inFlight
	}
}

// retry sends a request whose attempts have all failed once more, or ends it. While calls are shed only
// those that never ran go again. One that was held back, as its key turned out to be held by another group,
// is no further attempt: it takes nothing from the budget.
func (b *Balancer) retry(now time.Duration, r *request, v Verdict) {
	last := &r.attempts[len(r.attempts)-1]
	ran, cost := !last.neverRan, 1.0
	if v == NotSent && !r.keyState.allows(now, r.class.Scope, last.server) {
		cost = 0
	}
	left := (r.deadline - now).Seconds()
	late := left < b.baseLatency/2 || mayReject(now, r) && b.hasTooLittleTime(now, r, left)
	if b.retryBudget >= cost && !late && !(ran && b.shedding) {
		if s := b.pick(now, r); s != nil {
			b.retryBudget -= cost
			b.send(now, r, s)
			return
		}
	}
	b.reject(now, r, b.cursor)
}

// Timer takes a timer of this balancer; one for a request no longer held is passed over.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.advance(now)
	if token == discoveryToken {
		b.host.Watch()
		return
	}
	r := b.requests[RequestID(token)]
	if r == nil || r.done || now < r.checkAt-time.Millisecond { // clocks round
		return
	}
	// A copy goes out only where the server has answered nothing since: it hangs or is gone. One that answers
	// others may fall silent yet.
	n := len(r.attempts) - 1
	a := &r.attempts[n]
	if a.ended {
		return
	}
	if a.server.answeredAt >= a.sentAt || b.shedding || b.retryBudget < 1 {
		b.scheduleCheck(now, r)
		return
	}
	if !b.settings.MayHedge {
		if b.settings.MayCancel {
			b.host.Cancel(r.id, n)
		}
		return
	}
	if s := b.pick(now, r); s != nil {
		b.retryBudget--
		b.send(now, r, s)
	}
}
