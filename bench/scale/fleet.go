package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"silvertrail/internal/testkit/hollow"
)

// kind is a way to tell all members: which control machines, and what each member gets.
type kind struct {
	name    string
	whole   bool // each member gets everything, as with every cluster in its file
	product bool // the program's own control plane, not the stand-in
}

var kinds = []kind{{"whole", true, false}, {"scoped", false, false}, {"product", false, true}}

func kindOf(name string) (kind, error) {
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, fmt.Errorf("no kind %q: whole, scoped or product", name)
	}
	return kinds[i], nil
}

// plan is the size of a run.
type plan struct {
	kind        kind
	members     int // hollow and real ones
	reals       int
	downstreams int
	planes      int
	each        int // hollow members in one process
	seed        uint64
	binary      string
	folder      string
}

func (p plan) processes() int { return 2 + p.planes + (p.members+p.each-1)/p.each + p.reals }

// memory is an estimate, on the safe side: of a hollow member, of a real process, of a control machine.
func (p plan) memory() int64 {
	services := int64(p.members*800/4600 + p.downstreams)
	hollow, real := int64(400<<10), int64(40<<20)
	if p.kind.whole {
		hollow += services * 14 << 10 // measured: 13 KB a service and member at 800
		real += services * 100 << 10
	}
	return int64(p.members)*hollow + int64(p.reals)*real + int64(p.planes)*60<<20 + int64(p.members)*400<<10
}

// descriptors are those of the process that needs most: this one, which relays.
func (p plan) descriptors() int { return 4*p.members + 500 }

// standing is a fleet that runs.
type standing struct {
	plan
	state  *hollow.State
	marks  marks
	planes []*child
	addrs  []string // of the planes
	files  []string // of the planes' states
	// Ways to the planes, of hollow and real members, and of those hollow ones that are paused now and then.
	hollowWays, heldWays, realWays []*hollow.Relay
	hollows                        []*child
	reals                          []*real
	went                           int

	guard                         sync.Mutex // of the control machines, which are killed and started anew
	bareRSS, hollowRSS, planesRSS int64      // before the members were there
}

// members of the hollow processes come after the real ones.
func (f *standing) hollowCount() int { return f.members - len(f.reals) }

func ways(addrs []string) (out []*hollow.Relay, err error) {
	for _, a := range addrs {
		r, err := hollow.NewRelay(a)
		if err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}

func addrsOf(ways []*hollow.Relay) (out []string) {
	for _, w := range ways {
		out = append(out, w.Addr)
	}
	return out
}

func count(ways ...[]*hollow.Relay) (c hollow.Count) {
	for _, of := range ways {
		for _, w := range of {
			c = c.Plus(w.Count())
		}
	}
	return c
}

// stand starts the control machines and the processes that will hold members; no member runs yet.
func stand(p plan) (f *standing, err error) {
	f = &standing{plan: p, state: hollow.NewState(p.members, p.downstreams, p.seed)}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.state.At, err = f.marks.next(1); err != nil {
		return f, err
	}
	for i := range p.planes {
		a, err := free()
		if err != nil {
			return f, err
		}
		f.addrs, f.files = append(f.addrs, a), append(f.files, filepath.Join(p.folder, fmt.Sprintf("control-%d-%d", p.seed, i)))
	}
	if err = f.startPlanes(); err != nil {
		return f, err
	}
	for _, to := range []*[]*hollow.Relay{&f.hollowWays, &f.heldWays, &f.realWays} {
		if *to, err = ways(f.addrs); err != nil {
			return f, err
		}
	}
	for i := range p.reals {
		r, err := newReal(p.folder, i, addrsOf(f.realWays), p.kind.whole, f.needs(i), "")
		if err != nil {
			return f, err
		}
		f.reals = append(f.reals, r)
	}
	for range (f.hollowCount() + p.each - 1) / p.each {
		c, err := spawn("hollow")
		if err != nil {
			return f, err
		}
		f.hollows = append(f.hollows, c)
	}
	_, err = all(f.hollows, order{Op: "ready"})
	return f, err
}

func (f *standing) needs(i int) []string {
	if f.kind.whole {
		return f.state.All()
	}
	return f.state.Needs(i)
}

func (f *standing) startPlanes() error {
	f.planes = make([]*child, len(f.addrs))
	for i := range f.addrs {
		args := []string{"plane", "--listen", f.addrs[i], "--name", fmt.Sprint("control-", i)}
		if f.kind.product {
			args = append(args, "--product", "--state", f.files[i])
			for j, a := range f.addrs {
				if j != i {
					args = append(args, "--peer", fmt.Sprintf("control-%d=%s", j, a))
				}
			}
		}
		var err error
		if f.planes[i], err = spawn(args...); err != nil {
			return err
		}
	}
	_, err := all(f.planes, order{Op: "where"})
	return err
}

// killPlanes ends all control machines at once.
func (f *standing) killPlanes() {
	for _, c := range f.planes {
		if c != nil {
			c.end()
		}
	}
	f.planes = nil
}

// put tells the control machines the state: one of them, where they tell each other, and all, where they don't.
func (f *standing) put() error {
	to := f.planes
	if f.kind.product {
		to = to[:1]
	}
	_, err := all(to, order{Op: "put", State: f.state})
	return err
}

// change begins a generation that all need.
func (f *standing) change() error {
	at, err := f.marks.next(f.state.Generation + 1)
	if err != nil {
		return err
	}
	f.state.Change(at)
	return f.put()
}

// startMembers starts members of all hollow processes, and real ones.
func (f *standing) startMembers(w who) error {
	var errs []error
	var wait sync.WaitGroup
	wait.Go(func() {
		for _, r := range f.reals {
			if w.has(r.number) && r.pid() == 0 {
				if err := r.start(f.binary); err != nil {
					errs = append(errs, err)
				}
			}
		}
	})
	var mu sync.Mutex
	var failed error
	for i, c := range f.hollows {
		from := len(f.reals) + i*f.each
		o := order{Op: "start", State: f.state, From: from, To: min(from+f.each, f.members), Whole: f.kind.whole,
			Planes: addrsOf(f.hollowWays), Held: addrsOf(f.heldWays), Who: w}
		wait.Go(func() {
			if _, err := c.tell(o); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = err
			}
		})
	}
	wait.Wait()
	return errors.Join(append(errs, failed)...)
}

