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

var measuredMembers = flag.Int("members", 30, "how many members the measurement in virtual time has")
var measuredFaultDuration = flag.Duration("span", 20*time.Second, "for how long each trouble of the measurement lasts, in virtual time")

// encodedSize is how long a message is as the host sends it, without heads and encryption (some 75 bytes together).
func encodedSize(m *Message) int {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	h.WriteExt = true
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, h).Encode(m); err != nil {
		panic(err)
	}
	return b.Len()
}

// A fleet in virtual time: what it says when nothing happens, how soon one that is killed is out, and whom each trouble
// takes out that is healthy. With -v it prints the figures that the page has; -members and -span make it larger.
func TestMeasureMembership(t *testing.T) {
	t.Parallel()
	n := *measuredMembers
	w := newSimulation(t, 36, n)
	met := w.awaitView(n, 5*time.Minute)
	w.setHealthy(indicesUpTo(n)...)
	packets := w.messageCount
	bytes := 0
	w.observeMessage = func(m *Message) { bytes += encodedSize(m) + 75 }
	const calm = 4 * time.Second
	w.runFor(calm)
	w.observeMessage = nil
	t.Logf("%d members: met after %v; %.1f packets and %.0f bytes a second each", n, met.Round(100*time.Millisecond),
		float64(w.messageCount-packets)/float64(n)/calm.Seconds(), float64(bytes)/float64(n)/calm.Seconds())
	var took []time.Duration
	for i := range 5 {
		x := 1 + w.rng.IntN(n-1)
		delete(w.healthy, x)
		w.nodes[x].killed = true
		took = append(took, w.awaitView(n-1, 20*time.Second))
		m := w.nodes[x].core.options.Self
		w.startNode(Member{Name: m.Name, Address: m.Address, Incarnation: uint64(i + 1)}, x)
		w.runFor(time.Second)
		w.awaitView(n, 20*time.Second)
		w.setHealthy(indicesUpTo(n)...)
	}
	slices.Sort(took)
	t.Logf("killed: out of all views after %v at the median, %v at the most", took[2], took[4])
	// A zone: a fifth at once.
	views := w.nodes[0].core.view.Number
	zone := indicesUpTo(n)[n-n/5:]
	for _, i := range zone {
		delete(w.healthy, i)
		w.nodes[i].killed = true
	}
	lost := w.awaitView(n-len(zone), 30*time.Second)
	t.Logf("%d killed at once: out after %v, by %d views", len(zone), lost, w.nodes[0].core.view.Number-views)
	for _, i := range zone {
		m := w.nodes[i].core.options.Self
		w.startNode(Member{Name: m.Name, Address: m.Address, Incarnation: w.rng.Uint64()}, i)
	}
	views = w.nodes[0].core.view.Number
	back := w.awaitView(n, time.Minute)
	t.Logf("%d come at once: in after %v, by %d views", len(zone), back, w.nodes[0].core.view.Number-views)
	w.assertNoFalseRemoval("killed")
	some := excludeIndices(indicesUpTo(n), 0)[:max(n/10, 1)]
	for _, x := range []fault{{kind: "loss"}, {kind: "slow", members: some}, {kind: "mute", members: some}, {kind: "deaf", members: some}, {kind: "pause", members: some}, {kind: "part", members: some}} {
		w.setHealthy(indicesUpTo(n)...)
		if x.mayRemoveMembers() {
			w.setHealthy(excludeIndices(indicesUpTo(n), some...)...)
		}
		before, views := len(w.falseRemovals), w.nodes[0].core.view.Number
		x.setActive(w, true)
		w.runFor(*measuredFaultDuration)
		x.setActive(w, false)
		w.awaitView(n, time.Minute)
		w.runFor(5 * time.Second)
		t.Logf("%s: %d healthy out in %v, %d views", x.kind, len(w.falseRemovals)-before, *measuredFaultDuration, w.nodes[0].core.view.Number-views)
		w.assertNoFalseRemoval(fmt.Sprint(x.kind))
	}
}
