package golden

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
)

type inner struct {
	Number int
	Name   string
	hidden int
}

type outer struct {
	inner
	Flag     bool
	Kind     uint8
	At       time.Time
	Lasting  time.Duration
	List     []inner
	ByName   map[string]inner
	Pointer  *inner
	Bytes    [2]byte
	Function func()
}

// Every exported field gets a value, and no two of one type get the same.
func TestFill(t *testing.T) {
	var o outer
	Fill(&o)
	o.Function = nil
	if missing := Unset(o); !slices.Equal(missing, []string{"golden.outer.Function"}) {
		t.Errorf("not filled: %v", missing)
	}
	if o.hidden != 0 {
		t.Error("an unexported field was set")
	}
	if o.List[0].Number == o.Pointer.Number || o.List[0].Name == o.Pointer.Name {
		t.Errorf("two fields hold the same value: %+v", o)
	}
	text, err := json.Marshal(struct {
		List   []inner
		Bytes  [2]byte
		Kind   uint8
		Lasted time.Duration
	}{o.List, o.Bytes, o.Kind, o.Lasting})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"List":[{"Number":3,"Name":"text4"}],"Bytes":[10,11],"Kind":1,"Lasted":2000000}`; string(text) != want {
		t.Errorf("filled as %s, want %s", text, want)
	}
}

// Zero values are found at any depth.
func TestUnset(t *testing.T) {
	got := Unset(&struct {
		A int
		B []inner
	}{1, []inner{{Number: 1}}})
	if len(got) != 1 || got[0] != "*struct { A int; B []golden.inner }.B[0].Name" {
		t.Errorf("got %v", got)
	}
}
