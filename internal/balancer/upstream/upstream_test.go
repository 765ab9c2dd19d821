package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/balancer/quota"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

func newRequest(id string) *Request {
	return &Request{Method: "GET", Target: "/read", Host: "app.svc", Deadline: time.Now().Add(lbtest.Wait),
		Header: http.Header{"X-Request-Id": {id}}}
}

func newClient(idle time.Duration) *Client {
	return NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: idle, MaxConns: 4})
}

func alwaysClaim() bool { return true }

func sendRequest(t *testing.T, p *Pool, id string) (lbpolicy.Verdict, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	v, a, _ := p.Do(ctx, newRequest(id), &Receipt{}, alwaysClaim)
	if ctx.Err() != nil {
		t.Fatal("the attempt did not end by itself")
	}
	if a == nil {
		return v, ""
	}
	return v, string(a.Body)
}

// Spoilt answers end the attempt by themselves, as errors that may have run, and their connections are closed though
// the endpoint keeps them open. Good answers are good whatever comes before or behind them.
func TestMalformedResponsesAreErrorsAndValidOnesSucceed(t *testing.T) {
	spoilt := map[string]string{
		"noise":             "\x01\x02\xff\r\n\r\n",
		"noise, no end":     "\x01\x02\xff",
		"other protocol":    "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"status":            "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
		"no colon":          "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"length and chunks": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
		"endless head":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppp\r\n", 8<<10),
		"half a head":       "HTTP/1.1 200 OK\r\nContent-Le",
		"short body":        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"3 GB":              "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"over 64 KiB":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000),
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n",
		"no end of chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"interim for ever":  strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100),
	}
	good := map[string]string{
		"plain":       lbtest.OK("ok"),
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n",
		"interim":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + lbtest.OK("ok"),
		"a copy more": lbtest.OK("ok") + lbtest.OK("xx"),
		"noise more":  lbtest.OK("ok") + "\x01\x02",
	}
	for name, text := range spoilt {
		t.Run(name, func(t *testing.T) { t.Parallel(); checkResponse(t, text, lbpolicy.Error, "") })
	}
	for name, text := range good {
		t.Run(name, func(t *testing.T) { t.Parallel(); checkResponse(t, text, lbpolicy.OK, "ok") })
	}
}

func checkResponse(t *testing.T, text string, verdict lbpolicy.Verdict, body string) {
	t.Helper()
	odd := verdict != lbpolicy.OK || strings.Contains(text, "xx") || strings.HasSuffix(text, "\x02")
	first := true
	var second int
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if first {
			first = false
			a.Write([]byte(text))
			return
		}
		second = a.Index
		a.OK()
	})
	c := newClient(lbtest.Wait)
	p := c.Pool(e.Addr)
	defer p.Close()
	if v, got := sendRequest(t, p, "one"); v != verdict || got != body {
		t.Errorf("verdict %d, body %q", v, got)
	}
	if v, got := sendRequest(t, p, "two"); v != lbpolicy.OK || got != "answer to two" {
		t.Errorf("the next request: verdict %d, body %q", v, got)
	}
	if odd && second != 0 {
		t.Error("the next request went out on the same connection")
	}
	if n := c.OpenConns(); n != 1 {
		t.Errorf("%d connections are open", n)
	}
}

// What stands on a connection before its request is written is not the answer: it is never used again.
func TestUnsolicitedResponseDiscardsIdleConnection(t *testing.T) {
	late := make(chan *lbtest.Arrival, 1)
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Request.Header.Get("X-Request-Id") == "one" {
			late <- a
		}
		a.OK()
	})
	c := newClient(lbtest.Wait)
	p := c.Pool(e.Addr)
	defer p.Close()
	if v, _ := sendRequest(t, p, "one"); v != lbpolicy.OK {
		t.Fatal(v)
	}
	a := <-late
	a.Write([]byte(lbtest.OK("a stranger's")))
	// Loopback hands the bytes over within the write.
	if v, body := sendRequest(t, p, "two"); v != lbpolicy.OK || body != "answer to two" {
		t.Errorf("verdict %d, body %q", v, body)
	}
}

// Outcomes that prove that a request never ran are told from those that don't.
func TestVerdictTellsWhetherRequestMayHaveRun(t *testing.T) {
	for text, verdict := range map[string]lbpolicy.Verdict{
		"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n": lbpolicy.ServerFull,
		"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n": lbpolicy.ServerFull,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                       lbpolicy.Error,
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                       lbpolicy.Error,
		"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n":                       lbpolicy.Rejected,
		"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n":                       lbpolicy.Error,
		"HTTP/1.1 101 No\r\n\r\n":                                            lbpolicy.Error,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroken":                 lbpolicy.Reset,
		"": lbpolicy.Reset,
	} {
		t.Run(fmt.Sprintf("%.30q", text), func(t *testing.T) {
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
				a.Write([]byte(text))
				if verdict == lbpolicy.Reset {
					a.Close()
				}
			})
			p := newClient(lbtest.Wait).Pool(e.Addr)
			defer p.Close()
			if v, _ := sendRequest(t, p, "one"); v != verdict {
				t.Errorf("verdict %d, not %d", v, verdict)
			}
		})
	}
	l := lbtest.Listen(t)
	l.Close()
	if v, _ := sendRequest(t, newClient(lbtest.Wait).Pool(l.Addr().String()), "one"); v != lbpolicy.ConnectFailed {
		t.Errorf("refused: verdict %d", v)
	}
}

