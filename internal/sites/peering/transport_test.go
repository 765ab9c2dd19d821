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
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/internal/testkit/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is a sala whose every answer the test decides.
type script struct {
	cross func(ctx context.Context, c *Request) *Response
	state atomic.Int32
	came  atomic.Int64
}

func (s *script) ServeRequest(ctx context.Context, from string, c *Request) *Response {
	s.came.Add(1)
	if s.cross == nil {
		return &Response{Outcome: accounting.Served, Status: 200, Body: c.Body}
	}
	return s.cross(ctx, c)
}
func (s *script) State() forwarding.State { return forwarding.State(s.state.Load()) }
func (s *script) Lookup(id idempotency.KeyID) KeyLocation {
	return KeyLocation{Known: id[0] == 1, Cluster: "c"}
}

func newScript(cross func(context.Context, *Request) *Response) *script {
	s := &script{cross: cross}
	s.state.Store(int32(forwarding.Available))
	return s
}

func start(t testing.TB, sala string, s Handler, id *Identity, log io.Writer, peers ...Peer) *Transport {
	t.Helper()
	l, err := Start(Options{Site: sala, Listen: "127.0.0.1:0", Identity: id, Peers: peers, HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
		MaxInFlight: 64, PriorityWeights: []float64{1, 10}, Handler: s, Logger: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// two links sala a to sala b over a path.
func two(t testing.TB, b Handler) (from *Transport, path *standin.Path, to *Transport) {
	t.Helper()
	to = start(t, "b", b, nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path, err := standin.NewPath(to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	from = start(t, "a", newScript(nil), nil, io.Discard, Peer{"b", []string{path.Addr}})
	up(t, from, "b")
	return from, path, to
}

func stands(l *Transport, sala string) bool {
	gates := l.gatewaysInOrder(sala)
	return len(gates) > 0 && gates[0].pickSession() != nil
}

func up(t testing.TB, l *Transport, sala string) {
	t.Helper()
	lbtest.Until(t, "the link to "+sala+" stands", func() bool { return stands(l, sala) })
}

func call(l *Transport, sala string, body int) ForwardResult {
	ctx, cancel := context.WithTimeout(context.Background(), lbtest.Wait)
	defer cancel()
	return l.Forward(ctx, sala, newCall(body))
}

func newCall(body int) *Request {
	return &Request{TimeLeft: lbtest.Wait.Microseconds(), Class: "c", VisitedSites: []string{"a"}, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("x"), body)}
}

// agree waits until both ends of a link count the same and nothing is unsettled.
func agree(t testing.TB, l *Transport) (sums map[accounting.Outcome]uint64) {
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

// Who may link: a certificate of the right authority, in its time, of the sala that is expected; files that are replaced
// while in use are taken for the next connection, and unusable ones change nothing.
func TestIdentity(t *testing.T) {
	folder := t.TempDir()
	good, err := standin.NewAuthority(folder, "good")
	if err != nil {
		t.Fatal(err)
	}
	other, err := standin.NewAuthority(folder, "other")
	if err != nil {
		t.Fatal(err)
	}
	files := func(name string) *Identity {
		return &Identity{Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"), Authority: good.File}
	}
	hour := time.Now().Add(time.Hour)
	issue := func(by *standin.Authority, file, name string, until time.Time) *Identity {
		if err := by.Issue(files(file).Certificate, files(file).Key, name, until); err != nil {
			t.Fatal(err)
		}
		return files(file)
	}
	var log lbtest.Log
	b := start(t, "b", newScript(nil), issue(good, "b", "b", hour), &log, Peer{"a", []string{"127.0.0.1:1"}}, Peer{"c", []string{"127.0.0.1:1"}})
	for name, c := range map[string]struct {
		id   *Identity
		sala string // as what it greets
		to   string // as whom it takes the other
		says string // the other's log, or the own fault
	}{
		"a stranger's authority": {issue(other, "x1", "a", hour), "a", "b", "unknown authority"},
		"expired":                {issue(good, "x2", "a", time.Now().Add(-time.Hour)), "a", "b", "expired"},
		"of no sala":             {issue(good, "x3", "z", hour), "z", "b", "names no sala"},
		"of another sala":        {issue(good, "x4", "c", hour), "a", "b", "not that of sala"},
		"the other is not b":     {issue(good, "x5", "a", hour), "a", "c", "not c"},
	} {
		t.Run(name, func(t *testing.T) {
			l := start(t, c.sala, newScript(nil), c.id, &log, Peer{c.to, []string{b.Addr()}})
			lbtest.Until(t, "told why", func() bool {
				return log.Has(c.says) || strings.Contains(l.Status(t.Context(), false)[0].LastError, c.says)
			})
			if stands(l, c.to) {
				t.Error("linked")
			}
			if x := call(l, c.to, 1); x.Sent || x.Outcome != accounting.NeverRan {
				t.Errorf("%+v", x)
			}
		})
	}
	a := start(t, "a", newScript(nil), issue(good, "a", "a", hour), &log, Peer{"b", []string{b.Addr()}})
	up(t, a, "b")
	// b's certificate becomes one that nobody can use, then one of a new authority that a knows by then.
	if err := os.WriteFile(files("b").Certificate, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	reconnect := func() {
		s := a.gatewaysInOrder("b")[0].pickSession()
		s.conn.Close()
		lbtest.Until(t, "linked anew", func() bool { n := a.gatewaysInOrder("b")[0].pickSession(); return n != nil && n != s })
	}
	reconnect()
	lbtest.Until(t, "the log says so", func() bool { return log.Has("certificate in use is kept") })
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
	if x := call(a, "b", 10); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
	if by := a.gatewaysInOrder("b")[0].pickSession().conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Issuer.CommonName; by != "other" {
		t.Errorf("the certificate of %s is still in use", by)
	}
	if _, err := Start(Options{Site: "x", Listen: "0.0.0.0:0", Logger: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("a plain link on all addresses")
	}
}

// A link that falls silent, in one direction or both, and a gateway that hangs, are noticed; what was out is settled when it
// is back, and both ends count the same.
func TestSilence(t *testing.T) {
	for name, held := range map[string][]standin.Direction{"there": {standin.There}, "back": {standin.Back}, "both": {standin.There, standin.Back}} {
		t.Run(name, func(t *testing.T) {
			b := newScript(nil)
			a, path, _ := two(t, b)
			if x := call(a, "b", 10); x.Outcome != accounting.Served || string(x.Response.Body) != "xxxxxxxxxx" {
				t.Fatalf("%+v", x)
			}
			for _, d := range held {
				path.Hold(d, true)
			}
			x := call(a, "b", 10) // ends with the session, long before its own time
			if !x.Sent || x.Outcome != accounting.Pending {
				t.Fatalf("%+v", x)
			}
			lbtest.Until(t, "noticed", func() bool { return a.Status(t.Context(), false)[0].State == "closed" })
			if x := call(a, "b", 10); x.Sent {
				t.Error("sent on a link that is down")
			}
			for _, d := range held {
				path.Hold(d, false)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
			defer cancel()
			got, came := a.Settle(ctx, x), b.came.Load()
			if want := map[bool]accounting.Outcome{true: accounting.NeverArrived, false: accounting.Served}[came == 1]; got != want {
				t.Errorf("settled as %v with %d calls come", got, came)
			}
			if again := a.Settle(ctx, x); again != got {
				t.Errorf("and then as %v", again)
			}
			agree(t, a)
			if b.came.Load() != came {
				t.Error("it came after it was told that it never did")
			}
		})
	}
}

// A link that is cut at any byte of a call or its answer: whatever was in work is settled with the truth, and what is told
// as never come does not run.
func TestCutAnywhere(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	b := newScript(func(_ context.Context, c *Request) *Response {
		mu.Lock()
		defer mu.Unlock()
		ran[c.Key] = true
		return &Response{Outcome: accounting.Served, Status: 200, Body: c.Body}
	})
	a, path, _ := two(t, b)
	told := map[accounting.Outcome]int{}
	for i := range 60 {
		up(t, a, "b")
		d := standin.There
		if i%2 == 1 {
			d = standin.Back
		}
		path.CutAfter(d, int64(i/2*90))
		c := newCall(2000)
		c.Key = fmt.Sprint("k", i)
		ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
		x := a.Forward(ctx, "b", c)
		path.CutAfter(d, -1)
		o := a.Settle(ctx, x)
		cancel()
		told[o]++
		mu.Lock()
		if ran[c.Key] == o.ProvesNothingRan() {
			t.Errorf("cut %d: ran %v, told %v", i, ran[c.Key], o)
		}
		mu.Unlock()
	}
	sums := agree(t, a)
	if told[accounting.Served] < 5 || told[accounting.NeverArrived] < 5 || sums[accounting.Served] != uint64(told[accounting.Served]) {
		t.Errorf("told %v, counted %v", told, sums)
	}
}

// The other gateway ends and another process comes under its name while calls are out: nobody can tell any more what became
// of them, and that is what is told. New calls go to the new one.
func TestRestart(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	b := newScript(func(context.Context, *Request) *Response {
		<-hang // no answer leaves the process that ends
		return &Response{Outcome: accounting.Served}
	})
	a, path, old := two(t, b)
	out := make(chan ForwardResult, 1)
	go func() { out <- call(a, "b", 1) }()
	lbtest.Until(t, "the call is in work", func() bool { return b.came.Load() == 1 })
	fresh := start(t, "b", newScript(nil), nil, io.Discard, Peer{"a", []string{"127.0.0.1:1"}})
	path.Point(fresh.Addr())
	old.Close()
	x := <-out
	ctx, cancel := context.WithTimeout(t.Context(), lbtest.Wait)
	defer cancel()
	if o := a.Settle(ctx, x); o != accounting.MayHaveRun {
		t.Errorf("settled as %v", o)
	}
	up(t, a, "b")
	if x := call(a, "b", 1); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
}

// A planned end: what is in work is answered, and nothing is lost.
func TestDrain(t *testing.T) {
	go1 := make(chan struct{})
	b := newScript(func(ctx context.Context, c *Request) *Response {
		<-go1
		return &Response{Outcome: accounting.Served, Status: 200}
	})
	a, _, to := two(t, b)
	out := make(chan ForwardResult, 8)
	for range cap(out) {
		go func() { out <- call(a, "b", 1) }()
	}
	lbtest.Until(t, "all are in work", func() bool { return b.came.Load() == int64(cap(out)) })
	done := make(chan struct{})
	go func() { to.Drain(time.Now().Add(lbtest.Wait)); close(done) }()
	lbtest.Until(t, "the link is left", func() bool { return !stands(a, "b") })
	close(go1)
	for range cap(out) {
		if x := <-out; x.Outcome != accounting.Served {
			t.Errorf("%+v", x)
		}
	}
	<-done
}

// Calls with large bodies on a narrow link don't hold up a small one that comes after them.
func TestSmallBesideLarge(t *testing.T) {
	a, path, _ := two(t, newScript(nil))
	path.Slow(0, 0, 8<<20)
	var large atomic.Int64
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			if x := call(a, "b", 60<<10); x.Outcome != accounting.Served {
				t.Errorf("%+v", x)
			}
			large.Add(1)
		})
	}
	lbtest.Until(t, "the large ones are on their way", func() bool { return path.Bytes(standin.There) > 100<<10 })
	if x := call(a, "b", 10); x.Outcome != accounting.Served {
		t.Errorf("%+v", x)
	}
	if n := large.Load(); n > 45 {
		t.Errorf("the small one came after %d large ones", n)
	}
	all.Wait()
}

// raw is a peer that speaks frames by itself.
type raw struct {
	net.Conn
	*http2.Framer
	t   testing.TB
	enc *hpack.Encoder
	buf bytes.Buffer
}

func newRaw(t testing.TB, addr string) *raw {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(lbtest.Wait))
	io.WriteString(c, http2.ClientPreface)
	r := &raw{Conn: c, Framer: http2.NewFramer(c, c), t: t}
	r.enc = hpack.NewEncoder(&r.buf)
	r.WriteSettings()
	return r
}

func (r *raw) head(stream uint32, path string) {
	r.buf.Reset()
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":authority", "b"}, {":path", path}} {
		r.enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	r.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: r.buf.Bytes(), EndHeaders: true})
}

// ended reads until the connection ends, or a stream's end has come.
func (r *raw) ended() (goAway http2.ErrCode, text string) {
	for {
		f, err := r.ReadFrame()
		if err != nil {
			return goAway, text
		}
		switch f := f.(type) {
		case *http2.GoAwayFrame:
			goAway = f.ErrCode
		case *http2.DataFrame:
			text += string(f.Data())
			if f.StreamEnded() {
				return goAway, text
			}
		}
	}
}

// Peers that lie: versions that are not spoken, calls before a greeting, garbage, more than the window, numbers twice. Each
// hurts nobody but itself.
func TestLiars(t *testing.T) {
	b := newScript(nil)
	a, _, to := two(t, b)
	greet := func(r *raw, h any) string {
		text, err := encode(h)
		if err != nil {
			t.Fatal(err)
		}
		r.head(1, pathHello)
		r.WriteData(1, true, text)
		_, got := r.ended()
		return got
	}
	t.Run("a version that is not known", func(t *testing.T) {
		if got := greet(newRaw(t, to.Addr()), &helloRequest{OldestVersion: 2, NewestVersion: 9, Site: "a", ToSite: "b", SessionID: 1}); !strings.Contains(got, "not spoken here") {
			t.Errorf("%q", got)
		}
	})
	t.Run("a later version that speaks this one too, with more to say", func(t *testing.T) {
		r := newRaw(t, to.Addr())
		got := greet(r, map[string]any{"o": 1, "w": 7, "f": "a", "t": "b", "p": 5, "s": 77, "new": map[string]int{"x": 1}})
		var w helloResponse
		if err := decode(strings.NewReader(got), &w); err != nil || w.Version != 1 || w.Error != "" {
			t.Fatalf("%v %+v", err, w)
		}
		text, _ := encode(map[string]any{"n": 1, "l": int64(1e6), "k": "c", "b": []string{"a"}, "q": "POST", "g": "/", "h": "x", "r": 99, "later": []int{1}})
		r.head(3, pathCall)
		r.WriteData(3, true, text)
		_, got = r.ended()
		var a Response
		if err := decode(strings.NewReader(got), &a); err != nil || a.Outcome != accounting.Served {
			t.Errorf("%v %+v", err, a)
		}
		before := b.came.Load()
		r.head(5, pathCall) // the same number again
		r.WriteData(5, true, text)
		if r.ended(); b.came.Load() != before {
			t.Error("one number ran twice")
		}
	})
	t.Run("not greeted", func(t *testing.T) {
		r := newRaw(t, to.Addr())
		before := b.came.Load()
		text, _ := encode(newCall(1))
		r.head(1, pathCall)
		r.WriteData(1, true, text)
		if _, got := r.ended(); !strings.Contains(got, "not greeted") || b.came.Load() != before {
			t.Errorf("%q", got)
		}
	})
	t.Run("garbage", func(t *testing.T) {
		r := newRaw(t, to.Addr())
		r.head(1, pathHello)
		r.WriteData(1, true, []byte("\xff\xff\xff\xff\x00garbage"))
		if _, got := r.ended(); !strings.Contains(got, "link:") {
			t.Errorf("%q", got)
		}
	})
	t.Run("more than the window", func(t *testing.T) {
		r, before := newRaw(t, to.Addr()), b.came.Load()
		r.head(1, pathCall)
		for range 400 {
			if r.WriteData(1, false, make([]byte, 16<<10)) != nil {
				break
			}
		}
		if _, text := r.ended(); strings.Contains(text, "served") || b.came.Load() != before {
			t.Errorf("taken: %q", text)
		}
	})
	if x := call(a, "b", 1); x.Outcome != accounting.Served {
		t.Errorf("the honest one: %+v", x)
	}
}

// A gateway that answers what nobody asked, or nonsense: the caller learns that its call may have run.
func TestLyingServer(t *testing.T) {
	for name, answer := range map[string]func(f *http2.Framer, stream uint32){
		"to a request that nobody sent": func(f *http2.Framer, stream uint32) {
			var buf bytes.Buffer
			hpack.NewEncoder(&buf).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream + 100, BlockFragment: buf.Bytes(), EndHeaders: true})
		},
		"nonsense": func(f *http2.Framer, stream uint32) {
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
					go lie(c, &calls, answer)
				}
			}()
			a := start(t, "a", newScript(nil), nil, io.Discard, Peer{"b", []string{l.Addr().String()}})
			up(t, a, "b")
			soon, cancel := context.WithTimeout(t.Context(), time.Second) // an answer to nothing is passed over
			x := a.Forward(soon, "b", newCall(1))
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

// lie greets and answers heartbeats as a gateway does, and calls as told.
func lie(c net.Conn, calls *atomic.Int64, answer func(*http2.Framer, uint32)) {
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

// What a peer sends never breaks the reader, and what passes is in bounds.
func FuzzDecode(f *testing.F) {
	for _, m := range []any{newCall(3), &Response{Outcome: accounting.Served, Status: 200, Header: http.Header{"X": {"y"}}}, &helloRequest{OldestVersion: 1, NewestVersion: 1, SessionID: 1}} {
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
