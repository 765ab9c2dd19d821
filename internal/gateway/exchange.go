package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/gateway/route"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

const (
	maxRequestIDBytes  = 128
	maxKeyBytes        = 256
	keysFullRetryAfter = time.Second // when a caller is told to come back that met a full table of keys
)

// router reads the requests of one listener.
type router struct {
	gateway  *Gateway
	listener atomic.Pointer[conf.Listener]
}

// exchange is one request under one state.
type exchange struct {
	gateway        *Gateway
	state          *state
	rule           *route.Rule
	class          *conf.Class
	outgoing       upstream.Request
	policyRequest  lbpolicy.Request
	key            string // idempotency key of a keyed request
	tenant         string
	clusterName    string               // cluster that the rule names, or its split
	originalTarget string               // path and query before the rule's rewrite
	forwarded      *peering.Request     // the request came from another sala; nil: from a caller
	remoteKeyState idempotency.KeyState // of the key, by another sala

	keyID        idempotency.KeyID    // of the key
	keyRequest   *idempotency.Request // on the key, once the request is whole
	claimer      *keyClaimer          // of the key over the fleet; nil: this process alone
	record       *ledger.Entry        // nil: nothing is recorded
	disconnected bool                 // the caller had, when its request ended
	rejection    *frontend.Reply      // the answer to a repeat that goes nowhere
	deadline     time.Time
}

// Route implements frontend.Router.
func (ro *router) Route(r *http.Request) (frontend.Exchange, *frontend.Reply) {
	s := ro.gateway.acquire()
	x, reply := ro.route(s, r)
	if reply != nil {
		ro.gateway.release(s)
		return nil, reply
	}
	return x, nil
}

// rejectAndClose turns a request away that can be read in two ways, or in none.
func rejectAndClose(status int) *frontend.Reply { return &frontend.Reply{Status: status, Close: true} }

func (ro *router) route(s *state, r *http.Request) (*exchange, *frontend.Reply) {
	listener := ro.listener.Load()
	path, query, ok := requestTarget(r)
	if !ok {
		return nil, rejectAndClose(http.StatusBadRequest)
	}
	path, err := route.NormalisePath(path)
	if err != nil {
		return nil, rejectAndClose(http.StatusBadRequest)
	}
	name, err := route.NormaliseHost(r.Host)
	if err != nil {
		return nil, rejectAndClose(http.StatusBadRequest)
	}
	class, oneClass := frontend.SingleValue(r.Header, "X-Priority-Class")
	tenant, oneTenant := frontend.SingleValue(r.Header, "X-Tenant-Id")
	if !oneClass || !oneTenant {
		return nil, rejectAndClose(http.StatusBadRequest)
	}
	found, ok := s.file.Routes.Find(&route.Request{Listener: listener.Name, Host: name, Path: path, Method: r.Method, Class: class,
		Tenant: tenant, Header: r.Header, Query: query})
	if !ok {
		return nil, &frontend.Reply{Status: http.StatusNotFound}
	}
	rule := found.Rule
	switch {
	case rule.Respond != nil:
		return nil, routeResponse(rule.Respond)
	case rule.Redirect != nil:
		return nil, redirectReply(rule.Redirect, r, path, query)
	}
	x := &exchange{gateway: ro.gateway, state: s, rule: rule, tenant: tenant}
	if reply := x.parseRequest(r, class); reply != nil {
		return nil, reply
	}
	sent := rule.Path(path, found.Path)
	x.originalTarget = path
	if query != "" {
		sent += "?" + query
		x.originalTarget += "?" + query
	}
	x.outgoing.Method, x.outgoing.Target, x.outgoing.Host = r.Method, sent, r.Host
	x.setHeaders(r, listener)
	x.clusterName = rule.Pick(splitKeyOf(rule, r, x, path))
	return x, nil
}

// requestTarget returns path and raw query as they were written. The absolute form is taken too (RFC 9112, 3.2.2); its host is
// r.Host already.
func requestTarget(r *http.Request) (path, query string, ok bool) {
	text := r.RequestURI
	if !strings.HasPrefix(text, "/") {
		scheme, rest, absolute := strings.Cut(text, "://")
		if !absolute || !strings.EqualFold(scheme, "http") {
			return "", "", false
		}
		i := strings.IndexAny(rest, "/?")
		switch {
		case i < 0:
			text = "/"
		case rest[i] == '?':
			text = "/" + rest[i:]
		default:
			text = rest[i:]
		}
	}
	path, query, _ = strings.Cut(text, "?")
	// What follows a "#" would never reach an endpoint's own look at the query.
	return path, query, !strings.ContainsFunc(query, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '#' })
}

