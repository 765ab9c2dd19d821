package lbpolicy

// This file: requests, their attempts and their final answers.

import (
	"slices"
	"time"
)

// Request decides a new request: it is rejected at once or sent.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.advance(now)
	if _, known := b.requests[q.ID]; known || q.Class < 0 || q.Class >= len(b.settings.Classes) {
		return
	}
	b.recordArrival(now, q)
	r := b.newRequest(now, q)
	b.requests[q.ID] = r
	level := b.levelOf(q)
	b.levelArrivals[level]++
	if b.dropFraction > 0 && b.drawDrop(level) {
		b.reject(now, r, 1+b.cursor)
		return
	}
	if b.hasTooLittleTime(now, r, q.TimeLeft.Seconds()) {
		b.reject(now, r, 0)
		return
	}
	if float64(b.queueLength()) >= b.threshold(now, level) {
		if level > 0 && b.table[level-1][b.cursor] > 0 {
			b.priorityInversion = true
		}
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

// recordArrival counts a request. After a pause, what was measured of rates is void: requests arrive like
// those after a start. Tiers behind the front get their requests from one endpoint, whose own bounds hold.
func (b *Balancer) recordArrival(now time.Duration, q Request) {
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, maxRetryBudget)
	paused := (now - b.lastArrival).Seconds() > b.meanObjective
	if b.settings.Tier == 0 && b.inFlight == 0 && paused {
		b.resumedAt = now
	}
	b.lastArrival = now
	if !q.Retry {
		b.arrivalsInPeriod++
	}
}

// drawDrop draws whether a request is in the fraction to drop: all of the lowest level, then the next one.
// While no rate is known, all levels are alike.
func (b *Balancer) drawDrop(level int) bool {
	total, below := 0.0, 0.0
	for i, rate := range b.levelRates {
		total += rate
		if i < level {
			below += rate
		}
	}
	fraction := b.dropFraction
	if total > 0 {
		fraction = (b.dropFraction*total - below) / max(b.levelRates[level], 1e-9)
	}
	return fraction >= 1 || fraction > 0 && b.random.Float64() < fraction
}

// scheduleCheck sets the time at which a request's latest attempt is checked.
func (b *Balancer) scheduleCheck(now time.Duration, r *request) {
	left := (r.deadline - now).Seconds()
	if r.class.Effect == NonIdempotent || b.hasUsedAllAttempts(r) || left < b.baseLatency/2 {
		return
	}
	wait := min(unresponsiveMultiple*b.usualLatency(), left/2)
	r.checkFrom, r.checkAt = now, now+duration(wait)
	b.host.SetTimer(r.checkAt, uint64(r.id))
}

// hasUsedAllAttempts reports whether a request has had all its attempts.
func (b *Balancer) hasUsedAllAttempts(r *request) bool {
	return len(r.attempts) >= r.maxAttempts || len(r.attempts) >= b.settings.MaxAttempts
}

// maySend applies rules 1 to 3 to one more attempt.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || now >= r.deadline || b.hasUsedAllAttempts(r) || !s.isEligible() {
		return false
	}
	if !r.keyState.allows(now, r.class.Scope, s) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s || !a.ended && !b.settings.MayHedge {
			return false
		}
		if !a.neverRan && r.class.Effect != Idempotent && !r.class.mayRepeat(now, a, s) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request of a class that is not idempotent may be repeated at a server, after an
// attempt that may have run.
func (c *Class) mayRepeat(now time.Duration, a *attempt, s *server) bool {
	switch {
	case c.Effect == NonIdempotent, now-a.sentAt >= c.Window:
		return false
	case c.Scope == ScopeZone:
		return a.zone == s.Zone
	case c.Scope == ScopeCell:
		return a.cell == s.Cell
	}
	return true
}

// allows applies rule 2 over requests with the same key: a repeat goes to the group that may have run the
// first attempt, while that group remembers it.
func (k *KeyState) allows(now time.Duration, scope Scope, s *server) bool {
	switch {
	case !k.Known:
		return true
	case k.Unavailable || now >= k.RetryUntil:
		return false
	case scope == ScopeZone:
		return k.Zone == s.Zone
	case scope == ScopeCell:
		return k.Cell == s.Cell
	}
	return true
}

// send is the only place that starts attempts.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	if !b.maySend(now, r, s) {
		return
	}
	r.attempts = append(r.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: now})
	s.accumulateWait(now)
	if now-s.lastSentAt > b.settings.ConnIdleTimeout {
		s.openConnections = 0
	}
	s.inFlight++
	b.inFlight++
	s.openConnections, s.lastSentAt = max(s.openConnections, s.inFlight), now
	s.slowStartBudget--
	s.firstRequestDue = 0
	b.host.Send(r.id, s.ID)
	b.scheduleCheck(now, r)
}

// reject and fail are the only places that give final answers: a rejection where a retry is harmless, else a
// failure. A rejected client is told to retry after a number of periods.
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

