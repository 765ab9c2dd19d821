package watchedfile

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestReadReportsEachChangeOnce checks that a file is read when it appears, is replaced or reappears, and that the error of an
// unreadable file is reported once.
func TestReadReportsEachChangeOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	f := File{Path: path, MaxBytes: 5}
	expectRead := func(want string, changed bool, wantError string) {
		t.Helper()
		text, gotChanged, err := f.Read()
		if string(text) != want || gotChanged != changed || (err == nil) != (wantError == "") || err != nil && !strings.Contains(err.Error(), wantError) {
			t.Errorf("Read = %q, changed %v, error %v; want %q, changed %v, error containing %q", text, gotChanged, err, want, changed, wantError)
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
	expectRead("", false, "no such file")
	write("one")
	expectRead("one", true, "")
	expectRead("", false, "")
	write("two")
	expectRead("two", true, "")
	write("too long")
	expectRead("", false, "over 5 bytes")
	expectRead("", false, "")
	write("")
	expectRead("", true, "")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	expectRead("", false, "no such file")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	expectRead("", false, "no regular file")
	write("back")
	expectRead("back", true, "")
}
