package sidecar

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// reserve is the memory for bodies that another process of an upgrade has.
type reserve struct {
	cancel   context.CancelFunc
	done     chan struct{}
	acquired bool // valid after done is closed
}

// reserveBodies takes half of the memory for bodies out of use, as bodies release it, or gives it back.
func (r *Router) reserveBodies(half bool, all int64) {
	r.reserveMu.Lock()
	defer r.reserveMu.Unlock()
	switch {
	case half && r.reserve == nil:
		ctx, cancel := context.WithCancel(context.Background())
		r.reserve = &reserve{cancel: cancel, done: make(chan struct{})}
		go r.reserve.acquire(ctx, r.bodies, all/2)
	case !half && r.reserve != nil:
		r.reserve.cancel()
		<-r.reserve.done
		if r.reserve.acquired {
			r.bodies.Release(all / 2)
		}
		r.reserve = nil
	}
}

// acquire waits until n bytes are free, or ctx ends.
func (r *reserve) acquire(ctx context.Context, bodies *semaphore.Weighted, n int64) {
	r.acquired = bodies.Acquire(ctx, n) == nil
	close(r.done)
}
