package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

const classes = `
class "read" {
  aim      = "5s"
  deadline = "15s"
  effect   = "safe"
}
class "write" {
  aim      = "5s"
  deadline = "15s"
  effect   = "keyed"
  scope    = "zone"
  window   = "60s"
  worth    = 10
}
class "once" {
  aim      = "5s"
  deadline = "15s"
  effect   = "unsafe"
}
`

func listener(name, address string) string {
	return fmt.Sprintf("listener %q {\n  address = %q\n  connections = 100\n}\n", name, address)
}

// pool writes a cluster of endpoints; more is added to its block.
func pool(name, more string, addrs ...string) string {
	text := fmt.Sprintf("cluster %q {\n%s\n", name, more)
	for _, a := range addrs {
		text += fmt.Sprintf("endpoint %q {\n  address = %q\n}\n", "at-"+a, a)
	}
	return text + "}\n"
}

func parse(t testing.TB, text string) *conf.File {
	t.Helper()
	f, err := conf.Parse([]byte(classes+text), "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func run(t testing.TB, text string) *Gateway {
	t.Helper()
	g, err := Start(parse(t, text), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// ask makes one request on a connection of its own.
func ask(t testing.TB, g *Gateway, method, target string, lines ...string) (status int, body string, header http.Header) {
	t.Helper()
	return askAt(t, g.Addr("l").String(), method, target, lines...)
}

func askAt(t testing.TB, addr, method, target string, lines ...string) (status int, body string, header http.Header) {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, lbtest.Wait)
	if err != nil {
		t.Error(err)
		return 0, "", nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * lbtest.Wait))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\n", method, target)
	if method == "POST" {
		text += "Content-Length: 2\r\n"
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	text += "\r\n"
	if method == "POST" {
		text += "ok"
	}
	io.WriteString(c, text)
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s %s: %v", method, target, err)
		return 0, "", nil
	}
	head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
	first, fields, _ := strings.Cut(head, "\r\n")
	fmt.Sscanf(first, "HTTP/1.1 %d", &status)
	header = http.Header{}
	for line := range strings.SplitSeq(fields, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		header.Add(name, value)
	}
	return status, body, header
}

// newEchoEndpoint returns an endpoint that answers with its name and what it was sent.
func newEchoEndpoint(t *testing.T, name string) *lbtest.Endpoint {
	t.Helper()
	return lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		a.Write([]byte(lbtest.OK(name + " " + a.Request.Method + " " + a.Request.RequestURI)))
	})
}

func TestRoutes(t *testing.T) {
	t.Parallel()
	one, two := newEchoEndpoint(t, "one"), newEchoEndpoint(t, "two")
	g := run(t, listener("l", "127.0.0.1:0")+pool("one", "", one.Addr)+pool("two", "", two.Addr)+`
route "all" {
  class   = "read"
  cluster = "one"
}
route "api" {
  match {
    prefix = "/api"
  }
  class   = "read"
  cluster = "two"
  rewrite = "/v2"
}
route "write" {
  match {
    path    = "/api/seat"
    methods = ["POST"]
  }
  class   = "write"
  cluster = "two"
}
route "secret" {
  match {
    prefix = "/admin"
  }
  respond {
    status  = 403
    body    = "no"
    headers = { "X-Why" = "admin" }
  }
}
route "moved" {
  match {
    path = "/moved"
  }
  redirect {
    status = 308
    host   = "other.example"
    path   = "/here"
  }
}
`)
	for _, c := range []struct {
		target string
		status int
		body   string
	}{
		{"/", 200, "one GET /"},
		{"/a?x=%2f&y", 200, "one GET /a?x=%2f&y"},
		{"/api/x", 200, "two GET /v2/x"},
		{"/apix", 200, "one GET /apix"},
		{"http://other.example/api?q=1", 200, "two GET /v2?q=1"},
		// Each writing of a path is matched and sent in one form: no route is passed by.
		{"/admin/x", 403, "no"}, {"//admin//x", 403, "no"}, {"/%61dmin", 403, "no"}, {"/x/../admin", 403, "no"},
		{"/x/%2e%2e/admin", 403, "no"}, {"/./admin", 403, "no"}, {"/admin/../admin", 403, "no"},
		{"/admin/..", 200, "one GET /"}, {"//a//b/./c", 200, "one GET /a/b/c"},
		{"/x/..%2fadmin", 400, ""}, {"/x%5c..%5cadmin", 400, ""}, {"/..;/admin", 400, ""}, {"/../admin", 400, ""}, {"/a#b", 400, ""},
		{"/a?b#c", 400, ""}, {"*", 400, ""}, {"https://x/", 400, ""},
	} {
		status, body, h := ask(t, g, "GET", c.target)
		if status != c.status || body != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.target, status, body, c.status, c.body)
		}
		if status == 403 && (h.Get("X-Why") != "admin" || h.Get("Content-Type") == "") {
			t.Errorf("%s: %v", c.target, h)
		}
	}
	if status, _, h := ask(t, g, "GET", "/moved?q=1"); status != 308 || h.Get("Location") != "http://other.example/here?q=1" {
		t.Errorf("redirect: %d %v", status, h)
	}
	if status, body, _ := ask(t, g, "POST", "/api/seat", "Idempotency-Key: k"); status != 200 || body != "two POST /api/seat" {
		t.Errorf("POST: %d %s", status, body)
	}
	if status, _, _ := ask(t, g, "POST", "/api/seat"); status != 400 {
		t.Errorf("without a key: %d", status)
	}
	if status, _, h := ask(t, g, "DELETE", "/"); status != 405 || h.Get("Allow") != "GET, HEAD, OPTIONS" {
		t.Errorf("a method that the class has not: %d %v", status, h)
	}
}

