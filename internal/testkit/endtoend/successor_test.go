package endtoend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

const (
	replacements     = 8
	replacementTime  = 250 * time.Millisecond // between two of them
	unlistedTime     = 100 * time.Millisecond // from the new process to its place in the list
	successorClients = 8
	successorWork    = 5 * time.Millisecond
)

// replaceableEndpoint is an address at which one process of an endpoint follows another.
type replaceableEndpoint struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// replace ends the process at the address, with a reset of its connections, and starts the next one.
func (e *replaceableEndpoint) replace(t *testing.T, serve func(c net.Conn, r *http.Request)) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		e.listener.Close()
		for _, c := range e.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		e.conns = nil
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		t.Error(err)
		return
	}
	e.listener = l
	go e.accept(l, serve)
}

func (e *replaceableEndpoint) accept(l net.Listener, serve func(c net.Conn, r *http.Request)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.mu.Unlock()
		go serveRequests(c, serve)
	}
}

// serveRequests serves the requests of a connection until it ends.
func serveRequests(c net.Conn, serve func(c net.Conn, r *http.Request)) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		serve(c, r)
	}
}

// A new process comes up at the address of an endpoint that has gone, under another id. Taken for the old one, it gets work a second time, or
// that of a process that was removed.
func TestNewEndpointAtOldAddress(t *testing.T) {
	for _, role := range Roles {
		t.Run(string(role), func(t *testing.T) { testNewEndpoint(t, role) })
	}
}

func testNewEndpoint(t *testing.T, role Role) {
	t.Helper()
	var mu sync.Mutex
	ran := map[string]int{}
	serve := func(c net.Conn, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		ran[id]++
		mu.Unlock()
		time.Sleep(successorWork)
		_, _ = fmt.Fprint(c, lbtest.OK("answer to "+id)) // fails where the process has ended
	}
	replaced := &replaceableEndpoint{address: lbtest.ReserveAddress(t)}
	replaced.replace(t, serve)
	steady := &replaceableEndpoint{address: lbtest.ReserveAddress(t)}
	steady.replace(t, serve)
	entry := func(name, address string) fake.DiscoveryEntry {
		return fake.DiscoveryEntry{Name: name, Address: address, Zone: "a", Group: 1, Status: "ready", Weight: 1}
	}
	discovery, err := fake.NewDiscovery(fake.DiscoveryOptions{}, []fake.DiscoveryEntry{entry("s-steady", steady.address), entry("s-0", replaced.address)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	p := StartWithDiscovery(t, role, LeastLimits(), discovery.Addr)
	var stop atomic.Bool
	var served, failed atomic.Int64
	var clients sync.WaitGroup
	for n := range successorClients {
		clients.Go(func() {
			for k := 0; !stop.Load(); k++ {
				id := fmt.Sprintf("r-%d-%d", n, k)
				c := lbtest.Dial(t, p.Addr)
				c.Send(lbtest.Head("POST", ClassOnce, id, "Content-Length: 0"))
				switch status, body := c.Response(); {
				case status == http.StatusOK && body == "answer to "+id:
					served.Add(1)
				case status == http.StatusBadGateway || status == http.StatusServiceUnavailable: // it may have run, or was turned away
					failed.Add(1)
				default:
					t.Errorf("%s: status %d, body %q", id, status, body)
				}
				c.Close()
			}
		})
	}
	for n := range replacements {
		time.Sleep(replacementTime)
		replaced.replace(t, serve)
		time.Sleep(unlistedTime)
		discovery.Set([]fake.DiscoveryEntry{entry("s-steady", steady.address), entry(fmt.Sprint("s-", n+1), replaced.address)})
	}
	stop.Store(true)
	clients.Wait()
	t.Logf("%d served, %d failed", served.Load(), failed.Load())
	mu.Lock()
	defer mu.Unlock()
	for id, times := range ran {
		if times > 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	if served.Load() < failed.Load() {
		t.Error("most requests failed")
	}
}
