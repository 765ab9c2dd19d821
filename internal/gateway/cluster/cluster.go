// Package cluster runs one cluster of endpoints. It merges the endpoint lists of several sources and runs the load-balancing policy over
// the resulting members.
//
// The rules of the merge are documented at the type merger. Package lbpolicy alone decides which member receives a request. A Cluster runs
// one goroutine for each source, and the goroutines of its engine. Close ends them.
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
	ReserveFraction float64 // fraction of each process resource that is reserved for this cluster
	MaxFraction     float64 // largest fraction of each process resource that this cluster may use
	// EmptyHold is how long an empty list is treated as a fault of the source when it follows a list that was not empty.
	EmptyHold time.Duration
}

// Core is the part of a Config that a running balancer cannot change. A change needs a new balancer, which starts without the old one's
// measurements. Cluster.Update applies changes of all other fields.
type Core struct {
	Policy         lbpolicy.Settings
	Zones          []string
	ReportFields   []string
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
}

// Resources holds the quota pools that all clusters of the process share.
type Resources struct {
	Connections, Requests, Bodies *quota.Pool
	// The totals of the three pools. The fractions in Config refer to them.
	MaxConnections, MaxRequests, MaxBodies int64
	// OnExhausted is called when the process has no file descriptor for a connection to an endpoint. It may be nil.
	OnExhausted func()
	// Discovery follows clusters that control planes define. It is nil without a control plane.
	Discovery Discovery
}

// NewResources returns pools of the given totals: connections, requests in flight, and bytes of request bodies.
func NewResources(connections, requests, bodies int64) *Resources {
	return &Resources{quota.NewPool(connections), quota.NewPool(requests), quota.NewPool(bodies), connections, requests, bodies, nil, nil}
}

// Resize changes the totals. Each cluster adjusts its allocations at its next Update.
func (r *Resources) Resize(connections, requests, bodies int64) {
	r.Connections.Resize(connections)
	r.Requests.Resize(requests)
	r.Bodies.Resize(bodies)
	r.MaxConnections, r.MaxRequests, r.MaxBodies = connections, requests, bodies
}

// initialListTimeout is how long a cluster waits for the first lists of its sources before it counts as initialized.
const initialListTimeout = 2 * time.Second

// busyRetryAfter is the Retry-After of requests that are rejected at the bound on requests in flight, for lack of file descriptors, for
// lack of a ready member, or by a shutdown.
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
	generation   int // incremented when the sources are replaced; updates from replaced sources are ignored
	members      []endpointlist.Endpoint
	timer        *time.Timer // next publish, at the merger's next deadline; nil: none is due
	stop         context.CancelFunc
	initialized  chan struct{}
	closed       bool
	sourceLimits sourceLimits // last reported by a source
	hasReady     atomic.Bool  // at least one member is ready for new requests
	shuttingDown atomic.Bool
	revision     atomic.Uint64 // number of changes of members
}

// New starts a cluster.
func New(c Config, r *Resources, seed uint64, log *slog.Logger) (*Cluster, error) {
	cluster := &Cluster{log: log.With("cluster", c.Name), resources: r, stop: func() {}}
	cluster.conns = r.Connections.Allocate(resourceShare(c, r.MaxConnections))
	cluster.requests = r.Requests.Allocate(resourceShare(c, r.MaxRequests))
	cluster.bodies = r.Bodies.Allocate(resourceShare(c, r.MaxBodies))
	cluster.client = upstream.NewClient(upstream.Options{DialTimeout: c.ConnectTimeout, IdleTimeout: c.IdleTimeout, HedgeDials: true, MaxConns: int(r.MaxConnections),
		Allocation: cluster.conns, AnyStatus: true, OnExhausted: r.OnExhausted})
	var err error
	cluster.engine, err = engine.New(engine.Options{Policy: c.Policy, Seed: seed, Zones: c.Zones, ReportFields: c.ReportFields, Client: cluster.client,
		PollDiscovery: func() {}, Log: cluster.log})
	if err != nil {
		return nil, fmt.Errorf("cluster %q: %w", c.Name, err)
	}
	cluster.followSources(c)
	return cluster, nil
}

// resourceShare returns how much of a total is reserved for a cluster, and the most that it may use. The latter is at least 1.
func resourceShare(c Config, total int64) (reserve, limit int64) {
	return int64(c.ReserveFraction * float64(total)), max(int64(c.MaxFraction*float64(total)), 1)
}

// CanUpdate reports whether Update can apply a configuration, which must have the same name and Core.
func (c *Cluster) CanUpdate(next Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Name == next.Name && reflect.DeepEqual(c.config.Core, next.Core)
}

// Update applies a configuration for which CanUpdate is true. The balancer keeps its connections and its state.
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

// sourceLimits holds limits that a source sets for a cluster. They can lower the configured limits and never raise them.
type sourceLimits struct {
	connectTimeout        time.Duration // here and in the other fields zero means that the source sets no limit
	connections, requests int
	dropFraction          float64 // fraction of requests to reject
}

