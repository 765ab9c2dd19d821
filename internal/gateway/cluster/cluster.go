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
	Sources []Source
	Reserve float64 // of each of the process's resources, the part that is this cluster's alone
	Most    float64 // and the most that it may take
	// EmptyHold is how long an empty list after one that was not is taken for a fault.
	EmptyHold time.Duration
}

// Core is what a running balancer rests on. A change of it makes a new one, which has to learn anew; all the rest of a
// Config can change under a balancer that runs on.
type Core struct {
	Decide         lbpolicy.Settings
	Zones          []string
	Report         []string
	ConnectTimeout time.Duration
	Idle           time.Duration
}

// Resources are what the process's clusters share.
type Resources struct {
	Connections, Calls, Bodies *quota.Pool
	// Totals of the three, by which a cluster's parts are measured.
	MaxConnections, MaxCalls, MaxBodies int64
	// Scarce is called where the process has no descriptor for a connection to an endpoint; nil: nobody gives any back.
	Scarce func()
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
	r.Calls.Resize(calls)
	r.Bodies.Resize(bodies)
	r.MaxConnections, r.MaxCalls, r.MaxBodies = connections, calls, bodies
}

// settleIn is how long the sources have for their first words.
const settleIn = 2 * time.Second

// busyRetry is when a caller is told to come back that met a cluster's bound on calls in work.
const busyRetry = time.Second

// Cluster is a running cluster: its sources, its members, its balancer and its connections. Close ends it.
type Cluster struct {
	log    *slog.Logger
	shared *Resources
	host   *engine.Engine
	client *upstream.Client
	bodies *quota.Allocation
	calls  *quota.Allocation
	conns  *quota.Allocation

	mu       sync.Mutex
	config   Config
	merger   *merger
	turn     int // of Follow; what sources of an earlier one still say is passed over
	members  []endpointlist.Endpoint
	timer    *time.Timer
	stop     context.CancelFunc
	settled  chan struct{}
	closed   bool
	bounds   bounds        // told by a source
	able     atomic.Bool   // there is a member that may be sent something
	revision atomic.Uint64 // of members
}

// New starts a cluster.
func New(c Config, r *Resources, seed uint64, log *slog.Logger) (*Cluster, error) {
	cl := &Cluster{log: log.With("cluster", c.Name), shared: r, stop: func() {}}
	cl.conns = r.Connections.Allocate(part(c, r.MaxConnections))
	cl.calls = r.Calls.Allocate(part(c, r.MaxCalls))
	cl.bodies = r.Bodies.Allocate(part(c, r.MaxBodies))
	cl.client = upstream.NewClient(upstream.Options{DialTimeout: c.ConnectTimeout, IdleTimeout: c.Idle, HedgeDials: true, MaxConns: int(r.MaxConnections),
		Allocation: cl.conns, AnyStatus: true, OnExhausted: r.Scarce})
	var err error
	cl.host, err = engine.New(engine.Options{Policy: c.Decide, Seed: seed, Zones: c.Zones, ReportFields: c.Report, Client: cl.client,
		Watch: func() {}, Log: cl.log})
	if err != nil {
		return nil, fmt.Errorf("cluster %q: %w", c.Name, err)
	}
	cl.follow(c)
	return cl, nil
}

// part returns a cluster's reserve and cap of a total. A cap is at least one unit.
func part(c Config, total int64) (reserve, most int64) {
	return int64(c.Reserve * float64(total)), max(int64(c.Most*float64(total)), 1)
}

// Fits tells whether the running balancer can go on under another configuration.
func (c *Cluster) Fits(next Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Name == next.Name && reflect.DeepEqual(c.config.Core, next.Core)
}

