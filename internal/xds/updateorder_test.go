package xds

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/envoy"
)

// A stream that breaks and returns with an older state puts nothing into use for the defer time, also under another version or with a nonce that
// was used before. A removal and a drain are not undone, and what the older state does not list gets no traffic. New states on the stream are
// applied at once.
func TestOlderStateAfterReconnectIsDeferred(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		old := []proto.Message{xdsserver.Cluster("a"), endpointSet("a", 1, 2), xdsserver.Cluster("b"), endpointSet("b", 9)}
		putResources(t, p, "1", old...)
		c, _ := start(t, options(v, p.Addr()))
		a, b := follow(t, c, "a"), follow(t, c, "b")
		a.expectEndpoints("1", "2")
		b.expectEndpoints("9")
		putResources(t, p, "2", xdsserver.Cluster("a"), xdsserver.EndpointSet("a", "z", endpointOnPort(1, corev3.HealthStatus_DRAINING), endpointOnPort(3)), xdsserver.Cluster("b"), endpointSet("b", 9))
		a.expectEndpoints("1-draining", "3")
		streams := p.Streams()
		before := len(p.Requests())
		p.Hang(true) // otherwise the open stream would send the old state
		putResources(t, p, "1", old...)
		p.ResetStreams()
		lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
		p.Hang(false)
		lbtest.Until(t, "the old endpoint set is deferred", func() bool { return isDeferred(c, "a") })
		a.expectEndpoints("1-draining", "3-draining")
		if got := b.summary(); got != "9" {
			t.Errorf("%v: endpoints of a cluster that did not change are %s", v, got)
		}
		for _, r := range p.Requests()[before:] {
			if r.Nonce != "" {
				break
			}
			if r.Version != "" {
				t.Errorf("first request of a new stream has a version: %+v", r)
			}
		}
		putResources(t, p, "3", xdsserver.Cluster("a"), endpointSet("a", 1, 2, 4), xdsserver.Cluster("b"), endpointSet("b", 9)) // never received before, so not deferred
		a.expectEndpoints("1", "2", "4")
	}
}

func isDeferred(c *Client, name string) bool {
	return slices.ContainsFunc(c.Dump().Resources, func(r cache.ResourceStatus) bool { return r.Name == name && r.DeferredVersion != "" })
}

// An older state is not acknowledged before the defer time has passed and it is applied; in the incremental variant its resource is requested
// once more for that. A drain by an older state is acknowledged at once.
func TestOlderStateIsAcknowledgedOnceApplied(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		both := endpointSet("a", 1, 2)
		drained := xdsserver.EndpointSet("a", "z", endpointOnPort(1), endpointOnPort(2, corev3.HealthStatus_DRAINING))
		o := options(v, p.Addr())
		o.DeferTime = 500 * time.Millisecond
		putResources(t, p, "1", xdsserver.Cluster("a"), drained)
		c, _ := start(t, o)
		a := follow(t, c, "a")
		a.expectEndpoints("1", "2-draining")
		putResources(t, p, "2", xdsserver.Cluster("a"), both)
		a.expectEndpoints("1", "2")
		newStream := func() {
			streams := p.Streams()
			p.ResetStreams()
			lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
		}
		answers := func(isRejection bool) int {
			n := 0
			for _, r := range p.Requests() {
				if r.Type == envoy.EndpointsType && r.Nonce != "" && strings.Contains(r.ErrorDetail, withheldDetail) == isRejection {
					n++
				}
			}
			return n
		}
		newStream()
		acknowledged := answers(false)
		putResources(t, p, "1", xdsserver.Cluster("a"), drained)
		a.expectEndpoints("1", "2-draining")
		lbtest.Until(t, "the drain is acknowledged", func() bool { return answers(false) > acknowledged })
		if n := answers(true); n != 0 {
			t.Errorf("%v: %d responses that drain an endpoint are rejected", v, n)
		}
		lbtest.Until(t, "the drain is current", func() bool { return !isDeferred(c, "a") })
		newStream()
		putResources(t, p, "2", xdsserver.Cluster("a"), both)
		a.expectEndpoints("1", "2")
		lbtest.Until(t, "the older state is rejected, and then acknowledged", func() bool {
			isRejected := false
			for _, r := range p.Requests() {
				if r.Type != envoy.EndpointsType || r.Nonce == "" {
					continue
				}
				if isRejected && r.ErrorDetail == "" {
					return true
				}
				isRejected = isRejected || strings.Contains(r.ErrorDetail, withheldDetail)
			}
			return false
		})
		if v == ads.StateOfTheWorld {
			continue
		}
		if !slices.ContainsFunc(p.Requests(), func(r xdsserver.Request) bool {
			return r.Type == envoy.EndpointsType && slices.Equal(r.Names, []string{"a"}) && r.InitialVersions == nil
		}) {
			t.Error("the resource was not requested once more")
		}
	}
}

