package cache

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// The JSON in which the control socket reports control planes and resources matches the golden file.
func TestDumpFormat(t *testing.T) {
	var d Dump
	golden.Fill(&d)
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "dump.json", text)
}
