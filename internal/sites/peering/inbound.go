package peering

import (
	"slices"
	"sync"
	"time"

	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// siteSessions are the inbound sessions of one site.
type siteSessions struct {
	sessions        []*inboundSession    // oldest first
	retiredCounters []accounting.Counter // of sessions that are no longer kept
}

// inboundSession is the receiving end of a session that a gateway of another site has opened.
type inboundSession struct {
	site        string
	id          uint64
	maxInFlight int
	clock       func() int64 // time since the start of this process, in microseconds

	mu        sync.Mutex
	receiver  *accounting.Receiver
	delay     forwarding.DelayEstimator
	roundTrip time.Duration // measured by the sender
	inFlight  int           // requests being served, without those over the limit
	connected bool
}

// openSession opens a session of a site. It returns false if the session exists already, or if the site has reached its
// limit of sessions and all of them are connected or have requests in flight.
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

// findSession returns the session of a site with the given ID, or nil.
func (s *server) findSession(site string, id uint64) *inboundSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.sites[site]
	if received == nil {
		return nil
	}
	return received.find(id)
}

// find returns the session with the given ID, or nil.
func (s *siteSessions) find(id uint64) *inboundSession {
	for _, session := range s.sessions {
		if session.id == id {
			return session
		}
	}
	return nil
}

// retireIdle removes the oldest idle session and adds its counters to retiredCounters. It returns false if no session is
// idle.
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

// isIdle reports whether the session is disconnected and has no requests in flight.
func (s *inboundSession) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.connected && s.receiver.IsIdle()
}

// counters returns the counters of the requests received on the session.
func (s *inboundSession) counters() []accounting.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receiver.Counters()
}

// disconnect records that the session's connection has ended. No further request of the session is accepted.
func (s *inboundSession) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected = false
	s.receiver.Close()
}

// applyHeartbeat updates the session from a heartbeat: it drops outcomes that the sender knows, and records the round trip
// and a sample of the transit delay.
func (s *inboundSession) applyHeartbeat(message *heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Forget(message.SettledTo)
	s.roundTrip = time.Duration(message.RoundTrip) * time.Microsecond
	s.queueingDelay(message.Clock)
}

// queueingDelay returns how much longer a message was in transit than the quickest recent one. sentAt is the sender's clock
// when it sent the message, in microseconds. The caller holds the lock.
func (s *inboundSession) queueingDelay(sentAt int64) time.Duration {
	return s.delay.QueueingDelay(time.Duration(sentAt)*time.Microsecond, time.Duration(s.clock())*time.Microsecond)
}

// admission is the result of admitting a request.
type admission struct {
	timeLeft  time.Duration // until the deadline of the request, on arrival
	overLimit bool          // the session has maxInFlight requests; the request is counted, but must be rejected
}

// admit counts a request that has arrived. If it returns an error, the request is not counted and must not run.
func (s *inboundSession) admit(r *Request) (admission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.queueingDelay(r.Clock)
	timeLeft := forwarding.TimeLeftOnArrival(time.Duration(r.TimeLeft)*time.Microsecond, s.roundTrip, delay)
	err := s.receiver.Receive(r.Number, accounting.Kind{Class: r.Class, Tenant: r.Tenant, Reason: r.Reason})
	if err != nil {
		return admission{}, err
	}
	overLimit := s.inFlight >= s.maxInFlight
	if !overLimit {
		s.inFlight++
	}
	return admission{timeLeft, overLimit}, nil
}

// finish records the outcome of a request that admit has counted.
func (s *inboundSession) finish(number uint64, outcome accounting.Outcome, admitted admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Resolve(number, outcome)
	if !admitted.overLimit {
		s.inFlight--
	}
}

// outcomesOf returns the outcomes of the requests with the given numbers, and whether any is still pending. A number that
// has not arrived by now is rejected if it arrives later.
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

// closeReceiver ends the session's accounting. No further request of the session is accepted.
func (s *inboundSession) closeReceiver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver.Close()
}
