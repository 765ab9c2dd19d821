package lbpolicy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// measureShares sends requests at an interval, each answered after the latency given for its server, and returns each server's share.
func measureShares(t *testing.T, b *Balancer, h *recorder, requests int, interval time.Duration, latencies map[ServerID]time.Duration) map[ServerID]float64 {
	t.Helper()
	type inFlightRequest struct {
		id        RequestID
		server    ServerID
		answersAt time.Duration
	}
	var inFlight []inFlightRequest
	shares := map[ServerID]float64{}
	now := time.Second
	for i := range requests {
		now += interval
		inFlight = slices.DeleteFunc(inFlight, func(o inFlightRequest) bool {
			if o.answersAt <= now {
				b.Outcome(now, Outcome{ID: o.id, Server: o.server, Verdict: OK, Latency: latencies[o.server], Final: true})
			}
			return o.answersAt <= now
		})
		id := RequestID(i + 1)
		h.sends = nil
		b.Request(now, Request{ID: id, TimeLeft: 10 * time.Second, Tenant: -1})
		if len(h.sends) != 1 {
			t.Fatalf("request %d: sent to %v, want one server", i, h.sends)
		}
		shares[h.sends[0]] += 1 / float64(requests)
		inFlight = append(inFlight, inFlightRequest{id, h.sends[0], now + latencies[h.sends[0]]})
	}
	return shares
}

func newWeightedBalancer(t *testing.T, weights ...float64) (*Balancer, *recorder, map[ServerID]time.Duration) {
	t.Helper()
	h := &recorder{}
	b, err := New(Settings{Balancers: 1, Classes: []Class{{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}, MaxAttempts: 1}, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	latencies := map[ServerID]time.Duration{}
	var list []Server
	for i, weight := range weights {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: weight})
		latencies[ServerID(i+1)] = 10 * time.Millisecond
	}
	b.UpdateEndpoints(time.Second, Full, list)
	return b, h, latencies
}

// Servers of the same speed get traffic in proportion to their weights, with few requests in flight and with many. A slow server
// gets less than its weight.
func TestTrafficFollowsWeights(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, time.Millisecond, 200 * time.Microsecond} {
		b, h, latencies := newWeightedBalancer(t, 1, 0.5, 0.25, 0.25)
		got := measureShares(t, b, h, 8000, interval, latencies)
		for id, want := range map[ServerID]float64{1: 0.5, 2: 0.25, 3: 0.125, 4: 0.125} {
			if math.Abs(got[id]-want) > 0.3*want {
				t.Errorf("a request every %v: server %d got %.3f of the requests, want about %.3f by its weight", interval, id, got[id], want)
			}
		}
	}
	b, h, latencies := newWeightedBalancer(t, 1, 0.5)
	latencies[1] = 100 * time.Millisecond
	if got := measureShares(t, b, h, 4000, time.Millisecond, latencies); got[1] > 0.4 {
		t.Errorf("a server ten times as slow got %.2f of the requests, want at most 0.4", got[1])
	}
}

// The drop fraction, which applies whatever the load, is taken from the lowest level first.
func TestDropFractionShedsLowestLevelFirst(t *testing.T) {
	h := &recorder{}
	b, err := New(Settings{Balancers: 1, MaxAttempts: 1, Classes: []Class{{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1},
		{LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 9}}}, 3, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(time.Second, Full, []Server{{ID: 1, State: Ready}})
	now, arrived, rejected := time.Second, [2]float64{}, [2]float64{}
	run := func(fraction float64) (low, high float64) {
		b.SetDropFraction(now, fraction)
		for range 2 { // the first run lets the balancer measure the rates
			rejected, arrived = [2]float64{}, [2]float64{}
			for i := range 8000 {
				now += 2 * time.Millisecond
				class := i % 4 / 3 // a quarter is of the higher weight
				arrived[class]++
				h.actions = nil
				id := RequestID(now)
				b.Request(now, Request{ID: id, Class: class, TimeLeft: 10 * time.Second, Tenant: -1})
				b.Outcome(now, Outcome{ID: id, Server: 1, Verdict: OK, Latency: time.Millisecond, Final: true})
				rejected[class] += float64(h.count("refuse"))
			}
		}
		return rejected[0] / arrived[0], rejected[1] / arrived[1]
	}
	for _, c := range []struct{ fraction, low, high float64 }{{0, 0, 0}, {0.3, 0.4, 0}, {0.75, 1, 0}, {0.9, 1, 0.6}, {1, 1, 1}} {
		if low, high := run(c.fraction); math.Abs(low-c.low) > 0.06 || math.Abs(high-c.high) > 0.06 {
			t.Errorf("drop fraction %.2f: rejected %.2f of the low and %.2f of the high weight, want %.2f and %.2f", c.fraction, low, high, c.low, c.high)
		}
	}
}
