package lbpolicy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// measureShares sends calls at intervals, each answered in the time given for its server, and returns what part each got.
func measureShares(t *testing.T, b *Balancer, h *recorder, n int, each time.Duration, lat map[ServerID]time.Duration) map[ServerID]float64 {
	t.Helper()
	type out struct {
		id RequestID
		s  ServerID
		at time.Duration
	}
	var flying []out
	got := map[ServerID]float64{}
	now := time.Second
	for i := range n {
		now += each
		flying = slices.DeleteFunc(flying, func(o out) bool {
			if o.at <= now {
				b.Outcome(now, Outcome{ID: o.id, Server: o.s, Verdict: OK, Latency: lat[o.s], Final: true})
			}
			return o.at <= now
		})
		id := RequestID(i + 1)
		h.sends = nil
		b.Request(now, Request{ID: id, TimeLeft: 10 * time.Second, Tenant: -1})
		if len(h.sends) != 1 {
			t.Fatalf("call %d: sent %v", i, h.sends)
		}
		got[h.sends[0]] += 1 / float64(n)
		flying = append(flying, out{id, h.sends[0], now + lat[h.sends[0]]})
	}
	return got
}

func newWeightedBalancer(t *testing.T, weights ...float64) (*Balancer, *recorder, map[ServerID]time.Duration) {
	t.Helper()
	h := &recorder{}
	b, err := New(Settings{Balancers: 1, Classes: []Class{{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}, MaxAttempts: 1}, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	lat := map[ServerID]time.Duration{}
	var list []Server
	for i, w := range weights {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: w})
		lat[ServerID(i+1)] = 10 * time.Millisecond
	}
	b.UpdateEndpoints(time.Second, Full, list)
	return b, h, lat
}

// Servers of like speed get parts as their weights have it, with little in flight and with much; a slow one gets less than
// its weight.
func TestTrafficFollowsWeights(t *testing.T) {
	for _, each := range []time.Duration{20 * time.Millisecond, time.Millisecond, 200 * time.Microsecond} {
		b, h, lat := newWeightedBalancer(t, 1, 0.5, 0.25, 0.25)
		got := measureShares(t, b, h, 8000, each, lat)
		for id, want := range map[ServerID]float64{1: 0.5, 2: 0.25, 3: 0.125, 4: 0.125} {
			if math.Abs(got[id]-want) > 0.3*want {
				t.Errorf("a call every %v: server %d got %.3f, its weight says %.3f", each, id, got[id], want)
			}
		}
	}
	b, h, lat := newWeightedBalancer(t, 1, 0.5)
	lat[1] = 100 * time.Millisecond
	if got := measureShares(t, b, h, 4000, time.Millisecond, lat); got[1] > 0.4 {
		t.Errorf("a server ten times as slow got %.2f for its weight", got[1])
	}
}

// What is to be refused whatever the load is taken from the least worthy.
func TestDropFractionShedsLowestLevelFirst(t *testing.T) {
	h := &recorder{}
	b, err := New(Settings{Balancers: 1, MaxAttempts: 1, Classes: []Class{{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1},
		{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 9}}}, 3, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(time.Second, Full, []Server{{ID: 1, State: Ready}})
	now, came, refused := time.Second, [2]float64{}, [2]float64{}
	run := func(part float64) (low, high float64) {
		b.SetDropFraction(now, part)
		for range 2 { // once for the rates to be learnt
			refused, came = [2]float64{}, [2]float64{}
			for i := range 8000 {
				now += 2 * time.Millisecond
				class := i % 4 / 3 // a quarter is worthy
				came[class]++
				h.actions = nil
				id := RequestID(now)
				b.Request(now, Request{ID: id, Class: class, TimeLeft: 10 * time.Second, Tenant: -1})
				b.Outcome(now, Outcome{ID: id, Server: 1, Verdict: OK, Latency: time.Millisecond, Final: true})
				refused[class] += float64(h.count("refuse"))
			}
		}
		return refused[0] / came[0], refused[1] / came[1]
	}
	for _, c := range []struct{ part, low, high float64 }{{0, 0, 0}, {0.3, 0.4, 0}, {0.75, 1, 0}, {0.9, 1, 0.6}, {1, 1, 1}} {
		if low, high := run(c.part); math.Abs(low-c.low) > 0.06 || math.Abs(high-c.high) > 0.06 {
			t.Errorf("%.2f is to be refused: %.2f of the low and %.2f of the high worth were, want %.2f and %.2f", c.part, low, high, c.low, c.high)
		}
	}
}
