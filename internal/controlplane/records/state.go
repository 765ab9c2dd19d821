package records

import "slices"

// SavedRecord is the stored form of a resource's newest record.
type SavedRecord struct {
	Record   Record        `codec:"Record"`
	Observed VersionVector `codec:"Knows"`
}

// State is the stored form of a Store.
type State struct {
	Origin    string        `codec:"Origin"`
	Counter   uint64        `codec:"Counter"`
	Records   []SavedRecord `codec:"Records"` // a later record of a resource replaces an earlier one
	Conflicts []Conflict    `codec:"Conflicts"`
}

// Save returns the state that results from merging a publication, or the current state for a zero Publication. The records must
// not be modified.
func (s *Store) Save(p Publication) State {
	state := State{
		Origin:    s.origin,
		Counter:   max(s.counter, p.Version.Counter),
		Conflicts: s.Conflicts(),
	}
	for k := range s.entries {
		for _, e := range s.entries[k] {
			state.Records = append(state.Records, SavedRecord{Record: e.Record, Observed: e.observed.clone()})
		}
	}
	slices.SortFunc(state.Records, func(a, b SavedRecord) int { return a.Record.Key.Compare(b.Record.Key) })
	for _, r := range p.Records {
		observed := r.Ancestry.clone()
		observed.add(r.Version)
		state.Records = append(state.Records, SavedRecord{Record: r, Observed: observed})
	}
	return state
}

// Restore returns the store of a state whose records have been checked.
func Restore(state State) *Store {
	s := New(state.Origin)
	s.counter = state.Counter
	for _, saved := range state.Records {
		r := saved.Record
		if previous := s.entries[r.Kind][r.Name]; previous != nil {
			s.adjustCounts(previous.Record, -1)
		}
		s.counter = max(s.counter, r.Version.Counter)
		s.entries[r.Kind][r.Name] = &entry{Record: r, observed: saved.Observed}
		s.adjustCounts(r, 1)
	}
	s.conflicts = slices.Clone(state.Conflicts[max(0, len(state.Conflicts)-maxConflicts):])
	s.forgetOldestRemoved()
	return s
}
