package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// maxPathBytes bounds the path of a Unix socket: an address holds 108 bytes with the terminating zero, see unix(7).
const maxPathBytes = 107

const dialTimeout = time.Second

// shortPath returns a name for a path that fits into the address of a Unix socket. The name is valid until release is
// called. For a path of more than maxPathBytes bytes, the name refers to the directory by a file descriptor.
func shortPath(path string) (name string, release func(), err error) {
	if len(path) <= maxPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { _ = dir.Close() }, nil
}

// dial connects to a Unix socket. It rejects a file that is no socket or belongs to another user.
func dial(path string) (*net.UnixConn, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok || stat.Uid != uint32(os.Geteuid()) || info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	name, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", name, dialTimeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// descriptorReader reads from a connection and collects the file descriptors that are sent with the data (SCM_RIGHTS).
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int
}

// maxDescriptors bounds the number of file descriptors received by one read.
const maxDescriptors = 4

// Read implements io.Reader.
func (r *descriptorReader) Read(p []byte) (int, error) {
	controlData := make([]byte, syscall.CmsgSpace(4*maxDescriptors))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(p, controlData)
	if oobn > 0 {
		messages, _ := syscall.ParseSocketControlMessage(controlData[:oobn])
		for _, m := range messages {
			fds, _ := syscall.ParseUnixRights(&m)
			for _, fd := range fds {
				syscall.CloseOnExec(fd)
			}
			r.fds = append(r.fds, fds...)
		}
	}
	if n == 0 && err == nil && len(p) > 0 {
		return 0, fmt.Errorf("handover: the other process closed the connection")
	}
	return n, err
}

// close closes the received file descriptors that listenerOf has not taken.
func (r *descriptorReader) close() {
	for _, fd := range r.fds {
		_ = syscall.Close(fd)
	}
	r.fds = nil
}
