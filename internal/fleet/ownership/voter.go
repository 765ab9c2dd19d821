// Package ownership lets several processes agree on the group of endpoints that owns an idempotency key, so that no retry
// through another process goes to another group.
//
// The package does no I/O and reads no clock. Messages are values that the host delivers: late, twice, out of order, or never.
// A Voter and a Proposer each belong to one host, which serialises all calls.
//
// The configuration names the processes that are voters. Each voter remembers the places that it has granted for a key.
// Before a process sends the first byte of an attempt, it proposes the attempt's place to all voters, and it continues only
// if a majority grants the place. Any two majorities share a voter, and a voter grants no second group while an attempt in
// the first group may run or is remembered. No process has to know which voters are alive: if no majority responds in time,
// nothing is sent.
//
// A voter loses its grants when its process ends. A restarted voter abstains until everything that it may have granted before
// has expired, or until it has recovered those keys from the other voters (see Snapshot).
package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/base/timerqueue"
	"silvertrail/lbpolicy"
)

// Majority returns how many of n voters have to agree.
func Majority(n int) int { return n/2 + 1 }

// CanReconfigure reports whether the list of voters may change from old to next in one step: every majority of old must share
// a voter with every majority of next. Adding or removing one voter is allowed, but replacing one takes two steps. Any change
// from or to an empty list is allowed.
func CanReconfigure(old, next []string) bool {
	all := map[string]bool{}
	for _, name := range old {
		all[name] = true
	}
	for _, name := range next {
		all[name] = true
	}
	return len(old) == 0 || len(next) == 0 || Majority(len(old))+Majority(len(next)) > len(all)
}

// grantsPerKey limits the grants that a voter holds, as a multiple of the number of keys that it may remember.
const grantsPerKey = 2

// Voter votes on proposals and remembers its grants. It is not safe for concurrent use.
type Voter struct {
	table               *idempotency.Table
	maxKeys             int
	grants              map[ClaimID]*grant
	expiry              timerqueue.Queue[*grant]
	abstainUntil        time.Time
	snapshotsUsefulFrom time.Time       // all grants of earlier incarnations have expired by then
	mergedFrom          map[string]bool // voters whose whole snapshot has been merged
}

// grant records a proposal that was granted, or a request that is known to have ended.
type grant struct {
	claim   ClaimID
	round   uint32
	place   idempotency.Place
	request *idempotency.Request
	attempt *idempotency.Attempt
	ended   bool
}

// VoterOptions configure a voter.
type VoterOptions struct {
	MaxKeys int // maximum number of keys that are remembered
	// AbstainFor is how long the voter abstains after its start: as long as an attempt that it may have granted in an earlier
	// incarnation has to be remembered. It is zero if there was no earlier incarnation.
	AbstainFor     time.Duration
	MaxProposalTTL time.Duration // upper limit of Proposal.TTL
}

// NewVoter returns a voter that starts at now.
func NewVoter(now time.Time, o VoterOptions) *Voter {
	return &Voter{
		table:               idempotency.New(o.MaxKeys),
		maxKeys:             o.MaxKeys,
		grants:              map[ClaimID]*grant{},
		abstainUntil:        now.Add(o.AbstainFor),
		snapshotsUsefulFrom: now.Add(o.MaxProposalTTL),
		mergedFrom:          map[string]bool{},
	}
}

// Vote returns the response to a proposal. ok is false for an outdated proposal, which gets no response.
func (v *Voter) Vote(now time.Time, p Proposal) (response Response, ok bool) {
	v.expire(now)
	current := v.grants[p.Claim]
	if current != nil && (current.ended || p.Round < current.round) {
		return Response{}, false
	}
	response = Response{Claim: p.Claim, Round: p.Round, Vote: v.decide(now, p, current), Remaining: p.TTL}
	known := v.priorKeyState(now, p, response.Vote)
	response.Place, response.SeveralGroups = known.Place, known.SeveralGroups
	if known.Known {
		response.Remaining = known.RetryUntil.Sub(now)
	}
	if now.Before(v.abstainUntil) && response.Vote == Grant { // the grant is still recorded: other voters may agree
		response.Vote = Abstain
	}
	return response, true
}

// priorKeyState returns what the voter knows of the key. For a granted proposal it leaves out the attempts of that proposal, which
// its proposer knows.
func (v *Voter) priorKeyState(now time.Time, p Proposal, vote Vote) idempotency.KeyState {
	if vote == Grant {
		return v.grants[p.Claim].attempt.OtherAttemptsState()
	}
	return v.table.KeyState(now, p.Key, p.Scope)
}

// decide returns the vote on a proposal, and records the grant if there is one.
func (v *Voter) decide(now time.Time, p Proposal, current *grant) Vote {
	if current != nil && current.round == p.Round {
		if current.place == p.Place {
			return Grant // the proposal was repeated, or its response was lost
		}
		return Abstain // two processes that continue one request use the same round: neither may rely on it
	}
	if current != nil {
		current.attempt.End(now, true) // the proposer has given up its earlier place, where no attempt ran
		v.remove(current)
	}
	if len(v.grants) >= grantsPerKey*v.maxKeys {
		return Abstain
	}
	return v.grant(now, p)
}

// grant grants a proposal and records the grant, if the earlier attempts with the key allow it.
func (v *Voter) grant(now time.Time, p Proposal) Vote {
	request, err := v.table.Begin(now, p.Key, idempotency.Fingerprint{})
	if err != nil {
		return Abstain
	}
	terms := idempotency.Terms{Scope: p.Scope, Window: p.Window, Retention: p.Retention + p.TTL}
	attempt, err := request.Reserve(now, p.Place, terms)
	if err != nil {
		request.End()
		return HeldElsewhere
	}
	v.record(now.Add(p.TTL), &grant{claim: p.Claim, round: p.Round, place: p.Place, request: request, attempt: attempt})
	return Grant
}

func (v *Voter) record(expires time.Time, g *grant) {
	v.grants[g.claim] = g
	v.expiry.Push(expires, g)
}

// Release ends a request. The end is remembered until no proposal of the request can arrive any more.
func (v *Voter) Release(now time.Time, r Release, maxProposalTTL time.Duration) {
	v.expire(now)
	current := v.grants[r.Claim]
	if current == nil {
		if len(v.grants) < grantsPerKey*v.maxKeys {
			v.record(now.Add(maxProposalTTL), &grant{claim: r.Claim, ended: true})
		}
		return
	}
	if !current.ended {
		current.ended = true
		current.attempt.End(now, r.NeverRan)
		current.request.End()
	}
}

func (v *Voter) remove(g *grant) {
	if v.grants[g.claim] == g {
		delete(v.grants, g.claim)
	}
	if !g.ended {
		g.ended = true
		g.request.End()
	}
}

// expire ends the grants whose TTL has passed. No attempt starts under them any more. If a grant was not released, its attempts
// may have run.
func (v *Voter) expire(now time.Time) {
	for {
		g, ok := v.expiry.Pop(now)
		if !ok {
			return
		}
		if !g.ended {
			g.attempt.End(now, false)
		}
		v.remove(g)
	}
}

// AbstainsUntil returns the time until which the voter abstains.
func (v *Voter) AbstainsUntil() time.Time { return v.abstainUntil }

// KeyState returns what the voter knows of a key.
func (v *Voter) KeyState(now time.Time, key idempotency.KeyID, scope lbpolicy.Scope) idempotency.KeyState {
	v.expire(now)
	return v.table.KeyState(now, key, scope)
}

// Len returns the number of keys that are remembered.
func (v *Voter) Len() int { return v.table.Len() }
