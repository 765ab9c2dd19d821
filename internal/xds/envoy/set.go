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
	defaultOverprovisioningFactor = 1.4           // default of Envoy's API
	maxPriorities                 = 128           // limit of Envoy's API; priorities are 0 to 127
	metadataKey                   = "silvertrail" // key of this project's entry in filter_metadata
)

// parseEndpointSet translates an endpoint set whose fields have passed checkFields. The priorities of its localities must have no gap.
func parseEndpointSet(s *endpointv3.ClusterLoadAssignment, resolution cache.Resolution) (*cache.EndpointSet, error) {
	out := &cache.EndpointSet{Overprovisioning: defaultOverprovisioningFactor}
	if err := parsePolicy(s.Policy, out); err != nil {
		return nil, err
	}
	parser := endpointSetParser{resolution: resolution, localities: map[localityKey]bool{}, priorities: map[uint32]bool{}, addresses: map[string]bool{}}
	for i, l := range s.Endpoints {
		locality, err := parser.parseLocality(i, l)
		if err != nil {
			return nil, err
		}
		out.Localities = append(out.Localities, locality)
	}
	if len(s.Endpoints) > 0 && len(parser.priorities) != int(parser.maxPriority)+1 {
		return nil, errors.New("endpoints: priorities have a gap")
	}
	return out, nil
}

func parsePolicy(p *endpointv3.ClusterLoadAssignment_Policy, out *cache.EndpointSet) error {
	if p == nil {
		return nil
	}
	if f := p.OverprovisioningFactor; f != nil {
		out.Overprovisioning = float64(f.Value) / 100
	}
	out.StaleAfter = p.EndpointStaleAfter.AsDuration()
	out.WeightedHealth = p.WeightedPriorityHealth
	for i, d := range p.DropOverloads {
		fraction, err := parseFraction(d.DropPercentage)
		if err != nil {
			return fmt.Errorf("policy.drop_overloads[%d]: %w", i, err)
		}
		out.DropOverloads = append(out.DropOverloads, cache.DropOverload{Category: d.Category, Fraction: fraction})
	}
	return nil
}

// localityKey identifies a locality within a set. The same locality may occur once at each priority.
type localityKey struct {
	region, zone, subZone string
	priority              uint32
}

// endpointSetParser holds the state for checks across all localities of a set: unique localities and addresses, priorities without a
// gap, and the limit on the number of endpoints.
type endpointSetParser struct {
	resolution  cache.Resolution
	localities  map[localityKey]bool
	priorities  map[uint32]bool
	addresses   map[string]bool
	count       int
	maxPriority uint32
}

func (p *endpointSetParser) parseLocality(i int, l *endpointv3.LocalityLbEndpoints) (cache.Locality, error) {
	key := localityKey{l.GetLocality().GetRegion(), l.GetLocality().GetZone(), l.GetLocality().GetSubZone(), l.Priority}
	out := cache.Locality{Region: key.region, Zone: key.zone, SubZone: key.subZone, Priority: int(l.Priority), Weight: l.LoadBalancingWeight.GetValue()}
	switch {
	case l.Priority >= maxPriorities:
		return out, fmt.Errorf("endpoints[%d].priority: %d is over %d", i, l.Priority, maxPriorities-1)
	case p.localities[key]:
		return out, fmt.Errorf("endpoints[%d].locality: told twice at priority %d", i, l.Priority)
	}
	p.localities[key] = true
	p.priorities[l.Priority] = true
	p.maxPriority = max(p.maxPriority, l.Priority)
	for j, e := range l.LbEndpoints {
		path := fmt.Sprintf("endpoints[%d].lb_endpoints[%d]", i, j)
		endpoint, err := parseEndpoint(e, p.resolution)
		if err != nil {
			return out, fmt.Errorf("%s%w", path, err)
		}
		if p.addresses[endpoint.Address] {
			return out, fmt.Errorf("%s: %s is told twice", path, endpoint.Address)
		}
		p.addresses[endpoint.Address] = true
		out.Endpoints = append(out.Endpoints, endpoint)
	}
	if p.count += len(out.Endpoints); p.count > cache.MaxEndpoints {
		return out, fmt.Errorf("over %d endpoints", cache.MaxEndpoints)
	}
	return out, nil
}

