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
	offerTimeout    = 1500 * time.Millisecond // bounds the wait for a process that is stopped or hangs
	takeOverTimeout = time.Second
	claimTimeout    = time.Second            // the request's own deadline is usually earlier
	ejectTimeout    = 600 * time.Millisecond // shorter than the 1 s for which operators wait
)

// Host is the interface through which the other processes of an upgrade act on this process.
type Host interface {
	// Offer returns the state that a successor starts with.
	Offer() Offer
	// Listener returns the clients' listening socket.
	Listener() syscall.Conn
	// Retire stops accepting clients and returns the key states and the other state at that moment. After Retire has returned,
	// no attempt with an idempotency key begins before the successor has answered a ClaimKey request for it.
	Retire() ([]idempotency.Record, State)
	// Resume accepts clients again. It is called when the successor has disconnected.
	Resume()
	// AddKeys adds the key states of another process.
	AddKeys([]idempotency.Record)
	// ClaimKey records an attempt that another process is about to make, if the state of its key allows the attempt. It
	// returns the key's state.
	ClaimKey(Claim) KeyState
	// ClaimID records the ID of a request that another process is about to serve, by its hash, and reports whether it was known. It may be
	// called before the state of the other process is known here.
	ClaimID(hash uint64) (isKnown bool)
	// SetEjected applies a manual ejection, or the end of one, that an operator requested at another process.
	SetEjected(id string, ejected bool)
	// PredecessorEnded is called when the predecessor has ended.
	PredecessorEnded()
}

// Process is this process's part in an upgrade. There may be a predecessor that is draining, and a successor that has taken
// over. The methods may be called from any goroutine.
type Process struct {
	host Host
	log  *slog.Logger
	path string

	// claimMu is read-locked while a key is claimed at this process, and write-locked while a successor takes over. Keys
	// claimed before the takeover are therefore sent to the successor, and later keys are claimed at the successor.
	claimMu sync.RWMutex

	listenMu sync.Mutex // held while listenAgain replaces the listener, so that Close closes the new one

	mu          sync.Mutex
	listener    *net.UnixListener // nil: Listen has not been called
	predecessor *session          // nil: there is no predecessor
	successor   *session          // the process that has taken over; nil: none has
	closed      bool
	first       bool // no predecessor has made an offer
}

// Path returns the path of the Unix socket for the address on which clients are accepted. Only processes that replace each
// other may share the directory.
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

// NotifyEjection notifies the predecessor and the successor of a manual ejection or its end. A missing confirmation is only
// logged: a process that does not answer in time has ended, or sends no requests that the ejection concerns.
func (p *Process) NotifyEjection(ctx context.Context, id string, ejected bool) {
	p.mu.Lock()
	predecessor, successor := p.predecessor, p.successor
	p.mu.Unlock()
	p.notify(ctx, predecessor, Ejection{id, ejected})
	p.notify(ctx, successor, Ejection{id, ejected})
}

// notify notifies one process of an ejection. A nil session is ignored.
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
	p.mu.Unlock()
	p.listenMu.Lock()
	defer p.listenMu.Unlock()
	p.mu.Lock()
	listener, predecessor, successor := p.listener, p.predecessor, p.successor
	p.mu.Unlock()
	if listener != nil {
		if successor == nil {
			_ = os.Remove(p.path) // the next process replaces a file that could not be removed
		}
		_ = listener.Close()
	}
	for _, s := range []*session{predecessor, successor} {
		if s != nil {
			s.close()
		}
	}
}
