package ledger

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// What the control socket tells of a running ledger.
func TestViewFormat(t *testing.T) {
	var v View
	golden.Fill(&v)
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "view.json", text)
}
