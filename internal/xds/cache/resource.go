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
	Healthy   Health = iota // also for an unknown status
	Degraded                // used if there are too few healthy endpoints
	Draining                // gets no new requests
	Unhealthy               // also for a timed-out health check; gets new requests only in panic mode
)

// String returns the status in lower case.
func (h Health) String() string {
	return [...]string{"healthy", "degraded", "draining", "unhealthy"}[h]
}

// Endpoint is an endpoint of a set. The decoder has validated it.
type Endpoint struct {
	Name    string // if empty, the address identifies the endpoint
	Address string // IP address and port; host name and port in a cluster that resolves names
	Health  Health
	Weight  uint32 // at least 1
	Group   int
	SinceMS int64 // start of the endpoint's process, in Unix milliseconds
}

// Locality is a group of endpoints in one location, at one priority.
type Locality struct {
	Region, Zone, SubZone string
	Priority              int
	Weight                uint32 // used only with Cluster.LocalityWeighted; a locality of weight 0 then gets no traffic
	Endpoints             []Endpoint
}

// EndpointSet is a cluster's load assignment.
type EndpointSet struct {
	Localities       []Locality    // their priorities have no gaps
	Overprovisioning float64       // if the healthy fraction of a priority times this factor is under 1, the rest of its traffic goes to the next
	WeightedHealth   bool          // the healthy fraction is measured by weight, not by number
	StaleAfter       time.Duration // the age at which the set is stale; zero if never
	DropOverloads    []DropOverload
}

// DropOverload is a fraction of the traffic to reject, for one category of Envoy's drop_overloads.
type DropOverload struct {
	Category string
	Fraction float64
}

// DropFraction returns the fraction of the traffic that all categories together reject. Each category rejects its fraction of the
// traffic that the categories before it admit.
func (s *EndpointSet) DropFraction() float64 {
	left := 1.0
	for _, d := range s.DropOverloads {
		left *= 1 - d.Fraction
	}
	return 1 - left
}

// Resolution is the way in which the host names of a cluster's endpoints are resolved to addresses.
type Resolution uint8

// The resolution types. StrictDNS and LogicalDNS are named after Envoy's cluster types.
const (
	NoResolution Resolution = iota // endpoints are given by address
	StrictDNS                      // each address of a host name is an endpoint
	LogicalDNS                     // the first address of the host name is the only endpoint
)

// Cluster is the configuration of a cluster. The decoder has validated it.
type Cluster struct {
	ServiceName      string // the name of its endpoint set; if empty, Inline is the set
	EndpointsFile    string // the file that holds the set; if empty, the control plane sends it
	Inline           *EndpointSet
	Resolution       Resolution
	ConnectTimeout   time.Duration // zero if not set
	MaxConnections   int           // circuit breaker; zero if not set
	MaxRequests      int           // circuit breaker; zero if not set
	PanicThreshold   float64       // if the healthy fraction is smaller, all endpoints except draining ones are used
	LocalityWeighted bool
}

// Resource is a resource as a control plane sent it. At most one of Cluster and Set is
// non-nil; both are nil if the resource was removed.
type Resource struct {
	Name    string
	Version string
	Digest  updateorder.Digest
	Raw     []byte // as received, for the state file
	Cluster *Cluster
	Set     *EndpointSet
}

// Rejection is a resource that was rejected, with the reason.
type Rejection struct {
	Name, Version, Reason string
}

// Response is a decoded discovery response.
type Response struct {
	Kind       ads.Kind
	Version    string
	Complete   bool // resources that the response does not mention are removed
	Resources  []Resource
	Rejections []Rejection
	Removed    []string
}
