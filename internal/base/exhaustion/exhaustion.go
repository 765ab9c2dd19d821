// Package exhaustion tells errors of the local host's exhausted resources from those of peers.
package exhaustion

import (
	"errors"
	"syscall"
)

// Is reports whether an error says that this process or host has no file descriptor, socket buffer or memory left.
func Is(err error) bool {
	return errors.Is(err, syscall.EMFILE) ||
		errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}
