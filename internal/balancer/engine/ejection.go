package engine

import (
	"errors"
	"time"

	"silvertrail/lbpolicy"
)

// ErrUnknownEndpoint says that an endpoint was never listed.
var ErrUnknownEndpoint = errors.New("host: the endpoint was never listed")

// SetManuallyEjected keeps an endpoint from new calls, or ends that. When it returns no new attempt can begin there: retries, copies,
// trials, and attempts that were decided on and have not written their first byte. ErrUnknown tells that the endpoint
// was never listed, as far as that is remembered.
func (h *Engine) SetManuallyEjected(name string, on bool) error {
	err := ErrUnknownEndpoint
	h.event(func(now time.Duration) {
		id, held := h.manuallyEjected[name]
		switch {
		case !held && h.endpoints[h.serverID(name)] == nil && !h.everListed.has(name):
			return
		case !held:
			id = h.serverID(name)
		}
		err = nil
		if on {
			h.manuallyEjected[name] = id
		} else {
			delete(h.manuallyEjected, name)
		}
		if e := h.endpoints[id]; e != nil {
			if e.manuallyEjected = on; on {
				e.pool.CloseIdle() // its process is to end: those would break under a call
			}
		}
		h.balancer.SetManuallyEjected(now, id, on)
	})
	return err
}

// ManuallyEjected returns the endpoints that are kept from new calls by hand.
func (h *Engine) ManuallyEjected() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.manuallyEjected))
	for name := range h.manuallyEjected {
		names = append(names, name)
	}
	return names
}

// ClusterSize tells how many endpoints are listed, and how many of them get no calls now but for trials.
func (h *Engine) ClusterSize() (size, avoided int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.endpoints), h.balancer.CountEjected()
}

// Settings are what calls are taken by: settings, and the names by which the sockets know what decisions know by number.
type Settings struct {
	Policy       lbpolicy.Settings
	Zones        []string // the earlier ones in their order, new ones behind
	ReportFields []string
}

// Configure puts other terms in force for what comes from now on; with an error nothing has changed.
func (h *Engine) Configure(t Settings) error {
	err := errors.New("host: settings: the decisions failed on them")
	h.event(func(now time.Duration) {
		if err = h.balancer.Configure(now, t.Policy); err == nil {
			h.zones, h.reportFields, h.classes = t.Zones, t.ReportFields, t.Policy.Classes
		}
	})
	return err
}
