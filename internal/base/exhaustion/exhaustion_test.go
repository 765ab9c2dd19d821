package exhaustion

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestIs checks that wrapped system errors of exhausted resources are recognised, and that errors caused by a peer are not.
func TestIs(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.ETIMEDOUT: false} {
		err := fmt.Errorf("dialing: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)})
		if Is(err) != want {
			t.Errorf("Is(%v) = %t, want the opposite", err, !want)
		}
	}
	if Is(nil) {
		t.Error("Is(nil) = true, want false")
	}
}
