package peering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/sites/accounting"
)

const (
	// overloadRetryAfter is the retry delay sent with a request rejected for the limit on requests in flight.
	overloadRetryAfter = 100 * time.Millisecond
	// settleWait is how long settle waits for requests that are still in flight. After it they are reported as pending.
	settleWait         = 20 * time.Millisecond
	settlePollInterval = time.Millisecond // between two checks of the outcomes
)

// connection is an http.Handler that serves the messages of one accepted connection.
type connection struct {
	server *server

	mu      sync.Mutex
	site    string          // empty until the certificate or the greeting names the site
	session *inboundSession // nil before the greeting
	closed  bool
}

// close marks the connection as closed and disconnects its session. Requests and greetings that its handlers have not
// admitted yet are rejected from then on.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.session != nil {
		c.session.disconnect()
	}
}

// ServeHTTP implements http.Handler.
func (c *connection) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			c.server.transport.log.Error("handler panicked", "component", "link", "panic", p, "stack", string(debug.Stack()))
			panic(http.ErrAbortHandler) // resets the stream
		}
	}()
	response, err := c.dispatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	payload, err := encode(response)
	if err != nil {
		http.Error(w, "unwritable", http.StatusInternalServerError)
		return
	}
	w.Write(payload)
}

// dispatch decodes a message according to the request path and returns the response. An error becomes the body of a
// response with status 400.
func (c *connection) dispatch(r *http.Request) (any, error) {
	if r.Method != http.MethodPost {
		return nil, errors.New("link: not a gateway's request")
	}
	if r.URL.Path == pathHello {
		return handle(r, c.greet)
	}
	c.mu.Lock()
	session := c.session
	c.mu.Unlock()
	if session == nil {
		return nil, errors.New("link: not greeted")
	}
	switch r.URL.Path {
	case pathState:
		return handle(r, func(message *heartbeat) (any, error) { return c.answerHeartbeat(session, message), nil })
	case pathCall:
		return handle(r, func(request *Request) (any, error) { return c.serveRequest(r.Context(), session, request), nil })
	case pathSettle:
		return handle(r, func(request *settleRequest) (any, error) { return c.settle(session, request), nil })
	case pathLookup:
		return handle(r, func(request *lookupRequest) (any, error) { return c.lookup(request), nil })
	case pathAccounts:
		return handle(r, func(request *countersRequest) (any, error) { return c.counters(session, request), nil })
	}
	return nil, fmt.Errorf("link: %q is not known in version %d", r.URL.Path, newestVersion)
}

// handle decodes a message and passes it to its handler.
func handle[M any](r *http.Request, handler func(*M) (any, error)) (any, error) {
	message := new(M)
	if err := decode(r.Body, message); err != nil {
		return nil, err
	}
	return handler(message)
}

// greet opens the connection's session. A connection has at most one session. The response to a rejected greeting states
// the reason.
func (c *connection) greet(request *helloRequest) (any, error) {
	t := c.server.transport
	c.mu.Lock()
	defer c.mu.Unlock()
	version := min(request.NewestVersion, newestVersion)
	switch {
	case c.closed, c.session != nil:
		return nil, errors.New("link: greeted already")
	case version < max(request.OldestVersion, oldestVersion):
		return &helloResponse{Error: fmt.Sprintf("versions %d to %d are not spoken here, but %d to %d",
			request.OldestVersion, request.NewestVersion, oldestVersion, newestVersion)}, nil
	case request.ToSite != t.options.Site:
		return &helloResponse{Error: fmt.Sprintf("this is sala %q, not %q", t.options.Site, request.ToSite)}, nil
	case c.site != "" && c.site != request.Site || !t.isPeer(request.Site):
		return &helloResponse{Error: fmt.Sprintf("the certificate is not that of sala %q, or it is not known here", request.Site)}, nil
	}
	c.site = request.Site
	session, ok := c.server.openSession(request.Site, request.SessionID)
	if !ok {
		return &helloResponse{Error: "too many sessions with requests in flight"}, nil
	}
	c.session = session
	return &helloResponse{Version: version, ProcessID: t.processID}, nil
}

// answerHeartbeat records a heartbeat and returns this site's state as the response.
func (c *connection) answerHeartbeat(s *inboundSession, message *heartbeat) *heartbeat {
	s.applyHeartbeat(message)
	t := c.server.transport
	return &heartbeat{Clock: t.clock(), State: t.options.Handler.State()}
}

// serveRequest counts a request, serves it unless it is rejected, and records its outcome.
func (c *connection) serveRequest(ctx context.Context, s *inboundSession, r *Request) *Response {
	admitted, err := s.admit(r)
	switch {
	case errors.Is(err, accounting.ErrFull): // not counted, and no outcome is recorded
		return &Response{Number: r.Number, Outcome: accounting.NeverRan, Detail: err.Error()}
	case err != nil:
		return &Response{Number: r.Number, Outcome: accounting.MayHaveRun, Detail: err.Error()}
	}
	response := c.serveAdmitted(ctx, s, r, admitted)
	response.Number = r.Number
	s.finish(r.Number, response.Outcome, admitted)
	return response
}

// serveAdmitted passes a counted request to the Handler, unless the session is over its limit, the request has visited
// this site before or its time has expired. If the Handler panics, the outcome is that the request may have run.
func (c *connection) serveAdmitted(ctx context.Context, s *inboundSession, r *Request, admitted admission) (response *Response) {
	t := c.server.transport
	defer func() {
		if p := recover(); p != nil {
			t.log.Error("handler panicked", "component", "link", "panic", p, "stack", string(debug.Stack()))
			response = &Response{Outcome: accounting.MayHaveRun, Detail: "failed"}
		}
	}()
	switch {
	case admitted.overLimit:
		return &Response{Outcome: accounting.Rejected, RetryAfter: overloadRetryAfter.Microseconds(),
			Detail: "too many requests in flight on one connection"}
	case slices.Contains(r.VisitedSites, t.options.Site):
		return &Response{Outcome: accounting.NeverRan, Detail: "the request has visited this site before"}
	case admitted.timeLeft <= 0:
		return &Response{Outcome: accounting.NeverRan, Detail: "no time left here"}
	}
	r.TimeLeft = admitted.timeLeft.Microseconds()
	return t.options.Handler.ServeRequest(ctx, s.site, r)
}

// settle returns the outcomes of the requests of a session, which need not be that of this connection. It waits up to
// settleWait for requests in flight.
func (c *connection) settle(s *inboundSession, request *settleRequest) *settleResponse {
	target := c.server.findSession(s.site, request.SessionID)
	if target == nil {
		return &settleResponse{}
	}
	if request.SessionEnded {
		target.closeReceiver()
	}
	deadline := time.Now().Add(settleWait)
	for {
		outcomes, pending := target.outcomesOf(request.Numbers)
		if !pending || time.Now().After(deadline) {
			return &settleResponse{Known: true, Outcomes: outcomes}
		}
		time.Sleep(settlePollInterval)
	}
}

// lookup returns what this site knows about an idempotency key.
func (c *connection) lookup(request *lookupRequest) *KeyLocation {
	location := c.server.transport.options.Handler.Lookup(request.ID)
	return &location
}

// counters returns the counters of the requested sessions. Sessions of other sites, and sessions that are no longer kept,
// are left out.
func (c *connection) counters(s *inboundSession, request *countersRequest) *countersResponse {
	response := &countersResponse{Counters: map[uint64][]accounting.Counter{}}
	for _, id := range request.Sessions {
		if session := c.server.findSession(s.site, id); session != nil {
			response.Counters[id] = session.counters()
		}
	}
	return response
}
