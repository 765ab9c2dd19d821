// Package ownership lets several processes agree on the group of endpoints that a key's attempts go to, so that no repeat
// through another process goes to another group. It does no I/O and has no clock: messages are values that a host carries,
// late, twice, out of order or never.
//
// The processes that a file names as voters each remember which places they have agreed to for a key. Before the first
// byte of an attempt goes out a process asks all voters, and goes on when a majority of them agrees. Two majorities share
// a voter, and a voter agrees to no second group while an attempt of the first may run or be remembered. Nothing has to
// be known of who is alive: where no majority answers in time, nothing is sent.
//
// What a voter has agreed to is lost when it ends. One that has just started is silent until all that it may have agreed
// to before is over, or until it has learnt it again from the other voters (see Copy).
package ownership

import (
	"time"

	"silvertrail/decide"
	"silvertrail/internal/balancer/history"
	"silvertrail/internal/base/due"
)

// AttemptID names one request of one process: the process by a number drawn at its start, so that a process that was started
// again is another one.
type AttemptID struct {
	Process uint64 `codec:"Process"`
	Number  uint64 `codec:"Number"`
}

// Proposal asks a voter to agree that a key's attempts go to a place.
type Proposal struct {
	Attempt   AttemptID
	Round     uint32 // of the try; one with another place has a higher one and replaces what was agreed to before
	Key       history.ID
	Place     history.Place
	Scope     decide.Scope
	Window    time.Duration
	Retention time.Duration
	TTL       time.Duration // no attempt starts under the ask when this is over, counted from its making
}

// Vote is a voter's word.
type Vote uint8

// The votes.
const (
	Abstain Vote = iota // it can't tell: it has started lately, or has no room for more keys
	Grant
	HeldElsewhere // the key may have run, or runs, where this attempt must not follow
)

// Response answers an Ask.
type Response struct {
	Attempt   AttemptID
	Round     uint32
	Vote      Vote
	Place     history.Place // where the key is held
	Split     bool          // in several groups
	Remaining time.Duration // that is left to send further attempts, from the voter's answer on
}

// Release tells a voter that a try is over.
type Release struct {
	Attempt  AttemptID
	NeverRan bool // all its attempts are known never to have run
}

// Majority is how many of n voters must agree.
func Majority(n int) int { return n/2 + 1 }

// CanReconfigure tells whether one list of voters may follow another at once: any majority of the one shares a voter with any of
// the other. To add one voter is allowed, and to take one away; to put one in another's place takes two steps.
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

// Voter remembers what it has agreed to. It is not safe for concurrent use.
type Voter struct {
	table            *history.Table
	maxKeys          int
	grants           map[AttemptID]*grant
	expiry           due.Queue[*grant]
	abstainUntil     time.Time // it says nothing before
	copiesUsefulFrom time.Time // what other voters copy from then on counts
	copiedFrom       map[string]bool
}

// grant is a try that was agreed to, or one that is known to be over.
type grant struct {
	attempt AttemptID
	round   uint32
	place   history.Place
	request *history.Request
	sent    *history.Try
	ended   bool
}

// VoterOptions tells what a voter begins with.
type VoterOptions struct {
	MaxKeys int // keys that are remembered at most
	// AbstainFor is for how long it says nothing: as long as anything is remembered of an attempt that it may have agreed to
	// before it was started. 0: nothing was.
	AbstainFor time.Duration
	// MaxProposalTTL is the longest life of an ask.
	MaxProposalTTL time.Duration
}

// NewVoter returns a voter that is started now.
func NewVoter(now time.Time, s VoterOptions) *Voter {
	return &Voter{table: history.New(s.MaxKeys), maxKeys: s.MaxKeys, grants: map[AttemptID]*grant{}, abstainUntil: now.Add(s.AbstainFor), copiesUsefulFrom: now.Add(s.MaxProposalTTL),
		copiedFrom: map[string]bool{}}
}

// KeyState is what one voter tells another of a key. Times count from the telling on.
type KeyState struct {
	Key                        history.ID
	Place                      history.Place
	SeveralZones, SeveralCells bool // it has been in several
	RetryFor, ExpiresIn        time.Duration
}

// Snapshot returns all that the voter knows, for another one that has been started; nothing where it is silent itself.
func (v *Voter) Snapshot(now time.Time) (all []KeyState, ok bool) {
	if now.Before(v.abstainUntil) {
		return nil, false
	}
	v.expire(now)
	v.table.Each(now, func(k history.Key) bool {
		if k.Past.Known {
			all = append(all, KeyState{k.ID, k.Past.Place, k.Zones, k.Cells, k.Past.Until.Sub(now), k.Expire.Sub(now)})
		}
		return true
	})
	return all, true
}

