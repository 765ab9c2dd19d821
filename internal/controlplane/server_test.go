package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
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

// clusterWithEndpoints is a cluster and its endpoint set.
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

func packResources(t testing.TB, all ...proto.Message) (out []*anypb.Any) {
	t.Helper()
	for _, m := range all {
		a, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, a)
	}
	return out
}

// testSidecar follows a cluster as a sidecar does.
type testSidecar struct {
	client *xds.Client
	mu     sync.Mutex
	view   cache.ClusterView
}

func startSidecar(t testing.TB, node, cluster string, addresses ...string) *testSidecar {
	t.Helper()
	o := bootstrap.Options{Variant: ads.Delta, Node: bootstrap.Node{ID: node}, DeferTime: 30 * time.Second, ResourceTimeout: 15 * time.Second, KeepaliveTime: 5 * time.Minute,
		MaxMessageBytes: 16 << 20, Selection: selection.Timing{ResponseTimeout: 5 * time.Second, Probation: 10 * time.Second, MinBackoff: time.Millisecond, MaxBackoff: 50 * time.Millisecond}}
	for _, a := range addresses {
		o.ControlPlanes = append(o.ControlPlanes, bootstrap.ControlPlane{Name: a, Address: a, Insecure: true})
	}
	r := &testSidecar{client: xds.Start(o, slog.New(slog.DiscardHandler))}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		r.client.Follow(ctx, cluster, func(v cache.ClusterView) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.view = v
		})
	})
	t.Cleanup(func() {
		cancel()
		done.Wait()
		r.client.Close()
	})
	return r
}

// observedAddress tells the address that the cluster has, or its state.
func (r *testSidecar) observedAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.State != cache.Ready {
		return r.view.State.String()
	}
	return strings.TrimPrefix(r.view.Set.Localities[0].Endpoints[0].Address, "127.0.0.1:")
}

func (r *testSidecar) awaitAddress(t testing.TB, want string) {
	t.Helper()
	if !lbtest.Eventually(func() bool { return r.observedAddress() == want }) {
		t.Fatalf("it sees %s, not %s", r.observedAddress(), want)
	}
}

// subscriberStatus returns what a machine tells of one.
func subscriberStatus(s *Server, node string) (out api.Subscriber) {
	for _, sub := range s.Status().Subscribers {
		if sub.Node == node {
			out = sub
		}
	}
	return out
}

// A receiver is sent what it follows and nothing else, changes of that alone, and what is removed is gone; all of it is counted
// as in force once it is acknowledged. What a receiver of one cluster is sent does not grow with the fleet's.
func TestSubscriptionScope(t *testing.T) {
	s := startServer(t, api.Options{Name: "m"})
	r := startSidecar(t, "r", "mine", s.Addr())
	if s.Status().Ready {
		t.Error("one that knows nothing serves receivers")
	}
	publish(t, s, nil, clusterWithEndpoints("mine", 1)...)
	r.awaitAddress(t, "1")
	var others []proto.Message
	for i := range 200 {
		others = append(others, clusterWithEndpoints(fmt.Sprint("other-", i), 1000+i)...)
	}
	before := subscriberStatus(s, "r")
	publish(t, s, nil, others...)
	publish(t, s, nil, endpointSet("mine", 2))
	r.awaitAddress(t, "2")
	lbtest.Until(t, "all is in force", func() bool { return len(s.Status().Versions) == 0 })
	if after := subscriberStatus(s, "r"); after.Messages != before.Messages+1 || after.Bytes-before.Bytes > 500 || after.Subscribed != 2 {
		t.Errorf("%+v before, %+v after", before, after)
	}
	small := startSidecar(t, "late", "mine", s.Addr())
	small.awaitAddress(t, "2")
	if is := subscriberStatus(s, "late"); is.Bytes > 1500 {
		t.Errorf("a first state of one cluster among 201: %d bytes", is.Bytes)
	}
	publish(t, s, []string{"cluster/mine", "endpoints/mine"})
	r.awaitAddress(t, "removed")
	if st := s.Status(); st.Clusters != 200 || st.Removed != 2 {
		t.Errorf("%+v", st)
	}
}

// What can't be used is refused whole, with every fault and its place, and what holds stays.
func TestInvalidPublications(t *testing.T) {
	s := startServer(t, api.Options{Name: "m"})
	publish(t, s, nil, clusterWithEndpoints("a", 1)...)
	r := startSidecar(t, "r", "a", s.Addr())
	r.awaitAddress(t, "1")
	badCluster, badSet := xdsserver.Cluster("b"), endpointSet("c", 1)
	badCluster.LbPolicy = clusterv3.Cluster_RING_HASH
	twice := xdsserver.EndpointSet("d", "z", xdsserver.Endpoint("127.0.0.1:1", 0, 1), xdsserver.Endpoint("127.0.0.1:1", 0, 1))
	_, err := s.PublishResources(append(packResources(t, endpointSet("a", 2), badCluster, twice, badSet), &anypb.Any{TypeUrl: "x"}), []string{"clusters/a", "endpoints/a"})
	for _, want := range []string{"resources[1]: cluster/b: lb_policy", "resources[2]: endpoints/d: endpoints[0].lb_endpoints[1]", `resources[4]: of type "x"`,
		`remove: "clusters/a"`, "endpoints/a: told twice"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in %v", want, err)
		}
	}
	if _, err := s.Publish([]byte(`{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "nam": "a"}]}`), nil); err == nil || !strings.Contains(err.Error(), `"nam"`) {
		t.Error(err)
	}
	if _, err := s.Publish(nil, nil); err == nil {
		t.Error("nothing was published")
	}
	if st := s.Status(); st.Counter != 1 || st.Sets != 1 || r.observedAddress() != "1" {
		t.Errorf("%+v, %s", st, r.observedAddress())
	}
}

