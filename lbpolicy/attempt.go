package lbpolicy

// Requests, their attempts and their final responses.

import (
	"slices"
	"time"
)

// Request handles a new request: it is rejected at once or sent.
func (b *Balancer) Request(now time.Duration, req Request) {
	b.advance(now)
	if _, known := b.requests[req.ID]; known || req.Class < 0 || req.Class >= len(b.settings.Classes) {
		return
	}
	b.recordArrival(now, req)
	r := b.newRequest(now, req)
	b.requests[req.ID] = r
	level := b.levelOf(req)
	b.levelArrivals[level]++
	if b.dropFraction > 0 && b.drawDrop(level) {
		b.reject(now, r, 1+b.cursor)
		return
	}
	if b.hasTooLittleTime(now, r, req.TimeLeft.Seconds()) {
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

// recordArrival counts a request. After a pause, the measured rates no longer apply, as after a start. Tiers
// behind the front get their requests from one endpoint, which enforces its own limits: no pause is recorded.
func (b *Balancer) recordArrival(now time.Duration, req Request) {
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, maxRetryBudget)
	paused := (now - b.lastArrival).Seconds() > b.meanObjective
	if b.settings.Tier == 0 && b.inFlight == 0 && paused {
		b.resumedAt = now
	}
	b.lastArrival = now
	if !req.Retry {
		b.arrivalsInPeriod++
	}
}

// drawDrop decides at random whether a request is dropped. The fraction to drop is taken from the lowest
// level first, then from the next one. While no rate is known, all levels are treated alike.
func (b *Balancer) drawDrop(level int) bool {
	totalRate, lowerRate := 0.0, 0.0
	for i, rate := range b.levelRates {
		totalRate += rate
		if i < level {
			lowerRate += rate
		}
	}
	fraction := b.dropFraction
	if totalRate > 0 {
		fraction = (b.dropFraction*totalRate - lowerRate) / max(b.levelRates[level], 1e-9)
	}
	return fraction >= 1 || fraction > 0 && b.random.Float64() < fraction
}

// scheduleCheck sets the time at which a request's latest attempt is checked.
func (b *Balancer) scheduleCheck(now time.Duration, r *request) {
	timeLeft := (r.deadline - now).Seconds()
	if r.class.Effect == NonIdempotent || b.hasUsedAllAttempts(r) || timeLeft < b.baseLatency/2 {
		return
	}
	wait := min(unresponsiveMultiple*b.usualLatency(), timeLeft/2)
	r.checkFrom, r.checkAt = now, now+duration(wait)
	b.host.SetTimer(r.checkAt, uint64(r.id))
}

// hasUsedAllAttempts reports whether a request has reached its limit of attempts.
func (b *Balancer) hasUsedAllAttempts(r *request) bool {
	return len(r.attempts) >= r.maxAttempts || len(r.attempts) >= b.settings.MaxAttempts
}

// maySend reports whether one more attempt is allowed. Rule 1: not after the final response, the deadline or
// the last allowed attempt. Rule 2: a request that is not idempotent may run twice only if servers drop the
// repeat, and two attempts are in flight only with MayHedge. Rule 3: the server must be eligible.
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

// mayRepeat reports whether a server may get a further attempt of a request that is not idempotent, after an
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

// allows applies rule 2 to requests with the same key. A repeat goes to the group that may have run the first
// attempt, and only while that group still drops repeats.
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

// send is the only function that starts attempts.
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

// reject sends a final response. It rejects the request if a retry is harmless, and fails it otherwise. A
// rejected client is told to retry after a number of periods. Only reject and fail send final responses.
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

// mayReject reports whether a retry of the request by the client is harmless.
func mayReject(now time.Duration, r *request) bool {
	if r.keyState.Known && (r.class.Scope != ScopeAll || now >= r.keyState.RetryUntil) {
		return false
	}
	if r.class.Effect == Idempotent || r.class.Effect == KeyedIdempotent && r.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// retryAfter returns the time in which the cursor could be back at 0. Jitter keeps clients that were rejected
// together from retrying together. A client rejected at cursor 0 for a full queue retries after one period. A
// client that had too little time gains nothing by waiting.
func (b *Balancer) retryAfter(periods int) time.Duration {
	if !b.settings.SendsRetryAfter || b.settings.Tier > 0 {
		return 0
	}
	delay := float64(b.period) * float64(periods) * (0.5 + b.random.Float64())
	return min(time.Duration(delay), b.settings.MaxRetryAfter)
}

// Outcome records the end of an attempt. Outcomes of unknown requests are ignored.
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

// closeIdleConnections closes connections left idle after a peak, while servers accept no more connections.
// An idle connection occupies a place that another balancer could use.
func (b *Balancer) closeIdleConnections(now time.Duration, s *server) {
	scarce := b.connectionsFullAt > 0 && now-b.connectionsFullAt < b.settings.ConnIdleTimeout
	if scarce && b.settings.HandshakePrice == 0 && s.openConnections > s.inFlight {
		b.host.CloseIdle(s.ID)
		s.openConnections = s.inFlight
	}
}

// retry sends a request once more after all its attempts have failed, or ends it. While load is shed, it
// retries only if the last attempt never ran. An attempt that was not sent because another group owns the key
// does not count against the retry budget.
func (b *Balancer) retry(now time.Duration, r *request, v Verdict) {
	last := &r.attempts[len(r.attempts)-1]
	mayHaveRun, cost := !last.neverRan, 1.0
	if v == NotSent && !r.keyState.allows(now, r.class.Scope, last.server) {
		cost = 0
	}
	timeLeft := (r.deadline - now).Seconds()
	tooLate := timeLeft < b.baseLatency/2 || mayReject(now, r) && b.hasTooLittleTime(now, r, timeLeft)
	if b.retryBudget >= cost && !tooLate && !(mayHaveRun && b.shedding) {
		if s := b.pick(now, r); s != nil {
			b.retryBudget -= cost
			b.send(now, r, s)
			return
		}
	}
	b.reject(now, r, b.cursor)
}

// Timer handles a timer of this balancer. Timers of unknown requests are ignored.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.advance(now)
	if token == discoveryToken {
		b.host.Watch()
		return
	}
	r := b.requests[RequestID(token)]
	if r == nil || r.done || now < r.checkAt-time.Millisecond { // clocks are rounded
		return
	}
	b.checkAttempt(now, r)
}

// checkAttempt hedges or cancels a request's latest attempt if its server has sent no response since. One
// that responds to others is checked again: it has stopped if it was ejected and has been silent since. A
// response that has begun is hedged once it stalls, not cancelled: its server may still be writing.
func (b *Balancer) checkAttempt(now time.Duration, r *request) {
	number := len(r.attempts) - 1
	a := &r.attempts[number]
	if a.ended {
		return
	}
	progress, responded := b.host.ResponseProgress(r.id, number), a.server.lastResponseAt
	stopped := responded < a.sentAt || a.server.ejected && responded < r.checkFrom
	stopped = stopped || progress == ResponseStalled
	if progress == ResponseArriving || !stopped || b.shedding || b.retryBudget < 1 {
		b.scheduleCheck(now, r)
		return
	}
	if b.postponeCheck(now, r, number) {
		return
	}
	if !b.settings.MayHedge {
		if b.settings.MayCancel && progress == ResponseAwaited {
			b.host.Cancel(r.id, number)
		}
		return
	}
	if s := b.pick(now, r); s != nil {
		b.retryBudget--
		b.host.RecordHedge(b.describeHedge(now, r, number))
		b.send(now, r, s)
	}
}

// postponeCheck postpones the check of an attempt, and reports whether it did, if this process is late and
// not the server: the attempt was sent some time after the decision, or a response waits to be read.
func (b *Balancer) postponeCheck(now time.Duration, r *request, number int) bool {
	since, wait := b.host.WaitingSince(r.id, number), r.checkAt-r.checkFrom
	switch {
	case since > r.checkFrom+sendDelay && now < since+wait:
		r.checkFrom, r.checkAt = since, since+wait
	case b.host.ServerProgress(r.attempts[number].server.ID).HasUnreadResponse:
		r.checkAt = now + unreadCheckDelay
	default:
		return false
	}
	b.host.SetTimer(r.checkAt, uint64(r.id))
	return true
}
