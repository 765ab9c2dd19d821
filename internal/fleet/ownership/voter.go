// Package ownership lets several processes agree on the group of endpoints that owns an idempotency key, so that no retry
// through another process goes to another group.
//
// The package does no I/O and reads no clock: messages are values that a host carries, late, twice, out of order, or never. A
// Voter and a Proposer each belong to one host, which serialises all calls.
//
// The processes that the configuration names as voters each remember the places that they have granted for a key. Before
// the first byte of an attempt is sent, a process proposes its place to all voters, and goes on when a majority grants it.
// Two majorities share a voter, and a voter grants no second group while an attempt of the first one may run or be
// remembered. Nobody has to know which voters are alive: where no majority responds in time, nothing is sent.
//
// What a voter has granted is lost when it ends. A restarted voter abstains until all that it may have granted before has
// expired, or until it has learnt it again from the other voters (see Snapshot).
package ownership

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/base/timerqueue"
	"silvertrail/lbpolicy"
)

// Majority returns how many of n voters must agree.
func Majority(n int) int { return n/2 + 1 }

// CanReconfigure reports whether one list of voters may directly follow another one: any majority of the one must share a
// voter with any majority of the other. Adding one voter is allowed, and removing one; replacing one takes two steps.
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

// grantsPerKey bounds the grants of a voter by the number of keys that it remembers.
const grantsPerKey = 2

// Voter remembers what it has granted. It is not safe for concurrent use.
type Voter struct {
	table               *idempotency.Table
	maxKeys             int
	grants              map[AttemptID]*grant
	expiry              timerqueue.Queue[*grant]
	abstainUntil        time.Time
	snapshotsUsefulFrom time.Time // snapshots count from then on
	mergedFrom          map[string]bool
}

// grant is an attempt that was granted, or one that is known to have ended.
type grant struct {
	attempt AttemptID
	round   uint32
	place   idempotency.Place
	request *idempotency.Request
	sent    *idempotency.Attempt
	ended   bool
}

// VoterOptions configure a voter.
type VoterOptions struct {
	MaxKeys int // that are remembered
	// AbstainFor is how long the voter abstains: as long as anything is remembered of an attempt that it may have granted
	// before it was started. Zero: nothing was.
	AbstainFor     time.Duration
	MaxProposalTTL time.Duration
}

// NewVoter returns a voter that starts now.
func NewVoter(now time.Time, o VoterOptions) *Voter {
	return &Voter{
		table:               idempotency.New(o.MaxKeys),
		maxKeys:             o.MaxKeys,
		grants:              map[AttemptID]*grant{},
		abstainUntil:        now.Add(o.AbstainFor),
		snapshotsUsefulFrom: now.Add(o.MaxProposalTTL),
		mergedFrom:          map[string]bool{},
	}
}

// Vote responds to a proposal; ok is false for an outdated one, which gets no response.
func (v *Voter) Vote(now time.Time, p Proposal) (response Response, ok bool) {
	v.expire(now)
	current := v.grants[p.Attempt]
	if current != nil && (current.ended || p.Round < current.round) {
		return Response{}, false
	}
	response = Response{Attempt: p.Attempt, Round: p.Round, Vote: v.decide(now, p, current), Remaining: p.TTL}
	known := v.priorKeyState(now, p, response.Vote)
	response.Place, response.Split = known.Place, known.SeveralGroups
	if known.Known {
		response.Remaining = known.RetryUntil.Sub(now)
	}
	if now.Before(v.abstainUntil) && response.Vote == Grant { // the grant is recorded all the same: others may agree
		response.Vote = Abstain
	}
	return response, true
}

// priorKeyState returns what the voter knows of the key. The attempts of a granted proposal itself are left to its proposer.
func (v *Voter) priorKeyState(now time.Time, p Proposal, vote Vote) idempotency.KeyState {
	if vote == Grant {
		return v.grants[p.Attempt].sent.OtherAttempts()
	}
	return v.table.KeyState(now, p.Key, p.Scope)
}

// decide votes on a proposal, and records a grant.
func (v *Voter) decide(now time.Time, p Proposal, current *grant) Vote {
	if current != nil && current.round == p.Round {
		if current.place == p.Place {
			return Grant // the proposal came twice, or the response was lost
		}
		return Abstain // two processes that continue one attempt have taken the same round: neither may rely on it
	}
	if current != nil {
		current.sent.End(now, true) // the proposer has ended its attempts there: they never ran
		v.remove(current)
	}
	if len(v.grants) >= grantsPerKey*v.maxKeys {
		return Abstain
	}
	return v.grant(now, p)
}

// grant records a grant where the history of the key allows one.
func (v *Voter) grant(now time.Time, p Proposal) Vote {
	request, err := v.table.Begin(now, p.Key, idempotency.Fingerprint{})
	if err != nil {
		return Abstain
	}
	terms := idempotency.Terms{Scope: p.Scope, Window: p.Window, Retention: p.Retention + p.TTL}
	sent, err := request.Send(now, p.Place, terms)
	if err != nil {
		request.End()
		return HeldElsewhere
	}
	v.record(now.Add(p.TTL), &grant{attempt: p.Attempt, round: p.Round, place: p.Place, request: request, sent: sent})
	return Grant
}

func (v *Voter) record(expires time.Time, g *grant) {
	v.grants[g.attempt] = g
	v.expiry.Push(expires, g)
}

// Release ends an attempt. That it has ended is remembered until no proposal of it can arrive any more.
func (v *Voter) Release(now time.Time, r Release, maxProposalTTL time.Duration) {
	v.expire(now)
	current := v.grants[r.Attempt]
	if current == nil {
		if len(v.grants) < grantsPerKey*v.maxKeys {
			v.record(now.Add(maxProposalTTL), &grant{attempt: r.Attempt, ended: true})
		}
		return
	}
	if !current.ended {
		current.ended = true
		current.sent.End(now, r.NeverRan)
		current.request.End()
	}
}

func (v *Voter) remove(g *grant) {
	if v.grants[g.attempt] == g {
		delete(v.grants, g.attempt)
	}
	if !g.ended {
		g.ended = true
		g.request.End()
	}
}

// expire ends the grants whose time is over: no attempt starts under them any more, and nobody has said whether one has run.
func (v *Voter) expire(now time.Time) {
	for {
		g, ok := v.expiry.Pop(now)
		if !ok {
			return
		}
		if !g.ended {
			g.sent.End(now, false)
		}
		v.remove(g)
	}
}

// AbstainsUntil returns until when the voter abstains.
func (v *Voter) AbstainsUntil() time.Time { return v.abstainUntil }

// KeyState returns what the voter knows of a key.
func (v *Voter) KeyState(now time.Time, key idempotency.KeyID, scope lbpolicy.Scope) idempotency.KeyState {
	v.expire(now)
	return v.table.KeyState(now, key, scope)
}

// Len returns the number of keys that are remembered.
func (v *Voter) Len() int { return v.table.Len() }
