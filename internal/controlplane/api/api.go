// Package api holds what a control machine is told and what it tells, without its parts: a program that is built without these
// still reads the configuration and asks those that have them.
package api

import (
	"time"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/planes"
)

// Where the options do not tell:
const (
	// DefaultBytesPerSecond is the sum of what 767 sidecars have for control, 13 KB a second each: a control machine that sends faster than they may
	// take it gains nothing.
	DefaultBytesPerSecond = 10 << 20
	DefaultSubscribers    = 2048
	DefaultInitialSync    = 3 * time.Second
)

// Peer is another control machine.
type Peer struct {
	Name  string // as it calls itself
	Plane planes.Plane
}

// Options are what is told of a control machine.
type Options struct {
	Name           string
	Listen         string // IP address and port
	Insecure       bool   // no TLS
	TLS            certs.Files
	Peers          []Peer
	StateFile      string        // file of all that was published; empty: it is lost with the process
	BytesPerSecond int64         // bytes a second of first states
	MaxSubscribers int           // streams at once; those beyond it are turned away
	InitialSync    time.Duration // for which peers are waited for at the start
}

// Published is what became of a publication.
type Published struct {
	Version   string `json:"version"`
	Resources int    `json:"resources"` // that are new or changed
	Removed   int    `json:"removed"`
	Unchanged int    `json:"unchanged"` // that hold already as they were told
}

// Status is what a control machine tells of itself.
type Status struct {
	Name        string       `json:"name"`
	Ready       bool         `json:"ready"` // receivers are served
	Counter     uint64       `json:"counter"`
	Clusters    int          `json:"clusters"`
	Sets        int          `json:"endpoint_sets"`
	Removed     int          `json:"removed"`
	Messages    int64        `json:"messages"` // sent since the start
	Bytes       int64        `json:"bytes"`
	Waiting     int          `json:"waiting"` // subscribers, for their turn of a first state
	Subscribers []Subscriber `json:"subscribers"`
	Versions    []Version    `json:"versions"` // that somebody is behind in, the newest first
	Rejections  []Rejection  `json:"refusals"`
	Peers       []PeerStatus `json:"peers"`
	Conflicts   []Conflict   `json:"conflicts"`
	Dangling    []string     `json:"dangling"` // clusters whose endpoint set is not there
}

// Subscriber is a stream.
type Subscriber struct {
	Node       string    `json:"node"`
	Address    string    `json:"address"`
	Since      time.Time `json:"since"`
	Peer       bool      `json:"peer,omitempty"`
	Subscribed int       `json:"subscribed"` // names
	Behind     int       `json:"behind"`     // of these, those not acknowledged as this machine has them
	Rejected   int       `json:"refused"`
	Ahead      int       `json:"ahead"` // newer here than on this machine, from one that it has not heard: nothing older is sent
	InFlight   bool      `json:"in_flight"`
	Messages   int64     `json:"messages"`
	Bytes      int64     `json:"bytes"`
}

// Version is a publication that is not in force at all who asked for it.
type Version struct {
	Version string `json:"version"`
	Behind  int    `json:"behind"` // subscribers
}

// Rejection is a version that a subscriber can't use. What it had before is in force there.
type Rejection struct {
	Node    string    `json:"node"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version"`
	Reason  string    `json:"why"`
	At      time.Time `json:"at"`
}

// PeerStatus is how another control machine stands to this one.
type PeerStatus struct {
	Name        string    `json:"name"`
	State       string    `json:"state"` // down, connecting, up
	LastMessage time.Time `json:"heard,omitzero"`
	Synced      bool      `json:"whole"`   // all that it had was heard, on this stream
	Subscribed  bool      `json:"follows"` // it listens to this machine
	Behind      int       `json:"behind"`  // records of this machine that it has not acknowledged
	Fault       string    `json:"fault,omitempty"`
}

// Conflict is two versions that were made apart: the winner holds.
type Conflict struct {
	Kind   string    `json:"kind"`
	Name   string    `json:"name"`
	Winner string    `json:"winner"`
	Loser  string    `json:"loser"`
	At     time.Time `json:"at"`
}
