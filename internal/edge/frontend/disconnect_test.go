package frontend_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/certs"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/internal/platform/sidecar"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// countingConn is a connection as the sidecar has it. What is read of it can be held back.
type countingConn struct {
	*net.TCPConn
	readGate atomic.Pointer[chan struct{}] // what has been read waits for its end; nil: nothing waits
	read     atomic.Int64                  // bytes
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if hold := c.readGate.Load(); hold != nil && n > 0 {
		<-*hold
	}
	c.read.Add(int64(n))
	return n, err
}

// isPeerClosed tells whether the client's end has come to the sidecar's socket, whatever stands before it.
func (c *countingConn) isPeerClosed() (over bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	over = true
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p, 0)
		over = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return over
}

// listener hands on the connections that it takes.
type listener struct {
	net.Listener
	readGate atomic.Pointer[chan struct{}] // of connections that come from now on
	accepted chan *countingConn
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &countingConn{TCPConn: c.(*net.TCPConn)}
	t.readGate.Store(l.readGate.Load())
	l.accepted <- t
	return t, nil
}

// testServer is a sidecar whose sockets the test holds up.
type testServer struct {
	*frontend.Server
	*listener
	engine    *engine.Engine
	client    *upstream.Client
	addr      string
	clientTLS *tls.Config // of clients; nil: plain

	beforeDial atomic.Pointer[func(context.Context) error] // before each connection to an endpoint

	mu         sync.Mutex
	arrivedIDs []string // requests' ids, at the endpoints
}

func (d *testServer) requestIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.arrivedIDs)
}

