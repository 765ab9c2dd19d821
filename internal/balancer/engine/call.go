package engine

import (
	"context"
	"slices"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/lbpolicy"
)

// Call is one client request, from its last byte to its result and the end of its last attempt.
type Call struct {
	id               lbpolicy.RequestID
	request          upstream.Request
	class            int
	key              *Key // nil: the request has none
	result           chan Result
	done             bool // it has its result, or its client has disconnected
	attempts         []*attempt
	deadlineTimer    *time.Timer
	checkTimer       *time.Timer // set by the policy
	lastResponse     *upstream.Response
	timeLeft         time.Duration // once its body has arrived, where that is still arriving
	outOfDescriptors bool          // an attempt found no descriptor in this process
	isClientGone     func() bool   // nil: nobody can tell
}

// Result is the one final result of a call.
type Result struct {
	Response   *upstream.Response // if it was served
	Rejected   bool
	RetryAfter time.Duration
	// MayHaveRun tells for a call that was not served whether an attempt may have run, or is running. If not, another
	// cluster may be given the call, whatever its class.
	MayHaveRun bool
	// ClassRemoved means that the settings do not hold the call's class any more. Nothing was sent.
	ClassRemoved bool
	Attempts     int // that were made
	// OutOfDescriptors means that an attempt found no descriptor in this process.
	OutOfDescriptors bool
	// LastResponse is the last response to a call that failed; nil if none was received.
	LastResponse *upstream.Response
}

// Begin starts a call. The time that the request has left counts from its last byte. The key is nil if it has none; the
// request for the key must last until the result.
func (e *Engine) Begin(r upstream.Request, q lbpolicy.Request, key *Key) *Call {
	return e.begin(r, q, key, nil)
}

func (e *Engine) begin(r upstream.Request, q lbpolicy.Request, key *Key, isClientGone func() bool) *Call {
	c := &Call{request: r, class: q.Class, key: key, result: make(chan Result, 1), isClientGone: isClientGone}
	e.event(func(now time.Duration) { e.start(now, c, q) })
	return c
}

// start passes a new call to the policy.
func (e *Engine) start(now time.Duration, c *Call, q lbpolicy.Request) {
	e.lastID++
	c.id, q.ID = e.lastID, e.lastID
	q.TimeLeft = e.limitToShutdown(q.TimeLeft)
	timeout := q.TimeLeft
	if c.request.Stream != nil { // its time counts from its last byte; until then the progress of both sides bounds it
		c.timeLeft, timeout = q.TimeLeft, maxUploadTime
		c.request.TimeLeft = q.TimeLeft
	}
	c.request.Deadline = time.Now().Add(timeout)
	if q.ClassAtArrival != nil && !e.resolveClass(&q) {
		c.done = true
		c.result <- Result{ClassRemoved: true}
		return
	}
	e.calls[c.id] = c
	c.deadlineTimer = time.AfterFunc(timeout, func() { e.expire(c) })
	if c.key != nil {
		q.KeyState = e.keyState(c)
	}
	e.balancer.Request(now, q)
	e.release(c)
}

// resolveClass finds the class of a request that arrived under earlier settings, by its name.
func (e *Engine) resolveClass(q *lbpolicy.Request) bool {
	name := q.ClassAtArrival.Name
	if q.Class < len(e.classes) && e.classes[q.Class].Name == name {
		return true
	}
	q.Class = slices.IndexFunc(e.classes, func(c lbpolicy.Class) bool { return c.Name == name })
	return q.Class >= 0
}

// Result returns the channel that receives the result.
func (c *Call) Result() <-chan Result { return c.result }

// Do starts a call and waits for its result. If ctx ends first, the client has disconnected: ok is false unless a result is
// available. A request whose client has disconnected is not started, see WithDisconnectCheck.
func (e *Engine) Do(ctx context.Context, r upstream.Request, q lbpolicy.Request, key *Key) (result Result, ok bool) {
	if IsDisconnected(ctx) {
		return Result{}, false
	}
	c := e.begin(r, q, key, func() bool { return IsDisconnected(ctx) })
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

// ClientDisconnected records that the client has disconnected. A result from before is on the channel.
func (e *Engine) ClientDisconnected(c *Call) {
	e.event(func(now time.Duration) {
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
	e.event(func(now time.Duration) {
		for _, a := range c.attempts {
			e.abandon(now, c, a, lbpolicy.Timeout)
		}
	})
	// The policy has given a result by now. If it has not, the client still gets its one result: a failure, which promises
	// nothing.
	e.event(func(now time.Duration) {
		if !c.done {
			e.log.Error("call without a result at its deadline", "class", c.class)
			e.finish(c, Result{})
			defer e.balancer.ClientDisconnected(now, c.id)
		}
		e.release(c)
	})
}

// finish gives a call its result. Only the first one counts.
func (e *Engine) finish(c *Call, result Result) {
	if c.done {
		return
	}
	c.done = true
	result.Attempts, result.OutOfDescriptors = len(c.attempts), c.outOfDescriptors
	if result.Response == nil {
		result.LastResponse = c.lastResponse
		for _, a := range c.attempts {
			result.MayHaveRun = result.MayHaveRun || a.firstByteSent && !a.neverRan
		}
	}
	c.result <- result
}

// release forgets a call that has its result and no attempt in flight.
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
