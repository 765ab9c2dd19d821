package host

import (
	"time"

	"silvertrail/internal/platform/registry"
	"silvertrail/lbpolicy"
)

// Carried is what a host hands to the one of the process that takes its place.
type Carried struct {
	Learnt  lbpolicy.Snapshot `json:"Learnt"`
	Servers []CarriedServer   `json:"Servers"` // of Learnt, by names: numbers and clocks are a process's own
}

// CarriedServer is what was learnt of an endpoint.
type CarriedServer struct {
	Name    string                  `json:"Name"`
	SinceMS int64                   `json:"SinceMS"`
	Learnt  lbpolicy.ServerSnapshot `json:"Learnt"`
}

// Carry returns what the decisions have learnt.
func (h *Host) Carry() (c Carried) {
	h.event(func(now time.Duration) {
		c.Learnt = h.balancer.Snapshot(now)
		for _, l := range c.Learnt.Servers {
			if e := h.endpoints[l.ID]; e != nil {
				c.Servers = append(c.Servers, CarriedServer{e.name, e.entry.SinceMS, l})
			}
		}
		c.Learnt.Servers = nil
	})
	return c
}

// Follow takes over what another process's decisions have learnt.
func (h *Host) Follow(c Carried) {
	h.event(func(now time.Duration) {
		l := c.Learnt
		l.Servers = nil
		for _, s := range c.Servers {
			s.Learnt.ID, s.Learnt.StartedAt = h.idOf(s.Name), h.clock.at(s.SinceMS)
			l.Servers = append(l.Servers, s.Learnt)
		}
		h.balancer.Restore(now, l)
	})
}

// Listed returns the endpoints as they are listed.
func (h *Host) Listed() []registry.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]registry.Endpoint, 0, len(h.endpoints))
	for _, e := range h.endpoints {
		list = append(list, e.entry)
	}
	return list
}

// Seen returns the endpoints that were ever listed, as far as that is remembered, as hashes.
func (h *Host) Seen() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.seen.order...)
}

// See takes endpoints for listed that another process has seen.
func (h *Host) See(hashes []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range hashes {
		h.seen.put(x)
	}
}

// Hold is Ban for an endpoint that another process knows, listed here or not.
func (h *Host) Hold(name string, on bool) {
	h.mu.Lock()
	h.seen.add(name)
	h.mu.Unlock()
	h.Ban(name, on)
}

// Event runs f while nothing else happens in the host: no attempt begins, none ends.
func (h *Host) Event(f func()) { h.event(func(time.Duration) { f() }) }
