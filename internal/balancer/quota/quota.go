// Package quota divides a bounded resource of the process (connections, bytes of bodies, requests in progress) among clusters, so
// that a cluster that hangs cannot use up the units that the others need. It does no I/O, reads no clock and never waits: units that
// are not available now are refused at once.
//
// Each allocation has a reserve, which no other allocation can use, and a limit. Units between the reserve and the limit are granted
// first come, first served, from the part of the pool that no allocation has reserved.
package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// ErrExhausted means that the units requested from an allocation are not available now.
var ErrExhausted = errors.New("quota: exhausted")

// Pool is a bounded resource. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	total     int64
	used      int64
	committed int64 // the sum over the allocations of the larger of reserve and use
}

// NewPool returns a pool with a total number of units.
func NewPool(total int64) *Pool { return &Pool{total: total} }

// Resize changes the total number of units. Units in use stay in use.
func (p *Pool) Resize(total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = total
}

// Used returns the number of units in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Allocation is one cluster's part of a pool. It is safe for concurrent use.
type Allocation struct {
	pool           *Pool
	reserve, limit int64
	used           int64
}

// Allocate returns a new allocation with a reserve and a limit. It always succeeds. If the reserves together exceed the pool, the total
// of the pool holds and the reserves are not guaranteed. The configuration is checked for that beforehand.
func (p *Pool) Allocate(reserve, limit int64) *Allocation {
	a := &Allocation{pool: p}
	a.Resize(reserve, limit)
	return a
}

// Resize changes the reserve and the limit. Units in use stay in use, but none are added above the new limit.
func (a *Allocation) Resize(reserve, limit int64) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.committed += max(reserve, a.used) - max(a.reserve, a.used)
	a.reserve, a.limit = reserve, limit
}

// Close gives up the reserve. Units in use stay in use until they are released.
func (a *Allocation) Close() { a.Resize(0, 0) }

// Used returns the number of units that the allocation has in use.
func (a *Allocation) Used() int64 {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.used
}

// TryAcquire takes n units. If not all of them are available it takes none and returns false.
func (a *Allocation) TryAcquire(n int64) bool {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	committed := max(a.reserve, a.used+n) - max(a.reserve, a.used)
	switch {
	case n < 0, a.used+n > a.limit, p.used+n > p.total:
		return false
	case committed > 0 && p.committed+committed > p.total:
		return false
	}
	a.used += n
	p.used += n
	p.committed += committed
	return true
}

// Acquire is TryAcquire with the signature of a semaphore. It never waits, because a request that waited for memory would hold a
// connection that others could use.
func (a *Allocation) Acquire(_ context.Context, n int64) error {
	if !a.TryAcquire(n) {
		return fmt.Errorf("%w: %d units requested, fewer available", ErrExhausted, n)
	}
	return nil
}

// Release returns n units. It panics if the allocation has fewer in use.
func (a *Allocation) Release(n int64) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if n < 0 || n > a.used {
		panic("quota: released more units than are in use")
	}
	p.committed -= max(a.reserve, a.used) - max(a.reserve, a.used-n)
	a.used -= n
	p.used -= n
}
