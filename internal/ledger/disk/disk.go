// Package disk is what the ledger asks of a file system, and the real one. Tests put one in its place that loses what was
// not made durable, fails, fills up or is slow.
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

// File is a file that is written at its end.
type File interface {
	io.Writer
	// Sync returns once what was written is on the disk.
	Sync() error
	Close() error
}

// Disk is one directory.
type Disk interface {
	// List returns the names of the files.
	List() ([]string, error)
	// Create makes a file that must not be there, with room for so many bytes; its name may be lost until SyncDir.
	Create(name string, room int64) (File, error)
	Open(name string) (io.ReadCloser, error)
	// Size returns the bytes that a file takes.
	Size(name string) (int64, error)
	Remove(name string) error
	// SyncDir returns once the names of files are on the disk.
	SyncDir() error
}

// Dir is a directory of the real file system.
type Dir string

// List implements Disk.
func (d Dir) List() (names []string, err error) {
	all, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	for _, e := range all {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Create implements Disk. Room that is taken beforehand makes an fsync cheaper, as the file's size does not change, and
// tells of a full disk before requests depend on it.
func (d Dir) Create(name string, room int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	err = unix.Fallocate(int(f.Fd()), 0, 0, room)
	if errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS) {
		err = nil
	}
	if err != nil {
		f.Close()
		err = errors.Join(err, os.Remove(f.Name()))
		return nil, fmt.Errorf("taking %d bytes for %s: %w", room, name, err)
	}
	return file{f}, nil
}

type file struct{ *os.File }

// Sync flushes the data and what is needed to read it back.
func (f file) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// Open implements Disk. Only regular files are opened.
func (d Dir) Open(name string) (io.ReadCloser, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_RDONLY|syscall.O_NONBLOCK, 0)
}

// Size implements Disk.
func (d Dir) Size(name string) (int64, error) {
	i, err := os.Stat(filepath.Join(string(d), name))
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
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

// ErrLocked says that another process holds the directory.
var ErrLocked = errors.New("another process holds it")

const lockName = "lock"

// Lock is a directory that this process holds.
type Lock struct {
	dir  Dir
	file *os.File
}

// Lock takes the directory for this process alone, until it ends or the lock is released.
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
			return nil, fmt.Errorf("%w, of number %s", ErrLocked, strings.TrimSpace(string(text)))
		}
		return nil, err
	}
	if f.Truncate(0) == nil { // for who finds it held
		fmt.Fprintln(f, os.Getpid())
	}
	return &Lock{d, f}, nil
}

// IsValid tells whether the directory is still the one that was taken: it, or the lock in it, may have been removed.
func (l *Lock) IsValid() bool {
	mine, err := l.file.Stat()
	if err != nil {
		return false
	}
	is, err := os.Stat(filepath.Join(string(l.dir), lockName))
	return err == nil && os.SameFile(mine, is)
}

// Release gives the directory back.
func (l *Lock) Release() { l.file.Close() }

// IsLocked tells whether a process holds the directory. To ask takes nothing that could keep one from starting.
func (d Dir) IsLocked() bool {
	f, err := os.Open(filepath.Join(string(d), lockName))
	if err != nil {
		return false
	}
	defer f.Close()
	lock := unix.Flock_t{Type: unix.F_WRLCK}
	return unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, &lock) == nil && lock.Type != unix.F_UNLCK
}

// BootID returns what names the machine's start, or "" where the system does not tell.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// SinceBoot returns the time since the machine's start, by a clock that nobody sets and that goes on while the machine sleeps.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
