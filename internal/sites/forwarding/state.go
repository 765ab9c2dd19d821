package forwarding

import "time"

// State is the state that a site's gateway reports. Its numeric value is part of the peering protocol.
type State uint8

// The states, from worst to best. An unavailable site gets no requests. A draining site gets only requests whose
// idempotency key it owns.
const (
	Unavailable State = iota
	Draining
	Shedding // rejects some requests of its own clients
	Available
)

// String returns the name that is shown to operators.
func (s State) String() string {
	if s > Available {
		return "unknown"
	}
	return [...]string{"closed", "draining", "shedding", "open"}[s]
}

// Site is the status of another site.
type Site struct {
	Name             string        `json:"name"`
	State            State         `json:"-"`
	ConcurrencyLimit float64       `json:"window"` // of the highest priority weight
	InFlight         int           `json:"in_flight"`
	RoundTrip        time.Duration `json:"round_trip"`
}
