package socket

import (
	"net"
	"syscall"
	"testing"

	"silvertrail/internal/testkit/lbtest"
)

func TestUnread(t *testing.T) {
	listener := lbtest.Listen(t)
	here := lbtest.Dial(t, listener.Addr().String())
	there, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	raw, err := there.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if n := Unread(raw); n != 0 {
		t.Errorf("%d bytes before any were sent", n)
	}
	here.Send("four")
	lbtest.Until(t, "the bytes have arrived", func() bool { return Unread(raw) == 4 })
	if IsConnecting(raw) {
		t.Error("an established connection is being opened")
	}
	there.Close()
	if n := Unread(raw); n != 0 {
		t.Errorf("%d bytes in a closed socket", n)
	}
}

// A listener with a full queue answers no further connection.
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
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	const dials = 4 // more than the queue takes
	sockets := make(chan syscall.RawConn, dials)
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { sockets <- raw; return nil }}
	var opening []syscall.RawConn
	for range dials {
		go func() {
			if c, err := dialer.DialContext(t.Context(), "tcp", address); err == nil {
				defer c.Close()
				<-t.Context().Done()
			}
		}()
		opening = append(opening, <-sockets)
	}
	lbtest.Until(t, "a connection is being opened", func() bool {
		for _, raw := range opening {
			if IsConnecting(raw) {
				return true
			}
		}
		return false
	})
}
