// Package binding lets several processes agree on the group of endpoints that a key's attempts go to, so that no repeat
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
package binding

import (
	"time"

	"silvertrail/decide"
	"silvertrail/internal/balancer/history"
	"silvertrail/internal/base/due"
)

// Try names one request of one process: the process by a number drawn at its start, so that a process that was started
// again is another one.
type Try struct {
	Process uint64 `codec:"Process"`
	Number  uint64 `codec:"Number"`
}

// Ask asks a voter to agree that a key's attempts go to a place.
type Ask struct {
	Try    Try
	Turn   uint32 // of the try; one with another place has a higher one and replaces what was agreed to before
	Key    history.ID
	Place  history.Place
	Scope  decide.Scope
	Window time.Duration
	Keep   time.Duration
	Life   time.Duration // no attempt starts under the ask when this is over, counted from its making
}

// Vote is a voter's word.
type Vote uint8

// The votes.
const (
	Silent Vote = iota // it can't tell: it has started lately, or has no room for more keys
	Yes
	Held // the key may have run, or runs, where this attempt must not follow
)

// Answer answers an Ask.
type Answer struct {
	Try   Try
	Turn  uint32
	Vote  Vote
	Place history.Place // where the key is held
	Split bool          // in several groups
	Until time.Duration // that is left to send further attempts, from the voter's answer on
}

// End tells a voter that a try is over.
type End struct {
	Try      Try
	NeverRan bool // all its attempts are known never to have run
}

// Majority is how many of n voters must agree.
func Majority(n int) int { return n/2 + 1 }

// Follows tells whether one list of voters may follow another at once: any majority of the one shares a voter with any of
// the other. To add one voter is allowed, and to take one away; to put one in another's place takes two steps.
func Follows(old, next []string) bool {
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
	table  *history.Table
	max    int
	holds  map[Try]*hold
	due    due.Queue[*hold]
	silent time.Time // it says nothing before
	copies time.Time // what other voters copy from then on counts
	copied map[string]bool
}

// hold is a try that was agreed to, or one that is known to be over.
type hold struct {
	try     Try
	turn    uint32
	place   history.Place
	request *history.Request
	sent    *history.Try
	ended   bool
}

// Start tells what a voter begins with.
type Start struct {
	Max int // keys that are remembered at most
	// Silent is for how long it says nothing: as long as anything is remembered of an attempt that it may have agreed to
	// before it was started. 0: nothing was.
	Silent time.Duration
	// Life is the longest life of an ask.
	Life time.Duration
}

// NewVoter returns a voter that is started now.
func NewVoter(now time.Time, s Start) *Voter {
	return &Voter{table: history.New(s.Max), max: s.Max, holds: map[Try]*hold{}, silent: now.Add(s.Silent), copies: now.Add(s.Life),
		copied: map[string]bool{}}
}

// Known is what one voter tells another of a key. Times count from the telling on.
type Known struct {
	Key           history.ID
	Place         history.Place
	Zones, Cells  bool // it has been in several
	Until, Expire time.Duration
}

// Copy returns all that the voter knows, for another one that has been started; nothing where it is silent itself.
func (v *Voter) Copy(now time.Time) (all []Known, ok bool) {
	if now.Before(v.silent) {
		return nil, false
	}
	v.expire(now)
	v.table.Each(now, func(k history.Key) bool {
		if k.Past.Known {
			all = append(all, Known{k.ID, k.Past.Place, k.Zones, k.Cells, k.Past.Until.Sub(now), k.Expire.Sub(now)})
		}
		return true
	})
	return all, true
}

// Wants tells whether copies are of use. They are once no attempt can go out any more under what this voter agreed to in a
// former life: those that have gone out are then known to all others of the majorities that agreed.
func (v *Voter) Wants(now time.Time) bool { return now.Before(v.silent) && !now.Before(v.copies) }

// Learn takes a part of a copy that was asked for when Wants said so.
func (v *Voter) Learn(now time.Time, part []Known) {
	for _, k := range part {
		v.table.Learn(now, history.Key{ID: k.Key, Past: history.Past{Known: true, Place: k.Place, Until: now.Add(k.Until)},
			Zones: k.Zones, Cells: k.Cells, Expire: now.Add(k.Expire)})
	}
}