// An idle connection ends by itself: when the endpoint closes it, when something comes on it, and after its time.
func TestUnusableIdleConnectionIsClosed(t *testing.T) {
	for name, idle := range map[string]time.Duration{"close": lbtest.Wait, "noise": lbtest.Wait, "time": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
				a.OK()
				switch name {
				case "close":
					a.Close()
				case "noise":
					a.Write([]byte("x"))
				}
			})
			c := newClient(idle)
			p := c.Pool(e.Addr)
			defer p.Close()
			if v, _ := sendRequest(t, p, "one"); v != lbpolicy.OK {
				t.Fatal(v)
			}
			lbtest.Until(t, "no connection open", func() bool { return c.OpenConns() == 0 })
		})
	}
}

// Endpoints that drop kept connections sooner than they should cost a call or two, not one in each: what has stood as
// long is no longer used.
func TestIdleLimitIsLearnedFromOneReset(t *testing.T) {
	const stands = 300 * time.Millisecond
	var lost atomic.Bool
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index > 0 && lost.Load() {
			a.Conn.(*net.TCPConn).SetLinger(0)
			a.Close()
			return
		}
		a.OK()
	})
	c := newClient(lbtest.Wait)
	p := c.Pool(e.Addr)
	defer p.Close()
	sendRequest(t, p, "one")
	if v, _ := sendRequest(t, p, "two"); v != lbpolicy.OK { // kept
		t.Fatal(v)
	}
	lost.Store(true)
	resets := 0
	for i := range 6 {
		time.Sleep(stands) // longer waits do no harm
		if v, _ := sendRequest(t, p, fmt.Sprint(i)); v == lbpolicy.Reset {
			resets++
		}
	}
	if resets != 1 {
		t.Errorf("%d of six requests went out on connections that had been lost", resets)
	}
}

// Where any status may be meant for the caller, an answer is served as it came; what proves that nothing ran, and what
// speaks of the endpoint, stay what they are. An answer to HEAD has no body, whatever length it tells.
func TestAnyStatusAcceptsResponsesMeantForClient(t *testing.T) {
	var answer atomic.Value
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.Write([]byte(answer.Load().(string))) })
	p := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 4, AnyStatus: true}).Pool(e.Addr)
	for head, want := range map[string]lbpolicy.Verdict{
		"201 Created": lbpolicy.OK, "204 No Content": lbpolicy.OK, "302 Found": lbpolicy.OK, "404 Not Found": lbpolicy.OK,
		"408 Request Timeout": lbpolicy.Error, "429 Too Many Requests": lbpolicy.Error, "500 Oops": lbpolicy.Error,
		"503 Busy": lbpolicy.Error, "503 Busy\r\nX-Not-Processed: 1": lbpolicy.ServerFull,
		"429 Busy\r\nX-Not-Processed: 1": lbpolicy.ServerFull, "101 Switching Protocols": lbpolicy.Error,
	} {
		answer.Store("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n")
		if v, _ := sendRequest(t, p, head); v != want {
			t.Errorf("%s: verdict %d, want %d", head, v, want)
		}
	}
	for range 2 { // the second on the same connection
		answer.Store("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
		r := newRequest("head")
		r.Method = "HEAD"
		v, a, err := p.Do(t.Context(), r, &Receipt{}, alwaysClaim)
		if v != lbpolicy.OK || len(a.Body) > 0 || a.Header.Get("Content-Length") != "500" {
			t.Errorf("HEAD: verdict %d, %+v, %v", v, a, err)
		}
	}
}

// The process's bound holds over the clients of all clusters, and every place is given back.
func TestQuotaPoolBoundsConnectionsOfAllClients(t *testing.T) {
	hung := lbtest.NewEndpoint(t, nil)
	total := quota.NewPool(3)
	share := func() *quota.Allocation { return total.Allocate(1, 2) }
	a := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 8, Allocation: share()})
	b := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 8, Allocation: share()})
	ctx, cancel := context.WithCancel(t.Context())
	var held sync.WaitGroup
	for range 2 {
		held.Go(func() { a.Pool(hung.Addr).Do(ctx, newRequest("held"), &Receipt{}, alwaysClaim) })
		<-hung.Arrivals
	}
	if v, _, _ := a.Pool(hung.Addr).Do(ctx, newRequest("over"), &Receipt{}, alwaysClaim); v != lbpolicy.NotSent {
		t.Errorf("over its cap: verdict %d", v)
	}
	quick := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	other := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	for _, addr := range []string{quick.Addr, other.Addr} { // what stands idle makes room
		if v, body := sendRequest(t, b.Pool(addr), "free"); v != lbpolicy.OK {
			t.Errorf("within its reserve: verdict %d %s", v, body)
		}
	}
	cancel()
	held.Wait()
	if n := total.Used(); n != 1 {
		t.Errorf("%d places held, where one connection stands idle", n)
	}
}

// A spoilt answer must leave a request the time for another attempt, whatever the deadlines of its customer.
func TestStallTimeoutLeavesTimeForRetry(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{
		6 * time.Second: maxStall, 3 * time.Second: maxStall, 1100 * time.Millisecond: 275 * time.Millisecond,
		200 * time.Millisecond: minStall, -time.Second: minStall, 100 * time.Second: maxStall,
	} {
		if got := stallTimeout(left); got != want {
			t.Errorf("%v left: %v, want %v", left, got, want)
		}
	}
}
