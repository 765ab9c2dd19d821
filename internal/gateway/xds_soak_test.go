package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds/envoy"
)

var (
	xdsSeeds = flag.Int("xdsseeds", 4, "seeds of TestXDSWithdrawalSoak")
	xdsSeed  = flag.Uint64("xdsseed", 1, "first seed of TestXDSWithdrawalSoak")
	xdsSteps = flag.Int("xdssteps", 25, "updates and ends of streams or processes of each seed of TestXDSWithdrawalSoak")
)

const (
	soakCallers   = 4
	soakEndpoints = 4 // the last one is healthy in all contents
	soakContents  = 7 // few, so that most updates bring an earlier content back
	leftOut       = corev3.HealthStatus(-1)
)

// soakContent gives the health of each endpoint.
type soakContent [soakEndpoints]corev3.HealthStatus

func (c soakContent) uses(endpoint int) bool { return c[endpoint] == corev3.HealthStatus_HEALTHY }

// xdsDay is what a seed draws: a gateway under traffic whose control plane publishes few contents of one endpoint set again and again, between
// ends of streams and processes. An Orderer that gets what the gateway must have received tells which endpoints may be used.
type xdsDay struct {
	*withdrawal
	draw      *rand.Rand
	contents  []soakContent
	published int // the content that the control plane has
	order     *updateorder.Orderer
	stream    updateorder.Stream
	sent      int // the last content on the stream; -1: none
	answers   int // to endpoint sets that the control plane has received on its streams

	mu      sync.RWMutex // held for writing while there is no gateway
	over    atomic.Bool
	callers sync.WaitGroup
	served  atomic.Int64
}

func newXDSDay(t *testing.T, seed uint64) *xdsDay {
	t.Helper()
	d := &xdsDay{draw: rand.New(rand.NewPCG(seed, 85)), sent: -1}
	d.withdrawal = newWithdrawal(t, []string{"delta", "whole"}[seed%2])
	d.more = fmt.Sprintf(" hold = \"1h\"\n state = %q\n", filepath.Join(t.TempDir(), "state"))
	d.endpoints = append(d.endpoints, newEndpoints(t, soakEndpoints-len(d.endpoints), 2*time.Millisecond)...)
	for range soakContents {
		c := soakContent{soakEndpoints - 1: corev3.HealthStatus_HEALTHY}
		for i := range soakEndpoints - 1 {
			c[i] = []corev3.HealthStatus{corev3.HealthStatus_HEALTHY, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY, leftOut}[d.draw.IntN(5)]
		}
		d.contents = append(d.contents, c)
	}
	d.order = updateorder.New(time.Hour)
	d.stream = 1
	d.put(d.draw.IntN(soakContents))
	return d
}

// put has the control plane publish a content.
func (d *xdsDay) put(content int) {
	d.published = content
	set := xdsserver.EndpointSet("c", "")
	for i, health := range d.contents[content] {
		if health != leftOut {
			set.Endpoints[0].LbEndpoints = append(set.Endpoints[0].LbEndpoints, xdsserver.Endpoint(d.endpoints[i].Addr, health, uint32(2+i)))
		}
	}
	cluster := xdsserver.Cluster("c")
	cluster.CommonLbConfig = &clusterv3.Cluster_CommonLbConfig{HealthyPanicThreshold: &typev3.Percent{}}
	d.publish(cluster, set)
}

// digestOf returns the digest of a content. Contents may be equal.
func (d *xdsDay) digestOf(content int) updateorder.Digest {
	return updateorder.Digest{1, byte(slices.Index(d.contents, d.contents[content]))}
}

// receive has the model receive what the control plane sends now, and waits until the gateway has answered it.
func (d *xdsDay) receive(what string, isNewStream bool) {
	d.t.Helper()
	_, current, isKnown := d.order.Current("c")
	isCached := isKnown && current == d.digestOf(d.published) && len(d.order.Candidates("c")) == 0
	isRepeated := d.sent >= 0 && d.digestOf(d.sent) == d.digestOf(d.published)
	switch {
	case isNewStream && d.variant == "delta" && isCached, !isNewStream && isRepeated:
		// Nothing is sent. On a new stream the request for the endpoint set has come, see newStream.
	default:
		d.order.Receive(time.Time{}, d.stream, updateorder.Update{Resource: "c", Digest: d.digestOf(d.published)})
		d.answers++
		lbtest.Until(d.t, what+" is answered", func() bool { return d.countAnswers() >= d.answers })
	}
	d.sent = d.published
}

// countAnswers returns the number of acknowledged and rejected responses with endpoint sets.
func (d *xdsDay) countAnswers() int {
	n := 0
	for _, r := range d.plane.Requests() {
		if r.Type == envoy.EndpointsType && r.Nonce != "" {
			n++
		}
	}
	return n
}

