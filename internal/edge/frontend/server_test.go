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

// startServer runs a sidecar without discovery in front of endpoints, one blank between them, and returns its address.
func startServer(t *testing.T, endpoint string, maxConns int) (*frontend.Server, string) {
	t.Helper()
	l := lbtest.Listen(t)
	c, err := config.Load(lbtest.WriteConfig(t, "", l.Addr().String(), "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	h, err := engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Watch: func() {},
		Client: upstream.NewClient(upstream.Options{DialTimeout: c.DialTimeout, IdleTimeout: time.Second, MaxConns: 64,
			MaxStreamBytes: sidecar.MaxBodyBytes}), Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	var list []endpointlist.Endpoint
	for i, address := range strings.Split(endpoint, " ") {
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: address, Zone: "a", Status: "ready"})
	}
	h.UpdateEndpoints(lbpolicy.Full, list)
	s := frontend.New(sidecar.NewRouter(c, h, &counters.Set{}, 1<<20), l, admission.SingleGroup(maxConns), log.New(io.Discard, "", 0))
	s.SetReady()
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// Each of these is owed an error or a close within 3 s of connecting, keeps no connection, and never comes to an
// endpoint, nor does anything behind it.
func TestBadCallers(t *testing.T) {
	hidden := lbtest.Get("hidden")
	both := lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 200", "Transfer-Encoding: chunked")
	bad := map[string]string{
		"silent":               "",
		"noise":                "\x00\x01\x02\r\n\r\n",
		"half a head":          "GET /read HTTP/1.1\r\nHost: x\r\nX-Requ",
		"endless head":         "GET /read HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Pad: pppppppp\r\n", 4<<10),
		"half a body":          lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 200") + "half",
		"60 MB":                lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 60000000") + strings.Repeat("x", 1<<20),
		"over 32 MiB":          lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 33554433") + strings.Repeat("x", 1<<20),
		"half of 1 MiB":        lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 1048576") + strings.Repeat("x", 1<<19),
		"a bad chunk far in":   lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked") + "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n0\n\r\n",
		"bad chunk":            lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked") + "zz\r\n",
		"head over 16 KiB":     lbtest.Get("b", "X-Pad: "+strings.Repeat("p", 17<<10)),
		"chunks in HTTP/1.0":   strings.Replace(lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Transfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1) + "2\r\nok\r\n0\r\n\r\n",
		"length and chunks":    both + "0\r\n\r\n" + hidden,
		"the same in HTTP/1.0": strings.Replace(both, "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + hidden,
		"two lengths":          lbtest.Post("b", "ok", "Content-Length: 2"),
		"negative length":      lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: -4") + "abcd",
		"huge length":          lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 99999999999999999999"),
		"length too short":     strings.Replace(lbtest.Post("b", "12345"), "Length: 5", "Length: 2", 1),
		"folded":               lbtest.Head("POST", "write", "b", "Idempotency-Key: k", "Content-Length: 2", "Transfer-Encoding:", " chunked") + "ok",
		"line feeds":           strings.ReplaceAll(lbtest.Get("b"), "\r\n", "\n"),
		"no id":                "GET /read HTTP/1.1\r\nHost: x\r\n\r\n",
		"two ids":              lbtest.Get("b", "X-Request-ID: c"),
		"an id stripped":       lbtest.Get("b", "Connection: X-Request-ID"),
		"no class":             "GET /reader HTTP/1.1\r\nHost: x\r\nX-Request-ID: b\r\n\r\n",
		"another class":        lbtest.Get("b", "X-Priority-Class: write"),
		"a deadline of words":  lbtest.Get("b", "X-Timeout-Ms: soon"),
		"a negative deadline":  lbtest.Get("b", "X-Timeout-Ms: -5"),
		"a body where none is": lbtest.Head("GET", "read", "b", "Content-Length: 2") + "ok",
		"no key":               lbtest.Head("POST", "write", "b", "Content-Length: 0"),
	}
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 64)
	t.Run("all", func(t *testing.T) {
		for name, text := range bad {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := lbtest.Dial(t, addr)
				go c.Send(text)
				status, _ := c.Response()
				if status != 0 && status < 400 || status == 503 || status == 429 {
					t.Errorf("status %d", status)
				}
				c.AwaitClose()
			})
		}
	})
	lbtest.Until(t, "no connection is kept", func() bool { return s.Conns() == 0 })
	select {
	case a := <-e.Arrivals:
		t.Errorf("%s came to the endpoint", a.Request.Header.Get("X-Request-Id"))
	default:
	}
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("good"))
	(<-e.Arrivals).OK()
	if status, body := c.Response(); status != 200 || body != "answer to good" {
		t.Errorf("a good caller: %d %q", status, body)
	}
}

