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

// delayedReadConn is a connection whose reads are delayed: each waits while the lock is held, either before or after it takes bytes
// from the socket.
type delayedReadConn struct {
	*net.TCPConn
	lock      *sync.RWMutex
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

// newEngineWithDelayedReads returns an engine whose goroutines read responses only while the lock is free.
func newEngineWithDelayedReads(t testing.TB, log *lbtest.Log, lock *sync.RWMutex, afterRead bool, maxConns int) *Engine {
	t.Helper()
	const objective = time.Second // an endpoint counts as silent after half of this
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
		return delayedReadConn{conn.(*net.TCPConn), lock, afterRead}, nil
	}
	client := upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: maxConns, Dial: dial})
	engine, err := New(Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, PollDiscovery: func() {}, Client: client,
		Log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	if err != nil {
		t.Fatal(err)
	}
	return engine
}

// An endpoint whose responses have arrived but are read late must not be ejected, and its requests must not be hedged. An endpoint
// that hangs meanwhile must be ejected (docs/incidents/answers-read-late.md).
func TestDelayedReadsEjectOnlyUnresponsiveEndpoint(t *testing.T) {
	t.Parallel()
	for _, afterRead := range []bool{false, true} {
		t.Run(fmt.Sprintf("delayed after the read %t", afterRead), func(t *testing.T) {
			t.Parallel()
			const requests = 9
			var log lbtest.Log
			var lock sync.RWMutex
			engine := newEngineWithDelayedReads(t, &log, &lock, afterRead, 64)
			var mu sync.Mutex
			arrivals := map[string]int{}
			hung := map[string]bool{}
			var list []endpointlist.Endpoint
			for i := range 3 {
				server := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) {
					mu.Lock()
					defer mu.Unlock()
					id := arrival.Request.Header.Get("X-Request-Id")
					arrivals[id]++
					if i == 0 {
						hung[id] = true
						return
					}
					arrival.OK()
				})
				list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: server.Addr, Zone: "a", Status: "ready"})
			}
			engine.UpdateEndpoints(lbpolicy.Full, list)
			lock.Lock()
			calls := map[string]*Call{}
			for i := range requests {
				id := fmt.Sprint("r", i)
				calls[id] = beginGet(engine, id, lbtest.Wait)
			}
			lbtest.Until(t, "each request has arrived at an endpoint", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(arrivals) == requests
			})
			ejection := fmt.Sprintf("server %d out: silent", engine.serverID("s0"))
			lbtest.Until(t, "the endpoint that hangs is ejected", func() bool {
				beginGet(engine, "another", time.Millisecond) // the policy takes decisions only when it gets an event
				return log.Contains(ejection)
			})
			lbtest.Until(t, "requests at the endpoint that hangs are hedged", func() bool { return log.Contains("hedged request") })
			lock.Unlock()
			for id, c := range calls {
				if result := awaitResult(t, c); result.Response == nil {
					t.Errorf("request %s: got %+v, want a response", id, result)
				}
			}
			lbtest.Until(t, "no call is in flight", func() bool { return engine.InFlight() == 0 })
			if n := strings.Count(log.String(), " out: "); n != 1 {
				t.Errorf("%d ejections, want 1; log: %s", n, log.String())
			}
			mu.Lock()
			defer mu.Unlock()
			if len(hung) == 0 || len(hung) == requests {
				t.Errorf("%d requests hang, want some but not all, or the test proves nothing", len(hung))
			}
			for id, n := range arrivals {
				if n > 1 && !hung[id] {
					t.Errorf("request %s arrived %d times without having hung, want once", id, n)
				}
			}
		})
	}
}

// BenchmarkServerProgress measures one call of ServerProgress for a server with 200 attempts in flight, none of which has a response.
func BenchmarkServerProgress(b *testing.B) {
	const requests = 200
	var log lbtest.Log
	var lock sync.RWMutex
	engine := newEngineWithDelayedReads(b, &log, &lock, false, 4*requests)
	arrived := make(chan struct{}, requests)
	server := lbtest.NewEndpoint(b, func(*lbtest.Arrival) { arrived <- struct{}{} })
	engine.UpdateEndpoints(lbpolicy.Full, []endpointlist.Endpoint{listEntry(server.Addr, "ready")})
	for i := range requests {
		beginGet(engine, fmt.Sprint("r", i), lbtest.Wait)
	}
	for range requests {
		<-arrived
	}
	id := engine.serverID("s")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for b.Loop() {
		if (actions{engine}).ServerProgress(id).HasUnreadResponse {
			b.Fatal("HasUnreadResponse = true, but no response was sent")
		}
	}
}
