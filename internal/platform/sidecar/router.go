// Package sidecar is the frontend of the platform's sidecar: one tier, one balancer, classes named by the first part of the
// path. It reads what the platform's protocol says of a request and passes it to the engine. Takeover shares a host's
// resources, listener and state with the other processes of an upgrade.
package sidecar

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/handover"
	"silvertrail/lbpolicy"
)

const (
	maxKeys        = 1 << 15 // remembered, some 6 MB; 10 to 15 s of 2,000 requests a second with keys
	keysRetryAfter = time.Second
)

// MaxBodyBytes bounds the body of a request and of a response.
const MaxBodyBytes = 32 << 20

// Router parses requests by the platform's protocol. It implements frontend.Router. Its methods may be called from any
// goroutine.
type Router struct {
	config   atomic.Pointer[config.Config] // for requests whose heads are read from now on
	engine   *engine.Engine
	counters *counters.Set
	bodies   *semaphore.Weighted // bytes of request bodies
	ids      *requestIDs
	keys     *idempotency.Table

	handover  atomic.Pointer[handover.Process] // nil: no process can take over from this one
	reserveMu sync.Mutex
	reserve   *reserve // nil: this process has all of the memory for bodies
}

// NewRouter returns a Router that holds at most maxBodies bytes of request bodies.
func NewRouter(c *config.Config, e *engine.Engine, set *counters.Set, maxBodies int64) *Router {
	r := &Router{
		engine:   e,
		counters: set,
		bodies:   semaphore.NewWeighted(maxBodies),
		ids:      newRequestIDs(),
		keys:     idempotency.New(maxKeys),
	}
	r.config.Store(c)
	set.AddClasses(c.Classes)
	return r
}

// Configure applies other settings to requests whose heads are read from now on. After an error nothing has changed.
func (r *Router) Configure(c *config.Config) error {
	if err := r.engine.Configure(engine.Settings{Policy: c.Policy, Zones: c.Zones, ReportFields: c.ReportFields}); err != nil {
		return err
	}
	r.counters.AddClasses(c.Classes)
	r.config.Store(c)
	return nil
}

// Route implements frontend.Router.
func (r *Router) Route(head *http.Request) (frontend.Exchange, *frontend.Reply) {
	c := r.config.Load()
	parsed, status := parse(c, head)
	if status != 0 {
		return nil, &frontend.Reply{Status: status, Close: true}
	}
	x := &exchange{
		router:    r,
		config:    c,
		upstream:  parsed.upstream,
		request:   parsed.request,
		requestID: parsed.requestID,
		outcome:   counters.Errored,
	}
	x.isKeyed = x.class().Effect == lbpolicy.KeyedIdempotent
	if x.isKeyed {
		x.keyID = idempotency.KeyIDOf(head.Header.Get(headerTenant), head.Header.Get(headerKey))
	}
	return x, nil
}
