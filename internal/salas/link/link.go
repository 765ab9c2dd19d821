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
	"slices"
	"strings"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/salas/crossing"
	"silvertrail/internal/salas/tally"
)

// Peer is another sala, and the addresses of its gateways.
type Peer struct {
	Name      string
	Addresses []string
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
	Lookup(id idempotency.KeyID) Found
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
	peers map[string][]*peer // by sala: one for each of its gateways
}

// Start listens, and links this gateway to all others for as long as it runs.
func Start(o Options) (*Link, error) {
	o.Connections = o.connections()
	l := &Link{o: o, log: o.Log.With("sala", o.Sala), process: rand.Uint64() | 1, begun: time.Now(), peers: map[string][]*peer{},
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
		l.table.Add(p.Name)
		var next []*peer
		for _, address := range p.Addresses {
			i := slices.IndexFunc(l.peers[p.Name], func(is *peer) bool { return is.address == address })
			if i >= 0 {
				next = append(next, l.peers[p.Name][i])
				continue
			}
			n := newPeer(l, p.Name, address)
			next = append(next, n)
			l.wait.Go(n.run)
		}
		for _, is := range l.peers[p.Name] {
			if !slices.Contains(next, is) {
				is.end()
			}
		}
		l.peers[p.Name] = next
		l.tell(p.Name)
	}
	for name, gates := range l.peers {
		if !named[name] {
			for _, p := range gates {
				p.end()
			}
			delete(l.peers, name)
			l.table.Remove(name)
		}
	}
}

// gates returns the gateways of a sala, in the order in which a crossing is tried at them.
func (l *Link) gates(sala string) (out []*peer) {
	l.mu.Lock()
	all := slices.Clone(l.peers[sala])
	how := make([]crossing.Gate, len(all))
	for i, p := range all {
		how[i] = p.gate
	}
	l.mu.Unlock()
	if len(all) == 1 {
		return all
	}
	for i, p := range all {
		how[i].Open = p.open()
	}
	for _, i := range crossing.Order(how) {
		out = append(out, all[i])
	}
	return out
}

// most returns how many gateways the sala with the most of them has, and how many there are in all.
func (l *Link) most() (one, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, gates := range l.peers {
		one, all = max(one, len(gates)), all+len(gates)
	}
	return one, all
}

func (l *Link) known(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[name] != nil
}

// heard and lost tell the decisions of a link.
func (l *Link) heard(p *peer, s crossing.State, trip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.gate.Up, p.gate.State, p.gate.Trip = true, s, trip
	l.tell(p.name)
}

func (l *Link) lost(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.gate.Up = false
	l.tell(p.name)
}

// tell has the decisions take up what a sala's gateways say. The caller holds the lock.
func (l *Link) tell(sala string) {
	var gates []crossing.Gate
	for _, p := range l.peers[sala] {
		gates = append(gates, p.gate)
	}
	order := crossing.Order(gates)
	if len(order) == 0 {
		l.table.Lost(sala)
		return
	}
	l.table.Heard(sala, crossing.Of(gates), gates[order[0]].Trip)
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
	for _, p := range l.gates(sala) {
		if x := p.call(ctx, c); x.Sent {
			return x
		}
	}
	return Crossing{Outcome: tally.NeverRan}
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

// Lookup asks a sala what it knows of a key: all of its gateways that are within reach.
func (l *Link) Lookup(ctx context.Context, sala string, id idempotency.KeyID) (f Found, err error) {
	gates := l.gates(sala)
	if len(gates) == 0 {
		return f, fmt.Errorf("link: no sala named %q within reach", sala)
	}
	found, errs := make([]Found, len(gates)), make([]error, len(gates))
	var all sync.WaitGroup
	for i, p := range gates {
		all.Go(func() {
			s := p.current()
			if s == nil {
				errs[i] = fmt.Errorf("link: %s at %s is out of reach", sala, p.address)
				return
			}
			errs[i] = s.ask(ctx, pathLookup, &lookup{ID: id}, &found[i])
		})
	}
	all.Wait()
	for i := range found {
		if errs[i] == nil && found[i].Known && (!f.Known || found[i].Left > f.Left) {
			f = found[i]
		}
	}
	if f.Known {
		return f, nil
	}
	return f, errors.Join(errs...) // one that could not be asked may know
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
	Gates    []GateView  `json:"gateways,omitempty"` // where there are several
}

// GateView is how one of a sala's gateways stands.
type GateView struct {
	Address  string    `json:"address"`
	State    string    `json:"state"`
	Since    time.Time `json:"since"`
	Sessions int       `json:"sessions"`
	Open     int       `json:"unsettled"`
	Fault    string    `json:"fault,omitempty"`
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
		l.mu.Lock()
		gates := slices.Clone(l.peers[s.Name])
		states := make([]crossing.State, len(gates))
		for i, p := range gates {
			if p.gate.Up {
				states[i] = p.gate.State
			}
		}
		l.mu.Unlock()
		v := SalaView{Sala: s, State: s.State.String(), Received: l.server.sums(s.Name)}
		var addresses, faults []string
		best := crossing.Closed
		for i, p := range gates {
			g, sent := p.view()
			g.State = states[i].String()
			v.Sent = tally.Add(v.Sent, sent)
			if reconcile {
				differs, compared, err := p.reconcile(ctx)
				v.Differs, v.Compared = append(v.Differs, differs...), v.Compared+compared
				if err != nil {
					g.Fault = err.Error()
				}
			}
			v.Sessions, v.Open = v.Sessions+g.Sessions, v.Open+g.Open
			if i == 0 || states[i] > best { // of the gateway by which it is what it is
				best, v.Since = states[i], g.Since
			}
			addresses = append(addresses, g.Address)
			if g.Fault != "" {
				faults = append(faults, g.Fault)
			}
			v.Gates = append(v.Gates, g)
		}
		v.Address, v.Fault = strings.Join(addresses, ", "), strings.Join(faults, "; ")
		if len(v.Gates) < 2 {
			v.Gates = nil
		}
		out = append(out, v)
	}
	return out
}
