package engine

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/lbpolicy"
)

// endpoint is a listed endpoint with its connection pool.
type endpoint struct {
	lbpolicy.Server
	name, address   string
	pool            *upstream.Pool
	manuallyEjected bool
	entry           endpointlist.Endpoint // the latest valid entry of the list
}

// statesByStatus maps the statuses of the discovery service to the states of the policy.
var statesByStatus = map[string]lbpolicy.State{"ready": lbpolicy.Ready, "draining": lbpolicy.Draining, "gone": lbpolicy.Removed}

// UpdateEndpoints applies an endpoint list. Invalid entries are ignored.
func (e *Engine) UpdateEndpoints(kind lbpolicy.ListKind, entries []endpointlist.Endpoint) {
	e.processEvent(func(now time.Duration) {
		servers := make([]lbpolicy.Server, 0, len(entries))
		present := make(map[lbpolicy.ServerID]bool, len(entries))
		for _, entry := range entries {
			s, err := e.updateEndpoint(entry)
			if err != nil {
				e.log.Warn("endpoint list entry ignored", "error", err)
				continue
			}
			servers = append(servers, s)
			present[s.ID] = true
		}
		isFullList := kind == lbpolicy.Full || kind == lbpolicy.Cached
		for id, server := range e.endpoints {
			if server.State == lbpolicy.Removed || isFullList && !present[id] {
				e.removeEndpoint(server)
			}
		}
		e.balancer.UpdateEndpoints(now, kind, servers)
	})
}

// updateEndpoint applies one entry of a list. It returns an error for an invalid entry. An invalid address or zone does not matter if
// the entry removes an endpoint, or if a known endpoint starts to drain.
func (e *Engine) updateEndpoint(entry endpointlist.Endpoint) (lbpolicy.Server, error) {
	state, known := statesByStatus[entry.Status]
	if !known || entry.Name == "" {
		return lbpolicy.Server{}, fmt.Errorf("endpoint %q: status %q", entry.Name, entry.Status)
	}
	e.everListed.add(entry.Name)
	s := lbpolicy.Server{
		ID:        e.serverID(entry.Name),
		State:     state,
		Cell:      entry.Group,
		Weight:    entry.Weight,
		StartedAt: e.clock.fromUnixMilli(entry.SinceMS),
	}
	current := e.endpoints[s.ID]
	if state == lbpolicy.Removed { // the entry of a removed endpoint needs nothing but its name
		if current != nil {
			current.State = state
		}
		return s, nil
	}
	s.Zone = slices.Index(e.zones, entry.Zone)
	if _, err := netip.ParseAddrPort(entry.Address); err != nil || s.Zone < 0 {
		if current != nil && state == lbpolicy.Draining { // a known endpoint starts to drain even if the rest of its entry is invalid
			current.State, current.entry.Status = state, entry.Status
			return current.Server, nil
		}
		return s, fmt.Errorf("endpoint %q: address %q, zone %q", entry.Name, entry.Address, entry.Zone)
	}
	e.applyEntry(current, s, entry)
	return s, nil
}

// applyEntry updates an endpoint from a valid entry, or adds it if there is no current one.
func (e *Engine) applyEntry(current *endpoint, s lbpolicy.Server, entry endpointlist.Endpoint) {
	switch {
	case current == nil:
		_, ejected := e.manuallyEjected[entry.Name]
		current = &endpoint{name: entry.Name, address: entry.Address, pool: e.client.Pool(entry.Address), manuallyEjected: ejected}
		e.endpoints[s.ID] = current
	case current.address != entry.Address:
		current.pool.Close()
		current.address, current.pool = entry.Address, e.client.Pool(entry.Address)
	case current.StartedAt != s.StartedAt || s.State == lbpolicy.Draining:
		current.pool.CloseIdle() // the server process at the other end has ended, or is about to end
	}
	current.Server, current.entry = s, entry
}

// Close removes all endpoints. No new attempt is sent, and connections in use are closed when their attempts end.
func (e *Engine) Close() { e.UpdateEndpoints(lbpolicy.Full, nil) }

func (e *Engine) removeEndpoint(server *endpoint) {
	server.State = lbpolicy.Removed // attempts that still refer to the endpoint must not be sent
	server.pool.Close()
	delete(e.endpoints, server.ID)
}

// serverID returns the ID of an endpoint. It is a hash of the name, so that the ID is the same in every process: the policy's choice
// of a subset depends on that. If two names have the same hash, the one that is added later gets the next free ID.
func (e *Engine) serverID(name string) lbpolicy.ServerID {
	if id, ejected := e.manuallyEjected[name]; ejected {
		return id
	}
	sum := fnv.New32a()
	sum.Write([]byte(name))
	id := lbpolicy.ServerID(sum.Sum32())
	for {
		server := e.endpoints[id]
		if (server == nil || server.name == name) && !e.isEjectedID(id) {
			return id
		}
		id++
	}
}

// isEjectedID reports whether an ID belongs to a manually ejected endpoint, which need not be listed now.
func (e *Engine) isEjectedID(id lbpolicy.ServerID) bool {
	for _, ejected := range e.manuallyEjected {
		if ejected == id {
			return true
		}
	}
	return false
}

// Endpoints returns the latest entries of all listed endpoints.
func (e *Engine) Endpoints() []endpointlist.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]endpointlist.Endpoint, 0, len(e.endpoints))
	for _, server := range e.endpoints {
		list = append(list, server.entry)
	}
	return list
}

// ClusterSize returns the number of listed endpoints, and how many of them receive no requests now except probes.
func (e *Engine) ClusterSize() (listed, ejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.endpoints), e.balancer.CountEjected()
}

// ListedHashes returns the hashes of the names that have been listed, as far as they are remembered (see nameSet).
func (e *Engine) ListedHashes() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.everListed.latest.Hashes()
}

// AddListedHashes adds the hashes of names that have been listed in another process.
func (e *Engine) AddListedHashes(hashes []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, hash := range hashes {
		e.everListed.addHash(hash)
	}
}
