// Command benchlink runs the load-balancing policy on the platform's simulator. The deployment page gives it its name.
package main

import (
	"fmt"
	"os"

	"silvertrail/internal/simulator"
)

func main() {
	if err := simulator.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
