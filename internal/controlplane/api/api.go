// Package api defines the options and the status of a control-plane server. It is separate from the implementation: a program
// that is built without a control-plane server can still read the configuration and query other control-plane servers.
package api

import (
	"time"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/bootstrap"
)

// Defaults of the options.
const (
	// DefaultBytesPerSecond is what 767 sidecars together may receive, at 13 KB/s of control traffic each. A server that sends
	// faster than that gains nothing.
	DefaultBytesPerSecond = 10 << 20
	DefaultSubscribers    = 2048
	DefaultInitialSync    = 3 * time.Second
)

// Peer is another control-plane server.
type Peer struct {
	Name         string // the node ID in the peer's requests
	ControlPlane bootstrap.ControlPlane
}

// Options configure a control-plane server.
type Options struct {
	Name           string
	Listen         string // IP address and port
	Insecure       bool   // without TLS
	TLS            certs.Files
	Peers          []Peer
	StateFile      string        // empty: publications are kept in memory only
	BytesPerSecond int64         // limit on initial states, for all subscribers together
	MaxSubscribers int           // limit on concurrent streams, plus one for each peer; further streams are rejected
	InitialSync    time.Duration // how long the server waits for its peers' records at its start
}

// Published is the result of a publication.
type Published struct {
	Version   string `json:"version"`
	Resources int    `json:"resources"` // new or changed
	Removed   int    `json:"removed"`
	Unchanged int    `json:"unchanged"` // had the published content already
}

// Status is the status of a control-plane server.
type Status struct {
	Name         string       `json:"name"`
	Ready        bool         `json:"ready"` // sidecars are served
	Counter      uint64       `json:"counter"`
	Clusters     int          `json:"clusters"`
	EndpointSets int          `json:"endpoint_sets"`
	Removed      int          `json:"removed"`
	Messages     int64        `json:"messages"` // sent since the start
	Bytes        int64        `json:"bytes"`
	Waiting      int          `json:"waiting"` // subscribers queued for their initial state
	Subscribers  []Subscriber `json:"subscribers"`
	Versions     []Version    `json:"versions"` // not acknowledged by all their subscribers, newest first
	Rejections   []Rejection  `json:"refusals"`
	Peers        []PeerStatus `json:"peers"`
	Conflicts    []Conflict   `json:"conflicts"`
	Dangling     []string     `json:"dangling"` // clusters whose endpoint set is missing
}

// Subscriber is the status of a subscriber's stream.
type Subscriber struct {
	Node       string    `json:"node"`
	Address    string    `json:"address"`
	Since      time.Time `json:"since"`
	Peer       bool      `json:"peer,omitempty"`
	Subscribed int       `json:"subscribed"` // number of names
	Behind     int       `json:"behind"`     // names whose version on this server is not acknowledged
	Rejected   int       `json:"refused"`
	Ahead      int       `json:"ahead"` // names that the subscriber has in a newer version, from a server that this one has not synced with
	InFlight   bool      `json:"in_flight"`
	Messages   int64     `json:"messages"`
	Bytes      int64     `json:"bytes"`
}

// Version is a published version that some of its subscribers have not acknowledged.
type Version struct {
	Version string `json:"version"`
	Behind  int    `json:"behind"` // number of subscribers
}

// Rejection is a version that a subscriber has rejected. The subscriber keeps using the previous version.
type Rejection struct {
	Node    string    `json:"node"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version"`
	Reason  string    `json:"why"`
	At      time.Time `json:"at"`
}

// PeerStatus is the status of the streams from and to another control-plane server.
type PeerStatus struct {
	Name        string    `json:"name"`
	State       string    `json:"state"` // down, connecting, up
	LastMessage time.Time `json:"heard,omitzero"`
	Synced      bool      `json:"whole"`   // all records of the peer were received on the current stream
	Subscribed  bool      `json:"follows"` // the peer has subscribed to this server
	Behind      int       `json:"behind"`  // records of this server that the peer has not acknowledged
	Fault       string    `json:"fault,omitempty"`
}

// Conflict describes two concurrent versions of a resource. The winner takes precedence over the loser on all servers.
type Conflict struct {
	Kind   string    `json:"kind"`
	Name   string    `json:"name"`
	Winner string    `json:"winner"`
	Loser  string    `json:"loser"`
	At     time.Time `json:"at"`
}
