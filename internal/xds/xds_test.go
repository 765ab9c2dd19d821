package xds

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
	"silvertrail/internal/xds/selection"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var variants = []ads.Variant{ads.StateOfTheWorld, ads.Delta}

func startControlPlane(t testing.TB, options ...grpc.ServerOption) *xdsserver.Server {
	t.Helper()
	p, err := xdsserver.Start("127.0.0.1:0", options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func putResources(t testing.TB, p *xdsserver.Server, version string, resources ...proto.Message) {
	t.Helper()
	if err := p.Put(version, resources...); err != nil {
		t.Fatal(err)
	}
}

func options(v ads.Variant, addresses ...string) bootstrap.Options {
	o := bootstrap.Options{Variant: v, Node: bootstrap.Node{ID: "test"}, DeferTime: time.Hour, ResourceTimeout: 300 * time.Millisecond, KeepaliveTime: 10 * time.Second, MaxMessageBytes: 1 << 20,
		Selection: selection.Timing{ResponseTimeout: 300 * time.Millisecond, Probation: 100 * time.Millisecond, MinBackoff: time.Millisecond, MaxBackoff: 20 * time.Millisecond}}
	for i, a := range addresses {
		o.ControlPlanes = append(o.ControlPlanes, bootstrap.ControlPlane{Name: fmt.Sprint("p", i), Address: a, Insecure: true})
	}
	return o
}

func start(t testing.TB, o bootstrap.Options) (*Client, *lbtest.Log) {
	t.Helper()
	log := &lbtest.Log{}
	c := Start(o, slog.New(slog.NewTextHandler(log, nil)))
	t.Cleanup(c.Close)
	return c, log
}

// viewRecorder follows a cluster and records its views.
type viewRecorder struct {
	t     testing.TB
	stop  context.CancelFunc
	mu    sync.Mutex
	views []cache.ClusterView
}

func follow(t testing.TB, c *Client, name string) *viewRecorder {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	recorder := &viewRecorder{t: t}
	done := make(chan struct{})
	recorder.stop = sync.OnceFunc(func() { stop(); <-done })
	t.Cleanup(recorder.stop)
	go func() {
		defer close(done)
		c.Follow(ctx, name, func(v cache.ClusterView) {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			recorder.views = append(recorder.views, v)
		})
	}()
	return recorder
}

func (r *viewRecorder) last() cache.ClusterView {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.views) == 0 {
		return cache.ClusterView{}
	}
	return r.views[len(r.views)-1]
}

// expectEndpoints waits until the cluster is ready with these endpoints, given by port and health.
func (r *viewRecorder) expectEndpoints(want ...string) {
	r.t.Helper()
	got := ""
	lbtest.Until(r.t, fmt.Sprint("endpoints are ", want), func() bool { got = r.summary(); return got == strings.Join(want, " ") })
}

// summary returns the state, or the endpoints of a cluster that is ready.
func (r *viewRecorder) summary() string {
	v := r.last()
	if v.State != cache.Ready {
		return v.State.String()
	}
	var out []string
	for _, m := range v.AssignTraffic(cache.AllPriorities) {
		_, port, _ := strings.Cut(m.Address, ":")
		if m.Health != cache.Healthy {
			port += "-" + m.Health.String()
		}
		out = append(out, port)
	}
	return strings.Join(out, " ")
}

func endpointOnPort(port int, health ...corev3.HealthStatus) *endpointv3.LbEndpoint {
	return xdsserver.Endpoint(fmt.Sprintf("127.0.0.1:%d", port), append(health, corev3.HealthStatus_HEALTHY)[0], 0)
}

func endpointSet(name string, ports ...int) *endpointv3.ClusterLoadAssignment {
	var all []*endpointv3.LbEndpoint
	for _, p := range ports {
		all = append(all, endpointOnPort(p))
	}
	return xdsserver.EndpointSet(name, "z", all...)
}

// An invalid resource is rejected by name, and the valid ones of its response are applied. The previous version of the invalid resource
// stays in force.
func TestInvalidResourceIsRejectedAndValidOnesAreApplied(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1), xdsserver.Cluster("b"), endpointSet("b", 2))
		c, _ := start(t, options(v, p.Addr()))
		a, b := follow(t, c, "a"), follow(t, c, "b")
		a.expectEndpoints("1")
		b.expectEndpoints("2")
		bad := xdsserver.Cluster("b")
		bad.LbPolicy = clusterv3.Cluster_RING_HASH
		putResources(t, p, "2", xdsserver.Cluster("a"), endpointSet("a", 1, 3), bad, endpointSet("b", 2, 4))
		a.expectEndpoints("1", "3")
		b.expectEndpoints("2", "4") // the previous version of the cluster, with its current endpoints
		lbtest.Until(t, "the NACK is received", func() bool {
			return slices.ContainsFunc(p.Requests(), func(r xdsserver.Request) bool {
				return r.Type == envoy.ClusterType && strings.Contains(r.ErrorDetail, "cluster b: lb_policy: RING_HASH") && (v == ads.Delta || r.Version == "1")
			})
		})
		putResources(t, p, "3", xdsserver.Cluster("a"), endpointSet("a", 5), xdsserver.Cluster("b"), endpointSet("b", 6))
		a.expectEndpoints("5")
		b.expectEndpoints("6")
		d := c.Dump()
		if d.ControlPlanes[0].State != "up" || !d.ControlPlanes[0].Active || len(d.Resources) != 4 || d.Resources[1].RejectionReason != "" || d.Resources[0].Source != "p0" {
			t.Errorf("unexpected dump after the last update: %+v", d)
		}
		for i, r := range p.Requests() { // no request acknowledges a version that was not sent
			if i > 0 && r.ErrorDetail == "" && r.Nonce == "" && r.Version != "" {
				t.Errorf("request has a version without a nonce: %+v", r)
			}
		}
	}
}

