package forwarding

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A sala is as good as the best of its gateways that are up; a crossing is tried at none that is not, at each of the others
// once, and never at a worse one before a better.
func TestGates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gates := make([]Gateway, rapid.IntRange(0, 5).Draw(t, "gates"))
		best, up := Unavailable, 0
		for i := range gates {
			g := &gates[i]
			g.Connected, g.State = rapid.Bool().Draw(t, "up"), State(rapid.IntRange(0, 4).Draw(t, "state"))
			g.InFlight, g.RoundTrip = rapid.IntRange(0, 2).Draw(t, "open"), time.Duration(rapid.IntRange(0, 2).Draw(t, "trip"))
			if g.Connected {
				up++
				if g.State <= Available {
					best = max(best, g.State)
				}
			}
		}
		if SiteState(gates) != best {
			t.Fatalf("%v, not %v", SiteState(gates), best)
		}
		order := OrderGateways(gates)
		if sorted := slices.Compact(slices.Sorted(slices.Values(order))); len(order) != up || len(sorted) != up {
			t.Fatalf("%v of %+v", order, gates)
		}
		for n, i := range order {
			if !gates[i].Connected {
				t.Fatalf("%d is not up", i)
			}
			if n > 0 {
				a, b := gates[order[n-1]], gates[i]
				if a.knownState() < b.knownState() || a.knownState() == b.knownState() && (a.InFlight > b.InFlight || a.InFlight == b.InFlight && a.RoundTrip > b.RoundTrip) {
					t.Fatalf("%+v before %+v", a, b)
				}
			}
		}
	})
}
