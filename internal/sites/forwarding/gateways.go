package forwarding

import (
	"cmp"
	"slices"
	"time"
)

// Gateway is the status of one gateway of another site, as seen from this end of the connection.
type Gateway struct {
	Connected bool
	State     State
	InFlight  int // requests forwarded to the gateway and not answered yet
	RoundTrip time.Duration
}

// knownState returns the gateway's state. A state that this version does not know counts as Unavailable.
func (g Gateway) knownState() State {
	if g.State > Available {
		return Unavailable
	}
	return g.State
}

// SiteState returns the state of a site: the best state of its connected gateways. A gateway that drains or sheds load does
// not imply that the others do.
func SiteState(gateways []Gateway) State {
	best := Unavailable
	for _, g := range gateways {
		if g.Connected {
			best = max(best, g.knownState())
		}
	}
	return best
}

// OrderGateways returns the indexes of the connected gateways in the order in which a request tries them: by state (best
// first), then by requests in flight, then by round trip (fewest and shortest first). The next gateway is tried only if the
// previous one did not accept the request.
//
// The gateways of one site are expected to have about the same capacity, so that each gets the same number of requests.
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