// startTestServer starts one; serve, where it is not nil, answers in place of the endpoints' 200.
func startTestServer(t *testing.T, maxConns int, bodies int64, secure bool, serve func(*lbtest.Arrival)) *testServer {
	t.Helper()
	d := &testServer{listener: &listener{Listener: lbtest.Listen(t), accepted: make(chan *countingConn, 64)}}
	d.addr = d.Addr().String()
	c, err := config.Load(lbtest.WriteConfig(t, "", d.addr, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	quiet := slog.New(slog.DiscardHandler)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if before := d.beforeDial.Load(); before != nil {
			if err := (*before)(ctx); err != nil {
				return nil, err
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	d.client = upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: time.Second, MaxConns: 64, Dial: dial, HedgeDials: true, MaxStreamBytes: sidecar.MaxBodyBytes})
	d.engine, err = engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, Watch: func() {}, Client: d.client, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	var list []endpointlist.Endpoint
	for i := range 2 {
		e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			d.mu.Lock()
			d.arrivedIDs = append(d.arrivedIDs, a.Request.Header.Get("X-Request-ID"))
			d.mu.Unlock()
			if serve != nil {
				serve(a)
				return
			}
			a.OK()
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: e.Addr, Zone: "a", Status: "ready"})
	}
	d.engine.UpdateEndpoints(lbpolicy.Full, list)
	d.Server = frontend.New(sidecar.NewRouter(c, d.engine, &counters.Set{}, bodies), d.listener, admission.SingleGroup(maxConns), log.New(io.Discard, "", 0))
	if secure {
		dir := t.TempDir()
		a, err := fake.NewAuthority(dir, "authority")
		if err != nil {
			t.Fatal(err)
		}
		files := certs.Files{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
		if err := a.Issue(files.Certificate, files.Key, "door", time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		by, err := frontend.NewTLSConfig(files, false, quiet)
		if err != nil {
			t.Fatal(err)
		}
		d.SetTLS(by)
		d.clientTLS = &tls.Config{InsecureSkipVerify: true} // the stand-in's own
	}
	d.SetReady()
	go d.Serve()
	t.Cleanup(func() { d.Server.Close() })
	return d
}

// testClient is one, and its connection as the sidecar has it.
type testClient struct {
	*lbtest.Client
	tcp        *net.TCPConn
	serverConn *countingConn
}

func (d *testServer) connectAndSend(t *testing.T, text string) *testClient {
	t.Helper()
	c := &testClient{Client: lbtest.Dial(t, d.addr)}
	c.tcp = c.Client.Conn.(*net.TCPConn)
	select {
	case c.serverConn = <-d.accepted:
	case <-time.After(lbtest.Wait):
		t.Fatal("the connection is not taken")
	}
	if d.clientTLS != nil {
		c.Client = lbtest.NewClient(t, tls.Client(c.tcp, d.clientTLS))
	}
	c.Send(text)
	return c
}

// Ways in which a client leaves. What it wrote before its end stands unread before that end.
var waysToDisconnect = map[string]func(*testClient){
	"closes":                   func(c *testClient) { c.Close() },
	"closes behind a request":  func(c *testClient) { c.Send(lbtest.Get("behind")); c.Close() },
	"closes behind many":       func(c *testClient) { c.Send(strings.Repeat(lbtest.Get("behind"), 100)); c.Close() },
	"resets":                   func(c *testClient) { c.tcp.SetLinger(0); c.tcp.Close() },
	"resets behind a request":  func(c *testClient) { c.Send(lbtest.Get("behind")); c.tcp.SetLinger(0); c.tcp.Close() },
	"ends its side":            func(c *testClient) { c.tcp.CloseWrite() },
	"ends it behind a request": func(c *testClient) { c.Send(lbtest.Get("behind")); c.tcp.CloseWrite() },
}

// waitPoint is where a request waits. It has that of a client wait there; when go on is called the wait is over.
type waitPoint struct {
	conns          int
	bodies         int64
	attemptsBefore int                   // attempts that have come to an endpoint before its client leaves
	serve          func(*lbtest.Arrival) // in place of the endpoints' 200
	wait           func(t *testing.T, d *testServer) (c *testClient, release func())
}

// delayDial has connections to endpoints wait in the given way until release is called.
func delayDial(t *testing.T, d *testServer, text string, during func(ctx context.Context, gate chan struct{}) error) (c *testClient, release func()) {
	t.Helper()
	gate, began := make(chan struct{}), make(chan struct{}, 64)
	before := func(ctx context.Context) error {
		began <- struct{}{}
		return during(ctx, gate)
	}
	d.beforeDial.Store(&before)
	c = d.connectAndSend(t, text)
	<-began
	return c, func() { close(gate) }
}

// delaySecondDial has the first connection go as the test says, and all others wait until release is called. It returns once the
// second one has begun.
func delaySecondDial(t *testing.T, d *testServer, text string, first func(ctx context.Context) error) (c *testClient, release func()) {
	t.Helper()
	gate, began := make(chan struct{}), make(chan struct{}, 64)
	var n atomic.Int64
	before := func(ctx context.Context) error {
		if n.Add(1) == 1 {
			return first(ctx)
		}
		began <- struct{}{}
		return waitForGate(ctx, gate)
	}
	d.beforeDial.Store(&before)
	c = d.connectAndSend(t, text)
	select {
	case <-began:
	case <-time.After(lbtest.Wait):
		t.Fatal("no second connection")
	}
	return c, func() { close(gate) }
}

func dialSucceeds(context.Context) error { return nil }

// holdNextRead has a client's next bytes held once the front has read them, until release is called.
func holdNextRead(t *testing.T, c *testClient, text string) (release func()) {
	t.Helper()
	gate := make(chan struct{})
	c.serverConn.readGate.Store(&gate)
	c.Send(text)
	return func() { close(gate) }
}

func waitForGate(ctx context.Context, gate chan struct{}) error {
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var waitPoints = map[string]waitPoint{
	"a head that is read late": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		d.readGate.Store(&gate)
		c := d.connectAndSend(t, lbtest.Get("left"))
		d.readGate.Store(nil)
		return c, func() { close(gate) }
	}},
	"the next request of a kept connection, read late": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		c := d.connectAndSend(t, lbtest.Get("first"))
		if status, _ := c.Response(); status != 200 {
			t.Fatal(status)
		}
		gate := make(chan struct{})
		c.serverConn.readGate.Store(&gate)
		c.Send(lbtest.Get("left"))
		return c, func() { close(gate) }
	}},
	"a dial that comes up late": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, d, lbtest.Get("left"), waitForGate)
	}},
	"a descriptor": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, d, lbtest.Get("left"), func(ctx context.Context, gate chan struct{}) error {
			select {
			case <-gate:
				return nil
			default:
				return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EMFILE}
			}
		})
	}},
	"a dial while the process ends": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		c, release := delayDial(t, d, lbtest.Get("left"), waitForGate)
		by := time.Now().Add(lbtest.Wait)
		d.engine.ShutDownBy(by)
		go d.Shutdown(time.Now(), by)
		return c, release
	}},
	"memory for its body": {bodies: 64 << 10, wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		body := strings.Repeat("x", 40<<10)
		first, release := delayDial(t, d, lbtest.Post("first", body), waitForGate) // it has the memory
		c := d.connectAndSend(t, lbtest.Post("left", body))
		return c, func() {
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("the one before it: ", status)
			}
			first.Close()
		}
	}},
	"a slow body, whose end is read late": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		text := lbtest.Post("left", strings.Repeat("x", 2000))
		c := d.connectAndSend(t, text[:len(text)-1000])
		lbtest.Until(t, "its beginning is read", func() bool { return c.serverConn.read.Load() == int64(len(text)-1000) })
		return c, holdNextRead(t, c, text[len(text)-1000:])
	}},
	"a dial, of an HTTP/1.0 caller": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, d, strings.Replace(lbtest.Get("left"), "HTTP/1.1", "HTTP/1.0", 1), waitForGate)
	}},
	"a head of HTTP/1.0 that is read late": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		d.readGate.Store(&gate)
		c := d.connectAndSend(t, strings.Replace(lbtest.Get("left"), "HTTP/1.1", "HTTP/1.0", 1))
		d.readGate.Store(nil)
		return c, func() { close(gate) }
	}},
	"a second dial, while the first hangs": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, d, lbtest.Get("left"), func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}},
	"the first dial, while the second hangs": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		c, end := delaySecondDial(t, d, lbtest.Get("left"), func(ctx context.Context) error { return waitForGate(ctx, gate) })
		t.Cleanup(end)
		return c, func() { close(gate) }
	}},
	"a retry's dial, after one that failed": {wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, d, lbtest.Get("left"), func(context.Context) error {
			return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		})
	}},
	"a retry's dial, after an endpoint that failed": {attemptsBefore: 1, serve: func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}, wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, d, lbtest.Get("left"), dialSucceeds)
	}},
	"a keyed request's retry": {attemptsBefore: 1, serve: func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}, wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, d, lbtest.Post("left", "x"), dialSucceeds)
	}},
	"a second copy, or the attempt after one that is silent": {attemptsBefore: 1, serve: func(*lbtest.Arrival) {}, wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, d, lbtest.Get("left"), dialSucceeds)
	}},
	"a slot of the listener": {conns: 1, wait: func(t *testing.T, d *testServer) (*testClient, func()) {
		t.Helper()
		first, release := delayDial(t, d, lbtest.Get("first"), waitForGate)
		c := d.connectAndSend(t, lbtest.Get("left"))
		return c, func() {
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("the one before it: ", status)
			}
			first.Close()
		}
	}},
}

