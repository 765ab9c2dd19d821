package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// The messages are encoded as arrays in the order of their fields, which must not change.

// AttemptID identifies one request of one process. The process is a random number drawn at its start, so that a restarted
// process is another one.
type AttemptID struct {
	Process uint64 `codec:"Process"`
	Number  uint64 `codec:"Number"`
}

// Proposal asks a voter to agree that the attempts of a key go to a place.
type Proposal struct {
	Attempt   AttemptID
	Round     uint32 // of the attempt; a proposal with another place has a higher one and replaces the earlier one
	Key       idempotency.KeyID
	Place     idempotency.Place
	Scope     lbpolicy.Scope
	Window    time.Duration
	Retention time.Duration
	TTL       time.Duration // no attempt starts under the proposal after this time, counted from its making
}

// Vote is a voter's answer to a proposal.
type Vote uint8

// The votes.
const (
	Abstain       Vote = iota // the voter cannot tell: it has started lately, or has no capacity for more keys
	Grant                     // the voter agrees
	HeldElsewhere             // the key may have run, or is running, where this attempt must not follow
)

// Response answers a Proposal.
type Response struct {
	Attempt   AttemptID
	Round     uint32
	Vote      Vote
	Place     idempotency.Place // of the group that owns the key
	Split     bool              // whether several groups have had the key
	Remaining time.Duration     // to send further attempts, from the response on
}

// Release tells a voter that a request has ended.
type Release struct {
	Attempt  AttemptID
	NeverRan bool // all its attempts are known never to have run
}

// KeyState is what one voter tells another about a key. Times count from the message on.
type KeyState struct {
	Key          idempotency.KeyID
	Place        idempotency.Place
	SeveralZones bool // attempts went to several zones
	SeveralCells bool // attempts went to several cells
	RetryFor     time.Duration
	ExpiresIn    time.Duration
}
