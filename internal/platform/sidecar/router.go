// Package sidecar is the platform's front: one tier, one balancer, classes named by the first part of the path. It
// reads what the platform's protocol says of a request and hands it to the decisions.
package sidecar

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/handover"
	"silvertrail/lbpolicy"
)

// Router reads requests as the platform's protocol words them.
type Router struct {
	config   atomic.Pointer[config.Config] // in force for requests whose heads are read from now on
	engine   *engine.Engine
	counters *counters.Set
	bodies   *semaphore.Weighted
	ids      *requestIDs
	keys     *idempotency.Table

	handover  atomic.Pointer[handover.Process] // nil: nobody can take over from this process
	reserveMu sync.Mutex
	reserve   *reserve // nil: all of the memory for bodies is this process's
}

const (
	maxKeys        = 1 << 15 // remembered, some 6 MB; 10 to 15 s of 2,000 keyed requests a second
	keysRetryAfter = time.Second
)

// NewRouter returns a router that holds at most maxBodies bytes of request bodies.
func NewRouter(c *config.Config, h *engine.Engine, board *counters.Set, maxBodies int64) *Router {
	s := &Router{engine: h, counters: board, bodies: semaphore.NewWeighted(maxBodies), ids: newRequestIDs(),
		keys: idempotency.New(maxKeys)}
	s.config.Store(c)
	board.AddClasses(c.Classes)
	return s
}

// Configure puts other settings in force for requests whose heads are read from now on; with an error nothing has changed.
func (s *Router) Configure(c *config.Config) error {
	if err := s.engine.Configure(engine.Settings{Policy: c.Policy, Zones: c.Zones, ReportFields: c.ReportFields}); err != nil {
		return err
	}
	s.counters.AddClasses(c.Classes)
	s.config.Store(c)
	return nil
}

// Route implements frontend.Router.
func (s *Router) Route(r *http.Request) (frontend.Exchange, *frontend.Reply) {
	c := s.config.Load()
	up, q, id, status := s.parse(c, r)
	if status != 0 {
		return nil, &frontend.Reply{Status: status, Close: true}
	}
	x := &exchange{router: s, config: c, upstream: up, request: q, requestID: id, outcome: counters.Errored}
	if x.isKeyed = x.class().Effect == lbpolicy.KeyedIdempotent; x.isKeyed {
		x.keyID = idempotency.KeyIDOf(r.Header.Get("X-Tenant-Id"), r.Header.Get("Idempotency-Key"))
	}
	return x, nil
}

type exchange struct {
	router      *Router
	config      *config.Config // in force when its head was read
	upstream    upstream.Request
	request     lbpolicy.Request
	requestID   string
	requestHash uint64 // of the id, once it has begun
	isStarted   bool
	isDuplicate bool // another request has the id

	isKeyed    bool
	keyID      idempotency.KeyID
	keyRequest *idempotency.Request

	isReceived bool // its last byte has come
	isAnswered bool // and it has been given its answer
	outcome    counters.Outcome
	response   *upstream.Response
}

func (x *exchange) Bodies() frontend.Budget { return x.router.bodies }

func (x *exchange) Do(ctx context.Context, body []byte) engine.Result {
	x.isReceived = true
	x.router.counters.RequestReceived()
	if x.requestHash, x.isStarted = x.router.ids.begin(x.requestID); !x.isStarted {
		x.isDuplicate = true
		return engine.Result{}
	}
	x.upstream.Body = body
	var key *engine.Key
	if x.isKeyed {
		var err error
		if x.keyRequest, err = x.router.keys.Begin(time.Now(), x.keyID, idempotency.Fingerprint{}); err != nil { // too many keys: nothing was sent
			return engine.Result{Rejected: true, RetryAfter: keysRetryAfter}
		}
		c := x.class()
		key = &engine.Key{History: x.keyRequest, Terms: idempotency.Terms{Scope: c.Scope, Window: c.Window, Retention: c.Deadline}}
		if p := x.router.handover.Load(); p != nil {
			key.Claimer = &keyClaimer{process: p, id: x.keyID, terms: key.Terms}
		}
	}
	a, _ := x.router.engine.Do(ctx, x.upstream, x.request, key)
	return a
}

// Most implements frontend.Streamer.
func (x *exchange) Most() int64 { return MaxBodyBytes }

// Stream implements frontend.Streamer.
func (x *exchange) Stream(ctx context.Context, held []byte, rest *frontend.Rest) engine.Result {
	x.upstream.Stream = rest
	return x.Do(ctx, held)
}

// MaxBodyBytes is how large a request's or an answer's body may be.
const MaxBodyBytes = 32 << 20

func (x *exchange) class() *lbpolicy.Class { return &x.config.Policy.Classes[x.request.Class] }

// Reply turns away the id of another request: never 429 or 503, which would speak of the request that has the id. Neither
// is a request refused whose key may have run.
func (x *exchange) Reply(a engine.Result) *frontend.Reply {
	own := x.reply(a)
	x.isAnswered = true
	switch {
	case own == nil && a.Response != nil:
		x.outcome, x.response = counters.Answered, a.Response
	case own == nil && a.Rejected || own != nil && own.Status == http.StatusServiceUnavailable:
		x.outcome = counters.Rejected
	}
	return own
}

