package handover

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"silvertrail/internal/balancer/idempotency"
)

const (
	offerTimeout    = 1500 * time.Millisecond // a process that is stopped or hangs makes no offer
	takeOverTimeout = time.Second
	claimTimeout    = time.Second            // the request's own deadline is mostly sooner
	ejectTimeout    = 600 * time.Millisecond // operators wait for 1 s
)

// Host is what the other processes of an upgrade need of this one.
type Host interface {
	// Offer returns the state that a successor starts with.
	Offer() Offer
	// Listener returns the clients' listening socket.
	Listener() syscall.Conn
	// Retire stops accepting clients. After its return no attempt with a key begins without a ClaimKey of the successor. It
	// returns the state at that moment.
	Retire() ([]idempotency.Record, State)
	// Resume accepts clients again, as the successor has disconnected.
	Resume()
	// AddKeys adds the key states of another process.
	AddKeys([]idempotency.Record)
	// ClaimKey records an attempt that another process is about to make, if the key's state allows it, and returns that state.
	ClaimKey(Claim) KeyState
	// SetEjected applies an operator's call that another process received.
	SetEjected(id string, ejected bool)
	// PredecessorEnded is called when the predecessor has ended.
	PredecessorEnded()
}

// Process is this process among those of an upgrade: there may be a predecessor that ends, and a successor that has taken
// over. Its methods may be called from any goroutine.
type Process struct {
	host Host
	log  *slog.Logger
	path string

	// claimMu is read-locked while a key is claimed here, and locked while a successor takes over: keys claimed before are
	// among those that it is sent, later ones are claimed there.
	claimMu sync.RWMutex

	mu          sync.Mutex
	listener    *net.UnixListener // nil: Listen was not called
	predecessor *session          // nil: there is none
	successor   *session          // has taken over; nil: none has
	closed      bool
	first       bool
}

// Path returns the socket's path for a clients' address, in a directory that only processes that replace each other share.
func Path(dir, listen string) string {
	sum := sha256.Sum256([]byte(listen))
	return filepath.Join(dir, "silvertrail-"+hex.EncodeToString(sum[:6])+".sock")
}

// IsFirst reports whether no predecessor has made an offer.
func (p *Process) IsFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first
}

// IsRetired reports whether a successor has taken over.
func (p *Process) IsRetired() bool { return p.currentSuccessor() != nil }

// currentSuccessor returns the session with the successor, or nil.
func (p *Process) currentSuccessor() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.successor
}

// currentPredecessor returns the session with the predecessor, or nil.
func (p *Process) currentPredecessor() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.predecessor
}

// NotifyEjection notifies the other processes of an operator's call. One that does not answer in time is logged: it has
// ended, or sends no requests that the ejection concerns.
func (p *Process) NotifyEjection(ctx context.Context, id string, ejected bool) {
	p.mu.Lock()
	predecessor, successor := p.predecessor, p.successor
	p.mu.Unlock()
	p.notify(ctx, predecessor, Ejection{id, ejected})
	p.notify(ctx, successor, Ejection{id, ejected})
}

// notify notifies one process, unless the session is nil.
func (p *Process) notify(ctx context.Context, s *session, e Ejection) {
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ejectTimeout)
	defer cancel()
	if _, err := s.call(ctx, &Message{Kind: Eject, Ejection: &e}); err != nil {
		p.log.Warn("ejection not confirmed by the other process", "component", "handover", "endpoint", e.Endpoint, "ejected", e.Ejected, "error", err)
	}
}

// Close closes the sessions and the listener. If no successor has taken over, the socket's file is removed.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	listener, predecessor, successor := p.listener, p.predecessor, p.successor
	p.mu.Unlock()
	if listener != nil {
		if successor == nil {
			_ = os.Remove(p.path) // a file that stays is replaced by the next process
		}
		_ = listener.Close()
	}
	for _, s := range []*session{predecessor, successor} {
		if s != nil {
			s.close()
		}
	}
}
