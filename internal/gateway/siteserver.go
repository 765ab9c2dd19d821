package gateway

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// siteServer serves requests that other sites forward. It implements peering.Server.
type siteServer struct{ *Gateway }

// State implements peering.Server.
func (g siteServer) State() forwarding.State {
	switch {
	case g.draining.Load():
		return forwarding.Draining
	case g.isShedding():
		return forwarding.Shedding
	}
	return forwarding.Available
}

// isShedding reports whether this site rejects so many requests that other sites should know.
func (g *Gateway) isShedding() bool {
	g.saturationMu.Lock()
	defer g.saturationMu.Unlock()
	return g.saturation.IsShedding(time.Now())
}

// recordSaturation counts a request that this site's own policy has ended.
func (g *Gateway) recordSaturation(rejected bool) {
	g.saturationMu.Lock()
	defer g.saturationMu.Unlock()
	g.saturation.Record(time.Now(), rejected)
}

// Lookup implements peering.Server.
func (g siteServer) Lookup(id idempotency.KeyID) peering.KeyLocation {
	now := time.Now()
	p := g.keys.KeyState(now, id, lbpolicy.ScopeAll)
	if !p.Known {
		return peering.KeyLocation{}
	}
	return peering.KeyLocation{Known: true, Cluster: p.Place.Cluster, Zone: p.Place.Zone, Cell: p.Place.Cell,
		RetryWindow: max(p.RetryUntil.Sub(now), 0).Microseconds()}
}

// ServeRequest implements peering.Server: the request is routed and served as one of this site's own clients would be, in its own class.
func (g siteServer) ServeRequest(ctx context.Context, from string, request *peering.Request) *peering.Response {
	receivedAt := time.Now()
	s := g.acquire()
	ro := &router{gateway: g.Gateway}
	ro.listener.Store(&conf.Listener{Name: conf.LinkListener, TrustsForwarded: true})
	x, reply := ro.route(s, httpRequestOf(from, request))
	if reply != nil {
		g.release(s)
		if reply.Status == http.StatusNotFound || reply.Close {
			return neverRanResponse(http.StatusText(reply.Status))
		}
		return servedResponse(reply.Status, reply.Header, reply.Body)
	}
	defer x.Close()
	if x.class.Name != request.Class || uint8(x.class.Effect) != request.Effect {
		return neverRanResponse("the route's class here is " + x.class.Name + ", or has another effect")
	}
	x.forwarded = request
	x.keyOwner = idempotency.NoOwner
	x.limitTo(request)
	if !x.acquireBodyMemory(ctx, request.Body) {
		return &peering.Response{Outcome: accounting.Rejected, RetryAfter: keysFullRetryAfter.Microseconds()}
	}
	defer x.BodyBudget().Release(int64(len(request.Body)))
	a := x.Do(ctx, request.Body, receivedAt)
	response := x.forwardedResponse(ctx, a)
	x.recordForwardedReply(response)
	response.Attempts = a.Attempts
	return response
}

// httpRequestOf returns a forwarded request in the form that the router takes.
func httpRequestOf(from string, request *peering.Request) *http.Request {
	h := http.Header(request.Header)
	if h == nil {
		h = http.Header{}
	}
	for name, value := range map[string]string{"X-Priority-Class": request.Class, "X-Tenant-Id": request.Tenant, "X-Timeout-Ms": ""} {
		if h.Del(name); value != "" {
			h.Set(name, value)
		}
	}
	if request.Key != "" { // without a key the header, if any, is between client and endpoint
		h.Set("Idempotency-Key", request.Key)
	}
	return &http.Request{Method: request.Method, RequestURI: request.Target, Host: request.Host, Header: h,
		ContentLength: int64(len(request.Body)), RemoteAddr: from + ":0"}
}

// limitTo applies the time and the attempts that a forwarded request has left.
func (x *exchange) limitTo(request *peering.Request) {
	q := &x.policyRequest
	q.TimeLeft = min(q.TimeLeft, time.Duration(request.TimeLeft)*time.Microsecond)
	q.Retry = request.IsRetry
	if request.AttemptsLeft > 0 && (q.MaxAttempts == 0 || request.AttemptsLeft < q.MaxAttempts) {
		q.MaxAttempts = request.AttemptsLeft
	}
}

// acquireBodyMemory waits for memory for a body, for half of the request's remaining time.
func (x *exchange) acquireBodyMemory(ctx context.Context, body []byte) bool {
	ctx, cancel := x.gateway.shutdown.withDeadline(ctx, time.Now().Add(x.policyRequest.TimeLeft/2))
	defer cancel()
	return x.BodyBudget().Acquire(ctx, int64(len(body))) == nil
}

// forwardedResponse translates the result of a forwarded request.
func (x *exchange) forwardedResponse(ctx context.Context, a engine.Result) *peering.Response {
	if a.Response != nil {
		return servedResponse(a.Response.Status, a.Response.Header, a.Response.Body)
	}
	if x.rejection != nil {
		return servedResponse(x.rejection.Status, x.rejection.Header, x.rejection.Body)
	}
	response := &peering.Response{Outcome: accounting.NeverRan}
	state := idempotency.KeyState{}
	if x.keyRequest != nil {
		state = x.keyState()
		if state.Known {
			response.Place = state.Place
			response.Place.Cluster = forwarding.QualifyCluster(x.ownerSite(), "")
		}
	}
	switch {
	// The client of a request that is still in flight may have disconnected, and nothing was learnt.
	case a.MayHaveRun || ctx.Err() != nil || x.keyRequest != nil && x.keyRequest.MayHaveRun():
		response.Outcome = accounting.MayHaveRun
	case a.Rejected && failover.MayReject(time.Now(), state, x.class.Scope):
		response.Outcome = accounting.Rejected
		response.RetryAfter = a.RetryAfter.Microseconds()
	}
	return response
}

func servedResponse(status int, h http.Header, body []byte) *peering.Response {
	return &peering.Response{Outcome: accounting.Served, Status: status, Header: h, Body: body}
}

func neverRanResponse(detail string) *peering.Response {
	return &peering.Response{Outcome: accounting.NeverRan, Detail: detail}
}

// Links returns the state of the links to other sites; none where there are none.
func (g *Gateway) Links(ctx context.Context) []peering.SiteStatus {
	transport := g.transport.Load()
	if transport == nil {
		return nil
	}
	return transport.Status(ctx, false)
}

// LinkAddr returns the address on which other sites connect, or "" without links.
func (g *Gateway) LinkAddr() string {
	transport := g.transport.Load()
	if transport == nil {
		return ""
	}
	return transport.Addr()
}
