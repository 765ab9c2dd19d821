package handover

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/testkit/lbtest"
	"silvertrail/lbpolicy"
)

// fakeHost is a process's host in a test: a table of keys, ejections, and the calls it received.
type fakeHost struct {
	t        *testing.T
	listener *net.TCPListener
	keys     *idempotency.Table

	mu      sync.Mutex
	ejected    map[string]bool
	retired bool
	resumeCount int
	predecessorEndedCount   int
}

func newFakeHost(t *testing.T) *fakeHost {
	t.Helper()
	return &fakeHost{t: t, listener: lbtest.Listen(t).(*net.TCPListener), keys: idempotency.New(1 << 16), ejected: map[string]bool{}}
}

func (s *fakeHost) Offer() Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Offer{Listen: s.listener.Addr().String(), Endpoints: []endpointlist.Endpoint{{Name: "s", Address: "127.0.0.1:1", Zone: "a", Status: "ready"}}}
	for id := range s.ejected {
		o.Ejected = append(o.Ejected, id)
	}
	return o
}

func (s *fakeHost) Listener() syscall.Conn { return s.listener }

func (s *fakeHost) Retire() (keys []idempotency.Record, t State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.keys.Each(time.Now(), func(k idempotency.Record) bool { keys = append(keys, k); return true })
	for id := range s.ejected {
		t.Ejected = append(t.Ejected, id)
	}
	return keys, t
}

func (s *fakeHost) Resume()           { s.mu.Lock(); defer s.mu.Unlock(); s.retired = false; s.resumeCount++ }
func (s *fakeHost) PredecessorEnded() { s.mu.Lock(); defer s.mu.Unlock(); s.predecessorEndedCount++ }

func (s *fakeHost) AddKeys(keys []idempotency.Record) {
	for _, k := range keys {
		s.keys.Merge(time.Now(), k)
	}
}

func (s *fakeHost) ClaimKey(a Claim) KeyState {
	now := time.Now()
	past := s.keys.KeyState(now, idempotency.KeyID(a.ID), a.Scope)
	to := a.To.KeyState(now)
	if !past.Known {
		s.keys.Merge(now, idempotency.Record{ID: idempotency.KeyID(a.ID), KeyState: to, ExpiresAt: now.Add(a.ExpiresIn)})
		past = to
	}
	return NewKeyState(now, past)
}

func (s *fakeHost) SetEjected(id string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.ejected[id] = true
	} else {
		delete(s.ejected, id)
	}
}

func (s *fakeHost) locked(f func() bool) func() bool {
	return func() bool { s.mu.Lock(); defer s.mu.Unlock(); return f() }
}

var quiet = slog.New(slog.DiscardHandler)

