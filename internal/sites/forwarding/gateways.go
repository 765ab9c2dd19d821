package forwarding

import (
	"cmp"
	"slices"
	"time"
)

// Gateway is one of the gateways of a sala, as this end of the link sees it.
type Gateway struct {
	Connected bool // a session stands
	State     State
	InFlight  int // crossings that are out to it and not answered
	RoundTrip time.Duration
}

// knownState returns the gateway's state, closed where it is one that later versions may have.
func (g Gateway) knownState() State {
	if g.State > Available {
		return Unavailable
	}
	return g.State
}

// SiteState returns what a sala is by what its gateways say: as good as the best of those that are up. One that drains, or is
// full, says nothing of the others.
func SiteState(gates []Gateway) State {
	best := Unavailable
	for _, g := range gates {
		if g.Connected {
			best = max(best, g.knownState())
		}
	}
	return best
}

// OrderGateways returns in which order a crossing is tried at a sala's gateways, by their places in the list: the best state first, of
// equal ones that with the least out, then the nearest. Those that are not up are left out. A next one is tried only where
// the one before it has taken nothing.
//
// It guards against a gateway that drains or is full while others have room. It could hurt where gateways have rooms of
// very different size: the same number is out to each.
func OrderGateways(gates []Gateway) (order []int) {
	for i, g := range gates {
		if g.Connected {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := gates[i], gates[j]
		return cmp.Or(cmp.Compare(b.knownState(), a.knownState()), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.RoundTrip, b.RoundTrip))
	})
	return order
}
