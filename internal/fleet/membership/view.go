package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is one process of the fleet. A process that is started again has another life, and is another member.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

// View is who is in the fleet. Views of one lineage are numbered without a gap, and two of one number never differ.
type View struct {
	Lineage uint64 // drawn where the first view was founded
	Number  uint64 // from 1
	Members []Member
}

// Delta is how a view follows the one before it. Changes that come together make one.
type Delta struct {
	Remove []Member
	Add    []Member
}

// Hash is of all that a view says.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	var b [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		h.Write(b[:])
	}
	number(v.Lineage)
	number(v.Number)
	for _, m := range v.Members {
		number(m.Incarnation)
		number(uint64(len(m.Name)))
		h.Write([]byte(m.Name))
		h.Write([]byte(m.Address))
	}
	return h.Sum64()
}

// Index returns the place of a name, or -1.
func (v *View) Index(name string) int {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return -1
	}
	return i
}

// Contains tells whether just this process is a member.
func (v *View) Contains(m Member) bool {
	i := v.Index(m.Name)
	return i >= 0 && v.Members[i].Incarnation == m.Incarnation
}

// Majority is how many members make one.
func (v *View) Majority() int { return len(v.Members)/2 + 1 }

// Apply returns the view that a delta makes of this one, or an error where it does not fit: a member that is none, or
// one name twice.
func (v *View) Apply(d *Delta) (*View, error) {
	out := &View{Lineage: v.Lineage, Number: v.Number + 1}
	gone := map[Member]bool{}
	for _, m := range d.Remove {
		if i := v.Index(m.Name); i < 0 || v.Members[i] != m {
			return nil, fmt.Errorf("membership: %s is not in view %d", m.Name, v.Number)
		}
		gone[m] = true
	}
	for _, m := range v.Members {
		if !gone[m] {
			out.Members = append(out.Members, m)
		}
	}
	out.Members = append(out.Members, d.Add...)
	slices.SortFunc(out.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := 1; i < len(out.Members); i++ {
		if out.Members[i].Name == out.Members[i-1].Name {
			return nil, fmt.Errorf("membership: %s would be in view %d twice", out.Members[i].Name, out.Number)
		}
	}
	return out, nil
}

// Who observes whom: in small fleets everybody everybody; in large ones each member has watchers on several ringCount, in
// which all stand in an order drawn anew with each view (as in Rapid: Suresh and others, ATC 2018), so that those who
// observe one member have nothing in common.
const (
	fullMeshMembers = 16 // members up to which all observe all
	ringCount       = 6
)

// ringPosition mixes a member, a ring and a view into its ringPosition on that ring.
func ringPosition(v *View, name string, ring int) uint64 {
	h := fnv.New64a()
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], v.Lineage)
	binary.LittleEndian.PutUint64(b[8:], v.Number)
	binary.LittleEndian.PutUint64(b[16:], uint64(ring))
	h.Write([]byte(name))
	h.Write(b[:])
	x := h.Sum64() // the finaliser of splitmix64: FNV alone orders names that are alike by their last letters
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ringOrder returns the members' indices by their place on a ring.
func (v *View) ringOrder(ring int) []int {
	at := make([]uint64, len(v.Members))
	out := make([]int, len(v.Members))
	for i, m := range v.Members {
		at[i], out[i] = ringPosition(v, m.Name, ring), i
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(at[a], at[b]) })
	return out
}

// observation tells who observes each member, and whom each observes.
func (v *View) observation() (watchers, watched [][]int) {
	n := len(v.Members)
	watchers, watched = make([][]int, n), make([][]int, n)
	add := func(observer, subject int) {
		if observer != subject && !slices.Contains(watchers[subject], observer) {
			watchers[subject] = append(watchers[subject], observer)
			watched[observer] = append(watched[observer], subject)
		}
	}
	if n <= fullMeshMembers {
		for o := range n {
			for s := range n {
				add(o, s)
			}
		}
		return watchers, watched
	}
	for ring := range ringCount {
		order := v.ringOrder(ring)
		for i, subject := range order {
			add(order[(i+n-1)%n], subject)
		}
	}
	return watchers, watched
}

// watermarks are how many observers must accuse a member for it to be out (high), and how many make it a case that a change
// of the view waits for (low).
func watermarks(watchers int) (low, high int) {
	high = max(watchers/2+1, 2)
	if watchers < 2 {
		high = watchers // of two members each observes the other; there is no majority without either
	}
	return max(high/2, 1), high
}