// mayUse reports whether the current content and all that may be newer use an endpoint.
func (d *xdsDay) mayUse(endpoint int) bool {
	_, current, _ := d.order.Current("c")
	for _, digest := range append(d.order.Candidates("c"), current) {
		if !d.contents[digest[1]].uses(endpoint) {
			return false
		}
	}
	return true
}

// check waits until the gateway uses what it may use, and checks that the other endpoints get nothing.
func (d *xdsDay) check(what string) {
	d.t.Helper()
	used := func() (out []int) {
		for _, m := range d.g.state.Load().clusters["c"].Members() {
			if m.Status == "ready" {
				out = append(out, slices.IndexFunc(d.endpoints, func(e *fake.Endpoint) bool { return e.Addr == m.Address }))
			}
		}
		slices.Sort(out)
		return out
	}
	var want []int
	for i := range d.endpoints {
		if d.mayUse(i) {
			want = append(want, i)
		}
	}
	if !lbtest.Eventually(func() bool { return slices.Equal(used(), want) }) {
		d.t.Fatalf("%s: used are %v, want %v; %+v", what, used(), want, d.g.discovery.Dump().Resources)
	}
	var before [soakEndpoints]int64
	for i, e := range d.endpoints {
		before[i] = e.Requests()
	}
	serving := d.endpoints[soakEndpoints-1]
	lbtest.Until(d.t, what+": there is traffic", func() bool { return serving.Requests() > before[soakEndpoints-1]+20 })
	for i, e := range d.endpoints {
		if n := e.Requests() - before[i]; !d.mayUse(i) && n > soakCallers {
			d.t.Errorf("%s: %d new requests to endpoint %d, which is out of use", what, n, i)
		}
	}
}

// endStream ends the stream in one of several ways while the control plane changes its content, and waits for the next stream.
func (d *xdsDay) endStream(end string, content int) {
	d.t.Helper()
	d.plane.Hang(true)
	d.put(content)
	initial := d.countInitial()
	d.order.EndStream(d.stream)
	d.stream++
	d.sent = -1
	if end == "process" {
		d.restartGateway()
	} else {
		d.newStream(end)
	}
	lbtest.Until(d.t, "the endpoint set is requested on the new stream", func() bool { return d.countInitial() > initial })
	d.answers = d.countAnswers()
	d.plane.Hang(false)
}

// countInitial returns the number of streams on which the endpoint set has been requested.
func (d *xdsDay) countInitial() int {
	n := 0
	for _, r := range d.plane.Requests() {
		if r.Type == envoy.EndpointsType && r.Nonce == "" && slices.Equal(r.Names, []string{"c"}) {
			n++
		}
	}
	return n
}

// restartGateway ends the gateway's process and starts it again with its state file.
func (d *xdsDay) restartGateway() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.g.Close()
	d.run(clusterC)
	version, current, _ := d.order.Current("c")
	history := d.order.History("c")
	d.order = updateorder.New(time.Hour)
	d.order.Restore("c", updateorder.Content{Version: version, Digest: current}, history)
}

func (d *xdsDay) startCallers() {
	for range soakCallers {
		d.callers.Go(func() {
			for !d.over.Load() {
				d.mu.RLock()
				status, _, _ := ask(d.t, d.g, "GET", "/")
				d.mu.RUnlock()
				if status != 200 {
					d.t.Errorf("a request got %d", status)
				}
				d.served.Add(1)
			}
		})
	}
}

func (d *xdsDay) stopCallers() {
	d.over.Store(true)
	d.callers.Wait()
}

func (d *xdsDay) play(steps int) {
	d.t.Helper()
	d.run(clusterC)
	d.receive("the first content", false)
	d.startCallers()
	defer d.stopCallers()
	d.check("at first")
	for step := range steps {
		content := d.draw.IntN(soakContents)
		kind := []string{"publish", "publish", "publish", "reset", "restart", "reload", "process"}[d.draw.IntN(7)]
		what := fmt.Sprintf("step %d, %s, content %d %v", step, kind, content, d.contents[content])
		if kind == "publish" {
			d.put(content)
		} else {
			d.endStream(kind, content)
		}
		d.receive(what, kind != "publish")
		d.check(what)
	}
}

// TestXDSWithdrawalSoak guards against endpoints that get requests while they are out of use by the newest update or by one that may be newer, over
// updates that bring earlier contents back and ends of streams and processes.
func TestXDSWithdrawalSoak(t *testing.T) {
	t.Parallel()
	for seed := *xdsSeed; seed < *xdsSeed+uint64(*xdsSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := newXDSDay(t, seed)
			d.play(*xdsSteps)
			t.Logf("%s: %d requests", d.variant, d.served.Load())
		})
	}
}
