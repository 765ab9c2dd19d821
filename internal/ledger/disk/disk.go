// Package disk defines the file system operations that the ledger needs, and implements them on a directory of the operating
// system. Tests substitute a simulated disk that loses data which was not synced, returns errors, fills up or is slow.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// File is an append-only file.
type File interface {
	io.Writer
	// Sync returns once all written data is on stable storage.
	Sync() error
	Close() error
}

// Disk is the file operations on one directory.
type Disk interface {
	// List returns the names of the regular files.
	List() ([]string, error)
	// Create creates a file and preallocates size bytes for it. It fails if the file exists. Until SyncDir has returned, a crash
	// may lose the directory entry.
	Create(name string, size int64) (File, error)
	Open(name string) (io.ReadCloser, error)
	// Size returns the length of a file in bytes, preallocated space included.
	Size(name string) (int64, error)
	Remove(name string) error
	// SyncDir returns once the directory entries are on stable storage.
	SyncDir() error
}

// Dir is the path of a directory. It implements Disk on the file system of the operating system.
type Dir string

// List implements Disk.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Create implements Disk. Preallocation makes an fsync cheaper, since the file size does not change with each write. It also
// reports a full disk before requests depend on the file. File systems without fallocate do not preallocate. The file is
// accessible to its owner only.
func (d Dir) Create(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	err = unix.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS) {
		err = nil
	}
	if err != nil {
		f.Close()
		err = errors.Join(err, os.Remove(f.Name()))
		return nil, fmt.Errorf("preallocating %d bytes for %s: %w", size, name, err)
	}
	return file{f}, nil
}

type file struct{ *os.File }

// Sync implements File. fdatasync flushes the data and only the metadata that is needed to read it back.
func (f file) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// Open implements Disk. Callers open only regular files, as List returns them. With O_NONBLOCK, opening a FIFO of that name
// does not block.
func (d Dir) Open(name string) (io.ReadCloser, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_RDONLY|syscall.O_NONBLOCK, 0)
}

// Size implements Disk.
func (d Dir) Size(name string) (int64, error) {
	info, err := os.Stat(filepath.Join(string(d), name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Remove implements Disk.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// SyncDir implements Disk.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// ErrLocked means that another process holds the lock of the directory.
var ErrLocked = errors.New("another process holds it")

const lockName = "lock"

// Lock is the lock that this process holds on a directory.
type Lock struct {
	dir  Dir
	file *os.File
}

// Lock acquires an exclusive lock on the directory. It is held until Release is called or the process ends. The lock file
// contains the ID of the process, which the error for a locked directory names.
func (d Dir) Lock() (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	lock := unix.Flock_t{Type: unix.F_WRLCK}
	if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &lock); err != nil {
		text, _ := io.ReadAll(io.LimitReader(f, 32))
		f.Close()
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
			return nil, fmt.Errorf("%w, with process ID %s", ErrLocked, strings.TrimSpace(string(text)))
		}
		return nil, err
	}
	if f.Truncate(0) == nil {
		fmt.Fprintln(f, os.Getpid())
	}
	return &Lock{d, f}, nil
}

// IsValid reports whether the lock file is still the one that was locked. The directory or the lock file may have been
// removed or replaced since.
func (l *Lock) IsValid() bool {
	locked, err := l.file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(filepath.Join(string(l.dir), lockName))
	return err == nil && os.SameFile(locked, current)
}

// Release releases the lock.
func (l *Lock) Release() { l.file.Close() }

// IsLocked reports whether a process holds the lock of the directory. The check does not acquire the lock, so it cannot keep
// another process from starting.
func (d Dir) IsLocked() bool {
	f, err := os.Open(filepath.Join(string(d), lockName))
	if err != nil {
		return false
	}
	defer f.Close()
	lock := unix.Flock_t{Type: unix.F_WRLCK}
	return unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, &lock) == nil && lock.Type != unix.F_UNLCK
}

// BootID returns the kernel's ID of the current boot of the machine, or "" if the kernel does not provide one.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// SinceBoot returns the time since the boot of the machine, or 0 if it cannot be read. It uses CLOCK_BOOTTIME, which cannot be
// set and which includes the time that the machine is suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
