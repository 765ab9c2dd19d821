package xdsserver

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/xds/envoy"
)

func dial(t *testing.T, p *Server) discoveryv3.AggregatedDiscoveryServiceClient {
	t.Helper()
	cc, err := grpc.NewClient("passthrough:///"+p.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return discoveryv3.NewAggregatedDiscoveryServiceClient(cc)
}

// It serves a file, tells changes alone in the incremental variant, all in the other one, passes over answers to older responses, and ends
// streams when it is told to.
func TestPlane(t *testing.T) {
	p, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := p.Load("../../../deploy/xds-clusters.json"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	delta, err := dial(t, p).DeltaAggregatedResources(ctx)
	if err != nil {
		t.Fatal(err)
	}
	gets := func(want ...string) {
		t.Helper()
		m, err := delta.Recv()
		if err != nil {
			t.Fatal(err)
		}
		got := slices.Clone(m.RemovedResources)
		for i := range got {
			got[i] = "-" + got[i]
		}
		for _, r := range m.Resources {
			got = append(got, r.Name)
		}
		if slices.Sort(got); !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if err := delta.Send(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: envoy.ClusterType, ResourceNamesSubscribe: []string{"none", "portal"}}); err != nil {
		t.Fatal(err)
	}
	gets("-none", "portal")
	if err := p.Put("2", Cluster("none"), Cluster("portal"), Cluster("other")); err != nil {
		t.Fatal(err)
	}
	gets("none", "portal") // what has changed, of what is asked for
	if err := p.Put("3", Cluster("none"), EndpointSet("s", "z", Endpoint("127.0.0.1:1", corev3.HealthStatus_DRAINING, 3))); err != nil {
		t.Fatal(err)
	}
	gets("-portal")

	world, err := dial(t, p).StreamAggregatedResources(ctx)
	if err != nil {
		t.Fatal(err)
	}
	ask := func(nonce string, names ...string) {
		t.Helper()
		if err := world.Send(&discoveryv3.DiscoveryRequest{TypeUrl: envoy.ClusterType, ResponseNonce: nonce, ResourceNames: names}); err != nil {
			t.Fatal(err)
		}
	}
	hears := func(version string, n int) string {
		t.Helper()
		m, err := world.Recv()
		if err != nil || m.VersionInfo != version || len(m.Resources) != n {
			t.Fatalf("%+v, %v; want version %s with %d", m, err, version, n)
		}
		return m.Nonce
	}
	ask("")
	nonce := hears("3", 1)
	ask("older", "none", "portal") // of a response that there is a newer one to
	ask(nonce)
	lbtest.Until(t, "all requests have come", func() bool { return len(p.Requests()) == 4 }) // the next response crosses none of them
	if err := p.Put("4", Cluster("none"), Cluster("portal")); err != nil {
		t.Fatal(err)
	}
	hears("4", 2)
	p.ResetStreams()
	if _, err := world.Recv(); err == nil {
		t.Error("a stream outlived its cut")
	}
	if asked := p.Requests(); len(asked) != 4 || fmt.Sprint(asked[0].Names) != "[none portal]" || p.Streams() != 2 {
		t.Errorf("%d streams, asked %+v", p.Streams(), asked)
	}
}
