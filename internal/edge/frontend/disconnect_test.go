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

// countingConn is the sidecar's end of a client's connection. It counts the bytes read and can delay the result of a read.
type countingConn struct {
	*net.TCPConn
	readGate atomic.Pointer[chan struct{}] // a read that got bytes returns once this channel is closed; nil: no delay
	read     atomic.Int64                  // number of bytes read
	held     atomic.Bool                   // a read with bytes has waited for readGate
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if hold := c.readGate.Load(); hold != nil && n > 0 {
		c.held.Store(true)
		<-*hold
	}
	c.read.Add(int64(n))
	return n, err
}

// isPeerClosed reports whether the client's FIN or reset has reached the sidecar's socket, even behind unread bytes.
func (c *countingConn) isPeerClosed() (closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed = true
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p, 0)
		closed = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// listener wraps each accepted connection in a countingConn and passes it to the test.
type listener struct {
	net.Listener
	readGate atomic.Pointer[chan struct{}] // the readGate of connections accepted from now on
	accepted chan *countingConn
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &countingConn{TCPConn: c.(*net.TCPConn)}
	conn.readGate.Store(l.readGate.Load())
	l.accepted <- conn
	return conn, nil
}

// testServer is a sidecar in front of two endpoints, whose reads and dials the test can delay.
type testServer struct {
	*frontend.Server
	*listener
	engine    *engine.Engine
	client    *upstream.Client
	addr      string
	clientTLS *tls.Config // the clients' configuration; nil without TLS

	beforeDial atomic.Pointer[func(context.Context) error] // called before each dial to an endpoint

	mu         sync.Mutex
	arrivedIDs []string // ids of the requests that reached the endpoints
}

// requestIDs returns the ids of the requests that reached the endpoints, in order of arrival.
func (server *testServer) requestIDs() []string {
	server.mu.Lock()
	defer server.mu.Unlock()
	return slices.Clone(server.arrivedIDs)
}

