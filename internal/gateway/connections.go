package gateway

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"silvertrail/internal/edge/admission"
)

// freeDescriptors has all listeners give back descriptors: the process has none for a connection to an endpoint.
func (g *Gateway) freeDescriptors() { g.freeDescriptorsExcept(nil) }

// freeDescriptorsExcept has all listeners but one give back descriptors.
func (g *Gateway) freeDescriptorsExcept(but *boundListener) {
	n := 0
	if open := g.openListeners.Load(); open != nil {
		for _, f := range *open {
			if f != but {
				n += f.FreeDescriptors()
			}
		}
	}
	g.exhaustionLog.Do(func() {
		g.log.Warn("out of descriptors: connections are taken up more slowly; raise the system's limit, or lower sockets", "ended_idle", n)
	})
}

// ListenerStatus is how the connections of a listener stand.
type ListenerStatus struct {
	Listener string `json:"listener"`
	Address  string `json:"address"`
	TLS      bool   `json:"tls"`
	admission.Status
	// Source is how an address stands that was asked for.
	Source *admission.AddressStatus `json:"who,omitempty"`
}

// maxListedSources bounds how many sources are told of.
const maxListedSources = 1000

// handleConnections tells how all listeners' connections stand, and how an address stands where one is named.
func (g *Gateway) handleConnections(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	sources := 10
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

// listenerStatus tells how all listeners stand.
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
