package lbpolicy

// Outlier ejection.

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

// updateServerCapacity averages the reported capacities of the warmed-up servers, if there are any.
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

const minCapacity = 0.1 // limits how much longer a server in slow start may take to respond

// ejectIfUnresponsive ejects a server that has sent no response while its requests waited, in sum,
// unresponsiveMultiple times the usual latency. Each request counts for as long as it waited, and many short
// waits count as much as a long one. So a server that hangs or has failed is found sooner the more requests
// it has, and a healthy one is not ejected because clients give up early. Where most of the pool is slow, the
// usual latency rises with it. A server that responds in batches, later than minUnresponsiveWait allows, is
// ejected wrongly. This process can also be late. Therefore a response that has arrived unread prevents the
// ejection, and minUnresponsiveWait counts from the first write.
func (b *Balancer) ejectIfUnresponsive(now time.Duration, s *server) {
	usual := b.usualLatency() / max(b.capacity(now, s), minCapacity)
	unresponsive := s.waitSum > unresponsiveMultiple*usual && s.unansweredSeconds > minUnresponsiveWait*usual
	if !unresponsive || !s.mayEject(now) {
		return
	}
	progress := b.host.ServerProgress(s.ID)
	if !progress.HasUnreadResponse && now-progress.WaitingSince > duration(minUnresponsiveWait*usual) {
		b.eject(now, s, describeSilence(now, s, progress))
	}
}

// mayEject reports whether a server may be ejected: it is in use, or it is ejected and due for a probe.
func (s *server) mayEject(now time.Duration) bool { return !s.ejected || now >= s.ejectedUntil }

// eject ejects a server, each time in a row for a longer period.
func (b *Balancer) eject(now time.Duration, s *server, reason string) {
	if !s.ejected {
		b.host.LogServer(s.ID, fmt.Sprintf("server %d out: %s", s.ID, reason))
	}
	s.ejected = true
	s.clearWait()
	s.ejections = min(s.ejections+1, maxEjections)
	backoff := float64(time.Second << (s.ejections - 1))
	s.ejectedUntil = now + time.Duration((0.5+b.random.Float64())*backoff)
}

// ejectIfFailing ejects a server that fails where the others do not. A server that fails at once is fast and
// idle: it would rank best and attract every retry. Errors of deeper tiers, and an overload, come from all
// servers alike: others is the number of such failures in the pool.
func (b *Balancer) ejectIfFailing(now time.Duration, s *server, others float64, reason string) {
	if s.errorRatio > failureRatio && s.errorRatio*b.outcomeCount > others && s.mayEject(now) {
		b.eject(now, s, reason)
	}
}

// mayProbe allows one request at a time to an ejected server that is due a probe, if it may be repeated.
func (b *Balancer) mayProbe(now time.Duration, r *request, s *server) bool {
	return s.ejected && now >= s.ejectedUntil && s.inFlight == 0 && r.class.Effect != NonIdempotent
}

// Smoothing of a server's latency and error ratio.
const (
	latencySmoothing = 0.2 // weight of one response
	errorSmoothing   = 0.3 // weight of one failure
	errorDecay       = 0.7 // factor on the error ratio per OK response
)

// recordOutcome updates the state of a server and of the pool at the end of an attempt.
func (b *Balancer) recordOutcome(now time.Duration, s *server, o Outcome) {
	usual := b.usualLatency()
	switch o.Verdict {
	case OK, Error, ServerFull, Rejected:
		s.lastResponseAt = now
		s.clearWait()
	case Timeout, Cancelled:
		probed := s.ejected && now >= s.ejectedUntil
		waitedLongEnough := o.Latency.Seconds() > usual && s.lastResponseAt < now-o.Latency
		if probed && waitedLongEnough && !b.host.ServerProgress(s.ID).HasUnreadResponse {
			b.eject(now, s, "silent")
		}
	}
	b.ejectIfUnresponsive(now, s)
	b.recordPoolOutcome(s, o, usual)
	b.recordServerOutcome(now, s, o)
	b.recordLoadReport(now, s, o.Load)
}

// recordPoolOutcome updates the latency and the errors of the pool. Failures of an ejected server are left
// out: they say nothing about the load of the others.
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
		b.latencySum += max(latency, usual) // not a fast response: it would have taken longer
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
		if !b.ejectIfUnreachable(now, s) { // it refuses further connections
			b.connectionsFullAt = now
		}
	case Reset:
		s.errorRatio += (1 - s.errorRatio) * errorSmoothing
		b.ejectIfUnreachable(now, s)
	}
}

// ejectIfUnreachable records a connection failure. It ejects the server if the previous one failed too, with
// no response in between. A single failure is normal (an idle connection was closed as a request was
// written). Ejecting for it would move the load to the other servers just as their connections break too.
func (b *Balancer) ejectIfUnreachable(now time.Duration, s *server) bool {
	failedTwice := s.lastResponseAt < s.connFailedAt
	s.connFailedAt = now
	if failedTwice {
		b.eject(now, s, "failing")
	}
	return failedTwice
}
