package lbpolicy

import (
	"fmt"
	"testing"
)

// A request whose server has answered another one after it was sent, and stops then, is not left to its deadline
// (docs/incidents/stopped-after-an-answer.md).
func TestServerThatStopsAfterAnAnswerIsHedged(t *testing.T) {
	for _, hedges := range []bool{true, false} {
		t.Run(fmt.Sprintf("hedges %t", hedges), func(t *testing.T) {
			settings := testSettings()
			settings.MayHedge = hedges
			b, h := newBalancer(t, settings, ready(2)...)
			const requests = 4 // two at each server
			for id := range RequestID(requests) {
				b.Request(sec, Request{ID: id, Class: 0, TimeLeft: 3 * sec})
			}
			first := RequestID(0)
			left := first + 1
			for h.sends[left] != h.sends[first] {
				left++
			}
			for id, to := range h.sends {
				if RequestID(id) != left {
					b.Outcome(sec+ms, Outcome{ID: RequestID(id), Server: to, Verdict: OK, Latency: ms, Final: true})
				}
			}
			for range 3 { // checks; the first one finds the answer
				b.Timer(h.timers[uint64(left)], uint64(left))
			}
			if hedges && len(h.sends) != requests+1 || !hedges && h.count(fmt.Sprintf("cancel %d 0", left)) == 0 {
				t.Errorf("nothing is done until %v: %v", h.timers[uint64(left)], h.acts)
			}
		})
	}
}
