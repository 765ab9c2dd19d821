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

// acceptBackoff is the pause after a connection that could not be accepted for want of file descriptors.
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

// ClaimKey asks the successor that has taken over to claim a key for an attempt that is about to begin here.
func (p *Process) ClaimKey(ctx context.Context, c Claim) (KeyState, error) {
	successor := p.currentSuccessor()
	if successor == nil {
		return KeyState{}, ErrDisconnected
	}
	return requestClaim(ctx, successor, c)
}

// Listen lets successors take over from this process. After an error the next process starts without this one's state.
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

// listenAt listens under a temporary name and renames the socket, so that the path always has a listener, and a file
// without one is replaced.
func listenAt(path string) (*net.UnixListener, error) {
	temporary := path + fmt.Sprintf(".%d", os.Getpid())
	_ = os.Remove(temporary)
	name, done, err := shortPath(temporary)
	if err != nil {
		return nil, err
	}
	defer done()
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

// serveSuccessor makes an offer to a process that has connected, and handles its requests until it disconnects.
func (p *Process) serveSuccessor(conn *net.UnixConn) {
	var s *session
	s = newSession(conn, func(m *Message) *Message { return p.handleSuccessor(s, m) })
	defer s.close()
	if !p.handleHello(s) {
		return
	}
	_ = s.run() // any error means that it has disconnected
	p.mu.Lock()
	hadTakenOver := p.successor == s
	if hadTakenOver {
		p.successor = nil
	}
	closed := p.closed
	p.mu.Unlock()
	if hadTakenOver && !closed {
		p.log.Warn("successor disconnected, accepting clients again", "component", "handover")
		p.host.Resume()
	}
}

// handleHello answers the greeting of a process with an offer. It returns false if there is no session with it.
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
	if err := p.sendOffer(s, m.Seq); err != nil {
		p.log.Warn("no offer made", "component", "handover", "error", err)
		return false
	}
	return true
}

// sendOffer sends the offer, and the listening socket with its first bytes.
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

// handleSuccessor returns the response to a request of a process that is to take over, or has.
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

// handOver has another process take over: it sends the key states, and returns the state. If the session breaks meanwhile,
// this process accepts clients again.
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

// setSuccessor makes a process the successor. It returns false if there is one, or this process ends.
func (p *Process) setSuccessor(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.successor != nil || p.closed {
		return false
	}
	p.successor = s
	return true
}

// sendKeys sends key states in messages of at most maxKeysPerMessage, and returns their number.
func sendKeys(s *session, keys []idempotency.Record) (int, error) {
	now := time.Now()
	for part := range slices.Chunk(keys, maxKeysPerMessage) {
		m := &Message{Kind: Keys}
		for _, k := range part {
			m.Keys = append(m.Keys, NewKeyRecord(now, k))
		}
		if err := s.send(m); err != nil {
			return 0, err
		}
	}
	return len(keys), nil
}
