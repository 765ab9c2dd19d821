package handover

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
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
	offerTimeout    = 1500 * time.Millisecond // a process that is stopped or hung gives no offer
	takeOverTimeout = time.Second
	claimTimeout    = time.Second            // the request's own deadline mostly ends sooner
	ejectTimeout    = 600 * time.Millisecond // operators wait for 1 s
)

// Host is this process, as the other one of an upgrade sees it.
type Host interface {
	// Offer returns what another process begins with that is to take over.
	Offer() Offer
	// Listener returns the clients' listening socket.
	Listener() syscall.Conn
	// Retire has this process take no more clients. From its return on no attempt with a key begins that Bind was not asked
	// for. It returns what is in force then.
	Retire() ([]idempotency.Record, State)
	// Resume has this process take clients again: the one that took over has gone.
	Resume()
	// AddKeys takes keys that the other process knows.
	AddKeys([]idempotency.Record)
	// ClaimKey takes an attempt that another process is about to make where its key allows that, and returns what is known of
	// the key with it.
	ClaimKey(Claim) KeyState
	// SetEjected takes an operator's word that was said at another process.
	SetEjected(id string, on bool)
	// PredecessorEnded tells that the process before this one has ended.
	PredecessorEnded()
}

// Process is this process's place among those of an upgrade: perhaps there is one before it that ends, perhaps one after
// it that has taken over.
type Process struct {
	host Host
	log  *slog.Logger
	path string

	listener *net.UnixListener

	// claimMu is held shared while something is bound here, and alone while another process takes over: what was bound
	// before is among the keys that it is given, what comes after is asked of it.
	claimMu sync.RWMutex

	mu          sync.Mutex
	predecessor *session // nil: there is none
	successor   *session // has taken over; nil: none has
	closed      bool
	first       bool
}

// Path returns the socket's path for a clients' address, in a directory that only processes that replace each other share.
func Path(dir, listen string) string {
	sum := sha256.Sum256([]byte(listen))
	return filepath.Join(dir, "silvertrail-"+hex.EncodeToString(sum[:6])+".sock")
}

// Start asks the process that runs before this one, if there is one, for its offer and its listening socket. Where there is
// none, or it gives none in time, both are nil. Path is where it listens and where this one will.
func Start(path string, self Host, log *slog.Logger) (p *Process, o *Offer, l net.Listener) {
	p = &Process{host: self, log: log, path: path, first: true}
	conn, err := dial(path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) { // never there, or ended
			log.Warn("handover: the process before this one can't be asked", "error", err)
		}
		return p, nil, nil
	}
	before := newSession(conn, p.handlePredecessor)
	o, l, err = requestOffer(before)
	if err != nil {
		before.close()
		log.Warn("handover: the process before this one hands nothing over", "error", err)
		return p, nil, nil
	}
	p.predecessor, p.first = before, false
	go func() {
		before.run()
		p.mu.Lock()
		p.predecessor = nil
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			p.host.PredecessorEnded()
		}
	}()
	return p, o, l
}

// requestOffer greets and takes the offer.
func requestOffer(l *session) (*Offer, net.Listener, error) {
	l.conn.SetDeadline(time.Now().Add(offerTimeout))
	defer l.conn.SetDeadline(time.Time{})
	if err := l.send(&Message{Kind: Hello, Version: Version, Seq: 1}); err != nil {
		return nil, nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(offerTimeout))
	in := &descriptorReader{conn: l.conn}
	defer in.close()
	m, err := readFrame(in)
	switch {
	case err != nil:
		return nil, nil, err
	case m.Kind == Rejection:
		return nil, nil, fmt.Errorf("handover: refused: %.200s", m.Reason)
	case m.Kind != Hello || m.Version != Version:
		return nil, nil, errVersion
	case len(in.fds) != 1:
		return nil, nil, fmt.Errorf("handover: %d sockets where one was to come", len(in.fds))
	}
	f := os.NewFile(uintptr(in.fds[0]), "listener")
	in.fds = nil
	defer f.Close()
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if at := listener.Addr().String(); at != m.Offer.Listen {
		listener.Close()
		return nil, nil, fmt.Errorf("handover: a socket at %s where %s was to come", at, m.Offer.Listen)
	}
	return m.Offer, listener, nil
}

