package hashring

import (
	"slices"
	"testing"
)

func TestFullRingEvictsOldestHash(t *testing.T) {
	t.Parallel()
	r := New(3)
	for h := range uint64(3) {
		if _, ok := r.Add(h); ok {
			t.Errorf("adding hash %d to a ring that is not full evicted a hash", h)
		}
	}
	for h := uint64(3); h < 10; h++ {
		if evicted, ok := r.Add(h); !ok || evicted != h-3 {
			t.Errorf("adding hash %d evicted %d, %v; want %d", h, evicted, ok, h-3)
		}
	}
	hashes := r.Hashes()
	slices.Sort(hashes)
	if !slices.Equal(hashes, []uint64{7, 8, 9}) {
		t.Errorf("hashes are %d, want the latest three: 7, 8 and 9", hashes)
	}
}
