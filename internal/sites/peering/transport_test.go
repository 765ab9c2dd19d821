package peering

import (
	"bytes"
	"context"
	"crypto/tls"
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

	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/testkit/fake"
	"silvertrail/internal/testkit/lbtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler is a fake Handler. It counts the requests that it receives, and answers them with respond. If respond is nil,
// it serves each request with its own body.
type fakeHandler struct {
	respond      func(ctx context.Context, request *Request) *Response
	state        atomic.Int32
	requestCount atomic.Int64
}

func (h *fakeHandler) ServeRequest(ctx context.Context, from string, request *Request) *Response {
	h.requestCount.Add(1)
	if h.respond == nil {
		return &Response{Outcome: accounting.Served, Status: 200, Body: request.Body}
	}
	return h.respond(ctx, request)
}
func (h *fakeHandler) State() forwarding.State { return forwarding.State(h.state.Load()) }
func (h *fakeHandler) Lookup(id idempotency.KeyID) KeyLocation {
	return KeyLocation{Known: id[0] == 1, Cluster: "c"}
}

func newFakeHandler(respond func(context.Context, *Request) *Response) *fakeHandler {
	h := &fakeHandler{respond: respond}
	h.state.Store(int32(forwarding.Available))
	return h
}

// startTransport starts a Transport with short heartbeats, and closes it at the end of the test.
func startTransport(t testing.TB, site string, handler Handler, identity *Identity, logOutput io.Writer, peers ...Peer) *Transport {
	t.Helper()
	transport, err := Start(Options{Site: site, Listen: "127.0.0.1:0", Identity: identity, Peers: peers, HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
		MaxInFlight: 64, PriorityWeights: []float64{1, 10}, Handler: handler, Logger: slog.New(slog.NewTextHandler(logOutput, nil))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

// connectTwoSites starts sites a and b, and connects a to b over a fake network path. Site b serves requests with handler.
func connectTwoSites(t testing.TB, handler Handler) (from *Transport, path *fake.Path, to *Transport) {
	t.Helper()
	to = startTransport(t, "b", handler, nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path, err := fake.NewPath(to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	from = startTransport(t, "a", newFakeHandler(nil), nil, io.Discard, Peer{"b", []string{path.Addr}})
	awaitConnected(t, from)
	return from, path, to
}

// isConnected reports whether the first gateway of a site has a session that can take requests.
func isConnected(transport *Transport, site string) bool {
	gateways := transport.gatewaysInOrder(site)
	return len(gateways) > 0 && gateways[0].pickSession() != nil
}

func awaitConnected(t testing.TB, transport *Transport) {
	t.Helper()
	lbtest.Until(t, "site b is connected", func() bool { return isConnected(transport, "b") })
}

// forwardTo forwards a request with a body of the given size to a site.
func forwardTo(transport *Transport, site string, bodySize int) ForwardResult {
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	return transport.Forward(ctx, site, newRequest(bodySize))
}

func newRequest(bodySize int) *Request {
	return &Request{TimeLeft: lbtest.Wait.Microseconds(), Class: "c", VisitedSites: []string{"a"}, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("x"), bodySize)}
}

// awaitReconciled waits until no request is unsettled and the counters of both ends agree. It returns the number of sent
// requests by outcome.
func awaitReconciled(t testing.TB, transport *Transport) (sums map[accounting.Outcome]uint64) {
	t.Helper()
	var status SiteStatus
	lbtest.Until(t, "no request is unsettled and the counters of both ends agree", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
		defer cancel()
		status = transport.Status(ctx, true)[0]
		return status.Unsettled == 0 && status.LastError == "" && len(status.Differences) == 0 && status.SessionsCompared > 0
	})
	sums = map[accounting.Outcome]uint64{}
	for _, counter := range status.Sent {
		sums[counter.Outcome] += counter.Count
	}
	return sums
}

// TestPeerCertificateIsVerifiedAndReloaded checks that a connection needs a certificate of the configured authority that is
// valid now and names the expected site. Replaced certificate files apply to the next connection, and invalid ones leave
// the certificate in use. A listener without TLS is allowed on loopback addresses only.
func TestPeerCertificateIsVerifiedAndReloaded(t *testing.T) {
	folder := t.TempDir()
	good, err := fake.NewAuthority(folder, "good")
	if err != nil {
		t.Fatal(err)
	}
	other, err := fake.NewAuthority(folder, "other")
	if err != nil {
		t.Fatal(err)
	}
	files := func(name string) *Identity {
		return &Identity{Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"), Authority: good.File}
	}
	inOneHour := time.Now().Add(time.Hour)
	issue := func(authority *fake.Authority, file, name string, until time.Time) *Identity {
		if err := authority.Issue(files(file).Certificate, files(file).Key, name, until); err != nil {
			t.Fatal(err)
		}
		return files(file)
	}
	var log lbtest.Log
	b := startTransport(t, "b", newFakeHandler(nil), issue(good, "b", "b", inOneHour), &log, Peer{"a", []string{"127.0.0.1:1"}}, Peer{"c", []string{"127.0.0.1:1"}})
	for name, test := range map[string]struct {
		identity   *Identity
		site       string // in the greeting of the client
		peer       string // the site that the client expects to reach
		wantReason string // in the log, or in the status of the client
	}{
		"unknown authority":           {issue(other, "x1", "a", inOneHour), "a", "b", "unknown authority"},
		"expired":                     {issue(good, "x2", "a", time.Now().Add(-time.Hour)), "a", "b", "expired"},
		"site is not a peer":          {issue(good, "x3", "z", inOneHour), "z", "b", "names no sala"},
		"certificate of another site": {issue(good, "x4", "c", inOneHour), "a", "b", "not that of sala"},
		"other server name":           {issue(good, "x5", "a", inOneHour), "a", "c", "not c"},
	} {
		t.Run(name, func(t *testing.T) {
			client := startTransport(t, test.site, newFakeHandler(nil), test.identity, &log, Peer{test.peer, []string{b.Addr()}})
			lbtest.Until(t, "the log or the status has the expected reason", func() bool {
				return log.Contains(test.wantReason) || strings.Contains(client.Status(t.Context(), false)[0].LastError, test.wantReason)
			})
			if isConnected(client, test.peer) {
				t.Error("connected with an invalid certificate")
			}
			if result := forwardTo(client, test.peer, 1); result.Sent || result.Outcome != accounting.NeverRan {
				t.Errorf("forwarding without a session returned %+v, want not sent and never ran", result)
			}
		})
	}
	a := startTransport(t, "a", newFakeHandler(nil), issue(good, "a", "a", inOneHour), &log, Peer{"b", []string{b.Addr()}})
	awaitConnected(t, a)
	// First the certificate file of b becomes invalid. Then it gets a certificate of another authority, which a trusts by
	// then.
	if err := os.WriteFile(files("b").Certificate, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	reconnect := func() {
		previous := a.gatewaysInOrder("b")[0].pickSession()
		previous.conn.Close()
		lbtest.Until(t, "site a has a new session to site b", func() bool { next := a.gatewaysInOrder("b")[0].pickSession(); return next != nil && next != previous })
	}
	reconnect()
	lbtest.Until(t, "the invalid certificate is logged", func() bool { return log.Contains("certificate in use is kept") })
	goodCertificates, err := os.ReadFile(good.File)
	if err != nil {
		t.Fatal(err)
	}
	otherCertificates, err := os.ReadFile(other.File)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(good.File, append(goodCertificates, otherCertificates...), 0o600); err != nil {
		t.Fatal(err)
	}
	issue(other, "b", "b", inOneHour)
	reconnect()
	if result := forwardTo(a, "b", 10); result.Outcome != accounting.Served {
		t.Errorf("request after the change of certificates: %+v, want served", result)
	}
	if issuer := a.gatewaysInOrder("b")[0].pickSession().conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Issuer.CommonName; issuer != "other" {
		t.Errorf("site b uses a certificate issued by %s, want one issued by other", issuer)
	}
	if _, err := Start(Options{Site: "x", Listen: "0.0.0.0:0", Logger: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("Start accepted a listener without TLS on all addresses")
	}
}

// TestBlockedConnectionTimesOutAndIsSettled blocks a connection in one direction or both. The heartbeat timeout ends the
// session. The request in flight is settled after reconnecting, and the counters of both ends agree.
func TestBlockedConnectionTimesOutAndIsSettled(t *testing.T) {
	for name, blocked := range map[string][]fake.Direction{"requests blocked": {fake.ToServer}, "responses blocked": {fake.ToClient}, "both directions blocked": {fake.ToServer, fake.ToClient}} {
		t.Run(name, func(t *testing.T) {
			b := newFakeHandler(nil)
			a, path, _ := connectTwoSites(t, b)
			if result := forwardTo(a, "b", 10); result.Outcome != accounting.Served || string(result.Response.Body) != "xxxxxxxxxx" {
				t.Fatalf("request before the block: %+v, want served with its own body", result)
			}
			for _, direction := range blocked {
				path.Block(direction, true)
			}
			result := forwardTo(a, "b", 10) // ends with the session, long before its own timeout
			if !result.Sent || result.Outcome != accounting.Pending {
				t.Fatalf("request on the blocked connection: %+v, want sent and pending", result)
			}
			lbtest.Until(t, "site b is reported as closed", func() bool { return a.Status(t.Context(), false)[0].State == "closed" })
			if result := forwardTo(a, "b", 10); result.Sent {
				t.Error("a request was sent without a session")
			}
			for _, direction := range blocked {
				path.Block(direction, false)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
			defer cancel()
			got, requestCount := a.Settle(ctx, result), b.requestCount.Load()
			if want := map[bool]accounting.Outcome{true: accounting.NeverArrived, false: accounting.Served}[requestCount == 1]; got != want {
				t.Errorf("settled as %v after %d requests were received", got, requestCount)
			}
			if again := a.Settle(ctx, result); again != got {
				t.Errorf("a second Settle returned %v", again)
			}
			awaitReconciled(t, a)
			if b.requestCount.Load() != requestCount {
				t.Error("a request arrived after it was settled")
			}
		})
	}
}

// TestOutcomeIsCorrectAfterConnectionIsCut cuts connections at various bytes of a request or its response. The request in
// flight is settled with the outcome that it had, and a request reported as never arrived does not run.
func TestOutcomeIsCorrectAfterConnectionIsCut(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	b := newFakeHandler(func(_ context.Context, request *Request) *Response {
		mu.Lock()
		defer mu.Unlock()
		ran[request.Key] = true
		return &Response{Outcome: accounting.Served, Status: 200, Body: request.Body}
	})
	a, path, _ := connectTwoSites(t, b)
	reported := map[accounting.Outcome]int{}
	for i := range 60 {
		awaitConnected(t, a)
		direction := fake.ToServer
		if i%2 == 1 {
			direction = fake.ToClient
		}
		path.CutAfter(direction, int64(i/2*90))
		request := newRequest(2000)
		request.Key = fmt.Sprint("k", i)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		result := a.Forward(ctx, "b", request)
		path.CutAfter(direction, -1)
		outcome := a.Settle(ctx, result)
		cancel()
		reported[outcome]++
		mu.Lock()
		if ran[request.Key] == outcome.ProvesNothingRan() {
			t.Errorf("cut %d: the request ran: %v, outcome: %v", i, ran[request.Key], outcome)
		}
		mu.Unlock()
	}
	sums := awaitReconciled(t, a)
	if reported[accounting.Served] < 5 || reported[accounting.NeverArrived] < 5 || sums[accounting.Served] != uint64(reported[accounting.Served]) {
		t.Errorf("outcomes reported %v, counted %v; want at least 5 served and 5 never arrived, and equal numbers served", reported, sums)
	}
}

// TestPeerRestartSettlesRequestsAsMayHaveRun replaces the remote gateway by a new process while a request is in flight. The
// new process does not know its outcome, so the request is settled as "may have run". New requests go to the new process.
func TestPeerRestartSettlesRequestsAsMayHaveRun(t *testing.T) {
	unblock := make(chan struct{})
	defer close(unblock)
	b := newFakeHandler(func(context.Context, *Request) *Response {
		<-unblock // the old process never answers
		return &Response{Outcome: accounting.Served}
	})
	a, path, previous := connectTwoSites(t, b)
	results := make(chan ForwardResult, 1)
	go func() { results <- forwardTo(a, "b", 1) }()
	lbtest.Until(t, "the request is in flight", func() bool { return b.requestCount.Load() == 1 })
	restarted := startTransport(t, "b", newFakeHandler(nil), nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path.SetTarget(restarted.Addr())
	previous.Close()
	result := <-results
	ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
	defer cancel()
	if outcome := a.Settle(ctx, result); outcome != accounting.MayHaveRun {
		t.Errorf("settled as %v, want may have run", outcome)
	}
	awaitConnected(t, a)
	if result := forwardTo(a, "b", 1); result.Outcome != accounting.Served {
		t.Errorf("request to the new process: %+v, want served", result)
	}
}

// TestDrainCompletesRequestsInFlight checks that requests in flight are answered during a graceful shutdown.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	b := newFakeHandler(func(ctx context.Context, request *Request) *Response {
		<-release
		return &Response{Outcome: accounting.Served, Status: 200}
	})
	a, _, drained := connectTwoSites(t, b)
	results := make(chan ForwardResult, 8)
	for range cap(results) {
		go func() { results <- forwardTo(a, "b", 1) }()
	}
	lbtest.Until(t, "all requests are in flight", func() bool { return b.requestCount.Load() == int64(cap(results)) })
	drainEnded := make(chan struct{})
	go func() { drained.Drain(time.Now().Add(lbtest.Wait)); close(drainEnded) }()
	lbtest.Until(t, "site a has no session to site b in use", func() bool { return !isConnected(a, "b") })
	close(release)
	for range cap(results) {
		if result := <-results; result.Outcome != accounting.Served {
			t.Errorf("request in flight while draining: %+v, want served", result)
		}
	}
	<-drainEnded
}

// TestSmallRequestIsNotDelayedByLargeOnes sends 60 large requests over a path of 8 MiB/s and then a small one. The small
// request must be served before more than 45 of the large ones are.
func TestSmallRequestIsNotDelayedByLargeOnes(t *testing.T) {
	a, path, _ := connectTwoSites(t, newFakeHandler(nil))
	path.Shape(0, 0, 8<<20)
	var largeServed atomic.Int64
	var largeRequests sync.WaitGroup
	for range 60 {
		largeRequests.Go(func() {
			if result := forwardTo(a, "b", 60<<10); result.Outcome != accounting.Served {
				t.Errorf("large request: %+v, want served", result)
			}
			largeServed.Add(1)
		})
	}
	lbtest.Until(t, "over 100 KiB of the large requests have been sent", func() bool { return path.Bytes(fake.ToServer) > 100<<10 })
	if result := forwardTo(a, "b", 10); result.Outcome != accounting.Served {
		t.Errorf("small request: %+v, want served", result)
	}
	if served := largeServed.Load(); served > 45 {
		t.Errorf("the small request was served after %d large ones, want at most 45", served)
	}
	largeRequests.Wait()
}

// rawClient is a fake peer that writes HTTP/2 frames directly.
type rawClient struct {
	net.Conn
	*http2.Framer
	t           testing.TB
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
}

// newRawClient connects to an address and sends the HTTP/2 client preface and settings.
func newRawClient(t testing.TB, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(lbtest.Wait))
	io.WriteString(conn, http2.ClientPreface)
	client := &rawClient{Conn: conn, Framer: http2.NewFramer(conn, conn), t: t}
	client.encoder = hpack.NewEncoder(&client.headerBlock)
	client.WriteSettings()
	return client
}

// writeRequestHeaders opens a stream with a POST request to a path.
func (r *rawClient) writeRequestHeaders(stream uint32, path string) {
	r.headerBlock.Reset()
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":authority", "b"}, {":path", path}} {
		r.encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	r.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: r.headerBlock.Bytes(), EndHeaders: true})
}

// readStream reads until the connection or any stream ends, and returns the data received.
func (r *rawClient) readStream() (data string) {
	for {
		frame, err := r.ReadFrame()
		if err != nil {
			return data
		}
		switch frame := frame.(type) {
		case *http2.DataFrame:
			data += string(frame.Data())
			if frame.StreamEnded() {
				return data
			}
		}
	}
}

// TestInvalidClientDoesNotAffectOthers connects clients that offer unsupported versions, send requests before the greeting,
// send malformed messages, exceed the flow-control window or repeat a request number. Each is rejected, and a valid client is
// still served. Unknown fields of a later version are ignored.
func TestInvalidClientDoesNotAffectOthers(t *testing.T) {
	b := newFakeHandler(nil)
	a, _, to := connectTwoSites(t, b)
	greet := func(client *rawClient, message any) string {
		data, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		client.writeRequestHeaders(1, pathHello)
		client.WriteData(1, true, data)
		got := client.readStream()
		return got
	}
	t.Run("unknown version", func(t *testing.T) {
		if got := greet(newRawClient(t, to.Addr()), &helloRequest{OldestVersion: 2, NewestVersion: 9, Site: "a", ToSite: "b", SessionID: 1}); !strings.Contains(got, "not spoken here") {
			t.Errorf("response to an unsupported version is %q, want a rejection", got)
		}
	})
	t.Run("later version with unknown fields", func(t *testing.T) {
		client := newRawClient(t, to.Addr())
		got := greet(client, map[string]any{"o": 1, "w": 7, "f": "a", "t": "b", "p": 5, "s": 77, "new": map[string]int{"x": 1}})
		var welcome helloResponse
		if err := decode(strings.NewReader(got), &welcome); err != nil || welcome.Version != 1 || welcome.Error != "" {
			t.Fatalf("greeting of a later version: error %v, response %+v; want version 1", err, welcome)
		}
		data, _ := encode(map[string]any{"n": 1, "l": int64(1e6), "k": "c", "b": []string{"a"}, "q": "POST", "g": "/", "h": "x", "r": 99, "later": []int{1}})
		client.writeRequestHeaders(3, pathCall)
		client.WriteData(3, true, data)
		got = client.readStream()
		var response Response
		if err := decode(strings.NewReader(got), &response); err != nil || response.Outcome != accounting.Served {
			t.Errorf("request with unknown fields: error %v, response %+v; want served", err, response)
		}
		before := b.requestCount.Load()
		client.writeRequestHeaders(5, pathCall) // the same request number again
		client.WriteData(5, true, data)
		if client.readStream(); b.requestCount.Load() != before {
			t.Error("a request with a repeated number ran")
		}
	})
	t.Run("not greeted", func(t *testing.T) {
		client := newRawClient(t, to.Addr())
		before := b.requestCount.Load()
		data, _ := encode(newRequest(1))
		client.writeRequestHeaders(1, pathCall)
		client.WriteData(1, true, data)
		if got := client.readStream(); !strings.Contains(got, "not greeted") || b.requestCount.Load() != before {
			t.Errorf("response to a request before the greeting is %q, want a rejection", got)
		}
	})
	t.Run("garbage", func(t *testing.T) {
		client := newRawClient(t, to.Addr())
		client.writeRequestHeaders(1, pathHello)
		client.WriteData(1, true, []byte("\xff\xff\xff\xff\x00garbage"))
		if got := client.readStream(); !strings.Contains(got, "link:") {
			t.Errorf("response to a malformed greeting is %q, want an error", got)
		}
	})
	t.Run("more data than the window", func(t *testing.T) {
		client, before := newRawClient(t, to.Addr()), b.requestCount.Load()
		client.writeRequestHeaders(1, pathCall)
		for range 400 {
			if client.WriteData(1, false, make([]byte, 16<<10)) != nil {
				break
			}
		}
		if data := client.readStream(); strings.Contains(data, "served") || b.requestCount.Load() != before {
			t.Errorf("data beyond the window was accepted, response %q", data)
		}
	})
	if result := forwardTo(a, "b", 1); result.Outcome != accounting.Served {
		t.Errorf("request of the valid client: %+v, want served", result)
	}
}

// TestInvalidResponseIsSettledAsMayHaveRun connects to a gateway whose response belongs to no stream or cannot be decoded. The
// request is settled as "may have run" and is not sent again.
func TestInvalidResponseIsSettledAsMayHaveRun(t *testing.T) {
	for name, writeResponse := range map[string]func(framer *http2.Framer, stream uint32){
		"response to an unknown stream": func(framer *http2.Framer, stream uint32) {
			var headerBlock bytes.Buffer
			hpack.NewEncoder(&headerBlock).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream + 100, BlockFragment: headerBlock.Bytes(), EndHeaders: true})
		},
		"undecodable response": func(framer *http2.Framer, stream uint32) {
			var headerBlock bytes.Buffer
			hpack.NewEncoder(&headerBlock).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: headerBlock.Bytes(), EndHeaders: true})
			framer.WriteData(stream, true, []byte("nonsense"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener := lbtest.Listen(t)
			var callCount atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go serveInvalidResponses(conn, &callCount, writeResponse)
				}
			}()
			a := startTransport(t, "a", newFakeHandler(nil), nil, io.Discard, Peer{"b", []string{listener.Addr().String()}})
			awaitConnected(t, a)
			soon, cancel := context.WithTimeout(t.Context(), time.Second) // a response on an unknown stream is ignored
			result := a.Forward(soon, "b", newRequest(1))
			cancel()
			if result.Outcome.ProvesNothingRan() || result.Outcome == accounting.Served {
				t.Errorf("request with an invalid response: %+v, want an outcome that does not rule out that it ran", result)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
			defer cancel()
			if outcome := a.Settle(ctx, result); outcome != accounting.MayHaveRun || callCount.Load() != 1 {
				t.Errorf("settled as %v after %d calls, want may have run after 1", outcome, callCount.Load())
			}
		})
	}
}