// Update takes up a configuration that fits. The balancer keeps its connections and all that it has learnt.
func (c *Cluster) Update(next Config, r *Resources) {
	c.mu.Lock()
	old := c.config
	c.shared = r
	c.mu.Unlock()
	c.bodies.Resize(part(next, r.MaxBodies))
	if !reflect.DeepEqual(old.Sources, next.Sources) || old.EmptyHold != next.EmptyHold {
		c.follow(next)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = next
	c.bind()
}

// bounds are what a source tells of a whole cluster. Each holds within what the configuration says.
type bounds struct {
	connect            time.Duration // zero: not told, as of the others
	connections, calls int
	drop               float64 // part of the traffic that is to be refused
}

// bound takes a source's bounds.
func (c *Cluster) bound(turn int, b bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turn != turn || c.closed || c.bounds == b {
		return
	}
	c.bounds = b
	c.bind()
}

// bind sets the shares, the connect time and the part that is refused as the configuration and the sources have them. The
// caller holds the lock.
func (c *Cluster) bind() {
	resize := func(s *quota.Allocation, total int64, told int) {
		reserve, most := part(c.config, total)
		if told > 0 {
			most = min(most, int64(told))
		}
		s.Resize(min(reserve, most), most)
	}
	resize(c.conns, c.shared.MaxConnections, c.bounds.connections)
	resize(c.calls, c.shared.MaxCalls, c.bounds.calls)
	connect := c.config.ConnectTimeout
	if c.bounds.connect > 0 {
		connect = min(connect, c.bounds.connect)
	}
	c.client.SetDialTimeout(connect)
	c.host.SetDropFraction(c.bounds.drop)
}

// follow starts a configuration's sources in place of those before. Until each has told a list the members from before
// stay too: a source that takes its time, or is out of reach, must not empty the cluster.
func (c *Cluster) follow(next Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.stop()
	ctx, stop := context.WithCancel(context.Background())
	c.config, c.stop = next, stop
	c.turn++
	var traits []trait
	for _, s := range next.Sources {
		traits = append(traits, s.trait())
	}
	c.merger = newMerger(next.EmptyHold, traits...)
	c.merger.before = len(c.members) > 0
	c.settled = make(chan struct{})
	c.bounds = bounds{}
	c.bind()
	turn, discovery := c.turn, c.shared.Discovery
	for i, s := range next.Sources {
		go s.run(ctx, func(w word, entries []endpointlist.Endpoint) { c.say(turn, i, w, entries) }, discovery,
			func(b bounds) { c.bound(turn, b) }, c.log)
	}
	time.AfterFunc(settleIn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.turn == turn {
			c.settle()
		}
	})
}

// settle tells that the sources have had their time. The caller holds the lock.
func (c *Cluster) settle() {
	select {
	case <-c.settled:
	default:
		close(c.settled)
	}
}

// Settled is closed once the sources have had their first words, or time for them.
func (c *Cluster) Settled() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// say takes a source's word.
func (c *Cluster) say(turn, source int, w word, entries []endpointlist.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turn != turn || c.closed {
		return
	}
	now := time.Now()
	c.merger.take(now, source, w, entries)
	c.publish(now)
	if c.merger.spoken() {
		c.settle()
	}
}

// publish hands the merged list to the host where it has changed. The caller holds the lock.
func (c *Cluster) publish(now time.Time) {
	if c.closed {
		return
	}
	list := c.merger.members(now)
	if !c.merger.complete() {
		list = c.keep(list)
	}
	if c.merger.dropped > 0 {
		c.log.Warn("cluster: members over the bound are left out", "most", maxMembers, "left_out", c.merger.dropped)
	}
	if !slices.Equal(list, c.members) {
		c.members = list
		c.revision.Add(1)
		c.able.Store(slices.ContainsFunc(list, func(e endpointlist.Endpoint) bool { return e.Status == ready }))
		c.host.UpdateEndpoints(lbpolicy.Full, list)
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if at := c.merger.next(); !at.IsZero() {
		turn := c.turn
		c.timer = time.AfterFunc(time.Until(at), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.turn == turn {
				c.publish(time.Now())
			}
		})
	}
}

// keep adds the members from before to a list that is not complete yet, as they were, but for those that a source has
// already said to be gone.
func (c *Cluster) keep(list []endpointlist.Endpoint) []endpointlist.Endpoint {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Address] = true
	}
	departed := c.merger.departures()
	for _, e := range c.members {
		if !listed[e.Address] && !departed.hold(e) {
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

// Fleet tells how many instances share the endpoints now, and which of them this one is.
func (c *Cluster) Fleet(instances, place int) { c.host.SetBalancers(instances, place) }

// Held returns the number of calls that wait for their answer or an attempt's end.
func (c *Cluster) Held() int { return c.host.InFlight() }

// End sets the time at which all that is held, and all that still comes, must have its answer.
func (c *Cluster) End(at time.Time) { c.host.ShutDownBy(at) }

// Do hands a request to the cluster's decisions and waits for its answer; ok is false where the caller has gone. Over
// the bound on calls in work it is refused at once: nothing of it ran. The key is nil where the request has none.
func (c *Cluster) Do(ctx context.Context, r upstream.Request, q lbpolicy.Request, key *engine.Key) (a engine.Result, ok bool) {
	if !c.calls.TryAcquire(1) {
		return engine.Result{Rejected: true, RetryAfter: busyRetry}, true
	}
	defer c.calls.Release(1)
	if a, ok = c.host.Do(ctx, r, q, key); a.Rejected && a.RetryAfter == 0 && (a.OutOfDescriptors || !c.able.Load()) {
		a.RetryAfter = busyRetry
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
	c.host.Close()
	c.conns.Close()
	c.calls.Close()
	c.bodies.Close()
}
