package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// maxPathBytes is how long a Unix socket's address may be (108 bytes with the zero at its end: unix(7)).
const maxPathBytes = 107

// shortPath returns a name of at most mostPath bytes for a path, good until done is called: the directory by its descriptor.
func shortPath(path string) (name string, done func(), err error) {
	if len(path) <= maxPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

func dial(path string) (*net.UnixConn, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); !ok || s.Uid != uint32(os.Geteuid()) || info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	name, done, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialTimeout("unix", name, time.Second)
	if err != nil {
		return nil, err
	}
	return c.(*net.UnixConn), nil
}

// descriptorReader reads a connection and keeps the descriptors that come with the bytes.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int
}

// maxDescriptors is how many descriptors one read may bring.
const maxDescriptors = 4

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

// close closes the descriptors that nobody has taken.
func (r *descriptorReader) close() {
	for _, fd := range r.fds {
		syscall.Close(fd)
	}
	r.fds = nil
}
