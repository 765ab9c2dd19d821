// Command knownred reads the events of "go test -json" from its standard input, prints them as "go test" would, and excuses
// the failed tests that a list names.
//
// An entry of the list is a line: the test, or one subtest, up to the first comma and space, then the command with its seed,
// what was seen, and the open issue. Exactly the named test is excused, with its subtests; a test of which one subtest is named
// is excused as long as nothing else in it fails. An entry that begins with "by hand: " has a command of its own, excuses nothing, and
// is printed alone. A failed build, a panic, a data race and a timeout are never excused.
//
// The exit code is 0 if no test failed, 3 if each failure is excused, and 1 otherwise.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

const (
	exitFailed  = 1
	exitExcused = 3
)

func main() {
	path := flag.String("list", "KNOWN-RED.txt", "the file with the known failures")
	flag.Parse()
	code, err := run(*path, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		code = exitFailed
	}
	os.Exit(code)
}

// run judges the events of a test run by the list at a path. A missing list has no entries.
func run(path string, events io.Reader, out io.Writer) (code int, err error) {
	text, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return exitFailed, err
	}
	entries, err := parseList(string(text))
	if err != nil {
		return exitFailed, err
	}
	report, err := readEvents(events, out)
	if err != nil {
		return exitFailed, err
	}
	v := report.judge(entries)
	v.print(out)
	switch {
	case len(v.unexcused) > 0:
		return exitFailed, nil
	case v.hasFailures:
		return exitExcused, nil
	}
	return 0, nil
}
