package gateway

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

func keyed(id string) string {
	return fmt.Sprintf("POST /w/%s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\nok", id, id)
}

// awaitResponse sends a request and reads its answer; status 0: the connection ended without one.
func awaitResponse(c net.Conn, text string) (status int, after time.Duration) {
	io.WriteString(c, text)
	return lbtest.ReadResponse(bufio.NewReader(c))
}

// counted counts effects by path.
type counted struct {
	mu   sync.Mutex
	seen map[string]int
}

func (l *counted) add(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[path]++
}

const byAddress = `
clients "secretarias" {
  networks = ["127.0.0.3"]
}
clients "kept-out" {
  networks = ["127.0.0.66-127.0.0.67"]
  deny     = true
}
`

// A flood from one address, with whole requests, halves of heads and silence, over reloads: known clients are served
// throughout, parents come in by coming back when they are told, and what was refused has taken no effect.
func TestFlood(t *testing.T) {
	t.Parallel()
	effects := counted{seen: map[string]int{}}
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		effects.add(a.Request.URL.Path)
		time.Sleep(2 * time.Millisecond)
		a.OK()
	})
	config := func(places int) string {
		return byAddress + fmt.Sprintf(`
listener "l" {
  address     = "127.0.0.1:0"
  connections = %d
  guard       = "500ms"
  reserve "secretarias" {
    places = 6
  }
}
`, places) + pool("one", "", e.Addr) + `
route "all" {
  class   = "write"
  cluster = "one"
}
`
	}
	g := run(t, config(24))
	addr := g.Addr("l").String()

	var statuses sync.Map // by id
	try := func(from, id string) (status int, after time.Duration) {
		c, err := lbtest.DialFrom(from, addr)
		if err != nil {
			t.Error(err)
			return 0, 0
		}
		defer c.Close()
		status, after = awaitResponse(c, keyed(id))
		statuses.Store(id, status)
		return status, after
	}
	var flood, callers sync.WaitGroup
	stop := make(chan struct{})
	running := func() bool {
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	var sent atomic.Int64
	for i := range 40 {
		flood.Go(func() {
			for n := 0; running() && n < 100000; n++ {
				switch i % 4 {
				case 0: // whole requests
					sent.Add(1)
					try("127.0.0.2", fmt.Sprintf("flood-%d-%d", i, n))
				case 1, 2: // half a head, or none, held until it is ended
					c, err := lbtest.DialFrom("127.0.0.2", addr)
					if err != nil {
						t.Error(err)
						return
					}
					if i%4 == 1 {
						io.WriteString(c, "GET /half HTTP/1.1\r\nHost: ")
					}
					io.Copy(io.Discard, c)
					c.Close()
				default: // one that keeps its connection and asks from time to time
					c, err := lbtest.DialFrom("127.0.0.2", addr)
					if err != nil {
						t.Error(err)
						return
					}
					from := bufio.NewReader(c)
					for k := 0; running(); k++ {
						id := fmt.Sprintf("kept-%d-%d-%d", i, n, k)
						io.WriteString(c, keyed(id))
						status, _ := lbtest.ReadResponse(from)
						statuses.Store(id, status)
						if status != 200 {
							break
						}
					}
					c.Close()
				}
			}
		})
	}
	lbtest.Until(t, "the flood has its share of what is not reserved", func() bool {
		v := g.listenerStatus(0, netip.Addr{})[0]
		return v.Groups[0].InUse >= 12 && len(v.Groups[0].Rejected) > 0
	})
	for i := range 3 {
		callers.Go(func() {
			for n := range 40 {
				if status, _ := try("127.0.0.3", fmt.Sprintf("secretary-%d-%d", i, n)); status != 200 {
					t.Errorf("a secretary got %d", status)
				}
			}
		})
	}
	for i := range 12 {
		callers.Go(func() {
			id := fmt.Sprintf("parent-%d", i)
			for n := range 60 {
				status, after := try(fmt.Sprintf("127.0.1.%d", i+1), fmt.Sprintf("%s-%d", id, n))
				if status == 200 {
					return
				}
				if (status == 503 || status == 429) && after <= 0 {
					t.Errorf("refused with %d and no time to come back", status)
				}
				time.Sleep(min(after, 100*time.Millisecond))
			}
			t.Errorf("%s never got in", id)
		})
	}
	for _, places := range []int{30, 12, 24} {
		if err := g.Reload(parse(t, config(places))); err != nil {
			t.Error(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	t.Logf("%+v", g.listenerStatus(3, netip.Addr{}))
	if status, _ := try("127.0.0.66", "kept-out"); status != 403 && status != 0 {
		t.Errorf("who is kept out got %d", status)
	}
	close(stop)
	flood.Wait() // halves of heads have a head's time

	served, refused := 0, 0
	statuses.Range(func(id, status any) bool {
		n := effects.seen["/w/"+id.(string)]
		switch {
		case status == 200 && n != 1:
			t.Errorf("%v was answered and took effect %d times", id, n)
		case (status == 429 || status == 503 || status == 403) && n != 0:
			t.Errorf("%v was refused and took effect", id)
		case n > 1:
			t.Errorf("%v took effect %d times", id, n)
		}
		if status == 200 {
			served++
		} else if status != 0 {
			refused++
		}
		return true
	})
	if served < 132 || refused == 0 {
		t.Errorf("%d served, %d refused", served, refused)
	}
	t.Logf("%d served, %d refused, %d whole requests in the flood", served, refused, sent.Load())
	lbtest.Until(t, "nothing is held", func() bool { v := g.listenerStatus(0, netip.Addr{})[0]; return v.InUse == 0 && v.Identifying == 0 })
}

// A newcomer to a full listener waits in line for the place that comes free next, as soon as that may be taken from one who
// keeps it idle; who finds the line full, or waits too long, is told to come back.
func TestLine(t *testing.T) {
	t.Parallel()
	e := lbtest.NewEndpoint(t, nil)
	config := func(patience string) string {
		return fmt.Sprintf(`
listener "l" {
  address     = "127.0.0.1:0"
  connections = 2
  patience    = %q
}
`, patience) + pool("one", "", e.Addr) + `
route "all" {
  class   = "write"
  cluster = "one"
}
`
	}
	g := run(t, config("10s"))
	send := func(from string) *bufio.Reader {
		t.Helper()
		c, err := lbtest.DialFrom(from, g.Addr("l").String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, keyed(from))
		return bufio.NewReader(c)
	}
	first := send("127.0.0.2")
	held := <-e.Arrivals
	send("127.0.0.3")
	<-e.Arrivals
	lined := send("127.0.0.4")
	lbtest.Until(t, "one is in line", func() bool { return g.listenerStatus(0, netip.Addr{})[0].Waiting == 1 })
	if status, after := lbtest.ReadResponse(send("127.0.0.5")); status != 503 || after <= 0 {
		t.Errorf("one who finds the line full got %d, %v", status, after)
	}
	held.OK()
	if status, _ := lbtest.ReadResponse(first); status != 200 {
		t.Errorf("the first got %d", status)
	}
	(<-e.Arrivals).OK() // the first keeps its connection, idle
	if status, _ := lbtest.ReadResponse(lined); status != 200 {
		t.Errorf("the one in line got %d", status)
	}
	if err := g.Reload(parse(t, config("30ms"))); err != nil {
		t.Fatal(err)
	}
	send("127.0.0.6") // in place of the one that was in line, which is idle
	<-e.Arrivals
	if status, after := lbtest.ReadResponse(send("127.0.0.7")); status != 503 || after <= 0 {
		t.Errorf("one whose patience is over got %d, %v", status, after)
	}
	if len(e.Arrivals) > 0 {
		t.Errorf("%s was passed on", (<-e.Arrivals).Request.URL)
	}
}

// startSecured runs a gateway under TLS with an authority for its callers, before an endpoint that holds what it gets.
func startSecured(t *testing.T) (g *Gateway, folder string, good *fake.Authority, got chan *lbtest.Arrival) {
	t.Helper()
	folder = t.TempDir()
	good, err := fake.NewAuthority(folder, "good")
	if err != nil {
		t.Fatal(err)
	}
	issueCertificate(t, good, folder, "server", "gate.example", time.Now().Add(time.Hour))
	e := lbtest.NewEndpoint(t, nil)
	g = run(t, fmt.Sprintf(`
clients "secretarias" {
  certificates = ["*.secretarias.example"]
}
listener "l" {
  address     = "127.0.0.1:0"
  connections = 6
  reserve "secretarias" {
    places = 2
  }
  tls {
    certificate = %q
    key         = %q
    authority   = %q
  }
}
`, filepath.Join(folder, "server.pem"), filepath.Join(folder, "server.key"), good.File)+pool("one", "", e.Addr)+`
route "all" {
  class   = "write"
  cluster = "one"
}
`)
	return g, folder, good, e.Arrivals
}

func issueCertificate(t *testing.T, by *fake.Authority, folder, file, name string, until time.Time) {
	t.Helper()
	if err := by.Issue(filepath.Join(folder, file+".pem"), filepath.Join(folder, file+".key"), name, until); err != nil {
		t.Fatal(err)
	}
}

// dialTLS connects under TLS, with the certificate of a file where it is named.
func dialTLS(t *testing.T, g *Gateway, folder, file string, tickets tls.ClientSessionCache) (*tls.Conn, error) {
	t.Helper()
	roots := x509.NewCertPool()
	for _, name := range []string{"good.pem", "next.pem"} {
		if text, err := os.ReadFile(filepath.Join(folder, name)); err == nil {
			roots.AppendCertsFromPEM(text)
		}
	}
	c := &tls.Config{RootCAs: roots, ServerName: "gate.example", ClientSessionCache: tickets}
	if file != "" {
		pair, err := tls.LoadX509KeyPair(filepath.Join(folder, file+".pem"), filepath.Join(folder, file+".key"))
		if err != nil {
			t.Fatal(err)
		}
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	nc, err := lbtest.DialFrom("127.0.0.9", g.Addr("l").String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(nc, c)
	t.Cleanup(func() { nc.Close() })
	return conn, conn.Handshake()
}

// A known client comes in by its certificate where strangers hold all else, from their own address; one without, or with one
// that nobody here has signed, does not. Nothing of what is refused takes effect.
func TestCertificateAdmits(t *testing.T) {
	t.Parallel()
	g, folder, good, got := startSecured(t)
	issueCertificate(t, good, folder, "s1", "s1.secretarias.example", time.Now().Add(time.Hour))
	issueCertificate(t, good, folder, "old", "old.secretarias.example", time.Now().Add(-time.Minute))
	other, err := fake.NewAuthority(folder, "other")
	if err != nil {
		t.Fatal(err)
	}
	issueCertificate(t, other, folder, "false", "s1.secretarias.example", time.Now().Add(time.Hour))

	var held []*lbtest.Arrival
	var strangers []*tls.Conn
	for i := range 4 {
		c, err := dialTLS(t, g, folder, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, keyed(fmt.Sprint("stranger-", i)))
		held = append(held, <-got)
		strangers = append(strangers, c)
	}
	for range 3 { // a stranger more is told so, after its handshake
		c, err := dialTLS(t, g, folder, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		if status, after := awaitResponse(c, keyed("too-many")); status != 503 || after <= 0 {
			t.Errorf("a stranger too many got %d, %v", status, after)
		}
	}
	for _, file := range []string{"false", "old"} {
		c, err := dialTLS(t, g, folder, file, nil)
		if err == nil {
			if status, _ := awaitResponse(c, keyed("false")); status != 0 {
				t.Errorf("with certificate %s: %d", file, status)
			}
		}
	}
	tickets := tls.NewLRUClientSessionCache(8)
	for i := range 5 { // the second and later ones by tickets: the certificate counts all the same
		c, err := dialTLS(t, g, folder, "s1", tickets)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 && !c.ConnectionState().DidResume {
			t.Error("not resumed")
		}
		done := make(chan int)
		go func() {
			status, _ := awaitResponse(c, keyed(fmt.Sprint("secretary-", i)))
			done <- status
		}()
		(<-got).OK()
		if status := <-done; status != 200 {
			t.Errorf("a secretary got %d", status)
		}
		c.Close()
	}
	for i, a := range held {
		a.OK()
		if status, _ := lbtest.ReadResponse(bufio.NewReader(strangers[i])); status != 200 {
			t.Errorf("a stranger that was in work got %d", status)
		}
	}
	if v := g.listenerStatus(0, netip.Addr{})[0]; v.Groups[1].Identified != 5 || v.Groups[0].Rejected["not known by its certificate"] != 3 {
		t.Errorf("%+v", v)
	}
	if len(got) > 0 {
		t.Errorf("%s was passed on", (<-got).Request.URL)
	}
}

// Keys that change in service: new connections see the new certificate and old ones go on; files that can't be used change
// nothing; with another authority neither the old certificates nor tickets got by them count.
func TestKeysChange(t *testing.T) {
	t.Parallel()
	g, folder, good, got := startSecured(t)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case a := <-got:
				a.OK()
			case <-done:
				return
			}
		}
	}()
	issueCertificate(t, good, folder, "s1", "s1.secretarias.example", time.Now().Add(time.Hour))
	first, err := dialTLS(t, g, folder, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() string {
		c, err := dialTLS(t, g, folder, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	was := serial()
	later := func(files ...string) { // a file system may tell times in coarse steps
		for i, f := range files {
			at := time.Now().Add(time.Duration(i+1) * time.Minute)
			if err := os.Chtimes(filepath.Join(folder, f), at, at); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "server.pem"), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	later("server.pem")
	if serial() != was {
		t.Error("a torn file was taken")
	}
	issueCertificate(t, good, folder, "server", "gate.example", time.Now().Add(time.Hour))
	later("server.pem", "server.key")
	if serial() == was {
		t.Error("the new certificate is not shown")
	}
	if status, _ := awaitResponse(first, keyed("kept")); status != 200 {
		t.Errorf("on the connection made before: %d", status)
	}

	tickets := tls.NewLRUClientSessionCache(8)
	recognised := func() uint64 { return g.listenerStatus(0, netip.Addr{})[0].Groups[1].Identified }
	visit := func(want int) {
		t.Helper()
		c, err := dialTLS(t, g, folder, "s1", tickets)
		status := 0
		if err == nil {
			status, _ = awaitResponse(c, keyed(fmt.Sprint("visit-", time.Now().UnixNano())))
			c.Close()
		}
		if status != want {
			t.Errorf("status %d, want %d", status, want)
		}
	}
	visit(200)
	visit(200)
	if recognised() != 2 {
		t.Errorf("%d recognised", recognised())
	}
	next, err := fake.NewAuthority(folder, "next")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(next.File)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(good.File, text, 0o600); err != nil {
		t.Fatal(err)
	}
	issueCertificate(t, next, folder, "server", "gate.example", time.Now().Add(time.Hour))
	later("good.pem", "server.pem", "server.key")
	visit(0) // its certificate is of the authority that went, and so is its ticket
	issueCertificate(t, next, folder, "s1", "s1.secretarias.example", time.Now().Add(time.Hour))
	visit(200)
	if recognised() != 3 {
		t.Errorf("%d recognised", recognised())
	}
}

// Under TLS too a caller that goes is noticed while its request is in work, and one that sends its next request early is not
// taken for one.
func TestGoneUnderTLS(t *testing.T) {
	t.Parallel()
	g, folder, _, got := startSecured(t)
	c, err := dialTLS(t, g, folder, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, keyed("first"))
	a := <-got
	io.WriteString(c, keyed("second"))
	time.Sleep(50 * time.Millisecond) // so that the watch reads it: it passes without, too
	a.OK()
	from := bufio.NewReader(c)
	if status, _ := lbtest.ReadResponse(from); status != 200 {
		t.Errorf("first: %d", status)
	}
	(<-got).OK()
	if status, _ := lbtest.ReadResponse(from); status != 200 {
		t.Errorf("second: %d", status)
	}
	io.WriteString(c, keyed("third"))
	a = <-got
	c.Close()
	a.SetReadDeadline(time.Now().Add(8 * time.Second)) // before the request's own deadline
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the endpoint was not told: %v", err)
	}
	lbtest.Until(t, "nothing is held", func() bool { return g.listenerStatus(0, netip.Addr{})[0].InUse == 0 })
}
