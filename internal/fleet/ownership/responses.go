package ownership

import "time"

// ResponseTracker remembers which voters have answered lately, so that an ask which can't win a majority is not waited for as long
// as one that can. It never keeps an ask from being made: a voter that is back is heard at the next one. It is not safe
// for concurrent use.
type ResponseTracker struct {
	pendingSince map[string]time.Time // since when a voter owes an answer
}

// unresponsiveAfter is how long a voter may owe an answer: several asks are lost by then.
const unresponsiveAfter = time.Second

// ProposalSent tells that a voter is asked.
func (h *ResponseTracker) ProposalSent(now time.Time, voter string) {
	if h.pendingSince == nil {
		h.pendingSince = map[string]time.Time{}
	}
	if _, owes := h.pendingSince[voter]; !owes {
		h.pendingSince[voter] = now
	}
}

// ResponseReceived tells that a voter has said something.
func (h *ResponseTracker) ResponseReceived(voter string) { delete(h.pendingSince, voter) }

// Timeout returns how long an ask to these voters is worth waiting for: the whole time where a majority of them may answer,
// else the short one.
func (h *ResponseTracker) Timeout(now time.Time, voters []string, whole, short time.Duration) time.Duration {
	answering := 0
	for _, v := range voters {
		if since, owes := h.pendingSince[v]; !owes || now.Sub(since) < unresponsiveAfter {
			answering++
		}
	}
	if answering < Majority(len(voters)) {
		return min(whole, short)
	}
	return whole
}

// Retain forgets all voters but these.
func (h *ResponseTracker) Retain(voters map[string]bool) {
	for v := range h.pendingSince {
		if !voters[v] {
			delete(h.pendingSince, v)
		}
	}
}
