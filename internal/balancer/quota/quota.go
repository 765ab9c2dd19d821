// Package quota shares a bounded resource of the process (connections, bytes of bodies, calls in work) among clusters,
// so that one that hangs can't take what the others need. It does no I/O, has no clock and never waits: what is not to
// be had now is refused now.
//
// Each share has a reserve that nobody else can use and a cap that it can't pass; what lies between is first come,
// first served from the part that is reserved for nobody.
package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// ErrExhausted says that a share has no room now.
var ErrExhausted = errors.New("limit: exhausted")

// Pool is a resource. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	total     int64
	used      int64
	committed int64 // sum over the shares of the larger of reserve and use
}

// NewPool returns a pool of total units.
func NewPool(total int64) *Pool { return &Pool{total: total} }

// Resize changes the total. What is in use stays in use.
func (p *Pool) Resize(total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = total
}

// Used returns the units in use.
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

// Allocate returns a new share with a reserve and a cap. It always succeeds; where the reserves together pass the total,
// the pool's bound still holds and the reserves do not (configurations are checked for that beforehand).
func (p *Pool) Allocate(reserve, most int64) *Allocation {
	s := &Allocation{pool: p}
	s.Resize(reserve, most)
	return s
}

// Resize changes reserve and cap. What is in use stays in use; above the new cap nothing is added until it has fallen.
func (s *Allocation) Resize(reserve, most int64) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.committed += max(reserve, s.used) - max(s.reserve, s.used)
	s.reserve, s.limit = reserve, most
}

// Close gives the reserve back. Units in use stay so until they are released.
func (s *Allocation) Close() { s.Resize(0, 0) }

// Used returns the units that the share has in use.
func (s *Allocation) Used() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.used
}

// TryAcquire takes n units, or none.
func (s *Allocation) TryAcquire(n int64) bool {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	more := max(s.reserve, s.used+n) - max(s.reserve, s.used)
	if n < 0 || s.used+n > s.limit || p.used+n > p.total || more > 0 && p.committed+more > p.total {
		return false
	}
	s.used += n
	p.used += n
	p.committed += more
	return true
}

// Acquire is TryAcquire in the form of a semaphore. It never waits: a request that waits for memory holds a connection
// that others could use.
func (s *Allocation) Acquire(_ context.Context, n int64) error {
	if !s.TryAcquire(n) {
		return fmt.Errorf("%w: %d more than there is", ErrExhausted, n)
	}
	return nil
}

// Release gives n units back. To give back more than is held is a fault of the program.
func (s *Allocation) Release(n int64) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if n < 0 || n > s.used {
		panic("limit: released more than held")
	}
	p.committed -= max(s.reserve, s.used) - max(s.reserve, s.used-n)
	s.used -= n
	p.used -= n
}
