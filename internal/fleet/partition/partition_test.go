package partition

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

// A lost instance counts until its hold time has passed, and longer while most instances are lost. An instance
// that has left is dropped immediately.
func TestLostInstanceCountsUntilHoldExpires(t *testing.T) {
	tracker := New("b", 10*time.Second, 10)
	for _, name := range []string{"a", "c", "d", "e"} {
		tracker.Update(startTime, name, Alive)
	}
	expectPartition := func(at time.Duration, instances, index int) {
		t.Helper()
		if gotInstances, gotIndex, _ := tracker.Partition(startTime.Add(at)); gotInstances != instances || gotIndex != index {
			t.Errorf("after %v: index %d of %d instances, want %d of %d", at, gotIndex, gotInstances, index, instances)
		}
	}
	expectPartition(0, 5, 1)
	tracker.Update(startTime, "a", Left)
	expectPartition(0, 4, 0)
	tracker.Update(startTime, "c", Dead)
	expectPartition(9*time.Second, 4, 0)
	if _, _, next := tracker.Partition(startTime); !next.Equal(startTime.Add(10 * time.Second)) {
		t.Errorf("result may change at %v, want 10 s after the loss", next)
	}
	expectPartition(10*time.Second, 3, 0)
	tracker.Update(startTime.Add(11*time.Second), "d", Dead)
	tracker.Update(startTime.Add(11*time.Second), "e", Dead)
	expectPartition(time.Hour, 3, 0) // this instance may be isolated: the others may still be running
	tracker.Update(startTime.Add(time.Hour), "e", Alive)
	expectPartition(time.Hour, 2, 0)     // a majority is alive again, and d has been lost for longer than the hold time
	tracker.Update(startTime, "b", Dead) // reports about this instance itself are ignored
	expectPartition(time.Hour, 2, 0)
}

// The network is partitioned repeatedly and then heals. No instance counts fewer instances than it reaches. Once all instances
// reach each other, each has an index of its own.
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
			for i, tracker := range trackers {
				for j := range trackers {
					state := Dead
					if side[i] == side[j] {
						state = Alive
					}
					tracker.Update(now, name(j), state)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			for i, tracker := range trackers {
				count, index, _ := tracker.Partition(now)
				reachable := 0
				for j := range side {
					if side[j] == side[i] {
						reachable++
					}
				}
				if count < reachable || index < 0 || index >= count {
					t.Fatalf("instance %d has index %d of %d instances, and reaches %d", i, index, count, reachable)
				}
			}
		}
		for i, tracker := range trackers { // all instances reach each other: the shares add up to the limit, and no index is used twice
			for j := range trackers {
				tracker.Update(now, name(j), Alive)
			}
			if count, index, _ := tracker.Partition(now); count != n || index != i {
				t.Fatalf("instance %d has index %d of %d instances, want its own index among all", i, index, count)
			}
		}
	})
}
