package timerqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPopReturnsEarliestDueValue compares random pushes and pops with a sorted slice.
func TestPopReturnsEarliestDueValue(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var queued []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				at := rapid.IntRange(0, 100).Draw(t, "at")
				q.Push(t0.Add(time.Duration(at)), at)
				queued = append(queued, at)
				slices.Sort(queued)
				continue
			}
			now := rapid.IntRange(0, 100).Draw(t, "now")
			at, ok := q.Pop(t0.Add(time.Duration(now)))
			if ok != (len(queued) > 0 && queued[0] <= now) || ok && at != queued[0] {
				t.Fatalf("Pop = %d, %t at time %d; queued due times %v", at, ok, now, queued)
			}
			if ok {
				queued = queued[1:]
			}
		}
		next, ok := q.Next()
		if q.Len() != len(queued) || ok != (len(queued) > 0) || ok && !next.Equal(t0.Add(time.Duration(queued[0]))) {
			t.Fatalf("%d values left, next due at %v; want the due times %v", q.Len(), next, queued)
		}
	})
}
