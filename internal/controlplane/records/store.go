package records

import (
	"iter"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// Bounds of a store.
const (
	// MaxResources of each kind can be published: receivers keep no more. What machines published apart may come to more together.
	MaxResources = 10_000
	// MaxRemoved resources are remembered as removed; past it the oldest is forgotten, and one who slept through all of them may
	// bring it back. At 1,400 changes a day these are a week's at the least.
	MaxRemoved   = 10_000
	maxConflicts = 256 // that are told; past it the oldest are forgotten
)

// Conflict is two versions of a resource that were made apart.
type Conflict struct {
	Key
	Winner Version   `codec:"Winner"`
	Loser  Version   `codec:"Loser"`
	At     time.Time `codec:"At"`
}

type entry struct {
	Record
	observed VersionVector // versions that have come, those that lost as well
}

// Store keeps the newest record of each resource.
type Store struct {
	origin       string
	counter      uint64 // the highest seen
	entries      [ads.Kinds]map[string]*entry
	presentCount [ads.Kinds]int
	removedCount int
	maxRemoved   int // removed ones that are remembered
	conflicts    []Conflict
}

// New returns a store that knows nothing. The origin is this machine's, and of this start from nothing alone.
func New(origin string) *Store {
	s := &Store{origin: origin, maxRemoved: MaxRemoved}
	for k := range s.entries {
		s.entries[k] = map[string]*entry{}
	}
	return s
}

// MergeResult is what became of a record.
type MergeResult uint8

// The verdicts.
const (
	Applied    MergeResult = iota // newer: it holds from now on
	Unchanged                     // it holds already
	Superseded                    // a newer one holds
)

func (v MergeResult) String() string { return [...]string{"taken", "same", "old"}[v] }

// Merge takes a record that was checked, of this machine or another. It may come any number of times, and in any order.
func (s *Store) Merge(now time.Time, r Record) MergeResult {
	s.counter = max(s.counter, r.Version.Counter)
	e := s.entries[r.Kind][r.Name]
	if e == nil {
		e = &entry{}
		s.entries[r.Kind][r.Name] = e
	}
	was := e.Record
	order := r.Version.Compare(was.Version)
	if order == 0 {
		return Unchanged
	}
	heard := e.observed.Includes(r.Version)
	e.observed.add(r.Version)
	for o, c := range r.Ancestry {
		e.observed.add(Version{c, o})
	}
	if order < 0 {
		// What holds has seen it, or it has come before: old news. Else it was made apart, and has lost.
		if !heard {
			s.addConflict(now, was, r)
		}
		return Superseded
	}
	if was.Version.Counter > 0 && !r.Ancestry.Includes(was.Version) {
		s.addConflict(now, r, was)
	}
	s.adjustCounts(was, -1)
	e.Record = r
	s.adjustCounts(r, 1)
	s.forgetOldestRemoved()
	return Applied
}

func (s *Store) adjustCounts(r Record, n int) {
	switch {
	case r.Version.Counter == 0:
	case r.Removed:
		s.removedCount += n
	default:
		s.presentCount[r.Kind] += n
	}
}

// addConflict notes two records that were made apart. What says the same twice is none.
func (s *Store) addConflict(now time.Time, winner, loser Record) {
	if winner.Digest == loser.Digest && winner.Removed == loser.Removed {
		return
	}
	c := Conflict{winner.Key, winner.Version, loser.Version, now}
	if slices.ContainsFunc(s.conflicts, func(o Conflict) bool { return o.Key == c.Key && o.Loser == c.Loser }) {
		return
	}
	if len(s.conflicts) == maxConflicts {
		s.conflicts = slices.Delete(s.conflicts, 0, 1)
	}
	s.conflicts = append(s.conflicts, c)
}

// forgetOldestRemoved bounds what is remembered as removed. All machines forget the same ones: those of the lowest versions.
func (s *Store) forgetOldestRemoved() {
	for s.removedCount > s.maxRemoved {
		var oldest *entry
		for k := range s.entries {
			for _, e := range s.entries[k] {
				if e.Removed && (oldest == nil || e.Version.Compare(oldest.Version) < 0) {
					oldest = e
				}
			}
		}
		s.adjustCounts(oldest.Record, -1)
		delete(s.entries[oldest.Kind], oldest.Name)
	}
}

// maxCounterGap bounds what is believed of a counter that only a receiver tells: some days' changes.
const maxCounterGap = 10_000

// ObserveVersion hears of a version that a receiver has from another machine, which may never be heard itself any more. What is published
// from now on is newer than it.
func (s *Store) ObserveVersion(v Version) {
	if v.Counter > s.counter && v.Counter-s.counter <= maxCounterGap && s.counter > 0 {
		s.counter = v.Counter
	}
}

// Find returns the record of a resource.
func (s *Store) Find(k Key) (Record, bool) {
	if k.Kind >= ads.Kinds {
		return Record{}, false
	}
	e := s.entries[k.Kind][k.Name]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// All walks the records of a kind, those of removed resources too, in no order.
func (s *Store) All(kind ads.Kind) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, e := range s.entries[kind] {
			if !yield(e.Record) {
				return
			}
		}
	}
}

// Counter returns the highest counter that was seen.
func (s *Store) Counter() uint64 { return s.counter }

// Origin returns this machine's.
func (s *Store) Origin() string { return s.origin }

// Counts returns how many resources there are of each kind, and how many are remembered as removed.
func (s *Store) Counts() (there [ads.Kinds]int, removed int) { return s.presentCount, s.removedCount }

// IsEmpty tells whether nothing was ever heard.
func (s *Store) IsEmpty() bool { return s.counter == 0 }

// Conflicts returns what was made apart, the newest last.
func (s *Store) Conflicts() []Conflict { return slices.Clone(s.conflicts) }

// DanglingClusters returns the clusters whose endpoint set is not there: one machine may have removed it while another named it.
func (s *Store) DanglingClusters() (out []Key) {
	for _, e := range s.entries[ads.Clusters] {
		if !e.Removed && e.Set != "" && !s.isPresent(Key{ads.Sets, e.Set}) {
			out = append(out, e.Key)
		}
	}
	slices.SortFunc(out, Key.Compare)
	return out
}

func (s *Store) isPresent(k Key) bool {
	r, ok := s.Find(k)
	return ok && !r.Removed
}
