package lbpolicy

import "testing"

// Servers get requests even if all of them are ejected within one period, as the fault is not in single servers then (isInPanic).
// The count of ejected servers is updated once a period. Where panic depends on that count alone, requests until the next update find
// no server that is not ejected and are rejected with 503, though all servers are ready. In a log, both servers of a pool were ejected
// within a millisecond, and the requests of the next second were rejected.
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
			t.Errorf("%d servers: actions %v, want request 2 sent", servers, h.actions)
		}
		if b.nextStep < sec+2*ms {
			t.Error("test has no effect: a period has passed")
		}
		// A server that answers is no longer ejected: requests go to it, and to no ejected server.
		b.recordOutcome(sec+3*ms, b.subset[0], Outcome{Verdict: OK, Latency: ms})
		for id := RequestID(3); id < 20 && servers > 1; id++ {
			b.Request(sec+4*ms, Request{ID: id, Class: 4, TimeLeft: 3 * sec})
			if got := h.sends[len(h.sends)-1]; got != b.subset[0].ID {
				t.Errorf("%d servers: request %d went to the ejected server %d", servers, id, got)
			}
		}
	}
}
