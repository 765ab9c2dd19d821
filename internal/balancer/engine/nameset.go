package engine

import "hash/fnv"

// maxListedNames is how many names are remembered, which takes some 1 MB: three hours of two new ones per second.
const maxListedNames = 1 << 15

// nameSet remembers the latest names in bounded memory, as 64-bit hashes: an unknown name is taken for a known one with a
// probability of 1 in 5 x 10^14. All processes have the same hashes, which are handed over.
type nameSet struct {
	present map[uint64]struct{}
	order   []uint64 // a ring of the latest
	next    int
}

func newNameSet() *nameSet { return &nameSet{present: map[uint64]struct{}{}} }

func hashName(name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(name))
	return sum.Sum64()
}

func (s *nameSet) add(name string) { s.addHash(hashName(name)) }

func (s *nameSet) addHash(hash uint64) {
	if _, present := s.present[hash]; present {
		return
	}
	s.present[hash] = struct{}{}
	if len(s.order) < maxListedNames {
		s.order = append(s.order, hash)
		return
	}
	delete(s.present, s.order[s.next])
	s.order[s.next] = hash
	s.next = (s.next + 1) % maxListedNames
}

func (s *nameSet) has(name string) bool {
	_, present := s.present[hashName(name)]
	return present
}