// Responses may arrive out of order or not at all: endpoints before their cluster, a cluster whose endpoints never arrive, an unknown
// cluster, and a cluster that is removed and added in one response.
func TestOutOfOrderOrMissingResponsesRemoveNoUsedCluster(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		ended := make(chan struct{})
		end := sync.OnceFunc(func() { close(ended) })
		t.Cleanup(end)
		acknowledged, once := make(chan struct{}), sync.Once{}
		p.Script(func(s *xdsserver.Stream) error {
			err := s.Send(envoy.EndpointsType, "1", "early", nil, endpointSet("a", 9)) // without a subscription
			if err == nil {
				err = s.Send("type.googleapis.com/envoy.config.listener.v3.Listener", "1", "strange", nil)
			}
			if err == nil {
				_, err = s.Receive()
			}
			if err == nil {
				err = s.Send(envoy.ClusterType, "1", "c0", nil, xdsserver.Cluster("a"))
			}
			<-ended
			return err
		})
		c, log := start(t, options(v, p.Addr()))
		a, lost, none := follow(t, c, "a"), follow(t, c, "lost"), follow(t, c, "none")
		a.expectEndpoints("9")
		lbtest.Until(t, "an unknown type is logged", func() bool { return log.Contains("response of unknown type ignored") })
		streams := p.Streams()
		p.Script(func(s *xdsserver.Stream) error {
			for n := 0; ; {
				r, err := s.Receive()
				if err != nil {
					return err
				}
				switch {
				case r.Type == envoy.ClusterType && r.Nonce == "":
					err = s.Send(r.Type, "1", "c1", []string{"none"}, xdsserver.Cluster("a"), xdsserver.Cluster("lost"))
				case r.Type == envoy.EndpointsType && n == 0:
					n++
					err = s.Send(r.Type, "1", "s1", nil, endpointSet("a", 1))
					if err == nil { // the cluster is removed and present in one response, after its endpoint set
						err = s.Send(envoy.EndpointsType, "2", "s2", nil, endpointSet("a", 2))
					}
					if err == nil {
						err = s.Send(envoy.ClusterType, "2", "c2", []string{"a", "none"}, xdsserver.Cluster("lost"), changedCluster("a"))
					}
				case r.Nonce == "c2":
					once.Do(func() { close(acknowledged) })
				}
				if err != nil {
					return err
				}
			}
		})
		end()
		lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
		a.expectEndpoints("2")
		lbtest.Until(t, "the missing and the removed cluster are reported", func() bool {
			return lost.last().State == cache.Missing && none.last().State == cache.Removed
		})
		if reason := lost.last().Reason; !strings.Contains(reason, "did not come") {
			t.Error(reason)
		}
		<-acknowledged
		if a.summary() != "2" {
			t.Error(a.summary())
		}
		a.mu.Lock()
		for _, view := range a.views {
			if view.State == cache.Removed || view.State == cache.Missing {
				t.Errorf("%v: cluster a reported as %v", v, view.State)
			}
		}
		a.mu.Unlock()
	}
}

func changedCluster(name string) *clusterv3.Cluster {
	c := xdsserver.Cluster(name)
	c.AltStatName = "again"
	return c
}

