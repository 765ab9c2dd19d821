package ownership

import (
	"testing"
	"time"
)

// A majority that owes answers for long makes asks short, the first of them to answer makes them long again, and voters
// that are asked all the time owe since the first ask.
func TestTimeoutIsShortWhileMajorityIsUnresponsive(t *testing.T) {
	const whole, short = 500 * time.Millisecond, 80 * time.Millisecond
	var h ResponseTracker
	voters := []string{"a", "b", "c"}
	wait := func(at, want time.Duration) {
		t.Helper()
		if got := h.Timeout(startTime.Add(at), voters, whole, short); got != want {
			t.Errorf("after %v: %v", at, got)
		}
	}
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		h.ProposalSent(startTime.Add(at), "a")
		h.ProposalSent(startTime.Add(at), "b")
		if at < unresponsiveAfter {
			wait(at, whole)
		} else {
			wait(at, short)
		}
	}
	h.ResponseReceived("b")
	wait(3*time.Second, whole)
	h.ProposalSent(startTime.Add(3*time.Second), "b")
	wait(3500*time.Millisecond, whole)
	wait(4*time.Second, short)
	voters = []string{"a", "c", "d"} // one that owes is no voter any more
	wait(4*time.Second, whole)
	if h.Retain(map[string]bool{"a": true}); len(h.pendingSince) != 1 {
		t.Errorf("kept: %v", h.pendingSince)
	}
}
