// Package gateway is the product: listeners, routes and clusters in one process, under one configuration file that can be replaced while
// requests are in flight.
//
// A request is served under the configuration that it was routed with. A reload makes a new state beside the one in force, or fails and
// changes nothing; the old state is released with its last request.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
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

const (
	reservedSockets = 32 // standard streams, listeners, sources, the runtime's own
	minEndpointConn = 8  // descriptors for connections to endpoints
)

// Gateway runs a configuration. All its methods may be called from any goroutine.
type Gateway struct {
	log             *slog.Logger
	keys            *idempotency.Table
	resources       *cluster.Resources
	fleet           *fleet.Fleet   // nil: no fleet
	ledger          *ledger.Ledger // nil: nothing is recorded
	newDiscovery    func(bootstrap.Options, *slog.Logger) Discovery
	discovery       Discovery // nil: no control planes
	newControlPlane func(api.Options, *slog.Logger) (ControlPlane, error)
	controlPlane    ControlPlane // nil: this instance is no control-plane server
	control         *controlSocket
	transport       atomic.Pointer[peering.Transport] // nil: no other sites
	site            string                            // this one's name; empty: there are no links
	draining        atomic.Bool                       // no request is accepted from other sites
	drainingOwn     atomic.Bool                       // this site's own requests are forwarded to other sites first
	shutdown        *shutdownDeadline
	quota           atomic.Pointer[fleet.Quota]
	state           atomic.Pointer[state]
	clusters        registry[*sharedCluster] // of all states that have requests, or are in force
	reloadError     atomic.Pointer[string]   // of the last reload; nil: it succeeded
	exhaustionLog   rate.Sometimes

	saturationMu sync.Mutex
	saturation   forwarding.Saturation

	mu            sync.Mutex // one reload, or the shutdown, at a time
	listeners     map[string]*boundListener
	openListeners atomic.Pointer[[]*boundListener] // the same, for readers that must not wait for a reload
	closed        bool
	removed       registry[*boundListener] // listeners that a reload removed, until their last requests have ended
	ending        sync.WaitGroup           // of listeners and links that are draining or shutting down

	listVersions map[string]listVersion // of appliedVersions alone
}

// boundListener is a listener in use.
type boundListener struct {
	*frontend.Server
	listener net.Listener
	router   *router
}

// state is what a request is served under. It is immutable.
type state struct {
	file     *conf.File
	classes  map[string]int
	tenants  map[string]int
	clusters map[string]*sharedCluster
	refs     atomic.Int64 // one while it is in force, one for each request
}

// sharedCluster is a cluster with the number of states that use it.
type sharedCluster struct {
	*cluster.Cluster
	refs atomic.Int64
}

// Discovery follows control planes.
type Discovery interface {
	cluster.Discovery
	// Update uses other control planes.
	Update(o bootstrap.Options)
	// Dump returns the state of the control planes and of their resources.
	Dump() cache.Dump
	Close()
}

// Option adds a part that not every program has.
type Option func(*Gateway)

// WithDiscovery has the gateway take clusters and endpoints from control planes.
func WithDiscovery(start func(bootstrap.Options, *slog.Logger) Discovery) Option {
	return func(g *Gateway) { g.newDiscovery = start }
}

// ErrNoDiscovery reports a configuration that needs a part which this program was built without.
var ErrNoDiscovery = errors.New("gateway: the xds block: this program was built without it, for less memory (build it with -tags xds)")

// Start runs a configuration.
func Start(file *conf.File, log *slog.Logger, options ...Option) (*Gateway, error) {
	g := &Gateway{
		log:       log,
		shutdown:  newShutdownDeadline(),
		keys:      idempotency.New(file.Process.MaxKeys),
		listeners: map[string]*boundListener{},
		resources: cluster.NewResources(endpointConns(file), file.Process.MaxRequests, file.Process.BodyMemory),
	}
	g.resources.OnExhausted = g.freeDescriptors
	g.exhaustionLog.Interval = time.Second
	for _, o := range options {
		o(g)
	}
	// The ledger is first: it locks its directory, and reads it, before anything is promised.
	if err := g.startLedger(file); err != nil {
		return nil, err
	}
	if err := g.startParts(file); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) startLedger(file *conf.File) error {
	if file.Ledger == nil {
		return nil
	}
	o := *file.Ledger
	o.Log = g.log
	var err error
	g.ledger, err = ledger.Start(o)
	return err
}

