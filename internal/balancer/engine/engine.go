// Package engine runs an lbpolicy.Balancer on real sockets and a real clock. It translates between the two and decides
// nothing: clients' requests, ends of attempts, endpoint lists and timers become events, one at a time, and the actions of
// the balancer become attempts and results.
//
// An Engine owns the balancer and serialises all events with one mutex, under which no I/O is done. Each attempt in flight
// has a goroutine, and each call a timer for its deadline.
package engine

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// Engine runs a balancer. All its methods may be called from any goroutine.
type Engine struct {
	log    *slog.Logger
	client *upstream.Client
	clock  clock
	watch  func() // polls discovery

	mu              sync.Mutex // guards the fields below, and all calls, attempts and endpoints
	zones           []string
	reportFields    []string
	balancer        *lbpolicy.Balancer
	pendingEvents   []func(now time.Duration) // caused by actions; they follow the present event
	lastID          lbpolicy.RequestID
	classes         []lbpolicy.Class // in force
	calls           map[lbpolicy.RequestID]*Call
	endpoints       map[lbpolicy.ServerID]*endpoint
	everListed      *nameSet
	manuallyEjected map[string]lbpolicy.ServerID    // by name
	hedges          [len(lbpolicy.HedgeReasons)]int // by reason
	shutdownAt      time.Time                       // when all calls must have their result; zero: not shutting down
}

// Options configure an Engine.
type Options struct {
	Policy       lbpolicy.Settings
	Seed         uint64
	Zones        []string // by name, in the order of the policy's numbers
	ReportFields []string // of a load report, in the order of Policy.ReportFields
	Client       *upstream.Client
	Watch        func() // polls discovery; must not block
	Log          *slog.Logger
}

// New returns an Engine without endpoints.
func New(o Options) (*Engine, error) {
	e := &Engine{
		log:             o.Log,
		client:          o.Client,
		clock:           clock{time.Now()},
		zones:           o.Zones,
		reportFields:    o.ReportFields,
		watch:           o.Watch,
		classes:         o.Policy.Classes,
		calls:           map[lbpolicy.RequestID]*Call{},
		endpoints:       map[lbpolicy.ServerID]*endpoint{},
		everListed:      newNameSet(),
		manuallyEjected: map[string]lbpolicy.ServerID{},
	}
	var err error
	e.balancer, err = lbpolicy.New(o.Policy, o.Seed, actions{e})
	return e, err
}

// event handles an event, and then the events that its actions cause.
func (e *Engine) event(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handleEvent(f)
	for len(e.pendingEvents) > 0 {
		next := e.pendingEvents[0]
		e.pendingEvents = e.pendingEvents[1:]
		e.handleEvent(next)
	}
	e.pendingEvents = nil
}

// handleEvent handles one event. A panic ends that event, and not the process with all its requests: it is logged, and what
// the event was to decide is left to the deadlines of the calls (see expire).
func (e *Engine) handleEvent(f func(now time.Duration)) {
	defer func() {
		if p := recover(); p != nil {
			e.log.Error("decision failed", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f(e.clock.now())
}

// ShutDownBy sets the time at which all calls, and all that still arrive, must have their result.
func (e *Engine) ShutDownBy(at time.Time) {
	e.event(func(time.Duration) {
		e.shutdownAt = at
		for _, c := range e.calls {
			if c.request.Deadline.After(at) {
				c.deadlineTimer.Reset(time.Until(at))
			}
		}
	})
}

// limitToShutdown bounds the time that a call has left.
func (e *Engine) limitToShutdown(left time.Duration) time.Duration {
	if e.shutdownAt.IsZero() {
		return left
	}
	return min(left, max(time.Until(e.shutdownAt), 0))
}

// SetBalancers sets how many balancers share the endpoints, and the index of this one.
func (e *Engine) SetBalancers(balancers, index int) {
	e.event(func(now time.Duration) { e.balancer.SetBalancers(now, balancers, index) })
}

// SetDropFraction sets the fraction of the traffic to reject whatever the load, the lowest priority weight first.
func (e *Engine) SetDropFraction(fraction float64) {
	e.event(func(now time.Duration) { e.balancer.SetDropFraction(now, fraction) })
}

// InFlight returns the number of calls that wait for their result or for the end of an attempt.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// Synchronize calls f while nothing else happens in the engine: no attempt begins, and none ends.
func (e *Engine) Synchronize(f func()) { e.event(func(time.Duration) { f() }) }
