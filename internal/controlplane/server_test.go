package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/selection"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a server without TLS, by default on a free port.
func startServer(t testing.TB, o api.Options) *Server {
	t.Helper()
	o.Insecure = true
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	s, err := Start(o, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// clusterWithEndpoints returns a cluster and its endpoint set, which has one endpoint.
func clusterWithEndpoints(name string, port int) []proto.Message {
	return []proto.Message{xdsserver.Cluster(name), endpointSet(name, port)}
}

func endpointSet(name string, port int) proto.Message {
	return xdsserver.EndpointSet(name, "z", xdsserver.Endpoint(fmt.Sprint("127.0.0.1:", port), corev3.HealthStatus_HEALTHY, 1))
}

func publish(t testing.TB, s *Server, remove []string, all ...proto.Message) api.Published {
	t.Helper()
	p, err := s.PublishResources(packResources(t, all...), remove)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func packResources(t testing.TB, all ...proto.Message) (packed []*anypb.Any) {
	t.Helper()
	for _, m := range all {
		resource, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		packed = append(packed, resource)
	}
	return packed
}

// testSidecar is the xDS client of a sidecar that follows one cluster.
type testSidecar struct {
	client *xds.Client
	mu     sync.Mutex
	view   cache.ClusterView
}

func startSidecar(t testing.TB, node, cluster string, addresses ...string) *testSidecar {
	t.Helper()
	return startSidecarWithDeferTime(t, node, cluster, 30*time.Second, addresses...)
}

func startSidecarWithDeferTime(t testing.TB, node, cluster string, deferTime time.Duration, addresses ...string) *testSidecar {
	t.Helper()
	options := bootstrap.Options{Variant: ads.Delta, Node: bootstrap.Node{ID: node}, DeferTime: deferTime, ResourceTimeout: 15 * time.Second, KeepaliveTime: 5 * time.Minute,
		MaxMessageBytes: 16 << 20, Selection: selection.Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: 50 * time.Millisecond}}
	for _, address := range addresses {
		options.ControlPlanes = append(options.ControlPlanes, bootstrap.ControlPlane{Name: address, Address: address, Insecure: true})
	}
	sidecar := &testSidecar{client: xds.Start(options, slog.New(slog.DiscardHandler))}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		sidecar.client.Follow(ctx, cluster, func(v cache.ClusterView) {
			sidecar.mu.Lock()
			defer sidecar.mu.Unlock()
			sidecar.view = v
		})
	})
	t.Cleanup(func() {
		cancel()
		done.Wait()
		sidecar.client.Close()
	})
	return sidecar
}

// portOrState returns the port of the cluster's first endpoint, or the state of a cluster that is not ready.
func (sidecar *testSidecar) portOrState() string {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if sidecar.view.State != cache.Ready {
		return sidecar.view.State.String()
	}
	return strings.TrimPrefix(sidecar.view.Set.Localities[0].Endpoints[0].Address, "127.0.0.1:")
}

// usesAll reports whether the cluster is ready and all its endpoints are used.
func (sidecar *testSidecar) usesAll() bool {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	return sidecar.view.State == cache.Ready && !slices.ContainsFunc(sidecar.view.AssignTraffic(cache.AllPriorities), func(e cache.AssignedEndpoint) bool { return e.Use != cache.Used })
}

// await waits for a port of the cluster's first endpoint, or for a state of the cluster.
func (sidecar *testSidecar) await(t testing.TB, want string) {
	t.Helper()
	if !lbtest.Eventually(func() bool { return sidecar.portOrState() == want }) {
		t.Fatalf("cluster has port or state %s, want %s", sidecar.portOrState(), want)
	}
}

// subscriberStatus returns the status of a server's subscriber, by its node ID.
func subscriberStatus(s *Server, node string) (status api.Subscriber) {
	for _, subscriber := range s.Status().Subscribers {
		if subscriber.Node == node {
			status = subscriber
		}
	}
	return status
}

