package ownership

import (
	"testing"
	"time"
)

// The timeout is short while a majority of the voters is unresponsive, and full again after the first response. The time
// without a response counts from the first unanswered proposal, even if more proposals follow.
func TestTimeoutIsShortWhileMajorityIsUnresponsive(t *testing.T) {
	const full, short = 500 * time.Millisecond, 80 * time.Millisecond
	var tracker ResponseTracker
	voters := []string{"a", "b", "c"}
	expectTimeout := func(at, want time.Duration) {
		t.Helper()
		if got := tracker.Timeout(startTime.Add(at), voters, full, short); got != want {
			t.Errorf("unexpected timeout after %v: %v", at, got)
		}
	}
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		tracker.ProposalSent(startTime.Add(at), "a")
		tracker.ProposalSent(startTime.Add(at), "b")
		if at < unresponsiveAfter {
			expectTimeout(at, full)
		} else {
			expectTimeout(at, short)
		}
	}
	tracker.ResponseReceived("b")
	expectTimeout(3*time.Second, full)
	tracker.ProposalSent(startTime.Add(3*time.Second), "b")
	expectTimeout(3500*time.Millisecond, full)
	expectTimeout(4*time.Second, short)
	voters = []string{"a", "c", "d"} // one of the unresponsive voters was replaced
	expectTimeout(4*time.Second, full)
	if tracker.Retain(map[string]bool{"a": true}); len(tracker.pendingSince) != 1 {
		t.Errorf("Retain kept the voters %v, want only a", tracker.pendingSince)
	}
}
