package cache

import (
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Health is the health status that a control plane gives an endpoint.
type Health uint8

// The health statuses.
const (
	Healthy   Health = iota // or unknown
	Degraded                // used where there are too few healthy endpoints
	Draining                // gets no new requests
	Unhealthy               // or its health checks time out: gets new requests in a panic alone
)

// String returns the status in lower case.
func (h Health) String() string {
	return [...]string{"healthy", "degraded", "draining", "unhealthy"}[h]
}

// Endpoint is an endpoint of a set. Its form has been checked.
type Endpoint struct {
	Name    string // empty: it is identified by its address
	Address string // IP address and port; in a cluster whose names are resolved, a name and port
	Health  Health
	Weight  uint32 // at least 1
	Group   int
	SinceMS int64
}

// Locality is a group of endpoints in one place, at one priority.
type Locality struct {
	Region, Zone, SubZone string
	Priority              int
	Weight                uint32 // used with Cluster.LocalityWeighted, where 0 gets no traffic
	Endpoints             []Endpoint
}

// EndpointSet is a cluster's load assignment.
type EndpointSet struct {
	Localities       []Locality // priorities have no gap
	Overprovisioning float64    // a priority whose healthy fraction times this is under 1 spills over to the next
	WeightedHealth   bool       // the healthy fraction is measured by weight, not by number
	StaleAfter       time.Duration
	DropOverloads    []DropOverload
}

// DropOverload is a fraction of the traffic to reject.
type DropOverload struct {
	Category string
	Fraction float64
}

// DropFraction returns the fraction of the traffic that all categories reject, each of what those before it leave.
func (s *EndpointSet) DropFraction() float64 {
	left := 1.0
	for _, d := range s.DropOverloads {
		left *= 1 - d.Fraction
	}
	return 1 - left
}

// Resolution says how the names of a cluster's endpoints become addresses.
type Resolution uint8

// The ways of resolution, as Envoy's cluster types name them.
const (
	NoResolution Resolution = iota // they are addresses
	StrictDNS                      // each address of a name is an endpoint
	LogicalDNS                     // the first address of a name is the endpoint
)

// Cluster is a cluster. Its form has been checked.
type Cluster struct {
	ServiceName      string // of its endpoint set; empty: Inline is the set
	EndpointsFile    string // the file that holds the set; empty: the control plane sends it
	Inline           *EndpointSet
	Resolution       Resolution
	ConnectTimeout   time.Duration // zero: not given
	MaxConnections   int           // circuit breaker; zero: not given
	MaxRequests      int           // circuit breaker; zero: not given
	PanicThreshold   float64       // with a smaller healthy fraction all endpoints are used
	LocalityWeighted bool
}

// Resource is a resource as a control plane sent it. Cluster or Set is nil; both are where the resource was removed.
type Resource struct {
	Name    string
	Version string
	Digest  updateorder.Digest
	Raw     []byte // as received, for the state file
	Cluster *Cluster
	Set     *EndpointSet
}

// Rejection is a resource that cannot be used, with the reason.
type Rejection struct {
	Name, Version, Reason string
}

// Response is a decoded discovery response.
type Response struct {
	Kind       ads.Kind
	Version    string
	Complete   bool // resources that it does not name are removed
	Resources  []Resource
	Rejections []Rejection
	Removed    []string
}