// Each writing of a host is matched in one form.
func TestHosts(t *testing.T) {
	t.Parallel()
	e := newEchoEndpoint(t, "e")
	g := run(t, listener("l", "127.0.0.1:0")+pool("c", "", e.Addr)+`
route "exact" {
  match {
    hosts = ["portal.example"]
  }
  respond {
    status = 200
    body   = "exact"
  }
}
route "suffix" {
  match {
    hosts = ["*.example"]
  }
  respond {
    status = 200
    body   = "suffix"
  }
}
route "six" {
  match {
    hosts = ["[::1]"]
  }
  respond {
    status = 200
    body   = "six"
  }
}
`)
	for host, want := range map[string]string{"portal.example": "exact", "PORTAL.Example:8080": "exact", "portal.example.": "exact",
		"portal.example.:1": "exact", "a.portal.example": "suffix", "other.EXAMPLE": "suffix", "[::1]:80": "six", "[0:0::1]": "six",
		"example": "404", "portal.example.org": "404", "portal..example": "400", "a@portal.example": "400", "portal.example:x": "400"} {
		c := lbtest.Dial(t, g.Addr("l").String())
		c.Send("GET / HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
		status, body := c.Response()
		if got := body; got != want && fmt.Sprint(status) != want {
			t.Errorf("%s: %d %q, want %s", host, status, body, want)
		}
	}
}

// A route's own bounds: attempts, over both clusters, and time.
func TestRouteBounds(t *testing.T) {
	t.Parallel()
	var tries atomic.Int64
	fail := func(a *lbtest.Arrival) {
		tries.Add(1)
		a.Write([]byte("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
	}
	one, two, three := lbtest.NewEndpoint(t, fail), lbtest.NewEndpoint(t, fail), lbtest.NewEndpoint(t, fail)
	hung := lbtest.NewEndpoint(t, func(*lbtest.Arrival) {})
	g := run(t, listener("l", "127.0.0.1:0")+pool("c", "", one.Addr, two.Addr, three.Addr)+pool("d", "", one.Addr)+pool("hung", "", hung.Addr)+`
route "once" {
  match {
    path = "/once"
  }
  class        = "read"
  max_attempts = 1
  cluster      = "c"
  failover     = "d"
}
route "thrice" {
  match {
    path = "/thrice"
  }
  class        = "read"
  max_attempts = 3
  cluster      = "c"
  failover     = "d"
}
route "short" {
  match {
    path = "/short"
  }
  class   = "once"
  timeout = "1s"
  cluster = "hung"
}
`)
	for path, most := range map[string]int64{"/once": 1, "/thrice": 3} {
		tries.Store(0)
		if status, _, h := ask(t, g, "GET", path); status != 503 || tries.Load() > most || tries.Load() < 1 {
			t.Errorf("%s: %d after %d tries %v", path, status, tries.Load(), h)
		}
	}
	if status, _, _ := ask(t, g, "POST", "/short"); status != 504 {
		t.Errorf("out of time: %d", status)
	}
}

// Other statuses than 200 are the endpoint's to say; what would promise that a repeat is harmless is not.
func TestStatuses(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		fmt.Fprintf(a, "HTTP/1.1 %s X\r\nContent-Length: 4\r\nX-Mine: 1\r\nRetry-After: 9\r\n\r\nmine", a.Request.URL.Path[1:])
	})
	g := run(t, listener("l", "127.0.0.1:0")+pool("c", "", e.Addr)+"route \"r\" {\n class = \"once\"\n cluster = \"c\"\n}\n")
	for said, want := range map[int]int{201: 201, 302: 302, 404: 404, 422: 422, 500: 500, 501: 501, 503: 502, 429: 502, 408: 502} {
		status, body, h := ask(t, g, "POST", fmt.Sprint("/", said))
		if passed := body == "mine" && h.Get("X-Mine") == "1"; status != want || passed != (said == want) {
			t.Errorf("%d became %d %q %v", said, status, body, h)
		}
		if status >= 500 && h.Get("Retry-After") != "" {
			t.Errorf("%d: a failure tells when to come back", said)
		}
	}
}

// Headers: what callers say of the way here is dropped where they are not trusted; what a route sets and removes.
func TestHeaders(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		h := a.Request.Header
		a.Write([]byte(lbtest.OK(fmt.Sprintf("%s|%s|%s|%s|%d", h.Get("X-Forwarded-For"), h.Get("X-Set"), h.Get("X-Gone"), h.Get("X-Request-Id"),
			len(h.Get("X-Timeout-Ms"))))))
	})
	g := run(t, listener("l", "127.0.0.1:0")+strings.Replace(listener("t", "127.0.0.1:0"), "connections", "trusted = true\n  connections", 1)+
		pool("c", "", e.Addr)+`route "r" {
  class   = "read"
  cluster = "c"
  set_headers    = { "x-set" = "yes" }
  remove_headers = ["x-gone"]
}
`)
	lines := []string{"X-Forwarded-For: 9.9.9.9", "X-Set: no", "X-Gone: here", "X-Request-Id: mine", "X-Timeout-Ms: 9000"}
	if _, body, _ := ask(t, g, "GET", "/", lines...); body != "127.0.0.1|yes||mine|4" {
		t.Error(body)
	}
	if _, body, _ := askAt(t, g.Addr("t").String(), "GET", "/", lines...); body != "9.9.9.9, 127.0.0.1|yes||mine|4" {
		t.Error(body)
	}
	if _, body, _ := ask(t, g, "GET", "/"); len(strings.Split(body, "|")[3]) != 16 {
		t.Errorf("no id was made: %s", body)
	}
}

