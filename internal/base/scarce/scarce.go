// Package scarce tells errors of the own machine's shortage from those of peers.
package scarce

import (
	"errors"
	"syscall"
)

// IsDescriptorExhaustion tells that an error says that this process, or this machine, has no descriptor or socket to give.
func IsDescriptorExhaustion(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
