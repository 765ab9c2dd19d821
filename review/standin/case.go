package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// runBound ends a case that does not end by itself. A case may take 120 seconds.
const runBound = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Root    string // of the repository
	Dir     string // temporary folder of the run
	Trouble bool   // false: the run is without the disruption
	Record  *Record
}

// Run runs a case and ends the process with its exit code. The case's folder is the first argument. The environment's TROUBLE=0
// leaves out the disruption. The function body returns whether the rule was broken, and an error if the case could not run.
func Run(body func(*Case) (broken bool, err error)) {
	os.Exit(run(body))
}

func run(body func(*Case) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return ExitNotRun
	}
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a folder that stays does no harm
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	time.AfterFunc(runBound, func() { // the processes that were started get SIGKILL when this one ends
		fmt.Fprintln(os.Stderr, "the case does not end")
		os.Exit(ExitNotRun)
	})
	c := &Case{Root: filepath.Dir(filepath.Dir(folder)), Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", Record: record}
	record.Printf("trouble: %v", c.Trouble)
	broken, err := body(c)
	code := ExitHeld
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = ExitNotRun
	case broken:
		code = ExitBroken
	}
	record.Printf("exit code %d", code)
	return code
}

// Summary adds a line to the record and prints it.
func (c *Case) Summary(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	c.Record.Printf("%s", line)
	fmt.Println(line)
}
