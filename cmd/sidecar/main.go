// Command sidecar is the platform's sidecar alone, without the gateway and its commands. A process has fewer pages of the program in memory
// than with command silvertrail, which runs the same sidecar where it has no arguments.
package main

import (
	"fmt"
	"os"

	"silvertrail/internal/platform/process"
)

func main() {
	if err := process.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}
