// Package hashring implements a ring buffer of the latest hashes. It bounds the memory of a set that remembers only the latest
// entries: the owner of the set deletes from it each hash that the ring evicts.
package hashring

import "slices"

// Ring holds the latest hashes, up to a fixed number. It is not safe for concurrent use.
type Ring struct {
	hashes []uint64
	next   int // index of the oldest hash, once the ring is full
	size   int
}

// New returns an empty ring for size hashes. A size below one counts as one.
func New(size int) *Ring { return &Ring{size: max(size, 1)} }

// Add adds a hash. If the ring is full, Add evicts the oldest hash and returns it.
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
