package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

const (
	idlers  = 400 // callers that hold connections and bring no request, at one sidecar
	granted = 128 // descriptors of each of its processes

	// full is what a process holds where callers have all their places (half of what is over 32), beside 32 connections to
	// endpoints. Operators' calls and discovery's, the listeners and the runtime's own come to it.
	full = (granted-32)/2 + granted/4
)

// openConnections has callers hold connections and bring nothing: a third say nothing, a third stop within a head, a third ask once and
// rest. One whose connection ends comes again at once, until the test's end.
func openConnections(t *testing.T, addr string, n int) {
	t.Helper()
	var stop atomic.Bool
	var all sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	t.Cleanup(func() {
		stop.Store(true)
		mu.Lock()
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		all.Wait()
	})
	say := []string{"", "GET /read HTTP/1.1\r\nHost: app", "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"}
	for i := range n {
		all.Go(func() {
			for !stop.Load() {
				c, err := net.DialTimeout("tcp", addr, lbtest.Wait)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				mu.Lock()
				open[c] = true
				mu.Unlock()
				if stop.Load() { // perhaps after the cleanup's look at those that are open
					c.Close()
				}
				io.WriteString(c, say[i%len(say)])
				io.Copy(io.Discard, c)
				c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			}
		})
	}
}

// held is how many descriptors a process holds.
func held(r *running) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	return len(all)
}

// effects counts what took effect at endpoints, by request.
type effects struct {
	mu sync.Mutex
	of map[string]int
}

func (f *effects) note(a *lbtest.Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of[a.Request.Header.Get("X-Request-Id")]++
}

// Idle callers fill the descriptors of a sidecar while discovery is down, in each of the ways that it can be: callers that come new
// are served, operators are answered, another process takes over, and once discovery is back its list is asked for and in use.
func TestIdleCallers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		asked bool
		down  fake.DiscoveryState
		told  int // descriptors, by the file
	}{
		{"pushed, silent", false, fake.Mute, granted},
		{"pushed, refused", false, fake.Refuses, granted},
		{"asked, silent", true, fake.Mute, granted},
		{"asked, refused", true, fake.Refuses, granted},
		{"pushed, silent, fewer than told", false, fake.Mute, 4 * granted},
		{"asked, refused, fewer than told", true, fake.Refuses, 4 * granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testIdleCallers(t, c.asked, c.down, c.told)
		})
	}
}

func testIdleCallers(t *testing.T, asked bool, down fake.DiscoveryState, told int) {
	t.Helper()
	seen := &effects{of: map[string]int{}}
	release := make(chan struct{})
	var arrived, renewed atomic.Int64
	before := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		seen.note(a)
		if arrived.Add(1) <= granted/4 {
			<-release
		}
		a.OK()
	})
	after := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		seen.note(a)
		renewed.Add(1)
		a.OK()
	})
	const few = 8
	d := newDiscovery(t, fake.DiscoveryOptions{}, fake.Entries(few, before.Addr))
	s := newSidecars(t, d.Addr)
	// Endpoints' connections stay through the test, too; what is asked takes effect once or not at all.
	s.rewrite(`"classes": [`, `"classes": [{"name": "once", "deadline": 10, "goal_time": 5, "effect": "single_shot", "worth": 1},`,
		`"sockets": 256`, fmt.Sprintf(`"sockets": %d`, told), `"conn_idle": 5`, `"conn_idle": 100`)
	if asked {
		s.rewrite(discoveryModes...)
	}
	start := func() *running {
		r := s.beginWith(fmt.Sprintf("127.0.0.1:%d", ports(t, 1)[0]), fmt.Sprintf("%s=%d", runWith, granted))
		began := time.Now()
		lbtest.Until(t, "a process says yes", func() bool { status, _ := r.call(http.MethodGet, "/ops/readiness"); return status == 200 })
		t.Logf("ready after %v", time.Since(began).Round(time.Millisecond))
		return r
	}
	old := start()
	lbtest.Until(t, "discovery's list", func() bool { return old.stats().Size == few })

	// ask makes a request as a new caller does: once more where its connection was closed unread.
	var n atomic.Int64
	var unread atomic.Int64
	ask := func() {
		id := fmt.Sprint("r-", n.Add(1))
		began := time.Now()
		for range 5 {
			c := lbtest.Dial(t, s.addr)
			c.Send(lbtest.Head("POST", "once", id, "Content-Length: 0"))
			status, body := c.Response()
			c.Close()
			if status == 0 {
				unread.Add(1)
				continue
			}
			if status != 200 || body != "answer to "+id {
				t.Errorf("%s: %d %q", id, status, body)
			}
			if n := n.Load(); n > granted/4 {
				t.Logf("a new caller was served after %v", time.Since(began).Round(time.Millisecond))
			}
			return
		}
		t.Errorf("%s: closed unread five times", id)
	}
	operate := func(r *running) {
		t.Helper()
		began := time.Now()
		if status, why := r.call(http.MethodGet, "/ops/readiness"); status != 200 {
			t.Errorf("readiness: %d %s", status, why)
		}
		r.stats()
		t.Logf("operators answered in %v, %d descriptors", time.Since(began).Round(time.Millisecond), held(r))
	}

	var work sync.WaitGroup
	for range granted / 4 { // connections to endpoints
		work.Go(ask)
	}
	lbtest.Until(t, "requests are in work", func() bool { return arrived.Load() >= granted/4 })
	close(release)
	work.Wait()
	openConnections(t, s.addr, idlers)
	for range 20 { // at the operators' address, too
		if c := lbtest.TryDial(old.admin); c != nil {
			defer c.Close()
		}
	}
	lbtest.Until(t, "idle callers fill the descriptors", func() bool { return held(old) >= full })
	d.SetState(down)
	ask()
	operate(old)

	next := start()
	lbtest.Until(t, "the process before gives way", func() bool { return old.log.Contains("successor takes over") }) // its log comes by a pipe
	ask()
	operate(old)
	operate(next)

	d.Set(fake.Entries(few+1, after.Addr))
	d.SetState(fake.Answers)
	back := time.Now()
	for _, r := range []*running{next, old} {
		lbtest.Until(t, "discovery's list is asked for", func() bool { return r.stats().Size == few+1 })
		t.Logf("list in force %v after the return", time.Since(back).Round(time.Millisecond))
	}
	ask()
	old.terminate()
	ask()
	operate(next)
	for _, why := range []string{"predecessor makes no offer", "predecessor not reachable", "predecessor does not retire"} {
		if next.log.Contains(why) {
			t.Errorf("the upgrade: %s", next.log.String())
		}
	}
	for _, r := range []*running{old, next} { // what is left for others is never taken
		if r.log.Contains("too many open files") {
			t.Errorf("descriptors ran out: %s", r.log.String())
		}
		if r.log.Contains("the system grants fewer") != (told > granted) {
			t.Errorf("of what the system grants: %s", r.log.String())
		}
	}
	if renewed.Load() == 0 {
		t.Error("nothing came to the endpoint that discovery listed at its return")
	}
	t.Logf("%d closed unread", unread.Load())
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for id, times := range seen.of {
		if times != 1 {
			t.Errorf("%s took effect %d times", id, times)
		}
	}
	if len(seen.of) != int(n.Load()) {
		t.Errorf("%d requests, %d took effect", n.Load(), len(seen.of))
	}
}
