package cache

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// The control socket reports control planes and resources in the recorded form.
func TestDumpFormat(t *testing.T) {
	var d Dump
	golden.Fill(&d)
	text, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "dump.json", text)
}
