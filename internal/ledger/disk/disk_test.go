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

// A created file has its preallocated size, and creating it a second time fails. A file that does not fit on the disk is
// removed again. List leaves out files that are not regular.
func TestCreatePreallocatesAndListReturnsRegularFiles(t *testing.T) {
	d := Dir(t.TempDir())
	f, err := d.Create("a", 8192)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("text")); err != nil || f.Sync() != nil || f.Close() != nil || d.SyncDir() != nil {
		t.Errorf("write, sync, close or directory sync failed; error of the write: %v", err)
	}
	if size, err := d.Size("a"); err != nil || size != 8192 {
		t.Errorf("size of the created file is %d with error %v, want 8192 bytes", size, err)
	}
	if _, err := d.Create("a", 1); !errors.Is(err, fs.ErrExist) {
		t.Errorf("creating an existing file: got error %v, want fs.ErrExist", err)
	}
	if _, err := d.Create("huge", 1<<60); err == nil {
		t.Error("creating a file larger than the disk succeeded")
	}
	if err := syscall.Mkfifo(filepath.Join(string(d), "pipe"), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, err := d.List(); err != nil || !slices.Equal(names, []string{"a"}) {
		t.Errorf("listed files %v with error %v, want only file a", names, err)
	}
	if err := d.Remove("a"); err != nil {
		t.Error(err)
	}
	if _, err := d.Size("a"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("size of a removed file: got error %v, want fs.ErrNotExist", err)
	}
}

// Only one lock on a directory is held at a time, and IsLocked does not acquire the lock. A lock is not valid any more when its file
// was removed or replaced by the file of another lock.
func TestLockIsExclusiveAndInvalidWithoutItsFile(t *testing.T) {
	d := Dir(t.TempDir())
	if d.IsLocked() {
		t.Error("directory is locked before anybody locked it")
	}
	first, err := d.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Lock(); !errors.Is(err, ErrLocked) || !d.IsLocked() || !first.IsValid() {
		t.Errorf("second lock: got error %v, directory locked %v, first lock valid %v; want ErrLocked, true, true", err, d.IsLocked(), first.IsValid())
	}
	if err := os.Remove(filepath.Join(string(d), lockName)); err != nil || first.IsValid() {
		t.Errorf("removing the lock file returned error %v, or the lock is valid without its file", err)
	}
	second, err := d.Lock()
	if err != nil || first.IsValid() || !second.IsValid() {
		t.Errorf("locking again: error %v, first lock valid %v; want no error, false, and a valid second lock", err, first.IsValid())
	}
	first.Release()
	if !d.IsLocked() {
		t.Error("releasing the first lock released the second one")
	}
	if second.Release(); d.IsLocked() {
		t.Error("directory is locked after the release of its lock")
	}
}

func TestBootIDIsConstantAndSinceBootIncreases(t *testing.T) {
	before := SinceBoot()
	first, second := BootID(), BootID()
	if first != second || before <= 0 || SinceBoot() < before {
		t.Errorf("boot IDs %q and %q, time since boot %v; want equal IDs and a positive time that does not decrease", first, second, before)
	}
}
