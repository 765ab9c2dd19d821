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
	SinceMS int64  `json:"since_ms"` // start of its process, in Unix milliseconds; 0: long ago
	// Weight is its part of the traffic compared with endpoints of the same speed, the largest being 1. Zero is 1. The discovery
	// service sends none.
	Weight float64 `json:"-"`
}

// List is a response of the discovery service.
type List struct {
	Index    int64
	Snapshot bool // whether Entries is the whole list, or changed entries
	Entries  []Endpoint
}

// Parse parses a list. An entry that is malformed becomes a zero Endpoint, which its consumer rejects for want of a name.
func Parse(text []byte) (List, error) {
	var raw struct {
		Index     *int64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if raw.Index == nil {
		return List{}, errors.New("list: no index")
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
