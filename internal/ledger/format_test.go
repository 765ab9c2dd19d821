package ledger

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// The JSON status that the control socket returns for a running ledger keeps its format.
func TestViewFormat(t *testing.T) {
	var v View
	golden.Fill(&v)
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "view.json", text)
}
