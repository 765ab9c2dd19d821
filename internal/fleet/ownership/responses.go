package ownership

import "time"

// unresponsiveAfter is how long a voter may owe a response before it counts as unresponsive: several proposals are lost by
// then.
const unresponsiveAfter = time.Second

// ResponseTracker remembers which voters have responded lately, so that a proposal which cannot win a majority is not waited
// for as long as one that can. It never prevents a proposal: a voter that is back is noticed at the next one. It is not safe
// for concurrent use.
type ResponseTracker struct {
	pendingSince map[string]time.Time // since when a voter owes a response
}

// ProposalSent records that a proposal was sent to a voter.
func (t *ResponseTracker) ProposalSent(now time.Time, voter string) {
	if t.pendingSince == nil {
		t.pendingSince = map[string]time.Time{}
	}
	if _, pending := t.pendingSince[voter]; !pending {
		t.pendingSince[voter] = now
	}
}

// ResponseReceived records that a voter has responded.
func (t *ResponseTracker) ResponseReceived(voter string) { delete(t.pendingSince, voter) }

// Timeout returns how long a proposal to these voters is worth waiting for: the full time where a majority of them may
// respond, else the short one.
func (t *ResponseTracker) Timeout(now time.Time, voters []string, full, short time.Duration) time.Duration {
	responsive := 0
	for _, voter := range voters {
		since, pending := t.pendingSince[voter]
		if !pending || now.Sub(since) < unresponsiveAfter {
			responsive++
		}
	}
	if responsive < Majority(len(voters)) {
		return min(full, short)
	}
	return full
}

// Retain forgets all voters but these.
func (t *ResponseTracker) Retain(voters map[string]bool) {
	for voter := range t.pendingSince {
		if !voters[voter] {
			delete(t.pendingSince, voter)
		}
	}
}
