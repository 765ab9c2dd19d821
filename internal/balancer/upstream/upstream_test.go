package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
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

func newClient(idleTimeout time.Duration) *Client {
	return NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: idleTimeout, MaxConns: 4})
}

func alwaysClaim() bool { return true }

// sendRequest sends a request in one attempt, and returns its verdict and the body of the response. The test fails if the attempt takes
// longer than lbtest.Wait.
func sendRequest(t *testing.T, p *Pool, id string) (lbpolicy.Verdict, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	verdict, response, _ := p.Do(ctx, newRequest(id), &AttemptProgress{}, alwaysClaim)
	if ctx.Err() != nil {
		t.Fatal("the attempt did not end before the test's timeout")
	}
	if response == nil {
		return verdict, ""
	}
	return verdict, string(response.Body)
}

// A malformed response ends the attempt before its deadline with the verdict Error, as the request may have run. Its connection is
// closed, although the endpoint keeps it open. A valid response succeeds whatever informational responses come before it and whatever
// bytes follow it.
func TestMalformedResponsesAreErrorsAndValidOnesSucceed(t *testing.T) {
	malformed := map[string]string{
		"garbage":                         "\x01\x02\xff\r\n\r\n",
		"garbage without line end":        "\x01\x02\xff",
		"other protocol":                  "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"invalid status code":             "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
		"field without colon":             "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
		"two content lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"content length and chunked":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"negative content length":         "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
		"endless head":                    "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppp\r\n", 8<<10),
		"incomplete head":                 "HTTP/1.1 200 OK\r\nContent-Le",
		"content length of 3 GB":          "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"chunk over 64 KiB":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000),
		"invalid chunk size":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n",
		"endless informational responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100),
	}
	valid := map[string]string{
		"content length":                lbtest.OK("ok"),
		"chunked with trailer":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n",
		"informational responses first": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + lbtest.OK("ok"),
		"followed by another response":  lbtest.OK("ok") + lbtest.OK("xx"),
		"followed by garbage":           lbtest.OK("ok") + "\x01\x02",
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) { t.Parallel(); checkResponse(t, text, lbpolicy.Error, "") })
	}
	for name, text := range valid {
		t.Run(name, func(t *testing.T) { t.Parallel(); checkResponse(t, text, lbpolicy.OK, "ok") })
	}
}

// An endpoint may still be writing a body that has stopped, so that the attempt goes on until the request's deadline, and reports the stall
// to the policy before. A body that stays incomplete is an error then, and its connection is closed.
func TestStalledBodyIsReportedAndEndsAtDeadline(t *testing.T) {
	const timeLeft = 2 * time.Second
	for name, text := range map[string]string{
		"body shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"missing last chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
				if a.Request.Header.Get("X-Request-Id") == "one" {
					a.Write([]byte(text))
					return
				}
				a.OK()
			})
			c := newClient(lbtest.Wait)
			p := c.Pool(e.Addr)
			defer p.Close()
			r, progress := newRequest("one"), &AttemptProgress{}
			r.Deadline = time.Now().Add(timeLeft)
			stalled := make(chan bool, 1)
			go func() {
				stalled <- lbtest.Eventually(func() bool {
					return progress.ResponseProgress() == lbpolicy.ResponseStalled || time.Now().After(r.Deadline)
				}) &&
					time.Now().Before(r.Deadline)
			}()
			verdict, _, err := p.Do(context.Background(), r, progress, alwaysClaim)
			if verdict != lbpolicy.Error || !errors.Is(err, errMalformed) {
				t.Errorf("verdict %d, error %v", verdict, err)
			}
			if time.Now().Before(r.Deadline) {
				t.Error("the attempt ended before its deadline")
			}
			if !<-stalled {
				t.Error("the stall was not reported before the deadline")
			}
			if n := c.OpenConns(); n != 0 {
				t.Errorf("%d connections are open, want none", n)
			}
			if v, got := sendRequest(t, p, "two"); v != lbpolicy.OK || got != "answer to two" {
				t.Errorf("second request: verdict %d, body %q", v, got)
			}
		})
	}
}

