package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/xdsserver"
	"silvertrail/internal/xds/cache"
)

// withdrawal is a gateway under traffic, and three endpoints of its cluster.
type withdrawal struct {
	*xdsGateway
	endpoints []*fake.Endpoint
	callers   int
	reloads   int
}

func newWithdrawal(t *testing.T, variant string) *withdrawal {
	t.Helper()
	x := newXDSGateway(t)
	x.variant = variant
	return &withdrawal{xdsGateway: x, endpoints: newEndpoints(t, 3, 2*time.Millisecond), callers: 4}
}

// set returns a set of the endpoints with a health each.
func (w *withdrawal) set(healths ...corev3.HealthStatus) *endpointv3.ClusterLoadAssignment {
	var out []*endpointv3.LbEndpoint
	for i, health := range healths {
		out = append(out, xdsserver.Endpoint(w.endpoints[i].Addr, health, uint32(3+i))) // weights that differ, so that all are drawn
	}
	return xdsserver.EndpointSet("c", "", out...)
}

// awaitStatus waits until the members' states are the given ones, in the order of the endpoints.
func (w *withdrawal) awaitStatus(what string, want ...string) {
	w.t.Helper()
	lbtest.Until(w.t, what, func() bool {
		status := map[string]string{}
		for _, m := range w.g.state.Load().clusters["c"].Members() {
			status[m.Address] = m.Status
		}
		for i, s := range want {
			if status[w.endpoints[i].Addr] != s {
				return false
			}
		}
		return true
	})
}

// expectUnused checks that an endpoint gets nothing new while endpoint 1 serves the traffic.
func (w *withdrawal) expectUnused(when string, unused int) {
	w.t.Helper()
	before := w.endpoints[unused].Requests()
	begun := w.endpoints[1].Requests()
	lbtest.Until(w.t, when+": there is traffic", func() bool { return w.endpoints[1].Requests() > begun+40 })
	// Requests that were written before may be read after: at most one for each caller.
	if n := w.endpoints[unused].Requests() - before; n > int64(w.callers) {
		w.t.Errorf("%s: %d new requests to an endpoint that is out of use", when, n)
	}
}

// awaitRejection waits until the control plane has received one more rejection.
func (w *withdrawal) awaitRejection(what string, before int) {
	w.t.Helper()
	lbtest.Until(w.t, what, func() bool { return w.rejections() > before })
}

func (w *withdrawal) rejections() int {
	n := 0
	for _, r := range w.plane.Requests() {
		if r.ErrorDetail != "" {
			n++
		}
	}
	return n
}

// newStream has the gateway's stream end in one of several ways, and waits for the next one.
func (w *withdrawal) newStream(end string) {
	w.t.Helper()
	streams := w.plane.Streams()
	switch end {
	case "reset":
		w.plane.ResetStreams()
	case "restart":
		if err := w.plane.Restart(); err != nil {
			w.t.Fatal(err)
		}
	case "reload":
		w.reloads++
		text := strings.Replace(w.configText(clusterC), "backoff = \"1ms\"", fmt.Sprintf("backoff = \"%dms\"", 2+w.reloads%2), 1) // another one than in force
		if err := w.g.Reload(parse(w.t, text)); err != nil {
			w.t.Fatal(err)
		}
	}
	lbtest.Until(w.t, "there is another stream", func() bool { return w.plane.Streams() > streams })
}

// An endpoint drains, comes back, and drains again after its stream has ended in one of several ways. It must get nothing new then, nor after
// another end that brings the older state back; an endpoint that only the older states use must not get anything.
func TestXDSDrainAfterStreamEnds(t *testing.T) {
	t.Parallel()
	const healthy, draining = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING
	for _, variant := range []string{"delta", "whole"} {
		for _, end := range []string{"reset", "restart", "reload"} {
			t.Run(variant+"/"+end, func(t *testing.T) {
				t.Parallel()
				w := newWithdrawal(t, variant)
				in, out := w.set(healthy, healthy, draining), w.set(draining, healthy, draining)
				mixed := w.set(draining, healthy, healthy)
				w.publish(xdsserver.Cluster("c"), mixed)
				w.run(clusterC)
				stop := w.startTraffic(w.callers)
				for _, step := range []struct {
					set  *endpointv3.ClusterLoadAssignment
					want []string
				}{
					{mixed, []string{"draining", "ready", "ready"}},
					{out, []string{"draining", "ready", "draining"}},
					{in, []string{"ready", "ready", "draining"}},
				} {
					w.publish(xdsserver.Cluster("c"), step.set)
					w.awaitStatus("the update is in force", step.want...)
				}
				w.newStream(end)
				w.publish(xdsserver.Cluster("c"), out)
				w.awaitStatus("it drains again", "draining", "ready", "draining")
				w.expectUnused("drained on a new stream", 0)

				w.plane.Hang(true)
				rejections := w.rejections()
				w.publish(xdsserver.Cluster("c"), in)
				w.newStream(end)
				w.plane.Hang(false)
				w.awaitRejection("the older state is not acknowledged", rejections)
				w.expectUnused("an older state has come back", 0)

				rejections = w.rejections()
				w.publish(xdsserver.Cluster("c"), mixed)
				w.awaitRejection("one that returns by an older state is not acknowledged", rejections)
				w.awaitStatus("both are out", "draining", "ready", "draining")
				w.expectUnused("leaves while another one returns", 0)
				w.expectUnused("returns by an older state", 2)
				if !slices.ContainsFunc(w.g.discovery.Dump().Resources, func(r cache.ResourceStatus) bool { return r.DeferredVersion != "" }) {
					t.Error("no update is reported as held off")
				}
				if got := stop(); len(got) != 1 || got[200] == 0 {
					t.Errorf("answers: %v", got)
				}
			})
		}
	}
}
