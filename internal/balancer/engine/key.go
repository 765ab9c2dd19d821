package engine

import (
	"context"
	"errors"
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Key is the idempotency key of a request, with the means to claim it and to record the attempts.
type Key struct {
	Request *idempotency.Request
	Cluster string // the cluster of this engine
	Terms   idempotency.Terms
	// Claimer claims the key for one place among all processes. Nil: there are no other processes.
	Claimer Claimer
	// Recorder records attempts before they are sent. Nil: attempts are not recorded.
	Recorder Recorder
}

func (k *Key) needsClaim() bool { return k.Claimer != nil && k.Claimer.IsActive() }

// Recorder records the attempts of a request. Neither a Recorder nor its Records may call the engine.
type Recorder interface {
	// BeginAttempt begins the record of the next attempt, to the named endpoint.
	BeginAttempt(endpoint string) Record
}

// Record is the record of one attempt.
type Record interface {
	// Intent records that the attempt is about to be sent, and returns once the record is durable. After an error the attempt must
	// not be sent.
	Intent(ctx context.Context, place idempotency.Place) error
	// Ended records how the attempt ended, and the status of the response, which is 0 if none was received. It must not block.
	Ended(v lbpolicy.Verdict, status int)
}

// Claimer claims a key for a place before the first byte of an attempt is sent there. The claim holds in all processes.
type Claimer interface {
	// IsActive reports whether there are other processes. Once it has returned true, no attempt begins without a claim.
	IsActive() bool
	// Claim claims the key. KeyState then returns the result. Claim may be called again for another attempt.
	Claim(ctx context.Context, place idempotency.Place)
	// KeyState returns the key's state over all processes. An attempt may be sent to a place that this state allows.
	KeyState() idempotency.KeyState
}

// keyState returns the state of a call's key, converted to the types of the policy.
func (e *Engine) keyState(c *Call) lbpolicy.KeyState {
	scope := c.key.Terms.Scope
	known := c.key.Request.KeyState(scope)
	if c.key.needsClaim() {
		known = known.Merge(c.key.Claimer.KeyState(), scope)
	}
	if !known.Known {
		return lbpolicy.KeyState{}
	}
	state := lbpolicy.KeyState{
		Known:      true,
		Zone:       slices.Index(e.zones, known.Place.Zone),
		Cell:       known.Place.Cell,
		RetryUntil: e.clock.fromTime(known.RetryUntil),
	}
	isElsewhere := known.SeveralGroups || known.Place.Cluster != c.key.Cluster
	isUnknownZone := scope != lbpolicy.ScopeAll && state.Zone < 0
	state.Unavailable = isElsewhere || isUnknownZone
	return state
}

// place returns the place to which an endpoint belongs now.
func (e *Engine) place(c *Call, server *endpoint) idempotency.Place {
	p := idempotency.Place{Cluster: c.key.Cluster, Cell: server.Cell}
	if server.Zone >= 0 && server.Zone < len(e.zones) {
		p.Zone = e.zones[server.Zone]
	}
	return p
}

// reserveKey reserves a call's key for the place of an attempt. It fails if another request with the key has reserved it elsewhere
// first, or if the key's retry window has just ended. The policy then gets the new state of the key, followed by the end of the
// attempt.
func (e *Engine) reserveKey(c *Call, a *attempt) bool {
	if c.key == nil {
		return true
	}
	var err error
	a.keyAttempt, err = c.key.Request.Reserve(time.Now(), e.place(c, a.server), c.key.Terms)
	if errors.Is(err, idempotency.ErrHeldElsewhere) {
		e.log.Info("attempt not sent", "endpoint", a.server.name, "error", err)
	}
	return err == nil
}

// slowRecordDelay is how long an attempt waits for its intent to be recorded before the policy is notified that the server does not
// cause the wait.
const slowRecordDelay = 5 * time.Millisecond

// prepareDispatch claims the key of an attempt, and records its intent. It is false if the attempt must not be sent: another process
// has claimed the key first, the claim was not confirmed in time, or the intent could not be recorded. The policy gets the state of
// the key with the end of the attempt.
func (e *Engine) prepareDispatch(ctx context.Context, c *Call, a *attempt) bool {
	if c.key == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	if c.key.needsClaim() && !e.claimKey(ctx, c, a) {
		return false
	}
	return a.record == nil || e.recordIntent(ctx, c, a)
}

// claimKey claims the key of an attempt in all processes. It reports whether the claim covers the place of the endpoint afterwards.
func (e *Engine) claimKey(ctx context.Context, c *Call, a *attempt) (claimed bool) {
	var place idempotency.Place
	e.processEvent(func(now time.Duration) {
		place = e.place(c, a.server)
		e.setDispatchPending(now, c, a, true)
	})
	c.key.Claimer.Claim(ctx, place)
	e.processEvent(func(now time.Duration) {
		e.setDispatchPending(now, c, a, false)
		claimed = e.isClaimValid(time.Now(), c, e.place(c, a.server))
	})
	return claimed
}

// recordIntent records that an attempt is about to be sent. It is false if that failed.
func (e *Engine) recordIntent(ctx context.Context, c *Call, a *attempt) bool {
	e.mu.Lock()
	place := e.place(c, a.server)
	e.mu.Unlock()
	slow := time.AfterFunc(slowRecordDelay, func() {
		e.processEvent(func(now time.Duration) { e.setDispatchPending(now, c, a, true) })
	})
	err := a.record.Intent(ctx, place)
	if !slow.Stop() {
		e.processEvent(func(now time.Duration) { e.setDispatchPending(now, c, a, false) })
	}
	e.mu.Lock()
	a.sentAt = e.clock.now() // the wait for the record does not count as latency of the endpoint
	a.intentRecorded = true
	e.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		e.log.Info("attempt not sent", "endpoint", a.server.name, "error", err)
	}
	return err == nil
}

// setDispatchPending notifies the policy that an attempt is waiting for something that its server does not cause, or that the wait
// is over. The latency of the attempt counts from the end of the wait.
func (e *Engine) setDispatchPending(now time.Duration, c *Call, a *attempt, pending bool) {
	if a.ended || pending && a.intentRecorded {
		return
	}
	a.isDispatchPending = pending
	e.balancer.SetDispatchPending(now, c.id, a.number, pending)
	if !pending {
		a.sentAt = now
	}
}

// keyAllowsDispatch reports whether the state of its key lets an attempt start now, at the place to which its endpoint belongs now.
func (e *Engine) keyAllowsDispatch(now time.Time, c *Call, a *attempt) bool {
	at := e.place(c, a.server)
	return a.keyAttempt.MayStart(now, at) && e.isClaimValid(now, c, at)
}

// isClaimValid reports whether the claim covers an attempt at a place, or none is needed.
func (e *Engine) isClaimValid(now time.Time, c *Call, place idempotency.Place) bool {
	if c.key == nil || !c.key.needsClaim() {
		return true
	}
	state := c.key.Claimer.KeyState()
	return state.Known && state.Allows(place, c.key.Terms.Scope) && now.Before(state.RetryUntil)
}

// updateKeyState notifies the policy of the present state of a call's key.
func (e *Engine) updateKeyState(now time.Duration, c *Call) {
	if c.key != nil && !c.done {
		e.balancer.KeyStateUpdated(now, c.id, e.keyState(c))
	}
}
