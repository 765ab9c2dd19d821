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

// startCluster runs a cluster with classes of each kind.
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
	cl, err := New(c, NewResources(64, 64, 1<<20), 7, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.Close)
	select {
	case <-cl.Initialized():
	case <-time.After(lbtest.Wait):
		t.Fatal("never settled")
	}
	return cl
}

func get(t *testing.T, c *Cluster, id string) engine.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
	defer cancel()
	a, _ := c.Do(ctx, upstream.Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{"X-Request-Id": {id}}},
		lbpolicy.Request{TimeLeft: lbtest.Wait}, nil)
	return a
}

func staticSource(addrs ...string) Source {
	s := &Static{}
	for _, a := range addrs {
		s.Endpoints = append(s.Endpoints, endpointlist.Endpoint{Name: "at-" + a, Address: a, Zone: "a", Status: ready})
	}
	return Source{Static: s}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// A file that is replaced is followed; one that can't be read, or is broken, takes nothing away; a drain that it tells
// stands against the other sources.
func TestFileAndStatic(t *testing.T) {
	t.Parallel()
	one := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.Write([]byte(lbtest.OK("one"))) })
	two := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.Write([]byte(lbtest.OK("two"))) })
	path := filepath.Join(t.TempDir(), "list.json")
	writeFile(t, path, `{"endpoints": [{"address": "`+two.Addr+`"}]}`)
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{staticSource(one.Addr), {File: &File{Path: path, Poll: time.Millisecond, Zone: "a"}}}})
	if n := len(c.Members()); n != 2 {
		t.Fatalf("%d members", n)
	}
	for _, broken := range []string{`{"endpoints": [{"address": "nowhere"}]}`, `{"endp`, `{}`, `{"endpoints": []}`} {
		writeFile(t, path, broken)
		time.Sleep(20 * time.Millisecond) // more does no harm
		if n := len(c.Members()); n != 2 {
			t.Fatalf("%s: %d members", broken, n)
		}
	}
	os.Remove(path)
	writeFile(t, path, `{"endpoints": [{"address": "`+one.Addr+`", "status": "draining"}, {"address": "`+two.Addr+`"}]}`)
	lbtest.Until(t, "draining", func() bool {
		return slices.ContainsFunc(c.Members(), func(e endpointlist.Endpoint) bool { return e.Status == draining })
	})
	for range 20 {
		if a := get(t, c, "x"); a.Response == nil || string(a.Response.Body) != "two" {
			t.Fatalf("sent to one that drains: %+v", a)
		}
	}
}

func TestParseFile(t *testing.T) {
	for text, want := range map[string]string{
		`{`: "JSON", `{}`: "no \"endpoints\"", `{"endpoints": [{"address": "a:1"}]}`: "endpoints[0]: address",
		`{"endpoints": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:1", "status": "up"}]}`: "endpoints[1]: status",
	} {
		if _, err := ParseFile([]byte(text), "a"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	got, err := ParseFile([]byte(`{"endpoints": [{"address": "127.0.0.1:1", "group": 3, "since_ms": 5}]}`), "a")
	if want := (endpointlist.Endpoint{Address: "127.0.0.1:1", Zone: "a", Group: 3, Status: ready, SinceMS: 5}); err != nil || got[0] != want {
		t.Errorf("%+v, %v", got, err)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"endpoints": [{"address": "127.0.0.1:1", "status": "draining"}]}`))
	f.Add([]byte(`{"endpoints": null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		entries, err := ParseFile(text, "a")
		for _, e := range entries {
			if err != nil || e.Zone == "" || e.Status == "" {
				t.Fatalf("%+v, %v", e, err)
			}
		}
	})
}

// The registry's drains and departures stand against a list in the configuration.
func TestRegistrySource(t *testing.T) {
	t.Parallel()
	one := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	two := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	d := lbtest.NewDiscovery(t, 5, one.Addr, two.Addr)
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{{Registry: &Registry{Address: d.Addr}}, staticSource(one.Addr)}})
	lbtest.Until(t, "both", func() bool { return len(c.Members()) >= 2 })
	d.Set(two.Addr)
	lbtest.Until(t, "one gone", func() bool {
		m := c.Members()
		return len(m) == 1 && m[0].Address == two.Addr
	})
}

// Other sources under a running balancer: what it knows stays until they have spoken, and its connections too.
func TestUpdate(t *testing.T) {
	t.Parallel()
	var conns atomic.Int64
	one := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index == 0 {
			conns.Add(1)
		}
		a.OK()
	})
	c := startCluster(t, Config{Name: "c", EmptyHold: time.Hour, Sources: []Source{staticSource(one.Addr)}})
	get(t, c, "first")
	next := c.config
	path := filepath.Join(t.TempDir(), "list.json") // not there yet
	next.Sources = []Source{{File: &File{Path: path, Poll: time.Millisecond, Zone: "a"}}, staticSource()}
	if !c.CanUpdate(next) {
		t.Fatal("other sources need no other balancer")
	}
	c.Update(next, NewResources(64, 64, 1<<20))
	if a := get(t, c, "between"); a.Response == nil {
		t.Fatalf("between the sources: %+v", a)
	}
	writeFile(t, path, `{"endpoints": [{"name": "at-`+one.Addr+`", "address": "`+one.Addr+`"}]}`)
	<-c.Initialized()
	lbtest.Until(t, "a member", func() bool { return len(c.Members()) == 1 })
	if a := get(t, c, "after"); a.Response == nil || conns.Load() != 1 {
		t.Errorf("after: %+v, %d connections", a, conns.Load())
	}
	other := next
	other.IdleTimeout++
	if c.CanUpdate(other) {
		t.Error("another core fits")
	}
	c.Close()
	if a := get(t, c, "closed"); !a.Rejected {
		t.Errorf("a closed cluster: %+v", a)
	}
}

// Over its bound on calls a cluster refuses at once, and tells when to come back.
func TestBusy(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	c := startCluster(t, Config{Name: "c", MaxFraction: 1.0 / 64, Sources: []Source{staticSource(e.Addr)}})
	first := make(chan engine.Result, 1)
	go func() { first <- get(t, c, "first") }()
	held := <-e.Arrivals
	if a := get(t, c, "second"); !a.Rejected || a.RetryAfter == 0 || a.MayHaveRun {
		t.Errorf("over the bound: %+v", a)
	}
	held.OK()
	if a := <-first; a.Response == nil {
		t.Errorf("the first: %+v", a)
	}
	lbtest.Until(t, "room", func() bool { return c.requests.Used() == 0 })
}
