package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"

	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/gateway/conf"
)

// Errors of a reload that would need a restart.
var (
	errClosed            = errors.New("gateway: has ended")
	errLinkRestart       = errors.New("gateway: a link begins and ends with the process: restart it")
	errDiscoveryRestart  = errors.New("gateway: control planes begin and end with the process: restart it")
	errControlRestart    = errors.New("gateway: control_plane: what it says holds from the start of the process: restart it")
	errLedgerRestart     = errors.New("gateway: a ledger begins and ends with the process: restart it")
	errMembershipRestart = errors.New("gateway: a fleet begins and ends with the process: restart it")
)

// Reload puts a configuration in force. An error means that nothing has changed.
//
// First everything new is made: listeners are bound, clusters started, and their first lists awaited. Then the states are exchanged. Then
// what is not used any more ends: connections after the responses that they wait for, clusters with their last requests.
func (g *Gateway) Reload(file *conf.File) error { return g.reload(context.Background(), file) }

// reload is Reload. It fails when ctx ends, if the configuration is not in force by then.
func (g *Gateway) reload(ctx context.Context, file *conf.File) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errClosed
	}
	r := &reload{gateway: g, file: file, old: g.state.Load()}
	if err := r.prepare(ctx); err != nil {
		r.undo()
		return err
	}
	r.commit()
	g.log.Info("configuration in force", "listeners", len(file.Listeners), "clusters", len(file.Clusters),
		"routes", file.Routes.Len(), "new_clusters", len(r.created))
	return nil
}

// reload is a configuration that is being put in force.
type reload struct {
	gateway *Gateway
	file    *conf.File
	old     *state // nil at the start
	next    *state
	tls     map[string]*frontend.TLSConfig // by listenerKey
	bound   map[string]net.Listener        // by listenerKey
	created []*sharedCluster
}

// prepare makes everything that is new. After an error undo releases it.
func (r *reload) prepare(ctx context.Context) error {
	var err error
	if r.tls, err = r.gateway.loadTLS(r.file); err != nil {
		return err
	}
	if r.bound, err = r.gateway.bindListeners(r.file); err != nil {
		return err
	}
	r.next = newState(r.file)
	if err := r.makeClusters(ctx); err != nil {
		return err
	}
	if err := r.checkRestart(); err != nil {
		return err
	}
	if g := r.gateway; g.ledger != nil {
		if err := g.ledger.CheckUpdate(*r.file.Ledger); err != nil {
			return err
		}
	}
	return r.updateFleet()
}

func newState(file *conf.File) *state {
	s := &state{file: file, classes: map[string]int{}, tenants: map[string]int{}, clusters: map[string]*sharedCluster{}}
	s.refs.Store(1)
	for i, c := range file.Classes {
		s.classes[c.Name] = i
	}
	for i, name := range file.Tenants {
		s.tenants[name] = i
	}
	return s
}

// makeClusters starts the clusters that no running one can serve, and waits for their first lists.
func (r *reload) makeClusters(ctx context.Context) error {
	for _, c := range r.file.Clusters {
		if running := r.runningCluster(c); running != nil {
			r.next.clusters[c.Name] = running
			continue
		}
		made, err := cluster.New(c, r.gateway.resources, rand.Uint64(), r.gateway.log)
		if err != nil {
			return err
		}
		shared := &sharedCluster{Cluster: made}
		r.created = append(r.created, shared)
		r.next.clusters[c.Name] = shared
	}
	for _, shared := range r.created {
		select {
		case <-shared.Initialized():
		case <-ctx.Done():
			return fmt.Errorf("gateway: waiting for the first lists of clusters: %w", ctx.Err())
		}
	}
	return nil
}

// runningCluster returns the running cluster that can take up a configuration, or nil.
func (r *reload) runningCluster(c cluster.Config) *sharedCluster {
	if r.old == nil {
		return nil
	}
	running := r.old.clusters[c.Name]
	if running == nil || !running.CanUpdate(c) {
		return nil
	}
	return running
}

// checkRestart returns an error for a change that needs a restart.
func (r *reload) checkRestart() error {
	if r.old == nil {
		return nil
	}
	before, after := r.old.file, r.file
	switch {
	case (before.Link == nil) != (after.Link == nil):
		return errLinkRestart
	case (before.XDS == nil) != (after.XDS == nil):
		return errDiscoveryRestart
	case !reflect.DeepEqual(before.ControlPlane, after.ControlPlane):
		return errControlRestart
	case (before.Ledger == nil) != (after.Ledger == nil):
		return errLedgerRestart
	}
	return nil
}

// updateFleet takes up the settings of the fleet, as the last step that may fail. An error means that nothing has changed.
func (r *reload) updateFleet() error {
	f := r.gateway.fleet
	switch {
	case (f == nil) != (r.file.Fleet == nil):
		return errMembershipRestart
	case f == nil:
		return nil
	}
	return f.Update(*r.file.Fleet)
}

// undo releases what was made.
func (r *reload) undo() {
	for _, l := range r.bound {
		l.Close()
	}
	for _, shared := range r.created {
		shared.Close()
	}
}

// commit exchanges the states. Nothing in it can fail.
func (r *reload) commit() {
	g, file := r.gateway, r.file
	g.resources.Resize(endpointConns(file), file.Process.MaxRequests, file.Process.BodyMemory)
	g.keys.Resize(file.Process.MaxKeys)
	for _, c := range file.Clusters {
		shared := r.next.clusters[c.Name]
		shared.refs.Add(1)
		g.clusters.add(shared)
		shared.Update(c, g.resources)
	}
	g.state.Store(r.next)
	// After the state is stored: a change in between is applied twice, not missed.
	if quota := g.quota.Load(); quota != nil {
		r.next.applyQuota(*quota)
	}
	if transport := g.transport.Load(); transport != nil {
		transport.Update(*file.Link)
	}
	if g.ledger != nil {
		g.ledger.Update(*file.Ledger)
	}
	if g.discovery != nil {
		g.discovery.Update(*file.XDS)
	}
	g.applyListeners(file, r.bound, r.tls)
	if r.old != nil {
		g.release(r.old)
	}
}
