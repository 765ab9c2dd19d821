package engine

import (
	"context"
	"errors"
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Key is a keyed request's hold on its key's history, and what its attempts are recorded under.
type Key struct {
	History *idempotency.Request
	Cluster string
	Terms   idempotency.Terms
	// Claimer agrees with other processes on where the key's attempts go; nil: there are none.
	Claimer Claimer
	// Recorder records attempts before they go out; nil: nothing does.
	Recorder Recorder
}

func (k *Key) needsClaim() bool { return k.Claimer != nil && k.Claimer.IsActive() }

// Recorder keeps a record of a request's attempts. Neither it nor its records may call the host.
type Recorder interface {
	// Attempt begins the next one.
	Attempt(endpoint string) Record
}

// Record is that of one attempt.
type Record interface {
	// Intent returns once it is safely recorded that the attempt is about to go to a place. With an error it must not go out.
	Intent(ctx context.Context, to idempotency.Place) error
	// Ended records its end, and the status of its answer, if one came whole. It must not block.
	Ended(v lbpolicy.Verdict, status int)
}

// Claimer binds a key to a place before an attempt's first byte goes there, for all processes.
type Claimer interface {
	// IsActive tells whether there is anybody to agree with. Where it turns true no attempt begins that was not agreed to.
	IsActive() bool
	// Claim asks all processes; what it has learnt stands in Past. It may be called again, for another attempt.
	Claim(ctx context.Context, to idempotency.Place)
	// KeyState returns what is known of the key in all processes: an attempt may go out where that allows its place.
	KeyState() idempotency.KeyState
}

// keyState translates what is known of a call's key for the decisions.
func (h *Engine) keyState(c *Call) lbpolicy.KeyState {
	p := c.key.History.KeyState(c.key.Terms.Scope)
	if c.key.needsClaim() {
		p = p.Merge(c.key.Claimer.KeyState(), c.key.Terms.Scope)
	}
	if !p.Known {
		return lbpolicy.KeyState{}
	}
	d := lbpolicy.KeyState{Known: true, Zone: slices.Index(h.zones, p.Place.Zone), Cell: p.Place.Cell, RetryUntil: h.clock.of(p.RetryUntil)}
	d.Unavailable = p.SeveralGroups || p.Place.Cluster != c.key.Cluster || c.key.Terms.Scope != lbpolicy.ScopeAll && d.Zone < 0
	return d
}

// place is where an endpoint stands now.
func (h *Engine) place(c *Call, e *endpoint) idempotency.Place {
	p := idempotency.Place{Cluster: c.key.Cluster, Cell: e.Cell}
	if e.Zone >= 0 && e.Zone < len(h.zones) {
		p.Zone = h.zones[e.Zone]
	}
	return p
}

// reserveKey binds a call's key to the place of an attempt. Where it can't be, another request with the key was quicker, or
// the key's window has just ended: the decisions hear of it, and then that the attempt is moot.
func (h *Engine) reserveKey(c *Call, a *attempt) bool {
	if c.key == nil {
		return true
	}
	var err error
	if a.keyAttempt, err = c.key.History.Send(time.Now(), h.place(c, a.server), c.key.Terms); err == nil {
		return true
	}
	if errors.Is(err, idempotency.ErrHeldElsewhere) {
		h.log.Info("attempt held back", "endpoint", a.server.name, "error", err)
	}
	return false
}

// slowRecordDelay is how long an attempt waits for a record before the decisions are told that the wait is not its server's.
const slowRecordDelay = 5 * time.Millisecond

// awaitDispatch has the other processes agree on where an attempt goes, and then has it recorded that it is about to. It is false
// where it must not go out: another process was quicker, or can't be asked in time, or nothing can be recorded. What was
// told reaches the decisions with the attempt's end.
func (h *Engine) awaitDispatch(ctx context.Context, c *Call, a *attempt) (ok bool) {
	if c.key == nil || !c.key.needsClaim() && a.record == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	if c.key.needsClaim() {
		var to idempotency.Place
		h.event(func(now time.Duration) {
			to = h.place(c, a.server)
			h.setDispatchPending(now, c, a, true)
		})
		c.key.Claimer.Claim(ctx, to)
		h.event(func(now time.Duration) {
			h.setDispatchPending(now, c, a, false)
			ok = h.isClaimValid(time.Now(), c, h.place(c, a.server))
		})
		if !ok || a.record == nil {
			return ok
		}
	}
	return h.recordIntent(ctx, c, a)
}

// recordIntent has it recorded that an attempt is about to go out.
func (h *Engine) recordIntent(ctx context.Context, c *Call, a *attempt) bool {
	h.mu.Lock()
	to := h.place(c, a.server)
	h.mu.Unlock()
	slow := time.AfterFunc(slowRecordDelay, func() { h.event(func(now time.Duration) { h.setDispatchPending(now, c, a, true) }) })
	err := a.record.Intent(ctx, to)
	if !slow.Stop() {
		h.event(func(now time.Duration) { h.setDispatchPending(now, c, a, false) })
	}
	h.mu.Lock()
	a.sentAt = h.clock.now() // what it took is not the endpoint's doing
	a.intentRecorded = true
	h.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		h.log.Info("attempt held back", "endpoint", a.server.name, "error", err)
	}
	return err == nil
}

// setDispatchPending tells the decisions that an attempt waits for something that is not its server's doing, or no longer does.
func (h *Engine) setDispatchPending(now time.Duration, c *Call, a *attempt, on bool) {
	if a.ended || on && a.intentRecorded {
		return
	}
	h.balancer.SetDispatchPending(now, c.id, a.number, on)
	if !on {
		a.sentAt = now
	}
}

// keyAllows tells whether a keyed attempt may start now, where its endpoint stands now.
func (h *Engine) keyAllows(now time.Time, c *Call, a *attempt) bool {
	at := h.place(c, a.server)
	return a.keyAttempt.MayStart(now, at) && h.isClaimValid(now, c, at)
}

// isClaimValid tells whether what other processes have agreed to still holds for an attempt at a place.
func (h *Engine) isClaimValid(now time.Time, c *Call, to idempotency.Place) bool {
	if c.key == nil || !c.key.needsClaim() {
		return true
	}
	p := c.key.Claimer.KeyState()
	return p.Known && p.Allows(to, c.key.Terms.Scope) && now.Before(p.RetryUntil)
}

// updateKeyState tells the decisions what is known of a call's key now.
func (h *Engine) updateKeyState(now time.Duration, c *Call) {
	if c.key != nil && !c.done {
		h.balancer.KeyStateUpdated(now, c.id, h.keyState(c))
	}
}
