// Package hashring holds a ring of the latest hashes. It bounds the memory of a set that is to remember the latest entries alone: its owner
// deletes from the set what the ring evicts.
package hashring

import "slices"

// Ring holds the latest hashes up to a bound. It is not safe for concurrent use.
type Ring struct {
	hashes []uint64
	next   int // the oldest, once the ring is full
	size   int
}

// New returns an empty ring for size hashes, at least one.
func New(size int) *Ring { return &Ring{size: max(size, 1)} }

// Add adds a hash. Beyond the bound it evicts the oldest one and returns it.
func (r *Ring) Add(hash uint64) (evicted uint64, ok bool) {
	if len(r.hashes) < r.size {
		r.hashes = append(r.hashes, hash)
		return 0, false
	}
	evicted = r.hashes[r.next]
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % r.size
	return evicted, true
}

// Hashes returns a copy of the hashes, in no particular order.
func (r *Ring) Hashes() []uint64 { return slices.Clone(r.hashes) }
