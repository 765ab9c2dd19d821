package frontend_test

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/sidecar"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// startServer runs a sidecar without discovery and returns its address. endpoints lists the addresses of its endpoints, separated by spaces.
func startServer(t *testing.T, endpoints string, maxConns int) (*frontend.Server, string) {
	t.Helper()
	return startServerWith(t, endpoints, maxConns, upstream.Options{})
}

// startServerWith is startServer with the callbacks of o for the connections to endpoints.
func startServerWith(t *testing.T, endpoints string, maxConns int, o upstream.Options) (*frontend.Server, string) {
	t.Helper()
	l := lbtest.Listen(t)
	c, err := config.Load(lbtest.WriteConfig(t, "", l.Addr().String(), "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	o.DialTimeout, o.IdleTimeout, o.MaxConns, o.MaxStreamBytes = c.DialTimeout, time.Second, 64, sidecar.MaxBodyBytes
	e, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, PollDiscovery: func() {},
		Client: upstream.NewClient(o), Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	var list []endpointlist.Endpoint
	for i, address := range strings.Split(endpoints, " ") {
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: address, Zone: "a", Status: "ready"})
	}
	e.UpdateEndpoints(lbpolicy.Full, list)
	s := frontend.New(sidecar.NewRouter(c, e, &counters.Set{}, sidecar.Budget{HeapBytes: 64 << 20, BodyBytes: 1 << 20}, quiet), l, admission.SingleGroup(maxConns), log.New(io.Discard, "", 0))
	s.SetReady()
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// Each of these inputs must get an error response or a close within 3 s of connecting. Its connection must be closed. Neither the input nor
// anything after it may reach an endpoint.
func TestMalformedRequestsAreRejected(t *testing.T) {
	hidden := lbtest.Get("hidden")
	both := lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 200", "Transfer-Encoding: chunked")
	inputs := map[string]string{
		"silent":                        "",
		"noise":                         "\x00\x01\x02\r\n\r\n",
		"half a head":                   "GET /read HTTP/1.1\r\nHost: x\r\nX-Requ",
		"endless head":                  "GET /read HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Pad: pppppppp\r\n", 4<<10),
		"half a body":                   lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 200") + "half",
		"60 MB":                         lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 60000000") + strings.Repeat("x", 1<<20),
		"over 32 MiB":                   lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 33554433") + strings.Repeat("x", 1<<20),
		"half of 1 MiB":                 lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 1048576") + strings.Repeat("x", 1<<19),
		"a late bad chunk":              lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked") + "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n0\n\r\n",
		"bad chunk":                     lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked") + "zz\r\n",
		"head over 16 KiB":              lbtest.Get("b", "X-Pad: "+strings.Repeat("p", 17<<10)),
		"chunks in HTTP/1.0":            strings.Replace(lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1) + "2\r\nok\r\n0\r\n\r\n",
		"length and chunks":             both + "0\r\n\r\n" + hidden,
		"length and chunks in HTTP/1.0": strings.Replace(both, "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + hidden,
		"two lengths":                   lbtest.Post("b", "ok", "Content-Length: 2"),
		"negative length":               lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: -4") + "abcd",
		"huge length":                   lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 99999999999999999999"),
		"length too short":              strings.Replace(lbtest.Post("b", "12345"), "Length: 5", "Length: 2", 1),
		"folded":                        lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 2", "Transfer-Encoding:", " chunked") + "ok",
		"line feeds":                    strings.ReplaceAll(lbtest.Get("b"), "\r\n", "\n"),
		"no id":                         "GET /read HTTP/1.1\r\nHost: x\r\n\r\n",
		"two ids":                       lbtest.Get("b", "X-Request-ID: c"),
		"an id that is hop-by-hop":      lbtest.Get("b", "Connection: X-Request-ID"),
		"no class":                      "GET /reader HTTP/1.1\r\nHost: x\r\nX-Request-ID: b\r\n\r\n",
		"another class":                 lbtest.Get("b", "X-Priority-Class: write"),
		"a timeout that is no number":   lbtest.Get("b", "X-Timeout-Ms: soon"),
		"a negative timeout":            lbtest.Get("b", "X-Timeout-Ms: -5"),
		"a body of a GET":               lbtest.Head("GET", "read", "b", "Content-Length: 2") + "ok",
		"no key":                        lbtest.Head("POST", "write", "b", "Content-Length: 0"),
	}
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 64)
	t.Run("all", func(t *testing.T) {
		for name, text := range inputs {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := lbtest.Dial(t, addr)
				go c.Send(text)
				status, _ := c.Response()
				if status != 0 && status < 400 || status == 503 || status == 429 {
					t.Errorf("status %d, want an error other than 429 and 503", status)
				}
				c.AwaitClose()
			})
		}
	})
	lbtest.Until(t, "all connections closed", func() bool { return s.Conns() == 0 })
	select {
	case a := <-e.Arrivals:
		t.Errorf("request %s reached the endpoint", a.Request.Header.Get("X-Request-Id"))
	default:
	}
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("good"))
	(<-e.Arrivals).OK()
	if status, body := c.Response(); status != 200 || body != "answer to good" {
		t.Errorf("valid request: status %d, body %q", status, body)
	}
}

