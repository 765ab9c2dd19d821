// Package cache keeps what control planes have said, decides what of it is in force, and makes of it the members that a
// cluster is to use. It has no clock and does no I/O.
//
// What is newer is for package age; this package joins clusters to their endpoint sets, whichever comes first, holds off what
// age holds off, keeps the last good resource where a bad one comes, and tells of each resource where it comes from.
package cache

import (
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Health is what a control plane says of an endpoint.
type Health uint8

// The words for it.
const (
	Healthy   Health = iota // or unknown
	Degraded                // used where the healthy ones are too few
	Draining                // nothing new
	Unhealthy               // unhealthy, or its checks time out: nothing new, but in a panic
)

func (h Health) String() string {
	return [...]string{"healthy", "degraded", "draining", "unhealthy"}[h]
}

// Endpoint is one of a set. Its form has been checked.
type Endpoint struct {
	Name    string // empty: it is known by its address
	Address string // IP address and port; or, in a cluster whose names are looked up, a name and port
	Health  Health
	Weight  uint32 // at least 1
	Group   int
	SinceMS int64
}

// Locality is a place with endpoints, at one level of failover.
type Locality struct {
	Region, Zone, SubZone string
	Priority              int
	Weight                uint32 // counts where the cluster says so; 0 is none then
	Endpoints             []Endpoint
}

// EndpointSet is a cluster's endpoints.
type EndpointSet struct {
	Localities       []Locality // priorities have no gap
	Overprovisioning float64    // a level whose healthy part times this is under one passes the rest on
	WeightedHealth   bool       // the healthy part is measured by weights, not by number
	StaleAfter       time.Duration
	DropOverloads    []DropOverload
}

// DropOverload is a part of the traffic that is to be refused.
type DropOverload struct {
	Category string
	Fraction float64
}

// DropFraction is the part of the traffic that all categories refuse, each of what those before it leave.
func (s *EndpointSet) DropFraction() float64 {
	left := 1.0
	for _, d := range s.DropOverloads {
		left *= 1 - d.Fraction
	}
	return 1 - left
}

// Resolution is how the names in a cluster's endpoints become addresses.
type Resolution uint8

// The ways.
const (
	NoResolution Resolution = iota // they are addresses
	StrictDNS                      // each address of a name is an endpoint
	LogicalDNS                     // the first address of a name is
)

// Cluster is a cluster. Its form has been checked.
type Cluster struct {
	ServiceName      string // the name of its endpoint set; empty: Own is it
	EndpointsFile    string // where that set is in a file; empty: the control plane tells it
	Inline           *EndpointSet
	Resolution       Resolution
	ConnectTimeout   time.Duration // zero: not told
	MaxConnections   int           // most, as its circuit breaker says; zero: not told
	MaxRequests      int
	PanicThreshold   float64 // a healthy part under it has all used
	LocalityWeighted bool    // weights of localities count
}

// Resource is a resource as it was said.
type Resource struct {
	Name    string
	Version string
	Digest  updateorder.Digest
	Raw     []byte // as it came, for the state that is kept over a restart
	Cluster *Cluster
	Set     *EndpointSet
}

// Rejection is a resource that can't be used, and why.
type Rejection struct {
	Name, Version, Reason string
}

// Response is what a stream brings.
type Response struct {
	Kind       ads.Kind
	Version    string
	Complete   bool // clusters that it does not name are gone
	Resources  []Resource
	Rejections []Rejection
	Removed    []string
}
