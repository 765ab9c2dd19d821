package timerqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestQueue(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var waiting []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				at := rapid.IntRange(0, 100).Draw(t, "at")
				q.Push(t0.Add(time.Duration(at)), at)
				waiting = append(waiting, at)
				slices.Sort(waiting)
				continue
			}
			now := rapid.IntRange(0, 100).Draw(t, "now")
			at, ok := q.Pop(t0.Add(time.Duration(now)))
			if ok != (len(waiting) > 0 && waiting[0] <= now) || ok && at != waiting[0] {
				t.Fatalf("popped %d %t at %d of %v", at, ok, now, waiting)
			}
			if ok {
				waiting = waiting[1:]
			}
		}
		next, ok := q.Next()
		if q.Len() != len(waiting) || ok != (len(waiting) > 0) || ok && !next.Equal(t0.Add(time.Duration(waiting[0]))) {
			t.Fatalf("%d left, next %v, want %v", q.Len(), next, waiting)
		}
	})
}
