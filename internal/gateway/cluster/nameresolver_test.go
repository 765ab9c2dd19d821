package cluster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/miekg/dns"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/xds/cache"
)

// viewChannel is a control plane whose views of a cluster come over a channel.
type viewChannel chan cache.ClusterView

// Follow implements Discovery.
func (c viewChannel) Follow(ctx context.Context, _ string, report func(cache.ClusterView)) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-c:
			report(v)
		}
	}
}

// listRecorder holds the last list that a source has reported.
type listRecorder struct {
	mu   sync.Mutex
	list []string // addresses, followed by a status other than ready
}

func (r *listRecorder) report(kind updateKind, entries []endpointlist.Endpoint) {
	if kind != fullList {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = nil
	for _, e := range entries {
		text, _, _ := strings.Cut(e.Address, ":")
		if e.Status != ready {
			text += " " + e.Status
		}
		r.list = append(r.list, text)
	}
	slices.Sort(r.list)
}

func (r *listRecorder) await(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	defer func() {
		if t.Failed() {
			t.Logf("the last list is %v", got)
		}
	}()
	lbtest.Until(t, "the list is "+strings.Join(want, ", "), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		got = r.list
		return slices.Equal(got, want)
	})
}

// TestUnresolvedNameHoldsUpNoDrain guards against an endpoint that drains or is removed and gets new requests for as long as the name of another
// one, which the same update adds, cannot be resolved.
func TestUnresolvedNameHoldsUpNoDrain(t *testing.T) {
	t.Parallel()
	addresses := map[string]string{"x.": "127.0.0.1", "y.": "127.0.0.2"}
	respond := func(q dns.Question, _ bool) *fake.Response {
		address, ok := addresses[q.Name]
		if !ok {
			return nil
		}
		return &fake.Response{Records: []string{q.Name + " 30 IN A " + address}}
	}
	s := startNameServer(t, respond)
	views := make(viewChannel)
	var recorder listRecorder
	ctx, cancel := context.WithCancel(t.Context())
	source := &XDS{Resource: "c", Priority: cache.AllPriorities, Zones: []string{"z"}, Zone: "z", ZoneField: "zone", Server: s.Addr}
	var done sync.WaitGroup
	done.Go(func() { source.run(ctx, recorder.report, views, func(sourceLimits) {}, discardLogger) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	tell := func(resolution cache.Resolution, endpoints ...string) {
		set := &cache.EndpointSet{Overprovisioning: 1.4, Localities: []cache.Locality{{Zone: "z", Weight: 1}}}
		for _, text := range endpoints {
			name, health, _ := strings.Cut(text, " ")
			e := cache.Endpoint{Address: name + ":7", Weight: 1}
			if health == cache.Draining.String() {
				e.Health = cache.Draining
			}
			set.Localities[0].Endpoints = append(set.Localities[0].Endpoints, e)
		}
		views <- cache.ClusterView{State: cache.Ready, Cluster: &cache.Cluster{Resolution: resolution}, Set: set}
	}
	tell(cache.StrictDNS, "x", "y")
	recorder.await(t, "127.0.0.1", "127.0.0.2")
	tell(cache.StrictDNS, "x draining", "y", "unresolved")
	recorder.await(t, "127.0.0.1 draining", "127.0.0.2")
	tell(cache.StrictDNS, "x", "y", "unresolved", "another")
	recorder.await(t, "127.0.0.1", "127.0.0.2")
	tell(cache.StrictDNS, "x", "unresolved")
	recorder.await(t, "127.0.0.1", "127.0.0.2 draining")
	tell(cache.StrictDNS, "x")
	recorder.await(t, "127.0.0.1")
	tell(cache.NoResolution, "127.0.0.3")
	recorder.await(t, "127.0.0.3")
	tell(cache.StrictDNS, "unresolved")
	recorder.await(t, "127.0.0.3 draining")
	tell(cache.StrictDNS, "y")
	recorder.await(t, "127.0.0.2")
}
