package records

import (
	"slices"
	"time"
)

// SavedRecord is what of a resource is kept over a restart.
type SavedRecord struct {
	Record   Record        `codec:"Record"`
	Observed VersionVector `codec:"Knows"`
}

// State is all that is kept over a restart.
type State struct {
	Origin    string        `codec:"Origin"`
	Counter   uint64        `codec:"Counter"`
	Records   []SavedRecord `codec:"Records"` // a later one of a resource replaces those before it
	Conflicts []Conflict    `codec:"Conflicts"`
}

// Save returns the state as it will be when a publication is merged; a zero one: as it is. The records must not be changed.
func (s *Store) Save(p Publication) State {
	out := State{Origin: s.origin, Counter: max(s.counter, p.Version.Counter), Conflicts: s.Conflicts()}
	for k := range s.entries {
		for _, e := range s.entries[k] {
			out.Records = append(out.Records, SavedRecord{e.Record, e.observed.clone()})
		}
	}
	slices.SortFunc(out.Records, func(a, b SavedRecord) int { return a.Record.Key.Compare(b.Record.Key) })
	for _, r := range p.Records {
		knows := r.Ancestry.clone()
		knows.add(r.Version)
		out.Records = append(out.Records, SavedRecord{r, knows})
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
			s.adjustCounts(is.Record, -1)
		}
		s.counter = max(s.counter, r.Version.Counter)
		s.entries[r.Kind][r.Name] = &entry{r, a.Observed}
		s.adjustCounts(r, 1)
	}
	s.conflicts = slices.Clone(state.Conflicts[max(0, len(state.Conflicts)-maxConflicts):])
	s.forgetOldestRemoved()
	return s
}

// InitialSync decides when a machine that has begun serves receivers. What it kept may be old, and one that has lost what it kept
// knows nothing: it first hears the others, for a while. Nothing is served by one that knows nothing: its receivers go to another.
type InitialSync struct {
	deadline time.Time
	pending  map[string]bool
}

// NewInitialSync has the peers waited for until a time.
func NewInitialSync(until time.Time, peers []string) *InitialSync {
	s := &InitialSync{deadline: until, pending: map[string]bool{}}
	for _, p := range peers {
		s.pending[p] = true
	}
	return s
}

// PeerSynced tells that all that a peer has was merged.
func (s *InitialSync) PeerSynced(peer string) { delete(s.pending, peer) }

// IsComplete tells whether the peers are not waited for any more. Only then may something be published.
func (s *InitialSync) IsComplete(now time.Time) bool {
	return len(s.pending) == 0 || !now.Before(s.deadline)
}

// IsReady tells whether receivers may be served.
func (s *InitialSync) IsReady(now time.Time, of *Store) bool {
	return s.IsComplete(now) && !of.IsEmpty()
}

// Deadline is when the peers are not waited for any more.
func (s *InitialSync) Deadline() time.Time { return s.deadline }
