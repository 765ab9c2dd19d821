package gateway

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// maxSettleTime is how long a request waits to hear what became of a crossing that was cut off, at the most; half of the time
// that is left to it where that is less.
const maxSettleTime = time.Second

// minRejectedRetryAfter is when a caller is told to come back, at the least, whom another sala has refused without a time of its own:
// the time that was too short there is longer for one who comes to it anew.
const minRejectedRetryAfter = 100 * time.Millisecond

// forward gives a request to other salas, as the decisions of package forwarding say, until one has served it or none may have
// it. What comes in is how its own sala has ended it.
func (x *exchange) forward(ctx context.Context, way *forwarding.Route, a engine.Result) engine.Result {
	l := x.gateway.transport.Load()
	if l == nil {
		return a
	}
	attempts := a.Attempts
	for !engine.IsDisconnected(ctx) && a.Response == nil {
		so := forwarding.Progress{Now: time.Now(), Deadline: x.deadline, MayHaveRun: a.MayHaveRun, NewAttempts: attempts, OwnerSite: x.ownerSite(),
			Rejected: a.Rejected, Transit: x.forwarded != nil}
		r, why, ok := way.Next(so)
		if !ok {
			return a
		}
		r.PriorityWeight = x.class.PriorityWeight
		to, back, ok := l.Pick(r)
		if !ok {
			if back > 0 && !a.MayHaveRun { // it never ran anywhere, and there is nowhere to carry it now
				a.Rejected, a.RetryAfter = true, max(a.RetryAfter, back)
			}
			return a
		}
		way.MarkForwarded(to)
		b := x.forwardTo(ctx, l, to, why, way)
		b.MayHaveRun = b.MayHaveRun || a.MayHaveRun && b.Response == nil
		b.Rejected = b.Rejected && !b.MayHaveRun
		if b.Rejected { // until both can be asked again
			b.RetryAfter = max(b.RetryAfter, minRejectedRetryAfter)
			if a.Rejected {
				b.RetryAfter = max(b.RetryAfter, a.RetryAfter)
			}
		}
		if b.Response == nil && b.LastResponse == nil {
			b.LastResponse = a.LastResponse
		}
		attempts = b.Attempts
		a = b
	}
	return a
}

// forwardTo gives the request to one other sala. Its key is held to that sala from before the first byte until it is known
// that nothing has run there.
func (x *exchange) forwardTo(ctx context.Context, l *peering.Transport, to string, why accounting.Reason, way *forwarding.Route) (a engine.Result) {
	var try *idempotency.Attempt
	ran := false // an attempt of this request, before this one
	if x.keyRequest != nil {
		ran = x.keyRequest.MayHaveRun()
		var err error
		if try, err = x.keyRequest.Send(time.Now(), idempotency.Place{Cluster: forwarding.QualifyCluster(to, ""), Zone: to}, x.terms()); err != nil {
			l.RecordResult(to, x.class.PriorityWeight, forwarding.NotSent, 0)
			return engine.Result{MayHaveRun: true}
		}
	}
	var record *ledger.Attempt
	if x.record != nil {
		record = x.record.Attempt(siteEndpointName(to), x.terms())
		if err := record.Intent(ctx, idempotency.Place{Cluster: forwarding.QualifyCluster(to, ""), Zone: to}); err != nil { // nothing goes out
			record.Ended(lbpolicy.NotSent, 0)
			try.End(time.Now(), true)
			l.RecordResult(to, x.class.PriorityWeight, forwarding.NotSent, 0)
			return engine.Result{Rejected: !ran, MayHaveRun: ran, RetryAfter: unrecordedRetryAfter(err)}
		}
	}
	c := &peering.Request{TimeLeft: time.Until(x.deadline).Microseconds(), Class: x.class.Name, PriorityWeight: x.class.PriorityWeight, Effect: uint8(x.class.Effect),
		Tenant: x.tenant, Key: x.key, AttemptsLeft: way.AttemptsLeft(), VisitedSites: append(append([]string{}, way.VisitedSites...), x.gateway.site), Reason: why,
		KeyMayHaveRun: x.ownerSite() == to && why == accounting.KeyOwned, IsRetry: x.policyRequest.Retry, Method: x.outgoing.Method, Target: x.originalTarget, Host: x.outgoing.Host, Header: x.outgoing.Header, Body: x.outgoing.Body}
	c.ClaimAttempt, c.ClaimRound = x.claimNumbers(c.KeyMayHaveRun, ran)
	c.IsDisconnected = func() bool { return engine.IsDisconnected(ctx) }
	waiting, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	is := peering.ForwardResult{Outcome: accounting.NeverRan}
	if !engine.IsDisconnected(ctx) { // it may have, while the crossing was recorded
		is = l.Forward(waiting, to, c)
	}
	outcome := is.Outcome
	if outcome == accounting.Pending && x.class.Effect != lbpolicy.Idempotent && ctx.Err() == nil {
		settling, cancel := context.WithTimeout(ctx, min(maxSettleTime, max(time.Until(x.deadline)/2, 0)))
		outcome = l.Settle(settling, is)
		cancel()
	}
	if try != nil {
		try.End(time.Now(), outcome.ProvesNothingRan())
	}
	if record != nil {
		record.Ended(forwardVerdict(outcome, is.Response))
	}
	a = x.forwardedResult(is.Response, outcome)
	result := forwarding.Failed
	switch {
	case !is.Sent:
		result = forwarding.NotSent
	case a.Response != nil:
		result = forwarding.Served
	case outcome == accounting.Rejected:
		result = forwarding.Rejected
	case waiting.Err() != nil && is.Response == nil && ctx.Err() != nil:
		result = forwarding.Abandoned
	}
	l.RecordResult(to, x.class.PriorityWeight, result, a.RetryAfter)
	if is.Sent {
		x.gateway.log.Debug("crossed", "to", to, "class", x.class.Name, "reason", why.String(), "outcome", outcome.String())
	}
	return a
}

