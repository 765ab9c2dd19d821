package sidecar

import (
	"context"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/platform/handover"
)

// SetHandover sets the handover process. Requests with idempotency keys then claim their keys at the process that has taken
// over from this one.
func (r *Router) SetHandover(p *handover.Process) { r.handover.Store(p) }

// keyClaimer claims a request's idempotency key at the process that has taken over. It implements engine.Claimer.
type keyClaimer struct {
	process *handover.Process
	id      idempotency.KeyID
	terms   idempotency.Terms

	mu    sync.Mutex
	state idempotency.KeyState // result of the last successful claim
}

// IsActive implements engine.Claimer.
func (c *keyClaimer) IsActive() bool { return c.process.IsRetired() }

// Claim implements engine.Claimer. If the other process does not respond, the key's state stays unknown and the
// attempt is not sent.
func (c *keyClaimer) Claim(ctx context.Context, to idempotency.Place) {
	now := time.Now()
	place := idempotency.KeyState{Known: true, Place: to, RetryUntil: now.Add(c.terms.RetryWindow())}
	state, err := c.process.ClaimKey(ctx, handover.Claim{
		ID:        handover.KeyID(c.id),
		Scope:     c.terms.Scope,
		ExpiresIn: c.terms.Window + c.terms.Retention,
		To:        handover.NewKeyState(now, place),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.state = state.KeyState(now)
	}
}

// KeyState implements engine.Claimer.
func (c *keyClaimer) KeyState() idempotency.KeyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
