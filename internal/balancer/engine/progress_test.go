package engine

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// delayedReadConn is a connection whose reader is late: each read waits while the lock is held, before or after it takes bytes from the
// socket.
type delayedReadConn struct {
	*net.TCPConn
	lock  *sync.RWMutex
	afterRead bool
}

func (c delayedReadConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return delayedReadRawConn{raw, c}, err
}

type delayedReadRawConn struct {
	syscall.RawConn
	conn delayedReadConn
}

func (c delayedReadRawConn) wait() {
	c.conn.lock.RLock()
	defer c.conn.lock.RUnlock()
}

func (c delayedReadRawConn) Read(read func(fd uintptr) bool) error {
	return c.RawConn.Read(func(fd uintptr) bool {
		if !c.conn.afterRead {
			c.wait()
		}
		done := read(fd)
		if done && c.conn.afterRead {
			c.wait()
		}
		return done
	})
}

// newEngineWithDelayedReads is an engine whose goroutines read responses only while the lock is free.
func newEngineWithDelayedReads(t testing.TB, log *lbtest.Log, lock *sync.RWMutex, after bool, maxConns int) *Engine {
	t.Helper()
	const objective = time.Second // an endpoint is silent after half of it
	c, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range c.Policy.Classes {
		c.Policy.Classes[i].LatencyObjective = objective
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return delayedReadConn{conn.(*net.TCPConn), lock, after}, nil
	}
	client := upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: maxConns, Dial: dial})
	h, err := New(Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, Watch: func() {}, Client: client,
		Log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Endpoints whose answers have arrived, and are read late, are not ejected and their requests not hedged; one that hangs is
// found meanwhile (docs/incidents/answers-read-late.md).
func TestDelayedReadsEjectOnlyUnresponsiveEndpoint(t *testing.T) {
	t.Parallel()
	for _, after := range []bool{false, true} {
		t.Run(fmt.Sprintf("late after the read %t", after), func(t *testing.T) {
			t.Parallel()
			const requests = 9
			var log lbtest.Log
			var lock sync.RWMutex
			h := newEngineWithDelayedReads(t, &log, &lock, after, 64)
			var mu sync.Mutex
			arrivals := map[string]int{}
			hung := map[string]bool{}
			var list []endpointlist.Endpoint
			for i := range 3 {
				e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
					mu.Lock()
					defer mu.Unlock()
					id := a.Request.Header.Get("X-Request-Id")
					arrivals[id]++
					if i == 0 {
						hung[id] = true
						return
					}
					a.OK()
				})
				list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: e.Addr, Zone: "a", Status: "ready"})
			}
			h.UpdateEndpoints(lbpolicy.Full, list)
			lock.Lock()
			calls := map[string]*Call{}
			for i := range requests {
				id := fmt.Sprint("r", i)
				calls[id] = beginGet(h, id, lbtest.Wait)
			}
			lbtest.Until(t, "each request is at an endpoint", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(arrivals) == requests
			})
			hangs := fmt.Sprintf("server %d out: silent", h.serverID("s0"))
			lbtest.Until(t, "the endpoint that hangs is ejected", func() bool {
				beginGet(h, "another", time.Millisecond) // decisions come with events
				return log.Contains(hangs)
			})
			lbtest.Until(t, "its requests are hedged", func() bool { return log.Contains("hedged request") })
			lock.Unlock()
			for id, c := range calls {
				if a := awaitResult(t, c); a.Response == nil {
					t.Errorf("%s: %+v", id, a)
				}
			}
			lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
			if n := strings.Count(log.String(), " out: "); n != 1 {
				t.Errorf("%d ejections: %s", n, log.String())
			}
			mu.Lock()
			defer mu.Unlock()
			if len(hung) == 0 || len(hung) == requests {
				t.Errorf("tests little: %d requests hang", len(hung))
			}
			for id, n := range arrivals {
				if n > 1 && !hung[id] {
					t.Errorf("%s came %d times", id, n)
				}
			}
		})
	}
}

// BenchmarkServerProgress shows the cost of a verdict: 200 attempts in flight, none of them answered.
func BenchmarkServerProgress(b *testing.B) {
	const requests = 200
	var log lbtest.Log
	var lock sync.RWMutex
	h := newEngineWithDelayedReads(b, &log, &lock, false, 4*requests)
	arrived := make(chan struct{}, requests)
	e := lbtest.NewEndpoint(b, func(*lbtest.Arrival) { arrived <- struct{}{} })
	h.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(e.Addr, "ready")})
	for i := range requests {
		beginGet(h, fmt.Sprint("r", i), lbtest.Wait)
	}
	for range requests {
		<-arrived
	}
	id := h.serverID("s")
	h.mu.Lock()
	defer h.mu.Unlock()
	for b.Loop() {
		if (actions{h}).ServerProgress(id).HasUnreadAnswer {
			b.Fatal("nothing has arrived")
		}
	}
}
