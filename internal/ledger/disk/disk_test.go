package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

// A file is its owner's, has its room from the start and is not made twice; one that there is no room for leaves nothing
// behind; what is no regular file is not listed.
func TestFiles(t *testing.T) {
	d := Dir(t.TempDir())
	f, err := d.Create("a", 8192)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("text")); err != nil || f.Sync() != nil || f.Close() != nil || d.SyncDir() != nil {
		t.Errorf("writing: %v", err)
	}
	if size, err := d.Size("a"); err != nil || size != 8192 {
		t.Errorf("%d bytes, %v", size, err)
	}
	if _, err := d.Create("a", 1); !errors.Is(err, fs.ErrExist) {
		t.Errorf("made twice: %v", err)
	}
	if _, err := d.Create("huge", 1<<60); err == nil {
		t.Error("there is no such room")
	}
	if err := syscall.Mkfifo(filepath.Join(string(d), "pipe"), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, err := d.List(); err != nil || !slices.Equal(names, []string{"a"}) {
		t.Errorf("%v, %v", names, err)
	}
	if err := d.Remove("a"); err != nil {
		t.Error(err)
	}
	if _, err := d.Size("a"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("removed: %v", err)
	}
}

// One holds a directory; to ask whether one does takes nothing; a lock whose file is gone, or another's, stands no more.
func TestHold(t *testing.T) {
	d := Dir(t.TempDir())
	if d.IsLocked() {
		t.Error("held by nobody")
	}
	l, err := d.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Lock(); !errors.Is(err, ErrLocked) || !d.IsLocked() || !l.IsValid() {
		t.Errorf("%v, held %v, stands %v", err, d.IsLocked(), l.IsValid())
	}
	if err := os.Remove(filepath.Join(string(d), lockName)); err != nil || l.IsValid() {
		t.Errorf("%v, or it stands without its file", err)
	}
	other, err := d.Lock()
	if err != nil || l.IsValid() || !other.IsValid() {
		t.Errorf("%v: the first stands %v", err, l.IsValid())
	}
	l.Release()
	if !d.IsLocked() {
		t.Error("the first one's release gave back the other's")
	}
	if other.Release(); d.IsLocked() {
		t.Error("held after its release")
	}
}

func TestBoot(t *testing.T) {
	before := SinceBoot()
	first, second := BootID(), BootID()
	if first != second || before <= 0 || SinceBoot() < before {
		t.Errorf("%q, %q, %v", first, second, before)
	}
}
