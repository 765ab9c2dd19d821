package gateway

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/gateway/route"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// exchange serves one request under one configuration. It implements frontend.Exchange. One goroutine uses it.
type exchange struct {
	gateway        *Gateway
	state          *state
	rule           *route.Rule
	class          *conf.Class
	outgoing       upstream.Request
	policyRequest  lbpolicy.Request
	key            string // idempotency key, of a class that has one
	tenant         string
	clusterName    string               // the rule's cluster, or the one that its split picks
	originalTarget string               // path and query before the rule's rewrite
	forwarded      *peering.Request     // nil: the request is not from another site
	remoteKeyState idempotency.KeyState // as another site has reported it

	keyID        idempotency.KeyID
	keyOwner     idempotency.Owner    // the client's connection; none for a request from another site
	keyRequest   *idempotency.Request // once the body was received; nil: the request has no key
	claimer      *keyClaimer          // nil: this process decides alone
	record       *ledger.Entry        // nil: the request is not recorded
	disconnected bool                 // the client, when the request ended
	rejection    *frontend.Reply      // of a request whose key forbids it
	deadline     time.Time            // of the request itself; a shutdown may come first: see responseDeadline
}

// BodyBudget implements frontend.Exchange: the memory is that of the cluster that the rule names, or the split picks.
func (x *exchange) BodyBudget() frontend.Budget {
	return x.state.clusters[x.clusterName].Bodies()
}

// Timeout implements frontend.Exchange.
func (x *exchange) Timeout() time.Duration { return x.policyRequest.TimeLeft }

// Do implements frontend.Exchange.
func (x *exchange) Do(ctx context.Context, body []byte, receivedAt time.Time) engine.Result {
	now := time.Now()
	x.deadline = receivedAt.Add(x.policyRequest.TimeLeft)
	x.policyRequest.TimeLeft = x.deadline.Sub(now)
	x.outgoing.Body = body
	if result, ok := x.beginKeyed(now, body); !ok {
		return result
	}
	defer func() { x.disconnected = ctx.Err() != nil }()
	if len(x.rule.ForwardSites) == 0 {
		return x.doLocally(ctx)
	}
	return x.doAnywhere(ctx)
}

// responseDeadline returns the time by which the request must have its response: its own deadline, or that of a shutdown.
func (x *exchange) responseDeadline() time.Time { return x.gateway.shutdown.limit(x.deadline) }

// doAnywhere serves a request that may be forwarded to other sites. Another site that owns the key is first, and all others are where this
// one drains its own requests.
func (x *exchange) doAnywhere(ctx context.Context) engine.Result {
	route := &forwarding.Route{LocalSite: x.gateway.site, Effect: x.class.Effect, AllowedSites: x.rule.ForwardSites, MaxAttempts: x.policyRequest.MaxAttempts}
	if x.forwarded != nil {
		route.VisitedSites = x.forwarded.VisitedSites
	}
	owner := x.ownerSite()
	isOwnedElsewhere := owner != "" && owner != x.gateway.site
	drainsOwn := x.gateway.drainingOwn.Load() && x.forwarded == nil && owner == ""
	if isOwnedElsewhere || drainsOwn {
		result := x.forward(ctx, route, engine.Result{})
		if isOwnedElsewhere && result.Response == nil { // whatever was learnt: it may have run there
			result.MayHaveRun = true
			result.Rejected = false
		}
		if isOwnedElsewhere || result.Response != nil || result.MayHaveRun || ctx.Err() != nil {
			return result
		}
	}
	return x.forward(ctx, route, x.doLocally(ctx))
}

