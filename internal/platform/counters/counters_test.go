package counters

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
)

func TestSet(t *testing.T) {
	var b Set
	b.AddClasses([]string{"read", "write"})
	if text := string(b.Snapshot().JSON()); !strings.Contains(text, `"answered":{"read":0,"write":0}`) || !strings.HasSuffix(text, "}\n") {
		t.Error(text)
	}
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := range 300 {
				b.RequestReceived()
				b.AttemptsSent.Add(1)
				b.RequestEnded([]string{"read", "write", "gone"}[n%3], Outcome(i%3), true)
			}
			b.RequestEnded("read", Rejected, false) // its body never came: it was not taken
		})
	}
	b.RequestReceived()
	all.Wait()
	b.AddClasses([]string{"write"}) // what has vanished keeps its counts
	f := b.Snapshot()
	total := int64(0)
	for _, of := range []map[string]int64{f.Answered, f.Rejected, f.Errored} {
		for _, n := range of {
			total += n
		}
	}
	if total != 8*300+8 || f.InFlight != 1 || f.AttemptsSent != 2400 || f.Answered["gone"] != 300 || f.Errored["read"] != 200 {
		t.Errorf("%+v", f)
	}
	if json.Unmarshal(f.JSON(), &Snapshot{}) != nil {
		t.Error("not in its own form")
	}
}

// TestSetBound adds more class names than are kept: memory is bounded, and no count is lost.
func TestSetBound(t *testing.T) {
	var b Set
	for i := range 3 * maxClasses {
		b.RequestEnded(fmt.Sprint("c", i), Answered, false)
	}
	f := b.Snapshot()
	total := int64(0)
	for _, n := range f.Answered {
		total += n
	}
	if len(f.Answered) > maxClasses+1 || total != 3*maxClasses || f.Answered[OtherClass] == 0 {
		t.Errorf("%d names, %d requests", len(f.Answered), total)
	}
}
