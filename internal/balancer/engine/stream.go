package engine

import (
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// maxUploadTime is the longest time that a streamed body may take, however it progresses. It suffices for 32 MiB at half the rate that
// clients must sustain.
const maxUploadTime = 2048 * time.Second

// uploadBody notifies the policy of the progress of a streamed body.
type uploadBody struct {
	upstream.RequestStream
	engine  *Engine
	call    *Call
	attempt *attempt
}

// Acquire implements upstream.RequestStream.
func (u *uploadBody) Acquire() bool {
	if !u.RequestStream.Acquire() {
		return false
	}
	u.engine.processEvent(func(now time.Duration) { u.engine.startUpload(now, u.call) })
	return true
}

// startUpload records that the rest of a call's body is about to be read. The request cannot be replayed any more. Until the last byte, the
// progress of both sides bounds the upload instead of the request's deadline.
func (e *Engine) startUpload(now time.Duration, c *Call) {
	e.balancer.MarkNotReplayable(now, c.id)
	if c.done {
		return
	}
	c.setDeadline(e.limitToShutdown(maxUploadTime))
}

// MarkForwarded implements upstream.RequestStream. From then on, the request's deadline counts and the attempt waits for the endpoint.
func (u *uploadBody) MarkForwarded() {
	u.RequestStream.MarkForwarded()
	receivedAt := u.ReceivedAt()
	u.engine.processEvent(func(now time.Duration) { u.engine.bodyForwarded(now, u.call, u.attempt, receivedAt) })
}

// Abandon implements upstream.RequestStream. The client may have sent its whole body already, so that the request's deadline counts.
func (u *uploadBody) Abandon() {
	u.RequestStream.Abandon()
	if !u.IsComplete() {
		u.engine.log.Info("response before the end of the request body", "endpoint", u.attempt.server.name,
			"request", u.call.requestID(), "attempt", u.attempt.number)
	}
	receivedAt := u.ReceivedAt()
	u.engine.processEvent(func(now time.Duration) { u.engine.startDeadline(now, u.call, receivedAt) })
}

// bodyForwarded records that a call's streamed body has been received and forwarded.
func (e *Engine) bodyForwarded(now time.Duration, c *Call, a *attempt, receivedAt time.Time) {
	if c.timeLeftAfterBody == 0 {
		return
	}
	e.startDeadline(now, c, receivedAt)
	e.setDispatchPending(now, c, a, false)
}

// startDeadline sets the deadline of a call whose streamed body is not read any more.
func (e *Engine) startDeadline(now time.Duration, c *Call, receivedAt time.Time) {
	if c.timeLeftAfterBody == 0 {
		return
	}
	timeLeft := e.limitToShutdown(c.timeLeftAfterBody - time.Since(receivedAt))
	c.timeLeftAfterBody = 0
	c.setDeadline(timeLeft)
	e.balancer.RequestBodyReceived(now, c.id, timeLeft)
}

// setDeadline replaces the deadline of a call that was started.
func (c *Call) setDeadline(timeLeft time.Duration) {
	c.request.Deadline = time.Now().Add(timeLeft)
	if !c.done {
		c.deadlineTimer.Reset(timeLeft)
	}
}

// streamResponse delivers a response whose body is still arriving, and returns once the body has been closed. For the policy, the
// attempt ends with the first bytes of the response. From then on the response occupies nothing but a connection of the endpoint, and
// the stream itself ends the response if it is not complete soon after the request's deadline.
func (e *Engine) streamResponse(c *Call, a *attempt, verdict lbpolicy.Verdict, response *upstream.Response) {
	stream := response.Stream
	if verdict != lbpolicy.OK { // the body of a failure is not read
		stream.Close()
		response.Stream = nil
		return
	}
	closed := make(chan struct{})
	stream.OnClose(func() { close(closed) })
	accepted := false
	e.processEvent(func(now time.Duration) {
		accepted = !a.ended && !c.done
		if accepted {
			stream.SetDeadline(c.request.Deadline)
			e.endAttempt(now, c, a, verdict, response)
		}
	})
	if !accepted {
		stream.Close()
	}
	<-closed
}