// A machine that begins anew goes on from what it kept, with versions that were never given; one whose state is torn says so and
// touches nothing; one that has lost it is another origin.
func TestRestart(t *testing.T) {
	o := api.Options{Name: "m", StateFile: filepath.Join(t.TempDir(), "state")}
	s := startServer(t, o)
	first := publish(t, s, nil, clusterWithEndpoints("a", 1)...)
	o.Listen = s.Addr()
	r := startSidecar(t, "r", "a", s.Addr())
	r.awaitAddress(t, "1")
	s.Close()
	s = startServer(t, o)
	second := publish(t, s, nil, endpointSet("a", 2))
	r.awaitAddress(t, "2")
	if a, b := strings.TrimPrefix(first.Version, "1-"), strings.TrimPrefix(second.Version, "2-"); a != b {
		t.Errorf("%s, then %s", first.Version, second.Version)
	}
	s.Close()
	text, err := os.ReadFile(o.StateFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(o.StateFile, text[:len(text)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	o.Insecure = true
	if s, err := Start(o, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), o.StateFile) {
		if err == nil {
			s.Close()
		}
		t.Errorf("torn: %v", err)
	}
	if err := os.Remove(o.StateFile); err != nil {
		t.Fatal(err)
	}
	s = startServer(t, o)
	if third := publish(t, s, nil, clusterWithEndpoints("b", 1)...); third.Version[2:] == first.Version[2:] {
		t.Errorf("%s, then %s by one that knows nothing of it", first.Version, third.Version)
	}
	if r.observedAddress() != "2" {
		t.Errorf("what it does not know to be removed is %s", r.observedAddress())
	}
}

// Machines tell one another what is published, also what was removed, whichever begins first; one that begins anew with nothing
// takes all from its peer before it serves; what can't be had from a subscriber's machine it has from the other.
func TestPeers(t *testing.T) {
	l := lbtest.Listen(t)
	o := api.Options{Name: "a", Listen: l.Addr().String(), InitialSync: time.Minute}
	b := startServer(t, api.Options{Name: "b", Peers: []api.Peer{{Name: "a", Plane: bootstrap.ControlPlane{Address: o.Listen, Insecure: true}}}})
	o.Peers = []api.Peer{{Name: "b", Plane: bootstrap.ControlPlane{Address: b.Addr(), Insecure: true}}}
	l.Close()
	a := startServer(t, o)
	lbtest.Until(t, "a has heard b", func() bool { return a.Status().Peers[0].Synced })
	publish(t, a, nil, append(clusterWithEndpoints("x", 1), clusterWithEndpoints("gone", 1)...)...)
	publish(t, a, []string{"cluster/gone"})
	lbtest.Until(t, "b has it", func() bool { st := b.Status(); return st.Clusters == 1 && st.Removed == 1 && st.Peers[0].Synced })
	lbtest.Until(t, "b serves", func() bool { return b.Status().Ready })
	a.Close()
	r := startSidecar(t, "r", "x", o.Listen, b.Addr())
	r.awaitAddress(t, "1")
	publish(t, b, nil, endpointSet("x", 2))
	r.awaitAddress(t, "2")
	a = startServer(t, o) // it has lost all
	lbtest.Until(t, "a has it", func() bool {
		st := a.Status()
		return st.Ready && st.Clusters == 1 && st.Removed == 1 && st.Counter == 3
	})
	publish(t, a, nil, endpointSet("x", 3))
	r.awaitAddress(t, "3")
	lbtest.Until(t, "nobody is behind", func() bool {
		st := b.Status()
		return len(st.Versions) == 0 && len(st.Conflicts) == 0 && st.Counter == 4
	})
}

// A machine that has just begun takes no publication before it has heard its peers, as it could be taken for old; past the time
// for that, it does.
func TestInitialSync(t *testing.T) {
	l := lbtest.Listen(t)
	peers := []api.Peer{{Name: "b", Plane: bootstrap.ControlPlane{Address: l.Addr().String(), Insecure: true}}}
	s := startServer(t, api.Options{Name: "a", Peers: peers, InitialSync: time.Hour})
	if _, err := s.PublishResources(packResources(t, clusterWithEndpoints("x", 1)...), nil); !errors.Is(err, ErrInitialSync) {
		t.Error(err)
	}
	s = startServer(t, api.Options{Name: "a", Peers: peers, InitialSync: time.Millisecond})
	lbtest.Until(t, "it takes a publication", func() bool {
		_, err := s.PublishResources(packResources(t, clusterWithEndpoints("x", 1)...), nil)
		return err == nil
	})
	if !s.Status().Ready {
		t.Error("and does not serve it")
	}
}

// More subscribers than there is room for are turned away, and served when others have gone.
func TestMaxSubscribers(t *testing.T) {
	s := startServer(t, api.Options{Name: "m", MaxSubscribers: 1})
	publish(t, s, nil, clusterWithEndpoints("a", 1)...)
	first := startSidecar(t, "r1", "a", s.Addr())
	first.awaitAddress(t, "1")
	second := startSidecar(t, "r2", "a", s.Addr())
	other := startServer(t, api.Options{Name: "n"})
	publish(t, other, nil, clusterWithEndpoints("a", 9)...)
	third := startSidecar(t, "r3", "a", s.Addr(), other.Addr())
	third.awaitAddress(t, "9")
	if is := second.observedAddress(); is != "waiting" {
		t.Errorf("the one too many sees %s", is)
	}
	third.client.Close() // else it would try for the free place, as its first machine is wanted
	first.client.Close()
	second.awaitAddress(t, "1")
}
