package host

import (
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

// ErrUnknown says that an endpoint was never listed.
var ErrUnknown = errors.New("host: the endpoint was never listed")

// Ban keeps an endpoint from new calls, or ends that. When it returns no new attempt can begin there: retries, copies,
// trials, and attempts that were decided on and have not written their first byte. ErrUnknown tells that the endpoint
// was never listed, as far as that is remembered.
func (h *Host) Ban(name string, on bool) error {
	err := ErrUnknown
	h.event(func(now time.Duration) {
		id, held := h.banned[name]
		switch {
		case !held && h.endpoints[h.idOf(name)] == nil && !h.seen.has(name):
			return
		case !held:
			id = h.idOf(name)
		}
		err = nil
		if on {
			h.banned[name] = id
		} else {
			delete(h.banned, name)
		}
		if e := h.endpoints[id]; e != nil {
			if e.banned = on; on {
				e.pool.CloseIdle() // its process is to end: those would break under a call
			}
		}
		h.balancer.SetManuallyEjected(now, id, on)
	})
	return err
}

// Banned returns the endpoints that are kept from new calls by hand.
func (h *Host) Banned() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.banned))
	for name := range h.banned {
		names = append(names, name)
	}
	return names
}

// Cluster tells how many endpoints are listed, and how many of them get no calls now but for trials.
func (h *Host) Cluster() (size, avoided int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.endpoints), h.balancer.CountEjected()
}

// Terms are what calls are taken by: settings, and the names by which the sockets know what decisions know by number.
type Terms struct {
	Decide lbpolicy.Settings
	Zones  []string // the earlier ones in their order, new ones behind
	Report []string
}

// Configure puts other terms in force for what comes from now on; with an error nothing has changed.
func (h *Host) Configure(t Terms) error {
	err := errors.New("host: settings: the decisions failed on them")
	h.event(func(now time.Duration) {
		if err = h.balancer.Configure(now, t.Decide); err == nil {
			h.zones, h.report, h.classes = t.Zones, t.Report, t.Decide.Classes
		}
	})
	return err
}