// startTestServer starts a sidecar with two endpoints and bodyMemory bytes for request bodies. If serve is not nil, it responds for the
// endpoints. Otherwise they respond with 200.
func startTestServer(t *testing.T, maxConns int, bodyMemory int64, useTLS bool, serve func(*lbtest.Arrival)) *testServer {
	t.Helper()
	server := &testServer{listener: &listener{Listener: lbtest.Listen(t), accepted: make(chan *countingConn, 64)}}
	server.addr = server.Addr().String()
	c, err := config.Load(lbtest.WriteConfig(t, "", server.addr, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	quiet := slog.New(slog.DiscardHandler)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if before := server.beforeDial.Load(); before != nil {
			if err := (*before)(ctx); err != nil {
				return nil, err
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	server.client = upstream.NewClient(upstream.Options{DialTimeout: lbtest.Wait, IdleTimeout: time.Second, MaxConns: 64, Dial: dial, HedgeDials: true, MaxStreamBytes: sidecar.MaxBodyBytes})
	server.engine, err = engine.New(engine.Options{Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, ReportFields: c.ReportFields, PollDiscovery: func() {}, Client: server.client, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	var list []endpointlist.Endpoint
	for i := range 2 {
		e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
			server.mu.Lock()
			server.arrivedIDs = append(server.arrivedIDs, a.Request.Header.Get("X-Request-ID"))
			server.mu.Unlock()
			if serve != nil {
				serve(a)
				return
			}
			a.OK()
		})
		list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("s", i), Address: e.Addr, Zone: "a", Status: "ready"})
	}
	server.engine.UpdateEndpoints(lbpolicy.Full, list)
	server.Server = frontend.New(sidecar.NewRouter(c, server.engine, &counters.Set{}, sidecar.Budget{HeapBytes: 64 << 20, BodyBytes: bodyMemory}, slog.New(slog.DiscardHandler)), server.listener, admission.SingleGroup(maxConns), log.New(io.Discard, "", 0))
	if useTLS {
		dir := t.TempDir()
		authority, err := fake.NewAuthority(dir, "authority")
		if err != nil {
			t.Fatal(err)
		}
		files := certs.Files{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
		if err := authority.Issue(files.Certificate, files.Key, "door", time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		tlsConfig, err := frontend.NewTLSConfig(files, false, quiet)
		if err != nil {
			t.Fatal(err)
		}
		server.SetTLS(tlsConfig)
		server.clientTLS = &tls.Config{InsecureSkipVerify: true} // the certificate is the test's own
	}
	server.SetReady()
	go server.Serve()
	t.Cleanup(func() { server.Server.Close() })
	return server
}

// testClient is a client and the sidecar's end of its connection.
type testClient struct {
	*lbtest.Client
	tcp        *net.TCPConn
	serverConn *countingConn
}

// connectAndSend connects a client, with TLS if the server uses it, and sends text.
func (server *testServer) connectAndSend(t *testing.T, text string) *testClient {
	t.Helper()
	c := &testClient{Client: lbtest.Dial(t, server.addr)}
	c.tcp = c.Client.Conn.(*net.TCPConn)
	select {
	case c.serverConn = <-server.accepted:
	case <-time.After(lbtest.Wait):
		t.Fatal("the sidecar did not accept the connection")
	}
	if server.clientTLS != nil {
		c.Client = lbtest.NewClient(t, tls.Client(c.tcp, server.clientTLS))
	}
	c.Send(text)
	return c
}

// waysToDisconnect are the ways in which a client disconnects. Bytes that it sent before the disconnect may still be unread on the sidecar's
// socket.
var waysToDisconnect = map[string]func(*testClient){
	"closes":                                 func(c *testClient) { c.Close() },
	"closes behind a request":                func(c *testClient) { c.Send(lbtest.Get("behind")); c.Close() },
	"closes behind many":                     func(c *testClient) { c.Send(strings.Repeat(lbtest.Get("behind"), 100)); c.Close() },
	"resets":                                 func(c *testClient) { c.tcp.SetLinger(0); c.tcp.Close() },
	"resets behind a request":                func(c *testClient) { c.Send(lbtest.Get("behind")); c.tcp.SetLinger(0); c.tcp.Close() },
	"ends its sending side":                  func(c *testClient) { c.tcp.CloseWrite() },
	"ends its sending side behind a request": func(c *testClient) { c.Send(lbtest.Get("behind")); c.tcp.CloseWrite() },
}

// waitPoint is a point at which a request waits before it is forwarded. wait sends a client's request and returns once it waits there. The
// request continues when release is called.
type waitPoint struct {
	maxConns       int                   // capacity of the listener in connections; 0: 8
	bodyMemory     int64                 // memory for request bodies in bytes; 0: 1 MiB
	attemptsBefore int                   // attempts that reached an endpoint before the client disconnects
	serve          func(*lbtest.Arrival) // responds for the endpoints; nil: they respond with 200
	wait           func(t *testing.T, server *testServer) (c *testClient, release func())
}

// delayDial sends a request and makes each dial to an endpoint call waitDial first. It returns once the first dial has begun. release closes
// the gate that waitDial receives.
func delayDial(t *testing.T, server *testServer, text string, waitDial func(ctx context.Context, gate chan struct{}) error) (c *testClient, release func()) {
	t.Helper()
	gate, began := make(chan struct{}), make(chan struct{}, 64)
	before := func(ctx context.Context) error {
		began <- struct{}{}
		return waitDial(ctx, gate)
	}
	server.beforeDial.Store(&before)
	c = server.connectAndSend(t, text)
	<-began
	return c, func() { close(gate) }
}

// delaySecondDial sends a request. The first dial to an endpoint calls first, and all later dials wait until release is called. It returns
// once the second dial has begun.
func delaySecondDial(t *testing.T, server *testServer, text string, first func(ctx context.Context) error) (c *testClient, release func()) {
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
	server.beforeDial.Store(&before)
	c = server.connectAndSend(t, text)
	select {
	case <-began:
	case <-time.After(lbtest.Wait):
		t.Fatal("no second dial to an endpoint")
	}
	return c, func() { close(gate) }
}

func dialSucceeds(context.Context) error { return nil }

// holdNextRead sends text. The sidecar's read of it does not return until release is called.
func holdNextRead(t *testing.T, c *testClient, text string) (release func()) {
	t.Helper()
	gate := make(chan struct{})
	c.serverConn.readGate.Store(&gate)
	c.Send(text)
	return func() { close(gate) }
}

// waitForGate waits until the gate is closed or ctx ends.
func waitForGate(ctx context.Context, gate chan struct{}) error {
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitPoints are the points at which a request with the id "left" can wait.
var waitPoints = map[string]waitPoint{
	"a head that is read late": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		server.readGate.Store(&gate)
		c := server.connectAndSend(t, lbtest.Get("left"))
		server.readGate.Store(nil)
		return c, func() { close(gate) }
	}},
	"the next request of a kept connection, read late": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		c := server.connectAndSend(t, lbtest.Get("first"))
		if status, _ := c.Response(); status != 200 {
			t.Fatal(status)
		}
		gate := make(chan struct{})
		c.serverConn.readGate.Store(&gate)
		c.Send(lbtest.Get("left"))
		return c, func() { close(gate) }
	}},
	"a slow dial": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, server, lbtest.Get("left"), waitForGate)
	}},
	"a free descriptor for the dial": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, server, lbtest.Get("left"), func(ctx context.Context, gate chan struct{}) error {
			select {
			case <-gate:
				return nil
			default:
				return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EMFILE}
			}
		})
	}},
	"a dial during shutdown": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		c, release := delayDial(t, server, lbtest.Get("left"), waitForGate)
		deadline := time.Now().Add(lbtest.Wait)
		server.engine.ShutDownBy(deadline)
		go server.Shutdown(time.Now(), deadline)
		return c, release
	}},
	"memory for its body": {bodyMemory: 64 << 10, wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		body := strings.Repeat("x", 40<<10)
		first, release := delayDial(t, server, lbtest.Post("first", body), waitForGate) // reserves most of the body memory
		c := server.connectAndSend(t, lbtest.Post("left", body))
		return c, func() {
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("earlier request: want status 200, got ", status)
			}
			first.Close()
		}
	}},
	"a slow body, whose end is read late": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		text := lbtest.Post("left", strings.Repeat("x", 2000))
		c := server.connectAndSend(t, text[:len(text)-1000])
		lbtest.Until(t, "the beginning of the body has been read", func() bool { return c.serverConn.read.Load() == int64(len(text)-1000) })
		return c, holdNextRead(t, c, text[len(text)-1000:])
	}},
	"a dial for an HTTP/1.0 client": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delayDial(t, server, strings.Replace(lbtest.Get("left"), "HTTP/1.1", "HTTP/1.0", 1), waitForGate)
	}},
	"an HTTP/1.0 head that is read late": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		server.readGate.Store(&gate)
		c := server.connectAndSend(t, strings.Replace(lbtest.Get("left"), "HTTP/1.1", "HTTP/1.0", 1))
		server.readGate.Store(nil)
		return c, func() { close(gate) }
	}},
	"a second dial, while the first hangs": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, server, lbtest.Get("left"), func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}},
	"the first dial, while the second hangs": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		gate := make(chan struct{})
		c, releaseSecond := delaySecondDial(t, server, lbtest.Get("left"), func(ctx context.Context) error { return waitForGate(ctx, gate) })
		t.Cleanup(releaseSecond)
		return c, func() { close(gate) }
	}},
	"a retry's dial, after one that failed": {wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, server, lbtest.Get("left"), func(context.Context) error {
			return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		})
	}},
	"a retry's dial, after an endpoint that failed": {attemptsBefore: 1, serve: func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}, wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, server, lbtest.Get("left"), dialSucceeds)
	}},
	"a keyed request's retry": {attemptsBefore: 1, serve: func(a *lbtest.Arrival) {
		a.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}, wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, server, lbtest.Post("left", "x"), dialSucceeds)
	}},
	"a hedged request, or the retry after an attempt without a response": {attemptsBefore: 1, serve: func(*lbtest.Arrival) {}, wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		return delaySecondDial(t, server, lbtest.Get("left"), dialSucceeds)
	}},
	"a slot of the listener": {maxConns: 1, wait: func(t *testing.T, server *testServer) (*testClient, func()) {
		t.Helper()
		first, release := delayDial(t, server, lbtest.Get("first"), waitForGate)
		c := server.connectAndSend(t, lbtest.Get("left"))
		return c, func() {
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("earlier request: want status 200, got ", status)
			}
			first.Close()
		}
	}},
}

