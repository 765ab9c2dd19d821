package loopback

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func reserve(t *testing.T) string {
	t.Helper()
	address, release, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}

// A reserved address can be listened on, also by two processes that share it.
func TestReservedAddressIsListenedOn(t *testing.T) {
	address := reserve(t)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(controlErr, err)
	}}
	for range 2 {
		l, err := shared.Listen(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// Two tests are not given one address: the second one asked the process of the first whether its own was ready.
func TestReservedAddressIsGivenOnce(t *testing.T) {
	const addresses = 500
	given := map[string]bool{}
	for range addresses {
		address := reserve(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		other := l.Addr().String()
		l.Close()
		if given[address] || given[other] {
			t.Fatalf("%s or %s is given twice", address, other)
		}
		given[address] = true
	}
}
