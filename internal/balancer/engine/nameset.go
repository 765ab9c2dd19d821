package engine

import (
	"hash/fnv"

	"silvertrail/internal/base/hashring"
)

// maxListedNames is the number of names that a nameSet remembers. They take about 1 MB, and cover more than three hours with two new
// names per second.
const maxListedNames = 1 << 15

// nameSet is a set of the names added last, in bounded memory. It stores 64-bit hashes: the probability that an unknown name is taken
// for a known one is 1 in 5 x 10^14. All processes compute the same hash of a name, so that hashes can be handed over to another
// process.
type nameSet struct {
	present map[uint64]struct{}
	latest  *hashring.Ring
}

func newNameSet() *nameSet {
	return &nameSet{present: map[uint64]struct{}{}, latest: hashring.New(maxListedNames)}
}

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
	if evicted, ok := s.latest.Add(hash); ok {
		delete(s.present, evicted)
	}
}

func (s *nameSet) has(name string) bool {
	_, present := s.present[hashName(name)]
	return present
}