// NeedsSnapshots tells whether copies are of use. They are once no attempt can go out any more under what this voter agreed to in a
// former life: those that have gone out are then known to all others of the majorities that agreed.
func (v *Voter) NeedsSnapshots(now time.Time) bool {
	return now.Before(v.abstainUntil) && !now.Before(v.copiesUsefulFrom)
}

// MergeSnapshot takes a part of a copy that was asked for when Wants said so.
func (v *Voter) MergeSnapshot(now time.Time, part []KeyState) {
	for _, k := range part {
		v.table.Learn(now, history.Key{ID: k.Key, Past: history.Past{Known: true, Place: k.Place, Until: now.Add(k.RetryFor)},
			Zones: k.SeveralZones, Cells: k.SeveralCells, Expire: now.Add(k.ExpiresIn)})
	}
}

// SnapshotCompleted tells that the whole copy of another one of so many voters has been learnt. With so many copies that none of the
// majorities that this voter can have been one of is left out, it speaks again.
func (v *Voter) SnapshotCompleted(now time.Time, from string, voters int) {
	if v.copiedFrom[from] = true; len(v.copiedFrom) >= voters-Majority(voters)+1 && v.NeedsSnapshots(now) {
		v.abstainUntil = now
	}
}

// Vote answers an ask; ok is false where it is an old one and gets no answer.
func (v *Voter) Vote(now time.Time, a Proposal) (out Response, ok bool) {
	v.expire(now)
	h := v.grants[a.Attempt]
	if h != nil && (h.ended || a.Round < h.round) {
		return out, false
	}
	out = Response{Attempt: a.Attempt, Round: a.Round, Vote: v.decide(now, a, h)}
	p := history.Past{}
	if out.Vote == Grant { // by its own attempts the asker goes itself
		p = v.grants[a.Attempt].sent.Others()
	} else {
		p = v.table.Past(now, a.Key, a.Scope)
	}
	if out.Place, out.Split, out.Remaining = p.Place, p.Split, a.TTL; p.Known {
		out.Remaining = p.Until.Sub(now)
	}
	if now.Before(v.abstainUntil) && out.Vote == Grant { // it is noted all the same: others may agree
		out.Vote = Abstain
	}
	return out, true
}

// decide notes the ask where it can be agreed to.
func (v *Voter) decide(now time.Time, a Proposal, h *grant) Vote {
	switch {
	case h == nil || h.round != a.Round:
	case h.place == a.Place:
		return Grant // the ask came twice, or the answer was lost
	default:
		return Abstain // two processes that go on with one try have taken the same turn: neither may count on it
	}
	terms := history.Terms{Scope: a.Scope, Window: a.Window, Keep: a.Retention + a.TTL}
	if h != nil {
		h.sent.End(now, true) // the asker has ended its attempts there: they never ran
		v.remove(h)
	}
	if len(v.grants) >= 2*v.maxKeys {
		return Abstain
	}
	r, err := v.table.Begin(now, a.Key, history.Print{})
	if err != nil {
		return Abstain
	}
	sent, err := r.Send(now, a.Place, terms)
	if err != nil {
		r.End()
		return HeldElsewhere
	}
	h = &grant{attempt: a.Attempt, round: a.Round, place: a.Place, request: r, sent: sent}
	v.grants[a.Attempt] = h
	v.expiry.Push(now.Add(a.TTL), h)
	return Grant
}

// Release takes the end of a try. That it is over is known until no ask of it can come any more.
func (v *Voter) Release(now time.Time, e Release, life time.Duration) {
	v.expire(now)
	h := v.grants[e.Attempt]
	if h == nil {
		if len(v.grants) < 2*v.maxKeys {
			h = &grant{attempt: e.Attempt, ended: true}
			v.grants[e.Attempt] = h
			v.expiry.Push(now.Add(life), h)
		}
		return
	}
	if !h.ended {
		h.ended = true
		h.sent.End(now, e.NeverRan)
		h.request.End()
	}
}

func (v *Voter) remove(h *grant) {
	if v.grants[h.attempt] == h {
		delete(v.grants, h.attempt)
	}
	if !h.ended {
		h.ended = true
		h.request.End()
	}
}

// expire ends the holds whose time is over: no attempt starts under them any more, and whether one has run was not told.
func (v *Voter) expire(now time.Time) {
	for {
		h, ok := v.expiry.Pop(now)
		if !ok {
			return
		}
		if !h.ended {
			h.sent.End(now, false)
		}
		v.remove(h)
	}
}

// AbstainsUntil tells until when the voter says nothing.
func (v *Voter) AbstainsUntil() time.Time { return v.abstainUntil }

// KeyState returns what the voter knows of a key.
func (v *Voter) KeyState(now time.Time, key history.ID, scope decide.Scope) history.Past {
	v.expire(now)
	return v.table.Past(now, key, scope)
}

// Len returns the number of keys that are remembered.
func (v *Voter) Len() int { return v.table.Len() }
