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

// fakeHandler is a site whose responses the test decides.
type fakeHandler struct {
	respond      func(ctx context.Context, c *Request) *Response
	state        atomic.Int32
	requestCount atomic.Int64
}

func (s *fakeHandler) ServeRequest(ctx context.Context, from string, c *Request) *Response {
	s.requestCount.Add(1)
	if s.respond == nil {
		return &Response{Outcome: accounting.Served, Status: 200, Body: c.Body}
	}
	return s.respond(ctx, c)
}
func (s *fakeHandler) State() forwarding.State { return forwarding.State(s.state.Load()) }
func (s *fakeHandler) Lookup(id idempotency.KeyID) KeyLocation {
	return KeyLocation{Known: id[0] == 1, Cluster: "c"}
}

func newFakeHandler(cross func(context.Context, *Request) *Response) *fakeHandler {
	s := &fakeHandler{respond: cross}
	s.state.Store(int32(forwarding.Available))
	return s
}

func startTransport(t testing.TB, site string, s Handler, id *Identity, log io.Writer, peers ...Peer) *Transport {
	t.Helper()
	l, err := Start(Options{Site: site, Listen: "127.0.0.1:0", Identity: id, Peers: peers, HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
		MaxInFlight: 64, PriorityWeights: []float64{1, 10}, Handler: s, Logger: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// connectTwoSites connects site a to site b over a path.
func connectTwoSites(t testing.TB, b Handler) (from *Transport, path *fake.Path, to *Transport) {
	t.Helper()
	to = startTransport(t, "b", b, nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path, err := fake.NewPath(to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	from = startTransport(t, "a", newFakeHandler(nil), nil, io.Discard, Peer{"b", []string{path.Addr}})
	awaitConnected(t, from)
	return from, path, to
}

func isConnected(l *Transport, site string) bool {
	gates := l.gatewaysInOrder(site)
	return len(gates) > 0 && gates[0].pickSession() != nil
}

func awaitConnected(t testing.TB, l *Transport) {
	t.Helper()
	lbtest.Until(t, "site b is connected", func() bool { return isConnected(l, "b") })
}

func forwardTo(l *Transport, site string, body int) ForwardResult {
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	return l.Forward(ctx, site, newRequest(body))
}

func newRequest(body int) *Request {
	return &Request{TimeLeft: lbtest.Wait.Microseconds(), Class: "c", VisitedSites: []string{"a"}, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("x"), body)}
}

// awaitReconciled waits until both ends count the same and nothing is unsettled.
func awaitReconciled(t testing.TB, l *Transport) (sums map[accounting.Outcome]uint64) {
	t.Helper()
	var v SiteStatus
	lbtest.Until(t, "both ends count the same", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
		defer cancel()
		v = l.Status(ctx, true)[0]
		return v.Unsettled == 0 && v.LastError == "" && len(v.Differences) == 0 && v.SessionsCompared > 0
	})
	sums = map[accounting.Outcome]uint64{}
	for _, s := range v.Sent {
		sums[s.Outcome] += s.Count
	}
	return sums
}

// TestIdentity connects with all kinds of certificates: accepted is one of the right authority, valid now, of the expected
// site. Files that are replaced while in use apply to the next connection, and unusable ones change nothing.
func TestIdentity(t *testing.T) {
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
	hour := time.Now().Add(time.Hour)
	issue := func(by *fake.Authority, file, name string, until time.Time) *Identity {
		if err := by.Issue(files(file).Certificate, files(file).Key, name, until); err != nil {
			t.Fatal(err)
		}
		return files(file)
	}
	var log lbtest.Log
	b := startTransport(t, "b", newFakeHandler(nil), issue(good, "b", "b", hour), &log, Peer{"a", []string{"127.0.0.1:1"}}, Peer{"c", []string{"127.0.0.1:1"}})
	for name, c := range map[string]struct {
		id   *Identity
		site string // that it greets as
		to   string // the site that it expects
		says string // in the other's log, or in the own status
	}{
		"unknown authority": {issue(other, "x1", "a", hour), "a", "b", "unknown authority"},
		"expired":           {issue(good, "x2", "a", time.Now().Add(-time.Hour)), "a", "b", "expired"},
		"of no peer":        {issue(good, "x3", "z", hour), "z", "b", "names no sala"},
		"of another site":   {issue(good, "x4", "c", hour), "a", "b", "not that of sala"},
		"other server name": {issue(good, "x5", "a", hour), "a", "c", "not c"},
	} {
		t.Run(name, func(t *testing.T) {
			l := startTransport(t, c.site, newFakeHandler(nil), c.id, &log, Peer{c.to, []string{b.Addr()}})
			lbtest.Until(t, "the reason is reported", func() bool {
				return log.Contains(c.says) || strings.Contains(l.Status(t.Context(), false)[0].LastError, c.says)
			})
			if isConnected(l, c.to) {
				t.Error("connected")
			}
			if x := forwardTo(l, c.to, 1); x.Sent || x.Outcome != accounting.NeverRan {
				t.Errorf("%+v", x)
			}
		})
	}
	a := startTransport(t, "a", newFakeHandler(nil), issue(good, "a", "a", hour), &log, Peer{"b", []string{b.Addr()}})
	awaitConnected(t, a)
	// b's certificate becomes one that nobody can use, then one of a new authority that a knows by then.
	if err := os.WriteFile(files("b").Certificate, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	reconnect := func() {
		s := a.gatewaysInOrder("b")[0].pickSession()
		s.conn.Close()
		lbtest.Until(t, "connected again", func() bool { n := a.gatewaysInOrder("b")[0].pickSession(); return n != nil && n != s })
	}
	reconnect()
	lbtest.Until(t, "the log says so", func() bool { return log.Contains("certificate in use is kept") })
	both, err := os.ReadFile(good.File)
	if err != nil {
		t.Fatal(err)
	}
	more, err := os.ReadFile(other.File)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(good.File, append(both, more...), 0o600); err != nil {
		t.Fatal(err)
	}
	issue(other, "b", "b", hour)
	reconnect()
	if x := forwardTo(a, "b", 10); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
	if by := a.gatewaysInOrder("b")[0].pickSession().conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Issuer.CommonName; by != "other" {
		t.Errorf("the certificate of %s is still in use", by)
	}
	if _, err := Start(Options{Site: "x", Listen: "0.0.0.0:0", Logger: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("a plain listener on all addresses")
	}
}

// TestHeartbeatTimeout holds up a connection in one direction or both: it is noticed, what was in flight is settled once the
// connection is back, and both ends count the same.
func TestHeartbeatTimeout(t *testing.T) {
	for name, held := range map[string][]fake.Direction{"there": {fake.ToServer}, "back": {fake.ToClient}, "both": {fake.ToServer, fake.ToClient}} {
		t.Run(name, func(t *testing.T) {
			b := newFakeHandler(nil)
			a, path, _ := connectTwoSites(t, b)
			if x := forwardTo(a, "b", 10); x.Outcome != accounting.Served || string(x.Response.Body) != "xxxxxxxxxx" {
				t.Fatalf("%+v", x)
			}
			for _, d := range held {
				path.Block(d, true)
			}
			x := forwardTo(a, "b", 10) // ends with the session, long before its own time
			if !x.Sent || x.Outcome != accounting.Pending {
				t.Fatalf("%+v", x)
			}
			lbtest.Until(t, "noticed", func() bool { return a.Status(t.Context(), false)[0].State == "closed" })
			if x := forwardTo(a, "b", 10); x.Sent {
				t.Error("sent without a connection")
			}
			for _, d := range held {
				path.Block(d, false)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
			defer cancel()
			got, came := a.Settle(ctx, x), b.requestCount.Load()
			if want := map[bool]accounting.Outcome{true: accounting.NeverArrived, false: accounting.Served}[came == 1]; got != want {
				t.Errorf("settled as %v with %d calls come", got, came)
			}
			if again := a.Settle(ctx, x); again != got {
				t.Errorf("settled again as %v", again)
			}
			awaitReconciled(t, a)
			if b.requestCount.Load() != came {
				t.Error("it arrived after it was reported as never arrived")
			}
		})
	}
}

// TestConnectionCutAtAnyByte cuts connections at any byte of a request or its response: what was in flight is settled with
// the right outcome, and what is reported as never arrived does not run.
func TestConnectionCutAtAnyByte(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	b := newFakeHandler(func(_ context.Context, c *Request) *Response {
		mu.Lock()
		defer mu.Unlock()
		ran[c.Key] = true
		return &Response{Outcome: accounting.Served, Status: 200, Body: c.Body}
	})
	a, path, _ := connectTwoSites(t, b)
	reported := map[accounting.Outcome]int{}
	for i := range 60 {
		awaitConnected(t, a)
		d := fake.ToServer
		if i%2 == 1 {
			d = fake.ToClient
		}
		path.CutAfter(d, int64(i/2*90))
		c := newRequest(2000)
		c.Key = fmt.Sprint("k", i)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		x := a.Forward(ctx, "b", c)
		path.CutAfter(d, -1)
		o := a.Settle(ctx, x)
		cancel()
		reported[o]++
		mu.Lock()
		if ran[c.Key] == o.ProvesNothingRan() {
			t.Errorf("cut %d: ran %v, reported %v", i, ran[c.Key], o)
		}
		mu.Unlock()
	}
	sums := awaitReconciled(t, a)
	if reported[accounting.Served] < 5 || reported[accounting.NeverArrived] < 5 || sums[accounting.Served] != uint64(reported[accounting.Served]) {
		t.Errorf("reported %v, counted %v", reported, sums)
	}
}

// TestPeerRestart replaces the other gateway by another process while requests are in flight: their outcome is reported as
// unknown (may have run), and new requests go to the new process.
func TestPeerRestart(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	b := newFakeHandler(func(context.Context, *Request) *Response {
		<-hang // no answer leaves the process that ends
		return &Response{Outcome: accounting.Served}
	})
	a, path, old := connectTwoSites(t, b)
	out := make(chan ForwardResult, 1)
	go func() { out <- forwardTo(a, "b", 1) }()
	lbtest.Until(t, "the request is in flight", func() bool { return b.requestCount.Load() == 1 })
	fresh := startTransport(t, "b", newFakeHandler(nil), nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path.SetTarget(fresh.Addr())
	old.Close()
	x := <-out
	ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
	defer cancel()
	if o := a.Settle(ctx, x); o != accounting.MayHaveRun {
		t.Errorf("settled as %v", o)
	}
	awaitConnected(t, a)
	if x := forwardTo(a, "b", 1); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
}

// TestDrain shuts down gracefully: what is in flight is answered, and nothing is lost.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	b := newFakeHandler(func(ctx context.Context, c *Request) *Response {
		<-release
		return &Response{Outcome: accounting.Served, Status: 200}
	})
	a, _, to := connectTwoSites(t, b)
	out := make(chan ForwardResult, 8)
	for range cap(out) {
		go func() { out <- forwardTo(a, "b", 1) }()
	}
	lbtest.Until(t, "all are in flight", func() bool { return b.requestCount.Load() == int64(cap(out)) })
	done := make(chan struct{})
	go func() { to.Drain(time.Now().Add(lbtest.Wait)); close(done) }()
	lbtest.Until(t, "the connection is retired", func() bool { return !isConnected(a, "b") })
	close(release)
	for range cap(out) {
		if x := <-out; x.Outcome != accounting.Served {
			t.Errorf("%+v", x)
		}
	}
	<-done
}

// TestSmallRequestBesideLargeOnes sends large bodies over a narrow path: they do not hold up a small request after them.
func TestSmallRequestBesideLargeOnes(t *testing.T) {
	a, path, _ := connectTwoSites(t, newFakeHandler(nil))
	path.Shape(0, 0, 8<<20)
	var large atomic.Int64
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			if x := forwardTo(a, "b", 60<<10); x.Outcome != accounting.Served {
				t.Errorf("%+v", x)
			}
			large.Add(1)
		})
	}
	lbtest.Until(t, "the large ones are in transit", func() bool { return path.Bytes(fake.ToServer) > 100<<10 })
	if x := forwardTo(a, "b", 10); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
	if n := large.Load(); n > 45 {
		t.Errorf("the small one was served after %d large ones", n)
	}
	all.Wait()
}

// rawClient is a peer that writes HTTP/2 frames itself.
type rawClient struct {
	net.Conn
	*http2.Framer
	t           testing.TB
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
}

func newRawClient(t testing.TB, addr string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(lbtest.Wait))
	io.WriteString(c, http2.ClientPreface)
	r := &rawClient{Conn: c, Framer: http2.NewFramer(c, c), t: t}
	r.encoder = hpack.NewEncoder(&r.headerBlock)
	r.WriteSettings()
	return r
}

