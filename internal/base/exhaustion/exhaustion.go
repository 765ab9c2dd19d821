// Package exhaustion distinguishes errors caused by exhausted resources of the local host from errors caused by peers.
package exhaustion

import (
	"errors"
	"syscall"
)

// Is reports whether err means that this process or host has run out of file descriptors, socket buffers or memory.
func Is(err error) bool {
	return errors.Is(err, syscall.EMFILE) ||
		errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}
