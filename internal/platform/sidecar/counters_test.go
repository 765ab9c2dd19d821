package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// TestCountersAreConserved causes mixed faults: each request ends in one outcome, and the counters agree with what clients and
// endpoints have seen. A client that disconnects early may count under any outcome, once.
func TestCountersAreConserved(t *testing.T) {
	t.Parallel()
	c, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	board := &counters.Set{}
	client := upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64, MaxStreamBytes: MaxBodyBytes,
		OnSent: func() { board.AttemptsSent.Add(1) }})
	h, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Watch: func() {},
		Client: client, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	var arrived atomic.Int64
	var list []endpointlist.Endpoint
	for i := range 5 {
		e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			switch n := arrived.Add(1); {
			case n%13 == 0:
				a.Close()
			case n%11 == 0:
				io.WriteString(a, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			case n%7 == 0:
				io.WriteString(a, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			case n%17 == 0:
				io.WriteString(a, "noise\r\n\r\n")
			case n%5 == 0:
				text := lbtest.OK(strings.Repeat("x", 100<<10))
				io.WriteString(a, text[:len(text)/2])
				io.WriteString(a, text[len(text)/2:])
			default:
				a.OK()
			}
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: e.Addr, Zone: []string{"a", "b"}[i%2], Group: i, Status: "ready"})
	}
	h.UpdateEndpoints(lbpolicy.Full, list)
	l := lbtest.Listen(t)
	router := NewRouter(c, h, board, 4<<20)
	server := frontend.New(router, l, admission.SingleGroup(64), log.New(io.Discard, "", 0))
	go server.Serve()
	t.Cleanup(func() { server.Close() })

	var asked, ok, refused, failed, left atomic.Int64
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			for i := range 120 {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				c.SetDeadline(time.Now().Add(lbtest.Wait))
				id := fmt.Sprintf("%d-%d", n, i)
				text := lbtest.Get(id)
				if n%2 == 0 {
					text = lbtest.Post(id, strings.Repeat("b", []int{0, 100, 70 << 10}[r.IntN(3)]))
				}
				io.WriteString(c, text)
				asked.Add(1)
				if r.IntN(6) == 0 { // gone, at once or in the middle of the answer
					if r.IntN(2) == 0 {
						io.ReadFull(c, make([]byte, 20))
					}
					c.Close()
					left.Add(1)
					continue
				}
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, a.Body)
				}
				switch {
				case err != nil:
					failed.Add(1)
				case a.StatusCode == http.StatusOK:
					ok.Add(1)
				case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				c.Close()
				if f := board.Snapshot(); f.InFlight < 0 || f.InFlight > 64 {
					t.Errorf("%d in work", f.InFlight)
				}
			}
		})
	}
	all.Go(func() { // settings change all the while
		for range 30 {
			if err := router.Configure(c); err != nil {
				t.Error(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	all.Wait()
	var f counters.Snapshot
	sum := func(m map[string]int64) (n int64) {
		for _, v := range m {
			n += v
		}
		return n
	}
	lbtest.Until(t, "nothing is in work", func() bool { f = board.Snapshot(); return f.InFlight == 0 })
	lbtest.Until(t, "nothing is held", func() bool { return h.InFlight() == 0 })
	f = board.Snapshot()
	answered, deferred, errored := sum(f.Answered), sum(f.Rejected), sum(f.Errored)
	within := func(what string, got, least int64) {
		t.Helper()
		if got < least || got > least+left.Load() {
			t.Errorf("%s: %d by the figures, %d by the callers, %d of whom left", what, got, least, left.Load())
		}
	}
	within("answered", answered, ok.Load())
	within("deferred", deferred, refused.Load())
	within("errored", errored, failed.Load())
	// One that left before its body had come was not taken.
	within("all", asked.Load(), answered+deferred+errored)
	if answered+deferred+errored < ok.Load()+refused.Load()+failed.Load() {
		t.Errorf("%d ended of %d", answered+deferred+errored, asked.Load())
	}
	lbtest.Until(t, "what was sent has arrived", func() bool { return board.Snapshot().AttemptsSent == arrived.Load() })
	if ok.Load() == 0 || failed.Load() == 0 || left.Load() == 0 {
		t.Errorf("no trouble: %d %d %d", ok.Load(), failed.Load(), left.Load())
	}
}
