package fake

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"silvertrail/internal/ledger/disk"
)

// sector is the unit that a disk writes atomically.
const sector = 512

// Disk is a directory in memory that simulates crashes: it knows of each file what an fsync has made safe, and what was written since. It
// implements disk.Disk.
type Disk struct {
	mu    sync.Mutex
	files map[string]*simFile
	free  int64 // bytes that are left; below 0: any number
	// Faults of the next calls.
	failWrite, failSync, failCreate error
	ignoresSyncs                    bool
	hang                            chan struct{}
	syncs                           int
	watch                           func(*Disk)
}

// simFile is a file of a Disk.
type simFile struct {
	disk  *Disk
	name  string
	safe  []byte // on the disk; nil: nothing, not even its length
	now   []byte // as the process sees it
	at    int
	named bool // its name is safe
}

// NewDisk returns an empty directory with free bytes; below 0: without a limit.
func NewDisk(free int64) *Disk { return &Disk{files: map[string]*simFile{}, free: free} }

// Fail has writes, fsyncs and new files fail from now on; nil: no more.
func (d *Disk) Fail(write, sync, create error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failWrite, d.failSync, d.failCreate = write, sync, create
}

// SetFree sets how many bytes are left.
func (d *Disk) SetFree(free int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = free
}

// IgnoreSyncs has fsyncs return without making anything safe.
func (d *Disk) IgnoreSyncs() { d.ignoresSyncs = true }

// Hang has all that changes or looks at files wait until the function that it returns is called.
func (d *Disk) Hang() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan struct{})
	d.hang = c
	return sync.OnceFunc(func() {
		d.mu.Lock()
		d.hang = nil
		d.mu.Unlock()
		close(c)
	})
}

// OnChange has f called after each change, before whoever made it goes on. It must not change the disk.
func (d *Disk) OnChange(f func(*Disk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch = f
}

// changed tells the watcher. The lock is not held.
func (d *Disk) changed() {
	d.mu.Lock()
	f := d.watch
	d.mu.Unlock()
	if f != nil {
		f(d)
	}
}

// wait waits while the disk hangs.
func (d *Disk) wait() {
	d.mu.Lock()
	c := d.hang
	d.mu.Unlock()
	if c != nil {
		<-c
	}
}

// AfterKill returns the directory as it is when the process is killed now: all that was written is there.
func (d *Disk) AfterKill() *Disk { return d.after(nil) }

// AfterPowerLoss returns the directory as it may be when the machine is lost now: of what was written and not made safe any sectors
// may be there, and any not.
func (d *Disk) AfterPowerLoss(r *rand.Rand) *Disk { return d.after(r) }

func (d *Disk) after(r *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := NewDisk(-1)
	for name, f := range d.files {
		b := slices.Clone(f.now)
		if r != nil {
			if !f.named && r.IntN(2) == 0 {
				continue
			}
			b = f.afterPowerLoss(b, r)
		}
		out.files[name] = &simFile{disk: out, name: name, safe: slices.Clone(b), now: b, named: true}
	}
	return out
}

// afterPowerLoss returns the bytes of a file, of which any sectors may be as they were at the last fsync.
func (f *simFile) afterPowerLoss(b []byte, r *rand.Rand) []byte {
	if f.safe == nil { // not even its length is safe
		b = b[:r.IntN(len(b)+1)]
	}
	for from := 0; from < len(b); from += sector {
		to := min(from+sector, len(b))
		if r.IntN(2) != 0 {
			continue
		}
		clear(b[from:to])
		if from < len(f.safe) {
			copy(b[from:to], f.safe[from:])
		}
	}
	return b
}

// Change has f change a file's bytes as they are.
func (d *Disk) Change(name string, f func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[name]
	if file == nil {
		file = &simFile{disk: d, name: name, named: true}
		d.files[name] = file
	}
	file.now = f(slices.Clone(file.now))
	file.safe = slices.Clone(file.now)
}

// Bytes returns a file's bytes.
func (d *Disk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.files[name].now)
}

// Syncs returns the number of fsyncs that succeeded.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// List implements disk.Disk.
func (d *Disk) List() (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.files {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

// Create implements disk.Disk.
func (d *Disk) Create(name string, room int64) (disk.File, error) {
	d.wait()
	defer d.changed()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.failCreate != nil:
		return nil, d.failCreate
	case d.files[name] != nil:
		return nil, fmt.Errorf("%s: %w", name, fs.ErrExist)
	case d.free >= 0 && room > d.free:
		return nil, syscall.ENOSPC
	}
	if d.free >= 0 {
		d.free -= room
	}
	f := &simFile{disk: d, name: name, now: make([]byte, room)}
	d.files[name] = f
	return f, nil
}

// Open implements disk.Disk.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(f.now))), nil
}

// Size implements disk.Disk.
func (d *Disk) Size(name string) (int64, error) {
	d.wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return int64(len(f.now)), nil
	}
	return 0, fs.ErrNotExist
}

// Remove implements disk.Disk.
func (d *Disk) Remove(name string) error {
	d.wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return fs.ErrNotExist
	}
	if d.free >= 0 {
		d.free += int64(len(f.now))
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements disk.Disk.
func (d *Disk) SyncDir() error {
	defer d.changed()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSync != nil {
		return d.failSync
	}
	for _, f := range d.files {
		f.named = f.named || !d.ignoresSyncs
	}
	return nil
}

// Write implements disk.File. Where it fails, part of it is written.
func (f *simFile) Write(b []byte) (int, error) {
	f.disk.wait()
	defer f.disk.changed()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	err := f.disk.failWrite
	if err != nil {
		b = b[:len(b)/2]
	}
	if more := f.at + len(b) - len(f.now); more > 0 {
		if f.disk.free >= 0 && int64(more) > f.disk.free {
			return 0, syscall.ENOSPC
		}
		if f.disk.free >= 0 {
			f.disk.free -= int64(more)
		}
		f.now = append(f.now, make([]byte, more)...)
	}
	f.at += copy(f.now[f.at:], b)
	return len(b), err
}

// Sync implements disk.File. One that fails loses what was written since the last one, as a kernel does that has given up on
// its dirty pages: a later one that succeeds does not bring it back.
func (f *simFile) Sync() error {
	f.disk.wait()
	defer f.disk.changed()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	switch {
	case f.disk.failSync != nil:
		b := make([]byte, len(f.now))
		copy(b, f.safe)
		f.now = b
		return f.disk.failSync
	case !f.disk.ignoresSyncs:
		f.safe = slices.Clone(f.now)
	}
	f.disk.syncs++
	return nil
}

// Close implements disk.File.
func (f *simFile) Close() error { return nil }
