// Package gateway is the product: listeners, routes and clusters in one process, under one configuration file that can
// be replaced while requests are in work.
//
// A request is served from its head to its last byte under the state that it met. A reload makes a new state beside the
// one in force, all or nothing; the old one goes when its last request has ended.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
)

const reservedSockets = 32 // standard streams, listeners, sources, the runtime's own

// Gateway runs a configuration. All its methods may be called from any goroutine.
type Gateway struct {
	log             *slog.Logger
	keys            *idempotency.Table
	resources       *cluster.Resources
	fleet           *fleet.Fleet   // nil: this instance is alone
	ledger          *ledger.Ledger // nil: nothing is recorded
	newDiscovery    func(bootstrap.Options, *slog.Logger) Discovery
	discovery       Discovery // nil: no control planes
	newControlPlane func(api.Options, *slog.Logger) (ControlPlane, error)
	controlPlane    ControlPlane                      // nil: this instance is no control machine
	transport       atomic.Pointer[peering.Transport] // nil: no other salas
	site            string                            // this one's name; empty: there is no link
	saturationMu    sync.Mutex
	saturation      forwarding.Saturation
	draining        atomic.Bool // nothing new is taken from other salas
	drainingOwn     atomic.Bool // and what is this sala's own goes to others first
	quota           atomic.Pointer[fleet.Quota]
	state           atomic.Pointer[state]

	mu            sync.Mutex // one reload, or the end, at a time
	listeners     map[string]*boundListener
	openListeners atomic.Pointer[[]*boundListener] // the same, for those who can't wait for a reload
	closed        bool
	retiring      sync.WaitGroup // fronts that are ending

	control      *controlSocket
	reloadError  atomic.Pointer[string] // why the last file was turned away; nil: it was not
	listVersions map[string]listVersion // of acting alone

	exhaustionLog rate.Sometimes // are logged
}

// boundListener is a listener in use.
type boundListener struct {
	*frontend.Server
	listener net.Listener
	router   *router
}

// state is what a request is served under. It never changes.
type state struct {
	file     *conf.File
	classes  map[string]int
	tenants  map[string]int
	clusters map[string]*sharedCluster
	refs     atomic.Int64 // one for being in force, one for each request
}

// sharedCluster is a cluster and the number of states that know it.
type sharedCluster struct {
	*cluster.Cluster
	refs atomic.Int64
}

// Discovery follows control planes.
type Discovery interface {
	cluster.Discovery
	Update(o bootstrap.Options)
	Dump() cache.Dump
	Close()
}

// Option is something that not every program of the product has.
type Option func(*Gateway)

// WithDiscovery has the gateway take clusters and endpoints from control planes.
func WithDiscovery(start func(bootstrap.Options, *slog.Logger) Discovery) Option {
	return func(g *Gateway) { g.newDiscovery = start }
}

// ErrNoDiscovery says that a configuration needs what this program was built without.
var ErrNoDiscovery = errors.New("gateway: the xds block: this program was built without it, for less memory (build it with -tags xds)")

