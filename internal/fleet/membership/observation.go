package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// In a small fleet every member observes every other one. In a large fleet each member has one observer on each of ringCount
// rings (Rapid: Suresh and others, ATC 2018). Each ring orders all members by a different hash, which changes with
// each view, so that the observers of one member have nothing in common.
const (
	fullMeshMembers = 16 // largest fleet in which every member observes every other one
	ringCount       = 6
)

// ringPosition returns the hash that orders a member on a ring of a view.
func ringPosition(view *View, name string, ring int) uint64 {
	h := fnv.New64a()
	var seed [24]byte
	binary.LittleEndian.PutUint64(seed[0:], view.Lineage)
	binary.LittleEndian.PutUint64(seed[8:], view.Number)
	binary.LittleEndian.PutUint64(seed[16:], uint64(ring))
	h.Write([]byte(name))
	h.Write(seed[:])
	return finalize(h.Sum64())
}

// finalize is the finaliser of splitmix64. FNV alone would order similar names by their last letters.
func finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ringOrder returns the indices of the members in their order on a ring.
func (v *View) ringOrder(ring int) []int {
	positions := make([]uint64, len(v.Members))
	order := make([]int, len(v.Members))
	for i, m := range v.Members {
		positions[i], order[i] = ringPosition(v, m.Name, ring), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(positions[a], positions[b]) })
	return order
}

// observation returns the observers and the subjects of each member, by index.
func (v *View) observation() (observers, subjects [][]int) {
	n := len(v.Members)
	observers, subjects = make([][]int, n), make([][]int, n)
	add := func(observer, subject int) {
		if observer != subject && !slices.Contains(observers[subject], observer) {
			observers[subject] = append(observers[subject], observer)
			subjects[observer] = append(subjects[observer], subject)
		}
	}
	if n <= fullMeshMembers {
		for observer := range n {
			for subject := range n {
				add(observer, subject)
			}
		}
		return observers, subjects
	}
	for ring := range ringCount {
		order := v.ringOrder(ring)
		for i, subject := range order {
			add(order[(i+n-1)%n], subject)
		}
	}
	return observers, subjects
}

// watermarks returns how many observers must suspect a member for its removal (high), and how many make a change of the view
// wait for further reports (low).
func watermarks(observers int) (low, high int) {
	high = max(observers/2+1, 2)
	if observers < 2 {
		high = observers // in a fleet of two, each observes the other; a majority needs both
	}
	return max(high/2, 1), high
}
