package gossip

import (
	"slices"

	"silvertrail/internal/fleet/version"
)

// maxTombstones is how many deleted entries a state remembers.
const maxTombstones = 64

// MemberState is the state that a member has announced. It belongs to one process: after a restart the incarnation differs, and
// the sequence numbers begin again.
type MemberState struct {
	Name         string
	Incarnation  uint64 // identifies the process
	Generation   uint64 // counts the known starts of processes under this name: a later process has a higher generation
	Seq          uint64 // counts the announcements of the process
	Vector       version.Vector
	VectorHash   version.Hash
	ChangedAt    []uint64    // sequence number of the last change of each entry of the vector
	Tombstones   []Tombstone // in the order of their deletion
	CompactedSeq uint64      // tombstones up to this sequence number have been dropped
	AppliedAt    int64       // when the member began to apply the vector, by its own clock, in Unix milliseconds
}

// successor returns the next state of a member, which applies another vector.
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

// addTombstones adds tombstones for the entries that were deleted since the previous state, and drops the oldest ones beyond
// maxTombstones.
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

// isSupersededBy reports whether another state of the same name replaces this one: a later state of the same process, or a
// state of a process that was started later.
func (s *MemberState) isSupersededBy(incarnation, generation, seq uint64) bool {
	switch {
	case incarnation == s.Incarnation:
		return seq > s.Seq
	case generation != s.Generation:
		return generation > s.Generation
	}
	return incarnation > s.Incarnation // two processes run under one name at the same time, until one of them is told to end
}

// changesSince returns the update from an earlier state. The update holds the complete state if the earlier one belongs to
// another process or is older than the dropped tombstones.
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

// apply returns the state after an update of an earlier state. ok is false if the update is not based on that state, or if the
// result differs from the vector that the member has announced.
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

// mergeVector returns the vector after the update, and the sequence number of the last change of each entry.
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
