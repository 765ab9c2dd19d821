// Package socket queries the kernel for the state of TCP sockets. The result shows what a peer has done even if no goroutine of
// this process has run in the meantime. No call blocks, and all calls may be made while others use the socket.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// stateSynSent is the kernel's TCP_SYN_SENT: the state of a connection whose peer has not responded yet.
const stateSynSent = 2

// Unread returns the number of bytes that have arrived and have not been read. It returns zero if the socket is closed.
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

// IsConnecting reports whether the connection is being opened and its peer has not responded yet.
func IsConnecting(raw syscall.RawConn) bool {
	isConnecting := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isConnecting = err == nil && info.State == stateSynSent
	})
	return err == nil && isConnecting
}
