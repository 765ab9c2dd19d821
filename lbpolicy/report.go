package lbpolicy

import (
	"fmt"
	"time"
)

// What a balancer reports about itself.

// CountEjected returns how many listed servers get no requests except probes, because of operators or outlier
// ejection. In panic, servers ejected as outliers do get requests and do not count.
func (b *Balancer) CountEjected() int {
	manually, outliers := 0, 0
	for _, s := range b.listed {
		if s.manuallyEjected {
			manually++
		} else if s.ejected {
			outliers++
		}
	}
	if b.isInPanic() {
		outliers = 0
	}
	return manually + outliers
}

// describeSilence returns the reason for an ejection in the log: the time without a response, the summed wait
// of all requests, and the longest wait.
func describeSilence(now time.Duration, s *server, progress ServerProgress) string {
	longest := now - progress.WaitingSince
	return fmt.Sprintf("silent for %.3f s, %.3f s for all requests, %.3f s for the first one", s.unansweredSeconds, s.waitSum, longest.Seconds())
}

// describeHedge describes a hedged request before it is sent. The attempt in flight has the number n.
func (b *Balancer) describeHedge(now time.Duration, r *request, n int) Hedge {
	a := &r.attempts[n]
	reason := HedgeSilent
	switch {
	case b.host.ResponseProgress(r.id, n) == ResponseStalled:
		reason = HedgeStalled
	case a.server.lastResponseAt >= a.sentAt:
		reason = HedgeStopped
	}
	return Hedge{
		Request:      r.id,
		Attempt:      n,
		Server:       a.server.ID,
		Reason:       reason,
		Waited:       now - a.sentAt,
		UsualLatency: duration(b.usualLatency()),
	}
}
