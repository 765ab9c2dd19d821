// Package watchedfile reads a file that is replaced atomically (written beside and renamed), whenever it has changed.
package watchedfile

import (
	"fmt"
	"io"
	"os"
)

// File is a file that is looked at again and again. It is not safe for concurrent use.
type File struct {
	Path     string
	MaxBytes int // bytes; a larger one is an error

	last os.FileInfo
}

// Read reads the file where it has changed since it was read last, or could not be found since. What can't be read is an error
// once, and again when it has changed.
func (f *File) Read() (text []byte, changed bool, err error) {
	info, err := os.Stat(f.Path)
	if err != nil {
		f.last = nil
		return nil, false, err
	}
	if f.last != nil && os.SameFile(info, f.last) && info.ModTime() == f.last.ModTime() && info.Size() == f.last.Size() {
		return nil, false, nil
	}
	f.last = info
	if !info.Mode().IsRegular() { // a pipe would hold up whoever opens it
		return nil, false, fmt.Errorf("%s: no regular file", f.Path)
	}
	file, err := os.Open(f.Path)
	if err != nil {
		return nil, false, err
	}
	defer file.Close()
	if text, err = io.ReadAll(io.LimitReader(file, int64(f.MaxBytes)+1)); err != nil {
		return nil, false, err
	}
	if len(text) > f.MaxBytes {
		return nil, false, fmt.Errorf("%s: over %d bytes", f.Path, f.MaxBytes)
	}
	return text, true, nil
}
