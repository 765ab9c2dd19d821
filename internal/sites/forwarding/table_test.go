package forwarding

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/lbpolicy"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestPickRespectsStatesLimitsAndExclusions changes states, connections and results at random, and checks after each step:
//
//   - An unavailable site gets no requests. A draining site gets only requests whose idempotency key it owns.
//   - No site gets more requests than its limit for the priority weight, or a request that excludes it.
//   - A higher weight never has a lower limit.
//   - The table counts the requests in flight correctly.
func TestPickRespectsStatesLimitsAndExclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		table := New([]float64{1, 3, 10}, names)
		now := t0
		states, connected := map[string]State{}, map[string]bool{}
		inFlight := map[string][]float64{} // priority weights of the requests in flight, by site
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "site")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				states[name] = rapid.SampledFrom([]State{Unavailable, Draining, Shedding, Available, Available, Available}).Draw(t, "state")
				connected[name] = true
				table.UpdateState(name, states[name], time.Duration(rapid.IntRange(1, 60).Draw(t, "round trip"))*time.Millisecond)
			case 1:
				if rapid.IntRange(0, 3).Draw(t, "disconnected") == 0 {
					connected[name] = false
					table.MarkDisconnected(name)
				}
			case 2:
				if n := len(inFlight[name]); n > 0 {
					weight := inFlight[name][n-1]
					inFlight[name] = inFlight[name][:n-1]
					table.RecordResult(now, name, weight, Result(rapid.IntRange(0, 4).Draw(t, "result")), time.Duration(rapid.IntRange(0, 300).Draw(t, "retry after"))*time.Millisecond)
				}
			default:
				r := Request{PriorityWeight: rapid.SampledFrom([]float64{1, 3, 10, 5}).Draw(t, "weight"), TimeLeft: time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond,
					AllowedSites: names, ExcludedSites: rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "excluded")}
				if rapid.IntRange(0, 4).Draw(t, "has owner") == 0 {
					r.OwnerSite = rapid.SampledFrom(names).Draw(t, "owner")
				}
				to, _, ok := table.Pick(now, r)
				if !ok {
					continue
				}
				s := table.sites[to]
				switch {
				case !connected[to] || states[to] == Unavailable:
					t.Fatalf("picked site %s, which is unavailable", to)
				case states[to] == Draining && r.OwnerSite == "":
					t.Fatalf("picked site %s, which is draining, for a request without an owner", to)
				case slices.Contains(r.ExcludedSites, to) || r.OwnerSite != "" && to != r.OwnerSite:
					t.Fatalf("picked site %s, which is excluded or not the owner: %+v", to, r)
				case r.TimeLeft < s.RoundTrip:
					t.Fatalf("forwarded with %v left, less than the round trip of %v", r.TimeLeft, s.RoundTrip)
				}
				inFlight[to] = append(inFlight[to], r.PriorityWeight)
				if n := float64(len(inFlight[to])); n-1 >= s.limits[table.weightIndex(r.PriorityWeight)].limit {
					t.Fatalf("%d requests in flight after one of weight %v was picked, above its limit of %+v", len(inFlight[to]), r.PriorityWeight, s.limits)
				}
			}
			for _, s := range table.Sites() {
				limits := table.sites[s.Name].limits
				if s.InFlight != len(inFlight[s.Name]) || limits[0].limit < minLimit || s.ConcurrencyLimit > maxLimit {
					t.Fatalf("status or limits out of bounds: %+v, want %d requests in flight", s, len(inFlight[s.Name]))
				}
				if !slices.IsSortedFunc(limits, func(a, b weightLimit) int { return cmp.Compare(a.limit, b.limit) }) {
					t.Fatalf("limits are not in the order of the weights: %+v", limits)
				}
			}
		}
	})
}

