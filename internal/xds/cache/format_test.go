package cache

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// What the control socket tells of control planes and resources.
func TestDumpFormat(t *testing.T) {
	var d Dump
	golden.Fill(&d)
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "dump.json", text)
}