// A request must not be forwarded after its client disconnected, whatever the request waited for and however the client disconnected. The
// connection and the request must be released. In each case the disconnect reaches the sidecar's socket before the wait ends.
func TestRequestIsNotForwardedAfterDisconnect(t *testing.T) {
	t.Parallel()
	for name, point := range waitPoints {
		for way, leave := range waysToDisconnect {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				maxConns, bodyMemory := 8, int64(1<<20)
				if point.maxConns > 0 {
					maxConns = point.maxConns
				}
				if point.bodyMemory > 0 {
					bodyMemory = point.bodyMemory
				}
				server := startTestServer(t, maxConns, bodyMemory, false, point.serve)
				c, release := point.wait(t, server)
				leave(c)
				lbtest.Until(t, "disconnect on the sidecar's socket", c.serverConn.isPeerClosed)
				release()
				if strings.HasPrefix(way, "ends") { // the client still reads: it gets one response, which must not promise a safe retry
					if status, _ := c.Response(); status < 400 || status == 429 || status == 503 {
						t.Errorf("status %d, want an error other than 429 and 503", status)
					}
					if rest := c.AwaitClose(); rest != "" {
						t.Errorf("after the response came %q, want the close", rest)
					}
				}
				expectReleased(t, server, "behind")
				if got := server.requestIDs(); slices.Contains(got[:min(point.attemptsBefore, len(got))], "behind") || slices.Contains(got[min(point.attemptsBefore, len(got)):], "left") {
					t.Errorf("endpoints got requests %q, want none after the disconnect and at most %d attempts before it", got, point.attemptsBefore)
				}
			})
		}
	}
}