// forwardedResult translates what another sala has said.
func (x *exchange) forwardedResult(said *peering.Response, outcome accounting.Outcome) (a engine.Result) {
	a.MayHaveRun = !outcome.ProvesNothingRan()
	if said == nil {
		return a
	}
	a.Attempts = said.Attempts
	switch outcome {
	case accounting.Served:
		a.Response, a.MayHaveRun = &upstream.Response{Status: said.Status, Header: said.Header, Body: said.Body}, false
	case accounting.Rejected:
		a.Rejected, a.RetryAfter = true, time.Duration(said.RetryAfter)*time.Microsecond
	}
	if said.Place.Cluster != "" && a.Response == nil { // it knows who holds the key
		x.remoteKeyState = idempotency.KeyState{Known: true, Place: said.Place, RetryUntil: x.deadline}
	}
	return a
}

// claimNumbers returns the numbers under which the voters know the request, for the sala that goes on with it. Where the key may
// have run there already, the request begins anew for them: another turn would say that the earlier ones never ran.
func (x *exchange) claimNumbers(past, ran bool) (ownership.AttemptID, uint32) {
	if x.claimer == nil {
		return ownership.AttemptID{}, 0
	}
	if past {
		if x.claimer.resumed {
			return ownership.AttemptID{}, 0 // the sala asks in its own name
		}
		x.claimer.release(ran)
		x.claimer = newKeyClaimer(x.gateway.fleet, x.keyID, x.class, x.deadline)
	}
	return x.claimer.delegate()
}

// ownerSite returns the sala that holds the request's key, by this process's history, the voters, and the other salas' word.
func (x *exchange) ownerSite() string {
	if x.keyRequest == nil {
		return ""
	}
	pasts := []idempotency.KeyState{x.keyRequest.KeyState(x.class.Scope), x.remoteKeyState}
	if x.claimer != nil {
		pasts = append(pasts, x.claimer.KeyState())
	}
	return forwarding.OwnerSite(pasts...)
}

// siteServer serves what crosses to this sala. It implements peering.Server.
type siteServer struct{ *Gateway }

// State implements peering.Server.
func (g siteServer) State() forwarding.State {
	switch {
	case g.draining.Load():
		return forwarding.Draining
	case g.strained():
		return forwarding.Shedding
	}
	return forwarding.Available
}

// strained tells whether this sala refuses so much that the others should know.
func (g *Gateway) strained() bool {
	g.saturationMu.Lock()
	defer g.saturationMu.Unlock()
	return g.saturation.IsShedding(time.Now())
}

// recordSaturation counts a request that this sala's own decisions have ended.
func (g *Gateway) recordSaturation(refused bool) {
	g.saturationMu.Lock()
	defer g.saturationMu.Unlock()
	g.saturation.Record(time.Now(), refused)
}

// Lookup implements peering.Server.
func (g siteServer) Lookup(id idempotency.KeyID) (f peering.KeyLocation) {
	now := time.Now()
	p := g.keys.KeyState(now, id, lbpolicy.ScopeAll)
	if !p.Known {
		return f
	}
	return peering.KeyLocation{Known: true, Cluster: p.Place.Cluster, Zone: p.Place.Zone, Cell: p.Place.Cell, RetryWindow: max(p.RetryUntil.Sub(now), 0).Microseconds()}
}

