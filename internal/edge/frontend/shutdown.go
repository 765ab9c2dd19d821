package frontend

import (
	"context"
	"math"
	"time"
)

const (
	drainInterval   = 50 * time.Millisecond  // between two batches of idle connections that are closed
	pendingInterval = 5 * time.Millisecond   // between two checks of the accept queue
	closeInterval   = 10 * time.Millisecond  // between two checks for open connections and requests in flight
	resultTime      = 100 * time.Millisecond // after the deadline, for exchanges to return their last results
	flushTime       = 100 * time.Millisecond // after resultTime, to write the last responses
)

// Retire stops accepting connections, because another process accepts them on the same listening socket. The socket stays open in this
// process. Existing connections are served until their next response, which asks the client to connect again (Connection: close).
func (s *Server) Retire() {
	s.retired.Store(true)
	s.setAcceptDeadline(pastDeadline)
}

// Resume accepts connections again after Retire.
func (s *Server) Resume() {
	if !s.retired.Load() {
		return
	}
	s.setAcceptDeadline(time.Time{})
	s.retired.Store(false)
	s.wakeAccept()
}

// setAcceptDeadline sets the deadline of the listener's Accept. Setting it fails only on a closed listener.
func (s *Server) setAcceptDeadline(t time.Time) {
	if l, ok := s.acceptor.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(t)
	}
}

func (s *Server) wakeAccept() {
	select {
	case s.acceptWake <- struct{}{}:
	default:
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.acceptor.listener.Close()
	s.wakeAccept()
	s.acceptor.closeAll()
	return err
}

// Shutdown shuts the server down gracefully. The readiness check fails from the start. Shutdown returns when all requests have their
// responses and all connections are closed, or resultTime and flushTime after the deadline. The caller must give the deadline to the
// exchanges beforehand.
//
// Until serveUntil, clients are served as before, on existing and on new connections. Then the server drains.
//
// Serving until serveUntil avoids rejecting clients during a planned restart while no other process has taken over. Other processes may
// also be starting, and load balancers detect the failed readiness check late. Requests that are accepted shortly before the deadline have
// less time here than elsewhere. The policy rejects those that have too little time.
//
// At the deadline a connection that waits for admission is rejected, as is a request whose body is still being received. A request whose exchange has no result resultTime later gets a
// failure from the server itself, whatever the exchange waits for.
func (s *Server) Shutdown(serveUntil, deadline time.Time) {
	s.shuttingDown.Store(true)
	if s.retired.Load() {
		s.drainIdle(serveUntil)
	} else {
		time.Sleep(time.Until(serveUntil))
	}
	if s.drainUntil(deadline) {
		return
	}
	s.stopReceiving()
	s.acceptor.rejectWaiting()
	if s.drainUntil(deadline.Add(resultTime)) {
		return
	}
	s.respondOverdue()
	s.drainUntil(deadline.Add(resultTime + flushTime))
	s.closeListener()
}

// Drain closes each connection after its current response, and accepts no others. It reports whether all were closed before ctx ended. The
// readiness check fails from the start.
//
// The listener is closed once its accept queue is empty, because closing it earlier would make the system reset the queued connections and
// lose the requests written on them.
func (s *Server) Drain(ctx context.Context) (drained bool) {
	s.shuttingDown.Store(true)
	s.closing.Store(true)
	for !s.retired.Load() && s.acceptor.hasPending() {
		if ctx.Err() != nil {
			return false
		}
		s.acceptor.closeIdle(math.MaxInt)
		time.Sleep(pendingInterval)
	}
	s.closeListener()
	for {
		s.acceptor.closeIdle(math.MaxInt)
		if s.isIdle() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(closeInterval):
		}
	}
}

func (s *Server) closeListener() {
	s.acceptor.listener.Close()
	s.wakeAccept()
}

// drainUntil is Drain with a deadline.
func (s *Server) drainUntil(deadline time.Time) (drained bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Drain(ctx)
}

// respondOverdue responds with a failure to each request whose exchange has no result yet.
func (s *Server) respondOverdue() {
	for _, c := range s.acceptor.conns() {
		if guard := c.guard.Load(); guard != nil {
			guard.expire()
		}
	}
}

// isIdle reports whether there is neither a request in flight nor a connection.
func (s *Server) isIdle() bool { return s.inFlight.Load() == 0 && s.acceptor.count() == 0 }

// drainIdle closes idle connections at a constant rate until the deadline, so that their clients do not all reconnect to the successor
// process at once.
func (s *Server) drainIdle(deadline time.Time) {
	for {
		left := time.Until(deadline)
		if left <= 0 || s.isIdle() {
			return
		}
		share := float64(s.acceptor.count()) * float64(drainInterval) / float64(max(left, drainInterval))
		s.acceptor.closeIdle(int(math.Ceil(share)))
		time.Sleep(min(drainInterval, left))
	}
}
