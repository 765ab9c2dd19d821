package forwarding

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConnectedGatewaysAreTriedBestFirst checks that a site has the best state of its connected gateways. A request must try
// each connected gateway once, no disconnected one, and no worse gateway before a better one.
func TestConnectedGatewaysAreTriedBestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]Gateway, rapid.IntRange(0, 5).Draw(t, "gateways"))
		best, connected := Unavailable, 0
		for i := range gateways {
			g := &gateways[i]
			g.Connected, g.State = rapid.Bool().Draw(t, "connected"), State(rapid.IntRange(0, 4).Draw(t, "state"))
			g.InFlight, g.RoundTrip = rapid.IntRange(0, 2).Draw(t, "in flight"), time.Duration(rapid.IntRange(0, 2).Draw(t, "round trip"))
			if g.Connected {
				connected++
				if g.State <= Available {
					best = max(best, g.State)
				}
			}
		}
		if SiteState(gateways) != best {
			t.Fatalf("site state is %v, want %v", SiteState(gateways), best)
		}
		order := OrderGateways(gateways)
		if sorted := slices.Compact(slices.Sorted(slices.Values(order))); len(order) != connected || len(sorted) != connected {
			t.Fatalf("order %v does not hold each connected gateway once, of %+v", order, gateways)
		}
		for n, i := range order {
			if !gateways[i].Connected {
				t.Fatalf("gateway %d is in the order and not connected", i)
			}
			if n > 0 {
				a, b := gateways[order[n-1]], gateways[i]
				if a.knownState() < b.knownState() || a.knownState() == b.knownState() && (a.InFlight > b.InFlight || a.InFlight == b.InFlight && a.RoundTrip > b.RoundTrip) {
					t.Fatalf("gateway %+v is tried before the better %+v", a, b)
				}
			}
		}
	})
}
