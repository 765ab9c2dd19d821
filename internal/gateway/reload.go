package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"time"

	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/gateway/conf"
)

// Reload puts a configuration in force. An error means that nothing has changed.
//
// What is new is made first (listeners bound, balancers started, their sources heard), then the states change places,
// then what is no longer named ends: connections of callers after the answers that they wait for, clusters with the
// last request that knows them.
func (g *Gateway) Reload(file *conf.File) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.New("gateway: has ended")
	}
	old := g.state.Load()
	secure, err := g.loadTLS(file)
	if err != nil {
		return err
	}
	opened, err := g.bindListeners(file)
	if err != nil {
		return err
	}
	next := &state{file: file, classes: map[string]int{}, tenants: map[string]int{}, clusters: map[string]*sharedCluster{}}
	next.refs.Store(1)
	for i, c := range file.Classes {
		next.classes[c.Name] = i
	}
	for i, name := range file.Tenants {
		next.tenants[name] = i
	}
	var fresh []*sharedCluster
	undo := func() {
		for _, l := range opened {
			l.Close()
		}
		for _, s := range fresh {
			s.Close()
		}
	}
	for _, c := range file.Clusters {
		if old != nil {
			if is := old.clusters[c.Name]; is != nil && is.CanUpdate(c) {
				next.clusters[c.Name] = is
				continue
			}
		}
		made, err := cluster.New(c, g.resources, rand.Uint64(), g.log)
		if err != nil {
			undo()
			return err
		}
		s := &sharedCluster{Cluster: made}
		fresh = append(fresh, s)
		next.clusters[c.Name] = s
	}
	for _, s := range fresh {
		<-s.Initialized()
	}
	if old != nil && (old.file.Link == nil) != (file.Link == nil) {
		undo()
		return errors.New("gateway: a link begins and ends with the process: restart it")
	}
	if old != nil && (old.file.XDS == nil) != (file.XDS == nil) {
		undo()
		return errors.New("gateway: control planes begin and end with the process: restart it")
	}
	if old != nil && !reflect.DeepEqual(old.file.ControlPlane, file.ControlPlane) {
		undo()
		return errors.New("gateway: control_plane: what it says holds from the start of the process: restart it")
	}
	if old != nil && (old.file.Ledger == nil) != (file.Ledger == nil) {
		undo()
		return errors.New("gateway: a ledger begins and ends with the process: restart it")
	}
	if g.ledger != nil {
		if err := g.ledger.CheckUpdate(*file.Ledger); err != nil {
			undo()
			return err
		}
	}
	if err := g.updateFleet(file); err != nil {
		undo()
		return err
	}
	// Nothing fails from here on.
	g.resources.Resize(endpointConns(file), file.Process.MaxRequests, file.Process.BodyMemory)
	g.keys.Resize(file.Process.MaxKeys)
	for _, c := range file.Clusters {
		s := next.clusters[c.Name]
		s.refs.Add(1)
		s.Update(c, g.resources)
	}
	g.state.Store(next)
	if quota := g.quota.Load(); quota != nil { // after the state is there: a change in between reaches it twice, and not never
		next.applyQuota(*quota)
	}
	if l := g.transport.Load(); l != nil {
		l.Update(*file.Link)
	}
	if g.ledger != nil {
		g.ledger.Update(*file.Ledger)
	}
	if g.discovery != nil {
		g.discovery.Update(*file.XDS)
	}
	g.applyListeners(file, opened, secure)
	if old != nil {
		g.release(old)
	}
	g.log.Info("configuration in force", "listeners", len(file.Listeners), "clusters", len(file.Clusters),
		"routes", file.Routes.Len(), "new_clusters", len(fresh))
	return nil
}

// listenerKey is what a listener is known by over reloads: its address, and its name too where the system picks the port.
func listenerKey(l conf.Listener) string {
	if _, port, _ := net.SplitHostPort(l.Address); port == "0" {
		return l.Name + "@" + l.Address
	}
	return l.Address
}

// bindListeners binds the listeners that are new, all or none.
func (g *Gateway) bindListeners(file *conf.File) (map[string]net.Listener, error) {
	opened := map[string]net.Listener{}
	for _, l := range file.Listeners {
		if g.listeners[listenerKey(l)] != nil {
			continue
		}
		nl, err := net.Listen("tcp", l.Address)
		if err != nil {
			for _, o := range opened {
				o.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		opened[listenerKey(l)] = nl
	}
	return opened, nil
}

// applyListeners starts the new listeners' fronts, and ends those of listeners that the file no longer names.
func (g *Gateway) applyListeners(file *conf.File, opened map[string]net.Listener, secure map[string]*frontend.TLSConfig) {
	named := map[string]bool{}
	for _, l := range file.Listeners {
		at := listenerKey(l)
		named[at] = true
		f := g.listeners[at]
		if f != nil {
			f.router.listener.Store(&l)
			f.SetTLS(secure[at])
			f.SetPolicy(l.Admission)
			continue
		}
		f = &boundListener{listener: opened[at], router: &router{gateway: g}}
		f.router.listener.Store(&l)
		f.Server = frontend.New(f.router, f.listener, l.Admission, slog.NewLogLogger(g.log.Handler(), slog.LevelWarn))
		f.SetTLS(secure[at])
		f.OnExhausted(func() { g.freeDescriptorsExcept(f) })
		f.SetReady()
		g.listeners[at] = f
		go func() {
			if err := f.Serve(); err != nil {
				g.log.Error("listener ended", "listener", l.Name, "error", err)
			}
		}()
	}
	for at, f := range g.listeners {
		if !named[at] {
			delete(g.listeners, at)
			now := time.Now()
			g.retiring.Go(func() { f.Shutdown(now, now.Add(file.Process.ShutdownTime)) })
		}
	}
	open := slices.Collect(maps.Values(g.listeners))
	g.openListeners.Store(&open)
}

// loadTLS reads the certificates of the file's listeners. One that is in use already goes on, and with it what callers
// have to come back by.
func (g *Gateway) loadTLS(file *conf.File) (map[string]*frontend.TLSConfig, error) {
	out := map[string]*frontend.TLSConfig{}
	for _, l := range file.Listeners {
		if l.TLS == nil {
			continue
		}
		if f := g.listeners[listenerKey(l)]; f != nil {
			if s := f.TLS(); s != nil && s.IsFor(l.TLS.Files, l.TLS.Required) {
				out[listenerKey(l)] = s
				continue
			}
		}
		s, err := frontend.NewTLSConfig(l.TLS.Files, l.TLS.Required, g.log)
		if err != nil {
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		out[listenerKey(l)] = s
	}
	return out, nil
}
