package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// disconnectingClient is a caller who is about to go.
type disconnectingClient struct {
	*lbtest.Client
	tcp    *net.TCPConn
	leftAt time.Time // zero: it is still there
}

func newDisconnectingClient(t *testing.T, addr string) *disconnectingClient {
	t.Helper()
	c := lbtest.Dial(t, addr)
	return &disconnectingClient{Client: c, tcp: c.Conn.(*net.TCPConn)}
}

var waysToDisconnect = map[string]func(*disconnectingClient){
	"closes":                   func(c *disconnectingClient) { c.Close() },
	"closes-behind-a-request":  func(c *disconnectingClient) { c.Send(lbtest.Get("behind-closes")); c.Close() },
	"resets":                   func(c *disconnectingClient) { c.tcp.SetLinger(0); c.tcp.Close() },
	"resets-behind-a-request":  func(c *disconnectingClient) { c.Send(lbtest.Get("behind-resets")); c.tcp.SetLinger(0); c.tcp.Close() },
	"ends-its-side":            func(c *disconnectingClient) { c.tcp.CloseWrite() },
	"ends-it-behind-a-request": func(c *disconnectingClient) { c.Send(lbtest.Get("behind-ends")); c.tcp.CloseWrite() },
}

// disconnect has the caller go, and waits until its end stands on the other side's socket, taken or not: it is established no more.
func (c *disconnectingClient) disconnect(t *testing.T, how string) {
	t.Helper()
	here, there := c.tcp.LocalAddr(), c.tcp.RemoteAddr()
	lbtest.Until(t, how+": the connection stands on the other side", func() bool { return lbtest.IsEstablished(there, here) })
	c.leftAt = time.Now()
	waysToDisconnect[how](c)
	lbtest.Until(t, how+": the end has come", func() bool { return !lbtest.IsEstablished(there, here) })
}

// clockFormat shows times as the log has them, without the date.
const clockFormat = "15:04:05.000"

// String tells when the caller left.
func (c *disconnectingClient) String() string {
	if c == nil || c.leftAt.IsZero() {
		return "stayed"
	}
	return "left at " + c.leftAt.Format(clockFormat)
}

// logDecisions prints which requests a process hedged and which endpoints it ejected.
func logDecisions(t *testing.T, name string, r *running) {
	t.Helper()
	for line := range strings.Lines(r.log.String()) {
		if strings.Contains(line, "hedged request") || strings.Contains(line, " out: ") {
			t.Logf("%s process: %s", name, line)
		}
	}
}

// suspend stops a process, and waits until each of its threads is stopped: the signal is delivered some time after it was sent, and
// until then the process goes on.
func (r *running) suspend() {
	r.t.Helper()
	if err := r.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		r.t.Fatal(err)
	}
	lbtest.Until(r.t, "the process is suspended", func() bool { return isSuspended(r.cmd.Process.Pid) })
}

// isSuspended reports whether all threads of a process are stopped (proc(5), /proc/pid/task/tid/stat).
func isSuspended(pid int) bool {
	tasks := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(tasks)
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
		if err != nil {
			return false
		}
		_, state, ok := strings.Cut(string(text), ") ") // behind the command in parentheses
		if !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

func (r *running) resume() {
	r.t.Helper()
	if err := r.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		r.t.Fatal(err)
	}
}

// awaitIdle waits until a process has no request in work.
func (r *running) awaitIdle(what string) {
	r.t.Helper()
	lbtest.Until(r.t, what+": nothing is held", func() bool { return r.stats().Current == 0 })
}

// Nothing of a request goes out whose caller has left while processes replace each other: neither by the one that hands over
// nor by the one that takes over, first or again. Processes are stopped where head and end have to stand there before either is
// read.
func TestLeftOverUpgrade(t *testing.T) {
	t.Parallel()
	leaveOverUpgrade(t, 0)
}

// The same holds where the old process stands still for a time that the pages have a sidecar bear, and for so long that each timer of a
// request and of a resting connection is over when it goes on.
func TestLeftOverUpgradePaused(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{150 * time.Millisecond, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			leaveOverUpgrade(t, pause)
		})
	}
}