// A sidecar is sent the resources that it has subscribed to, their changes and their removal, and nothing else. Resources count as in
// force once they are acknowledged. The size of the initial state of one cluster does not grow with the number of other clusters.
func TestSidecarReceivesOnlySubscribedResources(t *testing.T) {
	server := startServer(t, api.Options{Name: "m"})
	sidecar := startSidecar(t, "r", "mine", server.Addr())
	if server.Status().Ready {
		t.Error("a server without records is ready to serve sidecars")
	}
	publish(t, server, nil, clusterWithEndpoints("mine", 1)...)
	sidecar.await(t, "1")
	var others []proto.Message
	for i := range 200 {
		others = append(others, clusterWithEndpoints(fmt.Sprint("other-", i), 1000+i)...)
	}
	before := subscriberStatus(server, "r")
	publish(t, server, nil, others...)
	publish(t, server, nil, endpointSet("mine", 2))
	sidecar.await(t, "2")
	lbtest.Until(t, "all versions are acknowledged", func() bool { return len(server.Status().Versions) == 0 })
	if after := subscriberStatus(server, "r"); after.Messages != before.Messages+1 || after.Bytes-before.Bytes > 500 || after.Subscribed != 2 {
		t.Errorf("subscriber status %+v before the change, %+v after it; want one more message of at most 500 bytes, and 2 names", before, after)
	}
	lateSidecar := startSidecar(t, "late", "mine", server.Addr())
	lateSidecar.await(t, "2")
	if status := subscriberStatus(server, "late"); status.Bytes > 1500 {
		t.Errorf("the initial state of one cluster among 201 took %d bytes, want at most 1500", status.Bytes)
	}
	publish(t, server, []string{"cluster/mine", "endpoints/mine"})
	sidecar.await(t, "removed")
	if status := server.Status(); status.Clusters != 200 || status.Removed != 2 {
		t.Errorf("status %+v, want 200 clusters and 2 removed resources", status)
	}
}

// A publication with invalid resources is rejected as a whole. The error lists every fault with its place, and the published state
// does not change.
func TestInvalidPublicationIsRejectedAsAWhole(t *testing.T) {
	server := startServer(t, api.Options{Name: "m"})
	publish(t, server, nil, clusterWithEndpoints("a", 1)...)
	sidecar := startSidecar(t, "r", "a", server.Addr())
	sidecar.await(t, "1")
	badCluster, badSet := xdsserver.Cluster("b"), endpointSet("c", 1)
	badCluster.LbPolicy = clusterv3.Cluster_RING_HASH
	duplicateEndpoint := xdsserver.EndpointSet("d", "z", xdsserver.Endpoint("127.0.0.1:1", 0, 1), xdsserver.Endpoint("127.0.0.1:1", 0, 1))
	_, err := server.PublishResources(append(packResources(t, endpointSet("a", 2), badCluster, duplicateEndpoint, badSet), &anypb.Any{TypeUrl: "x"}), []string{"clusters/a", "endpoints/a"})
	for _, want := range []string{"resources[1]: cluster/b: lb_policy", "resources[2]: endpoints/d: endpoints[0].lb_endpoints[1]", `resources[4]: of type "x"`,
		`remove: "clusters/a"`, "endpoints/a: told twice"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in error: %v", want, err)
		}
	}
	if _, err := server.Publish([]byte(`{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "nam": "a"}]}`), nil); err == nil || !strings.Contains(err.Error(), `"nam"`) {
		t.Error(err)
	}
	if _, err := server.Publish(nil, nil); err == nil {
		t.Error("an empty publication was accepted")
	}
	if status := server.Status(); status.Counter != 1 || status.EndpointSets != 1 || sidecar.portOrState() != "1" {
		t.Errorf("status %+v and port %s after rejected publications, want counter 1, one endpoint set and port 1", status, sidecar.portOrState())
	}
}

