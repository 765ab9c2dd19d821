package engine

import (
	"hash/fnv"

	"silvertrail/internal/base/hashring"
)

// maxListedNames is how many names are remembered, which takes some 1 MB: three hours of two new ones per second.
const maxListedNames = 1 << 15

// nameSet remembers the latest names in bounded memory, as 64-bit hashes: an unknown name is taken for a known one with a
// probability of 1 in 5 x 10^14. All processes have the same hashes, which are handed over.
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