// checkResponse sends a request to an endpoint that writes text, and checks the verdict and the body. It then checks that a second
// request succeeds, and that it uses another connection if the response was malformed or followed by more bytes.
func checkResponse(t *testing.T, text string, verdict lbpolicy.Verdict, body string) {
	t.Helper()
	mustClose := verdict != lbpolicy.OK || strings.Contains(text, "xx") || strings.HasSuffix(text, "\x02")
	first := true
	var secondIndex int
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if first {
			first = false
			a.Write([]byte(text))
			return
		}
		secondIndex = a.Index
		a.OK()
	})
	c := newClient(lbtest.Wait)
	p := c.Pool(e.Addr)
	defer p.Close()
	if v, got := sendRequest(t, p, "one"); v != verdict || got != body {
		t.Errorf("first request: verdict %d, body %q", v, got)
	}
	if v, got := sendRequest(t, p, "two"); v != lbpolicy.OK || got != "answer to two" {
		t.Errorf("second request: verdict %d, body %q", v, got)
	}
	if mustClose && secondIndex != 0 {
		t.Error("the second request was sent on the same connection")
	}
	if n := c.OpenConns(); n != 1 {
		t.Errorf("%d connections are open, want 1", n)
	}
}

// A response that arrives on an idle connection must not be taken for the response to the next request. The connection is discarded.
func TestUnsolicitedResponseDiscardsIdleConnection(t *testing.T) {
	answered := make(chan *lbtest.Arrival, 1)
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Request.Header.Get("X-Request-Id") == "one" {
			answered <- a
		}
		a.OK()
	})
	c := newClient(lbtest.Wait)
	p := c.Pool(e.Addr)
	defer p.Close()
	if v, _ := sendRequest(t, p, "one"); v != lbpolicy.OK {
		t.Fatal(v)
	}
	a := <-answered
	a.Write([]byte(lbtest.OK("a stranger's")))
	// On loopback, the bytes have arrived at the client when Write returns.
	if v, body := sendRequest(t, p, "two"); v != lbpolicy.OK || body != "answer to two" {
		t.Errorf("second request: verdict %d, body %q", v, body)
	}
}

// Verdicts distinguish outcomes that prove that the request never ran from outcomes after which it may have run.
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
				t.Errorf("verdict %d, want %d", v, verdict)
			}
		})
	}
	l := lbtest.Listen(t)
	l.Close()
	if v, _ := sendRequest(t, newClient(lbtest.Wait).Pool(l.Addr().String()), "one"); v != lbpolicy.ConnectFailed {
		t.Errorf("connection refused: verdict %d, want ConnectFailed", v)
	}
}

// The sweep closes an idle connection when the endpoint closes it, when bytes arrive on it, and when its idle timeout has passed.
func TestUnusableIdleConnectionIsClosed(t *testing.T) {
	for name, idleTimeout := range map[string]time.Duration{"close": lbtest.Wait, "noise": lbtest.Wait, "time": time.Millisecond} {
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
			c := newClient(idleTimeout)
			p := c.Pool(e.Addr)
			defer p.Close()
			if v, _ := sendRequest(t, p, "one"); v != lbpolicy.OK {
				t.Fatal(v)
			}
			lbtest.Until(t, "idle connection is closed", func() bool { return c.OpenConns() == 0 })
		})
	}
}

