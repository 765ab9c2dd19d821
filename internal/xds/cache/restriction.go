package cache

import (
	"reflect"

	"silvertrail/internal/xds/ads"
)

// A deferred update may be newer than the current resource. Until that is known, an endpoint gets traffic only if the current resource and
// all candidates (package updateorder) use it: what a candidate drains or removes gets nothing new, and what only a candidate uses gets
// nothing yet.

// Source is a cluster with an endpoint set.
type Source struct {
	Cluster *Cluster
	Set     *EndpointSet
}

// AssignTraffic returns the endpoints of the view with their shares of the traffic, like the function AssignTraffic, as far as all
// candidates use them too. Endpoints of a lower priority may take the place of those that candidates take out of use; panic mode
// takes no others into use. The state of the view must be Ready.
func (v *ClusterView) AssignTraffic(priority int) []AssignedEndpoint {
	unrestricted := AssignTraffic(v.Cluster, v.Set, v.Stale, priority)
	if len(v.Candidates) == 0 {
		return unrestricted
	}
	uses := make([]map[string]Use, len(v.Candidates))
	for i, candidate := range v.Candidates {
		uses[i] = usesByAddress(AssignTraffic(candidate.Cluster, candidate.Set, false, priority))
	}
	usesBefore := usesByAddress(unrestricted)
	out := AssignTraffic(v.Cluster, v.Set.drain(uses), v.Stale, priority)
	for i := range out {
		e := &out[i]
		before := usesBefore[e.Address]
		switch {
		case e.Use != Used:
			continue
		case before == Unused: // panic mode, as the candidates leave too few endpoints
			e.Use = Unused
			e.TrafficShare = 0
		case before == Used && isOnStandby(uses, e.Address):
			e.Use = Standby
			e.TrafficShare = 0
		}
	}
	return out
}

// usesByAddress returns the use of each endpoint. Of several endpoints with one address, the one in use counts.
func usesByAddress(endpoints []AssignedEndpoint) map[string]Use {
	out := make(map[string]Use, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		if use, ok := out[e.Address]; !ok || e.Use < use {
			out[e.Address] = e.Use
		}
	}
	return out
}

// drain returns a copy of the set in which each endpoint drains that a candidate does not list, or lists as unused.
func (s *EndpointSet) drain(uses []map[string]Use) *EndpointSet {
	out := *s
	out.Localities = make([]Locality, len(s.Localities))
	for i, locality := range s.Localities {
		endpoints := make([]Endpoint, len(locality.Endpoints))
		for j, e := range locality.Endpoints {
			if isUnused(uses, e.Address) {
				e.Health = Draining
			}
			endpoints[j] = e
		}
		locality.Endpoints = endpoints
		out.Localities[i] = locality
	}
	return &out
}

// isUnused reports whether a candidate does not list the endpoint, or lists it as unused.
func isUnused(uses []map[string]Use, address string) bool {
	for _, byAddress := range uses {
		if use, ok := byAddress[address]; !ok || use == Unused {
			return true
		}
	}
	return false
}

// isOnStandby reports whether a candidate gives the endpoint no share of the traffic.
func isOnStandby(uses []map[string]Use, address string) bool {
	for _, byAddress := range uses {
		if byAddress[address] != Used {
			return true
		}
	}
	return false
}

// size returns the number of endpoints.
func (s *EndpointSet) size() int {
	n := 0
	for _, locality := range s.Localities {
		n += len(locality.Endpoints)
	}
	return n
}

// restrictedView adds the candidates of a cluster and of its endpoint sets to a view. If one of them removes the cluster or its set, or has
// no endpoints, the view is the one that it would have if it were current.
func (c *Cache) restrictedView(view ClusterView, clusterEntry *entry) ClusterView {
	if view.State != Ready && view.Cluster.EndpointsFile == "" {
		return view
	}
	for _, cluster := range clusterEntry.contents() {
		if cluster.Cluster == nil {
			return ClusterView{State: Removed, Reason: "a control plane has removed the cluster"}
		}
		for _, set := range c.setsOf(cluster.Cluster) {
			switch {
			case set == nil:
				return ClusterView{State: Removed, Cluster: cluster.Cluster, Reason: "a control plane has removed the endpoint set"}
			case set == view.Set && cluster.Cluster == view.Cluster:
				continue
			case set.size() == 0:
				return ClusterView{State: Ready, Cluster: view.Cluster, Set: set}
			}
			view.Candidates = append(view.Candidates, Source{cluster.Cluster, set})
		}
	}
	return view
}