func (r *rawClient) writeRequestHeaders(stream uint32, path string) {
	r.headerBlock.Reset()
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":authority", "b"}, {":path", path}} {
		r.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	r.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: r.headerBlock.Bytes(), EndHeaders: true})
}

// readStream reads until the connection or a stream ends, and returns the data that came.
func (r *rawClient) readStream() (text string) {
	for {
		f, err := r.ReadFrame()
		if err != nil {
			return text
		}
		switch f := f.(type) {
		case *http2.DataFrame:
			text += string(f.Data())
			if f.StreamEnded() {
				return text
			}
		}
	}
}

// TestInvalidClient connects with unknown versions, requests before a greeting, garbage, more data than the window allows
// and repeated numbers. Each fails alone.
func TestInvalidClient(t *testing.T) {
	b := newFakeHandler(nil)
	a, _, to := connectTwoSites(t, b)
	greet := func(r *rawClient, h any) string {
		text, err := encode(h)
		if err != nil {
			t.Fatal(err)
		}
		r.writeRequestHeaders(1, pathHello)
		r.WriteData(1, true, text)
		got := r.readStream()
		return got
	}
	t.Run("unknown version", func(t *testing.T) {
		if got := greet(newRawClient(t, to.Addr()), &helloRequest{OldestVersion: 2, NewestVersion: 9, Site: "a", ToSite: "b", SessionID: 1}); !strings.Contains(got, "not spoken here") {
			t.Errorf("%q", got)
		}
	})
	t.Run("later version with unknown fields", func(t *testing.T) {
		r := newRawClient(t, to.Addr())
		got := greet(r, map[string]any{"o": 1, "w": 7, "f": "a", "t": "b", "p": 5, "s": 77, "new": map[string]int{"x": 1}})
		var w helloResponse
		if err := decode(strings.NewReader(got), &w); err != nil || w.Version != 1 || w.Error != "" {
			t.Fatalf("%v %+v", err, w)
		}
		text, _ := encode(map[string]any{"n": 1, "l": int64(1e6), "k": "c", "b": []string{"a"}, "q": "POST", "g": "/", "h": "x", "r": 99, "later": []int{1}})
		r.writeRequestHeaders(3, pathCall)
		r.WriteData(3, true, text)
		got = r.readStream()
		var a Response
		if err := decode(strings.NewReader(got), &a); err != nil || a.Outcome != accounting.Served {
			t.Errorf("%v %+v", err, a)
		}
		before := b.requestCount.Load()
		r.writeRequestHeaders(5, pathCall) // the same number again
		r.WriteData(5, true, text)
		if r.readStream(); b.requestCount.Load() != before {
			t.Error("one number ran twice")
		}
	})
	t.Run("not greeted", func(t *testing.T) {
		r := newRawClient(t, to.Addr())
		before := b.requestCount.Load()
		text, _ := encode(newRequest(1))
		r.writeRequestHeaders(1, pathCall)
		r.WriteData(1, true, text)
		if got := r.readStream(); !strings.Contains(got, "not greeted") || b.requestCount.Load() != before {
			t.Errorf("%q", got)
		}
	})
	t.Run("garbage", func(t *testing.T) {
		r := newRawClient(t, to.Addr())
		r.writeRequestHeaders(1, pathHello)
		r.WriteData(1, true, []byte("\xff\xff\xff\xff\x00garbage"))
		if got := r.readStream(); !strings.Contains(got, "link:") {
			t.Errorf("%q", got)
		}
	})
	t.Run("more data than the window", func(t *testing.T) {
		r, before := newRawClient(t, to.Addr()), b.requestCount.Load()
		r.writeRequestHeaders(1, pathCall)
		for range 400 {
			if r.WriteData(1, false, make([]byte, 16<<10)) != nil {
				break
			}
		}
		if text := r.readStream(); strings.Contains(text, "served") || b.requestCount.Load() != before {
			t.Errorf("accepted: %q", text)
		}
	})
	if x := forwardTo(a, "b", 1); x.Outcome != accounting.Served {
		t.Errorf("the valid client: %+v", x)
	}
}

