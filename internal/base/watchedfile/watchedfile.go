// Package watchedfile reads a file that is replaced atomically (written beside and renamed) whenever it has changed.
package watchedfile

import (
	"fmt"
	"io"
	"os"
)

// File is a file that is read again and again. It is not safe for concurrent use.
type File struct {
	Path     string
	MaxBytes int // a larger file is an error

	last os.FileInfo // of the last read; nil: never, or the file was missing since
}

// Read reads the file if it has changed since the last read, or was missing since. A file that cannot be read is an error
// once, and again when it has changed.
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
	if !info.Mode().IsRegular() { // opening a pipe would block
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

// isUnchanged reports whether the file is the one of the last read.
func (f *File) isUnchanged(info os.FileInfo) bool {
	return f.last != nil &&
		os.SameFile(info, f.last) &&
		info.ModTime().Equal(f.last.ModTime()) &&
		info.Size() == f.last.Size()
}
