package endpointlist

import "testing"

// TestParse checks that a malformed entry does not affect the other entries, and that a list without an index is rejected.
func TestParse(t *testing.T) {
	l, err := Parse([]byte(`{"index": 4, "snapshot": true, "endpoints": [
		{"name": "a", "address": "127.0.0.1:1", "zone": "z", "group": 2, "status": "ready", "since_ms": 9},
		{"name": 5}, "noise", {"name": "b", "status": "gone"}]}`))
	if err != nil || l.Index != 4 || !l.Snapshot || len(l.Entries) != 4 {
		t.Fatalf("Parse: list %+v, error %v; want index 4, a snapshot of 4 entries", l, err)
	}
	if want := (Endpoint{Name: "a", Address: "127.0.0.1:1", Zone: "z", Group: 2, Status: "ready", SinceMS: 9}); l.Entries[0] != want || l.Entries[1].Name != "" || l.Entries[2].Name != "" || l.Entries[3].Status != "gone" {
		t.Errorf("entries %+v; want a and b parsed, and the two malformed entries without a name", l.Entries)
	}
	for _, text := range []string{"", "{", "[]", `{"endpoints": []}`, `{"index": "4"}`, `{"index": 4.5}`, `{"index": 4, "endpoints": 5}`} {
		if l, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse(%s): list %+v, want an error", text, l)
		}
	}
}

// FuzzParse checks that a failed Parse returns no entries.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"index": 4, "endpoints": [{"name": "a"}, 5]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil && len(l.Entries) > 0 {
			t.Fatal("Parse returned both an error and entries")
		}
	})
}