// TestInvalidServer connects to a gateway that answers what nobody asked, or nonsense: the outcome is that the request may
// have run.
func TestInvalidServer(t *testing.T) {
	for name, answer := range map[string]func(f *http2.Framer, stream uint32){
		"response to an unknown stream": func(f *http2.Framer, stream uint32) {
			var buf bytes.Buffer
			hpack.NewEncoder(&buf).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream + 100, BlockFragment: buf.Bytes(), EndHeaders: true})
		},
		"undecodable response": func(f *http2.Framer, stream uint32) {
			var buf bytes.Buffer
			hpack.NewEncoder(&buf).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: buf.Bytes(), EndHeaders: true})
			f.WriteData(stream, true, []byte("nonsense"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := lbtest.Listen(t)
			var calls atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveInvalidResponses(c, &calls, answer)
				}
			}()
			a := startTransport(t, "a", newFakeHandler(nil), nil, io.Discard, Peer{"b", []string{l.Addr().String()}})
			awaitConnected(t, a)
			soon, cancel := context.WithTimeout(t.Context(), time.Second) // an answer to nothing is passed over
			x := a.Forward(soon, "b", newRequest(1))
			cancel()
			if x.Outcome.ProvesNothingRan() || x.Outcome == accounting.Served {
				t.Errorf("%+v", x)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
			defer cancel()
			if o := a.Settle(ctx, x); o != accounting.MayHaveRun || calls.Load() != 1 {
				t.Errorf("%v, %d calls", o, calls.Load())
			}
		})
	}
}

