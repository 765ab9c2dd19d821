package gateway

import (
	"context"
	"net/http"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/peering"
)

const askIn = 5 * time.Second // for the other salas' answers

// LinkView is what a gateway tells of its links.
type LinkView struct {
	Sala     string               `json:"sala"`
	State    string               `json:"state"`
	Leaving  bool                 `json:"leaving,omitempty"` // its own callers' requests go to other salas first
	Salas    []peering.SiteStatus `json:"salas"`
	Compared bool                 `json:"compared,omitempty"` // with the other ends' counts
}

// links returns the running links, or tells that there are none.
func (g *Gateway) links(w http.ResponseWriter) *peering.Transport {
	l := g.linked.Load()
	if l == nil {
		http.Error(w, "this instance has no link to other salas", http.StatusNotFound)
	}
	return l
}

func (g *Gateway) tellLinks(w http.ResponseWriter, r *http.Request) {
	l := g.links(w)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), askIn)
	defer cancel()
	reconcile := r.URL.Query().Get("reconcile") != ""
	tell(w, LinkView{Sala: g.sala, State: salaServer{g}.State().String(), Leaving: g.leaving.Load(), Compared: reconcile,
		Salas: l.Status(ctx, reconcile)})
}

// takeDrain has this sala take nothing more from others (mode "in"), and send its own callers' requests to others first
// ("all"), or go back to serving ("off").
func (g *Gateway) takeDrain(w http.ResponseWriter, r *http.Request) {
	if g.links(w) == nil {
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
	ended := g.ended
	if !ended {
		g.draining.Store(mode != "off")
		g.leaving.Store(mode == "all")
	}
	g.mu.Unlock()
	if ended {
		http.Error(w, "the instance is ending", http.StatusConflict)
		return
	}
	g.log.Info("drain of the sala", "mode", mode)
	tell(w, LinkView{Sala: g.sala, State: salaServer{g}.State().String(), Leaving: g.leaving.Load()})
}

// FoundView is what one sala knows of a key.
type FoundView struct {
	Sala string `json:"sala"`
	peering.KeyLocation
	Error string `json:"error,omitempty"`
}

// tellLookup asks all salas what became of a key.
func (g *Gateway) tellLookup(w http.ResponseWriter, r *http.Request) {
	l := g.links(w)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), askIn)
	defer cancel()
	id := idempotency.KeyIDOf(r.URL.Query().Get("tenant"), r.URL.Query().Get("key"))
	out := []FoundView{{Sala: g.sala, KeyLocation: salaServer{g}.Lookup(id)}}
	for _, s := range l.Status(ctx, false) {
		f, err := l.Lookup(ctx, s.Name, id)
		v := FoundView{Sala: s.Name, KeyLocation: f}
		if err != nil {
			v.Error = err.Error()
		}
		out = append(out, v)
	}
	tell(w, out)
}