// TestLimitGrowsToCapacityWithoutOverload forwards all that is admitted to a site of limited capacity. The site must take
// over within a few round trips and get little more than its capacity. After a reconnection the limit must be the initial
// one again. Of two sites, the one chosen last must be chosen again.
func TestLimitGrowsToCapacityWithoutOverload(t *testing.T) {
	table := New([]float64{1, 10}, []string{"b", "c"})
	table.UpdateState("b", Available, time.Millisecond)
	now := t0
	const capacity = 60
	peak, rounds := 0, 0
	for ; rounds < 40; rounds++ { // in each round all admitted requests are forwarded, and the site serves as many as its capacity
		sent := 0
		for range 200 {
			if _, _, ok := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"b"}}); ok {
				sent++
			}
		}
		peak = max(peak, sent)
		now = now.Add(60 * time.Millisecond)
		for i := range sent {
			result := Served
			if i >= capacity {
				result = Rejected
			}
			table.RecordResult(now, "b", 10, result, time.Millisecond)
		}
		now = now.Add(60 * time.Millisecond)
		if rounds == 0 && sent > int(initialLimit) {
			t.Fatalf("%d requests forwarded in the first round, above the initial limit", sent)
		}
		if rounds == 5 && sent < capacity/2 {
			t.Errorf("only %d requests forwarded after five rounds", sent)
		}
	}
	if peak > 2*capacity+8 {
		t.Errorf("a site with a capacity of %d requests got %d at once", capacity, peak)
	}
	if limit := table.sites["b"].highestLimit(); limit < capacity/2 || limit > 1.5*capacity {
		t.Errorf("limit after all rounds is %.0f, want it near the capacity", limit)
	}
	table.MarkDisconnected("b")
	table.UpdateState("b", Available, time.Millisecond)
	if limit := table.sites["b"].highestLimit(); limit != initialLimit {
		t.Errorf("limit after a reconnection is %.0f, want the initial limit", limit)
	}
	table.UpdateState("c", Available, time.Millisecond)
	first, _, _ := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"b", "c"}})
	table.RecordResult(now, first, 10, Served, 0)
	if again, _, _ := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"c", "b"}}); again != first {
		t.Errorf("picked %s after %s, want the same site again", again, first)
	}
}

// TestRejectionBacksOffLowWeights rejects a request. Its weight and all lower ones must back off for the retry delay of the
// rejection, and a higher weight must not.
func TestRejectionBacksOffLowWeights(t *testing.T) {
	table := New([]float64{1, 3, 10}, []string{"b"})
	table.UpdateState("b", Available, time.Millisecond)
	pick := func(at time.Time, weight float64) (time.Duration, bool) {
		_, retryAfter, ok := table.Pick(at, Request{PriorityWeight: weight, TimeLeft: time.Second, AllowedSites: []string{"b"}})
		if ok {
			table.RecordResult(at, "b", weight, Abandoned, 0)
		}
		return retryAfter, ok
	}
	table.Pick(t0, Request{PriorityWeight: 3, TimeLeft: time.Second, AllowedSites: []string{"b"}})
	table.RecordResult(t0, "b", 3, Rejected, 80*time.Millisecond)
	for weight, want := range map[float64]bool{1: false, 3: false, 10: true} {
		if retryAfter, ok := pick(t0.Add(20*time.Millisecond), weight); ok != want || !ok && retryAfter != 60*time.Millisecond {
			t.Errorf("during the backoff, weight %v: admitted %v, retry after %v", weight, ok, retryAfter)
		}
		if _, ok := pick(t0.Add(80*time.Millisecond), weight); !ok {
			t.Errorf("weight %v is not admitted after the backoff", weight)
		}
	}
}

