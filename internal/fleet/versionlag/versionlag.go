// Package versionlag tells who of a fleet acts on what the others have left behind, for how long, and what is to be thought
// of it. It has no I/O and no clock.
//
// It never goes by a vote alone. What is newest follows from the versions themselves; where most have not taken it up after
// the time that taking up may last, it is the newest that is odd, and nobody is called a straggler for it. Two that went
// different ways from the same version are a fork: neither is newer, whatever their numbers of followers.
package versionlag

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

// State is how a member stands in one thing, or in all: then it is the worst of them.
type State uint8

// The states, the worst last.
const (
	Current   State = iota
	Updating        // behind, for no longer than taking up may last
	Ahead           // it has the newest, and most have not taken it up in time: the newest is odd
	Divergent       // it has another one, and nothing tells which of them is newer
	Lagging
	NotReporting // nothing has been heard of what it acts on, or not lately
	Forked
)

var stateNames = [...]string{"in step", "taking up", "ahead", "differs", "behind", "silent", "forked"}

func (s State) String() string { return stateNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("straggler: no state %q", text)
	}
	*s = State(i)
	return nil
}

// Limits are the bounds by which is judged.
type Limits struct {
	RolloutTimeout time.Duration // how long taking up a version may last
	MaxAge         time.Duration // how old a member's word may be
}

// Member is what is known of a member of the view.
type Member struct {
	Name       string
	Vector     version.Vector // nil: it has said nothing
	VectorHash version.Hash   // of it
	Age        time.Duration  // since it said by itself that this stands
}

// Finding is a thing in which a member is not in step.
type Finding struct {
	Kind           version.Kind  `json:"kind"`
	Name           string        `json:"name,omitempty"`
	State          State         `json:"state"`
	Has            version.Entry `json:"has"`
	Expected       version.Entry `json:"want"`
	VersionsBehind int           `json:"behind,omitempty"` // versions
	Duration       time.Duration `json:"for"`              // that it is so, up to its last word
}

// Status is how a member stands.
type Status struct {
	Member     string         `json:"member"`
	State      State          `json:"state"`
	Age        time.Duration  `json:"age"` // of what is known
	VectorHash version.Hash   `json:"digest"`
	Vector     version.Vector `json:"vector,omitempty"`
	Findings   []Finding      `json:"findings,omitempty"`
}

// entryKey is one kind and name.
type entryKey struct {
	kind version.Kind
	name string
}

// lagKey is one member's being behind the same version with the same one.
type lagKey struct {
	member string
	entryKey
	has, expected version.Hash
}

// Detector remembers since when each is as it is.
type Detector struct {
	limits      Limits
	since       map[lagKey]time.Duration
	newestSince map[[2]any]time.Duration // when a thing's hash was seen as the newest first
}

// New returns a watch that has seen nothing.
func New(l Limits) *Detector {
	return &Detector{limits: l, since: map[lagKey]time.Duration{}, newestSince: map[[2]any]time.Duration{}}
}

// SetLimits changes the bounds.
func (w *Detector) SetLimits(l Limits) { w.limits = l }

