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
	offerIn = 1500 * time.Millisecond // a process that is stopped or hung gives no offer
	takeIn  = time.Second
	bindIn  = time.Second            // the request's own deadline mostly ends sooner
	banIn   = 600 * time.Millisecond // operators wait for 1 s
)

// Self is this process, as the other one of an upgrade sees it.
type Self interface {
	// Offer returns what another process begins with that is to take over.
	Offer() Offer
	// Listener returns the clients' listening socket.
	Listener() syscall.Conn
	// Retire has this process take no more clients. From its return on no attempt with a key begins that Bind was not asked
	// for. It returns what is in force then.
	Retire() ([]idempotency.Record, Taken)
	// Resume has this process take clients again: the one that took over has gone.
	Resume()
	// Learn takes keys that the other process knows.
	Learn([]idempotency.Record)
	// Bind takes an attempt that another process is about to make where its key allows that, and returns what is known of
	// the key with it.
	Bind(Attempt) Past
	// Ban takes an operator's word that was said at another process.
	Ban(id string, on bool)
	// Alone tells that the process before this one has ended.
	Alone()
}

// Process is this process's place among those of an upgrade: perhaps there is one before it that ends, perhaps one after
// it that has taken over.
type Process struct {
	self Self
	log  *slog.Logger
	path string

	listener *net.UnixListener

	// authority is held shared while something is bound here, and alone while another process takes over: what was bound
	// before is among the keys that it is given, what comes after is asked of it.
	authority sync.RWMutex

	mu     sync.Mutex
	before *link // nil: there is none
	after  *link // has taken over; nil: none has
	closed bool
	first  bool
}

// Path returns the socket's path for a clients' address, in a directory that only processes that replace each other share.
func Path(dir, listen string) string {
	sum := sha256.Sum256([]byte(listen))
	return filepath.Join(dir, "silvertrail-"+hex.EncodeToString(sum[:6])+".sock")
}

// Start asks the process that runs before this one, if there is one, for its offer and its listening socket. Where there is
// none, or it gives none in time, both are nil. Path is where it listens and where this one will.
func Start(path string, self Self, log *slog.Logger) (p *Process, o *Offer, l net.Listener) {
	p = &Process{self: self, log: log, path: path, first: true}
	conn, err := dial(path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) { // never there, or ended
			log.Warn("handover: the process before this one can't be asked", "error", err)
		}
		return p, nil, nil
	}
	before := newLink(conn, p.fromBefore)
	o, l, err = ask(before)
	if err != nil {
		before.close()
		log.Warn("handover: the process before this one hands nothing over", "error", err)
		return p, nil, nil
	}
	p.before, p.first = before, false
	go func() {
		before.run()
		p.mu.Lock()
		p.before = nil
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			p.self.Alone()
		}
	}()
	return p, o, l
}

// ask greets and takes the offer.
func ask(l *link) (*Offer, net.Listener, error) {
	l.conn.SetDeadline(time.Now().Add(offerIn))
	defer l.conn.SetDeadline(time.Time{})
	if err := l.send(&Message{Kind: Hello, Version: Version, Seq: 1}); err != nil {
		return nil, nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(offerIn))
	in := &rights{conn: l.conn}
	defer in.close()
	m, err := read(in)
	switch {
	case err != nil:
		return nil, nil, err
	case m.Kind == No:
		return nil, nil, fmt.Errorf("handover: refused: %.200s", m.Why)
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

// Take has the process before this one take no more clients; what is in force there is this one's from now on. Where it
// does not answer this process goes on alone with what it was offered. It is to be called just before clients are taken.
func (p *Process) Take() *Taken {
	p.mu.Lock()
	before := p.before
	p.mu.Unlock()
	if before == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeIn)
	defer cancel()
	a, err := before.call(ctx, &Message{Kind: Take})
	if err != nil {
		p.log.Warn("handover: the process before this one does not give way", "error", err)
		return nil
	}
	return a.Taken
}

// fromBefore answers what the process before this one asks.
func (p *Process) fromBefore(m *Message) *Message {
	switch m.Kind {
	case Keys:
		now := time.Now()
		keys := make([]idempotency.Record, len(m.Keys))
		for i, k := range m.Keys {
			keys[i] = k.History(now)
		}
		p.self.Learn(keys)
		return nil
	case Bind:
		past, err := p.bind(*m.Bind)
		if err != nil {
			return &Message{Kind: No, Why: err.Error()}
		}
		return &Message{Kind: Bind, Past: &past}
	case Ban:
		p.self.Ban(m.Ban.ID, m.Ban.On)
		p.tell(context.Background(), p.successor(), *m.Ban)
		return &Message{Kind: Ban}
	}
	return &Message{Kind: No, Why: "not asked for here"}
}

// bind has an attempt of an earlier process bound: here, or by the process that has taken over meanwhile.
func (p *Process) bind(a Attempt) (Past, error) {
	p.authority.RLock()
	defer p.authority.RUnlock()
	if after := p.successor(); after != nil {
		return askBind(context.Background(), after, a)
	}
	return p.self.Bind(a), nil
}

func askBind(ctx context.Context, l *link, a Attempt) (Past, error) {
	ctx, cancel := context.WithTimeout(ctx, bindIn)
	defer cancel()
	m, err := l.call(ctx, &Message{Kind: Bind, Bind: &a})
	if err != nil {
		return Past{}, err
	}
	return *m.Past, nil
}

// Bind asks the process that has taken over where an attempt may go that is about to begin here.
func (p *Process) Bind(ctx context.Context, a Attempt) (Past, error) {
	after := p.successor()
	if after == nil {
		return Past{}, ErrEnded
	}
	return askBind(ctx, after, a)
}

// Tell has the other processes of an upgrade know of a ban. One that does not answer in time sends nothing that would
// break it, or has gone: it is logged.
func (p *Process) Tell(ctx context.Context, id string, on bool) {
	p.mu.Lock()
	before, after := p.before, p.after
	p.mu.Unlock()
	p.tell(ctx, before, BanOf{id, on})
	p.tell(ctx, after, BanOf{id, on})
}

func (p *Process) tell(ctx context.Context, l *link, b BanOf) {
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, banIn)
	defer cancel()
	if _, err := l.call(ctx, &Message{Kind: Ban, Ban: &b}); err != nil {
		p.log.Warn("handover: the other process has not confirmed a ban", "endpoint", b.ID, "banned", b.On, "error", err)
	}
}

