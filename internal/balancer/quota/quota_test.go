package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
)

// For any sequence of calls, the total of the pool and the limits of the allocations hold, and no allocation is refused units within
// its reserve. Units are refused only if the limit or the unreserved part of the pool does not allow them.
func TestLimitsAndReservesHold(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	for range 200 {
		const total = 100
		pool := NewPool(total)
		reserves := []int64{random.Int64N(30), random.Int64N(30), random.Int64N(40)}
		var allocations []*Allocation
		for _, reserve := range reserves {
			allocations = append(allocations, pool.Allocate(reserve, reserve+random.Int64N(60)))
		}
		inUse := make([]int64, len(allocations))
		for range 500 {
			i := random.IntN(len(allocations))
			allocation, n := allocations[i], 1+random.Int64N(12)
			if random.IntN(2) == 0 {
				n = min(n, inUse[i])
				allocation.Release(n)
				inUse[i] -= n
				continue
			}
			ok := allocation.TryAcquire(n)
			if !ok && inUse[i]+n <= allocation.reserve {
				t.Fatalf("%d units refused within the reserve: %d of %d in use", n, inUse[i], allocation.reserve)
			}
			if ok {
				inUse[i] += n
			}
			sum := int64(0)
			for j, units := range inUse {
				sum += units
				if units > allocations[j].limit || units != allocations[j].Used() {
					t.Fatalf("allocation %d has %d units in use, over its limit %d or not what Used returns", j, units, allocations[j].limit)
				}
			}
			if sum > total || sum != pool.Used() {
				t.Fatalf("%d of %d units in use, Used of the pool returns %d", sum, total, pool.Used())
			}
			// Units are refused only if they exceed the limit or the part of the pool that is neither in use nor reserved.
			free := int64(total)
			for j, units := range inUse {
				free -= max(units, reserves[j])
			}
			if !ok && inUse[i]+n <= allocation.limit && n <= free {
				t.Fatalf("%d units refused although %d are free", n, free)
			}
		}
	}
}

func TestCloseAndResizeApplyToLaterCalls(t *testing.T) {
	pool := NewPool(10)
	a, b := pool.Allocate(2, 10), pool.Allocate(2, 10)
	if !a.TryAcquire(8) || a.TryAcquire(1) || !b.TryAcquire(2) || b.TryAcquire(1) {
		t.Fatal("the first allocation must get 8 of 10 units and no more, and the second its reserve of 2 and no more")
	}
	a.Close() // with 8 units in use
	if a.TryAcquire(1) || b.TryAcquire(1) {
		t.Error("TryAcquire succeeded while all units were in use")
	}
	a.Release(8)
	if !b.TryAcquire(8) || pool.Used() != 10 {
		t.Error("units that a closed allocation released are not available to the other one")
	}
	b.Resize(0, 4)
	b.Release(5)
	if b.TryAcquire(1) {
		t.Error("TryAcquire succeeded above the new limit")
	}
	if err := b.Acquire(context.Background(), 1); !errors.Is(err, ErrExhausted) {
		t.Error(err)
	}
	defer func() {
		if recover() == nil {
			t.Error("Release of more units than are in use did not panic")
		}
	}()
	b.Release(6)
}

func TestConcurrentUseKeepsTotal(t *testing.T) {
	pool := NewPool(16)
	var goroutines sync.WaitGroup
	for range 4 {
		allocation := pool.Allocate(2, 8)
		for range 4 {
			goroutines.Go(func() {
				for range 2000 {
					if allocation.TryAcquire(3) {
						if pool.Used() > 16 {
							t.Error("more units in use than the total of the pool")
						}
						allocation.Release(3)
					}
				}
			})
		}
	}
	goroutines.Wait()
	if pool.Used() != 0 {
		t.Errorf("%d units in use after all were released", pool.Used())
	}
}
