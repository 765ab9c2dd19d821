package peering

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// drainTimeout bounds how long a session that the other end drains may go on.
const drainTimeout = time.Minute

// gateway is one gateway of another site: the sessions in use, and earlier ones that may not be settled.
type gateway struct {
	transport    *Transport
	site         string
	address      string
	ctx          context.Context
	cancel       context.CancelFunc
	availability forwarding.Gateway // guarded by the transport's lock

	mu              sync.Mutex
	sessions        []*session
	endedSessions   []*session           // the newest last, at most maxSessions
	retiredCounters []accounting.Counter // of sessions that are not kept any more
	sessionCount    int
	since           time.Time
	lastError       string
}

func newGateway(t *Transport, site, address string) *gateway {
	g := &gateway{transport: t, site: site, address: address, since: time.Now()}
	g.ctx, g.cancel = context.WithCancel(t.ctx)
	return g
}

// run keeps the configured number of sessions until the gateway is cancelled. With several, a packet lost on one
// connection does not hold up all requests.
func (g *gateway) run() {
	defer g.cancel()
	var sessions sync.WaitGroup
	for range g.transport.options.Connections {
		sessions.Go(g.maintainSession)
	}
	sessions.Wait()
}

// maintainSession keeps one session, and connects again with backoff.
func (g *gateway) maintainSession() {
	backoff := minBackoff
	for g.ctx.Err() == nil {
		s, err := g.connect()
		if err == nil {
			g.transport.log.Info("link up", "to", g.site, "address", g.address)
			err = s.run()
			g.retire(s)
		}
		if g.ctx.Err() != nil {
			break
		}
		g.recordError(err, s != nil)
		if s != nil { // it was up: what has broken it does not keep the next one from coming up
			backoff = minBackoff
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordError records and logs why there is no session. While connecting fails for the same reason it is logged once.
func (g *gateway) recordError(err error, wasUp bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastError != err.Error() || wasUp {
		g.transport.log.Warn("link down", "to", g.site, "address", g.address, "error", err)
	}
	g.lastError = err.Error()
}

// add takes a session into use.
func (g *gateway) add(s *session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sessions) == 0 {
		g.since = time.Now()
	}
	g.sessions = append(g.sessions, s)
	g.lastError = ""
	g.sessionCount++
}

// pickSession returns the session in use with the fewest requests in flight, or nil.
func (g *gateway) pickSession() *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *session
	fewest := 0
	for _, s := range g.sessions {
		if !s.client.CanTakeNewRequest() {
			s.wake() // it has broken, and its heartbeat has not noticed yet
			continue
		}
		if inFlight := s.inFlight(); best == nil || inFlight < fewest {
			best, fewest = s, inFlight
		}
	}
	return best
}

// retire takes a session out of use. Requests in flight on it are settled over the next session: all of them at once, as
// the connection is closed. If the other end only asks for a new connection, they are still answered.
func (g *gateway) retire(s *session) {
	g.mu.Lock()
	g.sessions = slices.DeleteFunc(g.sessions, func(other *session) bool { return other == s })
	if len(g.sessions) == 0 {
		g.since = time.Now()
		g.transport.markDisconnected(g)
	}
	g.endedSessions = append(g.endedSessions, s)
	if len(g.endedSessions) > maxSessions {
		oldest := g.endedSessions[0]
		g.endedSessions = g.endedSessions[1:]
		g.retiredCounters = accounting.Merge(g.retiredCounters, oldest.counters())
	}
	g.mu.Unlock()
	state := s.client.State()
	if !state.Closing || state.Closed || g.ctx.Err() != nil {
		s.end()
		return
	}
	g.transport.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, drainTimeout)
		defer cancel()
		_ = s.client.Shutdown(ctx) // what is not answered in time is settled
		s.end()
	})
}

// forward sends a request over a session in use.
func (g *gateway) forward(ctx context.Context, r *Request) ForwardResult {
	s := g.pickSession()
	if s == nil || !s.client.ReserveNewRequest() { // no session, or as many requests in flight as the other end allows
		return ForwardResult{Outcome: accounting.NeverRan}
	}
	return s.forward(ctx, r)
}

// lookup asks the gateway what it knows of a key.
func (g *gateway) lookup(ctx context.Context, id idempotency.KeyID) (KeyLocation, error) {
	s := g.pickSession()
	if s == nil {
		return KeyLocation{}, fmt.Errorf("link: %s at %s is out of reach", g.site, g.address)
	}
	var location KeyLocation
	err := s.request(ctx, pathLookup, &lookupRequest{ID: id}, &location)
	return location, err
}

// inFlight returns the number of requests forwarded to the gateway and not answered.
func (g *gateway) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.sessions {
		n += s.inFlight()
	}
	return n
}

// allSessions returns the sessions that are kept, ended ones first.
func (g *gateway) allSessions() []*session {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allSessionsLocked()
}

// allSessionsLocked is allSessions for a caller that holds the lock.
func (g *gateway) allSessionsLocked() []*session {
	return append(slices.Clone(g.endedSessions), g.sessions...)
}

// status returns the gateway's status without its state, and the counters of what was sent to it.
func (g *gateway) status() (GatewayStatus, []accounting.Counter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := GatewayStatus{Address: g.address, Since: g.since, Sessions: g.sessionCount, LastError: g.lastError}
	sent := g.retiredCounters
	for _, s := range g.allSessionsLocked() {
		sent = accounting.Merge(sent, s.counters())
		status.Unsettled += s.inFlight()
	}
	return status, sent
}

// reconcile asks the other end for its counters of the sessions that are kept, and returns those that differ.
func (g *gateway) reconcile(ctx context.Context) (out []SessionDifference, compared int, err error) {
	sessions := g.allSessions()
	current := g.pickSession()
	if current == nil {
		return nil, 0, fmt.Errorf("link: %s is out of reach: nothing could be compared", g.site)
	}
	var request countersRequest
	for _, s := range sessions {
		request.Sessions = append(request.Sessions, s.id)
	}
	var response countersResponse
	if err := current.request(ctx, pathAccounts, &request, &response); err != nil {
		return nil, 0, err
	}
	for _, s := range sessions {
		theirs, known := response.Counters[s.id]
		if !known {
			continue // the process that received it has ended
		}
		compared++
		for _, difference := range accounting.Reconcile(s.counters(), theirs) {
			out = append(out, SessionDifference{s.id, difference})
		}
	}
	return out, compared, nil
}
