package lbpolicy

// This file: which servers are out.

import (
	"fmt"
	"time"
)

// checkHealth finds silent servers, and takes their calls out of the queue.
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
	if w := b.targetSubsetSize(); w > b.subsetSize {
		b.updateSubset()
	}
}

// updateServerCapacity follows what a warm server can answer.
func (b *Balancer) updateServerCapacity(now time.Duration) {
	sum, n := 0.0, 0.0
	for _, s := range b.subset {
		if s.reportedCapacity > 0 && (s.startTime() <= 0 || now-s.startTime() > b.settings.SlowStart) {
			sum += s.reportedCapacity
			n++
		}
	}
	if n > 0 {
		b.serverCapacity = sum / n
	}
}

// accumulateWait adds up what the calls with a server have waited for since it last answered.
func (s *server) accumulateWait(now time.Duration) {
	if there := s.inFlight - s.dispatchPending; there > 0 {
		dt := (now - s.waitedAt).Seconds()
		s.silent += dt
		s.waited += dt * float64(there)
	}
	s.waitedAt = now
}

// ejectIfUnresponsive puts a server out whose calls have waited for many times the usual latency, all together, with no
// answer. Each wait counts for as long as it was: calls that had little time, or were given up, say little,
// and many say as much as one long one. It guards against machines that hang, vanish or crawl, found the
// sooner the more they hold, and against putting out sound ones for callers in a hurry. Where most of the
// pool is slow the usual latency rises with it. It could hurt where a server answers a batch at a time, later
// than silentWait allows.
func (b *Balancer) ejectIfUnresponsive(now time.Duration, s *server) {
	usual := b.usualLatency() / max(b.capacity(now, s), 0.1)
	if s.waited > unresponsiveMultiple*usual && s.silent > minUnresponsiveWait*usual && (!s.ejected || now >= s.ejectedUntil) {
		b.eject(now, s, "silent")
	}
}

func (b *Balancer) eject(now time.Duration, s *server, why string) {
	if !s.ejected {
		b.host.Log(fmt.Sprintf("server %d out: %s", s.ID, why))
	}
	s.ejected, s.waited, s.silent = true, 0, 0
	s.ejections = min(s.ejections+1, 4)
	s.ejectedUntil = now + time.Duration((0.5+b.random.Float64())*float64(time.Second<<(s.ejections-1)))
}

// ejectIfFailing puts a server out that answers with errors, or turns calls away, where the others do not: it is
// quick and idle, which would make it the best ranked of all and draw every retry. It guards against all that
// fails at once (a broken release, a rate limit, a server that drains and hasn't said so). Errors from deeper
// in the chain, and an overload, come from all servers alike: others is what the pool has of them.
func (b *Balancer) ejectIfFailing(now time.Duration, s *server, others float64, why string) {
	if s.errorRatio > 0.5 && s.errorRatio*b.answerCount > others && (!s.ejected || now >= s.ejectedUntil) {
		b.eject(now, s, why)
	}
}

// mayProbe lets a server that is out have one call at a time, of those that may be sent again.
func (b *Balancer) mayProbe(now time.Duration, r *request, s *server) bool {
	return s.ejected && now >= s.ejectedUntil && s.inFlight == 0 && r.class.Effect != NonIdempotent
}

// recordOutcome takes an attempt's end into the server's and the pool's figures.
func (b *Balancer) recordOutcome(now time.Duration, s *server, o Outcome) {
	lat, usual := o.Latency.Seconds(), b.usualLatency()
	switch trial := s.ejected && now >= s.ejectedUntil; o.Verdict {
	case OK, Error, ServerFull, Rejected:
		s.answeredAt, s.waited, s.silent = now, 0, 0
	case Timeout, Cancelled: // a trial that had its time and no answer
		if trial && lat > usual && s.answeredAt < now-o.Latency {
			b.eject(now, s, "silent")
		}
	}
	b.ejectIfUnresponsive(now, s)
	switch {
	case s.ejected && o.Verdict != OK: // tells of the server, not of the load of those in use (weakness 3)
	case o.Verdict == OK || o.Verdict == Error || o.Verdict == Timeout:
		b.answeredInPeriod++
		b.answerCount++
		if o.Verdict != OK { // an answer would have taken longer: it must not pass for a quick one
			b.errorCount++
			lat = max(lat, usual)
		}
		b.latencySum += lat
	case o.Verdict == ServerFull || o.Verdict == ConnectFailed:
		b.answerCount++
		b.fullCount++
	}
	switch o.Verdict {
	case OK:
		if s.latency == 0 {
			s.latency = (lat + b.usualLatency()) / 2
		}
		s.latency += (lat - s.latency) * 0.2
		s.errorRatio *= 0.7
		s.ejected, s.ejections = false, 0
	case Error:
		s.errorRatio += (1 - s.errorRatio) * 0.3
		b.ejectIfFailing(now, s, 2*b.errorCount, "errors")
	case ServerFull:
		s.errorRatio += (1 - s.errorRatio) * 0.3
		b.ejectIfFailing(now, s, b.errorCount+b.fullCount, "full")
	case ConnectFailed: // a server that answers between two of them is full of connections, not gone
		if s.connectionFailed(now) {
			b.eject(now, s, "failing")
		} else {
			b.connectionsFullAt = now
		}
	case Reset: // one that answers between two of them has lost connections, not its process: it ranks lower
		s.errorRatio += (1 - s.errorRatio) * 0.3
		if s.connectionFailed(now) {
			b.eject(now, s, "failing")
		}
	}
	b.recordLoadReport(now, s, o.Load)
}

// connectionFailed notes a connection that failed or broke, and tells whether another did with no answer since. It
// guards against processes and machines that die, without taking for one what any server loses singly (an
// idle connection closed as a call was written): put out for that, it would leave its load to the others
// just as their connections break too. A server that dies costs one call more.
func (s *server) connectionFailed(now time.Duration) bool {
	again := s.answeredAt < s.connFailedAt
	s.connFailedAt = now
	return again
}

// recordLoadReport takes a load report: a server's rate over its utilisation is what it could answer.
func (b *Balancer) recordLoadReport(now time.Duration, s *server, load []float32) {
	rate := 0.0
	for i, v := range load[:min(len(load), len(b.settings.ReportFields))] {
		switch b.settings.ReportFields[i] {
		case FieldUtilization:
			s.utilization, s.reportedAt = float64(v), now
		case FieldRequestRate:
			rate = float64(v)
		}
	}
	if s.reportedAt == now && s.utilization > minReportedUtilization && rate > 0 {
		if s.reportedCapacity == 0 {
			s.reportedCapacity = rate / s.utilization
		}
		s.reportedCapacity += (rate/s.utilization - s.reportedCapacity) * 0.3
	}
}
