package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"silvertrail/internal/balancer/idempotency"
)

// acceptBackoff is the pause after a failed accept, for example when no file descriptor is free.
const acceptBackoff = 100 * time.Millisecond

// requestClaim asks a successor to claim a key for an attempt of this process.
func requestClaim(ctx context.Context, s *session, c Claim) (KeyState, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := s.call(ctx, &Message{Kind: ClaimKey, Claim: &c})
	if err != nil {
		return KeyState{}, err
	}
	return *response.KeyState, nil
}

// ClaimKey asks the successor that has taken over to claim a key for an attempt that this process is about to send.
func (p *Process) ClaimKey(ctx context.Context, c Claim) (KeyState, error) {
	successor := p.currentSuccessor()
	if successor == nil {
		return KeyState{}, ErrDisconnected
	}
	return requestClaim(ctx, successor, c)
}

// requestIDClaim asks a successor to claim the ID of a request, and reports whether it was in use there. A successor that does not know the
// request claims nothing.
func requestIDClaim(ctx context.Context, s *session, hash uint64) (isKnown bool, err error) {
	if !s.acceptsIDs.Load() {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := s.call(ctx, &Message{Kind: ClaimID, RequestIDs: []uint64{hash}})
	if err != nil {
		return false, err
	}
	return len(response.RequestIDs) > 0, nil
}

// ClaimID claims the ID of a request that this process has read at the successor that has taken over, and reports whether it was in use
// there. Without a successor it is false.
func (p *Process) ClaimID(ctx context.Context, hash uint64) (isKnown bool, err error) {
	successor := p.currentSuccessor()
	if successor == nil {
		return false, nil
	}
	return requestIDClaim(ctx, successor, hash)
}

// Listen accepts successors, which may take over from this process. After an error the next process starts without the state
// of this process.
func (p *Process) Listen() error {
	listener, err := listenAt(p.path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.serve(listener)
	return nil
}

// listenAt listens under a temporary name and renames the socket to path. Thus a socket at path never lacks a listener while
// it is replaced, and a stale file at path is replaced.
func listenAt(path string) (*net.UnixListener, error) {
	temporary := path + fmt.Sprintf(".%d", os.Getpid())
	_ = os.Remove(temporary)
	name, release, err := shortPath(temporary)
	if err != nil {
		return nil, err
	}
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	err = os.Chmod(temporary, 0o600)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = listener.Close()
		_ = os.Remove(temporary)
		return nil, err
	}
	return listener, nil
}

// serve accepts connections until the listener is closed.
func (p *Process) serve(listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		go p.serveSuccessor(conn)
	}
}

// serveSuccessor makes an offer to a process that has connected, and handles its requests until the process disconnects. If
// that process had taken over and this process is not closed, this process accepts clients again.
func (p *Process) serveSuccessor(conn *net.UnixConn) {
	var s *session
	s = newSession(conn, func(m *Message) *Message { return p.handleSuccessor(s, m) })
	defer s.close()
	if !p.handleHello(s) {
		return
	}
	_ = s.run() // any error means that the process has disconnected
	p.mu.Lock()
	hadTakenOver := p.successor == s
	if hadTakenOver {
		p.successor = nil
	}
	closed := p.closed
	p.mu.Unlock()
	if hadTakenOver && !closed {
		p.log.Warn("successor disconnected, accepting clients again", "component", "handover")
		p.listenAgain()
		p.host.Resume()
	}
}

// listenAgain listens at the path again, where a successor that has ended has left its own socket, unless another process listens there.
// Otherwise the next process would start without the state of this one.
func (p *Process) listenAgain() {
	p.listenMu.Lock()
	defer p.listenMu.Unlock()
	p.mu.Lock()
	previous, closed := p.listener, p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	if conn, err := dial(p.path); err == nil {
		_ = conn.Close()
		return
	}
	if err := p.Listen(); err != nil {
		p.log.Warn("the next process will start without this one's state", "component", "handover", "error", err)
		return
	}
	if previous != nil {
		_ = previous.Close()
	}
}

// handleHello reads the Hello of a process and answers with an offer. It returns false if no session was established.
func (p *Process) handleHello(s *session) bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(offerTimeout))
	m, err := readFrame(s.conn)
	if err != nil || m.Kind != Hello {
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if m.Version != Version {
		reason := fmt.Sprintf("this process speaks version %d, not %d", Version, m.Version)
		_ = s.send(&Message{Kind: Rejection, IsResponse: true, Seq: m.Seq, Reason: reason})
		return false
	}
	s.acceptsIDs.Store(slices.Contains(m.Accepts, ClaimID))
	if err := p.sendOffer(s, m.Seq); err != nil {
		p.log.Warn("no offer made", "component", "handover", "error", err)
		return false
	}
	return true
}

// sendOffer sends the offer. The listening socket is attached to the first bytes.
func (p *Process) sendOffer(s *session, seq uint64) error {
	offer := p.host.Offer()
	text, err := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version, Seq: seq, Offer: &offer})
	if err != nil {
		return err
	}
	listener, err := p.host.Listener().SyscallConn()
	if err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var written int
	var writeErr error
	err = listener.Control(func(fd uintptr) {
		written, _, writeErr = s.conn.WriteMsgUnix(text, syscall.UnixRights(int(fd)), nil)
	})
	if err = errors.Join(err, writeErr); err != nil {
		return err
	}
	_, err = s.conn.Write(text[written:])
	return err
}

// handleSuccessor returns the response to a request of a process that has connected as a successor.
func (p *Process) handleSuccessor(s *session, m *Message) *Message {
	switch m.Kind {
	case TakeOver:
		return p.handOver(s)
	case Eject:
		p.host.SetEjected(m.Ejection.Endpoint, m.Ejection.Ejected)
		p.notify(context.Background(), p.currentPredecessor(), *m.Ejection)
		return &Message{Kind: Eject}
	}
	return &Message{Kind: Rejection, Reason: "unexpected request"}
}

// handOver makes another process the successor. It stops accepting clients, sends the key states and returns the response
// with the other state. If the session ends meanwhile, serveSuccessor has this process accept clients again.
func (p *Process) handOver(s *session) *Message {
	p.claimMu.Lock()
	defer p.claimMu.Unlock()
	if !p.setSuccessor(s) {
		return &Message{Kind: Rejection, Reason: "another process has taken over, or this one ends"}
	}
	keys, state := p.host.Retire()
	sent, err := sendKeys(s, keys)
	if err != nil {
		return nil
	}
	state.KeyCount += sent
	p.log.Info("successor takes over", "component", "handover", "keys", state.KeyCount, "ejected", len(state.Ejected))
	return &Message{Kind: TakeOver, State: &state}
}

// setSuccessor makes a process the successor. It returns false if there is a successor already, or if this process is closed.
func (p *Process) setSuccessor(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil || p.closed {
		return false
	}
	p.successor = s
	return true
}

// sendKeys sends key states in messages of at most maxKeysPerMessage keys, and returns the number of keys sent.
func sendKeys(s *session, keys []idempotency.Record) (int, error) {
	now := time.Now()
	for chunk := range slices.Chunk(keys, maxKeysPerMessage) {
		m := &Message{Kind: Keys}
		for _, k := range chunk {
			m.Keys = append(m.Keys, NewKeyRecord(now, k))
		}
		if err := s.send(m); err != nil {
			return 0, err
		}
	}
	return len(keys), nil
}
