package counters

import (
	"testing"

	"silvertrail/internal/testkit/golden"
)

// TestFormat compares the JSON of a Snapshot, which the administration interface returns, with the golden file stats.json.
func TestFormat(t *testing.T) {
	var snapshot Snapshot
	golden.Fill(&snapshot)
	golden.Text(t, "stats.json", snapshot.JSON())
}