// TakeOver has the process before this one take no more clients; what is in force there is this one's from now on. Where it
// does not answer this process goes on alone with what it was offered. It is to be called just before clients are taken.
func (p *Process) TakeOver() *State {
	p.mu.Lock()
	before := p.predecessor
	p.mu.Unlock()
	if before == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	a, err := before.call(ctx, &Message{Kind: TakeOver})
	if err != nil {
		p.log.Warn("handover: the process before this one does not give way", "error", err)
		return nil
	}
	return a.State
}

// handlePredecessor answers what the process before this one asks.
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
		past, err := p.claimKey(*m.Claim)
		if err != nil {
			return &Message{Kind: Rejection, Reason: err.Error()}
		}
		return &Message{Kind: ClaimKey, KeyState: &past}
	case Eject:
		p.host.SetEjected(m.Ejection.Endpoint, m.Ejection.Ejected)
		p.notify(context.Background(), p.currentSuccessor(), *m.Ejection)
		return &Message{Kind: Eject}
	}
	return &Message{Kind: Rejection, Reason: "not asked for here"}
}

// claimKey has an attempt of an earlier process bound: here, or by the process that has taken over meanwhile.
func (p *Process) claimKey(a Claim) (KeyState, error) {
	p.claimMu.RLock()
	defer p.claimMu.RUnlock()
	if after := p.currentSuccessor(); after != nil {
		return requestClaim(context.Background(), after, a)
	}
	return p.host.ClaimKey(a), nil
}

func requestClaim(ctx context.Context, l *session, a Claim) (KeyState, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	m, err := l.call(ctx, &Message{Kind: ClaimKey, Claim: &a})
	if err != nil {
		return KeyState{}, err
	}
	return *m.KeyState, nil
}

// ClaimKey asks the process that has taken over where an attempt may go that is about to begin here.
func (p *Process) ClaimKey(ctx context.Context, a Claim) (KeyState, error) {
	after := p.currentSuccessor()
	if after == nil {
		return KeyState{}, ErrDisconnected
	}
	return requestClaim(ctx, after, a)
}

// NotifyEjection has the other processes of an upgrade know of a ban. One that does not answer in time sends nothing that would
// break it, or has gone: it is logged.
func (p *Process) NotifyEjection(ctx context.Context, id string, on bool) {
	p.mu.Lock()
	before, after := p.predecessor, p.successor
	p.mu.Unlock()
	p.notify(ctx, before, Ejection{id, on})
	p.notify(ctx, after, Ejection{id, on})
}

func (p *Process) notify(ctx context.Context, l *session, b Ejection) {
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ejectTimeout)
	defer cancel()
	if _, err := l.call(ctx, &Message{Kind: Eject, Ejection: &b}); err != nil {
		p.log.Warn("handover: the other process has not confirmed a ban", "endpoint", b.Endpoint, "banned", b.Ejected, "error", err)
	}
}

func (p *Process) currentSuccessor() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.successor
}

// Listen lets other processes take over from this one. An error leaves this process as it is: the next one then starts
// without its state.
func (p *Process) Listen() error {
	// Under another name first: the path is never without a listener, and a file that nobody listens at goes.
	temp := p.path + fmt.Sprintf(".%d", os.Getpid())
	os.Remove(temp)
	short, done, err := shortPath(temp)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer done()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(temp, 0o600)
	if err == nil {
		err = os.Rename(temp, p.path)
	}
	if err != nil {
		l.Close()
		os.Remove(temp)
		return fmt.Errorf("handover: %w", err)
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.serve(l)
	return nil
}

func (p *Process) serve(l *net.UnixListener) {
	for {
		conn, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond) // descriptors are short
			continue
		}
		go p.serveSuccessor(conn)
	}
}

