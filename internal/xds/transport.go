package xds

import (
	"context"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/envoy"
)

// transport is a stream of one of the two protocol variants, state of the world or delta.
type transport interface {
	send(r ads.Request, n *corev3.Node) error
	receive() (*response, error)
}

// response is a discovery response of either variant, or from a file.
type response struct {
	kind      ads.Kind
	version   string
	nonce     string
	complete  bool // whether it is a state-of-the-world response or from a file
	resources []resource
	removed   []string
}

// resource is a resource that is not decoded yet.
type resource struct {
	name    string // set by the delta variant only, which sends it beside the resource
	version string
	any     *anypb.Any
}

// openTransport opens a stream of the given variant.
func openTransport(ctx context.Context, client discoveryv3.AggregatedDiscoveryServiceClient, v ads.Variant) (transport, error) {
	if v == ads.Delta {
		s, err := client.DeltaAggregatedResources(ctx)
		return deltaStream{s}, err
	}
	s, err := client.StreamAggregatedResources(ctx)
	return stateOfTheWorldStream{s}, err
}

// statusOf returns the error detail of a NACK, nil for an ACK.
func statusOf(errorDetail string) *status.Status {
	if errorDetail == "" {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: errorDetail}
}

type stateOfTheWorldStream struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s stateOfTheWorldStream) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DiscoveryRequest{
		Node:          n,
		TypeUrl:       envoy.TypeOf(r.Kind),
		VersionInfo:   r.Version,
		ResponseNonce: r.Nonce,
		ResourceNames: r.Names,
		ErrorDetail:   statusOf(r.ErrorDetail),
	})
}

func (s stateOfTheWorldStream) receive() (*response, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{kind: envoy.KindOf(m.TypeUrl), version: m.VersionInfo, nonce: m.Nonce, complete: true}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{version: m.VersionInfo, any: a})
	}
	return r, nil
}

type deltaStream struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(r ads.Request, n *corev3.Node) error {
	return s.Send(&discoveryv3.DeltaDiscoveryRequest{
		Node:                     n,
		TypeUrl:                  envoy.TypeOf(r.Kind),
		ResponseNonce:            r.Nonce,
		ErrorDetail:              statusOf(r.ErrorDetail),
		ResourceNamesSubscribe:   r.Subscribe,
		ResourceNamesUnsubscribe: r.Unsubscribe,
		InitialResourceVersions:  r.InitialVersions,
	})
}

func (s deltaStream) receive() (*response, error) {
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{kind: envoy.KindOf(m.TypeUrl), version: m.SystemVersionInfo, nonce: m.Nonce, removed: m.RemovedResources}
	for _, a := range m.Resources {
		r.resources = append(r.resources, resource{a.Name, a.Version, a.Resource})
	}
	return r, nil
}
