package xdsserver

import (
	"fmt"
	"net/netip"
	"os"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func pack(m proto.Message) (*anypb.Any, string, error) {
	a := &anypb.Any{}
	if err := anypb.MarshalFrom(a, m, proto.MarshalOptions{Deterministic: true}); err != nil {
		return nil, "", err
	}
	switch m := m.(type) {
	case *clusterv3.Cluster:
		return a, m.Name, nil
	case *endpointv3.ClusterLoadAssignment:
		return a, m.ClusterName, nil
	}
	return nil, "", fmt.Errorf("controlplane: %T is neither cluster nor endpoint set", m)
}

// Cluster makes a cluster whose endpoints the aggregated stream brings.
func Cluster(name string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
			ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}
}

// Endpoint makes an endpoint of an address and port.
func Endpoint(address string, health corev3.HealthStatus, weight uint32) *endpointv3.LbEndpoint {
	at := netip.MustParseAddrPort(address)
	e := &endpointv3.LbEndpoint{HealthStatus: health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: at.Addr().String(),
			PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(at.Port())}}}}}}}
	if weight > 0 {
		e.LoadBalancingWeight = wrapperspb.UInt32(weight)
	}
	return e
}

// EndpointSet makes an endpoint set with one locality.
func EndpointSet(name, zone string, endpoints ...*endpointv3.LbEndpoint) *endpointv3.ClusterLoadAssignment {
	return &endpointv3.ClusterLoadAssignment{ClusterName: name, Endpoints: []*endpointv3.LocalityLbEndpoints{
		{Locality: &corev3.Locality{Zone: zone}, LbEndpoints: endpoints}}}
}

// Load reads a discovery response in protobuf JSON, and serves its resources.
func (p *Server) Load(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	m := &discoveryv3.DiscoveryResponse{}
	if err := protojson.Unmarshal(text, m); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var all []proto.Message
	for i, a := range m.Resources {
		r, err := a.UnmarshalNew()
		if err != nil {
			return fmt.Errorf("%s: resources[%d]: %w", path, i, err)
		}
		all = append(all, r)
	}
	return p.Put(m.VersionInfo, all...)
}
