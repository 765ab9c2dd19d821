package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

const (
	floodTime    = 2 * time.Second
	keyFloodTime = 6 * time.Second // in which one client fills the table of keys
	floodBurst   = 64              // requests in one write
	otherClients = 8
	otherPause   = 20 * time.Millisecond
)

// flood is what one client sends on one connection at full speed.
type flood struct {
	request func(n int) string // the n-th request
	head    string             // in place of requests: what is sent first, and then chunk again and again
	chunk   string
	deaf    bool // the client reads no responses
}

// floods are the requests of the flooding client.
var floods = map[string]flood{
	"small requests":   {request: func(n int) string { return lbtest.Get(fmt.Sprint("f-", n)) }},
	"unread responses": {request: func(n int) string { return lbtest.Get(fmt.Sprint("f-", n)) }, deaf: true},
	"readiness":        {request: func(int) string { return "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n" }},
	"unknown class":    {request: func(n int) string { return lbtest.Head("GET", fmt.Sprint("c-", n), fmt.Sprint("f-", n)) }},
	"no id":            {request: func(int) string { return "GET /read HTTP/1.1\r\nHost: x\r\n\r\n" }},
	"noise":            {request: func(int) string { return "\x01\x02\x03\r\n\r\n" }},
	"new keys": {request: func(n int) string {
		return lbtest.Head("POST", ClassWrite, fmt.Sprint("f-", n), fmt.Sprint("Idempotency-Key: k-", n), "Content-Length: 0")
	}},
	"new tenants": {request: func(n int) string {
		return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: f-%d\r\nX-Priority-Class: read\r\nX-Tenant-Id: t-%d\r\n\r\n", n, n)
	}},
	"new names": {request: func(n int) string {
		return fmt.Sprintf("GET /read/%d HTTP/1.1\r\nHost: h-%d\r\nX-Request-ID: f-%d\r\nX-Priority-Class: read\r\nX-N-%d: %d\r\n\r\n", n, n, n, n, n)
	}},
	"one id": {request: func(int) string { return lbtest.Get("same") }},
	"tiny chunks": {head: lbtest.Head("POST", ClassWrite, "chunks", "Idempotency-Key: chunks", "Transfer-Encoding: chunked"),
		chunk: strings.Repeat("1\r\nx\r\n", 1024)},
}

// run floods an address until a time, on one connection, or on the next one where the process closes it.
func (f flood) run(addr string, until time.Time) (sent int) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(until)
		if !f.deaf {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		sent += f.send(c, sent)
		c.Close()
	}
	return sent
}

// send floods one connection until it ends.
func (f flood) send(c net.Conn, first int) (sent int) {
	if f.head != "" {
		_, _ = io.WriteString(c, f.head) // the next write reports an error
	}
	for {
		burst := f.chunk
		if f.request != nil {
			var text strings.Builder
			for n := range floodBurst {
				text.WriteString(f.request(first + sent + n))
			}
			burst = text.String()
		}
		if _, err := io.WriteString(c, burst); err != nil {
			return sent
		}
		sent += floodBurst
	}
}

// One client that sends small or unsound requests at full speed makes others wait for their answers, or the memory grow.
func TestFloodOfOneConnection(t *testing.T) {
	for _, role := range Roles {
		for name, f := range floods {
			t.Run(fmt.Sprintf("%s/%s", role, name), func(t *testing.T) {
				refused := testFlood(t, role, f, floodTime, func(id string) string { return lbtest.Get(id) })
				if refused > 0 {
					t.Errorf("%d requests of others were refused", refused)
				}
			})
		}
	}
}

// One client that sends ever new idempotency keys fills the table of keys, and the keyed requests of all others are refused.
func TestFloodOfKeysLeavesOthersServed(t *testing.T) {
	for _, role := range Roles {
		t.Run(string(role), func(t *testing.T) {
			refused := testFlood(t, role, floods["new keys"], keyFloodTime, func(id string) string {
				return lbtest.Head("POST", ClassWrite, id, "Idempotency-Key: k-"+id, "Content-Length: 0")
			})
			if refused > 0 {
				t.Errorf("%d requests of others were refused", refused)
			}
		})
	}
}

// testFlood floods a process beside other clients, checks that these are answered in time and that the memory stays below the limit, and
// returns how many requests of others were refused.
func testFlood(t *testing.T, role Role, f flood, length time.Duration, request func(id string) string) (refused int64) {
	t.Helper()
	server := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	limits := LeastLimits()
	p := Start(t, role, limits, server.Addr, server.Addr)
	until := time.Now().Add(length)
	var others sync.WaitGroup
	var servedCount, refusedCount, slowest atomic.Int64
	for n := range otherClients {
		others.Go(func() {
			c := lbtest.Dial(t, p.Addr)
			reader := bufio.NewReader(c)
			for k := 0; time.Now().Before(until); k++ {
				sent := time.Now()
				c.Send(request(fmt.Sprintf("o-%d-%d", n, k)))
				status, _ := lbtest.ReadResponse(reader)
				took := time.Since(sent)
				slowest.Store(max(slowest.Load(), int64(took)))
				switch status {
				case http.StatusOK:
					servedCount.Add(1)
				case http.StatusServiceUnavailable:
					refusedCount.Add(1)
				default:
					t.Errorf("status %d after %v", status, took)
					return
				}
				if took > limits.Deadline+lateAnswerBound {
					t.Errorf("an answer after %v", took)
				}
				time.Sleep(otherPause)
			}
		})
	}
	sent := f.run(p.Addr, until)
	others.Wait()
	peak := p.PeakMemory(t)
	served, refused := servedCount.Load(), refusedCount.Load()
	t.Logf("flood: %d sent; others: %d served, %d refused, slowest %v; peak %d KiB", sent, served, refused,
		time.Duration(slowest.Load()).Round(time.Millisecond), peak>>10)
	if p.Ended() {
		t.Error("the process has ended")
	}
	if peak > int64(limits.MemoryMB)<<20 {
		t.Errorf("%d MiB resident, the limit is %d MB", peak>>20, limits.MemoryMB)
	}
	if served == 0 {
		t.Error("none of the others was served")
	}
	return refused
}
