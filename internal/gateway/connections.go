package gateway

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"silvertrail/internal/edge/admission"
)

// freeDescriptors closes idle connections of all listeners: the process has no descriptor for a connection to an endpoint.
func (g *Gateway) freeDescriptors() { g.freeDescriptorsExcept(nil) }

// freeDescriptorsExcept closes idle connections of all listeners but one.
func (g *Gateway) freeDescriptorsExcept(except *boundListener) {
	n := 0
	if open := g.openListeners.Load(); open != nil {
		for _, f := range *open {
			if f != except {
				n += f.FreeDescriptors()
			}
		}
	}
	g.exhaustionLog.Do(func() {
		g.log.Warn("descriptors exhausted, capacity reduced: raise the system's limit, or lower sockets", "closed_idle", n)
	})
}

// ListenerStatus is the state of a listener's connections, as the control socket reports it.
type ListenerStatus struct {
	Listener string `json:"listener"`
	Address  string `json:"address"`
	TLS      bool   `json:"tls"`
	admission.Status
	// Source is the state of the address that the query names.
	Source *admission.AddressStatus `json:"who,omitempty"`
}

// Bounds of the sources that are listed.
const (
	defaultListedSources = 10
	maxListedSources     = 1000
)

// handleConnections reports the state of all listeners' connections, and of an address where one is named.
func (g *Gateway) handleConnections(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	sources := defaultListedSources
	if text := q.Get("sources"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxListedSources {
			http.Error(w, "sources is a number up to 1000", http.StatusBadRequest)
			return
		}
		sources = n
	}
	var who netip.Addr
	if text := q.Get("address"); text != "" {
		var err error
		if who, err = netip.ParseAddr(text); err != nil {
			http.Error(w, "address is no IP address", http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, g.listenerStatus(sources, who))
}

// listenerStatus returns the state of all listeners, ordered by name.
func (g *Gateway) listenerStatus(sources int, who netip.Addr) []ListenerStatus {
	var out []ListenerStatus
	for _, f := range *g.openListeners.Load() {
		v := ListenerStatus{Listener: f.router.listener.Load().Name, Address: f.listener.Addr().String(), TLS: f.TLS() != nil, Status: f.Status(sources)}
		if who.IsValid() {
			at := f.AddressStatus(who)
			v.Source = &at
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b ListenerStatus) int { return cmp.Compare(a.Listener, b.Listener) })
	return out
}
