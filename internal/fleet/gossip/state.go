package gossip

import (
	"errors"
	"slices"

	"silvertrail/internal/fleet/version"
)

// MemberState is what a member says that it acts on. Who says it is a process: one that is started again is another one, and its
// words begin anew.
type MemberState struct {
	Name         string
	Incarnation  uint64 // of the process
	Generation   uint64 // counts the starts under this name, as far as is known: a later process counts more
	Seq          uint64 // of the word
	Vector       version.Vector
	VectorHash   version.Hash // of the vector
	ChangedAt    []uint64     // by which word each entry of the vector changed last
	Tombstones   []Tombstone  // entries that are no more, the latest last
	CompactedSeq uint64       // what went by this word or an earlier one is not told of any more
	AppliedAt    int64        // when it was so, by its own clock, milliseconds since 1970
}

// Tombstone is an entry that is no more.
type Tombstone struct {
	Kind      version.Kind
	Name      string
	DeletedAt uint64
}

const maxTombstones = 64

// successor returns the word by which a member acts on another vector.
func (w *MemberState) successor(v version.Vector, taken int64) MemberState {
	n := MemberState{Name: w.Name, Incarnation: w.Incarnation, Generation: w.Generation, Seq: w.Seq + 1, Vector: v, VectorHash: v.Digest(), ChangedAt: make([]uint64, len(v)), CompactedSeq: w.CompactedSeq, AppliedAt: taken}
	for i, e := range v {
		n.ChangedAt[i] = n.Seq
		if j, ok := slices.BinarySearchFunc(w.Vector, e, version.ByName); ok && equalEntries(w.Vector[j], e) {
			n.ChangedAt[i] = w.ChangedAt[j]
		}
	}
	for _, g := range w.Tombstones {
		if _, back := v.Find(g.Kind, g.Name); !back {
			n.Tombstones = append(n.Tombstones, g)
		}
	}
	for _, e := range w.Vector {
		if _, still := v.Find(e.Kind, e.Name); !still {
			n.Tombstones = append(n.Tombstones, Tombstone{e.Kind, e.Name, n.Seq})
		}
	}
	if over := len(n.Tombstones) - maxTombstones; over > 0 {
		n.CompactedSeq = n.Tombstones[over-1].DeletedAt
		n.Tombstones = n.Tombstones[over:]
	}
	return n
}

// equalEntries tells whether two entries say the same, what they replaced too.
func equalEntries(a, b version.Entry) bool {
	return a.Hash == b.Hash && a.Number == b.Number && a.Description == b.Description && slices.Equal(a.Ancestors, b.Ancestors)
}

// Update is what has changed in a word since an earlier one of the same process; Base 0: all of it.
type Update struct {
	Name            string
	Incarnation     uint64
	Generation, Seq uint64
	BaseSeq         uint64
	Changed         version.Vector
	ChangedAt       []uint64
	Tombstones      []Tombstone
	CompactedSeq    uint64
	AppliedAt       int64
	VectorHash      version.Hash // of the whole vector
}

// changesSince returns what has changed since one knew a word of a process; another process's, or what is too old, is as none.
func (w *MemberState) changesSince(life, have uint64) Update {
	p := Update{Name: w.Name, Incarnation: w.Incarnation, Generation: w.Generation, Seq: w.Seq, CompactedSeq: w.CompactedSeq, AppliedAt: w.AppliedAt, VectorHash: w.VectorHash}
	if life != w.Incarnation || have < w.CompactedSeq || have > w.Seq {
		have = 0
	}
	p.BaseSeq = have
	for i, e := range w.Vector {
		if w.ChangedAt[i] > have {
			p.Changed, p.ChangedAt = append(p.Changed, e), append(p.ChangedAt, w.ChangedAt[i])
		}
	}
	for _, g := range w.Tombstones {
		if g.DeletedAt > have {
			p.Tombstones = append(p.Tombstones, g)
		}
	}
	return p
}

// apply returns the word that a part makes of an earlier one; false: they do not fit.
func (p *Update) apply(w *MemberState) (MemberState, bool) {
	n := MemberState{Name: p.Name, Incarnation: p.Incarnation, Generation: p.Generation, Seq: p.Seq, Vector: p.Changed, ChangedAt: p.ChangedAt, Tombstones: p.Tombstones, CompactedSeq: p.CompactedSeq, AppliedAt: p.AppliedAt}
	if p.BaseSeq > 0 {
		if w == nil || w.Incarnation != p.Incarnation || w.Seq < p.BaseSeq || w.Seq >= p.Seq {
			return n, false
		}
		n.Vector, n.ChangedAt, n.Tombstones = nil, nil, nil
		for i, e := range w.Vector {
			gone := slices.ContainsFunc(p.Tombstones, func(g Tombstone) bool { return g.Kind == e.Kind && g.Name == e.Name })
			if _, newer := p.Changed.Find(e.Kind, e.Name); !gone && !newer {
				n.Vector, n.ChangedAt = append(n.Vector, e), append(n.ChangedAt, w.ChangedAt[i])
			}
		}
		for i, e := range p.Changed {
			j, _ := slices.BinarySearchFunc(n.Vector, e, version.ByName)
			n.Vector, n.ChangedAt = slices.Insert(n.Vector, j, e), slices.Insert(n.ChangedAt, j, p.ChangedAt[i])
		}
		for _, g := range w.Tombstones {
			if _, back := n.Vector.Find(g.Kind, g.Name); !back && g.DeletedAt > p.CompactedSeq && !slices.Contains(p.Tombstones, g) {
				n.Tombstones = append(n.Tombstones, g)
			}
		}
		n.Tombstones = append(n.Tombstones, p.Tombstones...)
	}
	n.VectorHash = n.Vector.Digest()
	return n, n.VectorHash == p.VectorHash
}

// approximateBytes is about how many bytes a part takes.
func (p *Update) approximateBytes() (n int) {
	n = 96 + len(p.Name)
	for _, e := range p.Changed {
		n += 40 + len(e.Name) + len(e.Description) + 28*len(e.Ancestors)
	}
	return n + 24*len(p.Tombstones)
}

func (p *Update) check() error {
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes || p.Seq == 0 || p.BaseSeq >= p.Seq || p.Generation > maxGeneration:
		return errors.New("exchange: a word of no member's form")
	case len(p.ChangedAt) != len(p.Changed) || len(p.Tombstones) > maxTombstones:
		return errors.New("exchange: a word whose parts do not fit")
	}
	for _, at := range p.ChangedAt {
		if at > p.Seq || at <= p.BaseSeq {
			return errors.New("exchange: a word that changed after it was said, or before")
		}
	}
	for _, g := range p.Tombstones {
		if len(g.Name) > maxNameBytes || g.DeletedAt > p.Seq {
			return errors.New("exchange: a word without something of no form")
		}
	}
	return p.Changed.Check()
}
