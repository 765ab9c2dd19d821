package socket

import (
	"net"
	"syscall"
	"testing"

	"silvertrail/internal/testkit/lbtest"
)

func TestUnread(t *testing.T) {
	listener := lbtest.Listen(t)
	client := lbtest.Dial(t, listener.Addr().String())
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	raw, err := server.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if n := Unread(raw); n != 0 {
		t.Errorf("%d unread bytes before any were sent, want 0", n)
	}
	client.Send("four")
	lbtest.Until(t, "the 4 bytes sent are counted as unread", func() bool { return Unread(raw) == 4 })
	if IsConnecting(raw) {
		t.Error("IsConnecting = true for an established connection")
	}
	server.Close()
	if n := Unread(raw); n != 0 {
		t.Errorf("%d unread bytes in a closed socket, want 0", n)
	}
}

// TestIsConnecting opens more connections than the accept queue of a listener holds. The kernel does not complete the others.
func TestIsConnecting(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	const dials = 4 // more than the accept queue holds
	sockets := make(chan syscall.RawConn, dials)
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { sockets <- raw; return nil }}
	var connecting []syscall.RawConn
	for range dials {
		go func() {
			if c, err := dialer.DialContext(t.Context(), "tcp", address); err == nil {
				defer c.Close()
				<-t.Context().Done()
			}
		}()
		connecting = append(connecting, <-sockets)
	}
	lbtest.Until(t, "IsConnecting reports true for one of the connections", func() bool {
		for _, raw := range connecting {
			if IsConnecting(raw) {
				return true
			}
		}
		return false
	})
}
