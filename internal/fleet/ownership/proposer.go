package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
)

// State is the progress of a proposal.
type State uint8

// The states. The caller waits for further responses only while the state is Pending.
const (
	Pending        State = iota
	Claimed              // a majority has granted the proposal: attempts may be sent to its place
	OwnedElsewhere       // no majority can grant it, because another group owns the key or the key's window is over
	Unknown              // no majority can grant it, and no voter has reported an owner of the key
)

func (s State) String() string { return [...]string{"pending", "bound", "elsewhere", "unknown"}[s] }

// Proposer collects the responses of all voters to one proposal. It is not safe for concurrent use.
type Proposer struct {
	proposal  Proposal
	madeAt    time.Time
	responses []Response
	responded []bool
}

// NewProposer returns a proposer for a proposal that is created at now, and for a number of voters.
func NewProposer(now time.Time, p Proposal, voters int) *Proposer {
	return &Proposer{proposal: p, madeAt: now, responses: make([]Response, voters), responded: make([]bool, voters)}
}

// Proposal returns the proposal to send to each voter that has not responded.
func (p *Proposer) Proposal() Proposal { return p.proposal }

// IsAwaiting reports whether a voter has not responded.
func (p *Proposer) IsAwaiting(voter int) bool { return !p.responded[voter] }

// Receive records a voter's response. Responses to other proposals and repeated responses are ignored, but a voter that has
// abstained may vote later.
func (p *Proposer) Receive(voter int, r Response) {
	if voter < 0 || voter >= len(p.responded) {
		return
	}
	if r.Claim != p.proposal.Claim || r.Round != p.proposal.Round {
		return
	}
	if p.responded[voter] && p.responses[voter].Vote != Abstain {
		return
	}
	p.responded[voter], p.responses[voter] = true, r
}

// State returns the progress of the proposal. With Claimed and OwnedElsewhere it also returns the state of the key: the group
// that owns it, and the time until which attempts may be decided on. That time is the earliest one among the responses with
// the deciding vote. It is counted from the creation of the proposal, because no voter can have responded earlier.
func (p *Proposer) State() (State, idempotency.KeyState) {
	granted, refused, outstanding := 0, 0, 0
	var claimed, owned idempotency.KeyState
	for i, r := range p.responses {
		until := p.madeAt.Add(r.Remaining)
		switch {
		case !p.responded[i]:
			outstanding++
		case r.Vote == Grant:
			granted++
			if !claimed.Known || until.Before(claimed.RetryUntil) {
				claimed = idempotency.KeyState{Known: true, Place: p.proposal.Place, RetryUntil: until}
			}
		case r.Vote == HeldElsewhere:
			refused++
			if !owned.Known || until.Before(owned.RetryUntil) {
				owned = idempotency.KeyState{Known: true, Place: r.Place, SeveralGroups: r.SeveralGroups, RetryUntil: until}
			}
		}
	}
	majority := Majority(len(p.responded))
	switch {
	case granted >= majority:
		return Claimed, claimed
	case granted+outstanding >= majority:
		return Pending, idempotency.KeyState{}
	case refused > 0:
		return OwnedElsewhere, owned
	}
	return Unknown, idempotency.KeyState{}
}

// IsValid reports whether an attempt may still start under the proposal.
func (p *Proposer) IsValid(now time.Time) bool { return now.Before(p.madeAt.Add(p.proposal.TTL)) }
