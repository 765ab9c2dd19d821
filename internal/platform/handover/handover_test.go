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

// fakeHost is a Host with a table of keys and a set of ejected endpoints. It counts the calls of Resume and PredecessorEnded.
type fakeHost struct {
	t        *testing.T
	listener *net.TCPListener
	keys     *idempotency.Table

	mu                    sync.Mutex
	ejected               map[string]bool
	ids                   map[uint64]bool
	retired               bool
	resumeCount           int
	predecessorEndedCount int
}

func newFakeHost(t *testing.T) *fakeHost {
	t.Helper()
	return &fakeHost{t: t, listener: lbtest.Listen(t).(*net.TCPListener), keys: idempotency.New(1 << 16), ejected: map[string]bool{}, ids: map[uint64]bool{}}
}

func (h *fakeHost) Offer() Offer {
	h.mu.Lock()
	defer h.mu.Unlock()
	offer := Offer{Listen: h.listener.Addr().String(), Endpoints: []endpointlist.Endpoint{{Name: "s", Address: "127.0.0.1:1", Zone: "a", Status: "ready"}}}
	for id := range h.ejected {
		offer.Ejected = append(offer.Ejected, id)
	}
	return offer
}

func (h *fakeHost) Listener() syscall.Conn { return h.listener }

func (h *fakeHost) Retire() (keys []idempotency.Record, state State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired = true
	h.keys.Each(time.Now(), func(k idempotency.Record) bool { keys = append(keys, k); return true })
	for id := range h.ejected {
		state.Ejected = append(state.Ejected, id)
	}
	return keys, state
}

func (h *fakeHost) Resume()           { h.mu.Lock(); defer h.mu.Unlock(); h.retired = false; h.resumeCount++ }
func (h *fakeHost) PredecessorEnded() { h.mu.Lock(); defer h.mu.Unlock(); h.predecessorEndedCount++ }

func (h *fakeHost) AddKeys(keys []idempotency.Record) {
	for _, k := range keys {
		h.keys.Merge(time.Now(), k)
	}
}

func (h *fakeHost) ClaimKey(claim Claim) KeyState {
	now := time.Now()
	state := h.keys.KeyState(now, idempotency.KeyID(claim.ID), claim.Scope)
	claimed := claim.To.KeyState(now)
	if !state.Known {
		h.keys.Merge(now, idempotency.Record{ID: idempotency.KeyID(claim.ID), KeyState: claimed, ExpiresAt: now.Add(claim.ExpiresIn)})
		state = claimed
	}
	return NewKeyState(now, state)
}

func (h *fakeHost) SetEjected(id string, ejected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ejected {
		h.ejected[id] = true
	} else {
		delete(h.ejected, id)
	}
}

func (h *fakeHost) ClaimID(hash uint64) (isKnown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isKnown = h.ids[hash]
	h.ids[hash] = true
	return isKnown
}

// locked returns a function that calls condition with h.mu locked.
func (h *fakeHost) locked(condition func() bool) func() bool {
	return func() bool { h.mu.Lock(); defer h.mu.Unlock(); return condition() }
}

var discardLogger = slog.New(slog.DiscardHandler)

