package sidecar

import (
	"fmt"
	"testing"
)

func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs()
	ids.begin("open")
	for i := range 3 * maxEndedIDs {
		key, fresh := ids.begin(fmt.Sprint(i))
		if !fresh {
			t.Fatal("taken for known")
		}
		ids.end(key)
	}
	if _, fresh := ids.begin("open"); fresh {
		t.Error("an open id was forgotten")
	}
	if n := len(ids.hashes); n > maxEndedIDs+1 {
		t.Errorf("%d ids are kept", n)
	}
}