// An intended rollback to an older state is applied after the defer time.
func TestRollbackIsAppliedAfterDeferTime(t *testing.T) {
	p := startControlPlane(t)
	putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
	o := options(ads.Delta, p.Addr())
	o.DeferTime = 200 * time.Millisecond
	c, _ := start(t, o)
	a := follow(t, c, "a")
	a.expectEndpoints("1")
	putResources(t, p, "2", xdsserver.Cluster("a"), endpointSet("a", 2))
	a.expectEndpoints("2")
	p.Hang(true)
	putResources(t, p, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
	streams := p.Streams()
	p.ResetStreams()
	lbtest.Until(t, "the stream is reopened", func() bool { return p.Streams() > streams })
	p.Hang(false)
	a.expectEndpoints("1")
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.views) > 8 {
		t.Errorf("%d views reported, want at most 8", len(a.views))
	}
}

// What a control plane sends while another one is active is not in force, and is not acknowledged until it is.
func TestInactiveControlPlaneGetsNoAcknowledgement(t *testing.T) {
	for _, v := range variants {
		first, second := startControlPlane(t), startControlPlane(t)
		first.Hang(true)
		putResources(t, first, "1", xdsserver.Cluster("a"), endpointSet("a", 1))
		putResources(t, second, "1", xdsserver.Cluster("a"), endpointSet("a", 2))
		o := options(v, first.Addr(), second.Addr())
		o.Selection.Probation = time.Hour
		c, _ := start(t, o)
		a := follow(t, c, "a")
		a.expectEndpoints("2")
		first.Hang(false)
		lbtest.Until(t, "the first control plane is up", func() bool { return c.Dump().ControlPlanes[0].State == "up" })
		putResources(t, first, "2", xdsserver.Cluster("a"), endpointSet("a", 3))
		putResources(t, second, "2", xdsserver.Cluster("a"), endpointSet("a", 4))
		a.expectEndpoints("4")
		answered := func(r xdsserver.Request) bool { return r.Nonce != "" }
		if slices.ContainsFunc(first.Requests(), answered) {
			t.Errorf("%v: an inactive control plane got an answer: %+v", v, first.Requests())
		}
		second.Close()
		a.expectEndpoints("3")
		lbtest.Until(t, "the first control plane gets an acknowledgement", func() bool { return slices.ContainsFunc(first.Requests(), answered) })
	}
}

// A process that starts with a state file knows what was replaced and removed before it ended: an older state puts nothing into use. What was
// drained by an update that was held off stays out of use.
func TestOlderStateAfterRestartPutsNothingIntoUse(t *testing.T) {
	for _, v := range variants {
		p := startControlPlane(t)
		clusters := func(names ...string) (out []proto.Message) {
			for _, name := range names {
				out = append(out, xdsserver.Cluster(name))
			}
			return append(out, endpointSet("gone", 9))
		}
		drained := func(port int) proto.Message {
			return xdsserver.EndpointSet("a", "z", endpointOnPort(3-port), endpointOnPort(port, corev3.HealthStatus_DRAINING))
		}
		o := options(v, p.Addr())
		o.StateFile = filepath.Join(t.TempDir(), "state")
		putResources(t, p, "1", append(clusters("a", "gone"), drained(1))...)
		c, _ := start(t, o)
		a, gone := follow(t, c, "a"), follow(t, c, "gone")
		a.expectEndpoints("1-draining", "2")
		gone.expectEndpoints("9")
		putResources(t, p, "2", append(clusters("a"), drained(2))...)
		a.expectEndpoints("1", "2-draining")
		lbtest.Until(t, "the cluster is removed", func() bool { return gone.last().State == cache.Removed })
		restart := func() {
			t.Helper()
			c.Close()
			a.stop()
			gone.stop()
			c, _ = start(t, o)
			a, gone = follow(t, c, "a"), follow(t, c, "gone")
		}
		p.Hang(true)
		putResources(t, p, "1", append(clusters("a", "gone"), drained(1))...)
		restart()
		a.expectEndpoints("1", "2-draining")
		p.Hang(false)
		lbtest.Until(t, "the older states are held off", func() bool { return isDeferred(c, "a") && isDeferred(c, "gone") })
		a.expectEndpoints("1-draining", "2-draining")
		if state := gone.last().State; state == cache.Ready {
			t.Errorf("%v: an older state has brought a removed cluster back", v)
		}
		p.Hang(true)
		restart()
		a.expectEndpoints("1-draining", "2-draining")
	}
}
