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

// TestRetriesStayInTheirZone has clients retry an idempotency key under another request ID after a lost response. The retries
// must go only to the zone that may have executed the first attempt. If all endpoints of that zone are draining, the retries
// must fail with 502 and requests with other keys must succeed.
func TestRetriesStayInTheirZone(t *testing.T) {
	t.Parallel()
	c, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	lbEngine, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, PollDiscovery: func() {},
		Client: upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64}), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	zones := map[string]map[string]bool{} // zones that received a request, by key
	first := map[string]int{}             // index of the endpoint that received the first attempt, by key
	var list []endpointlist.Endpoint
	for i, zone := range []string{"a", "a", "b", "b"} {
		endpoint := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) {
			key := arrival.Request.Header.Get("Idempotency-Key")
			mu.Lock()
			isFirst := zones[key] == nil
			if isFirst {
				zones[key], first[key] = map[string]bool{}, i
			}
			zones[key][zone] = true
			mu.Unlock()
			if isFirst && key[0] == 'l' { // the response to the first attempt is lost
				arrival.Close()
				return
			}
			arrival.OK()
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: endpoint.Addr, Zone: zone, Group: i, Status: "ready"})
	}
	lbEngine.UpdateEndpoints(lbpolicy.Full, list)
	listener := lbtest.Listen(t)
	server := frontend.New(NewRouter(c, lbEngine, &counters.Set{}, Budget{HeapBytes: 64 << 20, BodyBytes: 1 << 20}, slog.New(slog.DiscardHandler)), listener, admission.SingleGroup(64), log.New(io.Discard, "", 0))
	go server.Serve()
	t.Cleanup(func() { server.Close() })
	drain := func(index int) {
		updated := slices.Clone(list)
		updated[index].Status = "draining"
		lbEngine.UpdateEndpoints(lbpolicy.Full, updated)
	}
	send := func(id, key string) int {
		t.Helper()
		client := lbtest.Dial(t, listener.Addr().String())
		defer client.Close()
		client.Send(lbtest.Head("POST", "write", id, "Idempotency-Key: "+key, "Content-Length: 0"))
		status, _ := client.Response()
		return status
	}
	for i := range 40 {
		key := fmt.Sprint("lost-", i)
		for retry := range 3 {
			if retry == 1 { // the first endpoint drains, and another endpoint of its zone is ready
				mu.Lock()
				firstEndpoint := first[key]
				mu.Unlock()
				drain(firstEndpoint)
			}
			// The first request may fail with 502 if the budget for further attempts is used up.
			if status := send(fmt.Sprint(key, "-", retry), key); status != 200 && (retry > 0 || status != 502) {
				t.Errorf("key %s, retry %d: got status %d, want 200", key, retry, status)
			}
		}
	}
	mu.Lock()
	for key, received := range zones {
		if len(received) != 1 {
			t.Errorf("key %s reached zones %v, want one zone", key, received)
		}
	}
	drained := zones["lost-0"]
	mu.Unlock()
	for i, e := range list {
		if drained[e.Zone] {
			list[i].Status = "draining"
		}
	}
	lbEngine.UpdateEndpoints(lbpolicy.Full, list)
	if status := send("late", "lost-0"); status != 502 {
		t.Errorf("retry whose zone is draining: got status %d, want 502", status)
	}
	if status := send("other", "other"); status != 200 {
		t.Errorf("request with another key: got status %d, want 200", status)
	}
}

// TestRetryAfterIsCappedAtMaximum checks that the Retry-After of a rejection does not exceed the maximum that clients honour.
func TestRetryAfterIsCappedAtMaximum(t *testing.T) {
	for name, c := range map[string]struct {
		maximum, requested time.Duration
		want               string // Retry-After of the sidecar's own reply, or empty if the engine's result is the reply
	}{
		"within":   {2 * time.Second, time.Second, ""},
		"beyond":   {900 * time.Millisecond, time.Second, "0.900"},
		"no bound": {0, time.Second, ""},
	} {
		conf := &config.Config{Policy: lbpolicy.Settings{SendsRetryAfter: true, MaxRetryAfter: c.maximum, Classes: []lbpolicy.Class{{}}}}
		reply := (&exchange{config: conf}).ownReply(engine.Result{Rejected: true, RetryAfter: c.requested})
		if (reply == nil) != (c.want == "") || reply != nil && (reply.Status != 503 || reply.Header.Get("Retry-After") != c.want) {
			t.Errorf("%s: unexpected reply %+v", name, reply)
		}
	}
}
