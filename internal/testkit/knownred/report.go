package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// event is a line of "go test -json" (go doc test2json).
type event struct {
	Action      string `json:"Action"`
	Package     string `json:"Package"`
	ImportPath  string `json:"ImportPath"` // of a build
	Test        string `json:"Test"`
	Output      string `json:"Output"`
	FailedBuild string `json:"FailedBuild"`
}

// testID names a test of a package.
type testID struct{ pkg, test string }

// testReport is what is known of one test.
type testReport struct {
	outcome string   // pass, fail or skip; empty: it has not ended
	output  []string // its own, without that of its subtests
}

// report is what is known of a run.
type report struct {
	tests          map[testID]*testReport
	failedPackages []string
	faults         []string // what is never excused
}

const maxEventBytes = 16 << 20

// fatalOutput are the lines of what is never excused: they end a process, or make what it reports doubtful.
var fatalOutput = regexp.MustCompile(`^panic: |^fatal error: |WARNING: DATA RACE|race detected during execution of test|^\*\*\* Test killed|^signal: `)

// framing are the lines that "go test" itself prints around a test.
var framing = regexp.MustCompile(`^\s*(=== (RUN|PAUSE|CONT|NAME) |--- (PASS|FAIL|SKIP): )`)

// readEvents reads the events of a run, and prints the lines of packages as they end.
func readEvents(events io.Reader, out io.Writer) (*report, error) {
	r := &report{tests: map[testID]*testReport{}}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxEventBytes)
	count := 0
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("expected an event of go test -json, found %.200q", lines.Text())
		}
		count++
		r.record(e, out)
	}
	if count == 0 {
		return nil, errors.New("no events: no test has run")
	}
	return r, lines.Err()
}

// record records one event.
func (r *report) record(e event, out io.Writer) {
	switch e.Action {
	case "output":
		r.recordOutput(e, out)
	case "build-output":
		fmt.Fprint(out, e.Output)
	case "build-fail":
		r.faults = append(r.faults, "the build of "+e.ImportPath+" fails")
	case "pass", "fail", "skip":
		if e.Test != "" {
			r.test(e).outcome = e.Action
			if e.Action == "fail" {
				fmt.Fprint(out, strings.Join(r.test(e).output, ""))
			}
		} else if e.Action == "fail" {
			r.failedPackages = append(r.failedPackages, e.Package)
			if e.FailedBuild != "" {
				r.faults = append(r.faults, "the build of "+e.Package+" fails")
			}
		}
	}
}

func (r *report) recordOutput(e event, out io.Writer) {
	if fatalOutput.MatchString(e.Output) {
		r.faults = append(r.faults, e.Package+": "+strings.TrimSpace(e.Output))
	}
	if e.Test == "" {
		fmt.Fprint(out, e.Output)
		return
	}
	t := r.test(e)
	t.output = append(t.output, e.Output)
}

// test returns the report of an event's test.
func (r *report) test(e event) *testReport {
	id := testID{e.Package, e.Test}
	if r.tests[id] == nil {
		r.tests[id] = &testReport{}
	}
	return r.tests[id]
}

// failedTests returns the tests that failed or did not end, in a fixed order.
func (r *report) failedTests() (failed []testID) {
	for id, t := range r.tests {
		if t.outcome == "fail" || t.outcome == "" {
			failed = append(failed, id)
		}
	}
	slices.SortFunc(failed, func(a, b testID) int { return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test) })
	return failed
}
