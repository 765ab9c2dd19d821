package segment

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// A segment with a record of every kind is written as recorded, and a recorded one is read as the same records.
func TestSegmentFormat(t *testing.T) {
	const salt = 0x2122232425262728
	var header Header
	golden.Fill(&header)
	header.Salt = salt
	var all []*Record
	for kind := Received; kind <= Shutdown; kind++ {
		r := &Record{}
		golden.Fill(r)
		r.Kind = kind
		all = append(all, r)
	}
	b := AppendHeader(nil, salt, &header)
	at := len(b)
	for i, r := range all {
		var err error
		if b, err = AppendFrame(b, uint64(i+1), r); err != nil {
			t.Fatal(err)
		}
	}
	Seal(b[at:], salt)
	recorded := golden.Binary(t, "segment.hex", b)
	got, s, err := scanAll(bytes.NewReader(recorded))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s.Header, header) || len(s.Damage) > 0 {
		t.Errorf("header %+v with damage %v, want %+v", s.Header, s.Damage, header)
	}
	if len(got) != len(all) {
		t.Fatalf("%d records, want %d", len(got), len(all))
	}
	for i, r := range got {
		if r.seq != uint64(i+1) || !reflect.DeepEqual(&r.r, all[i]) {
			t.Errorf("record %d is read as %+v, want %+v", r.seq, r.r, *all[i])
		}
	}
}

// The names of kinds and endings stand in what commands print.
func TestNames(t *testing.T) {
	var names []string
	for kind := Received; kind <= Shutdown; kind++ {
		names = append(names, kind.String())
	}
	for ending := Served; ending <= KeyConflict; ending++ {
		names = append(names, ending.String())
	}
	text, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "names.json", text)
}