// healthByStatus maps the health statuses of Envoy's API.
var healthByStatus = map[corev3.HealthStatus]cache.Health{
	corev3.HealthStatus_UNKNOWN:   cache.Healthy,
	corev3.HealthStatus_HEALTHY:   cache.Healthy,
	corev3.HealthStatus_DEGRADED:  cache.Degraded,
	corev3.HealthStatus_DRAINING:  cache.Draining,
	corev3.HealthStatus_UNHEALTHY: cache.Unhealthy,
	corev3.HealthStatus_TIMEOUT:   cache.Unhealthy,
}

// parseEndpoint translates an endpoint. The text of an error begins with the field's path relative to the endpoint.
func parseEndpoint(e *endpointv3.LbEndpoint, resolution cache.Resolution) (cache.Endpoint, error) {
	health, ok := healthByStatus[e.HealthStatus]
	if !ok {
		return cache.Endpoint{}, fmt.Errorf(".health_status: %s is not known", e.HealthStatus)
	}
	out := cache.Endpoint{Name: e.GetEndpoint().GetObservabilityName(), Health: health, Weight: max(e.LoadBalancingWeight.GetValue(), 1)}
	var err error
	if out.Address, err = parseAddress(e.GetEndpoint().GetAddress().GetSocketAddress(), resolution); err != nil {
		return out, fmt.Errorf(".endpoint.address: %w", err)
	}
	if err := parseMetadata(e, &out); err != nil {
		return out, fmt.Errorf(".metadata: %w", err)
	}
	return out, nil
}

// parseAddress returns an address and port as host:port. IP addresses are normalised: an IPv4-mapped IPv6 address becomes IPv4. Host
// names are accepted only for clusters with DNS resolution.
func parseAddress(address *corev3.SocketAddress, resolution cache.Resolution) (string, error) {
	if address == nil {
		return "", errors.New("missing")
	}
	if address.Protocol != corev3.SocketAddress_TCP {
		return "", fmt.Errorf("%s is not supported", address.Protocol)
	}
	port := address.GetPortValue()
	if port == 0 || port > math.MaxUint16 {
		return "", fmt.Errorf("port %d", port)
	}
	if ip, err := netip.ParseAddr(address.Address); err == nil {
		return netip.AddrPortFrom(ip.Unmap(), uint16(port)).String(), nil
	}
	if resolution == cache.NoResolution {
		return "", fmt.Errorf("%q is no IP address", address.Address)
	}
	if address.Address == "" {
		return "", errors.New("no name")
	}
	return net.JoinHostPort(address.Address, strconv.Itoa(int(port))), nil
}

// Maximum values of the numbers in this project's metadata.
const (
	maxGroup   = 1 << 30
	maxSinceMS = 1<<53 - 1 // milliseconds; float64 represents every integer up to this value exactly
)

// parseMetadata reads this project's metadata: the group of an endpoint and its start time (since_ms). Unknown names are rejected.
func parseMetadata(e *endpointv3.LbEndpoint, out *cache.Endpoint) error {
	for name, v := range e.GetMetadata().GetFilterMetadata()[metadataKey].GetFields() {
		_, isNumber := v.GetKind().(*structpb.Value_NumberValue)
		n := v.GetNumberValue()
		switch {
		case !isNumber || n < 0 || n != math.Trunc(n):
			return fmt.Errorf("%q is no whole number", name)
		case name == "group" && n <= maxGroup:
			out.Group = int(n)
		case name == "since_ms" && n <= maxSinceMS:
			out.SinceMS = int64(n)
		default:
			return fmt.Errorf("%q is none of group, since_ms, or out of range", name)
		}
	}
	return nil
}

// parseFraction returns a fractional percentage as a fraction. Values over 100 % are capped at 100 %, as in Envoy.
func parseFraction(p *typev3.FractionalPercent) (float64, error) {
	denominator := map[typev3.FractionalPercent_DenominatorType]float64{
		typev3.FractionalPercent_HUNDRED:      100,
		typev3.FractionalPercent_TEN_THOUSAND: 10_000,
		typev3.FractionalPercent_MILLION:      1_000_000,
	}[p.GetDenominator()]
	if p == nil || denominator == 0 {
		return 0, errors.New("drop_percentage: missing")
	}
	return min(float64(p.Numerator)/denominator, 1), nil
}
