// Package link carries requests between the gateways of salas: many at once on one connection for each direction, HTTP/2
// under mutual TLS. It is the host of crossing (who crosses, and whereto) and of tally (what became of it): it translates
// between them and sockets, and decides nothing. docs/SALAS.md describes the protocol.
//
// Each gateway dials each other one, and what crosses goes over the connection of the gateway that sends it. A session is
// one such connection, greeted. A heartbeat goes over it that must be answered in time; else the session ends, and what was
// not answered is settled over the next one.
package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"silvertrail/internal/crossing"
	"silvertrail/internal/history"
	"silvertrail/internal/tally"
)

// Peer is another sala's gateway.
type Peer struct {
	Name    string
	Address string
}

// Options tell what a gateway needs to know of the links.
type Options struct {
	Sala      string
	Listen    string
	Identity  *Identity // nil: plain connections, for loopback alone
	Peers     []Peer
	Heartbeat time.Duration // between two
	Silence   time.Duration // that a heartbeat's answer may take
	Calls     int           // crossings in work that are taken on one connection at once
	// Connections are those that are kept to each other sala.
	Connections int
	Worths      []float64 // of all classes

	Serve Server
	Log   *slog.Logger
}

// connections returns how many are kept to each other sala, within their bounds.
func (o Options) connections() int { return min(max(o.Connections, 1), mostConns) }

// Server serves what crosses to this sala.
type Server interface {
	// Cross gives a call its one answer. Left is what is left of its time here; where ctx ends nobody waits any more.
	Cross(ctx context.Context, from string, c *Call) *Answer
	// State is what this sala says of itself.
	State() crossing.State
	// Lookup tells what is known here of a key.
	Lookup(id history.ID) Found
}

const (
	backoffLeast = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	shakeIn      = 2 * time.Second // for a connection, its handshakes and its greeting
	keepSessions = 32              // for each sala and direction, those in use among them
	mostConns    = 8               // to one sala
	windowRoom   = 1 << 16         // crossings of one session whose end the other side may not know
)

// Link is a gateway's links. All its methods may be called from any goroutine.
type Link struct {
	o       Options
	log     *slog.Logger
	process uint64
	begun   time.Time
	proof   *proof
	server  *server
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup

	mu    sync.Mutex
	table *crossing.Table
	peers map[string]*peer
}

// Start listens, and links this gateway to all others for as long as it runs.
func Start(o Options) (*Link, error) {
	o.Connections = o.connections()
	l := &Link{o: o, log: o.Log.With("sala", o.Sala), process: rand.Uint64() | 1, begun: time.Now(), peers: map[string]*peer{},
		table: crossing.New(o.Worths, nil)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	if o.Identity != nil {
		var err error
		if l.proof, err = newProof(*o.Identity, l.log); err != nil {
			return nil, err
		}
	} else if at, err := net.ResolveTCPAddr("tcp", o.Listen); err != nil || !at.IP.IsLoopback() {
		return nil, errors.New("link: plain connections are for loopback alone")
	}
	var err error
	if l.server, err = l.listen(); err != nil {
		return nil, err
	}
	l.Update(o)
	return l, nil
}

// Addr returns the address that it listens on.
func (l *Link) Addr() string { return l.server.listener.Addr().String() }

// clock is the reading that is told with messages, in microseconds.
func (l *Link) clock() int64 { return time.Since(l.begun).Microseconds() }

// Update takes other peers and worths. What else has changed waits for a restart, and the log says so.
func (l *Link) Update(o Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Sala != l.o.Sala || o.Listen != l.o.Listen || o.Heartbeat != l.o.Heartbeat || o.Silence != l.o.Silence || o.Calls != l.o.Calls ||
		o.connections() != l.o.Connections ||
		(o.Identity == nil) != (l.o.Identity == nil) || o.Identity != nil && *o.Identity != *l.o.Identity {
		l.log.Warn("restart needed for the rest of the link block")
	}
	l.table.Rework(o.Worths)
	named := map[string]bool{}
	for _, p := range o.Peers {
		named[p.Name] = true
		if is := l.peers[p.Name]; is != nil {
			if is.address == p.Address {
				continue
			}
			is.end()
		}
		n := newPeer(l, p)
		l.peers[p.Name] = n
		l.table.Add(p.Name)
		l.wait.Go(n.run)
	}
	for name, p := range l.peers {
		if !named[name] {
			p.end()
			delete(l.peers, name)
			l.table.Remove(name)
		}
	}
}

func (l *Link) peer(name string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[name]
}

func (l *Link) known(name string) bool { return l.peer(name) != nil }

// heard and lost tell the decisions of a link.
func (l *Link) heard(p *peer, s crossing.State, trip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.name] == p {
		l.table.Heard(p.name, s, trip)
	}
}

