package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// verdict is the judgement of a run by a list.
type verdict struct {
	hasFailures bool
	unexcused   []string
	entries     []entryOutcome
}

// entryOutcome is what became of an entry's test.
type entryOutcome struct {
	entry
	outcome string
}

// judge judges a run.
func (r *report) judge(entries []entry) verdict {
	v := verdict{unexcused: slices.Clone(r.faults)}
	failed := r.failedTests()
	for _, id := range failed {
		if !r.isExcused(id, failed, entries) {
			v.unexcused = append(v.unexcused, id.pkg+": "+id.test)
		}
	}
	for _, pkg := range r.failedPackages {
		if !slices.ContainsFunc(failed, func(id testID) bool { return id.pkg == pkg }) {
			v.unexcused = append(v.unexcused, pkg+" failed without a failed test")
		}
	}
	v.hasFailures = len(failed)+len(r.failedPackages)+len(r.faults) > 0
	for _, e := range entries {
		v.entries = append(v.entries, entryOutcome{e, r.outcomeOf(e)})
	}
	return v
}

// isExcused reports whether an entry names a failed test, or entries name all subtests with which it failed, and it has
// reported nothing itself.
func (r *report) isExcused(id testID, failed []testID, entries []entry) bool {
	t := r.tests[id]
	if t.outcome == "" { // its process has ended first
		return false
	}
	if slices.ContainsFunc(entries, func(e entry) bool { return e.covers(id.test) }) {
		return true
	}
	hasFailedSubtest := false
	for _, other := range failed {
		if other.pkg != id.pkg || !strings.HasPrefix(other.test, id.test+"/") {
			continue
		}
		hasFailedSubtest = true
		if !r.isExcused(other, failed, entries) {
			return false
		}
	}
	hasOwnOutput := slices.ContainsFunc(t.output, func(line string) bool { return !framing.MatchString(line) })
	return hasFailedSubtest && !hasOwnOutput
}

// outcomeOf returns what became of an entry's test.
func (r *report) outcomeOf(e entry) string {
	if e.byHand {
		return "not run by CI"
	}
	outcome := "did not run"
	for id, t := range r.tests {
		if id.test != e.test {
			continue
		}
		switch t.outcome {
		case "fail", "":
			return "failed"
		case "pass":
			outcome = "passed"
		}
	}
	return outcome
}

// print prints what became of each entry, and what is not excused.
func (v verdict) print(out io.Writer) {
	for _, e := range v.entries {
		fmt.Fprintf(out, "known red, %s: %s\n", e.outcome, e.line)
	}
	for _, fault := range v.unexcused {
		fmt.Fprintf(out, "failed and not excused: %s\n", fault)
	}
}
