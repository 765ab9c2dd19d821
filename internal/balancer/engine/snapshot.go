package engine

import (
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/lbpolicy"
)

// Snapshot is what a host hands to the one of the process that takes its place.
type Snapshot struct {
	Policy  lbpolicy.Snapshot `json:"Learnt"`
	Servers []ServerSnapshot  `json:"Servers"` // of Learnt, by names: numbers and clocks are a process's own
}

// ServerSnapshot is what was learnt of an endpoint.
type ServerSnapshot struct {
	Name    string                  `json:"Name"`
	SinceMS int64                   `json:"SinceMS"`
	Policy  lbpolicy.ServerSnapshot `json:"Learnt"`
}

// Snapshot returns what the decisions have learnt.
func (h *Engine) Snapshot() (c Snapshot) {
	h.event(func(now time.Duration) {
		c.Policy = h.balancer.Snapshot(now)
		for _, l := range c.Policy.Servers {
			if e := h.endpoints[l.ID]; e != nil {
				c.Servers = append(c.Servers, ServerSnapshot{e.name, e.entry.SinceMS, l})
			}
		}
		c.Policy.Servers = nil
	})
	return c
}

// Restore takes over what another process's decisions have learnt.
func (h *Engine) Restore(c Snapshot) {
	h.event(func(now time.Duration) {
		l := c.Policy
		l.Servers = nil
		for _, s := range c.Servers {
			s.Policy.ID, s.Policy.StartedAt = h.serverID(s.Name), h.clock.at(s.SinceMS)
			l.Servers = append(l.Servers, s.Policy)
		}
		h.balancer.Restore(now, l)
	})
}

// Endpoints returns the endpoints as they are listed.
func (h *Engine) Endpoints() []endpointlist.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]endpointlist.Endpoint, 0, len(h.endpoints))
	for _, e := range h.endpoints {
		list = append(list, e.entry)
	}
	return list
}

// ListedHashes returns the endpoints that were ever listed, as far as that is remembered, as hashes.
func (h *Engine) ListedHashes() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.everListed.order...)
}

// AddListedHashes takes endpoints for listed that another process has seen.
func (h *Engine) AddListedHashes(hashes []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range hashes {
		h.everListed.put(x)
	}
}

// SetEjectedUnlisted is Ban for an endpoint that another process knows, listed here or not.
func (h *Engine) SetEjectedUnlisted(name string, on bool) {
	h.mu.Lock()
	h.everListed.add(name)
	h.mu.Unlock()
	h.SetManuallyEjected(name, on)
}

// Synchronize runs f while nothing else happens in the host: no attempt begins, none ends.
func (h *Engine) Synchronize(f func()) { h.event(func(time.Duration) { f() }) }
