package ownership

import "time"

// unresponsiveAfter is how long a response may be outstanding before the voter counts as unresponsive. By then several
// proposals must have been lost.
const unresponsiveAfter = time.Second

// ResponseTracker records which voters have responded recently, so that a proposal that cannot win a majority gets a shorter
// timeout than one that can. It never prevents a proposal from being sent: a voter that has recovered is noticed at the next
// proposal. It is not safe for concurrent use.
type ResponseTracker struct {
	pendingSince map[string]time.Time // when the first proposal without a response was sent, by voter
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

// Timeout returns how long to wait for the responses of these voters: the full timeout if a majority of them may respond,
// otherwise the short one.
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

// Retain forgets all voters except the given ones.
func (t *ResponseTracker) Retain(voters map[string]bool) {
	for voter := range t.pendingSince {
		if !voters[voter] {
			delete(t.pendingSince, voter)
		}
	}
}
