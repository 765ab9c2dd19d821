package cache

import (
	"cmp"
	"slices"
)

// AssignedEndpoint is an endpoint with its share of the traffic.
type AssignedEndpoint struct {
	Endpoint
	Locality *Locality
	Use      Use
	// TrafficShare is the endpoint's share of the traffic, scaled so that the largest share of the set is 1.
	TrafficShare float64
}

// Use says whether an endpoint gets new requests.
type Use uint8

// The uses of an endpoint.
const (
	Used    Use = iota
	Standby     // healthy or degraded, but without a share of the traffic now
	Unused      // draining or unhealthy; gets no new requests
)

// AllPriorities makes AssignTraffic spread the traffic over all priorities by their health.
const AllPriorities = -1

// fractionEpsilon is the bound under which a remaining fraction is a rounding error and counts as 0.
const fractionEpsilon = 1e-9

// AssignTraffic returns the endpoints of a set with their shares of the traffic, ordered by address. Unless priority is
// AllPriorities, only the endpoints of that priority get traffic. The rules are those that Envoy documents for priority levels,
// degraded endpoints, overprovisioning, locality weights and the panic threshold, except that draining endpoints get no traffic even
// in panic mode:
//
//   - The capacity of a priority is its healthy fraction times the overprovisioning factor, and at most 1. Traffic goes to the
//     healthy endpoints of all priorities first, in order of priority. The degraded endpoints get the rest in the same way.
//   - If the capacity of all priorities together is under 1, each gets traffic in proportion to its capacity. A priority whose
//     healthy fraction is under the panic threshold then uses all its endpoints except draining ones.
//   - If no endpoint is healthy or degraded, all endpoints that are not draining share the traffic regardless of priority and
//     health, unless the panic threshold is 0.
func AssignTraffic(c *Cluster, s *EndpointSet, stale bool, priority int) []AssignedEndpoint {
	levels := groupByPriority(c, s, stale)
	var inUse []*priorityLevel
	for i := range levels {
		if priority == AllPriorities || priority == i {
			inUse = append(inUse, &levels[i])
		}
	}
	capacity := 0.0
	for _, level := range inUse {
		capacity += level.capacity(Healthy) + level.capacity(Degraded)
	}
	if capacity > 0 {
		spreadLoad(inUse, capacity)
	}
	for _, level := range inUse {
		level.applyPanic(c.PanicThreshold, capacity)
	}
	return shares(levels)
}

// priorityLevel holds the endpoints of one priority.
type priorityLevel struct {
	overprovisioning float64
	size             float64                // of all endpoints: their number, or with WeightedHealth their weight
	sizeByHealth     [Unhealthy + 1]float64 // size of the endpoints of each health
	endpoints        [Unhealthy + 1][]AssignedEndpoint
	load             [Unhealthy + 1]float64 // fraction of the traffic for the endpoints of each health
}

// groupByPriority groups a set's endpoints by priority and health. In a stale set, all endpoints that are not draining
// count as unhealthy.
func groupByPriority(c *Cluster, s *EndpointSet, stale bool) []priorityLevel {
	var levels []priorityLevel
	for i := range s.Localities {
		locality := &s.Localities[i]
		for len(levels) <= locality.Priority {
			levels = append(levels, priorityLevel{overprovisioning: s.Overprovisioning})
		}
		levels[locality.Priority].add(c, s, locality, stale)
	}
	return levels
}

// add adds the endpoints of a locality to the level.
func (level *priorityLevel) add(c *Cluster, s *EndpointSet, locality *Locality, stale bool) {
	total := 0.0
	for _, e := range locality.Endpoints {
		total += float64(e.Weight)
	}
	for _, e := range locality.Endpoints {
		assigned := AssignedEndpoint{Endpoint: e, Locality: locality, Use: Unused, TrafficShare: float64(e.Weight)}
		if c.LocalityWeighted {
			assigned.TrafficShare *= float64(locality.Weight) / total
		}
		health := e.Health
		if stale && health != Draining {
			health = Unhealthy
		}
		size := 1.0
		if s.WeightedHealth {
			size = float64(e.Weight)
		}
		level.size += size
		level.sizeByHealth[health] += size
		level.endpoints[health] = append(level.endpoints[health], assigned)
	}
}

// capacity returns the fraction of the traffic that the level's endpoints of a health can take.
func (level *priorityLevel) capacity(h Health) float64 {
	if level.size == 0 {
		return 0
	}
	return min(1, level.overprovisioning*level.sizeByHealth[h]/level.size)
}

// spreadLoad assigns the traffic to healthy endpoints in order of priority, then to degraded ones. If the total capacity is under 1,
// the loads are proportional to the capacities.
func spreadLoad(levels []*priorityLevel, capacity float64) {
	left := 1.0
	for _, h := range []Health{Healthy, Degraded} {
		for _, level := range levels {
			level.load[h] = min(left, level.capacity(h)/min(capacity, 1))
			left -= level.load[h]
			if left < fractionEpsilon {
				left = 0
			}
		}
	}
}

// applyPanic makes the level use unhealthy endpoints too if too few are healthy. The capacity is the total of all levels in use.
func (level *priorityLevel) applyPanic(threshold, capacity float64) {
	healthyFraction := level.sizeByHealth[Healthy] / max(level.size, 1)
	switch {
	case capacity == 0 && threshold > 0: // no level has a healthy or degraded endpoint
		level.endpoints[Healthy] = level.endpoints[Unhealthy]
		level.endpoints[Unhealthy] = nil
		level.load[Healthy] = float64(len(level.endpoints[Healthy]))
	case capacity < 1 && healthyFraction < threshold:
		level.endpoints[Healthy] = slices.Concat(level.endpoints[Healthy], level.endpoints[Degraded], level.endpoints[Unhealthy])
		level.endpoints[Degraded] = nil
		level.endpoints[Unhealthy] = nil
		level.load[Healthy] += level.load[Degraded]
	}
}

// shares divides the load of each level and health among its endpoints by weight, and scales the shares so that the largest is 1.
func shares(levels []priorityLevel) (out []AssignedEndpoint) {
	largest := 0.0
	for i := range levels {
		for h, endpoints := range levels[i].endpoints {
			weights := 0.0
			for _, e := range endpoints {
				weights += e.TrafficShare
			}
			load := levels[i].load[h]
			for _, e := range endpoints {
				switch {
				case Health(h) == Draining || Health(h) == Unhealthy:
					e.TrafficShare = 0
				case load > 0 && e.TrafficShare > 0:
					e.Use = Used
					e.TrafficShare = load * e.TrafficShare / weights
				default:
					e.Use = Standby
					e.TrafficShare = 0
				}
				largest = max(largest, e.TrafficShare)
				out = append(out, e)
			}
		}
	}
	for i := range out {
		if out[i].Use == Used {
			out[i].TrafficShare /= largest
		}
	}
	slices.SortStableFunc(out, func(a, b AssignedEndpoint) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
