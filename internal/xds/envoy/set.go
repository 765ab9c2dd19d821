package envoy

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"silvertrail/internal/xds/cache"
)

const (
	defaultOverprovisioning = 1.4 // where it is not told
	maxPriorities           = 128 // as the API has it
	metadataName            = "silvertrail"
)

// parseEndpointSet translates an endpoint set that holds nothing which is not supported.
func parseEndpointSet(s *endpointv3.ClusterLoadAssignment, lookup cache.Resolution) (*cache.EndpointSet, error) {
	out := &cache.EndpointSet{Overprovisioning: defaultOverprovisioning}
	if p := s.Policy; p != nil {
		if f := p.OverprovisioningFactor; f != nil {
			out.Overprovisioning = float64(f.Value) / 100
		}
		out.StaleAfter = p.EndpointStaleAfter.AsDuration()
		out.WeightedHealth = p.WeightedPriorityHealth
		for i, d := range p.DropOverloads {
			part, err := parseFraction(d.DropPercentage)
			if err != nil {
				return nil, fmt.Errorf("policy.drop_overloads[%d]: %w", i, err)
			}
			out.DropOverloads = append(out.DropOverloads, cache.DropOverload{Category: d.Category, Fraction: part})
		}
	}
	places := map[[3]string]map[uint32]bool{}
	levels := map[uint32]bool{}
	addresses := map[string]bool{}
	n, top := 0, uint32(0)
	for i, l := range s.Endpoints {
		at := [3]string{l.GetLocality().GetRegion(), l.GetLocality().GetZone(), l.GetLocality().GetSubZone()}
		if places[at] == nil {
			places[at] = map[uint32]bool{}
		}
		switch {
		case l.Priority >= maxPriorities:
			return nil, fmt.Errorf("endpoints[%d].priority: %d is over %d", i, l.Priority, maxPriorities-1)
		case places[at][l.Priority]:
			return nil, fmt.Errorf("endpoints[%d].locality: told twice at priority %d", i, l.Priority)
		}
		places[at][l.Priority], levels[l.Priority] = true, true
		top = max(top, l.Priority)
		to := cache.Locality{Region: at[0], Zone: at[1], SubZone: at[2], Priority: int(l.Priority), Weight: l.LoadBalancingWeight.GetValue()}
		for j, e := range l.LbEndpoints {
			here := fmt.Sprintf("endpoints[%d].lb_endpoints[%d]", i, j)
			one, err := parseEndpoint(e, lookup)
			if err != nil {
				return nil, fmt.Errorf("%s%w", here, err)
			}
			if addresses[one.Address] {
				return nil, fmt.Errorf("%s: %s is told twice", here, one.Address)
			}
			addresses[one.Address] = true
			to.Endpoints = append(to.Endpoints, one)
		}
		if n += len(to.Endpoints); n > cache.MaxEndpoints {
			return nil, fmt.Errorf("over %d endpoints", cache.MaxEndpoints)
		}
		out.Localities = append(out.Localities, to)
	}
	if len(s.Endpoints) > 0 && len(levels) != int(top)+1 {
		return nil, errors.New("endpoints: priorities have a gap")
	}
	return out, nil
}

var healthOf = map[corev3.HealthStatus]cache.Health{
	corev3.HealthStatus_UNKNOWN:   cache.Healthy,
	corev3.HealthStatus_HEALTHY:   cache.Healthy,
	corev3.HealthStatus_DEGRADED:  cache.Degraded,
	corev3.HealthStatus_DRAINING:  cache.Draining,
	corev3.HealthStatus_UNHEALTHY: cache.Unhealthy,
	corev3.HealthStatus_TIMEOUT:   cache.Unhealthy,
}

func parseEndpoint(e *endpointv3.LbEndpoint, lookup cache.Resolution) (out cache.Endpoint, err error) {
	health, is := healthOf[e.HealthStatus]
	if !is {
		return out, fmt.Errorf(".health_status: %s is not known", e.HealthStatus)
	}
	out = cache.Endpoint{Name: e.GetEndpoint().GetObservabilityName(), Health: health, Weight: max(e.LoadBalancingWeight.GetValue(), 1)}
	at := e.GetEndpoint().GetAddress().GetSocketAddress()
	if at == nil {
		return out, errors.New(".endpoint.address: missing")
	}
	if at.Protocol != corev3.SocketAddress_TCP {
		return out, fmt.Errorf(".endpoint.address: %s is not supported", at.Protocol)
	}
	port := at.GetPortValue()
	if port == 0 || port > 65535 {
		return out, fmt.Errorf(".endpoint.address: port %d", port)
	}
	out.Address = net.JoinHostPort(at.Address, strconv.Itoa(int(port)))
	if ip, err := netip.ParseAddr(at.Address); err == nil {
		out.Address = netip.AddrPortFrom(ip.Unmap(), uint16(port)).String()
	} else if lookup == cache.NoResolution {
		return out, fmt.Errorf(".endpoint.address: %q is no IP address", at.Address)
	} else if at.Address == "" {
		return out, errors.New(".endpoint.address: no name")
	}
	ours := e.GetMetadata().GetFilterMetadata()[metadataName].GetFields()
	for name, v := range ours {
		_, number := v.GetKind().(*structpb.Value_NumberValue)
		n := v.GetNumberValue()
		switch {
		case !number || n < 0 || n != math.Trunc(n):
			return out, fmt.Errorf(".metadata: %q is no whole number", name)
		case name == "group" && n <= 1<<30:
			out.Group = int(n)
		case name == "since_ms" && n < 1<<53:
			out.SinceMS = int64(n)
		default:
			return out, fmt.Errorf(".metadata: %q is none of group, since_ms, or out of range", name)
		}
	}
	return out, nil
}

func parseFraction(p *typev3.FractionalPercent) (float64, error) {
	of := map[typev3.FractionalPercent_DenominatorType]float64{typev3.FractionalPercent_HUNDRED: 100,
		typev3.FractionalPercent_TEN_THOUSAND: 10_000, typev3.FractionalPercent_MILLION: 1_000_000}[p.GetDenominator()]
	if p == nil || of == 0 {
		return 0, errors.New("drop_percentage: missing")
	}
	return min(float64(p.Numerator)/of, 1), nil // over 100 % is taken for it, as in Envoy
}