func (x *exchange) reply(a engine.Result) *frontend.Reply {
	if x.isDuplicate {
		return &frontend.Reply{Status: http.StatusConflict, Close: true}
	}
	if a.ClassRemoved {
		return &frontend.Reply{Status: http.StatusNotFound}
	}
	if !a.Rejected {
		return nil
	}
	if now, scope := time.Now(), x.class().Scope; x.isKeyed &&
		!failover.MayReject(now, x.router.keys.KeyState(now, x.keyID, scope), scope) {
		return &frontend.Reply{Status: http.StatusBadGateway}
	}
	if d := &x.config.Policy; !d.SendsRetryAfter || d.Tier > 0 {
		return &frontend.Reply{Status: http.StatusServiceUnavailable}
	} else if d.MaxRetryAfter > 0 && a.RetryAfter > d.MaxRetryAfter { // clients honour no more: one that is told more may come at once
		return &frontend.Reply{Status: http.StatusServiceUnavailable,
			Header: http.Header{"Retry-After": {strconv.FormatFloat(d.MaxRetryAfter.Seconds(), 'f', 3, 64)}}}
	}
	return nil
}

func (x *exchange) End() {
	if x.response != nil && x.response.Stream != nil && !x.response.Stream.IsDelivered() { // it broke off, or its caller has gone
		x.outcome = counters.Errored
	}
	if x.isReceived || x.isAnswered { // else its body never came whole: it was not taken
		x.router.counters.RequestEnded(x.class().Name, x.outcome, x.isReceived)
	}
	if x.keyRequest != nil {
		x.keyRequest.End()
	}
	if x.isStarted {
		x.router.ids.end(x.requestHash)
	}
}

const maxRequestIDBytes = 128

// parse reads a request's head. The status is 0 if it can be served.
func (s *Router) parse(conf *config.Config, r *http.Request) (up upstream.Request, q lbpolicy.Request, id string, status int) {
	id, one := frontend.Single(r.Header, "X-Request-Id")
	header, oneClass := frontend.Single(r.Header, "X-Priority-Class")
	_, oneKey := frontend.Single(r.Header, "Idempotency-Key")
	_, oneTenant := frontend.Single(r.Header, "X-Tenant-Id")
	timeout, oneTimeout := frontend.Single(r.Header, "X-Timeout-Ms")
	class := slices.Index(conf.Classes, header)
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.IndexByte(path, '%') >= 0 {
		var err error
		if path, err = url.PathUnescape(path); err != nil {
			return up, q, id, http.StatusBadRequest
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	named := slices.Index(conf.Classes, first)
	switch {
	case !one || !oneClass || !oneKey || !oneTenant || !oneTimeout, id == "", len(id) > maxRequestIDBytes,
		!strings.HasPrefix(r.RequestURI, "/"), header != "" && class < 0 && header != first: // one that has vanished is not found, below
		return up, q, id, http.StatusBadRequest
	case named < 0:
		return up, q, id, http.StatusNotFound
	case header != "" && class != named:
		return up, q, id, http.StatusBadRequest
	}
	c := &conf.Policy.Classes[named]
	if !matchesEffect(r, c.Effect) {
		return up, q, id, http.StatusBadRequest
	}
	q = lbpolicy.Request{Class: named, ClassAtArrival: c, TimeLeft: c.Deadline, Retry: r.Header.Get("X-Retried") == "1",
		// An unknown tenant is -1: to the decisions it has no share of its own.
		Tenant: slices.Index(conf.Tenants, r.Header.Get("X-Tenant-Id"))}
	if _, given := r.Header["X-Timeout-Ms"]; given {
		ms, err := strconv.ParseUint(timeout, 10, 63)
		if err != nil {
			return up, q, id, http.StatusBadRequest
		}
		// No client waits longer than its class's deadline; one that says so would hold a connection for nothing.
		q.TimeLeft = time.Duration(min(ms, uint64(c.Deadline.Milliseconds()))) * time.Millisecond
	}
	up = upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: frontend.EndToEnd(r.Header)}
	// A caller's Connection header must not strip what endpoints go by.
	for _, name := range []string{"X-Request-Id", "Idempotency-Key"} {
		if len(up.Header[name]) != len(r.Header[name]) {
			return up, q, id, http.StatusBadRequest
		}
	}
	return up, q, id, 0
}

// matchesEffect tells whether the method and key are those of the class's effect.
func matchesEffect(r *http.Request, e lbpolicy.Effect) bool {
	keyed := r.Header.Get("Idempotency-Key") != ""
	switch e {
	case lbpolicy.Idempotent:
		return r.Method == http.MethodGet && r.ContentLength == 0
	case lbpolicy.KeyedIdempotent:
		return r.Method == http.MethodPost && keyed
	default:
		return r.Method == http.MethodPost && !keyed
	}
}
