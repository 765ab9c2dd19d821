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

// Config is what a cluster is told.
type Config struct {
	Name string
	Core
	Sources         []Source
	ReserveFraction float64 // of each of the process's resources, the part that is this cluster's alone
	MaxFraction     float64 // and the most that it may take
	// EmptyHold is how long an empty list after one that was not is taken for a fault.
	EmptyHold time.Duration
}

// Core is what a running balancer rests on. A change of it makes a new one, which has to learn anew; all the rest of a
// Config can change under a balancer that runs on.
type Core struct {
	Policy         lbpolicy.Settings
	Zones          []string
	ReportFields   []string
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
}

// Resources are what the process's clusters share.
type Resources struct {
	Connections, Requests, Bodies *quota.Pool
	// Totals of the three, by which a cluster's parts are measured.
	MaxConnections, MaxRequests, MaxBodies int64
	// OnExhausted is called where the process has no descriptor for a connection to an endpoint; nil: nobody gives any back.
	OnExhausted func()
	// Discovery tells of clusters in xDS form; nil: no cluster has such a source.
	Discovery Discovery
}

// NewResources returns the shared resources.
func NewResources(connections, calls, bodies int64) *Resources {
	return &Resources{quota.NewPool(connections), quota.NewPool(calls), quota.NewPool(bodies), connections, calls, bodies, nil, nil}
}

// Resize changes the totals; clusters take their parts of them at their next Update.
func (r *Resources) Resize(connections, calls, bodies int64) {
	r.Connections.Resize(connections)
	r.Requests.Resize(calls)
	r.Bodies.Resize(bodies)
	r.MaxConnections, r.MaxRequests, r.MaxBodies = connections, calls, bodies
}

// initialListTimeout is how long the sources have for their first words.
const initialListTimeout = 2 * time.Second

// busyRetryAfter is when a caller is told to come back that met a cluster's bound on calls in work.
const busyRetryAfter = time.Second

// Cluster is a running cluster: its sources, its members, its balancer and its connections. Close ends it.
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
	generation   int // of Follow; what sources of an earlier one still say is passed over
	members      []endpointlist.Endpoint
	timer        *time.Timer
	stop         context.CancelFunc
	initialized  chan struct{}
	closed       bool
	sourceLimits sourceLimits  // told by a source
	hasReady     atomic.Bool   // there is a member that may be sent something
	revision     atomic.Uint64 // of members
}

// New starts a cluster.
func New(c Config, r *Resources, seed uint64, log *slog.Logger) (*Cluster, error) {
	cl := &Cluster{log: log.With("cluster", c.Name), resources: r, stop: func() {}}
	cl.conns = r.Connections.Allocate(portion(c, r.MaxConnections))
	cl.requests = r.Requests.Allocate(portion(c, r.MaxRequests))
	cl.bodies = r.Bodies.Allocate(portion(c, r.MaxBodies))
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

// portion returns a cluster's reserve and cap of a total. A cap is at least one unit.
func portion(c Config, total int64) (reserve, most int64) {
	return int64(c.ReserveFraction * float64(total)), max(int64(c.MaxFraction*float64(total)), 1)
}

// CanUpdate tells whether the running balancer can go on under another configuration.
func (c *Cluster) CanUpdate(next Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Name == next.Name && reflect.DeepEqual(c.config.Core, next.Core)
}

// Update takes up a configuration that fits. The balancer keeps its connections and all that it has learnt.
func (c *Cluster) Update(next Config, r *Resources) {
	c.mu.Lock()
	old := c.config
	c.resources = r
	c.mu.Unlock()
	c.bodies.Resize(portion(next, r.MaxBodies))
	if !reflect.DeepEqual(old.Sources, next.Sources) || old.EmptyHold != next.EmptyHold {
		c.followSources(next)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = next
	c.applyLimits()
}

// sourceLimits are what a source tells of a whole cluster. Each holds within what the configuration says.
type sourceLimits struct {
	connectTimeout        time.Duration // zero: not told, as of the others
	connections, requests int
	dropFraction          float64 // part of the traffic that is to be refused
}

// setSourceLimits takes a source's bounds.
func (c *Cluster) setSourceLimits(turn int, b sourceLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != turn || c.closed || c.sourceLimits == b {
		return
	}
	c.sourceLimits = b
	c.applyLimits()
}

// applyLimits sets the shares, the connect time and the part that is refused as the configuration and the sources have them. The
// caller holds the lock.
func (c *Cluster) applyLimits() {
	resize := func(s *quota.Allocation, total int64, told int) {
		reserve, most := portion(c.config, total)
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

// followSources starts a configuration's sources in place of those before. Until each has told a list the members from before
// stay too: a source that takes its time, or is out of reach, must not empty the cluster.
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

// markInitialized tells that the sources have had their time. The caller holds the lock.
func (c *Cluster) markInitialized() {
	select {
	case <-c.initialized:
	default:
		close(c.initialized)
	}
}

// Initialized is closed once the sources have had their first words, or time for them.
func (c *Cluster) Initialized() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.initialized
}

// receive takes a source's word.
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

// publish hands the merged list to the host where it has changed. The caller holds the lock.
func (c *Cluster) publish(now time.Time) {
	if c.closed {
		return
	}
	list := c.merger.members(now)
	if !c.merger.allListed() {
		list = c.appendPrevious(list)
	}
	if c.merger.truncated > 0 {
		c.log.Warn("cluster: members over the bound are left out", "most", maxMembers, "left_out", c.merger.truncated)
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

// appendPrevious adds the members from before to a list that is not complete yet, as they were, but for those that a source has
// already said to be gone.
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

// Bodies is the cluster's part of the memory for request bodies.
func (c *Cluster) Bodies() *quota.Allocation { return c.bodies }

// SetBalancers tells how many instances share the endpoints now, and which of them this one is.
func (c *Cluster) SetBalancers(instances, place int) { c.engine.SetBalancers(instances, place) }

// InFlight returns the number of calls that wait for their answer or an attempt's end.
func (c *Cluster) InFlight() int { return c.engine.InFlight() }

// ShutDownBy sets the time at which all that is held, and all that still comes, must have its answer.
func (c *Cluster) ShutDownBy(at time.Time) { c.engine.ShutDownBy(at) }

// Do hands a request to the cluster's decisions and waits for its answer; ok is false where the caller has gone. Over
// the bound on calls in work it is refused at once: nothing of it ran. The key is nil where the request has none.
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

// Close ends the sources and takes all members off the list; what is out ends by itself.
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
