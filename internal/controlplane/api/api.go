// Package api defines the options and the status of a control-plane server apart from its implementation, so that a program that
// is built without it can read the configuration, and query servers that have it.
package api

import (
	"time"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/bootstrap"
)

// Defaults of the options.
const (
	// DefaultBytesPerSecond is the sum of what 767 sidecars have for control traffic, 13 KB a second each: a server that sends faster than
	// they may receive gains nothing.
	DefaultBytesPerSecond = 10 << 20
	DefaultSubscribers    = 2048
	DefaultInitialSync    = 3 * time.Second
)

// Peer is another control-plane server.
type Peer struct {
	Name  string // as it identifies itself
	Plane bootstrap.ControlPlane
}

// Options configure a control-plane server.
type Options struct {
	Name           string
	Listen         string // IP address and port
	Insecure       bool   // without TLS
	TLS            certs.Files
	Peers          []Peer
	StateFile      string        // empty: what was published is lost with the process
	BytesPerSecond int64         // of initial states
	MaxSubscribers int           // streams at once; others are rejected
	InitialSync    time.Duration // how long peers are waited for at the start
}

// Published is the result of a publication.
type Published struct {
	Version   string `json:"version"`
	Resources int    `json:"resources"` // new or changed
	Removed   int    `json:"removed"`
	Unchanged int    `json:"unchanged"` // in force already
}

// Status is the status of a control-plane server.
type Status struct {
	Name        string       `json:"name"`
	Ready       bool         `json:"ready"` // sidecars are served
	Counter     uint64       `json:"counter"`
	Clusters    int          `json:"clusters"`
	Sets        int          `json:"endpoint_sets"`
	Removed     int          `json:"removed"`
	Messages    int64        `json:"messages"` // sent since the start
	Bytes       int64        `json:"bytes"`
	Waiting     int          `json:"waiting"` // subscribers, for their initial state
	Subscribers []Subscriber `json:"subscribers"`
	Versions    []Version    `json:"versions"` // that any subscriber is behind in, the newest first
	Rejections  []Rejection  `json:"refusals"`
	Peers       []PeerStatus `json:"peers"`
	Conflicts   []Conflict   `json:"conflicts"`
	Dangling    []string     `json:"dangling"` // clusters whose endpoint set is missing
}

// Subscriber is a stream.
type Subscriber struct {
	Node       string    `json:"node"`
	Address    string    `json:"address"`
	Since      time.Time `json:"since"`
	Peer       bool      `json:"peer,omitempty"`
	Subscribed int       `json:"subscribed"` // names
	Behind     int       `json:"behind"`     // of these, those not acknowledged in the version of this server
	Rejected   int       `json:"refused"`
	Ahead      int       `json:"ahead"` // of these, those newer than on this server, from a server that it has not synced with
	InFlight   bool      `json:"in_flight"`
	Messages   int64     `json:"messages"`
	Bytes      int64     `json:"bytes"`
}

// Version is a publication that is not in force at all its subscribers.
type Version struct {
	Version string `json:"version"`
	Behind  int    `json:"behind"` // subscribers
}

// Rejection is a version that a subscriber has rejected. The version before it is in force there.
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
	Synced      bool      `json:"whole"`   // all its records were received on this stream
	Subscribed  bool      `json:"follows"` // it subscribes to this server
	Behind      int       `json:"behind"`  // records of this server that it has not acknowledged
	Fault       string    `json:"fault,omitempty"`
}

// Conflict is two concurrent versions: the winner is in force.
type Conflict struct {
	Kind   string    `json:"kind"`
	Name   string    `json:"name"`
	Winner string    `json:"winner"`
	Loser  string    `json:"loser"`
	At     time.Time `json:"at"`
}