// contents returns the current resource and its candidates.
func (e *entry) contents() []Resource {
	out := []Resource{e.resource}
	for _, held := range e.candidates {
		out = append(out, held.resource)
	}
	return out
}

// setsOf returns the current endpoint set of a cluster and its candidates, as far as they are known. A nil set is removed.
func (c *Cache) setsOf(cluster *Cluster) (out []*EndpointSet) {
	if cluster.Inline != nil {
		return []*EndpointSet{cluster.Inline}
	}
	e := c.entries[ads.Endpoints][cluster.ServiceName]
	if cluster.EndpointsFile != "" || e == nil {
		return nil
	}
	for i, resource := range e.contents() {
		isKnown := i > 0 || resource.Set != nil || e.isRemoved()
		if isKnown {
			out = append(out, resource.Set)
		}
	}
	return out
}

// Withheld returns the names of the resources in a response that are not in force as they were sent: something that they use is not used
// yet, because another content of the resource may be newer.
func (c *Cache) Withheld(response Response) (names []string) {
	for _, r := range response.Resources {
		if e := c.entries[response.Kind][r.Name]; e != nil && !e.isCovered(r) {
			names = append(names, r.Name)
		}
	}
	return names
}

// HasCandidates reports whether updates of a resource may be newer than its current content.
func (c *Cache) HasCandidates(k ads.Kind, name string) bool {
	e := c.entries[k][name]
	return e != nil && len(e.candidates) > 0
}

// isCovered reports whether the current resource and all its candidates use what r uses.
func (e *entry) isCovered(r Resource) bool {
	if len(e.candidates) == 0 {
		return true
	}
	for _, other := range e.contents() {
		if other.Digest != r.Digest && !other.covers(r) {
			return false
		}
	}
	return true
}

// covers reports whether the resource uses all that another content of it uses, in the same way.
func (r Resource) covers(other Resource) bool {
	switch {
	case other.Set != nil && r.Set != nil:
		return r.Set.covers(other.Set)
	case other.Cluster != nil && r.Cluster != nil:
		return r.Cluster.covers(other.Cluster)
	}
	return other.Set == nil && other.Cluster == nil
}

// covers reports whether the clusters differ at most in that this one's inline set covers the other's.
func (c *Cluster) covers(other *Cluster) bool {
	a, b := *c, *other
	a.Inline, b.Inline = nil, nil
	if a != b || (c.Inline == nil) != (other.Inline == nil) {
		return false
	}
	return c.Inline == nil || c.Inline.covers(other.Inline)
}

// covers reports whether each endpoint that the other set uses stands in this one with the same weight, locality and health, and the sets
// have the same settings.
func (s *EndpointSet) covers(other *EndpointSet) bool {
	a, b := *s, *other
	a.Localities, b.Localities = nil, nil
	if !reflect.DeepEqual(a, b) {
		return false
	}
	type placed struct {
		endpoint Endpoint
		locality Locality
	}
	place := func(e Endpoint, locality Locality) placed {
		locality.Endpoints = nil
		return placed{e, locality}
	}
	listed := map[string]placed{}
	for _, locality := range s.Localities {
		for _, e := range locality.Endpoints {
			listed[e.Address] = place(e, locality)
		}
	}
	for _, locality := range other.Localities {
		for _, e := range locality.Endpoints {
			if e.Health == Draining {
				continue
			}
			here, ok := listed[e.Address]
			if e.Health == Unhealthy { // the healthier of the two statuses has no effect
				here.endpoint.Health = Unhealthy
			}
			if !ok || !reflect.DeepEqual(here, place(e, locality)) {
				return false
			}
		}
	}
	return true
}
