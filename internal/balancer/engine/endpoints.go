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

// endpoint is an entry of discovery's list and the connections to it.
type endpoint struct {
	lbpolicy.Server
	name, address   string
	pool            *upstream.Pool
	manuallyEjected bool                  // by hand: nothing new
	entry           endpointlist.Endpoint // as it was listed last
}

var states = map[string]lbpolicy.State{"ready": lbpolicy.Ready, "draining": lbpolicy.Draining, "gone": lbpolicy.Removed}

// UpdateEndpoints takes a list from discovery. An entry that can't be used is passed over; the others count.
func (h *Engine) UpdateEndpoints(kind lbpolicy.ListKind, entries []endpointlist.Endpoint) {
	h.event(func(now time.Duration) {
		servers := make([]lbpolicy.Server, 0, len(entries))
		named := make(map[lbpolicy.ServerID]bool, len(entries))
		for _, e := range entries {
			s, err := h.updateEndpoint(e)
			if err != nil {
				h.log.Warn("discovery: entry passed over", "error", err)
				continue
			}
			servers = append(servers, s)
			named[s.ID] = true
		}
		for id, e := range h.endpoints {
			if e.State == lbpolicy.Removed || (kind == lbpolicy.Full || kind == lbpolicy.Cached) && !named[id] {
				h.removeEndpoint(e)
			}
		}
		h.balancer.UpdateEndpoints(now, kind, servers)
	})
}

// updateEndpoint takes one entry into the table of endpoints.
func (h *Engine) updateEndpoint(e endpointlist.Endpoint) (lbpolicy.Server, error) {
	state, known := states[e.Status]
	if !known || e.Name == "" {
		return lbpolicy.Server{}, fmt.Errorf("endpoint %q: status %q", e.Name, e.Status)
	}
	h.everListed.add(e.Name)
	s := lbpolicy.Server{ID: h.serverID(e.Name), State: state, Cell: e.Group, Weight: e.Weight, StartedAt: h.clock.at(e.SinceMS)}
	old := h.endpoints[s.ID]
	if state == lbpolicy.Removed { // of one that is gone nothing but the name is needed
		if old != nil {
			old.State = state
		}
		return s, nil
	}
	s.Zone = slices.Index(h.zones, e.Zone)
	if _, err := netip.ParseAddrPort(e.Address); err != nil || s.Zone < 0 {
		if old != nil && state == lbpolicy.Draining { // that it drains counts, whatever else can't be read
			old.State, old.entry.Status = state, e.Status
			return old.Server, nil
		}
		return s, fmt.Errorf("endpoint %q: address %q, zone %q", e.Name, e.Address, e.Zone)
	}
	switch {
	case old == nil:
		_, banned := h.manuallyEjected[e.Name]
		old = &endpoint{name: e.Name, address: e.Address, pool: h.client.Pool(e.Address), manuallyEjected: banned}
		h.endpoints[s.ID] = old
	case old.address != e.Address:
		old.pool.Close()
		old.address, old.pool = e.Address, h.client.Pool(e.Address)
	case old.StartedAt != s.StartedAt || state == lbpolicy.Draining:
		old.pool.CloseIdle() // to a process that has ended, or is about to
	}
	old.Server, old.entry = s, e
	return s, nil
}

// Close takes all endpoints off the list: nothing new goes out, and their connections end with the attempts on them.
func (h *Engine) Close() { h.UpdateEndpoints(lbpolicy.Full, nil) }

func (h *Engine) removeEndpoint(e *endpoint) {
	e.State = lbpolicy.Removed // attempts that still hold it must not write to it
	e.pool.Close()
	delete(h.endpoints, e.ID)
}

// serverID gives an endpoint's number: a hash of its name, so that it is the same at every sidecar (the decisions on
// who uses which endpoints rest on that). Where two names meet, the later one takes the next free number.
func (h *Engine) serverID(name string) lbpolicy.ServerID {
	if id, held := h.manuallyEjected[name]; held { // its ban must find it again
		return id
	}
	sum := fnv.New32a()
	sum.Write([]byte(name))
	id := lbpolicy.ServerID(sum.Sum32())
	for {
		e := h.endpoints[id]
		if (e == nil || e.name == name) && !h.isEjectedID(id) {
			return id
		}
		id++
	}
}

// isEjectedID tells whether an endpoint that is banned has a number, listed or not.
func (h *Engine) isEjectedID(id lbpolicy.ServerID) bool {
	for _, b := range h.manuallyEjected {
		if b == id {
			return true
		}
	}
	return false
}

// clock counts from a start far enough back that what started lately has a positive time: to the decisions zero
// means long ago.
type clock struct{ start time.Time }

const clockOrigin = 24 * time.Hour

func (c clock) now() time.Duration { return clockOrigin + time.Since(c.start) }

// of converts a time of this process.
func (c clock) of(t time.Time) time.Duration { return clockOrigin + t.Sub(c.start) }

// at converts a Unix time in milliseconds. It uses the clock's start alone: the same start of an endpoint gives the
// same time whenever it is told, also where the wall clock is set meanwhile.
func (c clock) at(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(clockOrigin+time.Duration(ms-c.start.UnixMilli())*time.Millisecond, 0)
}
