package cluster

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/xds/cache"
)

// nameResolver resolves the endpoints of an XDS source whose addresses are DNS names, and reports the resolved list as the source's list.
// It runs one goroutine for each name. stop waits for them.
type nameResolver struct {
	source *XDS
	log    *slog.Logger
	tasks  sync.WaitGroup

	mu         sync.Mutex
	endpoints  []cache.AssignedEndpoint           // endpoints being resolved
	cancel     context.CancelFunc                 // ends the resolution; nil: no endpoints are followed
	generation int                                // incremented when the endpoints are replaced; results from earlier goroutines are ignored
	resolved   map[string][]endpointlist.Endpoint // by name and port; a nil value is not resolved yet
}

// follow resolves endpoints and stops resolving the previous ones. A change of weights or health alone sends no DNS query. With onlyFirst,
// only the first address of each name is used.
func (r *nameResolver) follow(ctx context.Context, endpoints []cache.AssignedEndpoint, onlyFirst bool, report reportFunc) {
	isSame := r.follows(endpoints)
	if !isSame {
		r.stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpoints
	if isSame {
		r.publish(report)
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.generation++
	r.resolved = map[string][]endpointlist.Endpoint{}
	if len(endpoints) == 0 {
		r.publish(report)
	}
	for _, e := range endpoints {
		r.start(ctx, e.Address, onlyFirst, report)
	}
}

// follows reports whether the endpoints being resolved have the same addresses as the given ones.
func (r *nameResolver) follows(endpoints []cache.AssignedEndpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancel != nil && slices.EqualFunc(r.endpoints, endpoints, func(a, b cache.AssignedEndpoint) bool { return a.Address == b.Address })
}

// start starts resolving a name and port until ctx ends. An IP address needs no query. The caller holds the lock.
func (r *nameResolver) start(ctx context.Context, address string, onlyFirst bool, report reportFunc) {
	host, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	if net.ParseIP(host) != nil {
		r.resolved[address] = []endpointlist.Endpoint{{Address: address}}
		r.publish(report)
		return
	}
	generation := r.generation
	d := &DNS{Name: host, Port: uint16(port), Server: r.source.Server}
	r.tasks.Go(func() {
		d.run(ctx, func(kind updateKind, entries []endpointlist.Endpoint) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.generation == generation {
				r.update(address, kind, entries, onlyFirst, report)
			}
		}, r.log)
	})
}

// update applies the result of a resolution. A name that has been resolved keeps its addresses while its name server is unreachable. The
// caller holds the lock.
func (r *nameResolver) update(address string, kind updateKind, entries []endpointlist.Endpoint, onlyFirst bool, report reportFunc) {
	if kind == unreachable {
		if r.resolved[address] == nil {
			report(unreachable, nil)
		}
		return
	}
	if onlyFirst && len(entries) > 1 {
		entries = entries[:1]
	}
	r.resolved[address] = append([]endpointlist.Endpoint{}, entries...)
	r.publish(report)
}

// publish reports the list if each name is resolved. The caller holds the lock.
func (r *nameResolver) publish(report reportFunc) {
	var out []endpointlist.Endpoint
	for i := range r.endpoints {
		assigned := &r.endpoints[i]
		resolved := r.resolved[assigned.Address]
		if resolved == nil {
			return
		}
		for _, address := range resolved {
			e := r.source.entry(assigned)
			e.Address = address.Address
			if len(resolved) > 1 {
				e.Name = "" // entries with the same name would replace each other in the merger
				e.Weight /= float64(len(resolved))
			}
			out = append(out, e)
		}
	}
	report(fullList, out)
}

// stop ends the resolution and waits for its goroutines.
func (r *nameResolver) stop() {
	r.mu.Lock()
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.generation++
	r.mu.Unlock()
	r.tasks.Wait()
}
