package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a nil pointer panic in Tick ("invalid memory address"; docs/incidents/only-member-leaves.md). When the only
// member of a fleet leaves, its removal is decided within one tick, as no other member has to agree. The member then has no view,
// but the rest of the tick read the view if no heartbeat was due. The test leaves at each tick of a heartbeat interval.
func TestOnlyMemberLeavesWithoutPanic(t *testing.T) {
	for tick := range ticksPerHeartbeat {
		self := Member{Name: "a", Address: "127.0.0.1:1", Incarnation: 1}
		core := New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, 0))})
		now := time.Second
		core.Tick(now)
		core.installView(&View{Lineage: 1, Number: 1, Members: []Member{self}})
		for range tick {
			now += core.TickInterval()
			core.Tick(now)
		}
		core.Leave(now)
		for range 20 * ticksPerHeartbeat {
			now += core.TickInterval()
			core.Tick(now)
			core.Ready()
		}
		if core.View() != nil {
			t.Errorf("tick %d of the heartbeat interval: still in a view after leaving", tick)
		}
	}
}
