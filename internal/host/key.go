package host

import (
	"errors"
	"slices"
	"time"

	"silvertrail/decide"
	"silvertrail/internal/history"
)

// Key is a keyed request's hold on its key's history, and what its attempts are recorded under.
type Key struct {
	History *history.Request
	Cluster string
	Terms   history.Terms
}

// past translates what is known of a call's key for the decisions.
func (h *Host) past(c *Call) decide.Past {
	p := c.key.History.Past(c.key.Terms.Scope)
	if !p.Known {
		return decide.Past{}
	}
	d := decide.Past{Known: true, Zone: slices.Index(h.zones, p.Place.Zone), Cell: p.Place.Cell, Until: h.clock.of(p.Until)}
	d.Nowhere = p.Split || p.Place.Cluster != c.key.Cluster || c.key.Terms.Scope != decide.ScopeAll && d.Zone < 0
	return d
}

// place is where an endpoint stands now.
func (h *Host) place(c *Call, e *endpoint) history.Place {
	p := history.Place{Cluster: c.key.Cluster, Cell: e.Cell}
	if e.Zone >= 0 && e.Zone < len(h.zones) {
		p.Zone = h.zones[e.Zone]
	}
	return p
}

// bind binds a call's key to the place of an attempt. Where it can't be, another request with the key was quicker, or
// the key's window has just ended: the decisions hear of it, and then that the attempt is moot.
func (h *Host) bind(c *Call, a *attempt) bool {
	if c.key == nil {
		return true
	}
	var err error
	if a.key, err = c.key.History.Send(time.Now(), h.place(c, a.server), c.key.Terms); err == nil {
		return true
	}
	if errors.Is(err, history.ErrElsewhere) {
		h.log.Info("attempt held back", "endpoint", a.server.name, "error", err)
	}
	return false
}

// learnPast tells the decisions what is known of a call's key now.
func (h *Host) learnPast(now time.Duration, c *Call) {
	if c.key != nil && !c.done {
		h.balancer.Past(now, c.id, h.past(c))
	}
}
