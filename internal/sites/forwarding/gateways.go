package forwarding

import (
	"cmp"
	"slices"
	"time"
)

// Gateway is one of the gateways of a site, as this end of the connection sees it.
type Gateway struct {
	Connected bool
	State     State
	InFlight  int // requests forwarded to it and not answered
	RoundTrip time.Duration
}

// knownState returns the gateway's state, Unavailable for one that only later versions know.
func (g Gateway) knownState() State {
	if g.State > Available {
		return Unavailable
	}
	return g.State
}

// SiteState returns the state of a site: the best one of its connected gateways. One that drains or is full says nothing
// of the others.
func SiteState(gateways []Gateway) State {
	best := Unavailable
	for _, g := range gateways {
		if g.Connected {
			best = max(best, g.knownState())
		}
	}
	return best
}

// OrderGateways returns the indexes of the connected gateways in the order in which a request tries them: by state, then
// by requests in flight, then by round trip. The next one is tried only if the one before it has accepted nothing.
//
// Gateways of one site are expected to have about the same capacity: each gets the same number of requests.
func OrderGateways(gateways []Gateway) []int {
	var order []int
	for i, g := range gateways {
		if g.Connected {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := gateways[i], gateways[j]
		return cmp.Or(
			cmp.Compare(b.knownState(), a.knownState()),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(a.RoundTrip, b.RoundTrip),
		)
	})
	return order
}
