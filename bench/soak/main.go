// Command soak plays days of the sidecar under series of signals and faults, and checks what clients and endpoints saw against
// the rules of the platform's pages (internal/testkit/soak). It prints a line for each seed; a failed one keeps its logs.
//
//	go run ./bench/soak --seeds 50 --start 1
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"silvertrail/internal/testkit/soak"
)

// options are the command line.
type options struct {
	Seeds int    `default:"1" help:"How many days are played, one after the other."`
	Start uint64 `default:"1" help:"Seed of the first day."`
	Keep  string `default:"" help:"Folder for the logs of failed days; by default a new one in the temporary folder."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("soak"), kong.Description("Plays days of the sidecar under signals and faults, and checks the rules."))
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	fmt.Printf("%d of %d days failed\n", failed, o.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// run plays the days and returns how many failed.
func run(o options) (failed int, err error) {
	work, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(work)
	program := filepath.Join(work, "silvertrail")
	if output, err := exec.Command("go", "build", "-o", program, "silvertrail/cmd/sidecar").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("%w: %s", err, output)
	}
	if o.Keep == "" {
		o.Keep, err = os.MkdirTemp("", "soak-logs")
		if err != nil {
			return 0, err
		}
	}
	for n := range o.Seeds {
		passed, err := playDay(o.Start+uint64(n), program, o.Keep)
		if err != nil {
			return failed, err
		}
		if !passed {
			failed++
		}
	}
	return failed, nil
}

// playDay plays a day, prints its line, and keeps its logs if it failed.
func playDay(seed uint64, program, keep string) (passed bool, err error) {
	dir := filepath.Join(keep, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	started := time.Now()
	log, err := soak.Run(soak.NewDay(seed), soak.Options{Program: []string{program}, Dir: dir})
	if err != nil {
		return false, err
	}
	violations := soak.Check(log)
	fmt.Printf("seed %d: %s; %d requests, %d attempts, %d processes, %.0f s; go run ./bench/soak --seeds 1 --start %d\n",
		seed, soak.Kinds(violations), len(log.Requests), len(log.Arrivals), len(log.Processes), time.Since(started).Seconds(), seed)
	if len(violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	report, err := os.Create(filepath.Join(dir, "violations.txt"))
	if err != nil {
		return false, err
	}
	defer report.Close()
	for _, v := range violations {
		fmt.Fprintf(report, "%s: %s\n", v.Kind, v.Text)
	}
	for _, line := range log.Timeline() {
		fmt.Fprintln(report, line)
	}
	fmt.Println("  kept in", dir)
	return false, nil
}