// With a wildcard subscription, a cluster that is first used long after it was received is available at once. Endpoints are subscribed to
// for clusters in use only.
func TestWildcardClusterIsAvailableAtFirstUse(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1), xdsserver.Cluster("b"), endpointSet("b", 2))
		o := options(v, p.Addr())
		o.Wildcard = true
		c, _ := start(t, o)
		lbtest.Until(t, "both clusters are received", func() bool { return len(c.Dump().Resources) == 2 })
		if r := p.Requests()[0]; len(r.Names) != 0 {
			t.Errorf("first request of a wildcard subscription has names: %+v", r)
		}
		follow(t, c, "b").expectEndpoints("2")
		putResources(t, p, "2", xdsserver.Cluster("b"), endpointSet("b", 3))
		lbtest.Until(t, "cluster a is removed", func() bool { return c.Dump().Resources[0].State == "removed" })
		for _, r := range p.Requests() {
			if r.Type == envoy.EndpointsType && slices.Contains(r.Names, "a") {
				t.Errorf("request subscribes to the endpoints of an unused cluster: %+v", r)
			}
		}
	}
}

// A response that is truncated by a broken connection changes nothing, and is received again over the next stream.
func TestTruncatedResponseChangesNothing(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		path, err := fake.NewPath(p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(path.Close)
		putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
		c, _ := start(t, options(v, path.Addr))
		a := follow(t, c, "a")
		a.expectEndpoints("1")
		var ports []int
		for i := range 500 {
			ports = append(ports, 1000+i)
		}
		streams := p.Streams()
		path.CutAfter(fake.ToClient, 2000)
		putResources(t, p, "2", xdsserver.Cluster("a"), endpointSet("a", ports...))
		lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
		if got := a.summary(); got != "1" && strings.Count(got, " ") != 499 {
			t.Errorf("endpoints after a truncated response are %s", got)
		}
		path.CutAfter(fake.ToClient, -1)
		lbtest.Until(t, "all 500 endpoints are present", func() bool { return strings.Count(a.summary(), " ") == 499 })
	}
}

// If a control plane hangs after its handshake, or sends a message that is too large, the next one becomes active. The first is active
// again after its probation.
func TestHungStreamOrOversizedMessageFallsBackToNextControlPlane(t *testing.T) {
	for _, v := range variants {
		first, second := startControlPlane(t, grpc.MaxSendMsgSize(256<<20)), startControlPlane(t)
		first.Hang(true)
		putResources(t, first, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
		putResources(t, second, "1", xdsserver.Cluster("a"), endpointSet("a", 2))
		c, _ := start(t, options(v, first.Addr(), second.Addr()))
		a := follow(t, c, "a")
		a.expectEndpoints("2")
		first.Hang(false)
		a.expectEndpoints("1")
		first.Script(func(s *xdsserver.Stream) error {
			if _, err := s.Receive(); err != nil {
				return err
			}
			huge := xdsserver.Cluster("a")
			huge.AltStatName = strings.Repeat("x", 100<<20)
			return s.Send(envoy.ClusterType, "2", "n", nil, huge)
		})
		first.ResetStreams()
		putResources(t, second, "2", xdsserver.Cluster("a"), endpointSet("a", 3))
		a.expectEndpoints("3")
		first.Script(nil)
		putResources(t, first, "2", xdsserver.Cluster("a"), endpointSet("a", 4))
		a.expectEndpoints("4")
	}
}

// The last state is reached although updates arrive faster than they are applied, and are combined, and although the stream breaks after
// every 100 updates.
func TestFastUpdatesReachLastState(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		putResources(t, p, "0", xdsserver.Cluster("a"), endpointSet("a", 1))
		c, _ := start(t, options(v, p.Addr()))
		a := follow(t, c, "a")
		a.expectEndpoints("1")
		for i := range 1000 {
			putResources(t, p, fmt.Sprint(i), xdsserver.Cluster("a"), endpointSet("a", i+2))
			if i%100 == 99 {
				streams := p.Streams()
				p.ResetStreams()
				lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
			}
		}
		a.expectEndpoints("1001")
	}
}

func replaceFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// Control plane files and endpoints files are replaced atomically. A file that cannot be read changes nothing.
func TestUnreadableFilesChangeNothing(t *testing.T) {
	folder := t.TempDir()
	path, sets := filepath.Join(folder, "clusters.json"), filepath.Join(folder, "sets.json")
	endpointSetJSON := func(name string, port int) string {
		return fmt.Sprintf(`{"@type": %q, "cluster_name": %q, "endpoints": [{"lb_endpoints": [{"endpoint": {"address": {"socket_address":
			{"address": "127.0.0.1", "port_value": %d}}}}]}]}`, envoy.EndpointsType, name, port)
	}
	clusters := fmt.Sprintf(`{"@type": %q, "name": "a", %s}, {"@type": %q, "name": "b", "type": "EDS", "eds_cluster_config": {"service_name": "s",
		"eds_config": {"path_config_source": {"path": %q}}}}`, envoy.ClusterType, `"type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}`, envoy.ClusterType, sets)
	file := func(port int) string {
		return fmt.Sprintf(`{"version_info": "1", "resources": [%s, %s]}`, clusters, endpointSetJSON("a", port))
	}
	replaceFile(t, path, file(1))
	replaceFile(t, sets, `{"resources": [`+endpointSetJSON("s", 11)+`]}`)
	o := options(ads.Delta)
	o.ControlPlanes = []bootstrap.ControlPlane{{Name: "file", File: path}}
	c, log := start(t, o)
	a, b := follow(t, c, "a"), follow(t, c, "b")
	a.expectEndpoints("1")
	b.expectEndpoints("11")
	replaceFile(t, path, `{"resources": [`)
	replaceFile(t, sets, `{"resources": [`+endpointSetJSON("s", 12)+`, {"@type": "`+envoy.EndpointsType+`", "cluster_name": "other", "endpoints": [{"priority": 3}]}]}`)
	b.expectEndpoints("12")
	lbtest.Until(t, "the errors of both files are logged", func() bool { return log.Contains("clusters.json") && log.Contains("priorities have a gap") })
	replaceFile(t, path, file(2))
	a.expectEndpoints("2")
	if b.summary() != "12" {
		t.Error(b.summary())
	}
	late := follow(t, c, "late")
	lbtest.Until(t, "the unknown cluster is reported as removed", func() bool { return late.last().State == cache.Removed })
	pipe := filepath.Join(folder, "pipe") // opening it would block
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	o.ControlPlanes[0].File = pipe
	_, log = start(t, o)
	lbtest.Until(t, "the pipe is rejected", func() bool { return log.Contains("no regular file") })
}

// With mutual TLS, the next connection after the client's certificate is replaced presents the new one. A control plane whose certificate
// has another name than configured is not trusted.
func TestMutualTLSUsesReplacedCertificate(t *testing.T) {
	folder := t.TempDir()
	authority, err := fake.NewAuthority(folder, "authority")
	if err != nil {
		t.Fatal(err)
	}
	issue := func(name, file string) certs.Files {
		f := certs.Files{Certificate: filepath.Join(folder, file+".pem"), Key: filepath.Join(folder, file+".key"), Authority: authority.File}
		if err := authority.Issue(f.Certificate, f.Key, name, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		return f
	}
	serverFiles := issue("plane", "plane")
	pair, err := tls.LoadX509KeyPair(serverFiles.Certificate, serverFiles.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots, err := certs.LoadAuthority(authority.File)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var presented []string
	p := startControlPlane(t, grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
		VerifyConnection: func(s tls.ConnectionState) error {
			mu.Lock()
			defer mu.Unlock()
			presented = append(presented, s.PeerCertificates[0].DNSNames[0])
			return nil
		}})))
	putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
	o := options(ads.Delta, p.Addr(), p.Addr())
	o.ControlPlanes[0].Insecure, o.ControlPlanes[0].TLS, o.ControlPlanes[0].ServerName = false, issue("first", "ours"), "somebody else"
	o.ControlPlanes[1].Insecure, o.ControlPlanes[1].TLS, o.ControlPlanes[1].ServerName = false, o.ControlPlanes[0].TLS, "plane"
	c, log := start(t, o)
	a := follow(t, c, "a")
	a.expectEndpoints("1")
	if !log.Contains("somebody else") {
		t.Error(log)
	}
	issue("second", "ours")
	p.ResetStreams()
	lbtest.Until(t, "the new certificate is presented", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(presented, "second")
	})
	putResources(t, p, "2", xdsserver.Cluster("a"), endpointSet("a", 2))
	a.expectEndpoints("2")
}

// A state-of-the-world response with an unreadable resource removes nothing.
func TestUnreadableResourceRemovesNothing(t *testing.T) {
	p := startControlPlane(t)
	p.Script(func(s *xdsserver.Stream) error {
		for n := 0; ; {
			r, err := s.Receive()
			if err != nil {
				return err
			}
			switch {
			case r.Type == envoy.ClusterType && n == 0:
				err = s.Send(r.Type, "1", "c1", nil, xdsserver.Cluster("a"))
			case r.Type == envoy.ClusterType && n == 1:
				err = s.Send(r.Type, "2", "c2", nil, &anypb.Any{TypeUrl: envoy.ClusterType, Value: []byte{0xff}}, &anypb.Any{TypeUrl: "x"})
			case r.Type == envoy.EndpointsType:
				err = s.Send(r.Type, "1", "s1", nil, endpointSet("a", 1))
				n = -1 << 30
			}
			if n++; err != nil {
				return err
			}
		}
	})
	c, log := start(t, options(ads.StateOfTheWorld, p.Addr()))
	a := follow(t, c, "a")
	a.expectEndpoints("1")
	lbtest.Until(t, "both unreadable clusters are rejected", func() bool { return log.Contains("cluster number 0") && log.Contains("cluster number 1") })
	if a.summary() != "1" {
		t.Error(a.summary())
	}
}
