// Package hollow runs members of a large fleet without their calls: each is the program's own control part, hundreds of them share
// one process, and a relay between them and their control planes counts what goes over it. Measurements and tests alone use it.
package hollow

import (
	"fmt"
	"math/rand/v2"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	"silvertrail/internal/testkit/xdsserver"
)

// Everywhere is the cluster that each member needs: a change of it concerns all of them.
const Everywhere = "everywhere"

// The proportions of the fleet that is modelled, and its troubles.
const (
	fullServices  = 800
	fullEndpoints = 4600
	Zones         = 7  // one of them is lost
	Tenth         = 10 // one in so many is paused
)

// State is what control planes tell: services and their endpoints, each member being one. The weight of the endpoints of a set is the
// generation in which it changed last, so that a member that goes back to an older word can be told by what it holds.
type State struct {
	Members     int
	Downstreams int // clusters that a member needs, beside the one that all need
	Seed        uint64

	Generation int
	At         string         // address of the one endpoint of Everywhere
	Lost       bool           // the members of zone 0 are not there
	Changed    map[string]int // generation of a set's last change, where it is not the first
}

// NewState returns a state of the modelled proportions, in its first generation.
func NewState(members, downstreams int, seed uint64) *State {
	return &State{Members: members, Downstreams: downstreams, Seed: seed, Generation: 1, At: "127.0.0.1:9", Changed: map[string]int{}}
}

// Services is how many services there are: as many to a member as in the whole fleet, and enough to draw from.
func (s *State) Services() int {
	return max(s.Members*fullServices/fullEndpoints, s.Downstreams+1)
}

func service(i int) string { return fmt.Sprintf("service-%04d", i) }

// Zone is the zone of a member.
func Zone(member int) int { return member % Zones }

// Paused tells whether a member is one of the tenth that is paused.
func Paused(member int) bool { return member%Tenth == 3 }

// Needs are the clusters that a member needs. Members of one service need the same ones.
func (s *State) Needs(member int) []string {
	own := member % s.Services()
	rng := rand.New(rand.NewPCG(s.Seed, uint64(own)))
	out := []string{Everywhere}
	for _, i := range rng.Perm(s.Services()) {
		if i != own && len(out) <= s.Downstreams {
			out = append(out, service(i))
		}
	}
	return out
}

// All are the names of all clusters.
func (s *State) All() []string {
	out := []string{Everywhere}
	for i := range s.Services() {
		out = append(out, service(i))
	}
	return out
}

// Change begins a generation that concerns all members, and the services told. At is the endpoint of Everywhere from now on.
func (s *State) Change(at string, services ...int) {
	s.Generation++
	s.At = at
	s.Changed[Everywhere] = s.Generation
	for _, i := range services {
		s.Changed[service(i)] = s.Generation
	}
}

// Touch begins a generation that concerns those alone who need one service.
func (s *State) Touch(i int) {
	s.Generation++
	s.Changed[service(i%s.Services())] = s.Generation
}

// Lose takes the members of zone 0 out of all sets, or back, in a new generation.
func (s *State) Lose(lost bool, at string) {
	var touched []int
	for i := range s.Services() {
		for m := i; m < s.Members; m += s.Services() {
			if Zone(m) == 0 {
				touched = append(touched, i)
				break
			}
		}
	}
	s.Lost = lost
	s.Change(at, touched...)
}

// Version is the generation in which a cluster's set changed last.
func (s *State) Version(name string) int { return max(s.Changed[name], 1) }

// Address is where a member would be called; nobody is there.
func Address(member int) string {
	return fmt.Sprintf("127.1.%d.%d:9", member/250, member%250+1)
}

// Set returns the endpoint set of a cluster.
func (s *State) Set(name string) *endpointv3.ClusterLoadAssignment {
	weight := uint32(s.Version(name))
	if name == Everywhere {
		return xdsserver.EndpointSet(name, "zone-0", xdsserver.Endpoint(s.At, corev3.HealthStatus_HEALTHY, weight))
	}
	var i int
	fmt.Sscanf(name, "service-%d", &i)
	by := make([][]*endpointv3.LbEndpoint, Zones)
	for m := i; m < s.Members; m += s.Services() {
		if z := Zone(m); z != 0 || !s.Lost {
			by[z] = append(by[z], xdsserver.Endpoint(Address(m), corev3.HealthStatus_HEALTHY, weight))
		}
	}
	set := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	for z, all := range by {
		if len(all) > 0 {
			set.Endpoints = append(set.Endpoints, &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: fmt.Sprint("zone-", z)}, LbEndpoints: all})
		}
	}
	return set
}

// Resources are all clusters and sets.
func (s *State) Resources() []proto.Message {
	var out []proto.Message
	for _, name := range s.All() {
		out = append(out, xdsserver.Cluster(name), s.Set(name))
	}
	return out
}
