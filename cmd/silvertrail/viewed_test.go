package main

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/fleet"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

// reach asks an instance which view it acts in and whom it hears.
func (i *instance) reach() (v fleet.ReachabilityView, err error) {
	err = i.control("/fleet/reach", &v)
	return v, err
}

// viewFleet is a fleet of processes behind relays that goes by views, with callers whose keyed requests are repeated through
// another instance, and give up early, and nodos of two salas of which some leave answers out.
type viewFleet struct {
	t      *testing.T
	all    []*instance
	relays *lbtest.Relays
	groups [2]*fake.Group
	before int // the view that all were in last

	callers sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	asked   []answered
	asleep  map[int][]span // when a process was stopped by a signal, or was none
}

// answered is what became of one request.
type answered struct {
	at    time.Time // when it was made
	took  time.Duration
	where int
	keyed bool
	early bool // its caller had given up
	code  int
}

type span struct{ from, to time.Time }

// fleetsAtOnce bounds the processes that are measured by what they notice in time.
var fleetsAtOnce = make(chan struct{}, 2)

// newViewFleet starts such a fleet; more goes into each fleet block.
func newViewFleet(t *testing.T, more string) *viewFleet {
	t.Helper()
	fleetsAtOnce <- struct{}{}
	t.Cleanup(func() { <-fleetsAtOnce })
	f := &viewFleet{t: t, stop: make(chan struct{}), asleep: map[int][]span{}}
	nodos, groups := newZones(t, func(_ int, n int64) fake.Fault {
		if n%40 == 0 {
			return fake.ConnectionReset
		}
		return fake.NoFault
	})
	f.groups = groups
	f.all = newFleetBehind(t, nodos, "  views = true"+more, func(at []string) []string {
		f.relays = lbtest.NewRelays(t, at)
		return f.relays.Addrs()
	})
	f.before = f.one(all())
	for caller := range 8 {
		f.callers.Go(func() { f.call(caller) })
	}
	return f
}

func (f *viewFleet) call(caller int) {
	d := rand.New(rand.NewPCG(uint64(caller), 36))
	ask := func(at int, key string, patience time.Duration, early bool) int {
		a := answered{at: time.Now(), where: at, keyed: key != "", early: early}
		method := "GET"
		if a.keyed {
			method = "POST"
		}
		a.code = request(f.all[at].addr, method, key, patience)
		a.took = time.Since(a.at)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked = append(f.asked, a)
		return a.code
	}
	for i := 0; ; i++ {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(5+d.IntN(20)) * time.Millisecond):
		}
		key, at := fmt.Sprintf("k-%d-%d", caller, i), d.IntN(fleetOf)
		for try := range 3 {
			patience, early := 2*time.Second, false
			if try == 0 && d.IntN(6) == 0 {
				patience, early = 200*time.Millisecond, true
			}
			if ask((at+try)%fleetOf, key, patience, early) == 200 {
				break
			}
		}
		if i%4 == 0 {
			ask(0, "", 2*time.Second, false)
		}
	}
}

// until waits until some instances say so.
func (f *viewFleet) until(what string, of []int, is func(v fleet.ReachabilityView) bool) {
	f.t.Helper()
	for _, i := range of {
		lbtest.Until(f.t, fmt.Sprint(what, ": i", i), func() bool {
			v, err := f.all[i].reach()
			return err == nil && is(v)
		})
	}
}

// one waits until some instances are in one view of them alone, and returns its number.
func (f *viewFleet) one(of []int) int {
	f.t.Helper()
	var number uint64
	f.until("in one view", of, func(v fleet.ReachabilityView) bool { return len(v.Members) == len(of) && v.HasQuorum })
	lbtest.Until(f.t, "of one number", func() bool {
		number = 0
		for _, i := range of {
			v, err := f.all[i].reach()
			if err != nil || number > 0 && v.Number != number || len(v.Members) != len(of) || !v.HasQuorum {
				return false
			}
			number = v.Number
		}
		return true
	})
	return int(number)
}

// measures waits until an instance's metrics have these lines.
func (f *viewFleet) measures(i int, lines ...string) {
	f.t.Helper()
	for _, line := range lines {
		lbtest.Until(f.t, line, func() bool {
			text, err := f.all[i].query("/metrics")
			return err == nil && slices.Contains(strings.Split(string(text), "\n"), line)
		})
	}
}