// setSourceLimits applies the limits that a source has reported. It ignores sources that have been replaced.
func (c *Cluster) setSourceLimits(generation int, limits sourceLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation || c.closed || c.sourceLimits == limits {
		return
	}
	c.sourceLimits = limits
	c.applyLimits()
}

// applyLimits applies the limits of the configuration and the source. The caller holds the lock.
func (c *Cluster) applyLimits() {
	resize := func(allocation *quota.Allocation, total int64, sourceLimit int) {
		reserve, limit := resourceShare(c.config, total)
		if sourceLimit > 0 {
			limit = min(limit, int64(sourceLimit))
		}
		allocation.Resize(min(reserve, limit), limit)
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

// followSources stops the current sources and starts those of a configuration. The current members stay until each new source has sent a
// list, so that a slow or unreachable source does not empty the cluster.
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
	generation, discovery := c.generation, c.resources.Discovery
	for i, s := range next.Sources {
		go s.run(ctx, func(kind updateKind, entries []endpointlist.Endpoint) { c.receive(generation, i, kind, entries) }, discovery,
			func(limits sourceLimits) { c.setSourceLimits(generation, limits) }, c.log)
	}
	time.AfterFunc(initialListTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.generation == generation {
			c.markInitialized()
		}
	})
}

// markInitialized closes the channel that Initialized returns, unless it is closed already. The caller holds the lock.
func (c *Cluster) markInitialized() {
	select {
	case <-c.initialized:
	default:
		close(c.initialized)
	}
}

// Initialized returns a channel that is closed once each source has reported, or after initialListTimeout.
func (c *Cluster) Initialized() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.initialized
}

// receive merges a source's update and publishes the result. It ignores sources that have been replaced.
func (c *Cluster) receive(generation, source int, kind updateKind, entries []endpointlist.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation || c.closed {
		return
	}
	now := time.Now()
	c.merger.apply(now, source, kind, entries)
	c.publish(now)
	if c.merger.allReported() {
		c.markInitialized()
	}
}

// publish passes the merged list to the engine if it has changed, and schedules the next publish at the merger's next deadline. The
// caller holds the lock.
func (c *Cluster) publish(now time.Time) {
	if c.closed {
		return
	}
	list := c.merger.members(now)
	if !c.merger.allListed() {
		list = c.appendPrevious(list)
	}
	if c.merger.truncated > 0 {
		c.log.Warn("cluster has more members than the limit, the rest is left out", "max_members", maxMembers, "left_out", c.merger.truncated)
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
	if deadline := c.merger.nextDeadline(); !deadline.IsZero() {
		generation := c.generation
		c.timer = time.AfterFunc(time.Until(deadline), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.generation == generation {
				c.publish(time.Now())
			}
		})
	}
}

// appendPrevious adds the last published members to a list for which some sources are still missing. It skips members that a source has
// reported as departed.
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

// Revision returns a number that increases with each change of the members.
func (c *Cluster) Revision() uint64 { return c.revision.Load() }

// Members returns a copy of the members that were published last.
func (c *Cluster) Members() []endpointlist.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// Bodies returns the cluster's allocation of the memory for request bodies, in bytes.
func (c *Cluster) Bodies() *quota.Allocation { return c.bodies }

// SetBalancers sets how many balancer instances share the endpoints, and the index of this instance among them.
func (c *Cluster) SetBalancers(instances, index int) { c.engine.SetBalancers(instances, index) }

// InFlight returns the number of requests that have no response yet or have an attempt in flight.
func (c *Cluster) InFlight() int { return c.engine.InFlight() }

// ShutDownBy sets a deadline for the responses to all requests, including requests that arrive later.
func (c *Cluster) ShutDownBy(deadline time.Time) {
	c.shuttingDown.Store(true)
	c.engine.ShutDownBy(deadline)
}

// Do passes a request to the engine and waits for its result. It returns false if the client has disconnected. A request over the bound on
// requests in flight is rejected at once, and no attempt is made. The key is nil if the request has no idempotency key.
func (c *Cluster) Do(ctx context.Context, r upstream.Request, q lbpolicy.Request, key *engine.Key) (result engine.Result, ok bool) {
	if !c.requests.TryAcquire(1) {
		return engine.Result{Rejected: true, RetryAfter: busyRetryAfter}, true
	}
	defer c.requests.Release(1)
	result, ok = c.engine.Do(ctx, r, q, key)
	isBusy := result.OutOfDescriptors || !c.hasReady.Load() || c.shuttingDown.Load()
	if result.Rejected && result.RetryAfter == 0 && isBusy {
		result.RetryAfter = busyRetryAfter
	}
	return result, ok
}

// Close stops the sources, removes all endpoints from the engine and releases the reserves. It does not cancel attempts in flight.
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