// Nothing of a request goes out once its client has left, wherever it waited and however the client left, and its client's
// end leaves nothing behind. Here the end stands on the sidecar's socket before the wait is over, every time.
func TestLeftWhileWaiting(t *testing.T) {
	t.Parallel()
	for name, p := range waitPoints {
		for how, leave := range waysToDisconnect {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				conns, bodies := 8, int64(1<<20)
				if p.conns > 0 {
					conns = p.conns
				}
				if p.bodies > 0 {
					bodies = p.bodies
				}
				d := startTestServer(t, conns, bodies, false, p.serve)
				c, release := p.wait(t, d)
				leave(c)
				lbtest.Until(t, "the end has come", c.serverConn.isPeerClosed)
				release()
				if strings.HasPrefix(how, "ends") { // it still reads: one answer, which promises nothing
					if status, _ := c.Response(); status < 400 || status == 429 || status == 503 {
						t.Errorf("answered %d", status)
					}
					if rest := c.AwaitClose(); rest != "" {
						t.Errorf("and then %q", rest)
					}
				}
				expectReleased(t, d, "behind")
				if got := d.requestIDs(); slices.Contains(got[:min(p.attemptsBefore, len(got))], "behind") || slices.Contains(got[min(p.attemptsBefore, len(got)):], "left") {
					t.Errorf("endpoints got %q, of the one that left at most %d", got, p.attemptsBefore)
				}
			})
		}
	}
}