func isolated(v fleet.ReachabilityView) bool { return v.Isolated || v.Number == 0 }

// pause stops a process by a signal, or lets it go on.
func (f *viewFleet) pause(i int, on bool) {
	if on {
		f.setAsleep(i, true)
		f.all[i].signal(syscall.SIGSTOP)
		return
	}
	f.all[i].signal(syscall.SIGCONT)
	f.setAsleep(i, false)
}

func (f *viewFleet) kill(i int) {
	f.all[i].kill()
	f.setAsleep(i, true)
}

// restart starts a process that was killed.
func (f *viewFleet) restart(i int) {
	f.setAsleep(i, false)
	f.all[i].run()
}

func (f *viewFleet) setAsleep(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.asleep[i] = append(f.asleep[i], span{from: time.Now()})
	} else {
		f.asleep[i][len(f.asleep[i])-1].to = time.Now()
	}
}

// throttle gives a process a core for so much of every tenth of a second.
func (f *viewFleet) throttle(i int, part float64, duration time.Duration) {
	const slice = 100 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.all[i].signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(float64(slice) * (1 - part)))
		f.all[i].signal(syscall.SIGCONT)
		time.Sleep(time.Duration(float64(slice) * part))
	}
}

// diagnosisReport is a line of a process's log by which it says what it acts on.
type diagnosisReport struct {
	at      time.Time
	safe    int // 1: takes as good as nothing from now on; -1: takes its part
	number  int // of the view that it takes up
	lineage string
	is      string // the view's hash and members
}

var (
	viewLine = regexp.MustCompile(`^time=(\S+) .*msg="view installed" .*number=(\d+) lineage=(\d+) hash=(\d+) members="?([^"\n]*)"?`)
	safeLine = regexp.MustCompile(`^time=(\S+) .*msg="minimal quota changed" .*safe=(true|false)`)
	outLine  = regexp.MustCompile(`^time=(\S+) .*msg="removed from the view"`)
)

// reports reads what the processes' own logs say, by process and in order.
func (f *viewFleet) reports() (out [fleetOf][]diagnosisReport) {
	f.t.Helper()
	when := func(text string) time.Time {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			f.t.Errorf("no time: %v", err)
		}
		return at
	}
	for i, in := range f.all {
		for _, line := range strings.Split(in.log.String(), "\n") {
			if m := viewLine.FindStringSubmatch(line); m != nil {
				w := diagnosisReport{at: when(m[1]), lineage: m[3], is: m[4] + " " + m[5]}
				fmt.Sscan(m[2], &w.number)
				out[i] = append(out[i], w)
			} else if m := safeLine.FindStringSubmatch(line); m != nil {
				out[i] = append(out[i], diagnosisReport{at: when(m[1]), safe: map[string]int{"true": 1, "false": -1}[m[2]]})
			} else if m := outLine.FindStringSubmatch(line); m != nil {
				out[i] = append(out[i], diagnosisReport{at: when(m[1]), safe: 1})
			}
		}
	}
	return out
}

// believed holds what all processes believed, by their own logs, against one another: no two had different views of one
// number; no view that was made after one and up to another is without any but some; and none that a view was without
// took its part for over 5 s of its own running time after that view was first held anywhere.
func (f *viewFleet) believed(name string, after, upTo int, but []int) {
	f.t.Helper()
	words := f.reports()
	views, first := map[string]string{}, map[string]diagnosisReport{}
	for _, of := range words {
		for _, w := range of {
			if w.number == 0 {
				continue
			}
			id := fmt.Sprint(w.lineage, "/", w.number)
			if was, known := views[id]; known && was != w.is {
				f.t.Errorf("view %s is %q and %q", id, was, w.is)
			}
			views[id] = w.is
			if earliest, known := first[id]; !known || w.at.Before(earliest.at) {
				first[id] = w
			}
		}
	}
	for id, v := range first {
		members := strings.Fields(v.is)
		for i := range f.all {
			if slices.Contains(members, fmt.Sprint("i", i)) {
				continue
			}
			if v.number > after && v.number <= upTo && !slices.Contains(but, i) {
				f.t.Errorf("%s: i%d, which was healthy, is not in view %s: %s", name, i, id, v.is)
			}
			if v.number > after && v.number <= upTo {
				if over := f.tookPart(i, words[i], v); over > 5*time.Second {
					f.t.Errorf("%s: i%d is out by view %s and took its part for %v more", name, i, id, over)
				}
			}
		}
	}
}