// expectReleased waits until all connections and requests are released, and fails if a request with a forbidden id reached an endpoint.
func expectReleased(t *testing.T, server *testServer, forbidden ...string) {
	t.Helper()
	lbtest.Until(t, "all connections and requests released", func() bool { return server.Conns() == 0 && server.engine.InFlight() == 0 })
	for _, id := range server.requestIDs() {
		if slices.Contains(forbidden, id) {
			t.Errorf("request %q reached an endpoint", id)
		}
	}
}

// Under TLS only reading can distinguish a disconnect from a further request. The client sends close_notify with a FIN, or close_notify
// alone, with or without requests before it. Its first request must be cancelled and must not reach an endpoint.
func TestDisconnectUnderTLSCancelsRequest(t *testing.T) {
	t.Parallel()
	behind := lbtest.Get("behind")
	for way, text := range map[string]string{"closes": "", "closes behind a request": behind, "closes behind many": strings.Repeat(behind, 100)} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			server := startTestServer(t, 8, 1<<20, true, nil)
			c, release := delayDial(t, server, lbtest.Get("left"), waitForGate)
			c.Send(text)
			c.Close()
			lbtest.Until(t, "disconnect on the sidecar's socket", c.serverConn.isPeerClosed)
			release()
			expectReleased(t, server, "left", "behind")
		})
	}
	for way, text := range map[string]string{"sends close_notify alone": "", "sends close_notify behind a request": behind,
		"sends close_notify behind as much as is read ahead": strings.Repeat(behind, 15<<10/len(behind))} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			server := startTestServer(t, 8, 1<<20, true, nil)
			cancelled := make(chan struct{}, 64)
			c, release := delayDial(t, server, lbtest.Get("left"), func(ctx context.Context, gate chan struct{}) error {
				<-ctx.Done() // the attempt is cancelled: the watch has read close_notify
				cancelled <- struct{}{}
				return ctx.Err()
			})
			defer release()
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			select {
			case <-cancelled:
			case <-time.After(lbtest.Wait):
				t.Fatal("the disconnect was not detected")
			}
			if status, _ := c.Response(); status != 502 {
				t.Errorf("status %d, want 502", status)
			}
			expectReleased(t, server, "left", "behind")
			if n := len(cancelled); n > 0 {
				t.Errorf("%d more attempts after the disconnect, want none", n)
			}
		})
	}
}

// awaitDelivery waits until the sidecar's socket has received all bytes that the client sent.
func (c *testClient) awaitDelivery(t *testing.T) {
	t.Helper()
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	lbtest.Until(t, "all sent bytes acknowledged", func() (delivered bool) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			delivered = err == nil && n == 0
		})
		return delivered
	})
}