// Endpoints may drop idle connections before the configured idle timeout. Only the first request on a dropped connection fails: the
// client then no longer reuses connections that have been idle as long.
func TestIdleLimitIsLearnedFromOneReset(t *testing.T) {
	const idleTime = 300 * time.Millisecond
	var dropped atomic.Bool
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index > 0 && dropped.Load() {
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
	if v, _ := sendRequest(t, p, "two"); v != lbpolicy.OK { // the connection is reused
		t.Fatal(v)
	}
	dropped.Store(true)
	resets := 0
	for i := range 6 {
		time.Sleep(idleTime) // a longer sleep does not change the result
		if v, _ := sendRequest(t, p, fmt.Sprint(i)); v == lbpolicy.Reset {
			resets++
		}
	}
	if resets != 1 {
		t.Errorf("%d of six requests were sent on dropped connections, want 1", resets)
	}
}

// With Options.AnyStatus, a response that is meant for the client is a success. Responses that prove that the request never ran, and
// responses that report a failure of the endpoint, keep their verdicts. A response to HEAD has no body, whatever its Content-Length.
func TestAnyStatusAcceptsResponsesMeantForClient(t *testing.T) {
	var responseText atomic.Value
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.Write([]byte(responseText.Load().(string))) })
	p := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 4, AnyStatus: true}).Pool(e.Addr)
	for head, want := range map[string]lbpolicy.Verdict{
		"201 Created": lbpolicy.OK, "204 No Content": lbpolicy.OK, "302 Found": lbpolicy.OK, "404 Not Found": lbpolicy.OK,
		"408 Request Timeout": lbpolicy.Error, "429 Too Many Requests": lbpolicy.Error, "500 Oops": lbpolicy.Error,
		"503 Busy": lbpolicy.Error, "503 Busy\r\nX-Not-Processed: 1": lbpolicy.ServerFull,
		"429 Busy\r\nX-Not-Processed: 1": lbpolicy.ServerFull, "101 Switching Protocols": lbpolicy.Error,
	} {
		responseText.Store("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n")
		if v, _ := sendRequest(t, p, head); v != want {
			t.Errorf("%s: verdict %d, want %d", head, v, want)
		}
	}
	for range 2 { // the second request reuses the connection
		responseText.Store("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
		r := newRequest("head")
		r.Method = "HEAD"
		v, response, err := p.Do(t.Context(), r, &AttemptProgress{}, alwaysClaim)
		if v != lbpolicy.OK || len(response.Body) > 0 || response.Header.Get("Content-Length") != "500" {
			t.Errorf("HEAD: verdict %d, response %+v, error %v", v, response, err)
		}
	}
}

// The process's connection limit holds across the clients of all clusters, and every connection slot is released.
func TestQuotaPoolBoundsConnectionsOfAllClients(t *testing.T) {
	hanging := lbtest.NewEndpoint(t, nil)
	total := quota.NewPool(3)
	newAllocation := func() *quota.Allocation { return total.Allocate(1, 2) }
	a := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 8, Allocation: newAllocation()})
	b := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 8, Allocation: newAllocation()})
	ctx, cancel := context.WithCancel(t.Context())
	var inFlight sync.WaitGroup
	for range 2 {
		inFlight.Go(func() { a.Pool(hanging.Addr).Do(ctx, newRequest("held"), &AttemptProgress{}, alwaysClaim) })
		<-hanging.Arrivals
	}
	if v, _, _ := a.Pool(hanging.Addr).Do(ctx, newRequest("over"), &AttemptProgress{}, alwaysClaim); v != lbpolicy.NotSent {
		t.Errorf("request above the allocation's limit: verdict %d, want NotSent", v)
	}
	quick := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	other := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	for _, addr := range []string{quick.Addr, other.Addr} { // an idle connection is closed to free a slot
		if v, body := sendRequest(t, b.Pool(addr), "free"); v != lbpolicy.OK {
			t.Errorf("request within the allocation's reserve: verdict %d, body %s", v, body)
		}
	}
	cancel()
	inFlight.Wait()
	if n := total.Used(); n != 1 {
		t.Errorf("%d connection slots in use, want 1 for the idle connection", n)
	}
}

