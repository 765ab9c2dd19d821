package peering

import (
	"slices"
	"sync"
	"time"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// siteSessions are the sessions that one site has opened here.
type siteSessions struct {
	sessions        []*inboundSession    // the newest last
	retiredCounters []accounting.Counter // of sessions that are not kept any more
}

// inboundSession is a session that another site has opened.
type inboundSession struct {
	site        string
	id          uint64
	maxInFlight int
	clock       func() int64 // reads this process's clock, in microseconds

	mu        sync.Mutex
	receiver  *accounting.Receiver
	delay     forwarding.DelayEstimator
	roundTrip time.Duration // as the sender measures it
	inFlight  int
	connected bool
}

// openSession opens a session of a site. It returns false if the session exists, or if the site has as many as are kept and
// all are connected or have requests in flight.
func (s *server) openSession(site string, id uint64) (*inboundSession, bool) {
	gateways, _ := s.transport.gatewayCounts()
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.sites[site]
	if received == nil {
		received = &siteSessions{}
		s.sites[site] = received
	}
	if received.find(id) != nil {
		return nil, false
	}
	if len(received.sessions) >= maxSessions*max(gateways, 1) && !received.retireIdle() {
		return nil, false
	}
	session := &inboundSession{
		site:        site,
		id:          id,
		maxInFlight: s.transport.options.MaxInFlight,
		clock:       s.transport.clock,
		receiver:    accounting.NewReceiver(maxUnsettled),
		connected:   true,
	}
	received.sessions = append(received.sessions, session)
	return session, true
}

// findSession returns a session of a site, or nil.
func (s *server) findSession(site string, id uint64) *inboundSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.sites[site]
	if received == nil {
		return nil
	}
	return received.find(id)
}

// find returns a session, or nil.
func (s *siteSessions) find(id uint64) *inboundSession {
	for _, session := range s.sessions {
		if session.id == id {
			return session
		}
	}
	return nil
}

// retireIdle forgets the oldest session that has ended and has nothing in flight, except for its counters.
func (s *siteSessions) retireIdle() bool {
	i := slices.IndexFunc(s.sessions, (*inboundSession).isIdle)
	if i < 0 {
		return false
	}
	retired := s.sessions[i]
	s.sessions = slices.Delete(s.sessions, i, i+1)
	retired.mu.Lock()
	defer retired.mu.Unlock()
	retired.receiver.Close()
	s.retiredCounters = accounting.Merge(s.retiredCounters, retired.receiver.Counters())
	return true
}

// isIdle reports whether the session has ended and has nothing in flight.
func (s *inboundSession) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.connected && s.receiver.IsIdle()
}

// counters returns the counters of what came on the session.
func (s *inboundSession) counters() []accounting.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receiver.Counters()
}

// disconnect records that the session's connection has ended: nothing more of it is received.
func (s *inboundSession) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected = false
	s.receiver.Close()
}

// applyHeartbeat records what a heartbeat says.
func (s *inboundSession) applyHeartbeat(message *heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Forget(message.SettledTo)
	s.roundTrip = time.Duration(message.RoundTrip) * time.Microsecond
	s.queueingDelay(message.Clock)
}

// queueingDelay returns how much longer than usual a message was in transit that was sent at a reading of the sender's
// clock. The caller holds the lock.
func (s *inboundSession) queueingDelay(sentAt int64) time.Duration {
	return s.delay.QueueingDelay(time.Duration(sentAt)*time.Microsecond, time.Duration(s.clock())*time.Microsecond)
}

// admission is what admit decides on a request.
type admission struct {
	timeLeft time.Duration // what is left of the request's time here
	overLimit     bool          // as many requests in flight as the session may have; it was counted nevertheless
}

// admit counts a request that has arrived. After an error it must not run.
func (s *inboundSession) admit(r *Request) (admission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.queueingDelay(r.Clock)
	timeLeft := forwarding.TimeLeftOnArrival(time.Duration(r.TimeLeft)*time.Microsecond, s.roundTrip, delay)
	err := s.receiver.Receive(r.Number, accounting.Kind{Class: r.Class, Tenant: r.Tenant, Reason: r.Reason})
	if err != nil {
		return admission{}, err
	}
	full := s.inFlight >= s.maxInFlight
	if !full {
		s.inFlight++
	}
	return admission{timeLeft, full}, nil
}

// finish records the outcome of a request that was admitted.
func (s *inboundSession) finish(number uint64, outcome accounting.Outcome, admitted admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Resolve(number, outcome)
	if !admitted.overLimit {
		s.inFlight--
	}
}

// outcomesOf returns the outcomes of some numbers, and whether one of them is still pending.
func (s *inboundSession) outcomesOf(numbers []uint64) (outcomes []accounting.Outcome, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range numbers {
		outcome := s.receiver.OutcomeOf(number)
		pending = pending || outcome == accounting.Pending
		outcomes = append(outcomes, outcome)
	}
	return outcomes, pending
}

// closeReceiver ends the session's account: no further request of it is received.
func (s *inboundSession) closeReceiver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Close()
}
