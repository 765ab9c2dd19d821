package lbpolicy

import "testing"

// A pool of which all servers are ejected within one period is used all the same: the fault is not in single servers, as
// isInPanic says. The number of ejected servers was brought up to date once a period. Until then a request found no
// panic, no server that is not ejected, and was rejected: 503 where all servers stood ready. In the log both servers
// of a pool went out within a millisecond, and requests of the next second were rejected at once.
func TestServersEjectedWithinOnePeriodStillGetRequests(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 8} {
		b, h := newBalancer(t, testSettings(), readyServers(servers)...)
		b.Request(sec, Request{ID: 1, TimeLeft: 3 * sec})
		b.Outcome(sec+ms, Outcome{ID: 1, Server: h.sends[0], Verdict: OK, Latency: ms, Final: true})
		for _, s := range b.subset {
			b.eject(sec+ms, s, "failing")
		}
		b.Request(sec+2*ms, Request{ID: 2, TimeLeft: 3 * sec})
		if h.count("send 2") != 1 {
			t.Errorf("%d servers: acts %v", servers, h.actions)
		}
		if b.nextStep < sec+2*ms {
			t.Error("tests little: a period has passed")
		}
		// One that answers is no outlier any more: requests go to it, and to no ejected one.
		b.recordOutcome(sec+3*ms, b.subset[0], Outcome{Verdict: OK, Latency: ms})
		for id := RequestID(3); id < 20 && servers > 1; id++ {
			b.Request(sec+4*ms, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
			if got := h.sends[len(h.sends)-1]; got != b.subset[0].ID {
				t.Errorf("%d servers: request %d went to the ejected server %d", servers, id, got)
			}
		}
	}
}