// A keyed request that may have run goes to no other cluster: not by failover, not by the split's other side, not by a
// reload that sends its route elsewhere. One that never ran does.
func TestKeyedStays(t *testing.T) {
	t.Parallel()
	var firstRan, secondRan sync.Map
	first := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		firstRan.Store(a.Request.Header.Get("Idempotency-Key"), true)
		a.Close() // it may have run
	})
	second := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		secondRan.Store(a.Request.Header.Get("Idempotency-Key"), true)
		a.OK()
	})
	full := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
	})
	routes := func(to string) string {
		return fmt.Sprintf("route \"k\" {\n class = \"write\"\n failover = \"second\"\n cluster = %q\n}\n", to)
	}
	common := listener("l", "127.0.0.1:0") + pool("first", "", first.Addr) + pool("second", "", second.Addr) + pool("full", "", full.Addr)
	g := run(t, common+routes("first"))
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: a"); status != 502 {
		t.Errorf("failed at the first cluster: %d", status)
	}
	if _, over := secondRan.Load("a"); over {
		t.Fatal("a keyed request that may have run was failed over")
	}
	if err := g.Reload(parse(t, common+strings.Replace(routes("second"), " failover = \"second\"\n", "", 1))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: a"); status != 502 {
		t.Errorf("its repeat after the reload: %d", status)
	}
	if _, over := secondRan.Load("a"); over {
		t.Fatal("a reload took a keyed request that may have run to another cluster")
	}
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: b"); status != 200 {
		t.Errorf("another key: %d", status)
	}
	// The cluster where it may have run is gone: nothing can be promised, and nothing is sent.
	gone := listener("l", "127.0.0.1:0") + pool("second", "", second.Addr) + pool("full", "", full.Addr)
	if err := g.Reload(parse(t, gone+strings.Replace(routes("second"), " failover = \"second\"\n", "", 1))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: a"); status != 502 {
		t.Errorf("its repeat without its cluster: %d", status)
	}
	if _, over := secondRan.Load("a"); over {
		t.Fatal("sent to another cluster as its own has gone")
	}
	if err := g.Reload(parse(t, common+routes("full"))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: c"); status != 200 {
		t.Errorf("what never ran was not failed over: %d", status)
	}
	if _, ran := secondRan.Load("c"); !ran {
		t.Error("what never ran did not come to the failover cluster")
	}
}