// serveInvalidResponses greets and answers heartbeats as a gateway does, and requests with answer.
func serveInvalidResponses(c net.Conn, calls *atomic.Int64, answer func(*http2.Framer, uint32)) {
	defer c.Close()
	io.ReadFull(c, make([]byte, len(http2.ClientPreface)))
	f := http2.NewFramer(c, c)
	f.WriteSettings()
	paths := map[uint32]string{}
	dec := hpack.NewDecoder(4096, nil)
	f.ReadMetaHeaders = dec
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch g := frame.(type) {
		case *http2.SettingsFrame:
			if !g.IsAck() {
				f.WriteSettingsAck()
			}
		case *http2.MetaHeadersFrame:
			paths[g.StreamID] = g.PseudoValue("path")
		case *http2.DataFrame:
			if !g.StreamEnded() {
				continue
			}
			var said any
			switch paths[g.StreamID] {
			case pathHello:
				said = &helloResponse{Version: 1, ProcessID: uint64(time.Now().UnixNano())}
			case pathState:
				said = &heartbeat{State: forwarding.Available}
			case pathSettle:
				said = &settleResponse{}
			case pathCall:
				calls.Add(1)
				answer(f, g.StreamID)
				continue
			}
			text, _ := encode(said)
			var buf bytes.Buffer
			hpack.NewEncoder(&buf).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: g.StreamID, BlockFragment: buf.Bytes(), EndHeaders: true})
			f.WriteData(g.StreamID, true, text)
		}
	}
}

// FuzzDecode decodes any bytes: nothing panics, and what is decoded is in its bounds.
func FuzzDecode(f *testing.F) {
	for _, m := range []any{newRequest(3), &Response{Outcome: accounting.Served, Status: 200, Header: http.Header{"X": {"y"}}}, &helloRequest{OldestVersion: 1, NewestVersion: 1, SessionID: 1}} {
		text, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Request
		if decode(bytes.NewReader(text), &c) == nil && (len(c.VisitedSites) == 0 || c.Target[0] != '/' || !c.Reason.IsValid() || c.Effect > 2) {
			t.Errorf("%+v", c)
		}
		var a Response
		if decode(bytes.NewReader(text), &a) == nil && (a.Outcome == accounting.Pending || a.Outcome > accounting.MayHaveRun) {
			t.Errorf("%+v", a)
		}
	})
}