// expectReleased waits until nobody is there, and holds what came to the endpoints against what must not have.
func expectReleased(t *testing.T, d *testServer, not ...string) {
	t.Helper()
	lbtest.Until(t, "no connection and no call is held", func() bool { return d.Conns() == 0 && d.engine.InFlight() == 0 })
	for _, id := range d.requestIDs() {
		if slices.Contains(not, id) {
			t.Errorf("%q came to an endpoint", id)
		}
	}
}

// Under TLS the end stands behind what only reading tells apart: close_notify and FIN behind a request, or the former alone.
func TestLeftUnderTLS(t *testing.T) {
	t.Parallel()
	behind := lbtest.Get("behind")
	for how, text := range map[string]string{"closes": "", "closes behind a request": behind, "closes behind many": strings.Repeat(behind, 100)} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			d := startTestServer(t, 8, 1<<20, true, nil)
			c, release := delayDial(t, d, lbtest.Get("left"), waitForGate)
			c.Send(text)
			c.Close()
			lbtest.Until(t, "the end has come", c.serverConn.isPeerClosed)
			release()
			expectReleased(t, d, "left", "behind")
		})
	}
	for how, text := range map[string]string{"notifies alone": "", "notifies behind a request": behind,
		"notifies behind all that is looked at": strings.Repeat(behind, 15<<10/len(behind))} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			d := startTestServer(t, 8, 1<<20, true, nil)
			gaveUp := make(chan struct{}, 64)
			c, release := delayDial(t, d, lbtest.Get("left"), func(ctx context.Context, gate chan struct{}) error {
				<-ctx.Done() // its attempt is given up: the watch has read the end
				gaveUp <- struct{}{}
				return ctx.Err()
			})
			defer release()
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			select {
			case <-gaveUp:
			case <-time.After(lbtest.Wait):
				t.Fatal("the end was not noticed")
			}
			if status, _ := c.Response(); status != 502 {
				t.Errorf("answered %d", status)
			}
			expectReleased(t, d, "left", "behind")
			if n := len(gaveUp); n > 0 {
				t.Errorf("%d more attempts were made for it", n)
			}
		})
	}
}

// awaitDelivery waits until all that a client has written stands at the other end.
func (c *testClient) awaitDelivery(t *testing.T) {
	t.Helper()
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	lbtest.Until(t, "all has come", func() (all bool) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			all = err == nil && n == 0
		})
		return all
	})
}