// startFirstProcess starts a process that has no predecessor and listens for successors.
func startFirstProcess(t *testing.T, path string) (*Process, *fakeHost) {
	t.Helper()
	host := newFakeHost(t)
	p, offer, listener := Start(path, host, discardLogger)
	if offer != nil || listener != nil || !p.IsFirst() {
		t.Fatal("the first process received an offer although it has no predecessor")
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, host
}

// startSuccessor starts a process that takes over from the process at path and listens for successors.
func startSuccessor(t *testing.T, path string) (*Process, *fakeHost, *State) {
	t.Helper()
	host := newFakeHost(t)
	p, offer, listener := Start(path, host, discardLogger)
	if offer == nil || p.IsFirst() {
		t.Fatal("the successor received no offer")
	}
	t.Cleanup(func() { listener.Close() })
	host.listener = listener.(*net.TCPListener)
	state := p.TakeOver()
	if state == nil {
		t.Fatal("the successor could not take over: TakeOver returned no state")
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, host, state
}

// newClaim returns a claim of a key for an attempt in a zone.
func newClaim(key, zone string) Claim {
	return Claim{ID: KeyID(idempotency.KeyIDOf("t", key)), Scope: lbpolicy.ScopeZone, ExpiresIn: time.Minute, To: KeyState{Known: true, Zone: zone, RetryWindow: time.Minute}}
}

// TestSuccessiveTakeoversKeepState has three processes replace each other. The socket, keys and ejections are passed on, and
// claims of the first process are made at the last one.
func TestSuccessiveTakeoversKeepState(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:80")
	firstProcess, firstHost := startFirstProcess(t, path)
	firstHost.SetEjected("down", true)
	for i := range 3*maxKeysPerMessage + 1 { // more keys than one message holds
		firstHost.ClaimKey(newClaim(string(rune('a'+i%26))+strings.Repeat("x", i/26), "north"))
	}
	secondProcess, secondHost, state := startSuccessor(t, path)
	if !slices.Equal(state.Ejected, []string{"down"}) || state.KeyCount != firstHost.keys.Len() || secondHost.keys.Len() != firstHost.keys.Len() {
		t.Errorf("the successor has %d keys, the predecessor has %d; ejected endpoints: %+v, want [down]", secondHost.keys.Len(), firstHost.keys.Len(), state.Ejected)
	}
	if !firstProcess.IsRetired() || secondProcess.IsRetired() {
		t.Error("want the first process retired and the second one not")
	}
	thirdProcess, thirdHost, _ := startSuccessor(t, path)

	// The processes share one listening socket: a client that connects to the first process's address is accepted by the last.
	client, err := net.Dial("tcp", firstHost.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if accepted, err := thirdHost.listener.Accept(); err != nil || accepted.RemoteAddr().String() != client.LocalAddr().String() {
		t.Errorf("the last process accepted %v, want the client's connection; error: %v", accepted, err)
	}

	// The first process learns the state of a key that the last one has claimed, through the second.
	if keyState := thirdHost.ClaimKey(newClaim("new", "south")); keyState.Zone != "south" {
		t.Fatal(keyState)
	}
	keyState, err := firstProcess.ClaimKey(context.Background(), newClaim("new", "north"))
	if err != nil || keyState.Zone != "south" {
		t.Errorf("claim of a key of the last process: state %+v, want zone south; error: %v", keyState, err)
	}
	if keyState, err = firstProcess.ClaimKey(context.Background(), newClaim("other", "north")); err != nil || keyState.Zone != "north" {
		t.Errorf("claim of an unclaimed key: state %+v, want zone north; error: %v", keyState, err)
	}
	if !thirdHost.keys.KeyState(time.Now(), idempotency.KeyIDOf("t", "other"), lbpolicy.ScopeZone).Known {
		t.Error("the last process does not know the key that the first one claimed")
	}

	// Ejections are passed on in both directions, through the second process.
	thirdProcess.NotifyEjection(context.Background(), "by three", true)
	firstProcess.NotifyEjection(context.Background(), "by one", true)
	for _, host := range []*fakeHost{firstHost, secondHost} {
		lbtest.Until(t, "the ejection made at the last process is applied", host.locked(func() bool { return host.ejected["by three"] }))
	}
	for _, host := range []*fakeHost{secondHost, thirdHost} {
		lbtest.Until(t, "the ejection made at the first process is applied", host.locked(func() bool { return host.ejected["by one"] }))
	}

	firstProcess.Close()
	lbtest.Until(t, "the second process notices the end of the first", secondHost.locked(func() bool { return secondHost.predecessorEndedCount == 1 }))
	secondProcess.Close()
	lbtest.Until(t, "the third process notices the end of the second", thirdHost.locked(func() bool { return thirdHost.predecessorEndedCount == 1 }))
	if _, err := os.Stat(path); err != nil {
		t.Error("the socket of the last process was removed when its predecessors ended")
	}
	if firstHost.resumeCount+secondHost.resumeCount > 0 {
		t.Error("a process that has ended accepts clients again")
	}
	thirdProcess.Close()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// TestPredecessorResumesAfterSuccessorDisconnects has a successor end before it takes over, which changes nothing, and after,
// which makes the first process accept clients again. While one successor has taken over, another is rejected.
func TestPredecessorResumesAfterSuccessorDisconnects(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:80")
	firstProcess, firstHost := startFirstProcess(t, path)
	for range 3 {
		p, offer, listener := Start(path, newFakeHost(t), discardLogger)
		if offer == nil {
			t.Fatal("the successor received no offer")
		}
		listener.Close()
		p.Close()
	}
	successor, _, listener := Start(path, newFakeHost(t), discardLogger)
	rejected, _, rejectedListener := Start(path, newFakeHost(t), discardLogger)
	defer listener.Close()
	defer rejectedListener.Close()
	if successor.TakeOver() == nil || rejected.TakeOver() != nil {
		t.Error("want the first of two successors to take over, and the second to be rejected")
	}
	lbtest.Until(t, "the first process retires", firstHost.locked(func() bool { return firstHost.retired }))
	rejected.Close()
	successor.Close()
	lbtest.Until(t, "the first process accepts clients again", firstHost.locked(func() bool { return firstHost.resumeCount == 1 && !firstHost.retired }))
	if firstProcess.IsRetired() {
		t.Error("the first process is still retired after its successor has disconnected")
	}
	if _, err := firstProcess.ClaimKey(context.Background(), newClaim("k", "north")); !errors.Is(err, ErrDisconnected) {
		t.Error(err)
	}
	if _, _, state := startSuccessor(t, path); state == nil {
		t.Error("no process can take over after a successor has disconnected")
	}
}

// A successor that is killed leaves its socket in the place of its predecessor's, so that the next process takes that one, which still serves,
// for gone, and starts without its keys.
func TestProcessAfterKilledSuccessorFindsFirst(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:80")
	_, firstHost := startFirstProcess(t, path)
	killed, _, _ := startSuccessor(t, path)
	killed.listener.Close() // its file stays
	killed.currentPredecessor().close()
	lbtest.Until(t, "the first process accepts clients again", firstHost.locked(func() bool { return firstHost.resumeCount == 1 }))
	key := newClaim("k", "north")
	firstHost.ClaimKey(key)
	_, nextHost, state := startSuccessor(t, path)
	if state.KeyCount != 1 || nextHost.ClaimKey(key).Zone != "north" {
		t.Errorf("%d keys were handed over", state.KeyCount)
	}
}

// TestStartsWithoutOfferOfUnusablePredecessor starts a process where the predecessor's socket is missing, has no listener or
// is no socket. It also uses predecessors that do not answer, have another version, send no socket, reject the process, or
// send random or truncated data. Each time the process starts without an offer and can be replaced later.
func TestStartsWithoutOfferOfUnusablePredecessor(t *testing.T) {
	dir := t.TempDir()
	stalePath := filepath.Join(dir, "stale")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: stalePath, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	listener.Close()
	regularFile := filepath.Join(dir, "plain")
	if err := os.WriteFile(regularFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	newerVersion, _ := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version + 1, Seq: 1, Offer: &Offer{Listen: "127.0.0.1:1"}})
	withoutSocket, _ := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version, Seq: 1, Offer: &Offer{Listen: "127.0.0.1:1"}})
	rejection, _ := encodeFrame(&Message{Kind: Rejection, IsResponse: true, Seq: 1, Reason: "another version"})
	paths := map[string]string{"stale": stalePath, "plain": regularFile, "none": filepath.Join(dir, "none")}
	for name, response := range map[string][]byte{"hung": nil, "newer": newerVersion, "no socket with it": withoutSocket, "refused": rejection,
		"noise": bytes.Repeat([]byte{0xff}, 64), "half": newerVersion[:len(newerVersion)/2]} {
		paths[name] = filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		listener, err := net.Listen("unix", paths[name])
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				conn.Write(response)
			}
		}()
	}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := newFakeHost(t)
			p, offer, listener := Start(path, host, discardLogger)
			if offer != nil || listener != nil || !p.IsFirst() || p.TakeOver() != nil {
				t.Error("want no offer, no listener and no state without a usable predecessor")
			}
			if err := p.Listen(); err != nil { // replaces the socket or file at path
				t.Fatal(err)
			}
			defer p.Close()
			if _, _, state := startSuccessor(t, path); state == nil {
				t.Error("a successor cannot take over from the process that started without an offer")
			}
		})
	}
}

