package lbpolicy

// When to poll discovery, in deployments where it must be polled. Nothing here decides about requests.

import "time"

// discoveryToken is the token of the timer for the next poll. It is the ID of no request.
const discoveryToken = 1 << 63

const (
	maxPollFailures       = 5   // in a row, after which the backoff stops growing
	pollBackoffBase       = 0.5 // seconds, doubled with each failure
	firstPollDivisor      = 8   // the first poll comes after the maximum poll interval divided by this
	maxPollBackoffDivisor = 2   // the longest backoff is the maximum poll interval divided by this
	minPollJitter         = 0.5 // the wait is multiplied by this plus a random number below 1
)

// schedulePoll schedules the next poll where discovery must be polled: the first poll, and a poll after each
// failed call. Failures in a row lengthen the wait (exponential backoff). Jitter keeps balancers from polling
// together.
func (b *Balancer) schedulePoll(now time.Duration, kind ListKind) {
	if !b.settings.PollDiscovery {
		return
	}
	maxInterval := b.settings.MaxPollInterval.Seconds()
	var wait float64
	switch {
	case kind == Failed:
		b.pollFailures = min(b.pollFailures+1, maxPollFailures)
		wait = min(pollBackoffBase*float64(int(1)<<b.pollFailures), maxInterval/maxPollBackoffDivisor)
	case !b.pollingStarted:
		wait = maxInterval / firstPollDivisor
	default:
		b.pollFailures = 0
		return
	}
	b.pollingStarted = true
	jitter := minPollJitter + b.random.Float64()
	b.host.SetTimer(now+duration(wait*jitter), discoveryToken)
}
