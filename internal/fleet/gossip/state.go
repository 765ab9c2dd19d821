package gossip

import (
	"slices"

	"silvertrail/internal/fleet/version"
)

// maxTombstones is how many deleted entries a state remembers.
const maxTombstones = 64

// MemberState is what a member has announced. It belongs to one process: a restarted process is another one, and its sequence
// numbers begin again.
type MemberState struct {
	Name         string
	Incarnation  uint64 // of the process
	Generation   uint64 // counts the starts under this name, as far as is known: a later process has a higher one
	Seq          uint64 // counts the announcements of the process
	Vector       version.Vector
	VectorHash   version.Hash
	ChangedAt    []uint64    // of each entry of the vector: the sequence number of its last change
	Tombstones   []Tombstone // in the order of their deletion
	CompactedSeq uint64      // deletions up to this sequence number are forgotten
	AppliedAt    int64       // when the member began to apply the vector, by its own clock, in Unix milliseconds
}

// successor returns the state of a member that applies another vector.
func (s *MemberState) successor(vector version.Vector, appliedAt int64) MemberState {
	next := MemberState{
		Name:         s.Name,
		Incarnation:  s.Incarnation,
		Generation:   s.Generation,
		Seq:          s.Seq + 1,
		Vector:       vector,
		VectorHash:   vector.Digest(),
		ChangedAt:    make([]uint64, len(vector)),
		CompactedSeq: s.CompactedSeq,
		AppliedAt:    appliedAt,
	}
	for i, e := range vector {
		next.ChangedAt[i] = next.Seq
		if j, ok := slices.BinarySearchFunc(s.Vector, e, version.ByKindAndName); ok && equalEntries(s.Vector[j], e) {
			next.ChangedAt[i] = s.ChangedAt[j]
		}
	}
	next.addTombstones(s)
	return next
}

// addTombstones adds the deletions since an earlier state, and forgets the oldest ones beyond the bound.
func (s *MemberState) addTombstones(previous *MemberState) {
	for _, t := range previous.Tombstones {
		if _, restored := s.Vector.Find(t.Kind, t.Name); !restored {
			s.Tombstones = append(s.Tombstones, t)
		}
	}
	for _, e := range previous.Vector {
		if _, present := s.Vector.Find(e.Kind, e.Name); !present {
			s.Tombstones = append(s.Tombstones, Tombstone{Kind: e.Kind, Name: e.Name, DeletedAt: s.Seq})
		}
	}
	if excess := len(s.Tombstones) - maxTombstones; excess > 0 {
		s.CompactedSeq = s.Tombstones[excess-1].DeletedAt
		s.Tombstones = s.Tombstones[excess:]
	}
}

// equalEntries reports whether two entries are equal, including their ancestors.
func equalEntries(a, b version.Entry) bool {
	return a.Hash == b.Hash && a.Number == b.Number && a.Description == b.Description && slices.Equal(a.Ancestors, b.Ancestors)
}

// isSupersededBy reports whether a state of the same name follows this one: the next state of the process, or a state of a
// process that was started after it.
func (s *MemberState) isSupersededBy(incarnation, generation, seq uint64) bool {
	switch {
	case incarnation == s.Incarnation:
		return seq > s.Seq
	case generation != s.Generation:
		return generation > s.Generation
	}
	return incarnation > s.Incarnation // two processes of one name at the same time: one of them is told to end
}

// changesSince returns the update from an earlier state of a process. For another process, and for a state that is too old, the
// update holds all.
func (s *MemberState) changesSince(incarnation, seq uint64) Update {
	if incarnation != s.Incarnation || seq < s.CompactedSeq || seq > s.Seq {
		seq = 0
	}
	update := Update{
		Name:         s.Name,
		Incarnation:  s.Incarnation,
		Generation:   s.Generation,
		Seq:          s.Seq,
		BaseSeq:      seq,
		CompactedSeq: s.CompactedSeq,
		AppliedAt:    s.AppliedAt,
		VectorHash:   s.VectorHash,
	}
	for i, e := range s.Vector {
		if s.ChangedAt[i] > seq {
			update.Changed = append(update.Changed, e)
			update.ChangedAt = append(update.ChangedAt, s.ChangedAt[i])
		}
	}
	for _, t := range s.Tombstones {
		if t.DeletedAt > seq {
			update.Tombstones = append(update.Tombstones, t)
		}
	}
	return update
}

// apply returns the state after an update of an earlier one. It is not ok if the update is not based on that state, or if
// the result differs from what the member has announced.
func (u *Update) apply(before *MemberState) (state MemberState, ok bool) {
	state = MemberState{
		Name:         u.Name,
		Incarnation:  u.Incarnation,
		Generation:   u.Generation,
		Seq:          u.Seq,
		Vector:       u.Changed,
		ChangedAt:    u.ChangedAt,
		Tombstones:   u.Tombstones,
		CompactedSeq: u.CompactedSeq,
		AppliedAt:    u.AppliedAt,
	}
	if u.BaseSeq > 0 {
		if before == nil || before.Incarnation != u.Incarnation || before.Seq < u.BaseSeq || before.Seq >= u.Seq {
			return state, false
		}
		state.Vector, state.ChangedAt = u.mergeVector(before)
		state.Tombstones = u.mergeTombstones(before, state.Vector)
	}
	state.VectorHash = state.Vector.Digest()
	return state, state.VectorHash == u.VectorHash
}

// mergeVector returns the vector after the update, and when each entry changed.
func (u *Update) mergeVector(before *MemberState) (vector version.Vector, changedAt []uint64) {
	for i, e := range before.Vector {
		_, changed := u.Changed.Find(e.Kind, e.Name)
		deleted := slices.ContainsFunc(u.Tombstones, func(t Tombstone) bool { return t.Kind == e.Kind && t.Name == e.Name })
		if !deleted && !changed {
			vector = append(vector, e)
			changedAt = append(changedAt, before.ChangedAt[i])
		}
	}
	for i, e := range u.Changed {
		j, _ := slices.BinarySearchFunc(vector, e, version.ByKindAndName)
		vector = slices.Insert(vector, j, e)
		changedAt = slices.Insert(changedAt, j, u.ChangedAt[i])
	}
	return vector, changedAt
}

// mergeTombstones returns the tombstones after the update.
func (u *Update) mergeTombstones(before *MemberState, vector version.Vector) []Tombstone {
	var tombstones []Tombstone
	for _, t := range before.Tombstones {
		_, restored := vector.Find(t.Kind, t.Name)
		if !restored && t.DeletedAt > u.CompactedSeq && !slices.Contains(u.Tombstones, t) {
			tombstones = append(tombstones, t)
		}
	}
	return append(tombstones, u.Tombstones...)
}