// All writes of one key go to one side of a split, whatever the route splits by; a safe request that failed goes over.
func TestSplitAndFailover(t *testing.T) {
	t.Parallel()
	one, two := newEchoEndpoint(t, "one"), newEchoEndpoint(t, "two")
	broken := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.Close() })
	g := run(t, listener("l", "127.0.0.1:0")+pool("one", "", one.Addr)+pool("two", "", two.Addr)+pool("broken", "", broken.Addr)+`
route "w" {
  match {
    methods = ["POST"]
  }
  class    = "write"
  split_by = "header:X-User"
  to "one" {
    weight = 1
  }
  to "two" {
    weight = 1
  }
}
route "r" {
  class    = "read"
  cluster  = "broken"
  failover = "one"
}
`)
	sides := map[string]int{}
	for key := range 24 {
		side := ""
		for user := range 4 {
			_, body, _ := ask(t, g, "POST", "/", fmt.Sprint("Idempotency-Key: k", key), fmt.Sprint("X-User: ", user))
			if side != "" && body != side {
				t.Errorf("key %d went to %q and %q", key, side, body)
			}
			side = body
		}
		sides[side]++
	}
	if len(sides) != 2 {
		t.Errorf("no split: %v", sides)
	}
	if status, body, _ := ask(t, g, "GET", "/x"); status != 200 || body != "one GET /x" {
		t.Errorf("a read that failed was not failed over: %d %s", status, body)
	}
}

// A cluster whose endpoints accept and say nothing takes its share and no more: callers of the healthy one beside it
// notice nothing.
func TestHungCluster(t *testing.T) {
	t.Parallel()
	hung := lbtest.NewEndpoint(t, func(*lbtest.Arrival) {})
	healthy := newEchoEndpoint(t, "healthy")
	g := run(t, `
process {
  sockets = 512
  calls   = 40
}
`+listener("l", "127.0.0.1:0")+pool("hung", "reserve = \"10%\"\nmost = \"50%\"", hung.Addr)+pool("healthy", "reserve = \"40%\"", healthy.Addr)+`
route "hung" {
  match {
    prefix = "/hung"
  }
  class   = "read"
  cluster = "hung"
}
route "healthy" {
  class   = "read"
  cluster = "healthy"
}
`)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var crowd sync.WaitGroup
	for range 80 { // twice the bound on calls of the whole process
		crowd.Go(func() {
			c, err := net.Dial("tcp", g.Addr("l").String())
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, "GET /hung HTTP/1.1\r\nHost: x\r\n\r\n")
			go func() { <-ctx.Done(); c.Close() }()
			io.Copy(io.Discard, c)
		})
	}
	lbtest.Until(t, "the hung cluster has what it may have", func() bool { return g.state.Load().clusters["hung"].InFlight() > 0 })
	for i := range 100 {
		if status, body, _ := ask(t, g, "GET", "/fine"); status != 200 || body != "healthy GET /fine" {
			t.Fatalf("request %d of the healthy cluster: %d %s", i, status, body)
		}
		if n := g.resources.Requests.Used(); n > 40 {
			t.Fatalf("%d calls in work", n)
		}
	}
	cancel()
	crowd.Wait()
	lbtest.Until(t, "nothing is in work", func() bool { return g.resources.Requests.Used() == 0 })
}

// A reload that fails in any part changes nothing.
func TestReloadFails(t *testing.T) {
	t.Parallel()
	one := newEchoEndpoint(t, "one")
	g := run(t, listener("l", "127.0.0.1:0")+pool("c", "", one.Addr)+"route \"r\" {\n class = \"read\"\n cluster = \"c\"\n}\n")
	before := g.Addr("l").String()
	taken := lbtest.Listen(t)
	other := listener("l", "127.0.0.1:0") + listener("n", "127.0.0.1:0") + listener("m", taken.Addr().String()) + pool("d", "", one.Addr) +
		"route \"r\" {\n class = \"read\"\n cluster = \"d\"\n}\n"
	if err := g.Reload(parse(t, other)); err == nil || !strings.Contains(err.Error(), `listener "m"`) {
		t.Fatalf("a taken port: %v", err)
	}
	if g.Addr("n") != nil || g.Addr("l").String() != before || len(g.state.Load().clusters) != 1 {
		t.Error("half a configuration is in force")
	}
	if status, body, _ := ask(t, g, "GET", "/"); status != 200 || body != "one GET /" {
		t.Errorf("%d %s", status, body)
	}
	// A route to a cluster that the same file no longer names never comes to the reload.
	if _, err := conf.Parse([]byte(classes+listener("l", "127.0.0.1:0")+"route \"r\" {\n class = \"read\"\n cluster = \"c\"\n}\n"), "x"); err == nil ||
		!strings.Contains(err.Error(), `no cluster named "c"`) {
		t.Errorf("%v", err)
	}
}

