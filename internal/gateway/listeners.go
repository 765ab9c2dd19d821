package gateway

import (
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"

	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/gateway/conf"
)

// listenerKey identifies a listener over reloads: by its address, and also by its name where the system picks the port.
func listenerKey(l conf.Listener) string {
	if _, port, _ := net.SplitHostPort(l.Address); port == "0" {
		return l.Name + "@" + l.Address
	}
	return l.Address
}

// bindListeners binds the listeners that are new: all, or none.
func (g *Gateway) bindListeners(file *conf.File) (map[string]net.Listener, error) {
	bound := map[string]net.Listener{}
	for _, l := range file.Listeners {
		if g.listeners[listenerKey(l)] != nil {
			continue
		}
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			for _, o := range bound {
				o.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		bound[listenerKey(l)] = listener
	}
	return bound, nil
}

// loadTLS loads the certificates of the file's listeners. A configuration that is in use already is kept, with its session tickets.
func (g *Gateway) loadTLS(file *conf.File) (map[string]*frontend.TLSConfig, error) {
	out := map[string]*frontend.TLSConfig{}
	for _, l := range file.Listeners {
		if l.TLS == nil {
			continue
		}
		key := listenerKey(l)
		if running := g.listeners[key]; running != nil {
			if config := running.TLS(); config != nil && config.IsFor(l.TLS.Files, l.TLS.Required) {
				out[key] = config
				continue
			}
		}
		config, err := frontend.NewTLSConfig(l.TLS.Files, l.TLS.Required, g.log)
		if err != nil {
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		out[key] = config
	}
	return out, nil
}

// applyListeners serves the new listeners, and shuts those down that the file does not name any more.
func (g *Gateway) applyListeners(file *conf.File, bound map[string]net.Listener, tls map[string]*frontend.TLSConfig) {
	named := map[string]bool{}
	for _, l := range file.Listeners {
		key := listenerKey(l)
		named[key] = true
		if running := g.listeners[key]; running != nil {
			running.router.listener.Store(&l)
			running.SetTLS(tls[key])
			running.SetPolicy(l.Admission)
			continue
		}
		g.listeners[key] = g.serveListener(l, bound[key], tls[key], file.Process.BodyMemory/headMemoryDivider)
	}
	for key, b := range g.listeners {
		if !named[key] {
			delete(g.listeners, key)
			g.drainRemoved(b)
		}
	}
	open := slices.Collect(maps.Values(g.listeners))
	g.openListeners.Store(&open)
}

// headMemoryDivider divides the memory for bodies: a listener gets this part beside it for large heads.
const headMemoryDivider = 2

// serveListener starts to serve a listener, with so much memory for large heads.
func (g *Gateway) serveListener(l conf.Listener, listener net.Listener, tls *frontend.TLSConfig, headMemory int64) *boundListener {
	b := &boundListener{listener: listener, router: &router{gateway: g}}
	b.router.listener.Store(&l)
	b.Server = frontend.New(b.router, listener, l.Admission, slog.NewLogLogger(g.log.Handler(), slog.LevelWarn))
	b.SetTLS(tls)
	b.SetHeadMemory(headMemory)
	b.OnExhausted(func() { g.freeDescriptorsExcept(b) })
	b.SetReady()
	go func() {
		if err := b.Serve(); err != nil {
			g.log.Error("listener ended", "listener", l.Name, "error", err)
		}
	}()
	return b
}
