package counters

import (
	"testing"

	"silvertrail/internal/testkit/golden"
)

// TestFormat compares the JSON of a Snapshot, part of what the administration interface returns, with the golden file stats.json.
func TestFormat(t *testing.T) {
	var snapshot Snapshot
	golden.Fill(&snapshot)
	golden.Text(t, "stats.json", snapshot.JSON())
}

// TestStatsFormat compares the JSON of Stats, which adds the deliveries to a Snapshot, with the golden file stats-deliveries.json.
func TestStatsFormat(t *testing.T) {
	var stats Stats
	golden.Fill(&stats)
	golden.Text(t, "stats-deliveries.json", stats.JSON())
}