// Start runs a configuration.
func Start(file *conf.File, log *slog.Logger, options ...Option) (*Gateway, error) {
	g := &Gateway{log: log, keys: idempotency.New(file.Process.MaxKeys), listeners: map[string]*boundListener{},
		resources: cluster.NewResources(endpointConns(file), file.Process.MaxRequests, file.Process.BodyMemory)}
	g.resources.OnExhausted = g.freeDescriptors
	g.exhaustionLog.Interval = time.Second
	for _, o := range options {
		o(g)
	}
	if file.Ledger != nil { // the first: it takes its directory, and reads it, before anything is promised
		o := *file.Ledger
		o.Log = log
		var err error
		if g.ledger, err = ledger.Start(o); err != nil {
			return nil, err
		}
	}
	if file.ControlPlane != nil {
		if err := g.startControlPlane(*file.ControlPlane); err != nil {
			g.Close()
			return nil, err
		}
	}
	if file.XDS != nil {
		if g.newDiscovery == nil {
			g.Close()
			return nil, ErrNoDiscovery
		}
		g.discovery = g.newDiscovery(*file.XDS, log)
		g.resources.Discovery = g.discovery
	}
	if file.Fleet != nil {
		o := *file.Fleet
		o.Log = log
		if file.Link == nil { // else it spans salas, whose endpoints are not shared
			o.OnQuotaChange = g.setQuota
		}
		o.AppliedVersions = g.appliedVersions
		var err error
		if g.fleet, err = fleet.Start(o); err != nil {
			g.Close()
			return nil, err
		}
	}
	if file.Link != nil {
		g.site = file.Link.Site
	}
	err := g.Reload(file)
	if err == nil && file.Link != nil { // calls come from now on: there must be a state
		o := *file.Link
		o.Handler, o.Logger = siteServer{g}, log
		var l *peering.Transport
		if l, err = peering.Start(o); err == nil {
			g.transport.Store(l)
		}
	}
	if err == nil {
		err = g.openControl(file.Control)
	}
	if err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// setQuota tells all clusters what part of the whole is this instance's.
func (g *Gateway) setQuota(quota fleet.Quota) {
	g.quota.Store(&quota)
	if s := g.state.Load(); s != nil {
		s.applyQuota(quota)
	}
}

func (s *state) applyQuota(quota fleet.Quota) {
	for _, c := range s.clusters {
		c.SetBalancers(quota.Instances, quota.Index)
	}
}

// updateFleet takes up what a file says of the fleet. An error means that nothing has changed.
func (g *Gateway) updateFleet(file *conf.File) error {
	switch {
	case (g.fleet == nil) != (file.Fleet == nil):
		return errors.New("gateway: a fleet begins and ends with the process: restart it")
	case g.fleet == nil:
		return nil
	}
	return g.fleet.Update(*file.Fleet)
}

// endpointConns is what is left of the descriptors when callers have their half.
func endpointConns(file *conf.File) int64 {
	return int64(max(file.Process.Sockets/2-reservedSockets, 8))
}

// acquire returns the state in force, held for a request.
func (g *Gateway) acquire() *state {
	for {
		s := g.state.Load()
		if n := s.refs.Load(); n > 0 && s.refs.CompareAndSwap(n, n+1) {
			return s
		}
	}
}

// release lets go of a state. With its last holder go the clusters that no other state knows.
func (g *Gateway) release(s *state) {
	if s.refs.Add(-1) > 0 {
		return
	}
	for _, c := range s.clusters {
		if c.refs.Add(-1) == 0 {
			c.Close()
		}
	}
}

// Addr returns the address of a listener, or nil.
func (g *Gateway) Addr(name string) net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.listeners {
		if f.router.listener.Load().Name == name {
			return f.listener.Addr()
		}
	}
	return nil
}

// Members returns how many members each cluster has.
func (g *Gateway) Members() map[string]int {
	s := g.acquire()
	defer g.release(s)
	out := map[string]int{}
	for name, c := range s.clusters {
		out[name] = len(c.Members())
	}
	return out
}

// Shutdown ends the program's work: callers are served on for half of the time to stop, connections are closed after the
// answers that they wait for, and all has its answer when the time is over.
func (g *Gateway) Shutdown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.draining.Store(true) // other salas hear it with the next heartbeat
	s := g.state.Load()
	now := time.Now()
	by := now.Add(s.file.Process.ShutdownTime)
	for _, c := range s.clusters {
		c.ShutDownBy(by)
	}
	for _, f := range g.listeners {
		g.retiring.Go(func() { f.Shutdown(now.Add(s.file.Process.ShutdownTime/2), by) })
	}
	if l := g.transport.Load(); l != nil {
		g.retiring.Go(func() {
			time.Sleep(time.Until(now.Add(s.file.Process.ShutdownTime / 2)))
			l.Drain(by)
		})
	}
	g.retiring.Wait()
	if l := g.transport.Load(); l != nil {
		l.Close()
	}
	if g.fleet != nil { // the last: until now its votes count
		g.fleet.Leave(leaveTimeout)
	}
	if g.discovery != nil {
		g.discovery.Close()
	}
	if g.controlPlane != nil {
		g.controlPlane.Close()
	}
	g.closeControl()
	if g.ledger != nil { // after the last answer
		g.ledger.Close()
	}
	g.release(s)
}

// leaveTimeout is how long the others have to hear that this instance goes.
const leaveTimeout = 2 * time.Second

// Close ends everything at once: for tests and for a second signal.
func (g *Gateway) Close() {
	g.mu.Lock()
	fronts := slices.Collect(maps.Values(g.listeners))
	g.mu.Unlock()
	for _, f := range fronts {
		f.Close()
	}
	if l := g.transport.Load(); l != nil {
		l.Close()
	}
	if g.fleet != nil {
		g.fleet.Close()
	}
	if g.discovery != nil {
		g.discovery.Close()
	}
	if g.controlPlane != nil {
		g.controlPlane.Close()
	}
	g.closeControl()
	if g.ledger != nil {
		g.ledger.Close()
	}
}

// Run serves until ctx ends, then ends. Each value on reload has the file read again: one that can't be used changes
// nothing, and the log says why.
func (g *Gateway) Run(ctx context.Context, path string, reload <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			g.Shutdown()
			return
		case <-reload:
			file, err := conf.Load(path)
			if err == nil {
				err = g.Reload(file)
			}
			g.setReloadError(err)
			if err != nil {
				g.log.Error("reload: the configuration in force is kept", "error", err)
			}
		}
	}
}
