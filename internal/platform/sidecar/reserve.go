package sidecar

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// reserve is the part of the memory for request bodies that is set aside for another process of an upgrade.
type reserve struct {
	cancel   context.CancelFunc
	done     chan struct{}
	acquired bool // valid after done is closed
}

// reserveBodies reserves half of the total bytes for request bodies, as soon as bodies in use release them. If half is false,
// it releases the reserve.
func (r *Router) reserveBodies(half bool, total int64) {
	r.reserveMu.Lock()
	defer r.reserveMu.Unlock()
	switch {
	case half && r.reserve == nil:
		ctx, cancel := context.WithCancel(context.Background())
		r.reserve = &reserve{cancel: cancel, done: make(chan struct{})}
		go r.reserve.acquire(ctx, r.bodies, total/2)
	case !half && r.reserve != nil:
		r.reserve.cancel()
		<-r.reserve.done
		if r.reserve.acquired {
			r.bodies.Release(total / 2)
		}
		r.reserve = nil
	}
}

// acquire acquires n bytes. It waits until they are free or ctx ends.
func (r *reserve) acquire(ctx context.Context, bodies *semaphore.Weighted, n int64) {
	r.acquired = bodies.Acquire(ctx, n) == nil
	close(r.done)
}