// startFirstProcess starts a process without a predecessor, which listens for successors.
func startFirstProcess(t *testing.T, path string) (*Process, *fakeHost) {
	t.Helper()
	s := newFakeHost(t)
	p, offer, l := Start(path, s, quiet)
	if offer != nil || l != nil || !p.IsFirst() {
		t.Fatal("an offer of nobody")
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, s
}

// startSuccessor starts a process that takes over.
func startSuccessor(t *testing.T, path string) (*Process, *fakeHost, *State) {
	t.Helper()
	s := newFakeHost(t)
	p, offer, l := Start(path, s, quiet)
	if offer == nil || p.IsFirst() {
		t.Fatal("no offer")
	}
	t.Cleanup(func() { l.Close() })
	s.listener = l.(*net.TCPListener)
	taken := p.TakeOver()
	if taken == nil {
		t.Fatal("not taken")
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, s, taken
}

func newClaim(key, zone string) Claim {
	return Claim{ID: KeyID(idempotency.KeyIDOf("t", key)), Scope: lbpolicy.ScopeZone, ExpiresIn: time.Minute, To: KeyState{Known: true, Zone: zone, RetryWindow: time.Minute}}
}

// TestChainOfProcesses has three processes replace each other: the socket, keys and ejections are passed on, and claims of the
// first process are made at the last.
func TestChainOfProcesses(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:80")
	one, s1 := startFirstProcess(t, path)
	s1.SetEjected("down", true)
	for i := range 3*maxKeysPerMessage + 1 { // more than one message holds
		s1.ClaimKey(newClaim(string(rune('a'+i%26))+strings.Repeat("x", i/26), "north"))
	}
	two, s2, taken := startSuccessor(t, path)
	if !slices.Equal(taken.Ejected, []string{"down"}) || taken.KeyCount != s1.keys.Len() || s2.keys.Len() != s1.keys.Len() {
		t.Errorf("%d keys of %d, %+v", s2.keys.Len(), s1.keys.Len(), taken.Ejected)
	}
	if !one.IsRetired() || two.IsRetired() {
		t.Error("who has retired?")
	}
	three, s3, _ := startSuccessor(t, path)

	// The socket is one: what connects at the first one's address is accepted by the last.
	c, err := net.Dial("tcp", s1.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if in, err := s3.listener.Accept(); err != nil || in.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("%v %v", in, err)
	}

	// A key that the last one has bound is known to the first, through the second.
	if p := s3.ClaimKey(newClaim("new", "south")); p.Zone != "south" {
		t.Fatal(p)
	}
	p, err := one.ClaimKey(context.Background(), newClaim("new", "north"))
	if err != nil || p.Zone != "south" {
		t.Errorf("%+v %v", p, err)
	}
	if p, err = one.ClaimKey(context.Background(), newClaim("other", "north")); err != nil || p.Zone != "north" {
		t.Errorf("%+v %v", p, err)
	}
	if !s3.keys.KeyState(time.Now(), idempotency.KeyIDOf("t", "other"), lbpolicy.ScopeZone).Known {
		t.Error("the last one does not know what the first binds")
	}

	// Bans pass both ways, over the one between.
	three.NotifyEjection(context.Background(), "by three", true)
	one.NotifyEjection(context.Background(), "by one", true)
	for _, s := range []*fakeHost{s1, s2} {
		lbtest.Until(t, "a ban said at the last", s.locked(func() bool { return s.ejected["by three"] }))
	}
	for _, s := range []*fakeHost{s2, s3} {
		lbtest.Until(t, "a ban said at the first", s.locked(func() bool { return s.ejected["by one"] }))
	}

	one.Close()
	lbtest.Until(t, "the second is alone before the third", s2.locked(func() bool { return s2.predecessorEndedCount == 1 }))
	two.Close()
	lbtest.Until(t, "the third is alone", s3.locked(func() bool { return s3.predecessorEndedCount == 1 }))
	if _, err := os.Stat(path); err != nil {
		t.Error("the last one's socket has gone with the others")
	}
	if s1.resumeCount+s2.resumeCount > 0 {
		t.Error("one that has ended takes clients")
	}
	three.Close()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// TestSuccessorDisconnects has a successor end before it takes over (nothing changes) and after (the first process accepts
// clients again). While one has taken over another is rejected.
func TestSuccessorDisconnects(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:80")
	one, s1 := startFirstProcess(t, path)
	for range 3 {
		p, offer, l := Start(path, newFakeHost(t), quiet)
		if offer == nil {
			t.Fatal("no offer")
		}
		l.Close()
		p.Close()
	}
	a, _, la := Start(path, newFakeHost(t), quiet)
	b, _, lb := Start(path, newFakeHost(t), quiet)
	defer la.Close()
	defer lb.Close()
	if a.TakeOver() == nil || b.TakeOver() != nil {
		t.Error("two have taken over, or none")
	}
	lbtest.Until(t, "retired", s1.locked(func() bool { return s1.retired }))
	b.Close()
	a.Close()
	lbtest.Until(t, "resumed", s1.locked(func() bool { return s1.resumeCount == 1 && !s1.retired }))
	if one.IsRetired() {
		t.Error("still retired")
	}
	if _, err := one.ClaimKey(context.Background(), newClaim("k", "north")); !errors.Is(err, ErrDisconnected) {
		t.Error(err)
	}
	if _, _, taken := startSuccessor(t, path); taken == nil {
		t.Error("nobody can take over any more")
	}
}

// TestNoOffer starts beside a file without a listener, one that is no socket, and peers that are silent, have another version
// or send noise: the process starts without an offer.
func TestNoOffer(t *testing.T) {
	dir := t.TempDir()
	stale := filepath.Join(dir, "stale")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: stale, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	plain := filepath.Join(dir, "plain")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	newer, _ := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version + 1, Seq: 1, Offer: &Offer{Listen: "127.0.0.1:1"}})
	bare, _ := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version, Seq: 1, Offer: &Offer{Listen: "127.0.0.1:1"}})
	refused, _ := encodeFrame(&Message{Kind: Rejection, IsResponse: true, Seq: 1, Reason: "another version"})
	at := map[string]string{"stale": stale, "plain": plain, "none": filepath.Join(dir, "none")}
	for name, says := range map[string][]byte{"hung": nil, "newer": newer, "no socket with it": bare, "refused": refused,
		"noise": bytes.Repeat([]byte{0xff}, 64), "half": newer[:len(newer)/2]} {
		at[name] = filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		l, err := net.Listen("unix", at[name])
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				c.Write(says)
			}
		}()
	}
	for name, path := range at {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeHost(t)
			p, offer, listener := Start(path, s, quiet)
			if offer != nil || listener != nil || !p.IsFirst() || p.TakeOver() != nil {
				t.Error("something was handed over")
			}
			if err := p.Listen(); err != nil { // it takes the path
				t.Fatal(err)
			}
			defer p.Close()
			if _, _, taken := startSuccessor(t, path); taken == nil {
				t.Error("the next one can't take over")
			}
		})
	}
}

