package segment

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"silvertrail/internal/testkit/golden"
)

// A segment with one record of every kind is encoded as in the golden file, and the golden file is read as the same header and
// records.
func TestSegmentFormat(t *testing.T) {
	const salt = 0x2122232425262728
	var header Header
	golden.Fill(&header)
	header.Salt = salt
	var records []*Record
	for kind := Received; kind <= Shutdown; kind++ {
		r := &Record{}
		golden.Fill(r)
		r.Kind = kind
		records = append(records, r)
	}
	b := AppendHeader(nil, salt, &header)
	headerBytes := len(b)
	for i, r := range records {
		var err error
		if b, err = AppendFrame(b, uint64(i+1), r); err != nil {
			t.Fatal(err)
		}
	}
	Seal(b[headerBytes:], salt)
	recorded := golden.Binary(t, "segment.hex", b)
	got, s, err := scanAll(bytes.NewReader(recorded))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s.Header, header) || len(s.Damage) > 0 {
		t.Errorf("header is read as %+v with damage %v, want %+v and no damage", s.Header, s.Damage, header)
	}
	if len(got) != len(records) {
		t.Fatalf("%d records are read, want %d", len(got), len(records))
	}
	for i, r := range got {
		if r.seq != uint64(i+1) || !reflect.DeepEqual(&r.r, records[i]) {
			t.Errorf("record %d is read as %+v, want %+v", r.seq, r.r, *records[i])
		}
	}
}

// Commands print the names of kinds and endings, so they stay as in the golden file.
func TestKindAndEndingNamesMatchGoldenFile(t *testing.T) {
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
