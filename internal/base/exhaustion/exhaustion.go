// Package exhaustion tells errors of the own machine's shortage from those of peers.
package exhaustion

import (
	"errors"
	"syscall"
)

// Is tells that an error says that this process, or this machine, has no descriptor or socket to give.
func Is(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
