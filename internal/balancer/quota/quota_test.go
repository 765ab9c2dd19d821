package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
)

// Whatever comes: the total holds, no share passes its cap, and a share under its reserve is never refused.
func TestModel(t *testing.T) {
	d := rand.New(rand.NewPCG(3, 5))
	for range 200 {
		const total = 100
		p := NewPool(total)
		reserves := []int64{d.Int64N(30), d.Int64N(30), d.Int64N(40)}
		var shares []*Allocation
		for _, r := range reserves {
			shares = append(shares, p.Allocate(r, r+d.Int64N(60)))
		}
		held := make([]int64, len(shares))
		for range 500 {
			i := d.IntN(len(shares))
			s, n := shares[i], 1+d.Int64N(12)
			if d.IntN(2) == 0 {
				n = min(n, held[i])
				s.Release(n)
				held[i] -= n
				continue
			}
			ok := s.TryAcquire(n)
			if !ok && held[i]+n <= s.reserve {
				t.Fatalf("refused %d within its reserve: holds %d of %d", n, held[i], s.reserve)
			}
			if ok {
				held[i] += n
			}
			sum := int64(0)
			for j, h := range held {
				sum += h
				if h > shares[j].limit || h != shares[j].Used() {
					t.Fatalf("share %d holds %d of %d", j, h, shares[j].limit)
				}
			}
			if sum > total || sum != p.Used() {
				t.Fatalf("%d of %d in use, the pool says %d", sum, total, p.Used())
			}
			// Not refused for nothing: there was no room at all, in the cap or in what is nobody's reserve.
			free := int64(total)
			for j, h := range held {
				free -= max(h, reserves[j])
			}
			if !ok && held[i]+n <= s.limit && n <= free {
				t.Fatalf("refused %d where %d are free", n, free)
			}
		}
	}
}

func TestResize(t *testing.T) {
	p := NewPool(10)
	a, b := p.Allocate(2, 10), p.Allocate(2, 10)
	if !a.TryAcquire(8) || a.TryAcquire(1) || !b.TryAcquire(2) || b.TryAcquire(1) {
		t.Fatal("shares at the start")
	}
	a.Close() // with 8 in use
	if a.TryAcquire(1) || b.TryAcquire(1) {
		t.Error("given while all is in use")
	}
	a.Release(8)
	if !b.TryAcquire(8) || p.Used() != 10 {
		t.Error("what a closed share gave back is not to be had")
	}
	b.Resize(0, 4)
	b.Release(5)
	if b.TryAcquire(1) {
		t.Error("passed its new cap")
	}
	if err := b.Acquire(context.Background(), 1); !errors.Is(err, ErrExhausted) {
		t.Error(err)
	}
	defer func() {
		if recover() == nil {
			t.Error("more given back than held")
		}
	}()
	b.Release(6)
}

func TestConcurrent(t *testing.T) {
	p := NewPool(16)
	var all sync.WaitGroup
	for range 4 {
		s := p.Allocate(2, 8)
		for range 4 {
			all.Go(func() {
				for range 2000 {
					if s.TryAcquire(3) {
						if p.Used() > 16 {
							t.Error("over the total")
						}
						s.Release(3)
					}
				}
			})
		}
	}
	all.Wait()
	if p.Used() != 0 {
		t.Errorf("%d left", p.Used())
	}
}
