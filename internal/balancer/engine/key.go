package engine

import (
	"context"
	"errors"
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Key is the idempotency key of a request, and how its attempts are claimed and recorded.
type Key struct {
	History *idempotency.Request
	Cluster string
	Terms   idempotency.Terms
	// Claimer agrees with other processes on where the key's attempts go; nil: there are none.
	Claimer Claimer
	// Recorder records attempts before they are sent; nil: they are not recorded.
	Recorder Recorder
}

func (k *Key) needsClaim() bool { return k.Claimer != nil && k.Claimer.IsActive() }

// Recorder records the attempts of a request. Neither it nor its records may call the engine.
type Recorder interface {
	// Attempt begins the record of the next attempt.
	Attempt(endpoint string) Record
}

// Record is the record of one attempt.
type Record interface {
	// Intent returns once it is recorded durably that the attempt is about to be sent. After an error it must not be sent.
	Intent(ctx context.Context, to idempotency.Place) error
	// Ended records the end, and the status of the response if one was received. It must not block.
	Ended(v lbpolicy.Verdict, status int)
}

// Claimer claims a key for a place, for all processes, before the first byte of an attempt is sent there.
type Claimer interface {
	// IsActive reports whether there are other processes. Once it is true no attempt begins without a claim.
	IsActive() bool
	// Claim claims the key; KeyState returns the result. It may be called again for another attempt.
	Claim(ctx context.Context, to idempotency.Place)
	// KeyState returns what is known of the key in all processes: an attempt may be sent where that allows its place.
	KeyState() idempotency.KeyState
}

// keyState returns what is known of a call's key in the policy's terms.
func (e *Engine) keyState(c *Call) lbpolicy.KeyState {
	scope := c.key.Terms.Scope
	known := c.key.History.KeyState(scope)
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

// place returns where an endpoint is now.
func (e *Engine) place(c *Call, server *endpoint) idempotency.Place {
	p := idempotency.Place{Cluster: c.key.Cluster, Cell: server.Cell}
	if server.Zone >= 0 && server.Zone < len(e.zones) {
		p.Zone = e.zones[server.Zone]
	}
	return p
}

// reserveKey reserves a call's key for the place of an attempt. If it fails, another request with the key was faster, or the
// key's window has just ended: the policy gets the new state of the key, and then the end of the attempt.
func (e *Engine) reserveKey(c *Call, a *attempt) bool {
	if c.key == nil {
		return true
	}
	var err error
	a.keyAttempt, err = c.key.History.Send(time.Now(), e.place(c, a.server), c.key.Terms)
	if errors.Is(err, idempotency.ErrHeldElsewhere) {
		e.log.Info("attempt not sent", "endpoint", a.server.name, "error", err)
	}
	return err == nil
}

// slowRecordDelay is how long an attempt waits for its record before the policy is told that its server does not cause the
// wait.
const slowRecordDelay = 5 * time.Millisecond

// awaitDispatch claims the key of an attempt, and records its intent. It is false if the attempt must not be sent: another
// process was faster, or cannot be reached in time, or the intent cannot be recorded. The policy gets the state of the key
// with the end of the attempt.
func (e *Engine) awaitDispatch(ctx context.Context, c *Call, a *attempt) bool {
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

// claimKey claims the key of an attempt in all processes.
func (e *Engine) claimKey(ctx context.Context, c *Call, a *attempt) (claimed bool) {
	var to idempotency.Place
	e.event(func(now time.Duration) {
		to = e.place(c, a.server)
		e.setDispatchPending(now, c, a, true)
	})
	c.key.Claimer.Claim(ctx, to)
	e.event(func(now time.Duration) {
		e.setDispatchPending(now, c, a, false)
		claimed = e.isClaimValid(time.Now(), c, e.place(c, a.server))
	})
	return claimed
}

// recordIntent records that an attempt is about to be sent.
func (e *Engine) recordIntent(ctx context.Context, c *Call, a *attempt) bool {
	e.mu.Lock()
	to := e.place(c, a.server)
	e.mu.Unlock()
	slow := time.AfterFunc(slowRecordDelay, func() {
		e.event(func(now time.Duration) { e.setDispatchPending(now, c, a, true) })
	})
	err := a.record.Intent(ctx, to)
	if !slow.Stop() {
		e.event(func(now time.Duration) { e.setDispatchPending(now, c, a, false) })
	}
	e.mu.Lock()
	a.sentAt = e.clock.now() // the endpoint has not caused the wait
	a.intentRecorded = true
	e.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		e.log.Info("attempt not sent", "endpoint", a.server.name, "error", err)
	}
	return err == nil
}

// setDispatchPending tells the policy that an attempt waits for something that its server does not cause, or no longer does.
func (e *Engine) setDispatchPending(now time.Duration, c *Call, a *attempt, pending bool) {
	if a.ended || pending && a.intentRecorded {
		return
	}
	a.isPending = pending
	e.balancer.SetDispatchPending(now, c.id, a.number, pending)
	if !pending {
		a.sentAt = now
	}
}

// keyAllows reports whether an attempt with a key may start now, at the present place of its endpoint.
func (e *Engine) keyAllows(now time.Time, c *Call, a *attempt) bool {
	at := e.place(c, a.server)
	return a.keyAttempt.MayStart(now, at) && e.isClaimValid(now, c, at)
}

// isClaimValid reports whether the claim in other processes covers an attempt at a place.
func (e *Engine) isClaimValid(now time.Time, c *Call, to idempotency.Place) bool {
	if c.key == nil || !c.key.needsClaim() {
		return true
	}
	state := c.key.Claimer.KeyState()
	return state.Known && state.Allows(to, c.key.Terms.Scope) && now.Before(state.RetryUntil)
}

// updateKeyState tells the policy what is known of a call's key now.
func (e *Engine) updateKeyState(now time.Duration, c *Call) {
	if c.key != nil && !c.done {
		e.balancer.KeyStateUpdated(now, c.id, e.keyState(c))
	}
}
