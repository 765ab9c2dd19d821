package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/fleet/version"
	"silvertrail/internal/fleet/versionlag"
	"silvertrail/internal/testkit/lbtest"
)

func (i *instance) versions() (v fleet.VersionsView, err error) {
	err = i.control("/fleet/versions", &v)
	return v, err
}

// file changes an instance's file: what all have in common is made the n-th version of it.
func (f *viewFleet) file(i, n int) {
	f.t.Helper()
	text, err := os.ReadFile(f.all[i].config)
	if err != nil {
		f.t.Fatal(err)
	}
	was, _, _ := strings.Cut(string(text), "tenant ")
	was, _, _ = strings.Cut(was, "broken")
	if err := os.WriteFile(f.all[i].config, fmt.Appendf([]byte(was), "tenant \"t%d\" {\n  rate = 5\n}\n", n), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// take has some instances read their file again as the n-th version.
func (f *viewFleet) take(n int, who ...int) {
	for _, i := range who {
		f.file(i, n)
		f.all[i].signal(syscall.SIGHUP)
	}
}

// awaitVersions waits until some instances say how all stand.
func (f *viewFleet) awaitVersions(what string, at []int, want func(v fleet.VersionsView) bool) {
	f.t.Helper()
	var last fleet.VersionsView
	for _, i := range at {
		ok := lbtest.Eventually(func() bool {
			v, err := f.all[i].versions()
			last = v
			return err == nil && want(v)
		})
		if !ok {
			var lines strings.Builder
			printVersions(&lines, last)
			f.t.Fatalf("never at i%d: %s\n%s", i, what, lines.String())
		}
	}
}

func inStep(of int, number uint64) func(v fleet.VersionsView) bool {
	return func(v fleet.VersionsView) bool {
		for _, m := range v.Members {
			if e, ok := m.Vector.Find(version.Configuration, ""); !ok || e.Number != number {
				return false
			}
		}
		return v.AllCurrent && len(v.Members) == of
	}
}

// stands tells that one member is so in its configuration, by so many versions, and all others are in step.
func stands(name string, state versionlag.State, steps int) func(v fleet.VersionsView) bool {
	return func(v fleet.VersionsView) bool {
		found := false
		for _, m := range v.Members {
			if m.Member != name {
				if m.State != versionlag.Current {
					return false
				}
				continue
			}
			found = m.State == state && slices.ContainsFunc(m.Findings, func(x versionlag.Finding) bool {
				return x.Kind == version.Configuration && x.State == state && x.VersionsBehind == steps
			})
		}
		return found && !v.AllCurrent && len(v.Members) == fleetOf
	}
}

// command asks the instance by a command of the program, and returns its exit status and what it printed.
func (i *instance) command(args ...string) (int, string) {
	return i.asked(append(args, "--config", i.config)...)
}

func (i *instance) asked(args ...string) (int, string) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAs+"=1")
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// Five processes that tell what they act on, under callers: one that is not told to reload, one whose file is broken, one that
// is paused meanwhile, one that is started again with an old file, one that takes a file alone, one that takes another file in
// its part of a cut. All the others say so of it, by name and by how many versions, and of nobody else; and that all are in
// step once it is mended.
func TestVersions(t *testing.T) {
	t.Parallel()
	f := newViewFleet(t, "\n  versions = true\n  taking = \"2s\"")
	f.awaitVersions("all in step", all(), inStep(fleetOf, 1))
	if code, out := f.all[0].command("fleet", "versions"); code != 0 || !strings.Contains(out, "i0 *") {
		t.Errorf("status %d: %s", code, out)
	}
	f.take(2, all(3)...)
	f.awaitVersions("i3 was not told", all(), stands("i3", versionlag.Lagging, 1))
	if code, out := f.all[3].command("fleet", "versions"); code != 1 || !strings.Contains(out, "i3: configuration is") || !strings.Contains(out, "behind by 1") {
		t.Errorf("status %d: %s", code, out)
	}
	f.measures(0, `silvertrail_fleet_version_state{member="i3",state="behind"} 1`, "silvertrail_fleet_in_step 0")
	f.take(3, all(3)...)
	f.awaitVersions("i3 was not told twice", all(), stands("i3", versionlag.Lagging, 2))
	from := time.Now()
	f.take(3, 3)
	f.awaitVersions("all in step", all(), inStep(fleetOf, 3))
	t.Logf("the last one took it up, and all knew, after %v", time.Since(from).Round(10*time.Millisecond))

	f.file(2, 0)
	text, err := os.ReadFile(f.all[2].config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.all[2].config, append(text, "broken {"...), 0o600); err != nil {
		t.Fatal(err)
	}
	f.all[2].signal(syscall.SIGHUP)
	f.take(4, all(2)...)
	f.awaitVersions("i2 has a broken file, and says so", all(2), func(v fleet.VersionsView) bool {
		why, told := v.Members[2].Vector.Find(version.Rejected, "")
		return stands("i2", versionlag.Lagging, 1)(v) && told && strings.Contains(why.Description, "i2.hcl")
	})
	if code, out := f.all[2].command("fleet", "versions"); code != 1 || !strings.Contains(out, "can't be used") {
		t.Errorf("by the broken file: status %d: %s", code, out)
	}
	if code, out := f.all[2].asked("fleet", "versions", "--control", strings.TrimSuffix(f.all[2].config, "i2.hcl")+"control-2.sock"); code != 1 ||
		!strings.Contains(out, "i2: turned a file away") {
		t.Errorf("by the socket: status %d: %s", code, out)
	}
	f.take(4, 2)
	f.awaitVersions("all in step", all(), func(v fleet.VersionsView) bool {
		_, told := v.Members[2].Vector.Find(version.Rejected, "")
		return inStep(fleetOf, 4)(v) && !told
	})

	f.pause(1, true)
	f.take(5, all(1)...)
	f.one(all(1))
	f.awaitVersions("all that run are in step", all(1), inStep(fleetOf-1, 5))
	f.pause(1, false)
	f.awaitVersions("i1 slept", all(), stands("i1", versionlag.Lagging, 1))
	f.take(5, 1)
	f.awaitVersions("all in step", all(), inStep(fleetOf, 5))

	f.kill(4)
	f.take(6, all(4)...)
	f.one(all(4))
	f.restart(4)
	f.awaitVersions("i4 comes back with the file that it had", all(), stands("i4", versionlag.Lagging, 1))
	f.take(6, 4)
	f.awaitVersions("all in step", all(), inStep(fleetOf, 6))

	f.take(7, 0)
	f.awaitVersions("i0 is alone with a new file", all(), stands("i0", versionlag.Ahead, 0))
	f.take(7, all(0)...)
	f.awaitVersions("all in step", all(), inStep(fleetOf, 7))

	f.relays.Sever([]int{4}, all(4), true)
	f.relays.Sever(all(4), []int{4}, true)
	f.until("knows that it is cut off", []int{4}, isolated)
	f.one(all(4))
	f.take(8, all(4)...)
	f.awaitVersions("all of the larger part are in step", all(4), inStep(fleetOf-1, 8))
	f.take(9, 4)
	f.awaitVersions("the one cut off has what it was given", []int{4}, func(v fleet.VersionsView) bool {
		e, ok := v.Members[4].Vector.Find(version.Configuration, "")
		return ok && e.Number == 8
	})
	f.relays.Heal()
	f.one(all())
	f.awaitVersions("a fork, which makes no side right", all(), func(v fleet.VersionsView) bool {
		return len(v.Members) == fleetOf && !slices.ContainsFunc(v.Members, func(m fleet.MemberVersionsView) bool { return m.State != versionlag.Forked })
	})
	f.take(8, 4)
	f.awaitVersions("all in step", all(), inStep(fleetOf, 8))
	f.end()
}