// Valid requests and their responses must be forwarded unchanged, including chunked bodies, the largest buffered body, and several requests
// on one connection.
func TestValidRequestsAreForwardedUnchanged(t *testing.T) {
	large := strings.Repeat("x", 64<<10)
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Body == large { // returns the body, so that the response is large, too
			a.Write([]byte(lbtest.OK(a.Body)))
			return
		}
		a.Write([]byte(lbtest.OK(a.Request.Method + a.Request.RequestURI + a.Request.Header.Get("Idempotency-Key") + a.Body)))
	})
	_, addr := startServer(t, e.Addr, 8)
	c := lbtest.Dial(t, addr)
	for i, want := range []string{"GET/read", large, "GET/read?a=%20b", "POST/writek-3two",
		"POST/writekchunks"} {
		id := fmt.Sprint(i)
		c.Send([]string{lbtest.Get(id), lbtest.Post(id, large),
			strings.Replace(lbtest.Get(id), "/read", "/read?a=%20b", 1), lbtest.Post(id, "two"),
			lbtest.Head("POST", "write", id, "Idempotency-Key: k", "Transfer-Encoding: chunked") + "6\r\nchunks\r\n0\r\n\r\n"}[i])
		if status, body := c.Response(); status != 200 || body != want {
			t.Fatalf("request %d: status %d, body %.60q", i, status, body)
		}
	}
}

// A request whose id belongs to a request in flight or a recent one must get 409. It must not be forwarded, nor rejected with a status that
// promises a safe retry.
func TestDuplicateRequestIDGetsConflict(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	_, addr := startServer(t, e.Addr, 8)
	owner := lbtest.Dial(t, addr)
	owner.Send(lbtest.Get("one"))
	a := <-e.Arrivals
	for range 2 {
		duplicate := lbtest.Dial(t, addr)
		duplicate.Send(lbtest.Get("one"))
		if status, _ := duplicate.Response(); status != 409 {
			t.Errorf("status %d, want 409", status)
		}
		if a != nil {
			a.OK()
			if status, body := owner.Response(); status != 200 || body != "answer to one" {
				t.Errorf("first request with the id: status %d, body %q", status, body)
			}
		}
		a = nil
	}
	if len(e.Arrivals) > 0 {
		t.Error("a request with a duplicate id was forwarded")
	}
}

// Connections on which no request is sent must not keep a new client from being served, regardless of their number.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	_, addr := startServer(t, e.Addr, 4)
	for range 48 { // waiting for the head timeout of every four of them would take too long
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("one"))
	if status, _ := c.Response(); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}

// During a shutdown, clients must be served on existing and new connections until serveUntil. Then idle connections are closed, and a request
// in flight still gets its response.
func TestShutdownServesClientsUntilClose(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 8)
	kept := lbtest.Dial(t, addr)
	sendAndExpectOK := func(c *lbtest.Client, id string) {
		t.Helper()
		c.Send(lbtest.Get(id))
		select {
		case a := <-e.Arrivals:
			a.OK()
		case <-time.After(lbtest.Wait):
			t.Fatal("request not forwarded: " + id)
		}
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			t.Errorf("request %s: status %d, body %q", id, status, body)
		}
	}
	sendAndExpectOK(kept, "before")
	ended := make(chan struct{})
	go s.Shutdown(time.Now().Add(10*lbtest.Wait), time.Now().Add(20*lbtest.Wait))
	lbtest.Until(t, "readiness check fails", func() bool {
		c := lbtest.Dial(t, addr)
		defer c.Close()
		c.Send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _ := c.Response()
		return status == 503
	})
	sendAndExpectOK(kept, "first")
	sendAndExpectOK(kept, "second")
	sendAndExpectOK(lbtest.Dial(t, addr), "new")

	last := lbtest.Dial(t, addr)
	last.Send(lbtest.Get("last"))
	delayed := <-e.Arrivals
	go func() { s.Shutdown(time.Now(), time.Now().Add(lbtest.Wait)); close(ended) }()
	if rest := kept.AwaitClose(); rest != "" {
		t.Errorf("the idle connection got %q before its close", rest)
	}
	delayed.OK()
	if status, body := last.Response(); status != 200 || body != "answer to last" {
		t.Errorf("request in flight at the close: status %d, body %q", status, body)
	}
	<-ended
}

// Connections that are in the accept queue when a shutdown begins, because all slots are in use, must be served. Closing the listener would
// reset them and lose the requests written on them.
func TestShutdownServesAcceptQueue(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 1)
	first := lbtest.Dial(t, addr)
	first.Send(lbtest.Get("first"))
	delayed := <-e.Arrivals
	var queued []*lbtest.Client
	for _, id := range []string{"second", "third", "fourth"} { // one waits for a slot, the others in the accept queue
		c := lbtest.Dial(t, addr)
		c.Send(lbtest.Get(id))
		queued = append(queued, c)
	}
	ended := make(chan struct{})
	go func() { s.Shutdown(time.Now(), time.Now().Add(lbtest.Wait)); close(ended) }()
	time.Sleep(100 * time.Millisecond) // an early close would have happened by then; a shorter wait checks less but does not fail
	delayed.OK()
	if status, _ := first.Response(); status != 200 {
		t.Errorf("first request: status %d, want 200", status)
	}
	for _, c := range queued {
		select {
		case a := <-e.Arrivals:
			a.OK()
		case <-time.After(lbtest.Wait):
			t.Fatal("queued request not forwarded")
		}
		if status, _ := c.Response(); status != 200 {
			t.Errorf("queued request: status %d, want 200", status)
		}
	}
	<-ended
}