// Under TLS a request is not begun either whose client's close_notify, with no FIN, came while nobody read: the watch, which
// reads it, begins later.
func TestLeftUnderTLSBeforeItBegins(t *testing.T) {
	t.Parallel()
	behind := lbtest.Get("behind")
	for how, text := range map[string]string{"notifies alone": "", "notifies behind a request": behind,
		"notifies behind all that is looked at": strings.Repeat(behind, 15<<10/len(behind))} {
		t.Run("the next request, read late/"+how, func(t *testing.T) {
			t.Parallel()
			d := startTestServer(t, 8, 1<<20, true, nil)
			c := d.connectAndSend(t, lbtest.Get("first"))
			if status, _ := c.Response(); status != 200 {
				t.Fatal(status)
			}
			release := holdNextRead(t, c, lbtest.Get("left"))
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			c.awaitDelivery(t)
			release()
			if status, _ := c.Response(); status != 502 {
				t.Errorf("answered %d", status)
			}
			expectReleased(t, d, "left", "behind")
		})
		t.Run("memory for its body/"+how, func(t *testing.T) {
			t.Parallel()
			d := startTestServer(t, 8, 64<<10, true, nil)
			body := strings.Repeat("x", 40<<10)
			first, release := delayDial(t, d, lbtest.Post("first", body), waitForGate) // it has the memory
			c := d.connectAndSend(t, lbtest.Post("left", body))
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			c.awaitDelivery(t)
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("the one before it: ", status)
			}
			first.Close()
			if status, _ := c.Response(); status != 502 {
				t.Errorf("answered %d", status)
			}
			expectReleased(t, d, "left", "behind")
		})
	}
}

// Clients that stay are served all the same whose next requests stand there already under TLS, in whole and in part.
func TestAheadUnderTLS(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 20, 400} { // the last are more than is looked at
		d := startTestServer(t, 8, 1<<20, true, nil)
		first := d.connectAndSend(t, lbtest.Get("first"))
		if status, _ := first.Response(); status != 200 {
			t.Fatal(status)
		}
		var text strings.Builder
		for i := range n {
			text.WriteString(lbtest.Get(fmt.Sprint("n", i)))
		}
		release := holdNextRead(t, first, text.String())
		first.awaitDelivery(t)
		release()
		for i := range n {
			if status, body := first.Response(); status != 200 || body != fmt.Sprint("answer to n", i) {
				t.Fatalf("%d of %d: %d %q", i, n, status, body)
			}
		}
		first.Close()
		expectReleased(t, d)
	}
}

// A retry is not sent for a client that has left behind bytes that nobody read: its first attempt fails only then.
func TestLeftBeforeRetry(t *testing.T) {
	t.Parallel()
	for how, leave := range waysToDisconnect {
		if !strings.Contains(how, "behind") {
			continue // the first attempt is given up within 20 ms, or its failure comes first
		}
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan *lbtest.Arrival, 64)
			d := startTestServer(t, 8, 1<<20, false, func(a *lbtest.Arrival) { arrived <- a })
			c := d.connectAndSend(t, lbtest.Get("left"))
			first := <-arrived
			leave(c)
			lbtest.Until(t, "the end has come", c.serverConn.isPeerClosed)
			first.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
			expectReleased(t, d, "behind")
			if got := d.requestIDs(); len(got) != 1 {
				t.Errorf("endpoints got %q", got)
			}
		})
	}
}

// A large body ends with its client: what of it stands on the socket before the end is not passed on. Here all of it does.
func TestLeftWithinBody(t *testing.T) {
	t.Parallel()
	const size, first = 100_000, 70_000 // more than is held whole, less than what a socket holds
	d := startTestServer(t, 8, 1<<20, false, nil)
	began := make(chan struct{}, 64)
	before := func(context.Context) error { //nolint:unparam // the type is that of a dial that may fail
		began <- struct{}{}
		return nil
	}
	d.beforeDial.Store(&before)
	c := d.connectAndSend(t, lbtest.Head("POST", "write", "left", "Idempotency-Key: k", fmt.Sprintf("Content-Length: %d", size)))
	c.Send(strings.Repeat("x", first))
	<-began
	gate := make(chan struct{})
	c.serverConn.readGate.Store(&gate)
	c.Send(strings.Repeat("x", size-first))
	c.Close()
	lbtest.Until(t, "the end has come", c.serverConn.isPeerClosed)
	close(gate)
	expectReleased(t, d, "left") // endpoints take a request down once its body is whole
}
