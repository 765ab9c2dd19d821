package counters

import "sync/atomic"

// Responses counts responses of endpoints that are not simply final responses to complete requests.
type Responses struct {
	Informational atomic.Int64 // informational (1xx) responses
	Early         atomic.Int64 // final responses that began before the request's body was written completely
}

// ResponseSnapshot is a copy of Responses.
type ResponseSnapshot struct {
	Informational int64 `json:"informational"`
	Early         int64 `json:"early"`
}

// Snapshot returns a copy of the counters.
func (r *Responses) Snapshot() ResponseSnapshot {
	return ResponseSnapshot{Informational: r.Informational.Load(), Early: r.Early.Load()}
}
