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

// keyClaimer claims the key of one request from the fleet's voters. It implements engine.Claimer.
type keyClaimer struct {
	fleet    *fleet.Fleet
	deadline time.Time

	mu       sync.Mutex // one claim at a time
	proposal ownership.Proposal
	proposed bool
	// resumed: another site has begun the request, and reports its end to the voters.
	resumed        bool
	reservedRounds uint32 // for another site that the request is forwarded to
	ended          bool   // no claim may follow the request's end
	ownership      ownership.State

	keyStateMu sync.Mutex
	keyState   idempotency.KeyState
}

func newKeyClaimer(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time) *keyClaimer {
	return &keyClaimer{
		fleet:          f,
		deadline:       deadline,
		reservedRounds: reservedRoundsAfter(0),
		proposal:       ownership.Proposal{Claim: f.NextClaimID(), Key: id, Scope: c.Scope, Window: c.Window, Retention: c.Retention},
	}
}

// resumeKeyClaimer returns the claimer of a request that another site has begun, under the numbers by which the voters know it. The other
// site reports its end.
func resumeKeyClaimer(f *fleet.Fleet, id idempotency.KeyID, c *conf.Class, deadline time.Time, claimID ownership.ClaimID, round uint32, visitedSites int) *keyClaimer {
	b := newKeyClaimer(f, id, c, deadline)
	b.reservedRounds = reservedRoundsAfter(visitedSites)
	b.proposal.Claim = claimID
	b.proposal.Round = round
	b.proposed = true
	b.resumed = true
	return b
}

const (
	maxResumedSites   = 3  // the numbers of a request are passed on to so many sites
	roundBits         = 24 // log2 of the rounds that the first site reserves for the next
	roundBitsPerVisit = 6  // each further site reserves 64 times fewer
)

// reservedRoundsAfter returns how many rounds a site reserves for another one that a request is forwarded to, after so many visited sites:
// the other site's response may be lost, and with it the last round that it proposed. Each site has at least 64 rounds for itself and for
// those that it forwards the request to. Beyond the bound none are reserved: a further site claims in its own name.
func reservedRoundsAfter(visitedSites int) uint32 {
	if visitedSites > maxResumedSites {
		return 0
	}
	return 1 << (roundBits - roundBitsPerVisit*visitedSites)
}

// delegate returns the numbers under which another site may go on with the request, none of whose attempts here ran. Its reserved rounds
// are not proposed here any more.
func (b *keyClaimer) delegate() (ownership.ClaimID, uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	round := b.proposal.Round
	if b.reservedRounds == 0 || round > math.MaxUint32-b.reservedRounds {
		return ownership.ClaimID{}, 0
	}
	b.proposed = true
	b.ownership = ownership.Pending
	b.proposal.Round += b.reservedRounds
	return b.proposal.Claim, round
}

// KeyState implements engine.Claimer.
func (b *keyClaimer) KeyState() idempotency.KeyState {
	b.keyStateMu.Lock()
	defer b.keyStateMu.Unlock()
	return b.keyState
}

// IsActive implements engine.Claimer.
func (b *keyClaimer) IsActive() bool { return true }

// Claim implements engine.Claimer. An attempt in the group that owns the key needs no further claim. One in another group claims only where
// no attempt before it ran: the request's idempotency history ensures that.
func (b *keyClaimer) Claim(ctx context.Context, place idempotency.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isOwned := b.ownership == ownership.Claimed && b.KeyState().Allows(place, b.proposal.Scope)
	if b.ended || ctx.Err() != nil || isOwned {
		return
	}
	if b.proposed {
		b.proposal.Round++
	}
	b.proposed = true
	b.proposal.Place = place
	b.proposal.TTL = time.Until(b.deadline)
	b.ownership = ownership.Unknown
	state := unknownOwner
	if b.proposal.TTL > 0 {
		b.ownership, state = b.fleet.ClaimKey(ctx, b.proposal)
	}
	if b.ownership == ownership.Unknown { // any group may own it
		state = unknownOwner
	}
	b.keyStateMu.Lock()
	defer b.keyStateMu.Unlock()
	b.keyState = state
}

// unknownOwner is the state of a key of which nothing can be known: nothing may be sent anywhere.
var unknownOwner = idempotency.KeyState{Known: true, SeveralGroups: true}

// release reports the end of the request to the voters.
func (b *keyClaimer) release(mayHaveRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if b.proposed && !b.resumed {
		b.fleet.Release(ownership.Release{Claim: b.proposal.Claim, NeverRan: !mayHaveRun})
	}
}
