package engine

import "hash/fnv"

// maxListedNames is how many names of endpoints are remembered after they were listed, some 1 MB: three hours of two new ones a
// second. An older one counts as never listed. Names are kept as 64-bit hashes: one that was never listed is taken for one
// that was with a chance of 1 in 5 x 10^14.
const maxListedNames = 1 << 15

// nameSet remembers which endpoints were ever listed, in bounded memory over endless replacements. Every process has the same
// hashes: they are handed on.
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

func (s *nameSet) add(name string) { s.put(hashName(name)) }

func (s *nameSet) put(key uint64) {
	if _, known := s.present[key]; known {
		return
	}
	s.present[key] = struct{}{}
	if len(s.order) < maxListedNames {
		s.order = append(s.order, key)
		return
	}
	delete(s.present, s.order[s.next])
	s.order[s.next] = key
	s.next = (s.next + 1) % maxListedNames
}

func (s *nameSet) has(name string) bool {
	_, known := s.present[hashName(name)]
	return known
}
