package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// The messages are encoded as arrays in the order of their fields, which must not change.

// ClaimID identifies the claim of one request on its idempotency key, with all proposals for it. Process is a random number
// that each process draws at its start, so that the IDs of a restarted process differ from its earlier ones.
type ClaimID struct {
	Process uint64 `codec:"Process"`
	Number  uint64 `codec:"Number"`
}

// Proposal asks a voter to agree that the attempts of a request with an idempotency key go to a place.
type Proposal struct {
	Claim     ClaimID
	Round     uint32 // increases with each other place that is proposed for the request; replaces the proposals of lower rounds
	Key       idempotency.KeyID
	Place     idempotency.Place
	Scope     lbpolicy.Scope
	Window    time.Duration
	Retention time.Duration
	TTL       time.Duration // no attempt starts under the proposal once this time has passed since its creation
}

// Vote is a voter's decision on a proposal.
type Vote uint8

// The votes.
const (
	Abstain       Vote = iota // the voter cannot decide, for example because it restarted recently or has no capacity for more keys
	Grant                     // the voter agrees to the proposed place
	HeldElsewhere             // attempts with the key may have run elsewhere or are running there, or the key's window is over
)

// Response answers a Proposal.
type Response struct {
	Claim         ClaimID
	Round         uint32
	Vote          Vote
	Place         idempotency.Place // a place in the group that owns the key, if the voter knows of one
	SeveralGroups bool              // whether attempts with the key went to several groups
	Remaining     time.Duration     // time left to send further attempts, counted from the response
}

// Release tells a voter that a request has ended.
type Release struct {
	Claim    ClaimID
	NeverRan bool // whether it is known that none of its attempts ran
}

// KeyState is a voter's record of a key, as it is sent to another voter. Durations are relative to the time of
// the message.
type KeyState struct {
	Key          idempotency.KeyID
	Place        idempotency.Place
	SeveralZones bool          // attempts went to several zones
	SeveralCells bool          // attempts went to several cells
	RetryFor     time.Duration // how long further attempts may be decided on
	ExpiresIn    time.Duration
}
