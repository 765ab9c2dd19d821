package ownership

import (
	"time"

	"silvertrail/internal/balancer/history"
)

// State is how far an asker has come.
type State uint8

// The states. All but Pending are final.
const (
	Pending        State = iota
	Claimed              // a majority agrees: attempts may go to the place until Until
	OwnedElsewhere       // no majority can agree, as the key is held by another group or its window is over
	Unknown              // no majority can tell
)

func (s State) String() string { return [...]string{"pending", "bound", "elsewhere", "unknown"}[s] }

// Proposer is one ask put to all voters. It is not safe for concurrent use.
type Proposer struct {
	proposal  Proposal
	madeAt    time.Time
	responses []Response
	responded []bool
}

// NewProposer returns an asker of n voters, for an ask that is made now.
func NewProposer(now time.Time, a Proposal, n int) *Proposer {
	return &Proposer{proposal: a, madeAt: now, responses: make([]Response, n), responded: make([]bool, n)}
}

// Proposal returns what is to be sent to each voter that has not answered.
func (k *Proposer) Proposal() Proposal { return k.proposal }

// IsAwaiting tells whether a voter has not answered.
func (k *Proposer) IsAwaiting(voter int) bool { return !k.responded[voter] }

// Receive takes a voter's answer. One that answers something else, or comes a second time, is passed over. A voter that was
// silent may agree later.
func (k *Proposer) Receive(voter int, a Response) {
	if voter < 0 || voter >= len(k.responded) || a.Attempt != k.proposal.Attempt || a.Round != k.proposal.Round || k.responded[voter] && k.responses[voter].Vote != Abstain {
		return
	}
	k.responded[voter], k.responses[voter] = true, a
}

// State tells how far the ask has come. Past goes with Bound and Elsewhere: the group that the key is held by, and until
// when attempts may be decided on, by the earliest word of those that count. All times are taken from the ask's making,
// before which no voter can have written them.
func (k *Proposer) State() (State, history.Past) {
	yes, held, open := 0, 0, 0
	var agreed, other history.Past
	for i, told := range k.responded {
		a := k.responses[i]
		until := k.madeAt.Add(a.Remaining)
		switch {
		case !told:
			open++
		case a.Vote == Grant:
			yes++
			if !agreed.Known || until.Before(agreed.Until) {
				agreed = history.Past{Known: true, Place: k.proposal.Place, Until: until}
			}
		case a.Vote == HeldElsewhere:
			held++
			if !other.Known || until.Before(other.Until) {
				other = history.Past{Known: true, Place: a.Place, Split: a.Split, Until: until}
			}
		}
	}
	need := Majority(len(k.responded))
	switch {
	case yes >= need:
		return Claimed, agreed
	case yes+open >= need:
		return Pending, history.Past{}
	case held > 0:
		return OwnedElsewhere, other
	}
	return Unknown, history.Past{}
}

// IsValid tells whether an attempt may still start under the ask.
func (k *Proposer) IsValid(now time.Time) bool { return now.Before(k.madeAt.Add(k.proposal.TTL)) }