// Under TLS a request must not be forwarded if its client's close_notify, without a FIN, arrived while the sidecar did not read. The watch
// would read the close_notify only after the request was forwarded.
func TestDisconnectUnderTLSBeforeForwardingIsDetected(t *testing.T) {
	t.Parallel()
	behind := lbtest.Get("behind")
	for way, text := range map[string]string{"sends close_notify alone": "", "sends close_notify behind a request": behind,
		"sends close_notify behind as much as is read ahead": strings.Repeat(behind, 15<<10/len(behind))} {
		t.Run("the next request, read late/"+way, func(t *testing.T) {
			t.Parallel()
			server := startTestServer(t, 8, 1<<20, true, nil)
			c := server.connectAndSend(t, lbtest.Get("first"))
			if status, _ := c.Response(); status != 200 {
				t.Fatal(status)
			}
			release := holdNextRead(t, c, lbtest.Get("left"))
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			c.awaitDelivery(t)
			release()
			if status, _ := c.Response(); status != 502 {
				t.Errorf("status %d, want 502", status)
			}
			expectReleased(t, server, "left", "behind")
		})
		t.Run("memory for its body/"+way, func(t *testing.T) {
			t.Parallel()
			server := startTestServer(t, 8, 64<<10, true, nil)
			body := strings.Repeat("x", 40<<10)
			first, release := delayDial(t, server, lbtest.Post("first", body), waitForGate) // reserves most of the body memory
			c := server.connectAndSend(t, lbtest.Post("left", body))
			c.Send(text)
			c.Conn.(*tls.Conn).CloseWrite()
			c.awaitDelivery(t)
			release()
			if status, _ := first.Response(); status != 200 {
				t.Error("earlier request: want status 200, got ", status)
			}
			first.Close()
			if status, _ := c.Response(); status != 502 {
				t.Errorf("status %d, want 502", status)
			}
			expectReleased(t, server, "left", "behind")
		})
	}
}

// Under TLS the requests of a connected client are served even if its next requests, complete or partial, are already received. The check
// for a disconnect reads them ahead and must not lose them.
func TestPipelinedRequestsUnderTLSAreServed(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 20, 400} { // 400 requests exceed the bytes that the sidecar reads ahead
		server := startTestServer(t, 8, 1<<20, true, nil)
		first := server.connectAndSend(t, lbtest.Get("first"))
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
				t.Fatalf("request %d of %d: status %d, body %q", i, n, status, body)
			}
		}
		first.Close()
		expectReleased(t, server)
	}
}

// A failed attempt must not be retried after the client disconnected, even if unread bytes precede the disconnect. The first attempt fails
// only after the disconnect has reached the sidecar.
func TestNoRetryAfterDisconnect(t *testing.T) {
	t.Parallel()
	for way, leave := range waysToDisconnect {
		if !strings.Contains(way, "behind") {
			continue // without unread bytes the watch may cancel the first attempt, within 20 ms, before it fails
		}
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan *lbtest.Arrival, 64)
			server := startTestServer(t, 8, 1<<20, false, func(a *lbtest.Arrival) { arrived <- a })
			c := server.connectAndSend(t, lbtest.Get("left"))
			first := <-arrived
			leave(c)
			lbtest.Until(t, "disconnect on the sidecar's socket", c.serverConn.isPeerClosed)
			first.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
			expectReleased(t, server, "behind")
			if got := server.requestIDs(); len(got) != 1 {
				t.Errorf("endpoints got requests %q, want the first attempt alone", got)
			}
		})
	}
}

// A large body must not be forwarded completely if its client disconnects before the body was read, even if all of it is on the
// sidecar's socket.
func TestLargeBodyIsNotCompletedAfterDisconnect(t *testing.T) {
	t.Parallel()
	const size, first = 100_000, 70_000 // bytes; more than is buffered completely, less than a socket buffer
	server := startTestServer(t, 8, 1<<20, false, nil)
	began := make(chan struct{}, 64)
	before := func(context.Context) error { //nolint:unparam // the signature is that of a dial hook that may fail
		began <- struct{}{}
		return nil
	}
	server.beforeDial.Store(&before)
	c := server.connectAndSend(t, lbtest.Head("POST", "write", "left", "Idempotency-Key: k", fmt.Sprintf("Content-Length: %d", size)))
	c.Send(strings.Repeat("x", first))
	<-began
	gate := make(chan struct{})
	c.serverConn.readGate.Store(&gate)
	c.Send(strings.Repeat("x", size-first))
	c.Close()
	lbtest.Until(t, "disconnect on the sidecar's socket", c.serverConn.isPeerClosed)
	close(gate)
	expectReleased(t, server, "left") // endpoints record a request once its body is complete
}
