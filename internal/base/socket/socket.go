// Package socket asks the system for the state of TCP sockets. It tells what a peer has done, whether a goroutine of this process
// has run meanwhile or not. No call blocks, and each may be made while others use the socket.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// stateSynSent is the state of a connection whose peer has not responded yet (TCP_SYN_SENT of the kernel).
const stateSynSent = 2

// Unread returns how many bytes have arrived that nobody has read; zero if the socket is closed.
func Unread(raw syscall.RawConn) int {
	unread := 0
	err := raw.Control(func(fd uintptr) {
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	if err != nil {
		return 0
	}
	return unread
}

// IsConnecting reports whether a connection is being opened whose peer has not responded yet.
func IsConnecting(raw syscall.RawConn) bool {
	isConnecting := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isConnecting = err == nil && info.State == stateSynSent
	})
	return err == nil && isConnecting
}
