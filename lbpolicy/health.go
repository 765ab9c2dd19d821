package lbpolicy

// This file: outlier ejection.

import (
	"fmt"
	"time"
)

// checkHealth ejects unresponsive servers, and takes their requests out of the queue length.
func (b *Balancer) checkHealth(now time.Duration) {
	b.ejectedCount, b.inFlightEjected, b.totalCapacity = 0, 0, 0
	b.updateServerCapacity(now)
	for _, s := range b.subset {
		b.totalCapacity += b.capacity(now, s)
		s.accumulateWait(now)
		b.ejectIfUnresponsive(now, s)
		if s.ejected {
			b.ejectedCount++
			b.inFlightEjected += s.inFlight - s.dispatchPending
		}
	}
	if b.targetSubsetSize() > b.subsetSize {
		b.updateSubset()
	}
}

// updateServerCapacity follows what a warmed-up server can answer.
func (b *Balancer) updateServerCapacity(now time.Duration) {
	sum, n := 0.0, 0.0
	for _, s := range b.subset {
		warmedUp := s.startTime() <= 0 || now-s.startTime() > b.settings.SlowStart
		if s.reportedCapacity > 0 && warmedUp {
			sum += s.reportedCapacity
			n++
		}
	}
	if n > 0 {
		b.serverCapacity = sum / n
	}
}

const minCapacity = 0.1 // bounds how much longer a server in slow start may take

// ejectIfUnresponsive ejects a server whose requests have waited many times the usual latency, all together,
// without an answer. Each wait counts for as long as it was: requests with little time, or that were given
// up, say little, and many say as much as one long one. So a server that hangs or has failed is found the
// sooner the more requests it has, and a healthy one is not ejected for clients in a hurry. Where most of the
// pool is slow, the usual latency rises with it. A server that answers in batches, later than
// minUnresponsiveWait allows, would be ejected wrongly. This process can be late, too: the verdict waits for
// an answer that has arrived and was not read, and a server has its least wait from the first write on.
func (b *Balancer) ejectIfUnresponsive(now time.Duration, s *server) {
	usual := b.usualLatency() / max(b.capacity(now, s), minCapacity)
	unresponsive := s.waited > unresponsiveMultiple*usual && s.unansweredSeconds > minUnresponsiveWait*usual
	if !unresponsive || !s.mayEject(now) {
		return
	}
	progress := b.host.ServerProgress(s.ID)
	if !progress.HasUnreadAnswer && now-progress.WaitsSince > duration(minUnresponsiveWait*usual) {
		b.eject(now, s, describeSilence(now, s, progress))
	}
}

// mayEject reports whether a server is not ejected, or due a probe.
func (s *server) mayEject(now time.Duration) bool { return !s.ejected || now >= s.ejectedUntil }

// eject ejects a server, for longer each time.
func (b *Balancer) eject(now time.Duration, s *server, reason string) {
	if !s.ejected {
		b.host.Log(fmt.Sprintf("server %d out: %s", s.ID, reason))
	}
	s.ejected = true
	s.clearWait()
	s.ejections = min(s.ejections+1, maxEjections)
	backoff := float64(time.Second << (s.ejections - 1))
	s.ejectedUntil = now + time.Duration((0.5+b.random.Float64())*backoff)
}

// ejectIfFailing ejects a server that answers with errors, or rejects requests, where the others do not: it
// is fast and idle, which would rank it best and draw every retry to it. Errors from deeper in the chain, and
// an overload, come from all servers alike: others is the number of them in the pool.
func (b *Balancer) ejectIfFailing(now time.Duration, s *server, others float64, reason string) {
	if s.errorRatio > failureRatio && s.errorRatio*b.outcomeCount > others && s.mayEject(now) {
		b.eject(now, s, reason)
	}
}

// mayProbe allows an ejected server one request at a time, of those that may be repeated.
func (b *Balancer) mayProbe(now time.Duration, r *request, s *server) bool {
	return s.ejected && now >= s.ejectedUntil && s.inFlight == 0 && r.class.Effect != NonIdempotent
}

// Smoothing of a server's latency and errors, per answer.
const (
	latencySmoothing = 0.2
	errorSmoothing   = 0.3
	errorDecay       = 0.7 // with an answer
)

// recordOutcome updates what is known of a server and of the pool with the end of an attempt.
func (b *Balancer) recordOutcome(now time.Duration, s *server, o Outcome) {
	usual := b.usualLatency()
	switch o.Verdict {
	case OK, Error, ServerFull, Rejected:
		s.lastResponseAt = now
		s.clearWait()
	case Timeout, Cancelled:
		probed := s.ejected && now >= s.ejectedUntil
		hadItsTime := o.Latency.Seconds() > usual && s.lastResponseAt < now-o.Latency
		if probed && hadItsTime && !b.host.ServerProgress(s.ID).HasUnreadAnswer {
			b.eject(now, s, "silent")
		}
	}
	b.ejectIfUnresponsive(now, s)
	b.recordPoolOutcome(s, o, usual)
	b.recordServerOutcome(now, s, o)
	b.recordLoadReport(now, s, o.Load)
}

// recordPoolOutcome updates the latency and the errors of the pool. A failure of an ejected server tells of that
// server, and not of the load of the others.
func (b *Balancer) recordPoolOutcome(s *server, o Outcome, usual float64) {
	latency := o.Latency.Seconds()
	switch {
	case s.ejected && o.Verdict != OK:
	case o.Verdict == OK:
		b.completionsInPeriod++
		b.outcomeCount++
		b.latencySum += latency
	case o.Verdict == Error || o.Verdict == Timeout:
		b.completionsInPeriod++
		b.outcomeCount++
		b.errorCount++
		b.latencySum += max(latency, usual) // an answer would have taken longer: it does not count as fast
	case o.Verdict == ServerFull || o.Verdict == ConnectFailed:
		b.outcomeCount++
		b.fullCount++
	}
}

// recordServerOutcome updates the latency and the errors of a server, and ejects it if it fails.
func (b *Balancer) recordServerOutcome(now time.Duration, s *server, o Outcome) {
	switch o.Verdict {
	case OK:
		latency := o.Latency.Seconds()
		if s.latency == 0 {
			s.latency = (latency + b.usualLatency()) / 2
		}
		s.latency += (latency - s.latency) * latencySmoothing
		s.errorRatio *= errorDecay
		s.ejected, s.ejections = false, 0
	case Error:
		s.errorRatio += (1 - s.errorRatio) * errorSmoothing
		b.ejectIfFailing(now, s, 2*b.errorCount, "errors")
	case ServerFull:
		s.errorRatio += (1 - s.errorRatio) * errorSmoothing
		b.ejectIfFailing(now, s, b.errorCount+b.fullCount, "full")
	case ConnectFailed:
		if !b.ejectIfUnreachable(now, s) { // it is out of connections
			b.connectionsFullAt = now
		}
	case Reset:
		s.errorRatio += (1 - s.errorRatio) * errorSmoothing
		b.ejectIfUnreachable(now, s)
	}
}

// ejectIfUnreachable records a connection that failed, and ejects a server of which another one has failed
// with no answer in between. What any server loses singly (an idle connection that was closed as a request
// was written) is no failure: its load would move to the others just as their connections break too.
func (b *Balancer) ejectIfUnreachable(now time.Duration, s *server) bool {
	again := s.lastResponseAt < s.connFailedAt
	s.connFailedAt = now
	if again {
		b.eject(now, s, "failing")
	}
	return again
}