// TestDirectory uses a directory that cannot be written, and one whose path is longer than a socket's address may be.
func TestDirectory(t *testing.T) {
	p, _, _ := Start(Path(filepath.Join(t.TempDir(), "none"), "127.0.0.1:80"), newFakeHost(t), quiet)
	if err := p.Listen(); err == nil {
		t.Error("a socket where there is no directory")
	}
	p.Close()
	deep := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	path := Path(deep, "127.0.0.1:80")
	startFirstProcess(t, path)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	startSuccessor(t, path)
}

// TestHangingPredecessor stops a process after the hand-over: neither an ejection nor its end takes long.
func TestHangingPredecessor(t *testing.T) {
	a, b := socketPair(t)
	l := newSession(a, func(*Message) *Message { return nil })
	go l.run()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := l.call(ctx, &Message{Kind: Eject, Ejection: &Ejection{"s", true}}); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	b.Close()
	<-l.closed
	if _, err := l.call(context.Background(), &Message{Kind: Eject, Ejection: &Ejection{"s", true}}); err == nil {
		t.Error("a call to nobody")
	}
}

func socketPair(t *testing.T) (*net.UnixConn, *net.UnixConn) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out [2]*net.UnixConn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		c, err := net.FileConn(f)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		t.Cleanup(func() { c.Close() })
		out[i] = c.(*net.UnixConn)
	}
	return out[0], out[1]
}

// FuzzRead decodes any bytes: they are rejected, or encode to the same message again.
func FuzzRead(f *testing.F) {
	for _, m := range []*Message{{Kind: Hello, Version: 1, Seq: 1}, {Kind: TakeOver, Seq: 2}, {Kind: Eject, Ejection: &Ejection{"s", true}},
		{Kind: ClaimKey, Claim: &Claim{To: KeyState{Known: true, Zone: "a", RetryWindow: 5}}}, {Kind: Keys, Keys: []KeyRecord{{ExpiresIn: 3}}}, {Kind: Rejection, IsResponse: true, Reason: "x"}} {
		text, err := encodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, '{'})
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := readFrame(bytes.NewReader(text))
		if err != nil {
			return
		}
		again, err := encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		n, err := readFrame(bytes.NewReader(again))
		if err != nil {
			t.Fatalf("%+v went out and did not come back: %v", m, err)
		}
		third, err := encodeFrame(n)
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("%s and then %s", again, third)
		}
		if _, err := readFrame(io.LimitReader(bytes.NewReader(again), int64(len(again)-1))); err == nil {
			t.Fatal("a message that is cut off was taken")
		}
	})
}
