package lbpolicy

import (
	"fmt"
	"time"
)

// This file: what a balancer reports of itself.

// CountEjected returns how many of the listed servers get no requests now except probes, because of operators
// or of outlier ejection. In panic, ejected servers are used all the same.
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

// describeSilence tells for how long a server's requests have waited.
func describeSilence(now time.Duration, s *server, progress ServerProgress) string {
	first := now - progress.WaitsSince
	return fmt.Sprintf("silent for %.3f s, %.3f s for all requests, %.3f s for the first one", s.unansweredSeconds, s.waited, first.Seconds())
}

// describeHedge describes the hedge of a request, before it is sent.
func (b *Balancer) describeHedge(now time.Duration, r *request, n int) Hedge {
	a := &r.attempts[n]
	reason := HedgeSilent
	if a.server.lastResponseAt >= a.sentAt {
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