// Evaluate judges all members, in the order in which they are told.
func (w *Detector) Evaluate(now time.Duration, members []Member) []Status {
	out := make([]Status, len(members))
	has := map[entryKey][]int{} // who has one at all
	for i, m := range members {
		out[i] = Status{Member: m.Name, Age: m.Age, VectorHash: m.VectorHash, Vector: m.Vector}
		if m.Vector == nil || m.Age > w.limits.MaxAge {
			out[i].State = NotReporting
			if m.Vector == nil {
				continue
			}
		}
		for _, e := range m.Vector {
			if e.Kind.IsShared() {
				t := entryKey{e.Kind, e.Name}
				has[t] = append(has[t], i)
			}
		}
	}
	since, first := map[lagKey]time.Duration{}, map[[2]any]time.Duration{}
	for t, of := range has {
		d := versionSet{}
		hashes := make([]version.Hash, len(of))
		for j, i := range of {
			e, _ := members[i].Vector.Find(t.kind, t.name)
			hashes[j] = e.Hash
			d.add(e)
		}
		tops := d.newest()
		for j, i := range of {
			f, ok := d.classify(t, hashes[j], tops)
			if !ok {
				continue
			}
			id := lagKey{members[i].Name, t, f.Has.Hash, f.Expected.Hash}
			at, seen := w.since[id]
			if !seen {
				at = now
			}
			since[id] = at
			f.Duration = max(now-members[i].Age-at, 0) // by its own word: what it does since then is not known
			if f.State == Lagging && f.Duration <= w.limits.RolloutTimeout || f.State == Divergent && f.Duration <= w.limits.RolloutTimeout {
				f.State = Updating
			}
			out[i].Findings = append(out[i].Findings, f)
		}
		w.flagUnadoptedNewest(now, t, of, hashes, tops, members, out, first)
	}
	w.since, w.newestSince = since, first
	for i := range out {
		slices.SortFunc(out[i].Findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
		for _, f := range out[i].Findings {
			out[i].State = max(out[i].State, f.State)
		}
	}
	return out
}

// versionSet are the versions of one thing that are in force anywhere, and how many act on each. Of several entries of one hash
// the one that knows most of what came before stands for all.
type versionSet map[version.Hash]*versionCount

type versionCount struct {
	version.Entry
	members int
}

func (d versionSet) add(e version.Entry) {
	s := d[e.Hash]
	if s == nil {
		s = &versionCount{Entry: e}
		d[e.Hash] = s
	} else if len(e.Ancestors) > len(s.Ancestors) || e.Number > s.Number {
		s.Entry = e
	}
	s.members++
}

// newest returns those that nobody's is newer than: one, or several that are forked or of which nothing is known.
func (d versionSet) newest() (tops []*versionCount) {
	for _, e := range d {
		older := false
		for _, o := range d {
			older = older || version.Compare(e.Entry, o.Entry) == version.Older
		}
		if !older {
			tops = append(tops, e)
		}
	}
	slices.SortFunc(tops, func(a, b *versionCount) int { return slices.Compare(a.Hash[:], b.Hash[:]) })
	return tops
}

// classify says how one version stands to the newest ones. ok is false where it is in step.
func (d versionSet) classify(t entryKey, h version.Hash, tops []*versionCount) (f Finding, ok bool) {
	e := d[h]
	f = Finding{Kind: t.kind, Name: t.name, Has: e.Entry}
	if len(tops) == 1 && tops[0] == e {
		return f, false
	}
	most := 0 // of several of which nothing is known the one that most have is told as the other
	for _, o := range tops {
		switch version.Compare(e.Entry, o.Entry) {
		case version.Forked:
			if f.State < Forked {
				f.State, f.Expected = Forked, o.Entry
			}
		case version.Older:
			if f.State < Lagging {
				f.State, f.Expected, f.VersionsBehind = Lagging, o.Entry, version.Steps(e.Entry, o.Entry)
			}
		case version.Unknown:
			if f.State < Divergent || f.State == Divergent && o.members > most {
				f.State, f.Expected, most = Divergent, o.Entry, o.members
			}
		}
	}
	if f.State == Divergent && e.members > most {
		return f, false // it is the others that differ
	}
	return f, f.State != Current
}

// flagUnadoptedNewest turns the judgement where most are behind a newest one for longer than taking it up may last.
func (w *Detector) flagUnadoptedNewest(now time.Duration, t entryKey, of []int, hashes []version.Hash, tops []*versionCount, members []Member, out []Status, first map[[2]any]time.Duration) {
	if len(tops) != 1 || !t.kind.IsUrgent() {
		return
	}
	id := [2]any{t, tops[0].Hash}
	at, seen := w.newestSince[id]
	if !seen {
		at = now
	}
	first[id] = at
	stale := 0 // who said after that time that they have another one
	for j, i := range of {
		if hashes[j] != tops[0].Hash && now-members[i].Age > at+w.limits.RolloutTimeout {
			stale++
		}
	}
	if 2*stale < len(of) {
		return
	}
	for j, i := range of {
		if hashes[j] == tops[0].Hash {
			out[i].Findings = append(out[i].Findings, Finding{Kind: t.kind, Name: t.name, State: Ahead, Has: tops[0].Entry, Expected: tops[0].Entry, Duration: now - at})
			continue
		}
		out[i].Findings = slices.DeleteFunc(out[i].Findings, func(f Finding) bool {
			return f.Kind == t.kind && f.Name == t.name && f.State <= Lagging
		})
	}
}
