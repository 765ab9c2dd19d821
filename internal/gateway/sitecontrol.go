package gateway

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/peering"
)

// siteQueryTimeout bounds a query of other sites.
const siteQueryTimeout = 5 * time.Second

// LinkStatus is the state of the links to other sites, as the control socket reports it.
type LinkStatus struct {
	Site        string               `json:"sala"`
	State       string               `json:"state"`
	DrainingOwn bool                 `json:"leaving,omitempty"` // its own clients' requests are forwarded first
	Sites       []peering.SiteStatus `json:"salas"`
	Reconciled  bool                 `json:"compared,omitempty"` // with the other sites' counters
}

// requireTransport returns the links, or responds that there are none.
func (g *Gateway) requireTransport(w http.ResponseWriter) *peering.Transport {
	l := g.transport.Load()
	if l == nil {
		http.Error(w, "this instance has no link to other salas", http.StatusNotFound)
	}
	return l
}

func (g *Gateway) handleLinks(w http.ResponseWriter, r *http.Request) {
	l := g.requireTransport(w)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), siteQueryTimeout)
	defer cancel()
	reconcile := r.URL.Query().Get("reconcile") != ""
	writeJSON(w, LinkStatus{Site: g.site, State: siteServer{g}.State().String(), DrainingOwn: g.drainingOwn.Load(), Reconciled: reconcile,
		Sites: l.Status(ctx, reconcile)})
}

// handleDrain has this site accept no requests from others (mode "in"), and also forward its own clients' requests first ("all"), or ends
// both ("off").
func (g *Gateway) handleDrain(w http.ResponseWriter, r *http.Request) {
	if g.requireTransport(w) == nil {
		return
	}
	mode := r.URL.Query().Get("mode")
	switch mode {
	case "in", "all", "off":
	default:
		http.Error(w, "mode is none of in, all, off", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	ended := g.closed
	if !ended {
		g.draining.Store(mode != "off")
		g.drainingOwn.Store(mode == "all")
	}
	g.mu.Unlock()
	if ended {
		http.Error(w, "the instance is ending", http.StatusConflict)
		return
	}
	g.log.Info("site drain changed", "mode", mode)
	writeJSON(w, LinkStatus{Site: g.site, State: siteServer{g}.State().String(), DrainingOwn: g.drainingOwn.Load()})
}

// KeyLookup is what one site knows of a key.
type KeyLookup struct {
	Site string `json:"sala"`
	peering.KeyLocation
	Error string `json:"error,omitempty"`
}

// handleLookup asks all sites for a key.
func (g *Gateway) handleLookup(w http.ResponseWriter, r *http.Request) {
	l := g.requireTransport(w)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), siteQueryTimeout)
	defer cancel()
	id := idempotency.KeyIDOf(r.URL.Query().Get("tenant"), r.URL.Query().Get("key"))
	out := []KeyLookup{{Site: g.site, KeyLocation: siteServer{g}.Lookup(id)}}
	for _, s := range l.Status(ctx, false) {
		f, err := l.Lookup(ctx, s.Name, id)
		v := KeyLookup{Site: s.Name, KeyLocation: f}
		if err != nil {
			v.Error = err.Error()
		}
		out = append(out, v)
	}
	writeJSON(w, out)
}
