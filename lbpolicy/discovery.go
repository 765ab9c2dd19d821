package lbpolicy

// This file: when discovery is asked, where it must be. It tells of no server, attempt or refusal.

import "time"

const discoveryToken = 1 << 63

// schedulePoll keeps the watch on discovery where it must be asked for: again after a failure, later each time
// and never in step with the others.
func (b *Balancer) schedulePoll(now time.Duration, kind ListKind) {
	if !b.settings.PollDiscovery {
		return
	}
	var wait float64
	switch {
	case kind == Failed:
		b.pollFailures = min(b.pollFailures+1, 5)
		wait = min(0.5*float64(int(1)<<b.pollFailures), b.settings.MaxPollInterval.Seconds()/2)
	case !b.watching:
		wait = b.settings.MaxPollInterval.Seconds() / 8
	default:
		b.pollFailures = 0
		return
	}
	b.watching = true
	b.host.SetTimer(now+time.Duration(wait*(0.5+b.random.Float64())*float64(time.Second)), discoveryToken)
}
