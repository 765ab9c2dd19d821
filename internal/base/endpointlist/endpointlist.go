// Package endpointlist defines the list of endpoints of the discovery service, and parses its JSON form.
package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Endpoint is one entry of a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMS int64  `json:"since_ms"` // start of the endpoint's process, in Unix milliseconds; 0: long ago
	// Weight is the endpoint's share of the traffic relative to endpoints of the same speed. The largest weight is 1, and zero
	// means 1. The discovery service sends no weights.
	Weight float64 `json:"-"`
}

// List is a response of the discovery service.
type List struct {
	Index    int64
	Snapshot bool // true: Entries is the complete list; false: only the changed entries
	Entries  []Endpoint
}

// Parse parses a list. A malformed entry becomes a zero Endpoint, which the consumer of the list rejects because it has no name.
func Parse(text []byte) (List, error) {
	var raw struct {
		Index     *int64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, fmt.Errorf("endpoint list: %w", err)
	}
	if raw.Index == nil {
		return List{}, errors.New("endpoint list: field index is missing")
	}
	l := List{Index: *raw.Index, Snapshot: raw.Snapshot}
	for _, entry := range raw.Endpoints {
		var e Endpoint
		if json.Unmarshal(entry, &e) != nil {
			e = Endpoint{}
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}
