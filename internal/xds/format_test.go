package xds

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"silvertrail/internal/base/statefile"
	"silvertrail/internal/testkit/golden"
	"silvertrail/internal/xds/cache"
)

// The state file is written byte for byte as in the golden file, and a golden file can be read back.
func TestStateFileMatchesGoldenFormat(t *testing.T) {
	var state []cache.SavedResource
	golden.Fill(&state)
	path := filepath.Join(t.TempDir(), "state")
	if err := statefile.Write(path, stateFormat, state); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldenFile := golden.Binary(t, "state.hex", text)
	if err := os.WriteFile(path, goldenFile, 0o600); err != nil {
		t.Fatal(err)
	}
	var read []cache.SavedResource
	if err := statefile.Read(path, stateFormat, maxStateBytes, &read); err != nil {
		t.Fatal(err)
	}
	for i := range read {
		read[i].ReceivedAt = read[i].ReceivedAt.UTC()
	}
	if !reflect.DeepEqual(read, state) {
		t.Errorf("state file read as %+v, want %+v", read, state)
	}
}
