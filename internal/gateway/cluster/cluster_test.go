package cluster

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// startCluster starts a cluster with an idempotent and a keyed idempotent class, and waits until it is initialized.
func startCluster(t *testing.T, c Config) *Cluster {
	t.Helper()
	class := func(e lbpolicy.Effect) lbpolicy.Class {
		return lbpolicy.Class{LatencyObjective: 5 * time.Second, Deadline: lbtest.Wait, PriorityWeight: 1, Effect: e, Window: time.Minute}
	}
	c.Core = Core{Zones: []string{"a"}, ConnectTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, Policy: lbpolicy.Settings{Balancers: 1,
		Classes: []lbpolicy.Class{class(lbpolicy.Idempotent), class(lbpolicy.KeyedIdempotent)}, MaxAttempts: 3, MayCancel: true, MayHedge: true,
		ConnIdleTimeout: lbtest.Wait, OverloadMultiple: 2.5, OverloadWindow: time.Second}}
	if c.MaxFraction == 0 {
		c.MaxFraction = 1
	}
	cluster, err := New(c, NewResources(64, 64, 1<<20), 7, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	select {
	case <-cluster.Initialized():
	case <-time.After(lbtest.Wait):
		t.Fatal("cluster not initialized in time")
	}
	return cluster
}

// get sends a GET request with a request ID through the cluster.
func get(t *testing.T, c *Cluster, id string) engine.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
	defer cancel()
	result, _ := c.Do(ctx, upstream.Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{"X-Request-Id": {id}}},
		lbpolicy.Request{TimeLeft: lbtest.Wait}, nil)
	return result
}

// staticSource returns a static source that lists ready endpoints at the addresses.
func staticSource(addrs ...string) Source {
	s := &Static{}
	for _, a := range addrs {
		s.Endpoints = append(s.Endpoints, endpointlist.Endpoint{Name: "at-" + a, Address: a, Zone: "a", Status: ready})
	}
	return Source{Static: s}
}

// writeFile replaces a file atomically.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// Guards against losing members to an unusable endpoint file. A missing, invalid or empty file leaves the members in place. A replaced file
// is applied, and a drain in it overrides the static list.
func TestInvalidEndpointFileKeepsMembersAndDrainOverridesStaticList(t *testing.T) {
	t.Parallel()
	first := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.Write([]byte(lbtest.OK("one"))) })
	second := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.Write([]byte(lbtest.OK("two"))) })
	path := filepath.Join(t.TempDir(), "list.json")
	writeFile(t, path, `{"endpoints": [{"address": "`+second.Addr+`"}]}`)
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{staticSource(first.Addr), {File: &File{Path: path, Poll: time.Millisecond, Zone: "a"}}}})
	if n := len(c.Members()); n != 2 {
		t.Fatalf("%d members, want 2", n)
	}
	for _, broken := range []string{`{"endpoints": [{"address": "nowhere"}]}`, `{"endp`, `{}`, `{"endpoints": []}`} {
		writeFile(t, path, broken)
		time.Sleep(20 * time.Millisecond) // many polls of the file; a longer wait changes nothing
		if n := len(c.Members()); n != 2 {
			t.Fatalf("file %s: %d members, want 2", broken, n)
		}
	}
	os.Remove(path)
	writeFile(t, path, `{"endpoints": [{"address": "`+first.Addr+`", "status": "draining"}, {"address": "`+second.Addr+`"}]}`)
	lbtest.Until(t, "a member is draining after the file was replaced", func() bool {
		return slices.ContainsFunc(c.Members(), func(e endpointlist.Endpoint) bool { return e.Status == draining })
	})
	for range 20 {
		if result := get(t, c, "x"); result.Response == nil || string(result.Response.Body) != "two" {
			t.Fatalf("request sent to the draining endpoint: %+v", result)
		}
	}
}

