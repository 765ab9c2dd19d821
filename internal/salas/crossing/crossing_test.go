package crossing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/salas/tally"
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
				states[name] = rapid.SampledFrom([]State{Closed, Draining, Shedding, Open, Open, Open}).Draw(t, "state")
				linked[name] = true
				table.Heard(name, states[name], time.Duration(rapid.IntRange(1, 60).Draw(t, "trip"))*time.Millisecond)
			case 1:
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					linked[name] = false
					table.Lost(name)
				}
			case 2:
				if n := len(out[name]); n > 0 {
					worth := out[name][n-1]
					out[name] = out[name][:n-1]
					table.Ended(now, name, worth, Result(rapid.IntRange(0, 4).Draw(t, "result")), time.Duration(rapid.IntRange(0, 300).Draw(t, "back"))*time.Millisecond)
				}
			default:
				r := Request{Worth: rapid.SampledFrom([]float64{1, 3, 10, 5}).Draw(t, "worth"), Left: time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond,
					May: names, Not: rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "been")}
				if rapid.IntRange(0, 4).Draw(t, "held") == 0 {
					r.Only = rapid.SampledFrom(names).Draw(t, "holder")
				}
				to, _, ok := table.Pick(now, r)
				if !ok {
					continue
				}
				s := table.salas[to]
				switch {
				case !linked[to] || states[to] == Closed:
					t.Fatalf("%s is closed", to)
				case states[to] == Draining && r.Only == "":
					t.Fatalf("%s drains", to)
				case slices.Contains(r.Not, to) || r.Only != "" && to != r.Only:
					t.Fatalf("%s may not have it: %+v", to, r)
				case r.Left < s.Trip:
					t.Fatalf("%v left for a trip of %v", r.Left, s.Trip)
				}
				out[to] = append(out[to], r.Worth)
				if n := float64(len(out[to])); n-1 >= s.ranks[table.rank(r.Worth)].window {
					t.Fatalf("%d in flight, worth %v, of %+v", len(out[to]), r.Worth, s.ranks)
				}
			}
			for _, s := range table.Salas() {
				ranks := table.salas[s.Name].ranks
				if s.InFlight != len(out[s.Name]) || ranks[0].window < leastWindow || s.Window > mostWindow {
					t.Fatalf("%+v, %d in flight", s, len(out[s.Name]))
				}
				if !slices.IsSortedFunc(ranks, func(a, b rank) int { return cmp.Compare(a.window, b.window) }) {
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
	table.Heard("b", Open, time.Millisecond)
	now := t0
	const room = 60
	peak, rounds := 0, 0
	for ; rounds < 40; rounds++ { // each round all that may cross does, the sala serves its room of it
		sent := 0
		for range 200 {
			if _, _, ok := table.Pick(now, Request{Worth: 10, Left: time.Second, May: []string{"b"}}); ok {
				sent++
			}
		}
		peak = max(peak, sent)
		now = now.Add(60 * time.Millisecond)
		for i := range sent {
			is := Served
			if i >= room {
				is = Refused
			}
			table.Ended(now, "b", 10, is, time.Millisecond)
		}
		now = now.Add(60 * time.Millisecond)
		if rounds == 0 && sent > int(firstWindow) {
			t.Fatalf("%d at once", sent)
		}
		if rounds == 5 && sent < room/2 {
			t.Errorf("only %d after five rounds", sent)
		}
	}
	if peak > 2*room+8 {
		t.Errorf("a sala with room for %d got %d", room, peak)
	}
	if w := table.salas["b"].top(); w < room/2 || w > 1.5*room {
		t.Errorf("settled at %.0f", w)
	}
	table.Lost("b")
	table.Heard("b", Open, time.Millisecond)
	if w := table.salas["b"].top(); w != firstWindow {
		t.Errorf("back with a window of %.0f", w)
	}
	table.Heard("c", Open, time.Millisecond)
	first, _, _ := table.Pick(now, Request{Worth: 10, Left: time.Second, May: []string{"b", "c"}})
	table.Ended(now, first, 10, Served, 0)
	if again, _, _ := table.Pick(now, Request{Worth: 10, Left: time.Second, May: []string{"c", "b"}}); again != first {
		t.Errorf("%s after %s", again, first)
	}
}

// A refusal holds off what is of less or equal worth, for as long as it says.
func TestRefusalHoldsOffLowWorth(t *testing.T) {
	table := New([]float64{1, 3, 10}, []string{"b"})
	table.Heard("b", Open, time.Millisecond)
	pick := func(at time.Time, worth float64) (time.Duration, bool) {
		_, back, ok := table.Pick(at, Request{Worth: worth, Left: time.Second, May: []string{"b"}})
		if ok {
			table.Ended(at, "b", worth, GivenUp, 0)
		}
		return back, ok
	}
	table.Pick(t0, Request{Worth: 3, Left: time.Second, May: []string{"b"}})
	table.Ended(t0, "b", 3, Refused, 80*time.Millisecond)
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
		way    Way
		so     So
		ok     bool
		only   string
		reason tally.Reason
	}{
		"safe":                       {way: Way{Effect: lbpolicy.Idempotent}, so: So{MayHaveRun: true}, ok: true, reason: tally.Failed},
		"refused":                    {way: Way{Effect: lbpolicy.Idempotent}, so: So{Refused: true}, ok: true, reason: tally.Shed},
		"from a third sala":          {way: Way{Effect: lbpolicy.Idempotent, Been: []string{"z"}}, so: So{Passing: true}, ok: true, reason: tally.Passing},
		"unsafe that may have run":   {way: Way{Effect: lbpolicy.NonIdempotent}, so: So{MayHaveRun: true}},
		"unsafe that never ran":      {way: Way{Effect: lbpolicy.NonIdempotent}, ok: true, reason: tally.Failed},
		"keyed and free":             {way: Way{Effect: lbpolicy.KeyedIdempotent}, ok: true, reason: tally.Failed},
		"keyed, may have run":        {way: Way{Effect: lbpolicy.KeyedIdempotent}, so: So{MayHaveRun: true}},
		"held there":                 {way: Way{Effect: lbpolicy.KeyedIdempotent}, so: So{MayHaveRun: true, Holder: "b"}, ok: true, only: "b", reason: tally.Held},
		"held here":                  {way: Way{Effect: lbpolicy.KeyedIdempotent}, so: So{Holder: "a"}},
		"held in several":            {way: Way{Effect: lbpolicy.KeyedIdempotent}, so: So{Holder: NoSala}},
		"held where it comes from":   {way: Way{Effect: lbpolicy.KeyedIdempotent, Been: []string{"b"}}, so: So{Holder: "b"}},
		"held where it may not go":   {way: Way{Effect: lbpolicy.KeyedIdempotent}, so: So{Holder: "x"}},
		"no attempts left":           {way: Way{Effect: lbpolicy.Idempotent, Attempts: 2}, so: So{Attempts: 2}},
		"no time left":               {way: Way{Effect: lbpolicy.Idempotent}, so: So{Now: later}},
		"held there, asked twice":    {way: Way{Effect: lbpolicy.KeyedIdempotent, tried: map[string]int{"b": 2}}, so: So{Holder: "b"}},
		"held there, its answer was": {way: Way{Effect: lbpolicy.KeyedIdempotent, tried: map[string]int{"b": 1}}, so: So{Holder: "b"}, ok: true, only: "b", reason: tally.Held},
	} {
		c.way.Here, c.way.May = "a", []string{"b", "c"}
		if c.so.Now.IsZero() {
			c.so.Now = t0
		}
		c.so.Deadline = later
		r, why, ok := c.way.Next(c.so)
		if ok != c.ok || ok && (r.Only != c.only || why != c.reason || !slices.Contains(r.Not, "a")) {
			t.Errorf("%s: %+v %v %v", name, r, why, ok)
		}
	}
	w := Way{Here: "a", Effect: lbpolicy.Idempotent, May: []string{"b", "c"}}
	w.Crossed("b")
	if r, _, _ := w.Next(So{Now: t0, Deadline: later}); !slices.Contains(r.Not, "b") {
		t.Error("to one sala twice")
	}
	if h := Holder(past("b/c"), idempotency.KeyState{}, past("b/")); h != "b" {
		t.Error(h)
	}
	if h := Holder(past("b/c"), past("c/c")); h != NoSala {
		t.Error(h)
	}
}

// What is left of a request's time never grows, whatever the clocks read, and shrinks by what a message has waited.
func TestTransit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Transit
		apart := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "clocks apart"))
		sent, least := time.Duration(0), time.Duration(1<<62)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			sent += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "since"))
			under := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "under way"))
			late := m.Late(sent, sent+under+apart)
			told := time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "told"))
			if left := Arrived(told, 0, late); left > told || late < 0 || late > under {
				t.Fatalf("%v of %v left, late by %v of %v", left, told, late, under)
			}
			if least = min(least, under); sent+under < transitWindow && late != under-least {
				t.Fatalf("late by %v, not %v", late, under-least)
			}
		}
	})
}
