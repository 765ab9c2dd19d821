package frontend

import (
	"math"
	"time"
)

const (
	drainInterval   = 50 * time.Millisecond  // between two batches of connections that are closed
	pendingInterval = 5 * time.Millisecond   // between two checks of the accept queue
	closeInterval   = 10 * time.Millisecond  // between two checks for requests in flight
	flushTime       = 100 * time.Millisecond // for writing the last responses
)

// Retire has another process accept new connections on the same listening socket, which stays open here. Existing connections are
// served on; each response asks its client to connect again.
func (s *Server) Retire() {
	s.retired.Store(true)
	s.setAcceptDeadline(pastDeadline)
}

// Resume ends a retirement.
func (s *Server) Resume() {
	if !s.retired.Load() {
		return
	}
	s.setAcceptDeadline(time.Time{})
	s.retired.Store(false)
	s.wakeAccept()
}

// setAcceptDeadline sets the deadline of the listener's accept, which fails on a closed listener alone.
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

// Shutdown ends the service gracefully. It returns when all requests have their responses, or at the deadline, which whoever serves the
// requests must know beforehand. From now on the readiness check fails.
//
// Until serveUntil, clients are served as before, on existing and on new connections; then each connection is closed after the response
// that it waits for. The listener is closed once its accept queue is empty: the system would reset the connections in it, with the
// requests that were written.
//
// So a planned restart does not reject clients while no other process has taken over: others may just be starting, too, and load
// balancers notice late. Requests that are accepted shortly before the end have less time here than elsewhere; the policy rejects those
// that have too little.
func (s *Server) Shutdown(serveUntil, deadline time.Time) {
	s.shuttingDown.Store(true)
	if s.retired.Load() {
		s.drainIdle(serveUntil)
	} else {
		time.Sleep(time.Until(serveUntil))
	}
	s.closing.Store(true)
	for !s.retired.Load() && s.acceptor.hasPending() && time.Now().Before(deadline) {
		s.acceptor.closeIdle(math.MaxInt)
		time.Sleep(pendingInterval)
	}
	s.acceptor.listener.Close()
	s.wakeAccept()
	for time.Now().Before(deadline.Add(flushTime)) {
		s.acceptor.closeIdle(math.MaxInt)
		if s.isIdle() {
			return
		}
		time.Sleep(closeInterval)
	}
}

// isIdle reports whether there is neither a request in flight nor a connection.
func (s *Server) isIdle() bool { return s.inFlight.Load() == 0 && s.acceptor.count() == 0 }

// drainIdle closes idle connections at a constant rate until the deadline, so that their clients do not all connect to the successor at
// once.
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
