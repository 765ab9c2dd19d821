package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/gateway/conf"
)

// binder binds one request's key over the fleet. It implements host.Binder.
type binder struct {
	fleet    *fleet.Fleet
	ask      ownership.Proposal
	deadline time.Time

	mu    sync.Mutex // one ask at a time
	asked bool
	// resumed: another sala has begun the request and tells the voters of its end.
	resumed bool
	stride  uint32 // of turns that are another sala's when the request is carried to it
	over    bool   // the request is: no ask of it may follow its end
	state   ownership.State
	know    sync.Mutex // of past
	past    idempotency.KeyState
}

func newBinder(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time) *binder {
	return &binder{fleet: f, deadline: deadline, stride: strideOf(0), ask: ownership.Proposal{Attempt: f.NextAttemptID(), Key: id, Scope: c.Scope, Window: c.Window, Retention: c.Retention}}
}

// resume returns the binder of a request that another sala has begun, under the numbers that the voters know it by. Its end
// is the other sala's to tell.
func resume(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time, try ownership.AttemptID, turn uint32, been int) *binder {
	b := newBinder(f, id, c, deadline)
	b.stride = strideOf(been)
	b.ask.Attempt, b.ask.Round, b.asked, b.resumed = try, turn, true, true
	return b
}

// strideOf returns how many turns another sala has to itself, for a request that has been to so many: its answer may be lost,
// and with it the last turn that it asked for. Each has room for 64 of its own and of those that it carries the request
// to, at least. Past the fourth sala there is none: what it is carried to asks in its own name.
func strideOf(been int) uint32 {
	if been > 3 {
		return 0
	}
	return 1 << (24 - 6*been)
}

// carry returns the numbers under which another sala may go on with the request, all of whose attempts here never ran. The
// turns that it may ask for are not asked for here any more.
func (b *binder) carry() (ownership.AttemptID, uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	turn := b.ask.Round
	if b.stride == 0 || turn > math.MaxUint32-b.stride {
		return ownership.AttemptID{}, 0
	}
	b.asked, b.state = true, ownership.Pending
	b.ask.Round += b.stride
	return b.ask.Attempt, turn
}

func (b *binder) KeyState() idempotency.KeyState {
	b.know.Lock()
	defer b.know.Unlock()
	return b.past
}

// IsActive implements host.Binder.
func (b *binder) IsActive() bool { return true }

// Claim implements host.Binder. An attempt in the group that the key is bound to already needs no further ask. One in
// another group is asked for only where all attempts before it never ran: the history has seen to that.
func (b *binder) Claim(ctx context.Context, to idempotency.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over || ctx.Err() != nil || b.state == ownership.Claimed && b.KeyState().Allows(to, b.ask.Scope) {
		return
	}
	if b.asked {
		b.ask.Round++
	}
	b.asked, b.ask.Place, b.ask.TTL = true, to, time.Until(b.deadline)
	var past idempotency.KeyState
	if b.state = ownership.Unknown; b.ask.TTL > 0 {
		b.state, past = b.fleet.ClaimKey(ctx, b.ask)
	}
	if b.state == ownership.Unknown { // it may be bound to any group
		past = nowhere
	}
	b.know.Lock()
	defer b.know.Unlock()
	b.past = past
}

// nowhere is what is known of a key where nothing can be known: nothing can be sent anywhere.
var nowhere = idempotency.KeyState{Known: true, SeveralGroups: true}

// end tells the voters that the request is over.
func (b *binder) end(mayHaveRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over = true; b.asked && !b.resumed {
		b.fleet.Release(ownership.Release{Attempt: b.ask.Attempt, NeverRan: !mayHaveRun})
	}
}