func routeResponse(a *route.Response) *frontend.Reply {
	h := http.Header{}
	for name, value := range a.Header {
		h.Set(name, value)
	}
	if h.Get("Content-Type") == "" && a.Body != "" {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	return &frontend.Reply{Status: a.Status, Header: h, Body: []byte(a.Body)}
}

func redirectReply(d *route.Redirect, r *http.Request, path, query string) *frontend.Reply {
	scheme, host := d.Scheme, d.Host
	if scheme == "" {
		scheme = "http"
	}
	if host == "" {
		host = r.Host
	}
	if d.Path != "" {
		path = d.Path
	}
	to := scheme + "://" + host + path
	if query != "" {
		to += "?" + query
	}
	return &frontend.Reply{Status: d.Status, Header: http.Header{"Location": {to}}}
}

// parseRequest finds a request's class, time, key and id.
func (x *exchange) parseRequest(r *http.Request, told string) *frontend.Reply {
	name := x.rule.Class
	if name == "" {
		name = told
	}
	if name == "" {
		name = x.state.file.Process.DefaultClass
	}
	number, known := x.state.classes[name]
	if !known {
		return rejectAndClose(http.StatusBadRequest)
	}
	x.class = &x.state.file.Classes[number]
	if !slices.Contains(x.class.Methods, r.Method) {
		return &frontend.Reply{Status: http.StatusMethodNotAllowed, Close: true,
			Header: http.Header{"Allow": {strings.Join(x.class.Methods, ", ")}}}
	}
	if x.class.Effect == lbpolicy.Idempotent && r.ContentLength != 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return rejectAndClose(http.StatusBadRequest) // RFC 9110, 9.3.1: a body there has no meaning, and hides requests
	}
	key, oneKey := frontend.SingleValue(r.Header, "Idempotency-Key")
	id, oneID := frontend.SingleValue(r.Header, "X-Request-Id")
	timeout, oneTimeout := frontend.SingleValue(r.Header, "X-Timeout-Ms")
	if !oneKey || !oneID || !oneTimeout || len(key) > maxKeyBytes || len(id) > maxRequestIDBytes {
		return rejectAndClose(http.StatusBadRequest)
	}
	if x.class.Effect == lbpolicy.KeyedIdempotent {
		if key == "" {
			return rejectAndClose(http.StatusBadRequest)
		}
		x.key, x.keyID = key, idempotency.KeyIDOf(x.tenant, key)
	}
	left := x.class.Deadline
	if x.rule.Timeout > 0 {
		left = min(left, x.rule.Timeout)
	}
	if timeout != "" {
		ms, err := strconv.ParseUint(timeout, 10, 63)
		if err != nil {
			return rejectAndClose(http.StatusBadRequest)
		}
		left = min(left, time.Duration(min(ms, uint64(left.Milliseconds())+1))*time.Millisecond)
	}
	tenant, isTenant := x.state.tenants[x.tenant]
	if !isTenant {
		tenant = -1 // to the decisions it has no share of its own
	}
	x.policyRequest = lbpolicy.Request{Class: number, Tenant: tenant, TimeLeft: left, Retry: r.Header.Get("X-Retried") == "1",
		MaxAttempts: x.rule.MaxAttempts}
	return nil
}

// setHeaders makes the headers that go on.
func (x *exchange) setHeaders(r *http.Request, l *conf.Listener) {
	h := frontend.EndToEnd(r.Header)
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} { // a Connection header must not strip these
		if v, told := r.Header[name]; told {
			h[name] = v
		}
	}
	if h.Get("X-Request-Id") == "" {
		h["X-Request-Id"] = []string{fmt.Sprintf("%016x", rand.Uint64())}
	}
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	if before := h["X-Forwarded-For"]; l.TrustsForwarded && len(before) > 0 {
		h["X-Forwarded-For"] = []string{strings.Join(before, ", ") + ", " + client}
	} else {
		h["X-Forwarded-For"] = []string{client}
		h["X-Forwarded-Host"] = []string{r.Host}
		h["X-Forwarded-Proto"] = []string{"http"}
	}
	for _, name := range x.rule.RemoveHeaders {
		delete(h, name)
	}
	for name, value := range x.rule.SetHeaders {
		h[name] = []string{value}
	}
	x.outgoing.Header = h
}