// TestListenInMissingOrLongDirectory checks that Listen fails in a directory that does not exist. It also checks that a
// process can be replaced in a directory whose path is longer than the address of a Unix socket may be.
func TestListenInMissingOrLongDirectory(t *testing.T) {
	p, _, _ := Start(Path(filepath.Join(t.TempDir(), "none"), "127.0.0.1:80"), newFakeHost(t), discardLogger)
	if err := p.Listen(); err == nil {
		t.Error("Listen succeeded in a directory that does not exist")
	}
	p.Close()
	longDirectory := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(longDirectory, 0o700); err != nil {
		t.Fatal(err)
	}
	path := Path(longDirectory, "127.0.0.1:80")
	startFirstProcess(t, path)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	startSuccessor(t, path)
}

// TestCallToHangingProcessEnds calls a process that does not respond. The call ends when its context is canceled, and a call
// after the process has disconnected fails.
func TestCallToHangingProcessEnds(t *testing.T) {
	conn, peer := socketPair(t)
	s := newSession(conn, func(*Message) *Message { return nil })
	go s.run()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.call(ctx, &Message{Kind: Eject, Ejection: &Ejection{"s", true}}); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	peer.Close()
	<-s.closed
	if _, err := s.call(context.Background(), &Message{Kind: Eject, Ejection: &Ejection{"s", true}}); err == nil {
		t.Error("a call succeeded after the other process had disconnected")
	}
}

