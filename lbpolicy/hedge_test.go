package lbpolicy

import (
	"fmt"
	"testing"
	"time"
)

// A request whose server stops answering, after it has answered another request sent at the same time, is hedged or cancelled before
// its deadline (docs/incidents/stopped-after-an-answer.md).
func TestServerThatStopsAfterAnAnswerIsHedged(t *testing.T) {
	for _, hedges := range []bool{true, false} {
		t.Run(fmt.Sprintf("hedges %t", hedges), func(t *testing.T) {
			settings := testSettings()
			settings.MayHedge = hedges
			b, h := newBalancer(t, settings, readyServers(2)...)
			const requests = 4 // two at each server
			for id := range RequestID(requests) {
				b.Request(sec, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
			}
			first := RequestID(0)
			unanswered := first + 1
			for h.sends[unanswered] != h.sends[first] {
				unanswered++
			}
			for id, server := range h.sends {
				if RequestID(id) != unanswered {
					b.Outcome(sec+ms, Outcome{ID: RequestID(id), Server: server, Verdict: OK, Latency: ms, Final: true})
				}
			}
			for range 3 { // checks; the first one finds the answer to the other request
				b.Timer(h.timers[uint64(unanswered)], uint64(unanswered))
			}
			if hedges && len(h.sends) != requests+1 || !hedges && h.count(fmt.Sprintf("cancel %d 0", unanswered)) == 0 {
				t.Errorf("request neither hedged nor cancelled until %v: actions %v", h.timers[uint64(unanswered)], h.actions)
			}
		})
	}
}

// A server that writes a response slowly is left alone while bytes arrive. Once the response stalls, another server is asked as well, and
// the attempt is never cancelled (docs/incidents/memory-and-slow-peers.md).
func TestSlowResponseIsNotCancelled(t *testing.T) {
	for _, hedges := range []bool{true, false} {
		t.Run(fmt.Sprintf("hedges %t", hedges), func(t *testing.T) {
			settings := testSettings()
			settings.MayHedge = hedges
			b, h := newBalancer(t, settings, readyServers(2)...)
			const id = 1
			b.Request(sec, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
			for _, progress := range []ResponseProgress{ResponseArriving, ResponseArriving, ResponseStalled} {
				if len(h.sends) != 1 {
					t.Fatalf("hedged before the response stalled: %v", h.actions)
				}
				h.responseProgress = progress
				b.Timer(h.timers[id], id)
			}
			if hedged := len(h.sends) == 2; hedged != hedges || h.count("cancel") > 0 {
				t.Errorf("hedged %t: actions %v", hedged, h.actions)
			}
		})
	}
}

// A balancer that restores a snapshot hedges a request no sooner than its predecessor, as does one that starts without the snapshot.
func TestSnapshotKeepsHedgeDelay(t *testing.T) {
	for _, answers := range []int{1, 4, 40} {
		for _, idle := range []time.Duration{0, sec, 8 * sec} {
			t.Run(fmt.Sprintf("%d answers, %v idle", answers, idle), func(t *testing.T) {
				before, host := newBalancer(t, testSettings(), readyServers(2)...)
				now := 2 * sec
				for id := range RequestID(answers) {
					before.Request(now, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
					before.Outcome(now+ms, Outcome{ID: id, Server: host.sends[id], Verdict: OK, Latency: ms, Final: true})
					now += 50 * ms
				}
				snapshot := before.Snapshot(now)
				delays := map[string]time.Duration{}
				for name, restores := range map[string]bool{"after a hand-over": true, "without state": false} {
					next, nextHost := newBalancer(t, testSettings(), readyServers(2)...)
					if restores {
						next.Restore(now, snapshot)
					}
					delays[name] = hedgeDelay(next, nextHost, now, idle)
				}
				// The periods of the balancers begin at different times. One may have adjusted its base latency for one period more.
				onePeriodMore := 1 - smoothingWeight(before.period.Seconds(), baseLatencyDownTime)
				want := hedgeDelay(before, host, now, idle)
				for name, delay := range delays {
					if delay.Seconds() < onePeriodMore*want.Seconds() {
						t.Errorf("%s: hedged after %v, want at least %v less one period of adjustment", name, delay, want)
					}
				}
			})
		}
	}
}

// hedgeDelay returns how long after its arrival a request is checked for hedging. Until it arrives, at the end of the idle time, the
// balancer has an event each 50 ms.
func hedgeDelay(b *Balancer, h *recorder, now, idle time.Duration) time.Duration {
	const id = 1000
	for end := now + idle; now < end; now += 50 * ms {
		b.SetDropFraction(now, 0)
	}
	b.Request(now, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
	return h.timers[id] - now
}