// ServeRequest implements peering.Server: the call is routed and decided on as one of this sala's own callers would be, in its own class.
func (g siteServer) ServeRequest(ctx context.Context, from string, c *peering.Request) *peering.Response {
	never := func(why string) *peering.Response {
		return &peering.Response{Outcome: accounting.NeverRan, Detail: why}
	}
	s := g.acquire()
	ro := &router{gateway: g.Gateway}
	ro.listener.Store(&conf.Listener{Name: conf.LinkListener, TrustsForwarded: true})
	h := http.Header(c.Header)
	if h == nil {
		h = http.Header{}
	}
	for name, value := range map[string]string{"X-Priority-Class": c.Class, "X-Tenant-Id": c.Tenant, "X-Timeout-Ms": ""} {
		if h.Del(name); value != "" {
			h.Set(name, value)
		}
	}
	if c.Key != "" { // else a header of that name is the caller's and the endpoint's affair
		h.Set("Idempotency-Key", c.Key)
	}
	x, reply := ro.route(s, &http.Request{Method: c.Method, RequestURI: c.Target, Host: c.Host, Header: h, ContentLength: int64(len(c.Body)),
		RemoteAddr: from + ":0"})
	if reply != nil {
		g.release(s)
		if reply.Status == http.StatusNotFound || reply.Close {
			return never(http.StatusText(reply.Status))
		}
		return servedResponse(reply.Status, reply.Header, reply.Body)
	}
	defer x.Close()
	if x.class.Name != c.Class || uint8(x.class.Effect) != c.Effect {
		return never("the route's class here is " + x.class.Name + ", or has another effect")
	}
	x.forwarded = c
	x.policyRequest.TimeLeft, x.policyRequest.Retry = min(x.policyRequest.TimeLeft, time.Duration(c.TimeLeft)*time.Microsecond), c.IsRetry
	if c.AttemptsLeft > 0 && (x.policyRequest.MaxAttempts == 0 || c.AttemptsLeft < x.policyRequest.MaxAttempts) {
		x.policyRequest.MaxAttempts = c.AttemptsLeft
	}
	begun := time.Now()
	if !x.hasBodyRoom(ctx, c.Body) {
		return &peering.Response{Outcome: accounting.Rejected, RetryAfter: keysFullRetryAfter.Microseconds()}
	}
	defer x.BodyBudget().Release(int64(len(c.Body)))
	x.policyRequest.TimeLeft -= time.Since(begun)
	a := x.Do(ctx, c.Body)
	out := x.outcome(ctx, a)
	x.recordForwardedReply(out)
	out.Attempts = a.Attempts
	return out
}

func (x *exchange) hasBodyRoom(ctx context.Context, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, x.policyRequest.TimeLeft/2)
	defer cancel()
	return x.BodyBudget().Acquire(ctx, int64(len(body))) == nil
}

// outcome says what became of a call that another sala has sent.
func (x *exchange) outcome(ctx context.Context, a engine.Result) *peering.Response {
	if a.Response != nil {
		return servedResponse(a.Response.Status, a.Response.Header, a.Response.Body)
	}
	if x.rejection != nil {
		return servedResponse(x.rejection.Status, x.rejection.Header, x.rejection.Body)
	}
	out := &peering.Response{Outcome: accounting.NeverRan}
	past := idempotency.KeyState{}
	if x.keyRequest != nil {
		past = x.keyState()
		if past.Known {
			out.Place = past.Place
			out.Place.Cluster = forwarding.QualifyCluster(x.ownerSite(), "")
		}
	}
	switch {
	case a.MayHaveRun || ctx.Err() != nil || x.keyRequest != nil && x.keyRequest.MayHaveRun(): // whose caller has gone, told nothing of what is out
		out.Outcome = accounting.MayHaveRun
	case a.Rejected && failover.MayReject(time.Now(), past, x.class.Scope):
		out.Outcome, out.RetryAfter = accounting.Rejected, a.RetryAfter.Microseconds()
	}
	return out
}

func servedResponse(status int, h http.Header, body []byte) *peering.Response {
	return &peering.Response{Outcome: accounting.Served, Status: status, Header: h, Body: body}
}

// Links tells how the links to other salas stand; nothing where there are none.
func (g *Gateway) Links(ctx context.Context) []peering.SiteStatus {
	l := g.transport.Load()
	if l == nil {
		return nil
	}
	return l.Status(ctx, false)
}

// FleetAddr returns the address on which other instances of the fleet reach this one, or "" where it is alone.
func (g *Gateway) FleetAddr() string {
	if g.fleet == nil {
		return ""
	}
	return g.fleet.Addr()
}

// LinkAddr returns the address on which other salas connect, or "" where there is no link.
func (g *Gateway) LinkAddr() string {
	l := g.transport.Load()
	if l == nil {
		return ""
	}
	return l.Addr()
}