// startParts starts everything but the ledger. After an error Close ends what was started.
func (g *Gateway) startParts(file *conf.File) error {
	if file.ControlPlane != nil {
		if err := g.startControlPlane(*file.ControlPlane); err != nil {
			return err
		}
	}
	if file.XDS != nil {
		if g.newDiscovery == nil {
			return ErrNoDiscovery
		}
		g.discovery = g.newDiscovery(*file.XDS, g.log)
		g.resources.Discovery = g.discovery
	}
	if err := g.startFleet(file); err != nil {
		return err
	}
	if file.Link != nil {
		g.site = file.Link.Site
	}
	if err := g.Reload(file); err != nil {
		return err
	}
	// Requests of other sites come from now on: there must be a state.
	if err := g.startTransport(file); err != nil {
		return err
	}
	return g.openControl(file.Control)
}

func (g *Gateway) startFleet(file *conf.File) error {
	if file.Fleet == nil {
		return nil
	}
	o := *file.Fleet
	o.Log = g.log
	if file.Link == nil { // with links the fleet spans sites, whose endpoints are not shared
		o.OnQuotaChange = g.setQuota
	}
	o.AppliedVersions = g.appliedVersions
	var err error
	g.fleet, err = fleet.Start(o)
	return err
}

func (g *Gateway) startTransport(file *conf.File) error {
	if file.Link == nil {
		return nil
	}
	o := *file.Link
	o.Handler = siteServer{g}
	o.Logger = g.log
	transport, err := peering.Start(o)
	if err == nil {
		g.transport.Store(transport)
	}
	return err
}

// setQuota sets this instance's part of the whole fleet's limits for all clusters.
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

// endpointConns returns the descriptors that are left for connections to endpoints when clients have half of all.
func endpointConns(file *conf.File) int64 {
	return int64(max(file.Process.Sockets/2-reservedSockets, minEndpointConn))
}

// acquire returns the state in force with a reference for a request.
func (g *Gateway) acquire() *state {
	for {
		s := g.state.Load()
		if n := s.refs.Load(); n > 0 && s.refs.CompareAndSwap(n, n+1) {
			return s
		}
	}
}

// release drops a reference. With the last one the clusters are closed that no other state uses.
func (g *Gateway) release(s *state) {
	if s.refs.Add(-1) > 0 {
		return
	}
	for _, c := range s.clusters {
		if c.refs.Add(-1) == 0 {
			g.clusters.remove(c)
			c.Close()
		}
	}
}

// Addr returns the address of a listener, or nil where there is none.
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

// Members returns the number of members of each cluster.
func (g *Gateway) Members() map[string]int {
	s := g.acquire()
	defer g.release(s)
	out := map[string]int{}
	for name, c := range s.clusters {
		out[name] = len(c.Members())
	}
	return out
}

// Run serves until ctx ends, and then shuts down. Each value on reload has the file read again. With an unusable file, or where ctx ends
// first, the configuration in force stays, which is logged.
func (g *Gateway) Run(ctx context.Context, path string, reload <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			g.Shutdown()
			return
		case <-reload:
			file, err := conf.Load(path)
			if err == nil {
				err = g.reload(ctx, file)
			}
			g.setReloadError(err)
			if err != nil {
				g.log.Error("reload failed, the configuration in force is kept", "error", err)
			}
		}
	}
}

// FleetAddr returns the address on which other members of the fleet reach this one, or "" without a fleet.
func (g *Gateway) FleetAddr() string {
	if g.fleet == nil {
		return ""
	}
	return g.fleet.Addr()
}