// leaveOverUpgrade has callers leave while processes replace each other. The old one stands still for a pause longer than the steps
// take, with requests held at endpoints.
func leaveOverUpgrade(t *testing.T, pause time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var came []string
	var cameAt []time.Time
	held := make(chan *lbtest.Arrival, 64)
	var addrs []string
	for range 2 {
		addrs = append(addrs, lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			id := a.Request.Header.Get("X-Request-Id")
			mu.Lock()
			again := slices.Contains(came, id)
			came = append(came, id)
			cameAt = append(cameAt, time.Now())
			mu.Unlock()
			if strings.HasPrefix(id, "held-") && !again {
				held <- a
				return
			}
			a.OK()
		}).Addr)
	}
	s := newSidecars(t, lbtest.NewDiscovery(t, 1, addrs...).Addr)
	old := s.start()
	stays := newDisconnectingClient(t, s.addr)
	ask := func(c *disconnectingClient, id string) {
		t.Helper()
		c.Send(lbtest.Get(id))
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	ask(stays, "first")
	kept := map[string]*disconnectingClient{}
	var waiting []*lbtest.Arrival
	for how := range waysToDisconnect {
		for _, what := range []string{"next-", "key-", "bind-", "held-"} {
			c := newDisconnectingClient(t, s.addr)
			kept[what+how] = c
			if what != "held-" {
				ask(c, "warm-"+what+how)
				continue
			}
			c.Send(lbtest.Get("held-" + how))
			waiting = append(waiting, <-held)
		}
	}

	// In the queue of the listener as the hand-over begins.
	old.suspend()
	for how := range waysToDisconnect {
		c := newDisconnectingClient(t, s.addr)
		c.Send(lbtest.Get("left-queued-" + how))
		c.disconnect(t, how)
	}
	next := s.begin()
	old.resume()
	lbtest.Until(t, "a process says yes: "+next.log.String(), func() bool {
		status, _ := next.call("GET", "/ops/readiness")
		return status == 200
	})

	// At the old one, which waits for the new one's word on a key.
	next.suspend()
	before := old.stats().taken()
	for how := range waysToDisconnect {
		kept["bind-"+how].Send(lbtest.Post("left-bind-"+how, "x"))
	}
	lbtest.Until(t, "they are in work, or answered", func() bool { return old.stats().taken() >= before+len(waysToDisconnect) })
	for how := range waysToDisconnect {
		kept["bind-"+how].disconnect(t, how)
	}
	next.resume()

	// At the old one: the next request of a kept connection, and the attempt after one that was out all the time.
	old.suspend()
	for how := range waysToDisconnect {
		kept["next-"+how].Send(lbtest.Get("left-next-" + how))
		kept["key-"+how].Send(lbtest.Post("left-key-"+how, "x"))
		for _, what := range []string{"next-", "key-", "held-"} {
			kept[what+how].disconnect(t, how)
		}
	}
	time.Sleep(pause)
	for _, a := range waiting {
		a.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
	}
	old.resume()
	old.awaitIdle("the old process")
	ask(stays, "stays") // at the old one still

	// In the queue of the new one.
	next.suspend()
	for how := range waysToDisconnect {
		c := newDisconnectingClient(t, s.addr)
		c.Send(lbtest.Get("left-new-" + how))
		c.disconnect(t, how)
		c = newDisconnectingClient(t, s.addr)
		c.Send(lbtest.Post("left-newkey-"+how, "x"))
		c.disconnect(t, how)
	}
	next.resume()
	ask(newDisconnectingClient(t, s.addr), "last") // behind them in the queue
	next.awaitIdle("the new process")

	mu.Lock()
	defer mu.Unlock()
	count := map[string]int{}
	for _, id := range came {
		count[id]++
		if strings.HasPrefix(id, "left-") || strings.HasPrefix(id, "behind-") || count[id] > 1 {
			t.Errorf("%s came to an endpoint", id)
		}
	}
	if len(count) < 4*len(waysToDisconnect)+3 {
		t.Errorf("tests little: %v", count)
	}
	if t.Failed() {
		for i, id := range came {
			if count[id] > 1 || strings.HasPrefix(id, "left-") {
				t.Logf("%s came at %s, its client %s", id, cameAt[i].Format(clockFormat), kept[id])
			}
		}
		logDecisions(t, "old", old)
		logDecisions(t, "new", next)
	}
	old.terminate()
	next.terminate()
}