func TestParseFileReportsInvalidEntryAndSetsDefaults(t *testing.T) {
	for text, want := range map[string]string{
		`{`: "JSON", `{}`: "no \"endpoints\"", `{"endpoints": [{"address": "a:1"}]}`: "endpoints[0]: address",
		`{"endpoints": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:1", "status": "up"}]}`: "endpoints[1]: status",
	} {
		if _, err := ParseFile([]byte(text), "a"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("ParseFile of %s: unexpected error %v", text, err)
		}
	}
	got, err := ParseFile([]byte(`{"endpoints": [{"address": "127.0.0.1:1", "group": 3, "since_ms": 5}]}`), "a")
	if want := (endpointlist.Endpoint{Address: "127.0.0.1:1", Zone: "a", Group: 3, Status: ready, SinceMS: 5}); err != nil || got[0] != want {
		t.Errorf("entries %+v, error %v", got, err)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"endpoints": [{"address": "127.0.0.1:1", "status": "draining"}]}`))
	f.Add([]byte(`{"endpoints": null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		entries, err := ParseFile(text, "a")
		for _, e := range entries {
			if err != nil || e.Zone == "" || e.Status == "" {
				t.Fatalf("entry %+v returned with error %v", e, err)
			}
		}
	})
}

// Guards against sending requests to an endpoint that the registry no longer lists while the static list still has it.
func TestRegistryDepartureOverridesStaticList(t *testing.T) {
	t.Parallel()
	first := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.OK() })
	second := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) { arrival.OK() })
	d := lbtest.NewDiscovery(t, 5, first.Addr, second.Addr)
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{{Registry: &Registry{Address: d.Addr}}, staticSource(first.Addr)}})
	lbtest.Until(t, "both endpoints are members", func() bool { return len(c.Members()) >= 2 })
	d.Set(second.Addr)
	lbtest.Until(t, "only the second endpoint is a member", func() bool {
		m := c.Members()
		return len(m) == 1 && m[0].Address == second.Addr
	})
}

// Guards against losing members and connections when the sources of a running cluster are replaced. The old members have to stay until each
// new source has sent a list.
func TestReplacedSourcesKeepMembersAndConnections(t *testing.T) {
	t.Parallel()
	var conns atomic.Int64
	first := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) {
		if arrival.Index == 0 {
			conns.Add(1)
		}
		arrival.OK()
	})
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{staticSource(first.Addr)}})
	get(t, c, "first")
	next := c.config
	path := filepath.Join(t.TempDir(), "list.json") // does not exist yet
	next.Sources = []Source{{File: &File{Path: path, Poll: time.Millisecond, Zone: "a"}}, staticSource()}
	if !c.CanUpdate(next) {
		t.Fatal("CanUpdate is false for a change of sources")
	}
	c.Update(next, NewResources(64, 64, 1<<20))
	if result := get(t, c, "between"); result.Response == nil {
		t.Fatalf("no response before the new sources sent their lists: %+v", result)
	}
	writeFile(t, path, `{"endpoints": [{"name": "at-`+first.Addr+`", "address": "`+first.Addr+`"}]}`)
	<-c.Initialized()
	lbtest.Until(t, "one member is published from the new file", func() bool { return len(c.Members()) == 1 })
	if result := get(t, c, "after"); result.Response == nil || conns.Load() != 1 {
		t.Errorf("after the update: %+v, %d connections, want a response over 1", result, conns.Load())
	}
	other := next
	other.IdleTimeout++
	if c.CanUpdate(other) {
		t.Error("CanUpdate is true for a change of Core")
	}
	c.Close()
	if result := get(t, c, "closed"); !result.Rejected {
		t.Errorf("closed cluster did not reject a request: %+v", result)
	}
}

// Guards against queuing requests over the bound on requests in flight. They have to be rejected at once, with a Retry-After.
func TestRequestOverInFlightBoundIsRejected(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	c := startCluster(t, Config{Name: "c", MaxFraction: 1.0 / 64, Sources: []Source{staticSource(e.Addr)}})
	first := make(chan engine.Result, 1)
	go func() { first <- get(t, c, "first") }()
	arrival := <-e.Arrivals
	if result := get(t, c, "second"); !result.Rejected || result.RetryAfter == 0 || result.MayHaveRun {
		t.Errorf("request over the bound not rejected with a Retry-After: %+v", result)
	}
	arrival.OK()
	if result := <-first; result.Response == nil {
		t.Errorf("no response to the request within the bound: %+v", result)
	}
	lbtest.Until(t, "the request allocation is released", func() bool { return c.requests.Used() == 0 })
}
