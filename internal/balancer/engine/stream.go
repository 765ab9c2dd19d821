package engine

import (
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// maxUploadTime bounds a streamed body whatever its progress: 32 MiB at half the rate that clients must keep.
const maxUploadTime = 2048 * time.Second

// uploadBody tells the policy about the progress of a streamed body.
type uploadBody struct {
	upstream.RequestStream
	engine  *Engine
	call    *Call
	attempt *attempt
}

// Acquire implements upstream.RequestStream. It tells the policy that no further attempt is possible: the body is consumed.
func (u *uploadBody) Acquire() bool {
	if !u.RequestStream.Acquire() {
		return false
	}
	u.engine.event(func(now time.Duration) { u.engine.balancer.MarkNotReplayable(now, u.call.id) })
	return true
}

// MarkForwarded implements upstream.RequestStream. It starts the request's own time, and the wait for the endpoint.
func (u *uploadBody) MarkForwarded() {
	receivedAt := u.ReceivedAt() // before the client is watched, which may read on
	u.RequestStream.MarkForwarded()
	u.engine.event(func(now time.Duration) { u.engine.bodyReceived(now, u.call, u.attempt, receivedAt) })
}

// bodyReceived sets the deadline of a call whose body has arrived, and is forwarded.
func (e *Engine) bodyReceived(now time.Duration, c *Call, a *attempt, receivedAt time.Time) {
	if c.timeLeft == 0 {
		return
	}
	left := e.limitToShutdown(c.timeLeft - time.Since(receivedAt))
	c.timeLeft = 0
	c.request.Deadline = time.Now().Add(left)
	if !c.done {
		c.deadlineTimer.Reset(left)
	}
	e.balancer.RequestBodyReceived(now, c.id, left)
	e.setDispatchPending(now, c, a, false)
}

// streamResponse gives a call a response that is still arriving, and returns once it has ended. Its first bytes end the call
// for the policy: from then on it belongs to the client, no deadline ends it, and it costs the endpoint only a connection.
func (e *Engine) streamResponse(c *Call, a *attempt, v lbpolicy.Verdict, response *upstream.Response) {
	stream := response.Stream
	if v != lbpolicy.OK { // nobody reads the body of a failure
		stream.Close()
		response.Stream = nil
		return
	}
	closed := make(chan struct{})
	stream.OnClose(func() { close(closed) })
	accepted := false
	e.event(func(now time.Duration) {
		accepted = !a.ended && !c.done
		if accepted {
			e.endAttempt(now, c, a, v, response)
		}
	})
	if !accepted {
		stream.Close()
	}
	<-closed
}
