package engine

import (
	"context"
	"slices"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// Call is one client request. It begins with the last byte of the request, or earlier if the body is streamed, and lasts until its
// result is available and its last attempt has ended.
type Call struct {
	id                lbpolicy.RequestID
	request           upstream.Request
	class             int
	key               *Key // nil: the request has no idempotency key
	result            chan Result
	done              bool // the result has been sent to the channel, or the client has disconnected
	attempts          []*attempt
	deadlineTimer     *time.Timer
	checkTimer        *time.Timer // set by the policy
	lastResponse      *upstream.Response
	bodyEndedFor      time.Duration // how long ago, at the start, the last byte of a streamed body may have been written
	timeLeftAfterBody time.Duration // the time allowed after the last byte of a streamed body; zero when no byte is awaited
	outOfDescriptors  bool          // an attempt failed because this process had no free file descriptor
	client            *clientCheck  // nil: the connection of the client cannot be checked
}

// Result is the final result of a call. Each call has at most one.
type Result struct {
	Response   *upstream.Response // nil: the call was not served
	Rejected   bool
	RetryAfter time.Duration
	// MayHaveRun reports for a call that was not served whether an attempt may have run, or is still running. If it is false, the
	// call may be sent to another cluster, whatever its class.
	MayHaveRun bool
	// ClassRemoved means that the settings no longer contain the call's class. Nothing was sent.
	ClassRemoved bool
	Attempts     int // number of attempts made
	// TimedOut means that the call had no response by its deadline.
	TimedOut bool
	// OutOfDescriptors means that an attempt failed because this process had no free file descriptor.
	OutOfDescriptors bool
	// LastResponse is the last response to a call that failed; nil if none was received.
	LastResponse *upstream.Response
}

// Begin starts a call. The TimeLeft of the request counts from its last byte. The key is nil if the request has no idempotency key;
// otherwise its idempotency.Request must not be ended before the result is available.
func (e *Engine) Begin(r upstream.Request, policyRequest lbpolicy.Request, key *Key) *Call {
	return e.begin(r, policyRequest, key, nil)
}

func (e *Engine) begin(r upstream.Request, policyRequest lbpolicy.Request, key *Key, client *clientCheck) *Call {
	c := &Call{request: r, class: policyRequest.Class, key: key, result: make(chan Result, 1), client: client}
	if r.Stream != nil { // asked for before the lock is taken, as it makes system calls
		c.bodyEndedFor = time.Since(r.Stream.EarliestEnd())
	}
	e.processEvent(func(now time.Duration) { e.start(now, c, policyRequest) })
	return c
}

// start passes a new call to the policy.
func (e *Engine) start(now time.Duration, c *Call, policyRequest lbpolicy.Request) {
	e.lastID++
	c.id, policyRequest.ID = e.lastID, e.lastID
	policyRequest.TimeLeft = e.limitToShutdown(policyRequest.TimeLeft)
	timeout := policyRequest.TimeLeft
	if c.request.Stream != nil { // TimeLeft counts from the last byte, which may have arrived unread, until the rest is read: see startUpload
		c.timeLeftAfterBody = timeout
		c.request.TimeLeft = timeout
		timeout -= c.bodyEndedFor
		policyRequest.TimeLeft = timeout
	}
	c.request.Deadline = time.Now().Add(timeout)
	if policyRequest.ClassAtArrival != nil && !e.resolveClass(&policyRequest) {
		c.done = true
		c.result <- Result{ClassRemoved: true}
		return
	}
	e.calls[c.id] = c
	c.deadlineTimer = time.AfterFunc(timeout, func() { e.expire(c) })
	if c.key != nil {
		policyRequest.KeyState = e.keyState(c)
	}
	e.balancer.Request(now, policyRequest)
	e.release(c)
}

// resolveClass looks up by name the class of a request that arrived under earlier settings. It is false if that class was removed.
func (e *Engine) resolveClass(policyRequest *lbpolicy.Request) bool {
	name := policyRequest.ClassAtArrival.Name
	if policyRequest.Class < len(e.classes) && e.classes[policyRequest.Class].Name == name {
		return true
	}
	policyRequest.Class = slices.IndexFunc(e.classes, func(c lbpolicy.Class) bool { return c.Name == name })
	return policyRequest.Class >= 0
}

// Result returns the channel on which the result is delivered.
func (c *Call) Result() <-chan Result { return c.result }

// Do starts a call and waits for its result. The end of ctx means that the client has disconnected: ok is then false, unless a
// result is already available. If the client has disconnected before, the call is not started: see WithDisconnectCheck.
func (e *Engine) Do(ctx context.Context, r upstream.Request, policyRequest lbpolicy.Request, key *Key) (result Result, ok bool) {
	if IsDisconnected(ctx) {
		return Result{}, false
	}
	c := e.begin(r, policyRequest, key, newClientCheck(ctx))
	select {
	case result = <-c.result:
		return result, true
	case <-ctx.Done():
	}
	e.ClientDisconnected(c)
	select {
	case result = <-c.result:
		return result, true
	default:
		return Result{}, false
	}
}

// ClientDisconnected records that the client has disconnected. A result that was available before stays on the channel.
func (e *Engine) ClientDisconnected(c *Call) {
	e.processEvent(func(now time.Duration) {
		if c.done {
			return
		}
		c.done = true
		e.balancer.ClientDisconnected(now, c.id)
		e.release(c)
	})
}

// expire ends the attempts of a call whose deadline has passed.
func (e *Engine) expire(c *Call) {
	e.processEvent(func(now time.Duration) {
		if !c.done {
			e.log.Info("deadline reached", "request", c.requestID(), "attempts", e.describeAttempts(now, c))
		}
		for _, a := range c.attempts {
			e.abandon(now, c, a, lbpolicy.Timeout)
		}
	})
	// The policy should have given a result by now. If it has not, the call fails here. A failure does not promise the client that a
	// retry is harmless.
	e.processEvent(func(now time.Duration) {
		if !c.done {
			e.log.Error("call without a result at its deadline", "class", c.class)
			e.finish(c, Result{})
			defer e.balancer.ClientDisconnected(now, c.id)
		}
		e.release(c)
	})
}

// finish delivers the result of a call. Later results are ignored.
func (e *Engine) finish(c *Call, result Result) {
	if c.done {
		return
	}
	c.done = true
	result.Attempts, result.OutOfDescriptors = len(c.attempts), c.outOfDescriptors
	if result.Response == nil {
		result.TimedOut = !time.Now().Before(c.request.Deadline)
		result.LastResponse = c.lastResponse
		for _, a := range c.attempts {
			result.MayHaveRun = result.MayHaveRun || a.firstByteSent && !a.neverRan
		}
	}
	c.result <- result
}

// release removes a call that is done and has no attempt in flight.
func (e *Engine) release(c *Call) {
	if !c.done {
		return
	}
	for _, a := range c.attempts {
		if !a.ended {
			return
		}
	}
	c.deadlineTimer.Stop()
	if c.checkTimer != nil {
		c.checkTimer.Stop()
	}
	delete(e.calls, c.id)
}
