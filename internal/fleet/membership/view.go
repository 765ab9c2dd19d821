package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is one process of the fleet. A process that is restarted has another incarnation, and is another member.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

// View is the list of members that are in the fleet, ordered by name. The views of one lineage are numbered without a gap, and
// two of one number never differ.
type View struct {
	Lineage uint64 // random number drawn by the process that founded the first view
	Number  uint64 // counts from 1
	Members []Member
}

// Delta is the difference between two consecutive views.
type Delta struct {
	Remove []Member
	Add    []Member
}

func (d *Delta) isEmpty() bool { return len(d.Add)+len(d.Remove) == 0 }

// replaces reports whether a member is replaced by a restarted process on its address.
func (d *Delta) replaces(m Member) bool {
	return slices.ContainsFunc(d.Add, func(added Member) bool { return added.Name == m.Name && added.Address == m.Address })
}

// Hash returns a hash of the lineage, the number and the members.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	var buffer [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buffer[:], n)
		h.Write(buffer[:])
	}
	writeNumber(v.Lineage)
	writeNumber(v.Number)
	for _, m := range v.Members {
		writeNumber(m.Incarnation)
		writeNumber(uint64(len(m.Name)))
		h.Write([]byte(m.Name))
		h.Write([]byte(m.Address))
	}
	return h.Sum64()
}

// Index returns the index of the member with this name, or -1 if there is none.
func (v *View) Index(name string) int {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return -1
	}
	return i
}

// Contains reports whether exactly this process, by name and incarnation, is a member.
func (v *View) Contains(m Member) bool {
	i := v.Index(m.Name)
	return i >= 0 && v.Members[i].Incarnation == m.Incarnation
}

// Majority returns the smallest number of members that is a majority.
func (v *View) Majority() int { return len(v.Members)/2 + 1 }

// Apply returns the next view, to which a change leads. It fails if the change removes a member that is not in the view, or if
// two members of the next view would have the same name.
func (v *View) Apply(d *Delta) (*View, error) {
	next := &View{Lineage: v.Lineage, Number: v.Number + 1}
	removed := map[Member]bool{}
	for _, m := range d.Remove {
		if i := v.Index(m.Name); i < 0 || v.Members[i] != m {
			return nil, fmt.Errorf("membership: cannot remove %s, which is not in view %d", m.Name, v.Number)
		}
		removed[m] = true
	}
	for _, m := range v.Members {
		if !removed[m] {
			next.Members = append(next.Members, m)
		}
	}
	next.Members = append(next.Members, d.Add...)
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := 1; i < len(next.Members); i++ {
		if next.Members[i].Name == next.Members[i-1].Name {
			return nil, fmt.Errorf("membership: two members named %s would be in view %d", next.Members[i].Name, next.Number)
		}
	}
	return next, nil
}

// isSorted reports whether the members are in strictly ascending order of their names.
func (v *View) isSorted() bool {
	for i := 1; i < len(v.Members); i++ {
		if v.Members[i-1].Name >= v.Members[i].Name {
			return false
		}
	}
	return true
}
