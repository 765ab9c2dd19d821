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

// Whatever is heard, served, refused and lost: no closed sala gets anything, a draining one only what must go there, none
// more than its window, whose order is that of the worths, none that a request has been to, and what is in flight is
// counted.
func TestPickKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		table := New([]float64{1, 3, 10}, names)
		now := t0
		states, linked := map[string]State{}, map[string]bool{}
		out := map[string][]float64{} // worths in flight
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "sala")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				states[name] = rapid.SampledFrom([]State{Unavailable, Draining, Shedding, Available, Available, Available}).Draw(t, "state")
				linked[name] = true
				table.UpdateState(name, states[name], time.Duration(rapid.IntRange(1, 60).Draw(t, "trip"))*time.Millisecond)
			case 1:
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					linked[name] = false
					table.MarkDisconnected(name)
				}
			case 2:
				if n := len(out[name]); n > 0 {
					worth := out[name][n-1]
					out[name] = out[name][:n-1]
					table.RecordResult(now, name, worth, Result(rapid.IntRange(0, 4).Draw(t, "result")), time.Duration(rapid.IntRange(0, 300).Draw(t, "back"))*time.Millisecond)
				}
			default:
				r := Request{PriorityWeight: rapid.SampledFrom([]float64{1, 3, 10, 5}).Draw(t, "worth"), TimeLeft: time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond,
					AllowedSites: names, ExcludedSites: rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "been")}
				if rapid.IntRange(0, 4).Draw(t, "held") == 0 {
					r.OwnerSite = rapid.SampledFrom(names).Draw(t, "holder")
				}
				to, _, ok := table.Pick(now, r)
				if !ok {
					continue
				}
				s := table.sites[to]
				switch {
				case !linked[to] || states[to] == Unavailable:
					t.Fatalf("%s is closed", to)
				case states[to] == Draining && r.OwnerSite == "":
					t.Fatalf("%s drains", to)
				case slices.Contains(r.ExcludedSites, to) || r.OwnerSite != "" && to != r.OwnerSite:
					t.Fatalf("%s may not have it: %+v", to, r)
				case r.TimeLeft < s.RoundTrip:
					t.Fatalf("%v left for a trip of %v", r.TimeLeft, s.RoundTrip)
				}
				out[to] = append(out[to], r.PriorityWeight)
				if n := float64(len(out[to])); n-1 >= s.limits[table.weightIndex(r.PriorityWeight)].limit {
					t.Fatalf("%d in flight, worth %v, of %+v", len(out[to]), r.PriorityWeight, s.limits)
				}
			}
			for _, s := range table.Sites() {
				ranks := table.sites[s.Name].limits
				if s.InFlight != len(out[s.Name]) || ranks[0].limit < minLimit || s.ConcurrencyLimit > maxLimit {
					t.Fatalf("%+v, %d in flight", s, len(out[s.Name]))
				}
				if !slices.IsSortedFunc(ranks, func(a, b weightLimit) int { return cmp.Compare(a.limit, b.limit) }) {
					t.Fatalf("not in the order of worths: %+v", ranks)
				}
			}
		}
	})
}

// A sala that can carry so many takes over within a few round trips, is not pushed far over, and is given back gradually;
// one that comes back begins small again; the last one chosen keeps its place.
func TestSpillsGradually(t *testing.T) {
	table := New([]float64{1, 10}, []string{"b", "c"})
	table.UpdateState("b", Available, time.Millisecond)
	now := t0
	const room = 60
	peak, rounds := 0, 0
	for ; rounds < 40; rounds++ { // each round all that may cross does, the sala serves its room of it
		sent := 0
		for range 200 {
			if _, _, ok := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"b"}}); ok {
				sent++
			}
		}
		peak = max(peak, sent)
		now = now.Add(60 * time.Millisecond)
		for i := range sent {
			is := Served
			if i >= room {
				is = Rejected
			}
			table.RecordResult(now, "b", 10, is, time.Millisecond)
		}
		now = now.Add(60 * time.Millisecond)
		if rounds == 0 && sent > int(initialLimit) {
			t.Fatalf("%d at once", sent)
		}
		if rounds == 5 && sent < room/2 {
			t.Errorf("only %d after five rounds", sent)
		}
	}
	if peak > 2*room+8 {
		t.Errorf("a sala with room for %d got %d", room, peak)
	}
	if w := table.sites["b"].highestLimit(); w < room/2 || w > 1.5*room {
		t.Errorf("settled at %.0f", w)
	}
	table.MarkDisconnected("b")
	table.UpdateState("b", Available, time.Millisecond)
	if w := table.sites["b"].highestLimit(); w != initialLimit {
		t.Errorf("back with a window of %.0f", w)
	}
	table.UpdateState("c", Available, time.Millisecond)
	first, _, _ := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"b", "c"}})
	table.RecordResult(now, first, 10, Served, 0)
	if again, _, _ := table.Pick(now, Request{PriorityWeight: 10, TimeLeft: time.Second, AllowedSites: []string{"c", "b"}}); again != first {
		t.Errorf("%s after %s", again, first)
	}
}

