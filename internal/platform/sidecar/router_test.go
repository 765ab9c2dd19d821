package sidecar

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// TestRetriesStayInTheirZone has clients retry a key under another request ID after a lost response: the retries go to the zone
// that may have run the first attempt only. If that zone has been removed they fail, and other keys are served.
func TestRetriesStayInTheirZone(t *testing.T) {
	t.Parallel()
	c, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	h, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Watch: func() {},
		Client: upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64}), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	zones := map[string]map[string]bool{} // by key
	first := map[string]int{}             // the endpoint
	var list []endpointlist.Endpoint
	for i, zone := range []string{"a", "a", "b", "b"} {
		e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			key := a.Request.Header.Get("Idempotency-Key")
			mu.Lock()
			fresh := zones[key] == nil
			if fresh {
				zones[key], first[key] = map[string]bool{}, i
			}
			zones[key][zone] = true
			mu.Unlock()
			if fresh && key[0] == 'l' { // its answer is lost
				a.Close()
				return
			}
			a.OK()
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: e.Addr, Zone: zone, Group: i, Status: "ready"})
	}
	h.UpdateEndpoints(lbpolicy.Full, list)
	l := lbtest.Listen(t)
	server := frontend.New(NewRouter(c, h, &counters.Set{}, 1<<20), l, admission.SingleGroup(64), log.New(io.Discard, "", 0))
	go server.Serve()
	t.Cleanup(func() { server.Close() })
	drain := func(which int) {
		now := slices.Clone(list)
		now[which].Status = "draining"
		h.UpdateEndpoints(lbpolicy.Full, now)
	}
	ask := func(id, key string) int {
		t.Helper()
		caller := lbtest.Dial(t, l.Addr().String())
		defer caller.Close()
		caller.Send(lbtest.Head("POST", "write", id, "Idempotency-Key: "+key, "Content-Length: 0"))
		status, _ := caller.Response()
		return status
	}
	for i := range 40 {
		key := fmt.Sprint("lost-", i)
		for try := range 3 {
			if try == 1 { // its endpoint drains: another one of its zone is there
				mu.Lock()
				was := first[key]
				mu.Unlock()
				drain(was)
			}
			// The first may have used up the budget for further attempts.
			if status := ask(fmt.Sprint(key, "-", try), key); status != 200 && (try > 0 || status != 502) {
				t.Errorf("%s, try %d: %d", key, try, status)
			}
		}
	}
	mu.Lock()
	for key, in := range zones {
		if len(in) != 1 {
			t.Errorf("%s came to %v", key, in)
		}
	}
	gone := zones["lost-0"]
	mu.Unlock()
	for i, e := range list {
		if gone[e.Zone] {
			list[i].Status = "draining"
		}
	}
	h.UpdateEndpoints(lbpolicy.Full, list)
	if status := ask("late", "lost-0"); status != 502 {
		t.Errorf("a repeat whose zone has gone: %d", status)
	}
	if status := ask("other", "other"); status != 200 {
		t.Errorf("another key: %d", status)
	}
}

// TestRetryAfterWithinSettings checks that the sidecar's own rejections tell no longer a Retry-After than clients honour.
func TestRetryAfterWithinSettings(t *testing.T) {
	for name, c := range map[string]struct {
		most, told time.Duration
		want       string // of a reply in place of the front's own; empty: there is none
	}{
		"within":   {2 * time.Second, time.Second, ""},
		"beyond":   {900 * time.Millisecond, time.Second, "0.900"},
		"no bound": {0, time.Second, ""},
	} {
		conf := &config.Config{Policy: lbpolicy.Settings{SendsRetryAfter: true, MaxRetryAfter: c.most, Classes: []lbpolicy.Class{{}}}}
		r := (&exchange{config: conf}).ownReply(engine.Result{Rejected: true, RetryAfter: c.told})
		if (r == nil) != (c.want == "") || r != nil && (r.Status != 503 || r.Header.Get("Retry-After") != c.want) {
			t.Errorf("%s: %+v", name, r)
		}
	}
}