// A server that restarts with its state file keeps its origin, and assigns versions that were never assigned. A truncated state file
// prevents the start. A server that has lost its state file uses another origin.
func TestRestartRestoresState(t *testing.T) {
	options := api.Options{Name: "m", StateFile: filepath.Join(t.TempDir(), "state")}
	server := startServer(t, options)
	first := publish(t, server, nil, clusterWithEndpoints("a", 1)...)
	options.Listen = server.Addr()
	sidecar := startSidecar(t, "r", "a", server.Addr())
	sidecar.await(t, "1")
	server.Close()
	server = startServer(t, options)
	second := publish(t, server, nil, endpointSet("a", 2))
	sidecar.await(t, "2")
	if firstOrigin, secondOrigin := strings.TrimPrefix(first.Version, "1-"), strings.TrimPrefix(second.Version, "2-"); firstOrigin != secondOrigin {
		t.Errorf("version %s before the restart, %s after it; want the same origin and the next counter", first.Version, second.Version)
	}
	server.Close()
	text, err := os.ReadFile(options.StateFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(options.StateFile, text[:len(text)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	options.Insecure = true
	if server, err := Start(options, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), options.StateFile) {
		if err == nil {
			server.Close()
		}
		t.Errorf("start with a truncated state file: error %v, want one that names the file", err)
	}
	if err := os.Remove(options.StateFile); err != nil {
		t.Fatal(err)
	}
	server = startServer(t, options)
	if third := publish(t, server, nil, clusterWithEndpoints("b", 1)...); third.Version[2:] == first.Version[2:] {
		t.Errorf("version %s with the state file, %s after its loss; want another origin", first.Version, third.Version)
	}
	if sidecar.portOrState() != "2" {
		t.Errorf("resource that the server does not know: port or state %s, want port 2 as before", sidecar.portOrState())
	}
}

// A sidecar counts as behind while it withholds a publication, as the content was replaced before the server restarted, and as up to date once it
// has applied it. It acknowledges a publication that only drains at once.
func TestWithheldPublicationCountsAsBehind(t *testing.T) {
	options := api.Options{Name: "m", StateFile: filepath.Join(t.TempDir(), "state")}
	server := startServer(t, options)
	options.Listen = server.Addr()
	set := func(health corev3.HealthStatus) proto.Message {
		return xdsserver.EndpointSet("a", "z", xdsserver.Endpoint("127.0.0.1:1", 0, 1), xdsserver.Endpoint("127.0.0.1:2", health, 1))
	}
	sidecars := map[string]*testSidecar{
		"patient": startSidecarWithDeferTime(t, "patient", "a", time.Hour, server.Addr()),
		"quick":   startSidecarWithDeferTime(t, "quick", "a", 200*time.Millisecond, server.Addr()),
	}
	isUpToDate := func(node string) bool {
		status := subscriberStatus(server, node)
		return status.Subscribed == 2 && status.Behind == 0 && status.Rejected == 0 && !status.InFlight
	}
	await := func(what, node string, usesBoth bool) {
		t.Helper()
		lbtest.Until(t, node+": "+what, func() bool { return sidecars[node].usesAll() == usesBoth && isUpToDate(node) })
	}
	awaitAll := func(what string, usesBoth bool) {
		t.Helper()
		for node := range sidecars {
			await(what, node, usesBoth)
		}
	}
	restart := func() {
		server.Close()
		server = startServer(t, options)
	}
	publish(t, server, nil, xdsserver.Cluster("a"), set(corev3.HealthStatus_HEALTHY))
	awaitAll("both endpoints are used", true)
	publish(t, server, nil, set(corev3.HealthStatus_DRAINING))
	awaitAll("one drains", false)
	publish(t, server, nil, set(corev3.HealthStatus_HEALTHY))
	awaitAll("it is back", true)
	restart()
	awaitAll("it is back after the restart", true)
	publish(t, server, nil, set(corev3.HealthStatus_DRAINING))
	awaitAll("it drains again", false)
	restart()
	publish(t, server, nil, set(corev3.HealthStatus_HEALTHY))
	await("it is back after the defer time", "quick", true)
	lbtest.Until(t, "the patient sidecar is behind", func() bool {
		status := subscriberStatus(server, "patient")
		return status.Behind == 1 && status.Rejected == 1
	})
	if sidecars["patient"].usesAll() {
		t.Error("an endpoint that a withheld publication returns is used")
	}
}

// Servers replicate publications and removals to each other, whichever starts first. A server that starts without state receives all
// records from its peer before it serves sidecars. While a server is down, its sidecars are served by the other one.
func TestPeersReplicateRecords(t *testing.T) {
	listener := lbtest.Listen(t)
	options := api.Options{Name: "a", Listen: listener.Addr().String(), InitialSync: time.Minute}
	serverB := startServer(t, api.Options{Name: "b", Peers: []api.Peer{{Name: "a", ControlPlane: bootstrap.ControlPlane{Address: options.Listen, Insecure: true}}}})
	options.Peers = []api.Peer{{Name: "b", ControlPlane: bootstrap.ControlPlane{Address: serverB.Addr(), Insecure: true}}}
	listener.Close()
	serverA := startServer(t, options)
	lbtest.Until(t, "server a has synced with server b", func() bool { return serverA.Status().Peers[0].Synced })
	publish(t, serverA, nil, append(clusterWithEndpoints("x", 1), clusterWithEndpoints("gone", 1)...)...)
	publish(t, serverA, []string{"cluster/gone"})
	lbtest.Until(t, "server b has all records", func() bool {
		status := serverB.Status()
		return status.Clusters == 1 && status.Removed == 1 && status.Peers[0].Synced
	})
	lbtest.Until(t, "server b is ready", func() bool { return serverB.Status().Ready })
	serverA.Close()
	sidecar := startSidecar(t, "r", "x", options.Listen, serverB.Addr())
	sidecar.await(t, "1")
	publish(t, serverB, nil, endpointSet("x", 2))
	sidecar.await(t, "2")
	serverA = startServer(t, options) // without a state file
	lbtest.Until(t, "server a is ready and has all records", func() bool {
		status := serverA.Status()
		return status.Ready && status.Clusters == 1 && status.Removed == 1 && status.Counter == 3
	})
	publish(t, serverA, nil, endpointSet("x", 3))
	sidecar.await(t, "3")
	lbtest.Until(t, "no subscriber of server b is behind", func() bool {
		status := serverB.Status()
		return len(status.Versions) == 0 && len(status.Conflicts) == 0 && status.Counter == 4
	})
}

// A server that has just started accepts no publication before it has synced with its peers, as the publication could be ordered
// before the peers' versions. After the time limit of the initial sync, it accepts publications.
func TestPublicationIsRejectedDuringInitialSync(t *testing.T) {
	listener := lbtest.Listen(t)
	peers := []api.Peer{{Name: "b", ControlPlane: bootstrap.ControlPlane{Address: listener.Addr().String(), Insecure: true}}}
	server := startServer(t, api.Options{Name: "a", Peers: peers, InitialSync: time.Hour})
	if _, err := server.PublishResources(packResources(t, clusterWithEndpoints("x", 1)...), nil); !errors.Is(err, ErrInitialSync) {
		t.Error(err)
	}
	server = startServer(t, api.Options{Name: "a", Peers: peers, InitialSync: time.Millisecond})
	lbtest.Until(t, "a publication is accepted", func() bool {
		_, err := server.PublishResources(packResources(t, clusterWithEndpoints("x", 1)...), nil)
		return err == nil
	})
	if !server.Status().Ready {
		t.Error("the server has accepted a publication, but is not ready to serve sidecars")
	}
}

// Subscribers over MaxSubscribers are rejected. They use another server if they have one, and are served once others have left.
func TestSubscribersOverLimitAreRejected(t *testing.T) {
	server := startServer(t, api.Options{Name: "m", MaxSubscribers: 1})
	publish(t, server, nil, clusterWithEndpoints("a", 1)...)
	first := startSidecar(t, "r1", "a", server.Addr())
	first.await(t, "1")
	second := startSidecar(t, "r2", "a", server.Addr())
	otherServer := startServer(t, api.Options{Name: "n"})
	publish(t, otherServer, nil, clusterWithEndpoints("a", 9)...)
	third := startSidecar(t, "r3", "a", server.Addr(), otherServer.Addr())
	third.await(t, "9")
	if state := second.portOrState(); state != "waiting" {
		t.Errorf("sidecar over the limit has port or state %s, want waiting", state)
	}
	third.client.Close() // otherwise the third sidecar could take the free place, as it prefers the first of its servers
	first.client.Close()
	second.await(t, "1")
}
