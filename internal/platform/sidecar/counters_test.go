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

// TestEachRequestCountsUnderOneOutcome causes mixed faults at endpoints and clients. Each request must end in one outcome, and
// the counters must agree with what clients and endpoints observe. A request whose client disconnects early may count under
// any outcome, but only once.
func TestEachRequestCountsUnderOneOutcome(t *testing.T) {
	t.Parallel()
	settings, err := config.Load(lbtest.WriteConfig(t, "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	set := &counters.Set{}
	client := upstream.NewClient(upstream.Options{DialTimeout: settings.DialTimeout, IdleTimeout: time.Second, MaxConns: 64, MaxStreamBytes: MaxBodyBytes,
		OnSent: func() { set.AttemptsSent.Add(1) }})
	lbEngine, err := engine.New(engine.Options{Policy: settings.Policy, Seed: settings.Seed, Zones: settings.Zones, ReportFields: settings.ReportFields, PollDiscovery: func() {},
		Client: client, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	var arrived atomic.Int64
	var list []endpointlist.Endpoint
	for i := range 5 {
		endpoint := lbtest.NewEndpoint(t, func(arrival *lbtest.Arrival) {
			switch n := arrived.Add(1); {
			case n%13 == 0:
				arrival.Close()
			case n%11 == 0:
				io.WriteString(arrival, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			case n%7 == 0:
				io.WriteString(arrival, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			case n%17 == 0:
				io.WriteString(arrival, "noise\r\n\r\n")
			case n%5 == 0:
				response := lbtest.OK(strings.Repeat("x", 100<<10))
				io.WriteString(arrival, response[:len(response)/2])
				io.WriteString(arrival, response[len(response)/2:])
			default:
				arrival.OK()
			}
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: endpoint.Addr, Zone: []string{"a", "b"}[i%2], Group: i, Status: "ready"})
	}
	lbEngine.UpdateEndpoints(lbpolicy.Full, list)
	listener := lbtest.Listen(t)
	router := NewRouter(settings, lbEngine, set, Budget{HeapBytes: 64 << 20, BodyBytes: 4 << 20}, slog.New(slog.DiscardHandler))
	server := frontend.New(router, listener, admission.SingleGroup(64), log.New(io.Discard, "", 0))
	go server.Serve()
	t.Cleanup(func() { server.Close() })

	var sent, succeeded, rejected, failed, disconnected atomic.Int64
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			for i := range 120 {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				conn.SetDeadline(time.Now().Add(lbtest.Wait))
				id := fmt.Sprintf("%d-%d", n, i)
				request := lbtest.Get(id)
				if n%2 == 0 {
					request = lbtest.Post(id, strings.Repeat("b", []int{0, 100, 70 << 10}[r.IntN(3)]))
				}
				io.WriteString(conn, request)
				sent.Add(1)
				if r.IntN(6) == 0 { // the client disconnects at once or in the middle of the response
					if r.IntN(2) == 0 {
						io.ReadFull(conn, make([]byte, 20))
					}
					conn.Close()
					disconnected.Add(1)
					continue
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				switch {
				case err != nil:
					failed.Add(1)
				case response.StatusCode == http.StatusOK:
					succeeded.Add(1)
				case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
					rejected.Add(1)
				default:
					failed.Add(1)
				}
				conn.Close()
				if snapshot := set.Snapshot(); snapshot.InFlight < 0 || snapshot.InFlight > 64 {
					t.Errorf("%d requests in flight, want 0 to 64", snapshot.InFlight)
				}
			}
		})
	}
	wg.Go(func() { // settings change while the requests run
		for range 30 {
			if err := router.Configure(settings); err != nil {
				t.Error(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	wg.Wait()
	var snapshot counters.Snapshot
	sum := func(m map[string]int64) (n int64) {
		for _, v := range m {
			n += v
		}
		return n
	}
	lbtest.Until(t, "the counters show no request in flight", func() bool { snapshot = set.Snapshot(); return snapshot.InFlight == 0 })
	lbtest.Until(t, "the engine has no request in flight", func() bool { return lbEngine.InFlight() == 0 })
	snapshot = set.Snapshot()
	countedAnswered, countedRejected, countedErrored := sum(snapshot.Answered), sum(snapshot.Rejected), sum(snapshot.Errored)
	checkRange := func(outcome string, got, minimum int64) {
		t.Helper()
		if got < minimum || got > minimum+disconnected.Load() {
			t.Errorf("%s: got %d requests, want at least %d and at most %d early disconnects more", outcome, got, minimum, disconnected.Load())
		}
	}
	checkRange("answered", countedAnswered, succeeded.Load())
	checkRange("deferred", countedRejected, rejected.Load())
	checkRange("errored", countedErrored, failed.Load())
	// A request whose client disconnected before its body arrived is not counted.
	checkRange("all", sent.Load(), countedAnswered+countedRejected+countedErrored)
	if countedAnswered+countedRejected+countedErrored < succeeded.Load()+rejected.Load()+failed.Load() {
		t.Errorf("%d outcomes counted for %d requests, fewer than the responses that clients saw", countedAnswered+countedRejected+countedErrored, sent.Load())
	}
	lbtest.Until(t, "all attempts sent have arrived at endpoints", func() bool { return set.Snapshot().AttemptsSent == arrived.Load() })
	if succeeded.Load() == 0 || failed.Load() == 0 || disconnected.Load() == 0 {
		t.Errorf("each count must be above 0 for the test to cover it: %d succeeded, %d failed, %d disconnected early", succeeded.Load(), failed.Load(), disconnected.Load())
	}
}