// Copied tells that the whole copy of another one of so many voters has been learnt. With so many copies that none of the
// majorities that this voter can have been one of is left out, it speaks again.
func (v *Voter) Copied(now time.Time, from string, voters int) {
	if v.copied[from] = true; len(v.copied) >= voters-Majority(voters)+1 && v.Wants(now) {
		v.silent = now
	}
}

// Ask answers an ask; ok is false where it is an old one and gets no answer.
func (v *Voter) Ask(now time.Time, a Ask) (out Answer, ok bool) {
	v.expire(now)
	h := v.holds[a.Try]
	if h != nil && (h.ended || a.Turn < h.turn) {
		return out, false
	}
	out = Answer{Try: a.Try, Turn: a.Turn, Vote: v.agree(now, a, h)}
	p := history.Past{}
	if out.Vote == Yes { // by its own attempts the asker goes itself
		p = v.holds[a.Try].sent.Others()
	} else {
		p = v.table.Past(now, a.Key, a.Scope)
	}
	if out.Place, out.Split, out.Until = p.Place, p.Split, a.Life; p.Known {
		out.Until = p.Until.Sub(now)
	}
	if now.Before(v.silent) && out.Vote == Yes { // it is noted all the same: others may agree
		out.Vote = Silent
	}
	return out, true
}

// agree notes the ask where it can be agreed to.
func (v *Voter) agree(now time.Time, a Ask, h *hold) Vote {
	switch {
	case h == nil || h.turn != a.Turn:
	case h.place == a.Place:
		return Yes // the ask came twice, or the answer was lost
	default:
		return Silent // two processes that go on with one try have taken the same turn: neither may count on it
	}
	terms := history.Terms{Scope: a.Scope, Window: a.Window, Keep: a.Keep + a.Life}
	if h != nil {
		h.sent.End(now, true) // the asker has ended its attempts there: they never ran
		v.drop(h)
	}
	if len(v.holds) >= 2*v.max {
		return Silent
	}
	r, err := v.table.Begin(now, a.Key, history.Print{})
	if err != nil {
		return Silent
	}
	sent, err := r.Send(now, a.Place, terms)
	if err != nil {
		r.End()
		return Held
	}
	h = &hold{try: a.Try, turn: a.Turn, place: a.Place, request: r, sent: sent}
	v.holds[a.Try] = h
	v.due.Push(now.Add(a.Life), h)
	return Yes
}

// End takes the end of a try. That it is over is known until no ask of it can come any more.
func (v *Voter) End(now time.Time, e End, life time.Duration) {
	v.expire(now)
	h := v.holds[e.Try]
	if h == nil {
		if len(v.holds) < 2*v.max {
			h = &hold{try: e.Try, ended: true}
			v.holds[e.Try] = h
			v.due.Push(now.Add(life), h)
		}
		return
	}
	if !h.ended {
		h.ended = true
		h.sent.End(now, e.NeverRan)
		h.request.End()
	}
}

func (v *Voter) drop(h *hold) {
	if v.holds[h.try] == h {
		delete(v.holds, h.try)
	}
	if !h.ended {
		h.ended = true
		h.request.End()
	}
}

// expire ends the holds whose time is over: no attempt starts under them any more, and whether one has run was not told.
func (v *Voter) expire(now time.Time) {
	for {
		h, ok := v.due.Pop(now)
		if !ok {
			return
		}
		if !h.ended {
			h.sent.End(now, false)
		}
		v.drop(h)
	}
}

// Silent tells until when the voter says nothing.
func (v *Voter) Silent() time.Time { return v.silent }

// Past returns what the voter knows of a key.
func (v *Voter) Past(now time.Time, key history.ID, scope decide.Scope) history.Past {
	v.expire(now)
	return v.table.Past(now, key, scope)
}

// Len returns the number of keys that are remembered.
func (v *Voter) Len() int { return v.table.Len() }
