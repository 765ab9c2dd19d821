// Package sidecar is the frontend of the platform's sidecar. It has one tier and one balancer, and the first segment of a
// request's path names its class. The package parses requests by the platform's protocol and passes them to the engine.
// Takeover shares a host's resources, listener and state with the other processes of an upgrade.
package sidecar

import (
	"log/slog"
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
	maxKeys        = 1 << 15 // these cover 10 to 15 s of 2,000 requests per second with keys
	keyBytes       = 256     // memory of a key, with its entries in the table and in the queue of expiries
	keyDivider     = 8       // divides the memory for the heap: the part for keys
	keysRetryAfter = time.Second
)

// keysFor returns how many keys a heap has room for.
func keysFor(heapBytes int64) int { return int(min(heapBytes/keyDivider/keyBytes, maxKeys)) }

// MaxBodyBytes is the maximum size of a request body and of a response body.
const MaxBodyBytes = 32 << 20

// Router parses requests by the platform's protocol. It implements frontend.Router. Its methods may be called from any
// goroutine.
type Router struct {
	config   atomic.Pointer[config.Config] // for requests whose heads have not been read yet
	engine   *engine.Engine
	counters *counters.Set
	log      *slog.Logger
	bodies   *semaphore.Weighted // memory for request bodies, in bytes
	ids      *requestIDs
	keys     *idempotency.Table

	handover  atomic.Pointer[handover.Process] // nil: no process can take over from this one
	reserveMu sync.Mutex
	reserve   *reserve // nil: this process has all of the memory for bodies
}

// NewRouter returns a Router that stays within the memory of a budget.
func NewRouter(c *config.Config, e *engine.Engine, set *counters.Set, budget Budget, log *slog.Logger) *Router {
	r := &Router{
		engine:   e,
		counters: set,
		log:      log,
		bodies:   semaphore.NewWeighted(budget.BodyBytes),
		ids:      newRequestIDs(),
		keys:     idempotency.New(keysFor(budget.HeapBytes)),
	}
	r.config.Store(c)
	set.AddClasses(c.Classes)
	return r
}

// Configure applies new settings to requests whose heads have not been read yet. If it returns an error, the old settings
// stay in effect.
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
		x.keyOwner = idempotency.OwnerOf(head.RemoteAddr)
		x.keyID = idempotency.KeyIDOf(head.Header.Get(headerTenant), head.Header.Get(headerKey))
	}
	return x, nil
}
