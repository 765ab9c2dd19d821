package watchedfile

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestFile checks that a file is read when it appears, is replaced or comes back, and that a read error is reported once.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	f := File{Path: path, MaxBytes: 5}
	reads := func(want string, changed bool, fault string) {
		t.Helper()
		text, is, err := f.Read()
		if string(text) != want || is != changed || (err == nil) != (fault == "") || err != nil && !strings.Contains(err.Error(), fault) {
			t.Errorf("%q, %v, %v; want %q, %v, %q", text, is, err, want, changed, fault)
		}
	}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	reads("", false, "no such file")
	write("one")
	reads("one", true, "")
	reads("", false, "")
	write("two")
	reads("two", true, "")
	write("too long")
	reads("", false, "over 5 bytes")
	reads("", false, "")
	write("")
	reads("", true, "")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	reads("", false, "no such file")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	reads("", false, "no regular file")
	write("back")
	reads("back", true, "")
}
