// Package cluster runs one cluster: it merges the endpoint lists of several sources, and runs the load-balancing policy over the
// members.
//
// merge.go states the rules of the merge. Which member gets a request is decided by package lbpolicy alone. A Cluster runs one goroutine
// for each source, and those of its engine; Close ends them.
package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/quota"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/lbpolicy"
)

// Config configures a cluster.
type Config struct {
	Name string
	Core
	Sources         []Source
	ReserveFraction float64 // of each of the process's resources, reserved for this cluster
	MaxFraction     float64 // of each of the process's resources, the most that it may take
	// EmptyHold is how long an empty list after one that was not empty is taken for a fault.
	EmptyHold time.Duration
}

// Core is the part of a Config that needs a new balancer when it changes, which has to learn anew. The rest can change under a running
// one.
type Core struct {
	Policy         lbpolicy.Settings
	Zones          []string
	ReportFields   []string
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
}

// Resources are shared by all clusters of the process.
type Resources struct {
	Connections, Requests, Bodies *quota.Pool
	// The totals of the three, of which a Config's fractions are taken.
	MaxConnections, MaxRequests, MaxBodies int64
	// OnExhausted is called when the process has no descriptor for a connection to an endpoint; it may be nil.
	OnExhausted func()
	// Discovery follows the clusters of control planes; nil: there are none.
	Discovery Discovery
}

// NewResources returns the shared resources.
func NewResources(connections, calls, bodies int64) *Resources {
	return &Resources{quota.NewPool(connections), quota.NewPool(calls), quota.NewPool(bodies), connections, calls, bodies, nil, nil}
}

// Resize changes the totals; clusters take their parts with their next Update.
func (r *Resources) Resize(connections, calls, bodies int64) {
	r.Connections.Resize(connections)
	r.Requests.Resize(calls)
	r.Bodies.Resize(bodies)
	r.MaxConnections, r.MaxRequests, r.MaxBodies = connections, calls, bodies
}

// initialListTimeout is how long the sources have for their first lists.
const initialListTimeout = 2 * time.Second

// busyRetryAfter is the Retry-After of a request that meets the bound on requests in flight.
const busyRetryAfter = time.Second

// Cluster is a running cluster: its sources, members, policy engine and connections. Its methods may be called from any goroutine.
type Cluster struct {
	log       *slog.Logger
	resources *Resources
	engine    *engine.Engine
	client    *upstream.Client
	bodies    *quota.Allocation
	requests  *quota.Allocation
	conns     *quota.Allocation

	mu           sync.Mutex
	config       Config
	merger       *merger
	generation   int // of the sources; what earlier ones still report is ignored
	members      []endpointlist.Endpoint
	timer        *time.Timer
	stop         context.CancelFunc
	initialized  chan struct{}
	closed       bool
	sourceLimits sourceLimits  // from a source
	hasReady     atomic.Bool   // there is a member for new requests
	revision     atomic.Uint64 // of members
}

// New starts a cluster.
func New(c Config, r *Resources, seed uint64, log *slog.Logger) (*Cluster, error) {
	cl := &Cluster{log: log.With("cluster", c.Name), resources: r, stop: func() {}}
	cl.conns = r.Connections.Allocate(resourceShare(c, r.MaxConnections))
	cl.requests = r.Requests.Allocate(resourceShare(c, r.MaxRequests))
	cl.bodies = r.Bodies.Allocate(resourceShare(c, r.MaxBodies))
	cl.client = upstream.NewClient(upstream.Options{DialTimeout: c.ConnectTimeout, IdleTimeout: c.IdleTimeout, HedgeDials: true, MaxConns: int(r.MaxConnections),
		Allocation: cl.conns, AnyStatus: true, OnExhausted: r.OnExhausted})
	var err error
	cl.engine, err = engine.New(engine.Options{Policy: c.Policy, Seed: seed, Zones: c.Zones, ReportFields: c.ReportFields, Client: cl.client,
		Watch: func() {}, Log: cl.log})
	if err != nil {
		return nil, fmt.Errorf("cluster %q: %w", c.Name, err)
	}
	cl.followSources(c)
	return cl, nil
}

// resourceShare returns a cluster's reserve and limit of a total. The limit is at least one unit.
func resourceShare(c Config, total int64) (reserve, most int64) {
	return int64(c.ReserveFraction * float64(total)), max(int64(c.MaxFraction*float64(total)), 1)
}

// CanUpdate reports whether Update can take up a configuration.
func (c *Cluster) CanUpdate(next Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Name == next.Name && reflect.DeepEqual(c.config.Core, next.Core)
}