// A malformed response must leave a request time for another attempt, whatever deadlines the settings give its class.
func TestStallTimeoutLeavesTimeForRetry(t *testing.T) {
	for timeLeft, want := range map[time.Duration]time.Duration{
		6 * time.Second: maxStall, 3 * time.Second: maxStall, 1100 * time.Millisecond: 275 * time.Millisecond,
		200 * time.Millisecond: minStall, -time.Second: minStall, 100 * time.Second: maxStall,
	} {
		if got := stallTimeout(timeLeft); got != want {
			t.Errorf("%v left: stall timeout %v, want %v", timeLeft, got, want)
		}
	}
}

// Responses that are held whole for clients that read slowly take 64 KiB each, whatever the process's memory.
func TestResponseOverBufferIsStreamed(t *testing.T) {
	const (
		size        = 40 << 10
		bufferBytes = 8 << 10
	)
	body := strings.Repeat("0123456789", size/10)
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", len(body)), "close": "Connection: close"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
				fmt.Fprintf(a, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", head, body)
				a.Close()
			})
			p := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 4, MaxStreamBytes: 1 << 20, BufferBytes: bufferBytes}).Pool(e.Addr)
			defer p.Close()
			verdict, response, err := p.Do(t.Context(), newRequest("one"), &AttemptProgress{}, alwaysClaim)
			if verdict != lbpolicy.OK || err != nil || response.Stream == nil {
				t.Fatalf("verdict %d, error %v, response %+v", verdict, err, response)
			}
			defer response.Stream.Close()
			if cap(response.Body) > bufferBytes+1 {
				t.Errorf("%d bytes are buffered, the limit is %d", cap(response.Body), bufferBytes)
			}
			rest, err := io.ReadAll(response.Stream)
			if err != nil || string(response.Body)+string(rest) != body {
				t.Errorf("%d and %d bytes of %d, error %v", len(response.Body), len(rest), len(body), err)
			}
		})
	}
}

// An endpoint that sends an informational response and then works on the request is taken for one that has stopped within its response.
func TestInformationalResponseIsNoStalledResponse(t *testing.T) {
	release := make(chan struct{})
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
		<-release
		a.OK()
	})
	informed := make(chan struct{})
	p := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 4, OnInformational: func() { close(informed) }}).Pool(e.Addr)
	defer p.Close()
	progress := &AttemptProgress{}
	verdict := make(chan lbpolicy.Verdict, 1)
	go func() {
		v, _, _ := p.Do(context.Background(), newRequest("one"), progress, alwaysClaim)
		verdict <- v
	}()
	<-informed
	if got := progress.ResponseProgress(); got != lbpolicy.ResponseAwaited {
		t.Errorf("progress %d behind an informational response, want that of an awaited one", got)
	}
	close(release)
	if v := <-verdict; v != lbpolicy.OK {
		t.Errorf("verdict %d", v)
	}
}

// A response whose bytes have arrived while this process stood still is taken for one that has stopped, and is cut off.
func TestUnreadBytesOfLongResponseAreNoPause(t *testing.T) {
	const (
		firstPart = 40 << 10
		wholeSize = 100 << 10
	)
	body := strings.Repeat("0123456789", wholeSize/10)
	rest := make(chan struct{})
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		fmt.Fprintf(a, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:firstPart])
		<-rest
		io.WriteString(a, body[firstPart:])
		a.Close()
	})
	p := NewClient(Options{DialTimeout: lbtest.Wait, IdleTimeout: lbtest.Wait, MaxConns: 4, MaxStreamBytes: 1 << 20}).Pool(e.Addr)
	defer p.Close()
	_, response, err := p.Do(t.Context(), newRequest("one"), &AttemptProgress{}, alwaysClaim)
	if err != nil || response.Stream == nil {
		t.Fatalf("response %+v, error %v", response, err)
	}
	defer response.Stream.Close()
	close(rest)
	time.Sleep(maxLargeGap + 50*time.Millisecond) // nothing is read
	response.Stream.SetDeadline(time.Now().Add(-2 * lateResponseTime))
	got, err := io.ReadAll(response.Stream)
	if err != nil || string(response.Body)+string(got) != body {
		t.Errorf("%d and %d bytes of %d, error %v", len(response.Body), len(got), len(body), err)
	}
}