func (l *Link) lost(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.name] == p {
		l.table.Lost(p.name)
	}
}

// Pick has the decisions choose where a request crosses to. What it returned must be ended.
func (l *Link) Pick(r crossing.Request) (sala string, back time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Pick(time.Now(), r)
}

// Ended tells the decisions how a crossing ended.
func (l *Link) Ended(sala string, worth float64, r crossing.Result, back time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Ended(time.Now(), sala, worth, r, back)
}

// Crossing is what is known of a call that went out.
type Crossing struct {
	Answer  *Answer       // nil: none came
	Outcome tally.Outcome // Open: not known yet
	Sent    bool          // it was counted; else nothing of it went out
	told    chan tally.Outcome
}

// Call sends a call to a sala and waits for its answer.
func (l *Link) Call(ctx context.Context, sala string, c *Call) Crossing {
	p := l.peer(sala)
	if p == nil {
		return Crossing{Outcome: tally.NeverRan}
	}
	return p.call(ctx, c)
}

// Settle waits until it is known what became of a crossing, or until ctx ends: then it is Open.
func (l *Link) Settle(ctx context.Context, x Crossing) tally.Outcome {
	if x.Outcome != tally.Open {
		return x.Outcome
	}
	select {
	case o := <-x.told:
		x.told <- o // for who asks again
		return o
	case <-ctx.Done():
		return tally.Open
	}
}

// Lookup asks a sala what it knows of a key.
func (l *Link) Lookup(ctx context.Context, sala string, id history.ID) (f Found, err error) {
	p := l.peer(sala)
	if p == nil {
		return f, fmt.Errorf("link: no sala named %q", sala)
	}
	s := p.current()
	if s == nil {
		return f, fmt.Errorf("link: %s is out of reach", sala)
	}
	return f, s.ask(ctx, pathLookup, &lookup{ID: id}, &f)
}

// Drain has the others take their connections elsewhere: what is in work is answered. It returns at the time told at the
// latest.
func (l *Link) Drain(by time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	l.server.drain(ctx)
}

// Close ends everything at once.
func (l *Link) Close() {
	l.stop()
	l.server.close()
	l.wait.Wait()
}

// SalaView is how the link to another sala stands.
type SalaView struct {
	crossing.Sala
	State    string      `json:"state"`
	Address  string      `json:"address"`
	Since    time.Time   `json:"since"` // of the session, or of its loss
	Sessions int         `json:"sessions"`
	Fault    string      `json:"fault,omitempty"`
	Open     int         `json:"unsettled"`
	Sent     []tally.Sum `json:"sent"`
	Received []tally.Sum `json:"received"`
	Differs  []Differs   `json:"differs,omitempty"`
	Compared int         `json:"sessions_compared,omitempty"`
}

// Differs is a difference between the two ends of a session.
type Differs struct {
	Session uint64 `json:"session"`
	tally.Difference
}

// Status tells how all links stand. Where it is told to reconcile it asks the other ends for their counts and names all in
// which they differ.
func (l *Link) Status(ctx context.Context, reconcile bool) (out []SalaView) {
	l.mu.Lock()
	salas := l.table.Salas()
	l.mu.Unlock()
	for _, s := range salas {
		p := l.peer(s.Name)
		if p == nil {
			continue
		}
		v := p.view()
		v.Sala, v.State = s, s.State.String()
		v.Received = l.server.sums(s.Name)
		if reconcile {
			var err error
			if v.Differs, v.Compared, err = p.reconcile(ctx); err != nil {
				v.Fault = err.Error()
			}
		}
		out = append(out, v)
	}
	return out
}
