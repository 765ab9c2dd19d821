package host

import (
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// mostUpload bounds a body that is passed on as it comes, whatever progress it makes: 32 MiB at half the rate that callers
// are held to.
const mostUpload = 2048 * time.Second

// upload has the decisions know how far a body has come that an attempt passes on.
type upload struct {
	upstream.Body
	host    *Host
	call    *Call
	attempt *attempt
}

// Take tells the decisions that no further attempt is possible: what this one reads is gone.
func (u *upload) Take() bool {
	if !u.Body.Take() {
		return false
	}
	u.host.event(func(now time.Duration) { u.host.balancer.MarkNotReplayable(now, u.call.id) })
	return true
}

// Whole begins the request's own time, and the wait for the endpoint.
func (u *upload) Whole() {
	u.Body.Whole()
	h, c := u.host, u.call
	h.event(func(now time.Duration) {
		if c.left == 0 {
			return
		}
		left := c.left
		c.left = 0
		if !h.ending.IsZero() {
			left = min(left, max(time.Until(h.ending), 0))
		}
		c.request.Deadline = time.Now().Add(left)
		if !c.done {
			c.deadline.Reset(left)
		}
		h.balancer.RequestBodyReceived(now, c.id, left)
		h.onWay(now, c, u.attempt, false)
	})
}

// pass gives the caller an answer that is still coming, and returns once it has ended. Its first bytes end the call for the
// decisions: from then on it is in the caller's hands, no deadline cuts it off, and what an endpoint still gives costs
// it no more than a connection.
func (h *Host) pass(c *Call, a *attempt, v lbpolicy.Verdict, reply *upstream.Answer) {
	rest := reply.Rest
	if v != lbpolicy.OK { // nobody reads a failure's body
		rest.Close()
		reply.Rest = nil
		return
	}
	ended := make(chan struct{})
	rest.OnClose(func() { close(ended) })
	taken := false
	h.event(func(now time.Duration) {
		if taken = !a.ended && !c.done; taken {
			h.outcome(now, c, a, v, reply)
		}
	})
	if !taken {
		rest.Close()
	}
	<-ended
}
