package counters

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// TestEachOutcomeIsCountedOnce has several goroutines count requests. No count may be lost, and removed classes must keep their
// counts.
func TestEachOutcomeIsCountedOnce(t *testing.T) {
	var set Set
	set.AddClasses([]string{"read", "write"})
	if text := string(set.Snapshot().JSON()); !strings.Contains(text, `"answered":{"read":0,"write":0}`) || !strings.HasSuffix(text, "}\n") {
		t.Error(text)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 300 {
				set.RequestReceived()
				set.AttemptsSent.Add(1)
				set.RequestEnded([]string{"read", "write", "gone"}[n%3], Outcome(i%3), true)
			}
			set.RequestEnded("read", Rejected, false) // the request's body never arrived, so it was not received
		})
	}
	set.RequestReceived()
	wg.Wait()
	set.AddClasses([]string{"write"}) // a class that is no longer configured keeps its counts
	snapshot := set.Snapshot()
	total := int64(0)
	for _, byClass := range []map[string]int64{snapshot.Answered, snapshot.Rejected, snapshot.Errored} {
		for _, n := range byClass {
			total += n
		}
	}
	if total != 8*300+8 || snapshot.InFlight != 1 || snapshot.AttemptsSent != 2400 || snapshot.Answered["gone"] != 300 || snapshot.Errored["read"] != 200 {
		t.Errorf("unexpected counters: %+v", snapshot)
	}
	if json.Unmarshal(snapshot.JSON(), &Snapshot{}) != nil {
		t.Error("the JSON of a snapshot cannot be decoded into a Snapshot")
	}
}

// TestClassesBeyondLimitCountUnderOtherClass counts requests of more classes than maxClasses. The number of class names must
// stay bounded, and no count may be lost.
func TestClassesBeyondLimitCountUnderOtherClass(t *testing.T) {
	var set Set
	for i := range 3 * maxClasses {
		set.RequestEnded(fmt.Sprint("c", i), Answered, false)
	}
	snapshot := set.Snapshot()
	total := int64(0)
	for _, n := range snapshot.Answered {
		total += n
	}
	if len(snapshot.Answered) > maxClasses+1 || total != 3*maxClasses || snapshot.Answered[OtherClass] == 0 {
		t.Errorf("unexpected counters: %d class names, %d requests", len(snapshot.Answered), total)
	}
}
