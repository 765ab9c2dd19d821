package engine

import (
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// maxUploadTime bounds a body that is passed on as it comes, whatever progress it makes: 32 MiB at half the rate that callers
// are held to.
const maxUploadTime = 2048 * time.Second

// uploadBody has the decisions know how far a body has come that an attempt passes on.
type uploadBody struct {
	upstream.RequestStream
	host    *Engine
	call    *Call
	attempt *attempt
}

// Acquire tells the decisions that no further attempt is possible: what this one reads is gone.
func (u *uploadBody) Acquire() bool {
	if !u.RequestStream.Acquire() {
		return false
	}
	u.host.event(func(now time.Duration) { u.host.balancer.MarkNotReplayable(now, u.call.id) })
	return true
}

// Sent begins the request's own time, and the wait for the endpoint.
func (u *uploadBody) Sent() {
	u.RequestStream.Sent()
	h, c := u.host, u.call
	h.event(func(now time.Duration) {
		if c.timeLeft == 0 {
			return
		}
		left := c.timeLeft
		c.timeLeft = 0
		if !h.shutdownAt.IsZero() {
			left = min(left, max(time.Until(h.shutdownAt), 0))
		}
		c.request.Deadline = time.Now().Add(left)
		if !c.done {
			c.deadlineTimer.Reset(left)
		}
		h.balancer.RequestBodyReceived(now, c.id, left)
		h.setDispatchPending(now, c, u.attempt, false)
	})
}

// streamResponse gives the caller an answer that is still coming, and returns once it has ended. Its first bytes end the call for the
// decisions: from then on it is in the caller's hands, no deadline cuts it off, and what an endpoint still gives costs
// it no more than a connection.
func (h *Engine) streamResponse(c *Call, a *attempt, v lbpolicy.Verdict, reply *upstream.Response) {
	rest := reply.Stream
	if v != lbpolicy.OK { // nobody reads a failure's body
		rest.Close()
		reply.Stream = nil
		return
	}
	ended := make(chan struct{})
	rest.OnClose(func() { close(ended) })
	taken := false
	h.event(func(now time.Duration) {
		if taken = !a.ended && !c.done; taken {
			h.endAttempt(now, c, a, v, reply)
		}
	})
	if !taken {
		rest.Close()
	}
	<-ended
}
