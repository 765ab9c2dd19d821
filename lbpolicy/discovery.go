package lbpolicy

// This file: when discovery is polled, where it must be. It decides nothing about any request.

import "time"

// discoveryToken is the token of the timer for the next poll, which is of no request.
const discoveryToken = 1 << 63

const (
	maxPollFailures   = 5   // after which the backoff grows no more
	pollBackoffBase   = 0.5 // seconds
	firstPollDivisor  = 8   // of the longest interval, before the first poll
	maxPollBackoffDivisor  = 2   // divides the longest interval
	minPollJitter = 0.5
)

// schedulePoll keeps polling discovery where it answers only when asked: after a failure with a growing
// backoff, and with jitter.
func (b *Balancer) schedulePoll(now time.Duration, kind ListKind) {
	if !b.settings.PollDiscovery {
		return
	}
	longest := b.settings.MaxPollInterval.Seconds()
	var wait float64
	switch {
	case kind == Failed:
		b.pollFailures = min(b.pollFailures+1, maxPollFailures)
		wait = min(pollBackoffBase*float64(int(1)<<b.pollFailures), longest/maxPollBackoffDivisor)
	case !b.pollingStarted:
		wait = longest / firstPollDivisor
	default:
		b.pollFailures = 0
		return
	}
	b.pollingStarted = true
	jitter := minPollJitter + b.random.Float64()
	b.host.SetTimer(now+duration(wait*jitter), discoveryToken)
}