// What is good passes unchanged, also in chunks, with the largest body, and one behind the other on a connection.
func TestGoodCallers(t *testing.T) {
	large := strings.Repeat("x", 64<<10)
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Body == large { // back as it came: the largest answer too
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
			t.Fatalf("request %d: %d %.60q", i, status, body)
		}
	}
}

// An id that is in use, or was lately, is another's: it is neither passed on nor refused.
func TestIDInUse(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	_, addr := startServer(t, e.Addr, 8)
	owner := lbtest.Dial(t, addr)
	owner.Send(lbtest.Get("one"))
	a := <-e.Arrivals
	for range 2 {
		thief := lbtest.Dial(t, addr)
		thief.Send(lbtest.Get("one"))
		if status, _ := thief.Response(); status != 409 {
			t.Errorf("status %d", status)
		}
		if a != nil {
			a.OK()
			if status, body := owner.Response(); status != 200 || body != "answer to one" {
				t.Errorf("the owner: %d %q", status, body)
			}
		}
		a = nil
	}
	if len(e.Arrivals) > 0 {
		t.Error("passed on")
	}
}

// Connections that say nothing never keep a client out, however many.
func TestSilentCrowd(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	_, addr := startServer(t, e.Addr, 4)
	for range 48 { // a head's time for each four of them would be too long
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c := lbtest.Dial(t, addr)
	c.Send(lbtest.Get("one"))
	if status, _ := c.Response(); status != 200 {
		t.Errorf("status %d", status)
	}
}

// A process that is asked to end serves clients on, on kept connections and new ones, until it is time to close them.
func TestEnd(t *testing.T) {
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 8)
	kept := lbtest.Dial(t, addr)
	ask := func(c *lbtest.Client, id string) {
		t.Helper()
		c.Send(lbtest.Get(id))
		select {
		case a := <-e.Arrivals:
			a.OK()
		case <-time.After(lbtest.Wait):
			t.Fatal("not passed on: " + id)
		}
		if status, body := c.Response(); status != 200 || body != "answer to "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
	ask(kept, "before")
	ended := make(chan struct{})
	go s.Shutdown(time.Now().Add(10*lbtest.Wait), time.Now().Add(20*lbtest.Wait))
	lbtest.Until(t, "not ready", func() bool {
		c := lbtest.Dial(t, addr)
		defer c.Close()
		c.Send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _ := c.Response()
		return status == 503
	})
	ask(kept, "first")
	ask(kept, "second")
	ask(lbtest.Dial(t, addr), "new")

	last := lbtest.Dial(t, addr)
	last.Send(lbtest.Get("last"))
	held := <-e.Arrivals
	go func() { s.Shutdown(time.Now(), time.Now().Add(lbtest.Wait)); close(ended) }()
	if rest := kept.AwaitClose(); rest != "" {
		t.Errorf("before the end came %q", rest)
	}
	held.OK()
	if status, body := last.Response(); status != 200 || body != "answer to last" {
		t.Errorf("held at the end: %d %q", status, body)
	}
	<-ended
}

// Connections that the system has taken and the process has not, as its places are all in use, are served when it ends:
// closing the listener would reset them with the requests that stand on them.
func TestEndQueued(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	s, addr := startServer(t, e.Addr, 1)
	first := lbtest.Dial(t, addr)
	first.Send(lbtest.Get("first"))
	held := <-e.Arrivals
	var queued []*lbtest.Client
	for _, id := range []string{"second", "third", "fourth"} { // one waits for its place, the others to be taken
		c := lbtest.Dial(t, addr)
		c.Send(lbtest.Get(id))
		queued = append(queued, c)
	}
	ended := make(chan struct{})
	go func() { s.Shutdown(time.Now(), time.Now().Add(lbtest.Wait)); close(ended) }()
	time.Sleep(100 * time.Millisecond) // what closes at once has closed; less does no harm
	held.OK()
	if status, _ := first.Response(); status != 200 {
		t.Errorf("first: %d", status)
	}
	for _, c := range queued {
		select {
		case a := <-e.Arrivals:
			a.OK()
		case <-time.After(lbtest.Wait):
			t.Fatal("not passed on")
		}
		if status, _ := c.Response(); status != 200 {
			t.Errorf("one that waited: %d", status)
		}
	}
	<-ended
}
