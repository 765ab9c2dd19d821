package gateway

import (
	"maps"
	"slices"
	"sync"
)

// registry is a set of parts of the gateway that are in use. The zero value is empty. All its methods may be called from any goroutine.
type registry[T comparable] struct {
	mu      sync.Mutex
	members map[T]struct{}
}

func (r *registry[T]) add(member T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		r.members = map[T]struct{}{}
	}
	r.members[member] = struct{}{}
}

func (r *registry[T]) remove(member T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.members, member)
}

func (r *registry[T]) all() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.members))
}
