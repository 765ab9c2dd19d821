package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// maxPathBytes bounds a Unix socket's address (108 bytes with its terminating zero: unix(7)).
const maxPathBytes = 107

const dialTimeout = time.Second

// shortPath returns a name of at most maxPathBytes bytes for a path, valid until done is called. It names the directory of a
// longer path by its file descriptor.
func shortPath(path string) (name string, done func(), err error) {
	if len(path) <= maxPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { _ = dir.Close() }, nil
}

// dial connects to a socket of the same user.
func dial(path string) (*net.UnixConn, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok || stat.Uid != uint32(os.Geteuid()) || info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	name, done, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer done()
	conn, err := net.DialTimeout("unix", name, dialTimeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// descriptorReader reads a connection and keeps the file descriptors that come with the bytes (SCM_RIGHTS).
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int
}

// maxDescriptors bounds the file descriptors of one read.
const maxDescriptors = 4

// Read implements io.Reader.
func (r *descriptorReader) Read(p []byte) (int, error) {
	space := make([]byte, syscall.CmsgSpace(4*maxDescriptors))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(p, space)
	if oobn > 0 {
		messages, _ := syscall.ParseSocketControlMessage(space[:oobn])
		for _, m := range messages {
			fds, _ := syscall.ParseUnixRights(&m)
			for _, fd := range fds {
				syscall.CloseOnExec(fd)
			}
			r.fds = append(r.fds, fds...)
		}
	}
	if n == 0 && err == nil && len(p) > 0 {
		return 0, fmt.Errorf("handover: the other process has closed")
	}
	return n, err
}

// close closes the file descriptors that are still in fds.
func (r *descriptorReader) close() {
	for _, fd := range r.fds {
		_ = syscall.Close(fd)
	}
	r.fds = nil
}
