package statefile

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestReadAcceptsOnlyIntactFiles checks that Read returns the value written, and rejects damaged files, files of another format and
// files that are too large.
func TestReadAcceptsOnlyIntactFiles(t *testing.T) {
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
	corrupted := append([]byte{}, text...)
	corrupted[len(corrupted)-1] ^= 1
	for name, content := range map[string][]byte{"empty": {}, "truncated": text[:len(text)-2], "bit flipped": corrupted, "foreign": []byte("x\ny"), "header cut short": text[:20]} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		var got map[string][]byte
		if err := Read(path, "test state 1", 1<<20, &got); err == nil || got != nil {
			t.Errorf("reading the file '%s': value %v, error %v; want an error and no value", name, got, err)
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Read(path, "test state 2", 1<<20, &got); err == nil {
		t.Error("a file of another format was read without an error")
	}
	if err := Read(path, "test state 1", int64(len(text)-1), &got); err == nil {
		t.Error("a file larger than maxBytes was read without an error")
	}
}
