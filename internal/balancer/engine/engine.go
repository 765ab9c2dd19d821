// Package engine runs an lbpolicy.Balancer on real sockets and a real clock. It makes no balancing decisions of its own. Client
// requests, ends of attempts, endpoint lists and timers become events, which are processed one at a time. The actions of the
// balancer become attempts and results.
//
// An Engine owns the balancer and serialises all events with one mutex, under which no I/O is done. Each attempt in flight has a
// goroutine, and each call has a timer for its deadline.
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
	log           *slog.Logger
	client        *upstream.Client
	clock         clock
	pollDiscovery func() // polls the discovery service

	mu              sync.Mutex // guards the fields below, and all calls, attempts and endpoints
	zones           []string
	reportFields    []string
	balancer        *lbpolicy.Balancer
	pendingEvents   []func(now time.Duration) // events caused by actions, processed after the present event
	lastID          lbpolicy.RequestID
	classes         []lbpolicy.Class // of the present settings
	calls           map[lbpolicy.RequestID]*Call
	endpoints       map[lbpolicy.ServerID]*endpoint
	everListed      *nameSet
	manuallyEjected map[string]lbpolicy.ServerID    // by endpoint name
	hedges          [len(lbpolicy.HedgeReasons)]int // number of hedged requests by reason
	shutdownAt      time.Time                       // by which all calls must have their result; zero: not shutting down
}

// Options configure an Engine.
type Options struct {
	Policy        lbpolicy.Settings
	Seed          uint64
	Zones         []string // names, indexed by the policy's zone numbers
	ReportFields  []string // names of the fields of a load report, in the order of Policy.ReportFields
	Client        *upstream.Client
	PollDiscovery func() // polls the discovery service; must not block
	Log           *slog.Logger
}

// New returns an Engine without endpoints.
func New(o Options) (*Engine, error) {
	e := &Engine{
		log:             o.Log,
		client:          o.Client,
		clock:           clock{time.Now()},
		zones:           o.Zones,
		reportFields:    o.ReportFields,
		pollDiscovery:   o.PollDiscovery,
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

// processEvent processes an event, and then the events that its actions cause.
func (e *Engine) processEvent(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runEventHandler(f)
	for len(e.pendingEvents) > 0 {
		next := e.pendingEvents[0]
		e.pendingEvents = e.pendingEvents[1:]
		e.runEventHandler(next)
	}
	e.pendingEvents = nil
}

// runEventHandler runs the handler of one event. A panic ends that handler, but not the process with all its requests: it is logged.
// Calls that the event would have ended then end at their deadlines (see expire).
func (e *Engine) runEventHandler(f func(now time.Duration)) {
	defer func() {
		if p := recover(); p != nil {
			e.log.Error("decision failed", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f(e.clock.now())
}

// ShutDownBy sets the time by which all calls must have their result, those that still arrive included.
func (e *Engine) ShutDownBy(at time.Time) {
	e.processEvent(func(time.Duration) {
		e.shutdownAt = at
		for _, c := range e.calls {
			if c.request.Deadline.After(at) {
				c.deadlineTimer.Reset(time.Until(at))
			}
		}
	})
}

// limitToShutdown limits the time that a call has left to the time until the shutdown.
func (e *Engine) limitToShutdown(timeLeft time.Duration) time.Duration {
	if e.shutdownAt.IsZero() {
		return timeLeft
	}
	return min(timeLeft, max(time.Until(e.shutdownAt), 0))
}

// SetBalancers sets the number of balancers that share the endpoints, and the index of this one among them.
func (e *Engine) SetBalancers(balancers, index int) {
	e.processEvent(func(now time.Duration) { e.balancer.SetBalancers(now, balancers, index) })
}

// SetDropFraction sets the fraction of the traffic that is rejected at any load, the lowest priority weight first.
func (e *Engine) SetDropFraction(fraction float64) {
	e.processEvent(func(now time.Duration) { e.balancer.SetDropFraction(now, fraction) })
}

// InFlight returns the number of calls that are waiting for their result or for the end of an attempt.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// Synchronize calls f while no event is processed: no attempt begins or ends meanwhile.
func (e *Engine) Synchronize(f func()) { e.processEvent(func(time.Duration) { f() }) }
