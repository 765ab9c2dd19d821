package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// shutdownDeadline is the time by which every request has its response once the gateway shuts down. It bounds what an exchange waits for
// beside its clusters, whose engines have the deadline, too. All its methods may be called from any goroutine.
type shutdownDeadline struct {
	at     atomic.Pointer[time.Time] // nil: not shutting down
	begun  context.Context           // ends when the shutdown begins
	begin  context.CancelFunc        // ends begun
	passed context.Context           // ends at the deadline
	expire context.CancelFunc        // ends passed
}

func newShutdownDeadline() *shutdownDeadline {
	s := &shutdownDeadline{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.passed, s.expire = context.WithCancel(context.Background())
	return s
}

// set begins the shutdown. It is called once.
func (s *shutdownDeadline) set(at time.Time) {
	s.at.Store(&at)
	s.begin()
	time.AfterFunc(time.Until(at), s.expire)
}

// limit returns the earlier one of a time and the deadline of the shutdown, if that has begun.
func (s *shutdownDeadline) limit(t time.Time) time.Time {
	if at := s.at.Load(); at != nil && at.Before(t) {
		return *at
	}
	return t
}

// withDeadline returns a context that ends at a time, or at the deadline of a shutdown that has begun or begins later.
func (s *shutdownDeadline) withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, s.limit(at))
	stop := context.AfterFunc(s.passed, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
