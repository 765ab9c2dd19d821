package forwarding

import "time"

const (
	initialLimit      = 4.0
	minLimit          = 1.0
	maxLimit          = 4096.0
	decreaseFactor    = 0.7
	lowestWeightShare = 0.5 // share of initialLimit that the lowest weight gets

	// A weight backs off for the retry delay of a rejection, within these bounds. The delay is meant for one client and says
	// little about when requests of other clients may be retried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 100 * time.Millisecond

	// minDecreaseInterval is the minimum time between two decreases of a limit. Requests that were in flight together are
	// rejected together and must lower it only once.
	minDecreaseInterval = 50 * time.Millisecond
)

// weightLimit is the concurrency limit of one priority weight at one site.
type weightLimit struct {
	limit              float64
	slowStartThreshold float64 // from this limit on, growth is by one each round trip
	decreasedAt        time.Time
	backoffUntil       time.Time
}

// increase raises the limit after a request was served while inUse requests were in flight.
func (l *weightLimit) increase(inUse float64) {
	switch {
	case inUse < l.limit/3: // less than a third in use: the limit held no request back
	case l.limit < l.slowStartThreshold:
		l.limit++
	default:
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, maxLimit)
}

// decrease lowers the limit, at most once per round trip or minDecreaseInterval, whichever is longer. So requests that were
// in flight together lower it once.
func (l *weightLimit) decrease(now time.Time, roundTrip time.Duration) {
	if now.Sub(l.decreasedAt) < max(roundTrip, minDecreaseInterval) {
		return
	}
	l.decreasedAt = now
	l.limit = max(l.limit*decreaseFactor, minLimit)
	l.slowStartThreshold = l.limit
}

// backOff holds back further requests of the weight for retryAfter, bounded by minBackoff and maxBackoff.
func (l *weightLimit) backOff(now time.Time, retryAfter time.Duration) {
	until := now.Add(min(max(retryAfter, minBackoff), maxBackoff))
	if until.After(l.backoffUntil) {
		l.backoffUntil = until
	}
}
