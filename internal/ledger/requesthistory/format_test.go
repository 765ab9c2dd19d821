package requesthistory

import (
	"encoding/json"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// What exports tell of a request.
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

// What commands print of a request.
func TestTextFormat(t *testing.T) {
	var r Request
	golden.Fill(&r)
	r.Ending = 1
	lost := r
	lost.Known, lost.Answered = false, false
	golden.Text(t, "request.txt", []byte(r.Text()+"\n"+lost.Text()))
}