// splitKeyOf is what a split goes by. A keyed request goes by its key whatever the route says, so that its repeat comes
// to the same cluster.
func splitKeyOf(rule *route.Rule, r *http.Request, x *exchange, path string) string {
	if len(rule.Targets) == 1 {
		return ""
	}
	if x.key != "" {
		return x.key
	}
	text := ""
	switch rule.SplitBy {
	case route.SplitHeader:
		text = r.Header.Get(rule.SplitHeader)
	case route.SplitTenant:
		text = x.tenant
	case route.SplitPath:
		text = path
	case route.SplitClient:
		text, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	if text == "" {
		text = x.outgoing.Header.Get("X-Request-Id")
	}
	return text
}

// BodyBudget implements frontend.Exchange: the memory is that of the cluster that the rule names first, or of the split's.
func (x *exchange) BodyBudget() frontend.Budget {
	return x.state.clusters[x.clusterName].Bodies()
}

// Do implements frontend.Exchange.
func (x *exchange) Do(ctx context.Context, body []byte) engine.Result {
	now := time.Now()
	x.deadline = now.Add(x.policyRequest.TimeLeft)
	x.outgoing.Body = body
	if reply, ok := x.beginKeyed(now, body); !ok {
		return reply
	}
	defer func() { x.disconnected = ctx.Err() != nil }()
	if len(x.rule.ForwardSites) == 0 {
		return x.doLocally(ctx)
	}
	way := &forwarding.Route{LocalSite: x.gateway.site, Effect: x.class.Effect, AllowedSites: x.rule.ForwardSites, MaxAttempts: x.policyRequest.MaxAttempts}
	if x.forwarded != nil {
		way.VisitedSites = x.forwarded.VisitedSites
	}
	holder := x.ownerSite()
	away := holder != "" && holder != x.gateway.site
	if away || x.gateway.drainingOwn.Load() && x.forwarded == nil && holder == "" {
		a := x.forward(ctx, way, engine.Result{})
		if away && a.Response == nil { // whatever was heard: it may have run there
			a.MayHaveRun, a.Rejected = true, false
		}
		if away || a.Response != nil || a.MayHaveRun || ctx.Err() != nil {
			return a
		}
	}
	return x.forward(ctx, way, x.doLocally(ctx))
}

// doLocally gives the request to this sala's own clusters.
func (x *exchange) doLocally(ctx context.Context) engine.Result {
	plan := failover.New(failover.Request{Cluster: x.clusterName, Failover: x.rule.Failover, Effect: x.class.Effect, MaxAttempts: x.policyRequest.MaxAttempts,
		Deadline: x.deadline})
	to := plan.First(x.localKeyState())
	var last *upstream.Response
	for {
		a, here := x.tryCluster(ctx, to, plan)
		if here && x.gateway.site != "" { // for the other salas to hear
			x.gateway.recordSaturation(a.Rejected)
		}
		if a.Response == nil && a.LastResponse == nil {
			a.LastResponse = last
		}
		if !here {
			return a
		}
		last = a.LastResponse
		var again bool
		to, again = plan.Next(time.Now(), failover.Result{Served: a.Response != nil, MayHaveRun: a.MayHaveRun, Attempts: a.Attempts}, x.localKeyState())
		if !again {
			return a
		}
	}
}

// beginKeyed takes hold of a keyed request's key. Where it can't be had the answer is final.
func (x *exchange) beginKeyed(now time.Time, body []byte) (a engine.Result, ok bool) {
	if x.key == "" {
		return a, true
	}
	var print idempotency.Fingerprint
	if x.class.CheckRepeats {
		print = idempotency.FingerprintOf(x.outgoing.Method, x.outgoing.Target, body)
	}
	if a, ok := x.mergeRecoveredKey(now, print); !ok {
		return a, false
	}
	hold, err := x.gateway.keys.Begin(now, x.keyID, print)
	switch {
	case errors.Is(err, idempotency.ErrTooManyKeys): // nothing was sent
		return engine.Result{Rejected: true, RetryAfter: keysFullRetryAfter}, false
	case errors.Is(err, idempotency.ErrKeyReused):
		x.rejection = problemReply(http.StatusUnprocessableEntity, keyReusedTitle)
		return a, false
	}
	x.keyRequest = hold
	if a, ok := x.beginRecord(print); !ok {
		return a, false
	}
	if f := x.gateway.fleet; f != nil && f.HasVoters() && failover.NeedsFleetClaim(x.class.Scope, x.gateway.site != "" || x.rule.Failover != "" || len(x.rule.Targets) > 1) {
		if c := x.forwarded; c != nil && c.ClaimAttempt != (ownership.AttemptID{}) {
			x.claimer = resumeKeyClaimer(f, x.keyID, x.class, x.deadline, c.ClaimAttempt, c.ClaimRound, len(c.VisitedSites))
		} else {
			x.claimer = newKeyClaimer(f, x.keyID, x.class, x.deadline)
		}
	}
	if hold.InProgress && x.class.Concurrent == conf.RejectConcurrent {
		x.rejection = problemReply(http.StatusConflict, "A request with the key is in work.")
		x.rejection.Header.Set("Retry-After", "1")
		return a, false
	}
	return a, true
}

const keyReusedTitle = "The key belongs to another request."

// problemReply is an answer to a repeat that goes nowhere (draft-ietf-httpapi-idempotency-key-header, 2.7; RFC 9457).
func problemReply(status int, title string) *frontend.Reply {
	return &frontend.Reply{Status: status, Header: http.Header{"Content-Type": {"application/problem+json"}},
		Body: fmt.Appendf(nil, `{"status":%d,"title":%q}`, status, title)}
}

// keyState is what is known of the request's key.
func (x *exchange) keyState() idempotency.KeyState {
	if x.keyRequest == nil {
		return idempotency.KeyState{}
	}
	p := x.keyRequest.KeyState(x.class.Scope)
	if x.claimer != nil {
		p = p.Merge(x.claimer.KeyState(), x.class.Scope)
	}
	if x.remoteKeyState.Known {
		p = p.Merge(x.remoteKeyState, x.class.Scope)
	}
	return p
}

// localKeyState is what is known of the request's key, for a choice among this sala's clusters.
func (x *exchange) localKeyState() idempotency.KeyState {
	p := x.keyState()
	if sala, cluster := forwarding.SplitCluster(p.Place.Cluster); sala == x.gateway.site {
		p.Place.Cluster = cluster
	}
	return p
}

// tryCluster gives the request to one cluster; here is false where its caller has gone.
func (x *exchange) tryCluster(ctx context.Context, to string, plan *failover.Plan) (a engine.Result, here bool) {
	c := x.state.clusters[to]
	if c == nil { // the key may have run at a cluster that is gone: nothing can be promised
		return engine.Result{MayHaveRun: true}, true
	}
	x.policyRequest.TimeLeft, x.policyRequest.MaxAttempts = time.Until(x.deadline), plan.AttemptsLeft()
	var key *engine.Key
	if x.keyRequest != nil {
		key = &engine.Key{History: x.keyRequest, Cluster: forwarding.QualifyCluster(x.gateway.site, to),
			Terms: x.terms()}
		if x.claimer != nil {
			key.Claimer = x.claimer
		}
		if x.record != nil {
			key.Recorder = attemptRecorder{x.record, key.Terms}
		}
	}
	return c.Do(ctx, x.outgoing, x.policyRequest, key)
}

// Reply implements frontend.Exchange. The answer is in the ledger before its first byte goes out.
func (x *exchange) Reply(a engine.Result) *frontend.Reply {
	r := x.ownReply(a)
	x.recordReply(a, r)
	return r
}

// ownReply finds an answer's wording: what an endpoint said of a failure is passed on, but for 503 and 429, which would
// promise that a repeat is harmless. Neither is a request refused whose key may have run, whoever refuses it.
func (x *exchange) ownReply(a engine.Result) *frontend.Reply {
	switch {
	case x.rejection != nil:
		return x.rejection
	case a.Rejected && x.key != "":
		now, past := time.Now(), x.keyState()
		if x.keyRequest == nil {
			past = x.gateway.keys.KeyState(now, x.keyID, x.class.Scope)
		}
		if !failover.MayReject(now, past, x.class.Scope) {
			return &frontend.Reply{Status: http.StatusBadGateway}
		}
		return nil
	case a.Response != nil || a.Rejected:
		return nil
	case a.LastResponse != nil && a.LastResponse.Status >= 500 && a.LastResponse.Status != http.StatusServiceUnavailable:
		h := frontend.EndToEnd(a.LastResponse.Header)
		h.Del("Retry-After")
		return &frontend.Reply{Status: a.LastResponse.Status, Header: h, Body: a.LastResponse.Body}
	case !x.deadline.IsZero() && !time.Now().Before(x.deadline):
		return &frontend.Reply{Status: http.StatusGatewayTimeout}
	}
	return nil
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
