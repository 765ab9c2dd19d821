package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The only member of a fleet leaves. The change that removes it is decided in a tick, as nobody else has to agree; it has no view
// then, and the rest of the tick read it: a panic of the process ("invalid memory address", in Tick) where the tick had no heartbeat
// due (docs/incidents/only-member-leaves.md). The test leaves at each phase of the heartbeat.
func TestOnlyMemberLeavesWithoutPanic(t *testing.T) {
	for phase := range ticksPerHeartbeat {
		self := Member{Name: "a", Address: "127.0.0.1:1", Incarnation: 1}
		c := New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, 0))})
		now := time.Second
		c.Tick(now)
		c.installView(&View{Lineage: 1, Number: 1, Members: []Member{self}})
		for range phase {
			now += c.TickInterval()
			c.Tick(now)
		}
		c.Leave(now)
		for range 20 * ticksPerHeartbeat {
			now += c.TickInterval()
			c.Tick(now)
			c.Ready()
		}
		if c.View() != nil {
			t.Errorf("phase %d: still in a view", phase)
		}
	}
}
