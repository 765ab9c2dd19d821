// Package loopback reserves addresses for processes that tests start, and that are told where to listen.
package loopback

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Reserve returns a loopback address on which other processes may listen. Until release is called no other socket of the machine is given
// its port: a socket is bound to it that never listens (socket(7), SO_REUSEADDR).
func Reserve() (address string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserving an address: %w", err)
	}
	address, err = bind(fd)
	if err != nil {
		_ = unix.Close(fd) // nothing can be done about it
		return "", nil, fmt.Errorf("reserving an address: %w", err)
	}
	return address, func() { _ = unix.Close(fd) }, nil
}

// bind binds a socket to a free port, which others may listen on.
func bind(fd int) (address string, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	host := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: host.As4()}); err != nil {
		return "", err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("bound to %T, not to an IPv4 address", bound)
	}
	return netip.AddrPortFrom(host, uint16(inet.Port)).String(), nil
}
