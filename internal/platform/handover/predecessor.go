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

// Start asks the predecessor for its offer and its listening socket. Both are nil if there is no predecessor, or if it makes
// no offer within offerTimeout. The path names the Unix socket on which the predecessor listens and on which this process
// will listen.
func Start(path string, host Host, log *slog.Logger) (p *Process, offer *Offer, listener net.Listener) {
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
	offer, listener, err = requestOffer(predecessor)
	if err != nil {
		predecessor.close()
		log.Warn("predecessor makes no offer", "component", "handover", "error", err)
		return p, nil, nil
	}
	p.predecessor, p.first = predecessor, false
	go p.runPredecessor(predecessor)
	return p, offer, listener
}

// runPredecessor handles the predecessor's messages until the connection ends.
func (p *Process) runPredecessor(s *session) {
	_ = s.run() // any error means that the predecessor has ended
	p.mu.Lock()
	p.predecessor = nil
	closed := p.closed
	p.mu.Unlock()
	if !closed {
		p.host.PredecessorEnded()
	}
}

// requestOffer sends Hello to the predecessor and receives its offer and listening socket.
func requestOffer(s *session) (*Offer, net.Listener, error) {
	_ = s.conn.SetDeadline(time.Now().Add(offerTimeout))
	defer func() { _ = s.conn.SetDeadline(time.Time{}) }()
	if err := s.send(&Message{Kind: Hello, Version: Version, Seq: 1, Accepts: []Kind{ClaimID}}); err != nil {
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
		return nil, nil, fmt.Errorf("handover: received %d sockets, expected one", len(reader.fds))
	}
	listener, err := listenerOf(reader)
	if err != nil {
		return nil, nil, err
	}
	if address := listener.Addr().String(); address != m.Offer.Listen {
		_ = listener.Close()
		return nil, nil, fmt.Errorf("handover: received a socket at %s, expected %s", address, m.Offer.Listen)
	}
	return m.Offer, listener, nil
}

// listenerOf returns a listener on the only file descriptor that reader has received, and closes that descriptor.
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

// TakeOver has the predecessor stop accepting clients, and returns the predecessor's state at that moment. It returns nil if
// there is no predecessor, or if the request fails or times out. This process then continues with the state of the offer.
// TakeOver must be called just before this process accepts clients.
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

// handlePredecessor handles a message of the predecessor and returns the response. Keys messages have none.
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
	case ClaimID:
		isKnown, err := p.claimID(m.RequestIDs[0])
		if err != nil {
			return &Message{Kind: Rejection, Reason: err.Error()}
		}
		response := &Message{Kind: ClaimID}
		if isKnown {
			response.RequestIDs = m.RequestIDs
		}
		return response
	case Eject:
		p.host.SetEjected(m.Ejection.Endpoint, m.Ejection.Ejected)
		p.notify(context.Background(), p.currentSuccessor(), *m.Ejection)
		return &Message{Kind: Eject}
	}
	return &Message{Kind: Rejection, Reason: "unexpected request"}
}

// claimKey claims a key for an attempt of the predecessor. The claim is made at the successor if one has taken over, and at
// this process otherwise.
func (p *Process) claimKey(c Claim) (KeyState, error) {
	p.claimMu.RLock()
	defer p.claimMu.RUnlock()
	if successor := p.currentSuccessor(); successor != nil {
		return requestClaim(context.Background(), successor, c)
	}
	return p.host.ClaimKey(c), nil
}

// claimID claims the ID of a request of the predecessor, in the same place as claimKey, and reports whether it was in use.
func (p *Process) claimID(hash uint64) (isKnown bool, err error) {
	p.claimMu.RLock()
	defer p.claimMu.RUnlock()
	if successor := p.currentSuccessor(); successor != nil {
		return requestIDClaim(context.Background(), successor, hash)
	}
	return p.host.ClaimID(hash), nil
}