// Requests in work end under the configuration that they began with; a cluster that is no longer named ends with the
// last of them; unchanged clusters keep connections and endpoints that change cluster are served in the new one.
func TestReloadInFlight(t *testing.T) {
	t.Parallel()
	var conns atomic.Int64
	kept := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		if a.Index == 0 {
			conns.Add(1)
		}
		a.OK()
	})
	moving := lbtest.NewEndpoint(t, nil)
	text := func(cl, at string) string {
		return listener("l", "127.0.0.1:0") + pool("kept", "", kept.Addr) + pool(cl, "", at) + fmt.Sprintf(`
route "kept" {
  match {
    prefix = "/kept"
  }
  class   = "read"
  cluster = "kept"
}
route "moving" {
  class   = "write"
  cluster = %q
}
`, cl)
	}
	g := run(t, text("old", moving.Addr))
	ask(t, g, "GET", "/kept")
	type answer struct {
		status int
		body   string
	}
	got := make(chan answer, 1)
	go func() {
		status, body, _ := ask(t, g, "POST", "/", "Idempotency-Key: held", "X-Request-Id: held")
		got <- answer{status, body}
	}()
	held := <-moving.Arrivals
	old := g.state.Load()
	if err := g.Reload(parse(t, text("new", moving.Addr))); err != nil {
		t.Fatal(err)
	}
	if old.clusters["old"].InFlight() != 1 || old.refs.Load() != 1 {
		t.Error("the old state has let go of its request")
	}
	later := make(chan answer, 1)
	go func() {
		status, body, _ := ask(t, g, "POST", "/", "Idempotency-Key: later", "X-Request-Id: later")
		later <- answer{status, body}
	}()
	(<-moving.Arrivals).OK() // by the new cluster
	if a := <-later; a.status != 200 || a.body != "answer to later" {
		t.Errorf("after the reload: %+v", a)
	}
	held.OK()
	if a := <-got; a.status != 200 || a.body != "answer to held" {
		t.Errorf("begun before the reload: %+v", a)
	}
	lbtest.Until(t, "the old state is let go", func() bool { return old.refs.Load() == 0 && old.clusters["old"].refs.Load() == 0 })
	ask(t, g, "GET", "/kept")
	if n := conns.Load(); n != 1 {
		t.Errorf("the unchanged cluster made %d connections", n)
	}
}

// Two clusters may share an address; what drains in one is served in the other.
func TestSharedAddress(t *testing.T) {
	t.Parallel()
	e := newEchoEndpoint(t, "e")
	drained := strings.Replace(pool("a", "", e.Addr), "address", "status = \"draining\"\n address", 1)
	g := run(t, listener("l", "127.0.0.1:0")+drained+pool("b", "", e.Addr)+`
route "a" {
  match {
    prefix = "/a"
  }
  class   = "read"
  cluster = "a"
}
route "b" {
  class   = "read"
  cluster = "b"
}
`)
	if status, _, _ := ask(t, g, "GET", "/a"); status != 503 {
		t.Errorf("sent to one that drains: %d", status)
	}
	if status, _, _ := ask(t, g, "GET", "/b"); status != 200 {
		t.Errorf("the other cluster: %d", status)
	}
}

