package exhaustion

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestIs checks wrapped errors of the system, and errors that a peer causes.
func TestIs(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.ETIMEDOUT: false} {
		err := fmt.Errorf("dialing: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)})
		if Is(err) != want {
			t.Errorf("%v: %t", err, !want)
		}
	}
	if Is(nil) {
		t.Error("no error is a shortage")
	}
}
