package records

import (
	"slices"
	"time"
)

// Saved is what of a resource is kept over a restart.
type Saved struct {
	Record Record `codec:"Record"`
	Knows  Seen   `codec:"Knows"`
}

// State is all that is kept over a restart.
type State struct {
	Origin    string     `codec:"Origin"`
	Counter   uint64     `codec:"Counter"`
	Records   []Saved    `codec:"Records"` // a later one of a resource replaces those before it
	Conflicts []Conflict `codec:"Conflicts"`
}

// Save returns the state as it will be when a publication is merged; a zero one: as it is. The records must not be changed.
func (s *Store) Save(p Publication) State {
	out := State{Origin: s.origin, Counter: max(s.counter, p.Version.Counter), Conflicts: s.Conflicts()}
	for k := range s.entries {
		for _, e := range s.entries[k] {
			out.Records = append(out.Records, Saved{e.Record, e.knows.clone()})
		}
	}
	slices.SortFunc(out.Records, func(a, b Saved) int { return a.Record.Key.Compare(b.Record.Key) })
	for _, r := range p.Records {
		knows := r.Seen.clone()
		knows.add(r.Version)
		out.Records = append(out.Records, Saved{r, knows})
	}
	return out
}

// Restore returns a store that goes on from a state, whose records have to be checked.
func Restore(state State) *Store {
	s := New(state.Origin)
	s.counter = state.Counter
	for _, a := range state.Records {
		r := a.Record
		if is := s.entries[r.Kind][r.Name]; is != nil {
			s.count(is.Record, -1)
		}
		s.counter = max(s.counter, r.Version.Counter)
		s.entries[r.Kind][r.Name] = &entry{r, a.Knows}
		s.count(r, 1)
	}
	s.conflicts = slices.Clone(state.Conflicts[max(0, len(state.Conflicts)-maxConflicts):])
	s.forget()
	return s
}

// Settling decides when a machine that has begun serves receivers. What it kept may be old, and one that has lost what it kept
// knows nothing: it first hears the others, for a while. Nothing is served by one that knows nothing: its receivers go to another.
type Settling struct {
	until   time.Time
	missing map[string]bool
}

// NewSettling has the peers waited for until a time.
func NewSettling(until time.Time, peers []string) *Settling {
	s := &Settling{until: until, missing: map[string]bool{}}
	for _, p := range peers {
		s.missing[p] = true
	}
	return s
}

// Heard tells that all that a peer has was merged.
func (s *Settling) Heard(peer string) { delete(s.missing, peer) }

// Over tells whether the peers are not waited for any more. Only then may something be published.
func (s *Settling) Over(now time.Time) bool { return len(s.missing) == 0 || !now.Before(s.until) }

// Ready tells whether receivers may be served.
func (s *Settling) Ready(now time.Time, of *Store) bool { return s.Over(now) && !of.Empty() }

// Until is when the peers are not waited for any more.
func (s *Settling) Until() time.Time { return s.until }
