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

// describeSilence returns for how long a server's requests have waited, and for how long this process has run to read an answer.
func (b *Balancer) describeSilence(now time.Duration, s *server) string {
	running := now - max(b.runningSince, b.startedAt)
	return fmt.Sprintf("silent for %.3f s, %.3f s for all requests, no pause for %.3f s", s.silent, s.waited, running.Seconds())
}
