package counters

import (
	"testing"

	"silvertrail/internal/testkit/golden"
)

// TestFormat checks the JSON of the administration interface.
func TestFormat(t *testing.T) {
	var f Snapshot
	golden.Fill(&f)
	golden.Text(t, "stats.json", f.JSON())
}
