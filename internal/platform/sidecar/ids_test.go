package sidecar

import (
	"fmt"
	"testing"
)

// TestEndedRequestIDsAreBounded checks that IDs of ended requests are evicted and that an ID in flight is not.
func TestEndedRequestIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	ids.begin("open")
	for i := range 3 * maxEndedIDs {
		hash, isNew := ids.begin(fmt.Sprint(i))
		if !isNew {
			t.Fatal("new request ID was reported as known")
		}
		ids.end(hash)
	}
	if _, isNew := ids.begin("open"); isNew {
		t.Error("request ID in flight was evicted")
	}
	if n := len(ids.hashes); n > maxEndedIDs+1 {
		t.Errorf("%d request IDs are stored, more than maxEndedIDs and one in flight", n)
	}
}