// stopMembers ends members at once.
func (f *standing) stopMembers(w who) error {
	for _, r := range f.reals {
		if w.has(r.number) {
			r.end()
		}
	}
	said, err := all(f.hollows, order{Op: "stop", Who: w})
	for _, s := range said {
		f.went += s.Went
	}
	return err
}

// hold pauses a tenth: hollow members' ways are held up, and real processes stopped; or lets them go on.
func (f *standing) hold(on bool) error {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	for _, w := range f.heldWays {
		w.Block(on)
	}
	for _, r := range f.reals {
		if hollow.Paused(r.number) {
			if err := r.signal(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// within bounds each wait.
const within = 90 * time.Second

func deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), within)
}

// await waits until the generation that is asked for is in force, and returns when it was at each member.
func (f *standing) await(w who) (hollowTimes, realTimes []time.Time, err error) {
	generation := f.state.Version(hollow.Everywhere)
	ctx, cancel := deadline()
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex
	var faults []string
	for _, r := range f.reals {
		if !w.has(r.number) {
			continue
		}
		wait.Go(func() {
			at, err := r.inForce(ctx, generation)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				faults = append(faults, err.Error())
				return
			}
			realTimes = append(realTimes, at)
		})
	}
	said, err := all(f.hollows, order{Op: "await", Generation: generation, Who: w, WithinMS: int(within / time.Millisecond)})
	wait.Wait()
	missing := 0
	for _, s := range said {
		missing += s.Missing
		for _, t := range s.Times {
			hollowTimes = append(hollowTimes, time.Unix(0, t))
		}
	}
	if missing > 0 {
		faults = append(faults, fmt.Sprintf("%d hollow members are not in generation %d", missing, generation))
	}
	if err == nil && len(faults) > 0 {
		err = errors.New(strings.Join(faults, "; "))
	}
	return hollowTimes, realTimes, err
}

// inStep waits until all hollow members hold the state as it is, and tells what they hold.
func (f *standing) inStep() (r reply, err error) {
	said, err := all(f.hollows, order{Op: "step", State: f.state, Whole: f.kind.whole, WithinMS: int(within / time.Millisecond)})
	for _, s := range said {
		r.Missing, r.Went, r.Heap = r.Missing+s.Missing, r.Went+s.Went, r.Heap+s.Heap
		r.Resources, r.Needs = max(r.Resources, s.Resources), max(r.Needs, s.Needs)
		if s.Behind != "" {
			r.Behind = s.Behind
		}
	}
	r.Went += f.went
	for _, x := range f.reals {
		r.Went += x.went
	}
	return r, err
}

func (f *standing) pids(of string) (out []int) {
	switch of {
	case "hollow":
		for _, c := range f.hollows {
			out = append(out, c.pid())
		}
	case "real":
		for _, r := range f.reals {
			out = append(out, r.pid())
		}
	case "control":
		for _, c := range f.planes {
			out = append(out, c.pid())
		}
	}
	return out
}

// abort ends all processes, so that whoever waits for one hears of it.
func (f *standing) abort() {
	f.guard.Lock()
	defer f.guard.Unlock()
	for _, c := range append(append([]*child{}, f.hollows...), f.planes...) {
		c.cmd.Process.Kill()
	}
	for _, r := range f.reals {
		if c := r.cmd.Load(); c != nil {
			c.Process.Kill()
		}
	}
}

func (f *standing) close() {
	for _, r := range f.reals {
		r.end()
		os.Remove(r.path)
	}
	for _, c := range f.hollows {
		c.end()
	}
	f.killPlanes()
	for _, of := range [][]*hollow.Relay{f.hollowWays, f.heldWays, f.realWays} {
		for _, w := range of {
			w.Close()
		}
	}
	f.marks.close()
}
