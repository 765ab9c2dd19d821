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
	maxID     = 128
	maxKey    = 256
	keysRetry = time.Second // when a caller is told to come back that met a full table of keys
)

// router reads the requests of one listener.
type router struct {
	gateway  *Gateway
	listener atomic.Pointer[conf.Listener]
}

// exchange is one request under one state.
type exchange struct {
	gateway *Gateway
	state   *state
	rule    *route.Rule
	class   *conf.Class
	up      upstream.Request
	q       lbpolicy.Request
	key     string // idempotency key of a keyed request
	tenant  string
	to      string               // cluster that the rule names, or its split
	asked   string               // path and query before the rule's rewrite
	passing *peering.Request     // the request came from another sala; nil: from a caller
	told    idempotency.KeyState // of the key, by another sala

	id       idempotency.KeyID    // of the key
	hold     *idempotency.Request // on the key, once the request is whole
	binder   *binder              // of the key over the fleet; nil: this process alone
	entry    *ledger.Entry        // nil: nothing is recorded
	gone     bool                 // the caller had, when its request ended
	turned   *frontend.Reply      // the answer to a repeat that goes nowhere
	deadline time.Time
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

// bad turns a request away that can be read in two ways, or in none.
func bad(status int) *frontend.Reply { return &frontend.Reply{Status: status, Close: true} }

func (ro *router) route(s *state, r *http.Request) (*exchange, *frontend.Reply) {
	listener := ro.listener.Load()
	path, query, ok := target(r)
	if !ok {
		return nil, bad(http.StatusBadRequest)
	}
	path, err := route.NormalisePath(path)
	if err != nil {
		return nil, bad(http.StatusBadRequest)
	}
	name, err := route.NormaliseHost(r.Host)
	if err != nil {
		return nil, bad(http.StatusBadRequest)
	}
	class, oneClass := frontend.Single(r.Header, "X-Priority-Class")
	tenant, oneTenant := frontend.Single(r.Header, "X-Tenant-Id")
	if !oneClass || !oneTenant {
		return nil, bad(http.StatusBadRequest)
	}
	found, ok := s.file.Routes.Find(&route.Request{Listener: listener.Name, Host: name, Path: path, Method: r.Method, Class: class,
		Tenant: tenant, Header: r.Header, Query: query})
	if !ok {
		return nil, &frontend.Reply{Status: http.StatusNotFound}
	}
	rule := found.Rule
	switch {
	case rule.Respond != nil:
		return nil, respond(rule.Respond)
	case rule.Redirect != nil:
		return nil, redirect(rule.Redirect, r, path, query)
	}
	x := &exchange{gateway: ro.gateway, state: s, rule: rule, tenant: tenant}
	if reply := x.read(r, class); reply != nil {
		return nil, reply
	}
	sent := rule.Path(path, found.Path)
	x.asked = path
	if query != "" {
		sent += "?" + query
		x.asked += "?" + query
	}
	x.up.Method, x.up.Target, x.up.Host = r.Method, sent, r.Host
	x.headers(r, listener)
	x.to = rule.Pick(splitKey(rule, r, x, path))
	return x, nil
}

// target returns path and raw query as they were written. The absolute form is taken too (RFC 9112, 3.2.2); its host is
// r.Host already.
func target(r *http.Request) (path, query string, ok bool) {
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

func respond(a *route.Response) *frontend.Reply {
	h := http.Header{}
	for name, value := range a.Header {
		h.Set(name, value)
	}
	if h.Get("Content-Type") == "" && a.Body != "" {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	return &frontend.Reply{Status: a.Status, Header: h, Body: []byte(a.Body)}
}

func redirect(d *route.Redirect, r *http.Request, path, query string) *frontend.Reply {
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

// read finds a request's class, time, key and id.
func (x *exchange) read(r *http.Request, told string) *frontend.Reply {
	name := x.rule.Class
	if name == "" {
		name = told
	}
	if name == "" {
		name = x.state.file.Process.DefaultClass
	}
	number, known := x.state.classes[name]
	if !known {
		return bad(http.StatusBadRequest)
	}
	x.class = &x.state.file.Classes[number]
	if !slices.Contains(x.class.Methods, r.Method) {
		return &frontend.Reply{Status: http.StatusMethodNotAllowed, Close: true,
			Header: http.Header{"Allow": {strings.Join(x.class.Methods, ", ")}}}
	}
	if x.class.Effect == lbpolicy.Idempotent && r.ContentLength != 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return bad(http.StatusBadRequest) // RFC 9110, 9.3.1: a body there has no meaning, and hides requests
	}
	key, oneKey := frontend.Single(r.Header, "Idempotency-Key")
	id, oneID := frontend.Single(r.Header, "X-Request-Id")
	timeout, oneTimeout := frontend.Single(r.Header, "X-Timeout-Ms")
	if !oneKey || !oneID || !oneTimeout || len(key) > maxKey || len(id) > maxID {
		return bad(http.StatusBadRequest)
	}
	if x.class.Effect == lbpolicy.KeyedIdempotent {
		if key == "" {
			return bad(http.StatusBadRequest)
		}
		x.key, x.id = key, idempotency.KeyIDOf(x.tenant, key)
	}
	left := x.class.Deadline
	if x.rule.Timeout > 0 {
		left = min(left, x.rule.Timeout)
	}
	if timeout != "" {
		ms, err := strconv.ParseUint(timeout, 10, 63)
		if err != nil {
			return bad(http.StatusBadRequest)
		}
		left = min(left, time.Duration(min(ms, uint64(left.Milliseconds())+1))*time.Millisecond)
	}
	tenant, isTenant := x.state.tenants[x.tenant]
	if !isTenant {
		tenant = -1 // to the decisions it has no share of its own
	}
	x.q = lbpolicy.Request{Class: number, Tenant: tenant, TimeLeft: left, Retry: r.Header.Get("X-Retried") == "1",
		MaxAttempts: x.rule.MaxAttempts}
	return nil
}

// headers makes the headers that go on.
func (x *exchange) headers(r *http.Request, l *conf.Listener) {
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
	x.up.Header = h
}

// splitKey is what a split goes by. A keyed request goes by its key whatever the route says, so that its repeat comes
// to the same cluster.
func splitKey(rule *route.Rule, r *http.Request, x *exchange, path string) string {
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
		text = x.up.Header.Get("X-Request-Id")
	}
	return text
}

// Bodies implements frontend.Exchange: the memory is that of the cluster that the rule names first, or of the split's.
func (x *exchange) Bodies() frontend.Budget {
	return x.state.clusters[x.to].Bodies()
}

// Do implements frontend.Exchange.
func (x *exchange) Do(ctx context.Context, body []byte) engine.Result {
	now := time.Now()
	x.deadline = now.Add(x.q.TimeLeft)
	x.up.Body = body
	if reply, ok := x.begin(now, body); !ok {
		return reply
	}
	defer func() { x.gone = ctx.Err() != nil }()
	if len(x.rule.ForwardSites) == 0 {
		return x.here(ctx)
	}
	way := &forwarding.Route{LocalSite: x.gateway.sala, Effect: x.class.Effect, AllowedSites: x.rule.ForwardSites, MaxAttempts: x.q.MaxAttempts}
	if x.passing != nil {
		way.VisitedSites = x.passing.VisitedSites
	}
	holder := x.holder()
	away := holder != "" && holder != x.gateway.sala
	if away || x.gateway.leaving.Load() && x.passing == nil && holder == "" {
		a := x.over(ctx, way, engine.Result{})
		if away && a.Response == nil { // whatever was heard: it may have run there
			a.MayHaveRun, a.Rejected = true, false
		}
		if away || a.Response != nil || a.MayHaveRun || ctx.Err() != nil {
			return a
		}
	}
	return x.over(ctx, way, x.here(ctx))
}

// here gives the request to this sala's own clusters.
func (x *exchange) here(ctx context.Context) engine.Result {
	plan := failover.New(failover.Request{Cluster: x.to, Failover: x.rule.Failover, Effect: x.class.Effect, MaxAttempts: x.q.MaxAttempts,
		Deadline: x.deadline})
	to := plan.First(x.local())
	var last *upstream.Response
	for {
		a, here := x.try(ctx, to, plan)
		if here && x.gateway.sala != "" { // for the other salas to hear
			x.gateway.note(a.Rejected)
		}
		if a.Response == nil && a.LastResponse == nil {
			a.LastResponse = last
		}
		if !here {
			return a
		}
		last = a.LastResponse
		var again bool
		to, again = plan.Next(time.Now(), failover.Result{Served: a.Response != nil, MayHaveRun: a.MayHaveRun, Attempts: a.Attempts}, x.local())
		if !again {
			return a
		}
	}
}

// begin takes hold of a keyed request's key. Where it can't be had the answer is final.
func (x *exchange) begin(now time.Time, body []byte) (a engine.Result, ok bool) {
	if x.key == "" {
		return a, true
	}
	var print idempotency.Fingerprint
	if x.class.CheckRepeats {
		print = idempotency.FingerprintOf(x.up.Method, x.up.Target, body)
	}
	if a, ok := x.recall(now, print); !ok {
		return a, false
	}
	hold, err := x.gateway.keys.Begin(now, x.id, print)
	switch {
	case errors.Is(err, idempotency.ErrTooManyKeys): // nothing was sent
		return engine.Result{Rejected: true, RetryAfter: keysRetry}, false
	case errors.Is(err, idempotency.ErrKeyReused):
		x.turned = problem(http.StatusUnprocessableEntity, otherRequest)
		return a, false
	}
	x.hold = hold
	if a, ok := x.take(print); !ok {
		return a, false
	}
	if f := x.gateway.fleet; f != nil && f.HasVoters() && failover.NeedsFleetClaim(x.class.Scope, x.gateway.sala != "" || x.rule.Failover != "" || len(x.rule.Targets) > 1) {
		if c := x.passing; c != nil && c.ClaimAttempt != (ownership.AttemptID{}) {
			x.binder = resume(f, x.id, x.class, x.deadline, c.ClaimAttempt, c.ClaimRound, len(c.VisitedSites))
		} else {
			x.binder = newBinder(f, x.id, x.class, x.deadline)
		}
	}
	if hold.InProgress && x.class.Concurrent == conf.RejectConcurrent {
		x.turned = problem(http.StatusConflict, "A request with the key is in work.")
		x.turned.Header.Set("Retry-After", "1")
		return a, false
	}
	return a, true
}

const otherRequest = "The key belongs to another request."

// problem is an answer to a repeat that goes nowhere (draft-ietf-httpapi-idempotency-key-header, 2.7; RFC 9457).
func problem(status int, title string) *frontend.Reply {
	return &frontend.Reply{Status: status, Header: http.Header{"Content-Type": {"application/problem+json"}},
		Body: fmt.Appendf(nil, `{"status":%d,"title":%q}`, status, title)}
}

// past is what is known of the request's key.
func (x *exchange) past() idempotency.KeyState {
	if x.hold == nil {
		return idempotency.KeyState{}
	}
	p := x.hold.KeyState(x.class.Scope)
	if x.binder != nil {
		p = p.Merge(x.binder.KeyState(), x.class.Scope)
	}
	if x.told.Known {
		p = p.Merge(x.told, x.class.Scope)
	}
	return p
}

// local is what is known of the request's key, for a choice among this sala's clusters.
func (x *exchange) local() idempotency.KeyState {
	p := x.past()
	if sala, cluster := forwarding.SplitCluster(p.Place.Cluster); sala == x.gateway.sala {
		p.Place.Cluster = cluster
	}
	return p
}

// try gives the request to one cluster; here is false where its caller has gone.
func (x *exchange) try(ctx context.Context, to string, plan *failover.Plan) (a engine.Result, here bool) {
	c := x.state.clusters[to]
	if c == nil { // the key may have run at a cluster that is gone: nothing can be promised
		return engine.Result{MayHaveRun: true}, true
	}
	x.q.TimeLeft, x.q.MaxAttempts = time.Until(x.deadline), plan.AttemptsLeft()
	var key *engine.Key
	if x.hold != nil {
		key = &engine.Key{History: x.hold, Cluster: forwarding.QualifyCluster(x.gateway.sala, to),
			Terms: x.terms()}
		if x.binder != nil {
			key.Claimer = x.binder
		}
		if x.entry != nil {
			key.Recorder = recorder{x.entry, key.Terms}
		}
	}
	return c.Do(ctx, x.up, x.q, key)
}

// Reply implements frontend.Exchange. The answer is in the ledger before its first byte goes out.
func (x *exchange) Reply(a engine.Result) *frontend.Reply {
	r := x.reply(a)
	x.final(a, r)
	return r
}

// reply finds an answer's wording: what an endpoint said of a failure is passed on, but for 503 and 429, which would
// promise that a repeat is harmless. Neither is a request refused whose key may have run, whoever refuses it.
func (x *exchange) reply(a engine.Result) *frontend.Reply {
	switch {
	case x.turned != nil:
		return x.turned
	case a.Rejected && x.key != "":
		now, past := time.Now(), x.past()
		if x.hold == nil {
			past = x.gateway.keys.KeyState(now, x.id, x.class.Scope)
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

// End implements frontend.Exchange.
func (x *exchange) End() {
	if x.hold != nil {
		if x.binder != nil {
			x.binder.end(x.hold.MayHaveRun())
		}
		x.hold.End()
	}
	x.gateway.release(x.state)
}
