package counters

import (
	"testing"

	"silvertrail/internal/testkit/golden"
)

// What the operators' address tells.
func TestFormat(t *testing.T) {
	var f Snapshot
	golden.Fill(&f)
	golden.Text(t, "stats.json", f.JSON())
}