// A refusal holds off what is of less or equal worth, for as long as it says.
func TestRefusalHoldsOffLowWorth(t *testing.T) {
	table := New([]float64{1, 3, 10}, []string{"b"})
	table.UpdateState("b", Available, time.Millisecond)
	pick := func(at time.Time, worth float64) (time.Duration, bool) {
		_, back, ok := table.Pick(at, Request{PriorityWeight: worth, TimeLeft: time.Second, AllowedSites: []string{"b"}})
		if ok {
			table.RecordResult(at, "b", worth, Abandoned, 0)
		}
		return back, ok
	}
	table.Pick(t0, Request{PriorityWeight: 3, TimeLeft: time.Second, AllowedSites: []string{"b"}})
	table.RecordResult(t0, "b", 3, Rejected, 80*time.Millisecond)
	for worth, want := range map[float64]bool{1: false, 3: false, 10: true} {
		if back, ok := pick(t0.Add(20*time.Millisecond), worth); ok != want || !ok && back != 60*time.Millisecond {
			t.Errorf("worth %v: %v, back in %v", worth, ok, back)
		}
		if _, ok := pick(t0.Add(80*time.Millisecond), worth); !ok {
			t.Errorf("worth %v after the time told", worth)
		}
	}
}

// Where one request may go, from all that is known of it.
func TestWay(t *testing.T) {
	past := func(cluster string) idempotency.KeyState {
		return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: cluster}}
	}
	later := t0.Add(time.Second)
	for name, c := range map[string]struct {
		way    Route
		so     Progress
		ok     bool
		only   string
		reason accounting.Reason
	}{
		"safe":                       {way: Route{Effect: lbpolicy.Idempotent}, so: Progress{MayHaveRun: true}, ok: true, reason: accounting.Failed},
		"refused":                    {way: Route{Effect: lbpolicy.Idempotent}, so: Progress{Rejected: true}, ok: true, reason: accounting.Shed},
		"from a third sala":          {way: Route{Effect: lbpolicy.Idempotent, VisitedSites: []string{"z"}}, so: Progress{Transit: true}, ok: true, reason: accounting.Transit},
		"unsafe that may have run":   {way: Route{Effect: lbpolicy.NonIdempotent}, so: Progress{MayHaveRun: true}},
		"unsafe that never ran":      {way: Route{Effect: lbpolicy.NonIdempotent}, ok: true, reason: accounting.Failed},
		"keyed and free":             {way: Route{Effect: lbpolicy.KeyedIdempotent}, ok: true, reason: accounting.Failed},
		"keyed, may have run":        {way: Route{Effect: lbpolicy.KeyedIdempotent}, so: Progress{MayHaveRun: true}},
		"held there":                 {way: Route{Effect: lbpolicy.KeyedIdempotent}, so: Progress{MayHaveRun: true, OwnerSite: "b"}, ok: true, only: "b", reason: accounting.KeyOwned},
		"held here":                  {way: Route{Effect: lbpolicy.KeyedIdempotent}, so: Progress{OwnerSite: "a"}},
		"held in several":            {way: Route{Effect: lbpolicy.KeyedIdempotent}, so: Progress{OwnerSite: NoSite}},
		"held where it comes from":   {way: Route{Effect: lbpolicy.KeyedIdempotent, VisitedSites: []string{"b"}}, so: Progress{OwnerSite: "b"}},
		"held where it may not go":   {way: Route{Effect: lbpolicy.KeyedIdempotent}, so: Progress{OwnerSite: "x"}},
		"no attempts left":           {way: Route{Effect: lbpolicy.Idempotent, MaxAttempts: 2}, so: Progress{NewAttempts: 2}},
		"no time left":               {way: Route{Effect: lbpolicy.Idempotent}, so: Progress{Now: later}},
		"held there, asked twice":    {way: Route{Effect: lbpolicy.KeyedIdempotent, forwards: map[string]int{"b": 2}}, so: Progress{OwnerSite: "b"}},
		"held there, its answer was": {way: Route{Effect: lbpolicy.KeyedIdempotent, forwards: map[string]int{"b": 1}}, so: Progress{OwnerSite: "b"}, ok: true, only: "b", reason: accounting.KeyOwned},
	} {
		c.way.LocalSite, c.way.AllowedSites = "a", []string{"b", "c"}
		if c.so.Now.IsZero() {
			c.so.Now = t0
		}
		c.so.Deadline = later
		r, why, ok := c.way.Next(c.so)
		if ok != c.ok || ok && (r.OwnerSite != c.only || why != c.reason || !slices.Contains(r.ExcludedSites, "a")) {
			t.Errorf("%s: %+v %v %v", name, r, why, ok)
		}
	}
	w := Route{LocalSite: "a", Effect: lbpolicy.Idempotent, AllowedSites: []string{"b", "c"}}
	w.MarkForwarded("b")
	if r, _, _ := w.Next(Progress{Now: t0, Deadline: later}); !slices.Contains(r.ExcludedSites, "b") {
		t.Error("to one sala twice")
	}
	if h := OwnerSite(past("b/c"), idempotency.KeyState{}, past("b/")); h != "b" {
		t.Error(h)
	}
	if h := OwnerSite(past("b/c"), past("c/c")); h != NoSite {
		t.Error(h)
	}
}

// What is left of a request's time never grows, whatever the clocks read, and shrinks by what a message has waited.
func TestTransit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m DelayEstimator
		apart := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "clocks apart"))
		sent, least := time.Duration(0), time.Duration(1<<62)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			sent += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "since"))
			under := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "under way"))
			late := m.QueueingDelay(sent, sent+under+apart)
			told := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "told"))
			if left := TimeLeftOnArrival(told, 0, late); left > told || late < 0 || late > under {
				t.Fatalf("%v of %v left, late by %v of %v", left, told, late, under)
			}
			if least = min(least, under); sent+under < delayWindow && late != under-least {
				t.Fatalf("late by %v, not %v", late, under-least)
			}
		}
	})
}
