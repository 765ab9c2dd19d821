package records

import (
	"iter"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// Bounds of a store.
const (
	// MaxResources limits the resources of each kind, as subscribers keep no more. Concurrent publications on several servers may
	// together exceed it.
	MaxResources = 10_000
	// MaxRemoved limits the removed resources that are remembered. Beyond it the oldest is forgotten. A server that was down
	// during all these removals may then restore that resource. At 1,400 changes a day, the limit covers at least a week.
	MaxRemoved   = 10_000
	maxConflicts = 256 // that are reported; beyond it the oldest are forgotten
	// maxCounterGap limits how far a counter that only a subscriber reports may be ahead of the store's counter. A counter beyond
	// the limit is ignored. The limit covers the changes of some days.
	maxCounterGap = 10_000
)

// Conflict describes two concurrent versions of a resource. The winner takes precedence over the loser on all servers.
type Conflict struct {
	Key
	Winner Version   `codec:"Winner"`
	Loser  Version   `codec:"Loser"`
	At     time.Time `codec:"At"`
}

// entry is the newest record of a resource.
type entry struct {
	Record
	observed VersionVector // all versions received, also those that lost a conflict
}

// Store holds the newest record of each resource. It is not safe for concurrent use.
type Store struct {
	origin       string
	counter      uint64 // the highest counter seen
	entries      [ads.KindCount]map[string]*entry
	presentCount [ads.KindCount]int
	removedCount int
	maxRemoved   int
	conflicts    []Conflict
}

// New returns an empty store. The origin identifies the server; a server that starts without its state uses a new one.
func New(origin string) *Store {
	s := &Store{origin: origin, maxRemoved: MaxRemoved}
	for k := range s.entries {
		s.entries[k] = map[string]*entry{}
	}
	return s
}

// MergeResult is the result of merging a record.
type MergeResult uint8

// The results.
const (
	Applied    MergeResult = iota // the record is the newest, and is now in force
	Unchanged                     // the record was in force already
	Superseded                    // a newer record is in force
)

func (r MergeResult) String() string { return [...]string{"taken", "same", "old"}[r] }

// Merge merges a checked record of this server or another one. Records may be merged any number of times, and in any order.
func (s *Store) Merge(now time.Time, r Record) MergeResult {
	s.counter = max(s.counter, r.Version.Counter)
	e := s.entries[r.Kind][r.Name]
	if e == nil {
		e = &entry{}
		s.entries[r.Kind][r.Name] = e
	}
	previous := e.Record
	order := r.Version.Compare(previous.Version)
	if order == 0 {
		return Unchanged
	}
	wasObserved := e.observed.Includes(r.Version)
	e.observed.add(r.Version)
	for origin, counter := range r.Ancestry {
		e.observed.add(Version{Counter: counter, Origin: origin})
	}
	if order < 0 {
		if !wasObserved { // the newer record was made without knowledge of r: they are concurrent, and r has lost
			s.addConflict(now, previous, r)
		}
		return Superseded
	}
	if previous.Version.Counter > 0 && !r.Ancestry.Includes(previous.Version) {
		s.addConflict(now, r, previous)
	}
	s.adjustCounts(previous, -1)
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

// addConflict notes a conflict of two concurrent records, unless they have the same content.
func (s *Store) addConflict(now time.Time, winner, loser Record) {
	if winner.isSame(&loser.Content) {
		return
	}
	c := Conflict{Key: winner.Key, Winner: winner.Version, Loser: loser.Version, At: now}
	if slices.ContainsFunc(s.conflicts, func(known Conflict) bool { return known.Key == c.Key && known.Loser == c.Loser }) {
		return
	}
	if len(s.conflicts) == maxConflicts {
		s.conflicts = slices.Delete(s.conflicts, 0, 1)
	}
	s.conflicts = append(s.conflicts, c)
}

// forgetOldestRemoved limits the removed resources that are remembered to maxRemoved. All servers forget the same ones: those with
// the lowest versions.
func (s *Store) forgetOldestRemoved() {
	for s.removedCount > s.maxRemoved {
		oldest := s.oldestRemoved()
		s.adjustCounts(oldest.Record, -1)
		delete(s.entries[oldest.Kind], oldest.Name)
	}
}

func (s *Store) oldestRemoved() *entry {
	var oldest *entry
	for k := range s.entries {
		for _, e := range s.entries[k] {
			if e.Removed && (oldest == nil || e.Version.Compare(oldest.Version) < 0) {
				oldest = e
			}
		}
	}
	return oldest
}

// ObserveVersion raises the counter to that of a version that a subscriber has from another server. Later publications are then
// newer, even if the other server is never reachable again. A version beyond maxCounterGap is ignored.
func (s *Store) ObserveVersion(v Version) {
	if v.Counter > s.counter && v.Counter-s.counter <= maxCounterGap && s.counter > 0 {
		s.counter = v.Counter
	}
}

// Find returns the record of a resource.
func (s *Store) Find(k Key) (Record, bool) {
	if k.Kind >= ads.KindCount {
		return Record{}, false
	}
	e := s.entries[k.Kind][k.Name]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// All iterates over the records of a kind, those of removed resources included, in no order.
func (s *Store) All(kind ads.Kind) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, e := range s.entries[kind] {
			if !yield(e.Record) {
				return
			}
		}
	}
}

// Counter returns the highest counter seen.
func (s *Store) Counter() uint64 { return s.counter }

// Origin returns the origin of this server.
func (s *Store) Origin() string { return s.origin }

// Counts returns how many resources are present of each kind, and how many are remembered as removed.
func (s *Store) Counts() (present [ads.KindCount]int, removed int) {
	return s.presentCount, s.removedCount
}

// IsEmpty reports whether no record was ever merged.
func (s *Store) IsEmpty() bool { return s.counter == 0 }

// Conflicts returns the latest conflicts, the newest last.
func (s *Store) Conflicts() []Conflict { return slices.Clone(s.conflicts) }

// DanglingClusters returns the clusters whose endpoint set is missing: one server may have removed it while another one published
// the cluster.
func (s *Store) DanglingClusters() []Key {
	var dangling []Key
	for _, e := range s.entries[ads.Clusters] {
		if !e.Removed && e.EndpointSet != "" && !s.isPresent(Key{Kind: ads.Endpoints, Name: e.EndpointSet}) {
			dangling = append(dangling, e.Key)
		}
	}
	slices.SortFunc(dangling, Key.Compare)
	return dangling
}

func (s *Store) isPresent(k Key) bool {
	r, ok := s.Find(k)
	return ok && !r.Removed
}
