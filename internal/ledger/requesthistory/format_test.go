package requesthistory

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// The JSON of an exported request and the names of the verdicts are those of the golden files.
func TestViewFormat(t *testing.T) {
	var v View
	golden.Fill(&v)
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "view.json", text)
	var names []string
	for verdict := InProgress; verdict <= Unclear; verdict++ {
		names = append(names, verdict.String(), verdict.Name())
	}
	if text, err = json.MarshalIndent(names, "", " "); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "verdicts.json", text)
}

// The text that commands print of a request, with and without its Received and Final records, is that of the golden file.
func TestTextFormat(t *testing.T) {
	var r Request
	golden.Fill(&r)
	r.Ending = 1
	incomplete := r
	incomplete.HasReceived, incomplete.HasFinal = false, false
	golden.Text(t, "request.txt", []byte(r.Text()+"\n"+incomplete.Text()))
}