// Update takes up a configuration for which CanUpdate is true. The balancer keeps its connections and its state.
func (c *Cluster) Update(next Config, r *Resources) {
	c.mu.Lock()
	old := c.config
	c.resources = r
	c.mu.Unlock()
	c.bodies.Resize(resourceShare(next, r.MaxBodies))
	if !reflect.DeepEqual(old.Sources, next.Sources) || old.EmptyHold != next.EmptyHold {
		c.followSources(next)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = next
	c.applyLimits()
}

// sourceLimits are limits that a source gives a cluster. Each applies within that of the configuration.
type sourceLimits struct {
	connectTimeout        time.Duration // zero: not given, as the others
	connections, requests int
	dropFraction          float64 // of the traffic, to reject
}

// setSourceLimits takes over a source's limits.
func (c *Cluster) setSourceLimits(turn int, b sourceLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != turn || c.closed || c.sourceLimits == b {
		return
	}
	c.sourceLimits = b
	c.applyLimits()
}

// applyLimits applies the limits of the configuration and the source. The caller holds the lock.
func (c *Cluster) applyLimits() {
	resize := func(s *quota.Allocation, total int64, told int) {
		reserve, most := resourceShare(c.config, total)
		if told > 0 {
			most = min(most, int64(told))
		}
		s.Resize(min(reserve, most), most)
	}
	resize(c.conns, c.resources.MaxConnections, c.sourceLimits.connections)
	resize(c.requests, c.resources.MaxRequests, c.sourceLimits.requests)
	connect := c.config.ConnectTimeout
	if c.sourceLimits.connectTimeout > 0 {
		connect = min(connect, c.sourceLimits.connectTimeout)
	}
	c.client.SetDialTimeout(connect)
	c.engine.SetDropFraction(c.sourceLimits.dropFraction)
}

// followSources starts a configuration's sources in place of those before. The members from before stay until each source has sent a
// list: a source that is slow or unreachable must not empty the cluster.
func (c *Cluster) followSources(next Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.stop()
	ctx, stop := context.WithCancel(context.Background())
	c.config, c.stop = next, stop
	c.generation++
	var traits []sourceTraits
	for _, s := range next.Sources {
		traits = append(traits, s.traits())
	}
	c.merger = newMerger(next.EmptyHold, traits...)
	c.merger.hadMembers = len(c.members) > 0
	c.initialized = make(chan struct{})
	c.sourceLimits = sourceLimits{}
	c.applyLimits()
	turn, discovery := c.generation, c.resources.Discovery
	for i, s := range next.Sources {
		go s.run(ctx, func(w updateKind, entries []endpointlist.Endpoint) { c.receive(turn, i, w, entries) }, discovery,
			func(b sourceLimits) { c.setSourceLimits(turn, b) }, c.log)
	}
	time.AfterFunc(initialListTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.generation == turn {
			c.markInitialized()
		}
	})
}

// markInitialized closes the channel of Initialized. The caller holds the lock.
func (c *Cluster) markInitialized() {
	select {
	case <-c.initialized:
	default:
		close(c.initialized)
	}
}

// Initialized returns a channel that is closed once each source has reported, or had the time to.
func (c *Cluster) Initialized() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.initialized
}

// receive applies a source's update.
func (c *Cluster) receive(turn, source int, w updateKind, entries []endpointlist.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != turn || c.closed {
		return
	}
	now := time.Now()
	c.merger.apply(now, source, w, entries)
	c.publish(now)
	if c.merger.allReported() {
		c.markInitialized()
	}
}

// publish passes the merged list to the engine where it has changed. The caller holds the lock.
func (c *Cluster) publish(now time.Time) {
	if c.closed {
		return
	}
	list := c.merger.members(now)
	if !c.merger.allListed() {
		list = c.appendPrevious(list)
	}
	if c.merger.truncated > 0 {
		c.log.Warn("members over the bound are left out", "max_members", maxMembers, "left_out", c.merger.truncated)
	}
	if !slices.Equal(list, c.members) {
		c.members = list
		c.revision.Add(1)
		c.hasReady.Store(slices.ContainsFunc(list, func(e endpointlist.Endpoint) bool { return e.Status == ready }))
		c.engine.UpdateEndpoints(lbpolicy.Full, list)
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if at := c.merger.nextDeadline(); !at.IsZero() {
		turn := c.generation
		c.timer = time.AfterFunc(time.Until(at), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.generation == turn {
				c.publish(time.Now())
			}
		})
	}
}

// appendPrevious adds the members from before to a list that lacks some sources, except those that a source has reported as departed.
func (c *Cluster) appendPrevious(list []endpointlist.Endpoint) []endpointlist.Endpoint {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Address] = true
	}
	departed := c.merger.departures()
	for _, e := range c.members {
		if !listed[e.Address] && !departed.covers(e) {
			list = append(list, e)
		}
	}
	return list
}

// Revision counts the changes of the members.
func (c *Cluster) Revision() uint64 { return c.revision.Load() }

// Members returns the members as they were published last.
func (c *Cluster) Members() []endpointlist.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// Bodies returns the cluster's part of the memory for request bodies.
func (c *Cluster) Bodies() *quota.Allocation { return c.bodies }

// SetBalancers sets how many instances share the endpoints, and which of them this one is.
func (c *Cluster) SetBalancers(instances, index int) { c.engine.SetBalancers(instances, index) }

// InFlight returns the number of requests without a response, or with an attempt that has not ended.
func (c *Cluster) InFlight() int { return c.engine.InFlight() }

// ShutDownBy sets the time by which all requests, also those still to come, must have their responses.
func (c *Cluster) ShutDownBy(at time.Time) { c.engine.ShutDownBy(at) }

// Do passes a request to the engine and waits for its result; ok is false where the client has disconnected. Over the bound on requests in
// flight it is rejected at once: nothing of it ran. The key is nil where the request has none.
func (c *Cluster) Do(ctx context.Context, r upstream.Request, q lbpolicy.Request, key *engine.Key) (a engine.Result, ok bool) {
	if !c.requests.TryAcquire(1) {
		return engine.Result{Rejected: true, RetryAfter: busyRetryAfter}, true
	}
	defer c.requests.Release(1)
	if a, ok = c.engine.Do(ctx, r, q, key); a.Rejected && a.RetryAfter == 0 && (a.OutOfDescriptors || !c.hasReady.Load()) {
		a.RetryAfter = busyRetryAfter
	}
	return a, ok
}

// Close ends the sources and removes all members. Attempts in flight end by themselves.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.stop()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.engine.Close()
	c.conns.Close()
	c.requests.Close()
	c.bodies.Close()
}
