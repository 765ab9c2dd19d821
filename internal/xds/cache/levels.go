package cache

import (
	"cmp"
	"slices"
)

// AssignedEndpoint is an endpoint with what it is to get.
type AssignedEndpoint struct {
	Endpoint
	Locality *Locality
	Use      Use
	// TrafficShare is its part of the traffic against the others that are used, the largest being 1.
	TrafficShare float64
}

// Use is what a member is for.
type Use uint8

// The uses.
const (
	Used Use = iota
	Standby
	Unused // nothing new
)

// AllPriorities has the members of all levels of failover used, as their health has it.
const AllPriorities = -1

// AssignTraffic tells which endpoints are used, and their shares. The rules are those that Envoy states for priority levels, degraded
// endpoints, overprovisioning, locality weights and the panic threshold, with one difference: what drains is not used even in
// a panic.
//
//   - A level can take its healthy part times the overprovisioning of the traffic, 1 at the most; first all healthy parts in the order of
//     the levels, then all degraded ones. What the first leaves goes to the next.
//   - Where all together can take less than all, each takes in proportion; a level whose healthy part is under the panic
//     threshold then uses all it has.
//   - Where nobody is healthy or degraded, all that do not drain are used alike; none, where the panic threshold is 0.
//   - Where a level is named it alone is used, by the same rules.
func AssignTraffic(c *Cluster, s *EndpointSet, stale bool, level int) (out []AssignedEndpoint) {
	type part struct {
		all     float64
		part    [Unhealthy + 1]float64
		members [Unhealthy + 1][]AssignedEndpoint
		load    [Unhealthy + 1]float64
	}
	var parts []part
	for i := range s.Localities {
		l := &s.Localities[i]
		for len(parts) <= l.Priority {
			parts = append(parts, part{})
		}
		p := &parts[l.Priority]
		total := 0.0
		for _, e := range l.Endpoints {
			total += float64(e.Weight)
		}
		for _, e := range l.Endpoints {
			m := AssignedEndpoint{Endpoint: e, Locality: l, Use: Unused, TrafficShare: float64(e.Weight)}
			if c.LocalityWeighted {
				m.TrafficShare *= float64(l.Weight) / total
			}
			h := e.Health
			if stale && h != Draining {
				h = Unhealthy
			}
			one := 1.0
			if s.WeightedHealth {
				one = float64(e.Weight)
			}
			p.all += one
			p.part[h] += one
			p.members[h] = append(p.members[h], m)
		}
	}
	named := func(i int) bool { return level == AllPriorities || level == i }
	able := func(p *part, h Health) float64 {
		if p.all == 0 {
			return 0
		}
		return min(1, s.Overprovisioning*p.part[h]/p.all)
	}
	sum := 0.0
	for i := range parts {
		if named(i) {
			sum += able(&parts[i], Healthy) + able(&parts[i], Degraded)
		}
	}
	left := 1.0
	for _, h := range []Health{Healthy, Degraded} {
		for i := range parts {
			if p := &parts[i]; named(i) && sum > 0 {
				p.load[h] = min(left, able(p, h)/min(sum, 1))
				left -= p.load[h]
				if left < 1e-9 { // rounding
					left = 0
				}
			}
		}
	}
	for i := range parts {
		p := &parts[i]
		if !named(i) {
			continue
		}
		switch healthy := p.part[Healthy] / max(p.all, 1); {
		case sum == 0 && c.PanicThreshold > 0: // nobody is well: all alike
			p.members[Healthy], p.members[Unhealthy] = p.members[Unhealthy], nil
			p.load[Healthy] = float64(len(p.members[Healthy]))
		case sum < 1 && healthy < c.PanicThreshold:
			p.members[Healthy] = slices.Concat(p.members[Healthy], p.members[Degraded], p.members[Unhealthy])
			p.members[Degraded], p.members[Unhealthy] = nil, nil
			p.load[Healthy] += p.load[Degraded]
		}
	}
	most := 0.0
	for i := range parts {
		p := &parts[i]
		for h, members := range p.members {
			weights := 0.0
			for _, m := range members {
				weights += m.TrafficShare
			}
			for _, m := range members {
				switch {
				case Health(h) == Draining || Health(h) == Unhealthy:
					m.TrafficShare = 0
				case p.load[h] > 0 && m.TrafficShare > 0:
					m.Use, m.TrafficShare = Used, p.load[h]*m.TrafficShare/weights
				default:
					m.Use, m.TrafficShare = Standby, 0
				}
				most = max(most, m.TrafficShare)
				out = append(out, m)
			}
		}
	}
	for i := range out {
		if out[i].Use == Used {
			out[i].TrafficShare /= most
		}
	}
	slices.SortStableFunc(out, func(a, b AssignedEndpoint) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