// tookPart returns for how long a process that a view is without took its part after that view was first held, in a view
// before it. Time in which it did not run does not count.
func (f *viewFleet) tookPart(i int, words []diagnosisReport, out diagnosisReport) (sum time.Duration) {
	safe, number := true, 0
	add := func(from, to time.Time) {
		if from.Before(out.at) {
			from = out.at
		}
		if safe || number >= out.number || !from.Before(to) {
			return
		}
		sum += to.Sub(from)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, s := range f.asleep[i] {
			end := s.to
			if end.IsZero() || end.After(to) {
				end = to
			}
			if begin := s.from; begin.Before(end) {
				if begin.Before(from) {
					begin = from
				}
				sum -= max(end.Sub(begin), 0)
			}
		}
	}
	var last time.Time
	for _, w := range words {
		add(last, w.at)
		last = w.at
		switch {
		case w.number > 0:
			number = w.number
		case w.safe != 0:
			safe = w.safe > 0
		}
	}
	add(last, time.Now())
	return sum
}

func all(but ...int) (out []int) {
	for i := range fleetOf {
		if !slices.Contains(but, i) {
			out = append(out, i)
		}
	}
	return out
}

// withFault plays one that some members may rightly be out by, and waits until all are in one view again.
func (f *viewFleet) withFault(name string, about []int, do func()) {
	f.t.Helper()
	from := time.Now()
	do()
	f.relays.Heal()
	at := f.one(all())
	f.believed(name, f.before, at, about)
	f.t.Logf("%s: views %d to %d, %v; %s", name, f.before, at, time.Since(from).Round(100*time.Millisecond), f.diagnosed(from, time.Now(), nil))
	if len(about) == 0 && at != f.before {
		f.t.Errorf("%s: the view has changed", name)
	}
	f.before = at
}

// diagnosed counts what became of the requests that were made in a time at other instances than some: failed (by another
// answer than 200), late (after their deadline), of those whose callers waited.
func (f *viewFleet) diagnosed(from, to time.Time, but []int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n, failed, late [2]int
	for _, a := range f.asked {
		if a.at.Before(from) || a.at.After(to) || a.early || slices.Contains(but, a.where) {
			continue
		}
		k := 0
		if a.keyed {
			k = 1
		}
		n[k]++
		switch {
		case a.code != 200:
			failed[k]++
		case a.took > 600*time.Millisecond:
			late[k]++
		}
	}
	return fmt.Sprintf("keyed: %d failed, %d late of %d; safe: %d, %d of %d", failed[1], late[1], n[1], failed[0], late[0], n[0])
}

// end has the callers end, and holds what took effect at the nodos against what they asked.
func (f *viewFleet) end() {
	f.t.Helper()
	served := func() (keyed, safe int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range f.asked {
			switch {
			case a.code == 200 && a.keyed:
				keyed++
			case a.code == 200:
				safe++
			}
		}
		return keyed, safe
	}
	lbtest.Until(f.t, "enough is served", func() bool {
		keyed, safe := served()
		return keyed >= 500 && safe >= 100
	})
	close(f.stop)
	f.callers.Wait()
	took := countEffects(f.t, f.groups)
	var codes [600][2]int
	for _, a := range f.asked {
		if a.keyed {
			codes[a.code][0]++
		} else {
			codes[a.code][1]++
		}
	}
	var told strings.Builder
	for code, n := range codes {
		if n != [2]int{} {
			fmt.Fprintf(&told, " %d: %d and %d;", code, n[0], n[1])
		}
	}
	passed, stopped := f.relays.Counts()
	f.t.Logf("answers to keyed requests and to others:%s %d keys took effect; %d packets passed, %d stopped", told.String(), took, passed, stopped)
}

// lasting is how long a trouble lasts that only time shows: its full size, or a part of it by default.
func lasting(full, short time.Duration) time.Duration {
	if *long {
		return full
	}
	return short
}