// TestNextForwardsOnlySafeRequests asks for the next site of requests with different effects, progress and owners. A request
// must be forwarded only where it cannot run twice, and for the right reason. OwnerSite must return AmbiguousOwner if the
// key states name several sites.
func TestNextForwardsOnlySafeRequests(t *testing.T) {
	state := func(cluster string) idempotency.KeyState {
		return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: cluster}}
	}
	later := t0.Add(time.Second)
	for name, c := range map[string]struct {
		route  Route
		p      Progress
		ok     bool
		owner  string
		reason accounting.Reason
	}{
		"idempotent":                         {route: Route{Effect: lbpolicy.Idempotent}, p: Progress{MayHaveRun: true}, ok: true, reason: accounting.Failed},
		"rejected":                           {route: Route{Effect: lbpolicy.Idempotent}, p: Progress{Rejected: true}, ok: true, reason: accounting.Shed},
		"from a third site":                  {route: Route{Effect: lbpolicy.Idempotent, VisitedSites: []string{"z"}}, p: Progress{Transit: true}, ok: true, reason: accounting.Transit},
		"not idempotent, may have run":       {route: Route{Effect: lbpolicy.NonIdempotent}, p: Progress{MayHaveRun: true}},
		"not idempotent, never ran":          {route: Route{Effect: lbpolicy.NonIdempotent}, ok: true, reason: accounting.Failed},
		"key without an owner":               {route: Route{Effect: lbpolicy.KeyedIdempotent}, ok: true, reason: accounting.Failed},
		"key without an owner, may have run": {route: Route{Effect: lbpolicy.KeyedIdempotent}, p: Progress{MayHaveRun: true}},
		"owner allowed":                      {route: Route{Effect: lbpolicy.KeyedIdempotent}, p: Progress{MayHaveRun: true, OwnerSite: "b"}, ok: true, owner: "b", reason: accounting.KeyOwned},
		"owner is the local site":            {route: Route{Effect: lbpolicy.KeyedIdempotent}, p: Progress{OwnerSite: "a"}},
		"several owners":                     {route: Route{Effect: lbpolicy.KeyedIdempotent}, p: Progress{OwnerSite: AmbiguousOwner}},
		"owner visited":                      {route: Route{Effect: lbpolicy.KeyedIdempotent, VisitedSites: []string{"b"}}, p: Progress{OwnerSite: "b"}},
		"owner not allowed":                  {route: Route{Effect: lbpolicy.KeyedIdempotent}, p: Progress{OwnerSite: "x"}},
		"no attempts left":                   {route: Route{Effect: lbpolicy.Idempotent, MaxAttempts: 2}, p: Progress{NewAttempts: 2}},
		"no time left":                       {route: Route{Effect: lbpolicy.Idempotent}, p: Progress{Now: later}},
		"owner, response lost twice":         {route: Route{Effect: lbpolicy.KeyedIdempotent, forwards: map[string]int{"b": 2}}, p: Progress{OwnerSite: "b"}},
		"owner, response lost once":          {route: Route{Effect: lbpolicy.KeyedIdempotent, forwards: map[string]int{"b": 1}}, p: Progress{OwnerSite: "b"}, ok: true, owner: "b", reason: accounting.KeyOwned},
	} {
		c.route.LocalSite, c.route.AllowedSites = "a", []string{"b", "c"}
		if c.p.Now.IsZero() {
			c.p.Now = t0
		}
		c.p.Deadline = later
		r, reason, ok := c.route.Next(c.p)
		if ok != c.ok || ok && (r.OwnerSite != c.owner || reason != c.reason || !slices.Contains(r.ExcludedSites, "a")) {
			t.Errorf("%s: next request %+v, reason %v, ok %v", name, r, reason, ok)
		}
	}
	route := Route{LocalSite: "a", Effect: lbpolicy.Idempotent, AllowedSites: []string{"b", "c"}}
	route.MarkForwarded("b")
	if r, _, _ := route.Next(Progress{Now: t0, Deadline: later}); !slices.Contains(r.ExcludedSites, "b") {
		t.Error("a site that the request was forwarded to is not excluded")
	}
	if owner := OwnerSite(state("b/c"), idempotency.KeyState{}, state("b/")); owner != "b" {
		t.Error(owner)
	}
	if owner := OwnerSite(state("b/c"), state("c/c")); owner != AmbiguousOwner {
		t.Error(owner)
	}
}

// TestQueueingDelayIsIndependentOfClockOffset sends messages between clocks with a random offset. The time left must never
// grow. Within the first window the queueing delay must be the transit time above the shortest one.
func TestQueueingDelayIsIndependentOfClockOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e DelayEstimator
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "clock offset"))
		sent, shortest := time.Duration(0), time.Duration(1<<62)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			sent += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "interval"))
			transit := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "transit"))
			late := e.QueueingDelay(sent, sent+transit+offset)
			timeLeft := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "time left"))
			if left := TimeLeftOnArrival(timeLeft, 0, late); left > timeLeft || late < 0 || late > transit {
				t.Fatalf("time left %v of %v, queueing delay %v of a transit time of %v", left, timeLeft, late, transit)
			}
			if shortest = min(shortest, transit); sent+transit < delayWindow && late != transit-shortest {
				t.Fatalf("queueing delay is %v, want %v", late, transit-shortest)
			}
		}
	})
}
