package counters

import (
	"bytes"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// TestFormat compares the JSON of a Snapshot, part of what the administration interface returns, with the golden file stats.json.
func TestFormat(t *testing.T) {
	var snapshot Snapshot
	golden.Fill(&snapshot)
	golden.Text(t, "stats.json", snapshot.JSON())
}

// TestStatsFormat compares the JSON of Stats with the golden file stats-memory.json. Without the memory, which was added last, it is that of
// stats-responses.json, and without the responses that of stats-deliveries.json.
func TestStatsFormat(t *testing.T) {
	var stats Stats
	golden.Fill(&stats)
	text := stats.JSON()
	golden.Text(t, "stats-memory.json", text)
	text, _, hasMemory := bytes.Cut(text, []byte(`,"memory":`))
	if !hasMemory {
		t.Fatalf("no memory in %s", text)
	}
	text = append(bytes.Clone(text), "}\n"...)
	golden.Text(t, "stats-responses.json", text)
	before, _, hasResponses := bytes.Cut(text, []byte(`,"responses":`))
	if !hasResponses {
		t.Fatalf("no responses in %s", text)
	}
	golden.Text(t, "stats-deliveries.json", append(bytes.Clone(before), "}\n"...))
}
