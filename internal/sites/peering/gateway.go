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

// drainTimeout is how long requests in flight may still be answered on a session that the remote gateway drains.
const drainTimeout = time.Minute

// gateway is one remote gateway, with the sessions in use and earlier sessions whose requests may not be settled.
type gateway struct {
	transport    *Transport
	site         string
	address      string
	ctx          context.Context
	cancel       context.CancelFunc
	availability forwarding.Gateway // guarded by Transport.mu

	mu              sync.Mutex
	sessions        []*session
	endedSessions   []*session           // oldest first, at most maxSessions
	retiredCounters []accounting.Counter // of sessions that are no longer kept
	sessionCount    int                  // sessions opened so far
	since           time.Time            // when the first session came into use, or the last one went out of use
	lastError       string               // of the last session or connect that failed; empty after a successful connect
}

func newGateway(t *Transport, site, address string) *gateway {
	g := &gateway{transport: t, site: site, address: address, since: time.Now()}
	g.ctx, g.cancel = context.WithCancel(t.ctx)
	return g
}

// run maintains the configured number of sessions until the gateway is cancelled. With several sessions, a lost packet
// delays only the requests on its own connection.
func (g *gateway) run() {
	defer g.cancel()
	var sessions sync.WaitGroup
	for range g.transport.options.Connections {
		sessions.Go(g.maintainSession)
	}
	sessions.Wait()
}

// maintainSession keeps one session connected. After a failure it reconnects with exponential backoff and jitter.
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
		if s != nil { // the connect succeeded, so the reason that ended the session does not call for a longer backoff
			backoff = minBackoff
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordError records and logs why a session ended or could not be opened. Repeated connect failures with the same error
// are logged once.
func (g *gateway) recordError(err error, wasUp bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastError != err.Error() || wasUp {
		g.transport.log.Warn("link down", "to", g.site, "address", g.address, "error", err)
	}
	g.lastError = err.Error()
}

// add puts a session into use.
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

// pickSession returns the session in use with the fewest requests in flight, or nil if no session can take a request.
func (g *gateway) pickSession() *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *session
	fewest := 0
	for _, s := range g.sessions {
		if !s.client.CanTakeNewRequest() {
			s.wake() // the connection may be broken: run checks it without waiting for the next heartbeat
			continue
		}
		if inFlight := s.inFlight(); best == nil || inFlight < fewest {
			best, fewest = s, inFlight
		}
	}
	return best
}

// retire takes a session out of use. Normally it closes the connection, so that all requests in flight are settled over
// the next session at once. If the remote gateway is draining, the connection stays open for up to drainTimeout so that
// requests in flight are still answered.
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
		_ = s.client.Shutdown(ctx) // requests not answered within drainTimeout are settled
		s.end()
	})
}

// forward sends a request over the least loaded session. Without a session or a free stream it sends nothing.
func (g *gateway) forward(ctx context.Context, r *Request) ForwardResult {
	s := g.pickSession()
	if s == nil || !s.client.ReserveNewRequest() { // no session, or at the remote gateway's limit on streams
		return ForwardResult{Outcome: accounting.NeverRan}
	}
	return s.forward(ctx, r)
}

// lookup asks the remote gateway what it knows about an idempotency key.
func (g *gateway) lookup(ctx context.Context, id idempotency.KeyID) (KeyLocation, error) {
	s := g.pickSession()
	if s == nil {
		return KeyLocation{}, fmt.Errorf("link: %s at %s is out of reach", g.site, g.address)
	}
	var location KeyLocation
	err := s.request(ctx, pathLookup, &lookupRequest{ID: id}, &location)
	return location, err
}

// inFlight returns the number of requests without a known outcome on the sessions in use.
func (g *gateway) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.sessions {
		n += s.inFlight()
	}
	return n
}

// allSessions returns all sessions that are kept, ended sessions first.
func (g *gateway) allSessions() []*session {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allSessionsLocked()
}

// allSessionsLocked is allSessions for callers that hold g.mu.
func (g *gateway) allSessionsLocked() []*session {
	return append(slices.Clone(g.endedSessions), g.sessions...)
}

// status returns the gateway's status, in which State is not set, and the counters of the requests sent to it.
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

// reconcile compares the counters of all kept sessions with those of the remote gateway. It returns the differences and
// the number of sessions compared.
func (g *gateway) reconcile(ctx context.Context) (differences []SessionDifference, compared int, err error) {
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
		remote, known := response.Counters[s.id]
		if !known {
			continue // the remote gateway does not know the session: the process that accepted it has ended
		}
		compared++
		for _, difference := range accounting.Reconcile(s.counters(), remote) {
			differences = append(differences, SessionDifference{s.id, difference})
		}
	}
	return differences, compared, nil
}
