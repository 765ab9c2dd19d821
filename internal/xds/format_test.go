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

// State files are written byte for byte as in the golden files, and both formats can be read back.
func TestStateFileMatchesGoldenFormat(t *testing.T) {
	var state cache.SavedState
	golden.Fill(&state)
	var resources []cache.SavedResource
	golden.Fill(&resources)
	for name, c := range map[string]struct {
		format  string
		written any
		want    cache.SavedState
	}{
		"state.hex":  {firstStateFormat, resources, cache.SavedState{Resources: resources}},
		"state2.hex": {stateFormat, state, state},
	} {
		path := filepath.Join(t.TempDir(), "state")
		if err := statefile.Write(path, c.format, c.written); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, golden.Binary(t, name, text), 0o600); err != nil {
			t.Fatal(err)
		}
		read, err := readState(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range read.Resources {
			read.Resources[i].ReceivedAt = read.Resources[i].ReceivedAt.UTC()
		}
		for i := range read.Histories {
			read.Histories[i].RemovedAt = read.Histories[i].RemovedAt.UTC()
		}
		if !reflect.DeepEqual(read, c.want) {
			t.Errorf("%s: read as %+v, want %+v", name, read, c.want)
		}
	}
}
