package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

const (
	restarted = 30               // processes that begin in the same moment
	readyIn   = 10 * time.Second // the platform's term for nine in ten of them (STANDING, "Pass or fail")
	longList  = 5000             // endpoints, known and listed
	memoryMB  = 64               // of each process, by its file
)

// discoveryModes changes a configuration to one whose discovery answers only when it is asked.
var discoveryModes = []string{`"registry_mode": "pushed"`, `"registry_mode": "on_request"`, `"obligations": {`, `"obligations": {"must_ask_in": 10, `}

// rewrite replaces texts of the configuration, in pairs.
func (s *sidecars) rewrite(pairs ...string) {
	s.t.Helper()
	text, err := os.ReadFile(s.config)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(string(text), pairs[i]) {
			s.t.Fatalf("the configuration has no %s", pairs[i])
		}
	}
	if err := os.WriteFile(s.config, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// beginWith starts a process with more in its environment.
func (s *sidecars) beginWith(admin string, env ...string) *running {
	s.t.Helper()
	r := &running{t: s.t, admin: admin, ended: make(chan error, 1)}
	r.cmd = exec.Command(os.Args[0])
	r.cmd.Env = append(append(os.Environ(), runAs+"=1", "LB_CONFIG="+s.config, "LB_ADMIN="+r.admin, "TMPDIR="+s.dir), env...)
	r.cmd.Stderr = &r.log
	if err := r.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { r.ended <- r.cmd.Wait() }()
	s.t.Cleanup(func() { r.cmd.Process.Kill() })
	return r
}

// newDiscovery starts a stand-in that ends with the test.
func newDiscovery(t *testing.T, o fake.DiscoveryOptions, entries []fake.DiscoveryEntry) *fake.Discovery {
	t.Helper()
	d, err := fake.NewDiscovery(o, entries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// isAccepting tells whether a sidecar's readiness check does.
func isAccepting(addr string) bool {
	c, err := http.NewRequest(http.MethodGet, "http://"+addr+"/health/ready", nil)
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: lbtest.Wait, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(c)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// peak is the most memory that a process has had, in MB.
func peak(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if found == nil {
		t.Fatal("no VmHWM")
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return kb >> 10
}

// isRaceBuild tells whether this program is built to look for races, which takes memory of its own.
func isRaceBuild() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "-race" && s.Value == "true" })
}

// medianAndLast tells the median and the last of some figures.
func medianAndLast[T int | time.Duration](all []T) string {
	slices.Sort(all)
	return fmt.Sprintf("median %v, last %v (of %d)", all[len(all)/2], all[len(all)-1], len(all))
}

// Thirty processes restarted in the same moment, whatever discovery does and with a long list in each: nine in ten are
// ready in the time that the platform gives them, and serve from the list that they knew. Where it answers they all have its
// list in the end.
func TestReadyTogether(t *testing.T) {
	type trouble struct {
		name  string
		asked bool
		more  bool // played with -long alone
		o     fake.DiscoveryOptions
		state fake.DiscoveryState
	}
	for _, c := range []trouble{
		{name: "asked, slow", asked: true, o: fake.DiscoveryOptions{Delay: 2 * time.Second}},
		{name: "asked, silent", asked: true, state: fake.Mute},
		{name: "asked, full", asked: true, o: fake.DiscoveryOptions{Work: 50 * time.Millisecond, Queue: 4}},
		{name: "pushed, silent", state: fake.Mute},
		// As far as the moment of readiness goes these are like one of the above.
		{name: "asked, well", asked: true, more: true},
		{name: "asked, refuses", asked: true, state: fake.Refuses, more: true},
		{name: "asked, turns away", asked: true, state: fake.TurnsAway, more: true},
		{name: "pushed, well", more: true},
		{name: "pushed, slow", o: fake.DiscoveryOptions{Delay: 2 * time.Second}, more: true},
		{name: "pushed, refuses", state: fake.Refuses, more: true},
	} {
		if c.more && !*long {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
			entries := fake.Entries(longList, e.Addr)
			d := newDiscovery(t, c.o, entries[:longList-1])
			d.Set(entries) // version 2, one endpoint more than is known
			d.SetState(c.state)
			known := `{"known": ` + string(fake.ListText(1, entries[:longList-1])) + `, "name"`
			var all []*sidecars
			for n, p := range ports(t, restarted) {
				s := newSidecars(t, d.Addr)
				s.rewrite(`"balancers": 1, "me": 0`, fmt.Sprintf(`"balancers": %d, "me": %d`, restarted, n),
					`"listen": "`+s.addr, fmt.Sprintf(`"listen": "127.0.0.1:%d`, p), `{"name": "n0"`, known+`: "n0"`)
				if s.addr = fmt.Sprintf("127.0.0.1:%d", p); c.asked {
					s.rewrite(discoveryModes...)
				}
				all = append(all, s)
			}
			admins := ports(t, restarted)
			began := time.Now()
			over := time.After(readyIn)
			type outcome struct {
				n     int
				after time.Duration
			}
			ready := make(chan outcome, restarted)
			var waits sync.WaitGroup
			var processes []*running
			for n, s := range all {
				processes = append(processes, s.beginWith(fmt.Sprintf("127.0.0.1:%d", admins[n])))
				started := time.Now()
				waits.Go(func() {
					for end := started.Add(lbtest.Wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						if isAccepting(s.addr) {
							ready <- outcome{n, time.Since(started).Round(time.Millisecond)}
							return
						}
					}
				})
			}
			var times []time.Duration
			isReady := make([]bool, restarted)
			for timely := true; timely && len(times) < restarted; {
				select {
				case r := <-ready:
					times = append(times, r.after)
					isReady[r.n] = true
				case <-over:
					timely = false
				}
			}
			if len(times)*10 < restarted*9 {
				t.Fatalf("%d of %d are ready after %v: %s", len(times), restarted, readyIn, processes[slices.Index(isReady, false)].log.String())
			}
			t.Logf("ready: %s", medianAndLast(times))
			waits.Wait()
			for n, s := range all {
				c := lbtest.Dial(t, s.addr)
				c.Send(lbtest.Get(fmt.Sprint("first-", n)))
				if status, body := c.Response(); status != 200 || body != fmt.Sprint("answer to first-", n) {
					t.Errorf("process %d, once it is ready: %d %q", n, status, body)
				}
				c.Close()
			}
			if c.state == fake.Answers && (c.o.Work == 0 || *long) {
				times = times[:0]
				for _, r := range processes {
					lbtest.Until(t, "a process has discovery's list", func() bool { return r.stats().Size == longList })
					times = append(times, time.Since(began))
				}
				t.Logf("discovery's list: last %v after the first one's start", slices.Max(times).Round(10*time.Millisecond))
			}
			var memory []int
			for _, r := range processes {
				memory = append(memory, peak(t, r.cmd.Process.Pid))
			}
			calls, away := d.Calls()
			if most := slices.Max(memory); most > memoryMB && !isRaceBuild() {
				t.Errorf("%d MB where %d are allowed", most, memoryMB)
			}
			t.Logf("most memory: %s MB; %d calls to discovery, %d turned away", medianAndLast(memory), calls, away)
			for _, r := range processes {
				r.cmd.Process.Kill()
			}
			times = times[:0]
			for _, r := range processes {
				<-r.ended
				times = append(times, r.cmd.ProcessState.UserTime()+r.cmd.ProcessState.SystemTime())
			}
			t.Logf("processor time: %s", medianAndLast(times))
		})
	}
}