// mayReject reports whether a retry of the request is harmless.
func mayReject(now time.Duration, r *request) bool {
	if r.keyState.Known && (r.class.Scope != ScopeAll || now >= r.keyState.RetryUntil) {
		return false
	}
	if r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && r.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// retryAfter returns the time in which the cursor could be back at rest, with jitter, so that clients that
// were rejected together do not come back together. A client that met a full queue with the cursor at rest
// comes back a period later; one that had too little time gains nothing by waiting.
func (b *Balancer) retryAfter(periods int) time.Duration {
	if !b.settings.SendsRetryAfter || b.settings.Tier > 0 {
		return 0
	}
	d := float64(b.period) * float64(periods) * (0.5 + b.random.Float64())
	return min(time.Duration(d), b.settings.MaxRetryAfter)
}

// Outcome records the end of an attempt. One of an unknown request is ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.advance(now)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	b.endAttempt(now, r, a, o)
	if o.Final || r.done {
		wasDone := r.done
		r.done = true
		if !wasDone || r.allEnded() {
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

func (b *Balancer) endAttempt(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.server
	a.ended, a.neverRan = true, o.Verdict.NeverRan()
	b.setDispatchPending(now, a, false)
	s.accumulateWait(now)
	s.inFlight--
	b.inFlight--
	if !s.ejected {
		r.expected.observe(now, o.Verdict, o.Latency.Seconds())
	}
	b.recordOutcome(now, s, o)
	b.closeIdleConnections(now, s)
}

// closeIdleConnections closes connections left idle by a peak while servers accept no more of them: each
// takes a place that another balancer's request cannot have.
func (b *Balancer) closeIdleConnections(now time.Duration, s *server) {
	scarce := b.connectionsFullAt > 0 && now-b.connectionsFullAt < b.settings.ConnIdleTimeout
	if scarce && b.settings.HandshakePrice == 0 && s.openConnections > s.inFlight {
		b.host.CloseIdle(s.ID)
		s.openConnections = s.inFlight
	}
}

// retry sends a request whose attempts have all failed once more, or ends it. While requests are shed, only
// one that never ran is sent again. An attempt that was held back because another group owns the key does not
// count against the retry budget.
func (b *Balancer) retry(now time.Duration, r *request, v Verdict) {
	last := &r.attempts[len(r.attempts)-1]
	mayHaveRun, cost := !last.neverRan, 1.0
	if v == NotSent && !r.keyState.allows(now, r.class.Scope, last.server) {
		cost = 0
	}
	left := (r.deadline - now).Seconds()
	late := left < b.baseLatency/2 || mayReject(now, r) && b.hasTooLittleTime(now, r, left)
	if b.retryBudget >= cost && !late && !(mayHaveRun && b.shedding) {
		if s := b.pick(now, r); s != nil {
			b.retryBudget -= cost
			b.send(now, r, s)
			return
		}
	}
	b.reject(now, r, b.cursor)
}

// Timer handles a timer of this balancer. One of an unknown request is ignored.
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
	b.checkAttempt(now, r)
}

// checkAttempt hedges or cancels a request's latest attempt, if its server has answered nothing since: the
// server hangs or has failed. One that answers others may stop later, and is checked again: it has stopped if
// it was ejected, and has answered nothing since the last check.
func (b *Balancer) checkAttempt(now time.Duration, r *request) {
	n := len(r.attempts) - 1
	a := &r.attempts[n]
	if a.ended {
		return
	}
	stopped := a.server.lastResponseAt < a.sentAt || a.server.ejected && a.server.lastResponseAt < r.checkFrom
	if !stopped || b.shedding || b.retryBudget < 1 {
		b.scheduleCheck(now, r)
		return
	}
	if b.postponeCheck(now, r, n) {
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
		b.host.Hedged(b.describeHedge(now, r, n))
		b.send(now, r, s)
	}
}

// Delays of this process that are no server's.
const (
	sendDelay        = time.Millisecond      // from the decision to the write, in a process that runs
	unreadCheckDelay = 10 * time.Millisecond // in which an answer that has arrived is read
)

// postponeCheck repeats the check of an attempt later, and reports whether it does, if this process is late
// and not the server: the attempt was sent some time after it was decided on, or an answer waits to be read.
func (b *Balancer) postponeCheck(now time.Duration, r *request, n int) bool {
	since, wait := b.host.WaitsSince(r.id, n), r.checkAt-r.checkFrom
	switch {
	case since > r.checkFrom+sendDelay && now < since+wait:
		r.checkFrom, r.checkAt = since, since+wait
	case b.host.ServerProgress(r.attempts[n].server.ID).HasUnreadAnswer:
		r.checkAt = now + unreadCheckDelay
	default:
		return false
	}
	b.host.SetTimer(r.checkAt, uint64(r.id))
	return true
}