// 20 reloads a second for some seconds, good and broken files in turn, under traffic of reads and writes: each request
// has one answer, and no write takes effect twice.
func TestReloadStorm(t *testing.T) {
	t.Parallel()
	var nodos []*fake.Endpoint
	for i := range 4 {
		n, err := fake.NewEndpoint(fake.EndpointOptions{Name: fmt.Sprint("n", i), Work: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodos = append(nodos, n)
	}
	text := func(i int) string {
		more := ""
		if i%3 == 0 { // another core: a new balancer
			more = fmt.Sprintf("idle = \"%ds\"", 2+i%5)
		}
		return classes + listener("l", "127.0.0.1:0") + pool("a", more, nodos[i%2].Addr, nodos[2].Addr) + pool("b", "", nodos[3].Addr) +
			fmt.Sprintf("route \"w%d\" {\n match {\n methods = [\"POST\"]\n }\n class = \"write\"\n to \"a\" {\n weight = %d\n }\n to \"b\" {\n weight = 2\n }\n}\n", i, 1+i%4) +
			"route \"r\" {\n class = \"read\"\n cluster = \"a\"\n failover = \"b\"\n}\n"
	}
	path := filepath.Join(t.TempDir(), "silvertrail.hcl")
	if err := os.WriteFile(path, []byte(text(0)), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := conf.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	g, err := Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	addr := g.Addr("l").String()
	reload, ran := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { g.Run(ctx, path, reload); close(ran) }()

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var asked, bad atomic.Int64
	for caller := range 8 {
		callers.Go(func() {
			c := lbtest.Dial(t, addr)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", caller, i)
				asked.Add(1)
				if i%2 == 0 {
					c.Send("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n\r\n")
				} else {
					c.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nIdempotency-Key: " + id + "\r\nX-Request-Id: " + id + "\r\n\r\n")
				}
				c.SetDeadline(time.Now().Add(lbtest.Wait))
				if status, body := c.Response(); status != 200 || !strings.Contains(body, `"id":"`+id+`"`) {
					bad.Add(1)
					t.Errorf("%s: %d %s", id, status, body)
					return
				}
			}
		})
	}
	for i := range 60 { // 3 s
		next := text(i)
		if i%2 == 1 {
			next = next[:len(next)-30] + "nonsense"
		}
		if err := os.WriteFile(path+".new", []byte(next), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
		reload <- struct{}{}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	if asked.Load() < 200 {
		t.Errorf("%d requests test little", asked.Load())
	}
	effects := map[string]int{}
	for _, n := range nodos {
		for key, times := range n.Effects() {
			if effects[key] += times; effects[key] > 1 {
				t.Errorf("%s took effect %d times", key, effects[key])
			}
		}
	}
	states := g.state.Load()
	cancel()
	<-ran
	lbtest.Until(t, "the last state is let go", func() bool { return states.refs.Load() == 0 })
	if g.resources.Requests.Used() != 0 || g.resources.Bodies.Used() != 0 {
		t.Error("calls or bodies are held at the end")
	}
}

// A listener that is no longer named ends: what it holds is answered first.
func TestListenerEnds(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	rest := pool("c", "", e.Addr) + "route \"r\" {\n class = \"read\"\n cluster = \"c\"\n}\n"
	g := run(t, listener("l", "127.0.0.1:0")+listener("old", "127.0.0.1:0")+rest)
	old := g.Addr("old").String()
	caller := lbtest.Dial(t, old)
	caller.Send("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: held\r\n\r\n")
	held := <-e.Arrivals
	if err := g.Reload(parse(t, listener("l", "127.0.0.1:0")+listener("new", "127.0.0.1:0")+rest)); err != nil {
		t.Fatal(err)
	}
	lbtest.Until(t, "the old address is closed", func() bool {
		c, err := net.Dial("tcp", old)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if c, err := net.Dial("tcp", g.Addr("new").String()); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	held.OK()
	if status, body := caller.Response(); status != 200 || body != "answer to held" {
		t.Errorf("%d %s", status, body)
	}
	caller.AwaitClose()
}

// With no more keys to be remembered nothing is sent: a refusal, which tells when to come back. Keys that are remembered
// are served on.
func TestKeysFull(t *testing.T) {
	t.Parallel()
	e := newEchoEndpoint(t, "e")
	g := run(t, "process {\n keys = 16\n}\n"+listener("l", "127.0.0.1:0")+pool("c", "", e.Addr)+"route \"r\" {\n class = \"write\"\n cluster = \"c\"\n}\n")
	for i := range 16 {
		if status, _, _ := ask(t, g, "POST", "/", fmt.Sprint("Idempotency-Key: ", i)); status != 200 {
			t.Fatal(status)
		}
	}
	if status, _, h := ask(t, g, "POST", "/", "Idempotency-Key: new"); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("%d %v", status, h)
	}
	if status, _, _ := ask(t, g, "POST", "/", "Idempotency-Key: 5"); status != 200 {
		t.Errorf("a key that is remembered: %d", status)
	}
}