// doLocally serves the request at this site's own clusters.
func (x *exchange) doLocally(ctx context.Context) engine.Result {
	plan := failover.New(failover.Request{Cluster: x.clusterName, Failover: x.rule.Failover, Effect: x.class.Effect,
		MaxAttempts: x.policyRequest.MaxAttempts, Deadline: x.responseDeadline()})
	name := plan.First(x.localKeyState())
	var lastResponse *upstream.Response
	for {
		result, isConnected := x.tryCluster(ctx, name, plan)
		if isConnected && x.gateway.site != "" { // other sites learn it
			x.gateway.recordSaturation(result.Rejected)
		}
		if result.Response == nil && result.LastResponse == nil {
			result.LastResponse = lastResponse
		}
		if !isConnected {
			return result
		}
		lastResponse = result.LastResponse
		outcome := failover.Result{Served: result.Response != nil, MayHaveRun: result.MayHaveRun, Attempts: result.Attempts}
		var ok bool
		if name, ok = plan.Next(time.Now(), outcome, x.localKeyState()); !ok {
			return result
		}
	}
}

// tryCluster passes the request to a cluster; isConnected is false where the client has disconnected.
func (x *exchange) tryCluster(ctx context.Context, name string, plan *failover.Plan) (result engine.Result, isConnected bool) {
	c := x.state.clusters[name]
	if c == nil { // the key may have run at a cluster that was removed: nothing can be promised
		return engine.Result{MayHaveRun: true}, true
	}
	x.policyRequest.TimeLeft = time.Until(x.responseDeadline())
	x.policyRequest.MaxAttempts = plan.AttemptsLeft()
	return c.Do(ctx, x.outgoing, x.policyRequest, x.engineKey(name))
}

// engineKey returns the request's key for an engine, nil where it has none.
func (x *exchange) engineKey(clusterName string) *engine.Key {
	if x.keyRequest == nil {
		return nil
	}
	key := &engine.Key{Request: x.keyRequest, Cluster: forwarding.QualifyCluster(x.gateway.site, clusterName), Terms: x.terms()}
	if x.claimer != nil {
		key.Claimer = x.claimer
	}
	if x.record != nil {
		key.Recorder = attemptRecorder{x.record, key.Terms}
	}
	return key
}

// Reply implements frontend.Exchange. The response is in the ledger before its first byte is sent.
func (x *exchange) Reply(result engine.Result) *frontend.Reply {
	reply := x.ownReply(result)
	x.recordReply(result, reply)
	return reply
}

// ownReply returns the response to a result where it is not the server's usual one: an endpoint's error is passed on, except 503 and 429,
// which promise that a retry is harmless. A rejected request gets that promise only where its key cannot have run.
func (x *exchange) ownReply(result engine.Result) *frontend.Reply {
	switch {
	case x.rejection != nil:
		return x.rejection
	case result.Rejected && x.key != "":
		now := time.Now()
		state := x.keyState()
		if x.keyRequest == nil {
			state = x.gateway.keys.KeyState(now, x.keyID, x.class.Scope)
		}
		if !failover.MayReject(now, state, x.class.Scope) {
			return &frontend.Reply{Status: http.StatusBadGateway}
		}
		return nil
	case result.Response != nil || result.Rejected:
		return nil
	case result.LastResponse != nil && result.LastResponse.Status >= 500 && result.LastResponse.Status != http.StatusServiceUnavailable:
		h := frontend.EndToEnd(result.LastResponse.Header)
		h.Del("Retry-After")
		return &frontend.Reply{Status: result.LastResponse.Status, Header: h, Body: result.LastResponse.Body}
	case !x.deadline.IsZero() && !time.Now().Before(x.deadline):
		return &frontend.Reply{Status: http.StatusGatewayTimeout}
	}
	return nil
}

// Delivered implements frontend.Exchange.
func (x *exchange) Delivered(d frontend.Delivery) {
	d.Log(x.gateway.log, x.outgoing.Header.Get("X-Request-Id"), x.class.Name)
}

// Close implements frontend.Exchange.
func (x *exchange) Close() {
	if x.keyRequest != nil {
		if x.claimer != nil {
			x.claimer.release(x.keyRequest.MayHaveRun())
		}
		x.keyRequest.End()
	}
	x.gateway.release(x.state)
}
