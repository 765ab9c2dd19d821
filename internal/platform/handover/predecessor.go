package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"silvertrail/internal/balancer/idempotency"
)

// Start asks the predecessor, if there is one, for its offer and its listening socket. Without one, or without an offer in
// time, both are nil. Path is where the predecessor listens and where this process will.
func Start(path string, host Host, log *slog.Logger) (p *Process, o *Offer, l net.Listener) {
	p = &Process{host: host, log: log, path: path, first: true}
	conn, err := dial(path)
	if err != nil {
		hasEnded := errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED)
		if !hasEnded {
			log.Warn("predecessor not reachable", "component", "handover", "error", err)
		}
		return p, nil, nil
	}
	predecessor := newSession(conn, p.handlePredecessor)
	o, l, err = requestOffer(predecessor)
	if err != nil {
		predecessor.close()
		log.Warn("predecessor makes no offer", "component", "handover", "error", err)
		return p, nil, nil
	}
	p.predecessor, p.first = predecessor, false
	go p.runPredecessor(predecessor)
	return p, o, l
}

// runPredecessor handles the predecessor's messages until it ends.
func (p *Process) runPredecessor(s *session) {
	_ = s.run() // any error means that it has ended
	p.mu.Lock()
	p.predecessor = nil
	closed := p.closed
	p.mu.Unlock()
	if !closed {
		p.host.PredecessorEnded()
	}
}

// requestOffer greets the predecessor and receives its offer and listening socket.
func requestOffer(s *session) (*Offer, net.Listener, error) {
	_ = s.conn.SetDeadline(time.Now().Add(offerTimeout))
	defer func() { _ = s.conn.SetDeadline(time.Time{}) }()
	if err := s.send(&Message{Kind: Hello, Version: Version, Seq: 1}); err != nil {
		return nil, nil, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(offerTimeout))
	reader := &descriptorReader{conn: s.conn}
	defer reader.close()
	m, err := readFrame(reader)
	switch {
	case err != nil:
		return nil, nil, err
	case m.Kind == Rejection:
		return nil, nil, fmt.Errorf("handover: rejected: %.200s", m.Reason)
	case m.Kind != Hello || m.Version != Version:
		return nil, nil, errVersion
	case len(reader.fds) != 1:
		return nil, nil, fmt.Errorf("handover: %d sockets, expected one", len(reader.fds))
	}
	listener, err := listenerOf(reader)
	if err != nil {
		return nil, nil, err
	}
	if address := listener.Addr().String(); address != m.Offer.Listen {
		_ = listener.Close()
		return nil, nil, fmt.Errorf("handover: a socket at %s, expected %s", address, m.Offer.Listen)
	}
	return m.Offer, listener, nil
}

// listenerOf returns the listener of the one descriptor that was received.
func listenerOf(reader *descriptorReader) (net.Listener, error) {
	file := os.NewFile(uintptr(reader.fds[0]), "listener")
	reader.fds = nil
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return listener, nil
}

// TakeOver has the predecessor stop accepting clients, and returns its state at that moment. If it does not answer, this
// process goes on with the offer. It must be called just before clients are accepted here.
func (p *Process) TakeOver() *State {
	predecessor := p.currentPredecessor()
	if predecessor == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	response, err := predecessor.call(ctx, &Message{Kind: TakeOver})
	if err != nil {
		p.log.Warn("predecessor does not retire", "component", "handover", "error", err)
		return nil
	}
	return response.State
}

// handlePredecessor returns the response to a request of the predecessor.
func (p *Process) handlePredecessor(m *Message) *Message {
	switch m.Kind {
	case Keys:
		now := time.Now()
		keys := make([]idempotency.Record, len(m.Keys))
		for i, k := range m.Keys {
			keys[i] = k.Record(now)
		}
		p.host.AddKeys(keys)
		return nil
	case ClaimKey:
		state, err := p.claimKey(*m.Claim)
		if err != nil {
			return &Message{Kind: Rejection, Reason: err.Error()}
		}
		return &Message{Kind: ClaimKey, KeyState: &state}
	case Eject:
		p.host.SetEjected(m.Ejection.Endpoint, m.Ejection.Ejected)
		p.notify(context.Background(), p.currentSuccessor(), *m.Ejection)
		return &Message{Kind: Eject}
	}
	return &Message{Kind: Rejection, Reason: "unexpected request"}
}

// claimKey claims a key for an attempt of the predecessor: here, or at a successor that has taken over meanwhile.
func (p *Process) claimKey(c Claim) (KeyState, error) {
	p.claimMu.RLock()
	defer p.claimMu.RUnlock()
	if successor := p.currentSuccessor(); successor != nil {
		return requestClaim(context.Background(), successor, c)
	}
	return p.host.ClaimKey(c), nil
}