// serveSuccessor hands over to a process that has come.
func (p *Process) serveSuccessor(conn *net.UnixConn) {
	var l *session
	l = newSession(conn, func(m *Message) *Message { return p.handleSuccessor(l, m) })
	defer l.close()
	conn.SetReadDeadline(time.Now().Add(offerTimeout))
	m, err := readFrame(conn)
	if err != nil || m.Kind != Hello {
		return
	}
	conn.SetReadDeadline(time.Time{})
	if m.Version != Version {
		l.send(&Message{Kind: Rejection, IsResponse: true, Seq: m.Seq, Reason: fmt.Sprintf("this process speaks version %d, not %d", Version, m.Version)})
		return
	}
	if err := p.sendOffer(l, m.Seq); err != nil {
		p.log.Warn("handover: no offer could be made", "error", err)
		return
	}
	l.run()
	p.mu.Lock()
	took := p.successor == l
	if took {
		p.successor = nil
	}
	closed := p.closed
	p.mu.Unlock()
	if took && !closed {
		p.log.Warn("handover: the process that took over has gone: this one takes clients again")
		p.host.Resume()
	}
}

// sendOffer sends what another process begins with, and the listening socket with its first bytes.
func (p *Process) sendOffer(l *session, seq uint64) error {
	o := p.host.Offer()
	text, err := encodeFrame(&Message{Kind: Hello, IsResponse: true, Version: Version, Seq: seq, Offer: &o})
	if err != nil {
		return err
	}
	raw, err := p.host.Listener().SyscallConn()
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var n int
	var werr error
	err = raw.Control(func(fd uintptr) {
		n, _, werr = l.conn.WriteMsgUnix(text, syscall.UnixRights(int(fd)), nil)
	})
	if err = errors.Join(err, werr); err != nil {
		return err
	}
	_, err = l.conn.Write(text[n:])
	return err
}

// handleSuccessor answers what a process asks that is to take over, or has.
func (p *Process) handleSuccessor(l *session, m *Message) *Message {
	switch m.Kind {
	case TakeOver:
		return p.handOver(l)
	case Eject:
		p.host.SetEjected(m.Ejection.Endpoint, m.Ejection.Ejected)
		p.mu.Lock()
		before := p.predecessor
		p.mu.Unlock()
		p.notify(context.Background(), before, *m.Ejection)
		return &Message{Kind: Eject}
	}
	return &Message{Kind: Rejection, Reason: "not asked for here"}
}

// handOver has another process take over.
func (p *Process) handOver(l *session) *Message {
	p.claimMu.Lock()
	defer p.claimMu.Unlock()
	p.mu.Lock()
	if p.successor != nil || p.closed {
		p.mu.Unlock()
		return &Message{Kind: Rejection, Reason: "another process has taken over, or this one ends"}
	}
	p.successor = l
	p.mu.Unlock()
	keys, taken := p.host.Retire()
	now := time.Now()
	for len(keys) > 0 {
		part := keys[:min(len(keys), maxKeysPerMessage)]
		keys = keys[len(part):]
		m := &Message{Kind: Keys}
		for _, k := range part {
			m.Keys = append(m.Keys, NewKeyRecord(now, k))
		}
		taken.KeyCount += len(part)
		if err := l.send(m); err != nil { // the link's end has this process go on
			return nil
		}
	}
	p.log.Info("handover: another process takes the clients", "keys", taken.KeyCount, "bans", len(taken.Ejected))
	return &Message{Kind: TakeOver, State: &taken}
}

// IsFirst tells that no process before this one has made an offer.
func (p *Process) IsFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first
}

// IsRetired tells whether another process has taken over.
func (p *Process) IsRetired() bool { return p.currentSuccessor() != nil }

// Close ends this process's part. Where nobody has taken over, its socket's file goes.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	l, before, after := p.listener, p.predecessor, p.successor
	p.mu.Unlock()
	if l != nil {
		if after == nil {
			os.Remove(p.path)
		}
		l.Close()
	}
	for _, o := range []*session{before, after} {
		if o != nil {
			o.close()
		}
	}
}
