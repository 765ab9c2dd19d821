package forwarding

import "time"

const (
	switchMargin   = 0.2                    // by which another site must be cheaper to replace the last chosen one
	roundTripScale = 100 * time.Millisecond // round trip that costs as much as a fully used limit
	sheddingCost   = 0.5                    // added to the cost of a site that sheds load
	minTimeLeft    = 2 * time.Millisecond   // time that a request must have left at the other site, besides the round trip
)

// candidate is a site that requests may be forwarded to.
type candidate struct {
	Site
	connected bool
	limits    []weightLimit // by priority weight, ascending
}

// resetLimits sets the limits of all priority weights to their initial values. A lower weight starts with a lower limit.
func (c *candidate) resetLimits(weights int) {
	c.limits = make([]weightLimit, weights)
	for i := range c.limits {
		share := 1.0
		if weights > 1 {
			share = lowestWeightShare + (1-lowestWeightShare)*float64(i)/float64(weights-1)
		}
		c.limits[i] = weightLimit{limit: initialLimit * share, slowStartThreshold: maxLimit}
	}
}

// admits reports whether a request with the given weight limit may be forwarded to the site now. If not, retryAfter is the
// time until a retry may succeed, or 0 if it is unknown.
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

// highestLimit returns the limit of the highest priority weight.
func (c *candidate) highestLimit() float64 { return c.limits[len(c.limits)-1].limit }

// cost returns the cost of forwarding a request to the site. The site with the lowest cost is chosen. The cost is the used
// part of the highest limit, plus the round trip in units of roundTripScale, plus sheddingCost if the site sheds load.
func (c *candidate) cost() float64 {
	cost := float64(c.InFlight)/c.highestLimit() + float64(c.RoundTrip)/float64(roundTripScale)
	if c.State == Shedding {
		cost += sheddingCost
	}
	return cost
}

// recordServed raises the limits of a weight and all higher ones after a request of that weight was served: the site would
// have served a request of a higher weight, too.
func (c *candidate) recordServed(weight int, inUse float64) {
	for i := weight; i < len(c.limits); i++ {
		c.limits[i].increase(inUse)
		if i > 0 {
			c.limits[i].limit = max(c.limits[i].limit, c.limits[i-1].limit)
		}
	}
}

// recordRejected lowers the limits of a weight and all lower ones, and makes these weights back off.
func (c *candidate) recordRejected(now time.Time, weight int, retryAfter time.Duration) {
	for i := range weight + 1 {
		c.limits[i].backOff(now, retryAfter)
		c.limits[i].decrease(now, c.RoundTrip)
	}
	c.alignLimits()
}

// recordFailed lowers the limits of all weights.
func (c *candidate) recordFailed(now time.Time) {
	for i := range c.limits {
		c.limits[i].decrease(now, c.RoundTrip)
	}
	c.alignLimits()
}

// alignLimits lowers each limit to that of the next higher weight if it is above it. This happens because a limit that was
// decreased a moment ago is not decreased again.
func (c *candidate) alignLimits() {
	for i := len(c.limits) - 2; i >= 0; i-- {
		c.limits[i].limit = min(c.limits[i].limit, c.limits[i+1].limit)
	}
}
