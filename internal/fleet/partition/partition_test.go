package partition

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

func TestLostInstanceCountsUntilHoldExpires(t *testing.T) {
	tr := New("b", 10*time.Second, 10)
	for _, name := range []string{"a", "c", "d", "e"} {
		tr.Update(startTime, name, Alive)
	}
	want := func(at time.Duration, n, place int) {
		t.Helper()
		if gotN, gotPlace, _ := tr.Partition(startTime.Add(at)); gotN != n || gotPlace != place {
			t.Errorf("after %v: %d of %d, want %d of %d", at, gotPlace, gotN, place, n)
		}
	}
	want(0, 5, 1)
	tr.Update(startTime, "a", Left)
	want(0, 4, 0)
	tr.Update(startTime, "c", Dead)
	want(9*time.Second, 4, 0)
	if _, _, next := tr.Partition(startTime); !next.Equal(startTime.Add(10 * time.Second)) {
		t.Errorf("next %v", next)
	}
	want(10*time.Second, 3, 0)
	tr.Update(startTime.Add(11*time.Second), "d", Dead)
	tr.Update(startTime.Add(11*time.Second), "e", Dead)
	want(time.Hour, 3, 0) // cut off, perhaps: the others may still be there
	tr.Update(startTime.Add(time.Hour), "e", Alive)
	want(time.Hour, 2, 0)           // most are there, and one has been lost for long
	tr.Update(startTime, "b", Dead) // what others say of this one
	want(time.Hour, 2, 0)
}

// A fleet is cut into sides, again and again, and heals: no instance counts fewer than it sees, and when all see all again
// each has a place of its own.
func TestCountIncludesReachableInstancesDuringPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "instances")
		trackers := make([]*Tracker, n)
		name := func(i int) string { return fmt.Sprint("i", i) }
		for i := range trackers {
			trackers[i] = New(name(i), 5*time.Second, 20)
		}
		now := startTime
		for range rapid.IntRange(1, 12).Draw(t, "cuts") {
			side := make([]bool, n)
			for i := range side {
				side[i] = rapid.Bool().Draw(t, "side")
			}
			for i, tr := range trackers {
				for j := range trackers {
					s := Dead
					if side[i] == side[j] {
						s = Alive
					}
					tr.Update(now, name(j), s)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			for i, tr := range trackers {
				count, place, _ := tr.Partition(now)
				same := 0
				for j := range side {
					if side[j] == side[i] {
						same++
					}
				}
				if count < same || place < 0 || place >= count {
					t.Fatalf("instance %d: place %d of %d, and sees %d", i, place, count, same)
				}
			}
		}
		for i, tr := range trackers { // all see all: the parts are those of the whole, and no place is taken twice
			for j := range trackers {
				tr.Update(now, name(j), Alive)
			}
			if count, place, _ := tr.Partition(now); count != n || place != i {
				t.Fatalf("instance %d: place %d of %d", i, place, count)
			}
		}
	})
}
