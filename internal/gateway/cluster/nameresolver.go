package cluster

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/xds/cache"
)

// nameResolver resolves the endpoints of an XDS source whose addresses are DNS names, and reports the resolved list as the source's list.
// It runs one goroutine for each name. One whose name is not listed any more ends once its query has timed out at the latest; nothing but
// close waits for it, so that a name server that hangs holds up no list.
type nameResolver struct {
	source *XDS
	log    *slog.Logger
	tasks  sync.WaitGroup

	mu        sync.Mutex
	endpoints []cache.AssignedEndpoint // endpoints being resolved
	onlyFirst bool                     // only the first address of each name is used
	lookups   map[string]*nameLookup   // by name and port
	reported  []endpointlist.Endpoint  // the source's last list, also one without names
}

// nameLookup is the resolution of a name.
type nameLookup struct {
	cancel    context.CancelFunc
	addresses []endpointlist.Endpoint // nil: not resolved yet
}

func newNameResolver(source *XDS, log *slog.Logger) *nameResolver {
	return &nameResolver{source: source, log: log, lookups: map[string]*nameLookup{}}
}

// follow resolves endpoints until they are replaced or ctx ends. Only names that were not listed before are resolved anew. With onlyFirst,
// only the first address of each name is used.
func (r *nameResolver) follow(ctx context.Context, endpoints []cache.AssignedEndpoint, onlyFirst bool, report reportFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpoints
	r.onlyFirst = onlyFirst
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].Address] = true
	}
	for address, lookup := range r.lookups {
		if !listed[address] {
			lookup.cancel()
			delete(r.lookups, address)
		}
	}
	for address := range listed {
		if r.lookups[address] == nil {
			r.lookups[address] = r.start(ctx, address, report)
		}
	}
	r.publish(report)
}

// start starts resolving a name and port. An IP address needs no query. The caller holds the lock.
func (r *nameResolver) start(ctx context.Context, address string, report reportFunc) *nameLookup {
	host, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	if net.ParseIP(host) != nil {
		return &nameLookup{cancel: func() {}, addresses: []endpointlist.Endpoint{{Address: address}}}
	}
	lookup := &nameLookup{}
	ctx, lookup.cancel = context.WithCancel(ctx)
	d := &DNS{Name: host, Port: uint16(port), Server: r.source.Server}
	r.tasks.Go(func() {
		d.run(ctx, func(kind updateKind, entries []endpointlist.Endpoint) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.lookups[address] == lookup {
				r.update(lookup, kind, entries, report)
			}
		}, r.log)
	})
	return lookup
}

// update applies the result of a resolution. A name that has been resolved keeps its addresses while its name server is unreachable. The
// caller holds the lock.
func (r *nameResolver) update(lookup *nameLookup, kind updateKind, entries []endpointlist.Endpoint, report reportFunc) {
	if kind == unreachable {
		if lookup.addresses == nil {
			report(unreachable, nil)
		}
		return
	}
	lookup.addresses = append([]endpointlist.Endpoint{}, entries...)
	r.publish(report)
}

// publish reports the list. Until each name is resolved, the source's last list is kept, but what the new one does not list drains. The caller
// holds the lock.
func (r *nameResolver) publish(report reportFunc) {
	out, isComplete := r.list()
	if !isComplete {
		if len(r.reported) == 0 {
			return
		}
		out = append(out, drainUnlisted(r.reported, out)...)
	}
	r.reported = out
	report(fullList, out)
}

// list returns the entries of all names that are resolved, and whether all are.
func (r *nameResolver) list() (out []endpointlist.Endpoint, isComplete bool) {
	isComplete = true
	for i := range r.endpoints {
		assigned := &r.endpoints[i]
		addresses := r.lookups[assigned.Address].addresses
		if addresses == nil {
			isComplete = false
		}
		if r.onlyFirst && len(addresses) > 1 {
			addresses = addresses[:1]
		}
		for _, address := range addresses {
			e := r.source.entry(assigned)
			e.Address = address.Address
			if len(addresses) > 1 {
				e.Name = "" // entries with the same name would replace each other in the merger
				e.Weight /= float64(len(addresses))
			}
			out = append(out, e)
		}
	}
	return out, isComplete
}

// drainUnlisted returns the entries of a list whose addresses are not in the next one, as draining.
func drainUnlisted(list, next []endpointlist.Endpoint) (out []endpointlist.Endpoint) {
	listed := make(map[string]bool, 2*len(next))
	for i := range next {
		listed[addressKey(next[i].Address)] = true
		listed[next[i].Name] = true
	}
	for _, e := range list {
		if listed[addressKey(e.Address)] {
			continue
		}
		if listed[e.Name] { // another address has the name now
			e.Name = ""
		}
		e.Status = draining
		out = append(out, e)
	}
	return out
}

// replace ends the resolution of names, and reports a list without names.
func (r *nameResolver) replace(list []endpointlist.Endpoint, report reportFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelLookups()
	r.endpoints = nil
	r.reported = list
	report(fullList, list)
}

// cancelLookups ends the resolution of all names. The caller holds the lock.
func (r *nameResolver) cancelLookups() {
	for _, lookup := range r.lookups {
		lookup.cancel()
	}
	clear(r.lookups)
}

// close ends the resolution and waits for its goroutines.
func (r *nameResolver) close() {
	r.mu.Lock()
	r.cancelLookups()
	r.mu.Unlock()
	r.tasks.Wait()
}
