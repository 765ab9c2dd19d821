// Package watchedfile reads a file again whenever it has changed. The file has to be replaced atomically: written under another
// name and then renamed.
package watchedfile

import (
	"fmt"
	"io"
	"os"
)

// File is a file that is polled for changes. It is not safe for concurrent use.
type File struct {
	Path     string
	MaxBytes int // reading a larger file fails

	last os.FileInfo // at the last read; nil: never read, or the file has been missing since
}

// Read reads the file if it has changed, or has been missing, since the last read. A missing file is an error at each call. A
// file that exists but cannot be read is an error once, and again after it has changed.
func (f *File) Read() (text []byte, changed bool, err error) {
	info, err := os.Stat(f.Path)
	if err != nil {
		f.last = nil
		return nil, false, err
	}
	if f.isUnchanged(info) {
		return nil, false, nil
	}
	f.last = info
	if !info.Mode().IsRegular() { // opening a named pipe would block
		return nil, false, fmt.Errorf("%s: no regular file", f.Path)
	}
	file, err := os.Open(f.Path)
	if err != nil {
		return nil, false, err
	}
	defer file.Close()
	text, err = io.ReadAll(io.LimitReader(file, int64(f.MaxBytes)+1))
	if err != nil {
		return nil, false, err
	}
	if len(text) > f.MaxBytes {
		return nil, false, fmt.Errorf("%s: over %d bytes", f.Path, f.MaxBytes)
	}
	return text, true, nil
}

// isUnchanged reports whether info describes the same file, with the same time and size, as at the last read.
func (f *File) isUnchanged(info os.FileInfo) bool {
	return f.last != nil &&
		os.SameFile(info, f.last) &&
		info.ModTime().Equal(f.last.ModTime()) &&
		info.Size() == f.last.Size()
}
