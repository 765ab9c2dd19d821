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

// keyClaimer binds one request's key over the fleet. It implements host.Binder.
type keyClaimer struct {
	fleet    *fleet.Fleet
	proposal ownership.Proposal
	deadline time.Time

	mu       sync.Mutex // one ask at a time
	proposed bool
	// resumed: another sala has begun the request and tells the voters of its end.
	resumed        bool
	reservedRounds uint32 // of turns that are another sala's when the request is carried to it
	ended          bool   // the request is: no ask of it may follow its end
	ownership      ownership.State
	keyStateMu     sync.Mutex // of past
	keyState       idempotency.KeyState
}

func newKeyClaimer(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time) *keyClaimer {
	return &keyClaimer{fleet: f, deadline: deadline, reservedRounds: reservedRoundsAfter(0), proposal: ownership.Proposal{Attempt: f.NextAttemptID(), Key: id, Scope: c.Scope, Window: c.Window, Retention: c.Retention}}
}

// resumeKeyClaimer returns the binder of a request that another sala has begun, under the numbers that the voters know it by. Its end
// is the other sala's to tell.
func resumeKeyClaimer(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time, try ownership.AttemptID, turn uint32, been int) *keyClaimer {
	b := newKeyClaimer(f, id, c, deadline)
	b.reservedRounds = reservedRoundsAfter(been)
	b.proposal.Attempt, b.proposal.Round, b.proposed, b.resumed = try, turn, true, true
	return b
}

// reservedRoundsAfter returns how many turns another sala has to itself, for a request that has been to so many: its answer may be lost,
// and with it the last turn that it asked for. Each has room for 64 of its own and of those that it carries the request
// to, at least. Past the fourth sala there is none: what it is carried to asks in its own name.
func reservedRoundsAfter(been int) uint32 {
	if been > 3 {
		return 0
	}
	return 1 << (24 - 6*been)
}

// delegate returns the numbers under which another sala may go on with the request, all of whose attempts here never ran. The
// turns that it may ask for are not asked for here any more.
func (b *keyClaimer) delegate() (ownership.AttemptID, uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	turn := b.proposal.Round
	if b.reservedRounds == 0 || turn > math.MaxUint32-b.reservedRounds {
		return ownership.AttemptID{}, 0
	}
	b.proposed, b.ownership = true, ownership.Pending
	b.proposal.Round += b.reservedRounds
	return b.proposal.Attempt, turn
}

func (b *keyClaimer) KeyState() idempotency.KeyState {
	b.keyStateMu.Lock()
	defer b.keyStateMu.Unlock()
	return b.keyState
}

// IsActive implements host.Binder.
func (b *keyClaimer) IsActive() bool { return true }

// Claim implements host.Binder. An attempt in the group that the key is bound to already needs no further ask. One in
// another group is asked for only where all attempts before it never ran: the history has seen to that.
func (b *keyClaimer) Claim(ctx context.Context, to idempotency.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || ctx.Err() != nil || b.ownership == ownership.Claimed && b.KeyState().Allows(to, b.proposal.Scope) {
		return
	}
	if b.proposed {
		b.proposal.Round++
	}
	b.proposed, b.proposal.Place, b.proposal.TTL = true, to, time.Until(b.deadline)
	var past idempotency.KeyState
	if b.ownership = ownership.Unknown; b.proposal.TTL > 0 {
		b.ownership, past = b.fleet.ClaimKey(ctx, b.proposal)
	}
	if b.ownership == ownership.Unknown { // it may be bound to any group
		past = unknownOwner
	}
	b.keyStateMu.Lock()
	defer b.keyStateMu.Unlock()
	b.keyState = past
}

// unknownOwner is what is known of a key where nothing can be known: nothing can be sent anywhere.
var unknownOwner = idempotency.KeyState{Known: true, SeveralGroups: true}

// release tells the voters that the request is over.
func (b *keyClaimer) release(mayHaveRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended = true; b.proposed && !b.resumed {
		b.fleet.Release(ownership.Release{Attempt: b.proposal.Attempt, NeverRan: !mayHaveRun})
	}
}
