package statefile

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestFile checks that what was written is read, and that torn files and other formats are errors.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	want := map[string][]byte{"a": []byte("x"), "b": {0, 255}}
	if err := Write(path, "test state 1", want); err != nil {
		t.Fatal(err)
	}
	var got map[string][]byte
	if err := Read(path, "test state 1", 1<<20, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatal(got, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	turned := append([]byte{}, text...)
	turned[len(turned)-1] ^= 1
	for name, of := range map[string][]byte{"empty": {}, "torn": text[:len(text)-2], "turned": turned, "foreign": []byte("x\ny"), "head": text[:20]} {
		if err := os.WriteFile(path, of, 0o600); err != nil {
			t.Fatal(err)
		}
		var got map[string][]byte
		if err := Read(path, "test state 1", 1<<20, &got); err == nil || got != nil {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Read(path, "test state 2", 1<<20, &got); err == nil {
		t.Error("of another format, and taken")
	}
	if err := Read(path, "test state 1", int64(len(text)-1), &got); err == nil {
		t.Error("larger than allowed, and taken")
	}
}