// socketPair returns both ends of a Unix socket connection.
func socketPair(t *testing.T) (*net.UnixConn, *net.UnixConn) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var conns [2]*net.UnixConn
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "pair")
		conn, err := net.FileConn(file)
		if err != nil {
			t.Fatal(err)
		}
		file.Close()
		t.Cleanup(func() { conn.Close() })
		conns[i] = conn.(*net.UnixConn)
	}
	return conns[0], conns[1]
}

// FuzzRead decodes arbitrary bytes. They are rejected, or the decoded message encodes to a frame that decodes to the same
// message again. A truncated frame is rejected.
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
		decoded, err := readFrame(bytes.NewReader(again))
		if err != nil {
			t.Fatalf("%+v was encoded to a frame that cannot be decoded: %v", m, err)
		}
		reencoded, err := encodeFrame(decoded)
		if err != nil || !bytes.Equal(again, reencoded) {
			t.Fatalf("encoded as %s, and as %s after decoding", again, reencoded)
		}
		if _, err := readFrame(io.LimitReader(bytes.NewReader(again), int64(len(again)-1))); err == nil {
			t.Fatal("a truncated message was accepted")
		}
	})
}

// An ID that a replaced process reads is claimed at the last process that has taken over, through those in between.
func TestIDIsClaimedAtLastProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	first, _ := startFirstProcess(t, path)
	const hash = 42
	if isKnown, err := first.ClaimID(t.Context(), hash); isKnown || err != nil {
		t.Errorf("without a successor: known %t, error %v", isKnown, err)
	}
	_, secondHost, _ := startSuccessor(t, path)
	_, thirdHost, _ := startSuccessor(t, path)
	for _, want := range []bool{false, true} {
		if isKnown, err := first.ClaimID(t.Context(), hash); isKnown != want || err != nil {
			t.Errorf("known %t, want %t, error %v", isKnown, want, err)
		}
	}
	if len(secondHost.ids) != 0 || len(thirdHost.ids) != 1 {
		t.Errorf("%d IDs at the second process, %d at the third", len(secondHost.ids), len(thirdHost.ids))
	}
}
