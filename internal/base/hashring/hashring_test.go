package hashring

import (
	"slices"
	"testing"
)

func TestAdd(t *testing.T) {
	t.Parallel()
	r := New(3)
	for h := range uint64(3) {
		if _, ok := r.Add(h); ok {
			t.Errorf("hash %d evicted one below the bound", h)
		}
	}
	for h := uint64(3); h < 10; h++ {
		if evicted, ok := r.Add(h); !ok || evicted != h-3 {
			t.Errorf("hash %d evicted %d, %v; want %d", h, evicted, ok, h-3)
		}
	}
	hashes := r.Hashes()
	slices.Sort(hashes)
	if !slices.Equal(hashes, []uint64{7, 8, 9}) {
		t.Errorf("hashes are %d, want the latest three", hashes)
	}
}