// serveInvalidResponses accepts the greeting and answers heartbeats like a gateway, and calls writeResponse for each forwarded
// request. It claims not to know any session that is to be settled.
func serveInvalidResponses(conn net.Conn, callCount *atomic.Int64, writeResponse func(*http2.Framer, uint32)) {
	defer conn.Close()
	io.ReadFull(conn, make([]byte, len(http2.ClientPreface)))
	framer := http2.NewFramer(conn, conn)
	framer.WriteSettings()
	paths := map[uint32]string{}
	decoder := hpack.NewDecoder(4096, nil)
	framer.ReadMetaHeaders = decoder
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				framer.WriteSettingsAck()
			}
		case *http2.MetaHeadersFrame:
			paths[frame.StreamID] = frame.PseudoValue("path")
		case *http2.DataFrame:
			if !frame.StreamEnded() {
				continue
			}
			var response any
			switch paths[frame.StreamID] {
			case pathHello:
				response = &helloResponse{Version: 1, ProcessID: uint64(time.Now().UnixNano())}
			case pathState:
				response = &heartbeat{State: forwarding.Available}
			case pathSettle:
				response = &settleResponse{}
			case pathCall:
				callCount.Add(1)
				writeResponse(framer, frame.StreamID)
				continue
			}
			data, _ := encode(response)
			var headerBlock bytes.Buffer
			hpack.NewEncoder(&headerBlock).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: frame.StreamID, BlockFragment: headerBlock.Bytes(), EndHeaders: true})
			framer.WriteData(frame.StreamID, true, data)
		}
	}
}

// FuzzDecode decodes arbitrary bytes. Decoding must not panic, and decoded messages must be within their limits.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{newRequest(3), &Response{Outcome: accounting.Served, Status: 200, Header: http.Header{"X": {"y"}}}, &helloRequest{OldestVersion: 1, NewestVersion: 1, SessionID: 1}} {
		data, err := encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request Request
		if decode(bytes.NewReader(data), &request) == nil && (len(request.VisitedSites) == 0 || request.Target[0] != '/' || !request.Reason.IsValid() || request.Effect > 2) {
			t.Errorf("decoded a request out of its limits: %+v", request)
		}
		var response Response
		if decode(bytes.NewReader(data), &response) == nil && (response.Outcome == accounting.Pending || response.Outcome > accounting.MayHaveRun) {
			t.Errorf("decoded a response with an invalid outcome: %+v", response)
		}
	})
}
