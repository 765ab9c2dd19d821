package forwarding

import "time"

const (
	initialLimit      = 4.0
	minLimit          = 1.0
	maxLimit          = 4096.0
	decreaseFactor    = 0.7
	lowestWeightShare = 0.5 // of the initial limit, for the lowest weight

	// A weight backs off for as long as a rejection says, within these bounds: the rejection is meant for one client and
	// says little of when others may retry.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 100 * time.Millisecond

	// minDecreaseInterval is the least time between two decreases: requests that were in flight together are rejected
	// together.
	minDecreaseInterval = 50 * time.Millisecond
)

// weightLimit is the concurrency limit of one priority weight at one site.
type weightLimit struct {
	limit          float64
	slowGrowthFrom float64 // above it the limit grows slowly
	decreasedAt    time.Time
	backoffUntil   time.Time
}

// increase raises a limit of which inUse were in use as a request was served.
func (l *weightLimit) increase(inUse float64) {
	switch {
	case inUse < l.limit/3: // the limit did not hold anything back
	case l.limit < l.slowGrowthFrom:
		l.limit++
	default:
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, maxLimit)
}

// decrease lowers a limit, once for all requests that were in flight together.
func (l *weightLimit) decrease(now time.Time, roundTrip time.Duration) {
	if now.Sub(l.decreasedAt) < max(roundTrip, minDecreaseInterval) {
		return
	}
	l.decreasedAt = now
	l.limit = max(l.limit*decreaseFactor, minLimit)
	l.slowGrowthFrom = l.limit
}

// backOff rejects further requests of the weight for as long as a rejection says.
func (l *weightLimit) backOff(now time.Time, retryAfter time.Duration) {
	until := now.Add(min(max(retryAfter, minBackoff), maxBackoff))
	if until.After(l.backoffUntil) {
		l.backoffUntil = until
	}
}