func (p *Process) successor() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.after
}

// Listen lets other processes take over from this one. An error leaves this process as it is: the next one then starts
// without its state.
func (p *Process) Listen() error {
	// Under another name first: the path is never without a listener, and a file that nobody listens at goes.
	temp := p.path + fmt.Sprintf(".%d", os.Getpid())
	os.Remove(temp)
	short, done, err := short(temp)
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
		go p.serveOne(conn)
	}
}

// serveOne hands over to a process that has come.
func (p *Process) serveOne(conn *net.UnixConn) {
	var l *link
	l = newLink(conn, func(m *Message) *Message { return p.fromAfter(l, m) })
	defer l.close()
	conn.SetReadDeadline(time.Now().Add(offerIn))
	m, err := read(conn)
	if err != nil || m.Kind != Hello {
		return
	}
	conn.SetReadDeadline(time.Time{})
	if m.Version != Version {
		l.send(&Message{Kind: No, Answer: true, Seq: m.Seq, Why: fmt.Sprintf("this process speaks version %d, not %d", Version, m.Version)})
		return
	}
	if err := p.offer(l, m.Seq); err != nil {
		p.log.Warn("handover: no offer could be made", "error", err)
		return
	}
	l.run()
	p.mu.Lock()
	took := p.after == l
	if took {
		p.after = nil
	}
	closed := p.closed
	p.mu.Unlock()
	if took && !closed {
		p.log.Warn("handover: the process that took over has gone: this one takes clients again")
		p.self.Resume()
	}
}

// offer sends what another process begins with, and the listening socket with its first bytes.
func (p *Process) offer(l *link, seq uint64) error {
	o := p.self.Offer()
	text, err := frame(&Message{Kind: Hello, Answer: true, Version: Version, Seq: seq, Offer: &o})
	if err != nil {
		return err
	}
	raw, err := p.self.Listener().SyscallConn()
	if err != nil {
		return err
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeIn))
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

// fromAfter answers what a process asks that is to take over, or has.
func (p *Process) fromAfter(l *link, m *Message) *Message {
	switch m.Kind {
	case Take:
		return p.give(l)
	case Ban:
		p.self.Ban(m.Ban.ID, m.Ban.On)
		p.mu.Lock()
		before := p.before
		p.mu.Unlock()
		p.tell(context.Background(), before, *m.Ban)
		return &Message{Kind: Ban}
	}
	return &Message{Kind: No, Why: "not asked for here"}
}

// give has another process take over.
func (p *Process) give(l *link) *Message {
	p.authority.Lock()
	defer p.authority.Unlock()
	p.mu.Lock()
	if p.after != nil || p.closed {
		p.mu.Unlock()
		return &Message{Kind: No, Why: "another process has taken over, or this one ends"}
	}
	p.after = l
	p.mu.Unlock()
	keys, taken := p.self.Retire()
	now := time.Now()
	for len(keys) > 0 {
		part := keys[:min(len(keys), keysAtOnce)]
		keys = keys[len(part):]
		m := &Message{Kind: Keys}
		for _, k := range part {
			m.Keys = append(m.Keys, KeyOf(now, k))
		}
		taken.Keys += len(part)
		if err := l.send(m); err != nil { // the link's end has this process go on
			return nil
		}
	}
	p.log.Info("handover: another process takes the clients", "keys", taken.Keys, "bans", len(taken.Bans))
	return &Message{Kind: Take, Taken: &taken}
}

// First tells that no process before this one has made an offer.
func (p *Process) First() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.first
}

// Retired tells whether another process has taken over.
func (p *Process) Retired() bool { return p.successor() != nil }

// Close ends this process's part. Where nobody has taken over, its socket's file goes.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	l, before, after := p.listener, p.before, p.after
	p.mu.Unlock()
	if l != nil {
		if after == nil {
			os.Remove(p.path)
		}
		l.Close()
	}
	for _, o := range []*link{before, after} {
		if o != nil {
			o.close()
		}
	}
}
