package forwarding

import "time"

const (
	switchMargin   = 0.2                    // by which another site's cost must be lower to take the last one's place
	roundTripScale = 100 * time.Millisecond // a round trip that costs as much as a limit in full use
	sheddingCost   = 0.5
	minTimeLeft    = 2 * time.Millisecond // at the other site, beyond the round trip
)

// candidate is a site that requests may be forwarded to.
type candidate struct {
	Site
	connected bool
	limits    []weightLimit // by priority weight, ascending
}

// resetLimits forgets what was learnt of the limits.
func (c *candidate) resetLimits(weights int) {
	c.limits = make([]weightLimit, weights)
	for i := range c.limits {
		share := 1.0
		if weights > 1 {
			share = lowestWeightShare + (1-lowestWeightShare)*float64(i)/float64(weights-1)
		}
		c.limits[i] = weightLimit{limit: initialLimit * share, slowGrowthFrom: maxLimit}
	}
}

// admits reports whether a request may be forwarded now. If not, retryAfter is when another try may succeed, 0 if that is
// not known.
func (c *candidate) admits(now time.Time, r Request, limit weightLimit) (retryAfter time.Duration, ok bool) {
	switch {
	case !c.connected || c.State == Unavailable, c.State == Draining && r.OwnerSite == "", r.TimeLeft < c.RoundTrip+minTimeLeft:
		return 0, false
	case now.Before(limit.backoffUntil):
		return limit.backoffUntil.Sub(now), false
	case float64(c.InFlight) >= limit.limit:
		return max(c.RoundTrip, minBackoff), false
	}
	return 0, true
}

// highestLimit returns the limit of the highest weight.
func (c *candidate) highestLimit() float64 { return c.limits[len(c.limits)-1].limit }

// cost returns what sites are compared by.
func (c *candidate) cost() float64 {
	cost := float64(c.InFlight)/c.highestLimit() + float64(c.RoundTrip)/float64(roundTripScale)
	if c.State == Shedding {
		cost += sheddingCost
	}
	return cost
}

// served raises the limits from a weight up. What is served of one weight would be served of a higher one.
func (c *candidate) served(weight int, inUse float64) {
	for i := weight; i < len(c.limits); i++ {
		c.limits[i].increase(inUse)
		if i > 0 {
			c.limits[i].limit = max(c.limits[i].limit, c.limits[i-1].limit)
		}
	}
}

// rejected lowers the limits from a weight down, and lets these weights back off.
func (c *candidate) rejected(now time.Time, weight int, retryAfter time.Duration) {
	for i := range weight + 1 {
		c.limits[i].backOff(now, retryAfter)
		c.limits[i].decrease(now, c.RoundTrip)
	}
	c.alignLimits()
}

// failed lowers all limits.
func (c *candidate) failed(now time.Time) {
	for i := range c.limits {
		c.limits[i].decrease(now, c.RoundTrip)
	}
	c.alignLimits()
}

// alignLimits lowers the limits that are above a higher weight's, which may have been decreased a moment before.
func (c *candidate) alignLimits() {
	for i := len(c.limits) - 2; i >= 0; i-- {
		c.limits[i].limit = min(c.limits[i].limit, c.limits[i+1].limit)
	}
}
