package membership

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

var measuredMembers = flag.Int("members", 30, "number of members in the measurement")
var measuredFaultDuration = flag.Duration("span", 20*time.Second, "how long each fault of the measurement lasts, in virtual time")

// encodedSize returns the size of a message in bytes as the host encodes it. Packet headers and encryption are not included; they
// add about 75 bytes.
func encodedSize(message *Message) int {
	handle := &codec.MsgpackHandle{}
	handle.StructToArray = true
	handle.WriteExt = true
	var encoded bytes.Buffer
	if err := codec.NewEncoder(&encoded, handle).Encode(message); err != nil {
		panic(err)
	}
	return encoded.Len()
}

// Measures a fleet in virtual time: the traffic without faults, how soon killed members are removed, and how many healthy members
// each kind of fault removes, which must be none. -v prints the figures. -members sets the size of the fleet, and -span the
// duration of each fault.
func TestMeasureMembership(t *testing.T) {
	t.Parallel()
	n := *measuredMembers
	sim := newSimulation(t, 36, n)
	agreedAfter := sim.awaitView(n, 5*time.Minute)
	sim.setHealthy(indicesUpTo(n)...)
	messagesBefore := sim.messageCount
	byteCount := 0
	sim.observeMessage = func(m *Message) { byteCount += encodedSize(m) + 75 }
	const faultFreePeriod = 4 * time.Second
	sim.runFor(faultFreePeriod)
	sim.observeMessage = nil
	t.Logf("%d members: in one view after %v; each sends %.1f messages and %.0f bytes per second", n, agreedAfter.Round(100*time.Millisecond),
		float64(sim.messageCount-messagesBefore)/float64(n)/faultFreePeriod.Seconds(), float64(byteCount)/float64(n)/faultFreePeriod.Seconds())
	var removalTimes []time.Duration
	for i := range 5 {
		killed := 1 + sim.rng.IntN(n-1)
		delete(sim.healthy, killed)
		sim.nodes[killed].killed = true
		removalTimes = append(removalTimes, sim.awaitView(n-1, 20*time.Second))
		self := sim.nodes[killed].core.options.Self
		sim.startNode(Member{Name: self.Name, Address: self.Address, Incarnation: uint64(i + 1)}, killed)
		sim.runFor(time.Second)
		sim.awaitView(n, 20*time.Second)
		sim.setHealthy(indicesUpTo(n)...)
	}
	slices.Sort(removalTimes)
	t.Logf("one member killed: removed from all views after %v (median), %v (maximum)", removalTimes[2], removalTimes[4])
	// A zone fails: a fifth of the members at once.
	viewsBefore := sim.nodes[0].core.view.Number
	zone := indicesUpTo(n)[n-n/5:]
	for _, i := range zone {
		delete(sim.healthy, i)
		sim.nodes[i].killed = true
	}
	removedAfter := sim.awaitView(n-len(zone), 30*time.Second)
	t.Logf("%d members killed at once: removed after %v, in %d views", len(zone), removedAfter, sim.nodes[0].core.view.Number-viewsBefore)
	for _, i := range zone {
		self := sim.nodes[i].core.options.Self
		sim.startNode(Member{Name: self.Name, Address: self.Address, Incarnation: sim.rng.Uint64()}, i)
	}
	viewsBefore = sim.nodes[0].core.view.Number
	admittedAfter := sim.awaitView(n, time.Minute)
	t.Logf("%d members started at once: admitted after %v, in %d views", len(zone), admittedAfter, sim.nodes[0].core.view.Number-viewsBefore)
	sim.assertNoFalseRemoval("members killed")
	affected := excludeIndices(indicesUpTo(n), 0)[:max(n/10, 1)]
	for _, f := range []fault{{kind: "loss"}, {kind: "slow", members: affected}, {kind: "mute", members: affected}, {kind: "deaf", members: affected}, {kind: "pause", members: affected}, {kind: "part", members: affected}} {
		sim.setHealthy(indicesUpTo(n)...)
		if f.mayRemoveMembers() {
			sim.setHealthy(excludeIndices(indicesUpTo(n), affected...)...)
		}
		removalsBefore, viewsBefore := len(sim.falseRemovals), sim.nodes[0].core.view.Number
		f.setActive(sim, true)
		sim.runFor(*measuredFaultDuration)
		f.setActive(sim, false)
		sim.awaitView(n, time.Minute)
		sim.runFor(5 * time.Second)
		t.Logf("%s: %d healthy members removed in %v, %d views", f.kind, len(sim.falseRemovals)-removalsBefore, *measuredFaultDuration, sim.nodes[0].core.view.Number-viewsBefore)
		sim.assertNoFalseRemoval(fmt.Sprint(f.kind))
	}
}
