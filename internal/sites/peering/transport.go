// Package peering carries requests between the gateways of salas: many at once on one connection for each direction, HTTP/2
// under mutual TLS. It is the host of crossing (who crosses, and whereto) and of tally (what became of it): it translates
// between them and sockets, and decides nothing. docs/SALAS.md describes the protocol.
//
// Each gateway dials each other one, and what crosses goes over the connection of the gateway that sends it. A session is
// one such connection, greeted. A heartbeat goes over it that must be answered in time; else the session ends, and what was
// not answered is settled over the next one.
package peering

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
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// Peer is another sala, and the addresses of its gateways.
type Peer struct {
	Name      string
	Addresses []string
}

// Options tell what a gateway needs to know of the links.
type Options struct {
	Site              string
	Listen            string
	Identity          *Identity // nil: plain connections, for loopback alone
	Peers             []Peer
	HeartbeatInterval time.Duration // between two
	HeartbeatTimeout  time.Duration // that a heartbeat's answer may take
	MaxInFlight       int           // crossings in work that are taken on one connection at once
	// Connections are those that are kept to each other sala.
	Connections     int
	PriorityWeights []float64 // of all classes

	Handler Handler
	Logger  *slog.Logger
}

// connections returns how many are kept to each other sala, within their bounds.
func (o Options) connections() int { return min(max(o.Connections, 1), maxConnections) }

// Handler serves what crosses to this sala.
type Handler interface {
	// ServeRequest gives a call its one answer. Left is what is left of its time here; where ctx ends nobody waits any more.
	ServeRequest(ctx context.Context, from string, c *Request) *Response
	// State is what this sala says of itself.
	State() forwarding.State
	// Lookup tells what is known here of a key.
	Lookup(id idempotency.KeyID) KeyLocation
}

const (
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	handshakeTimeout = 2 * time.Second // for a connection, its handshakes and its greeting
	maxSessions      = 32              // for each sala and direction, those in use among them
	maxConnections   = 8               // to one sala
	maxUnsettled     = 1 << 16         // crossings of one session whose end the other side may not know
)

// Transport is a gateway's links. All its methods may be called from any goroutine.
type Transport struct {
	options     Options
	log         *slog.Logger
	processID   uint64
	startedAt   time.Time
	credentials *credentials
	server      *server
	ctx         context.Context
	stop        context.CancelFunc
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	table    *forwarding.Table
	gateways map[string][]*gateway // by sala: one for each of its gateways
}

// Start listens, and links this gateway to all others for as long as it runs.
func Start(o Options) (*Transport, error) {
	o.Connections = o.connections()
	l := &Transport{options: o, log: o.Logger.With("sala", o.Site), processID: rand.Uint64() | 1, startedAt: time.Now(), gateways: map[string][]*gateway{},
		table: forwarding.New(o.PriorityWeights, nil)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	if o.Identity != nil {
		var err error
		if l.credentials, err = newCredentials(*o.Identity, l.log); err != nil {
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
func (l *Transport) Addr() string { return l.server.listener.Addr().String() }

// clock is the reading that is told with messages, in microseconds.
func (l *Transport) clock() int64 { return time.Since(l.startedAt).Microseconds() }

// Update takes other peers and worths. What else has changed waits for a restart, and the log says so.
func (l *Transport) Update(o Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Site != l.options.Site || o.Listen != l.options.Listen || o.HeartbeatInterval != l.options.HeartbeatInterval || o.HeartbeatTimeout != l.options.HeartbeatTimeout || o.MaxInFlight != l.options.MaxInFlight ||
		o.connections() != l.options.Connections ||
		(o.Identity == nil) != (l.options.Identity == nil) || o.Identity != nil && *o.Identity != *l.options.Identity {
		l.log.Warn("restart needed for the rest of the link block")
	}
	l.table.SetPriorityWeights(o.PriorityWeights)
	named := map[string]bool{}
	for _, p := range o.Peers {
		named[p.Name] = true
		l.table.Add(p.Name)
		var next []*gateway
		for _, address := range p.Addresses {
			i := slices.IndexFunc(l.gateways[p.Name], func(is *gateway) bool { return is.address == address })
			if i >= 0 {
				next = append(next, l.gateways[p.Name][i])
				continue
			}
			n := newGateway(l, p.Name, address)
			next = append(next, n)
			l.goroutines.Go(n.run)
		}
		for _, is := range l.gateways[p.Name] {
			if !slices.Contains(next, is) {
				is.cancel()
			}
		}
		l.gateways[p.Name] = next
		l.updateSite(p.Name)
	}
	for name, gates := range l.gateways {
		if !named[name] {
			for _, p := range gates {
				p.cancel()
			}
			delete(l.gateways, name)
			l.table.Remove(name)
		}
	}
}

// gatewaysInOrder returns the gateways of a sala, in the order in which a crossing is tried at them.
func (l *Transport) gatewaysInOrder(sala string) (out []*gateway) {
	l.mu.Lock()
	all := slices.Clone(l.gateways[sala])
	how := make([]forwarding.Gateway, len(all))
	for i, p := range all {
		how[i] = p.availability
	}
	l.mu.Unlock()
	if len(all) == 1 {
		return all
	}
	for i, p := range all {
		how[i].InFlight = p.inFlight()
	}
	for _, i := range forwarding.OrderGateways(how) {
		out = append(out, all[i])
	}
	return out
}

// gatewayCounts returns how many gateways the sala with the most of them has, and how many there are in all.
func (l *Transport) gatewayCounts() (one, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, gates := range l.gateways {
		one, all = max(one, len(gates)), all+len(gates)
	}
	return one, all
}

func (l *Transport) isPeer(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gateways[name] != nil
}

// markConnected and lost tell the decisions of a link.
func (l *Transport) markConnected(p *gateway, s forwarding.State, trip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.availability.Connected, p.availability.State, p.availability.RoundTrip = true, s, trip
	l.updateSite(p.site)
}

func (l *Transport) markDisconnected(p *gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.availability.Connected = false
	l.updateSite(p.site)
}

// updateSite has the decisions take up what a sala's gateways say. The caller holds the lock.
func (l *Transport) updateSite(sala string) {
	var gates []forwarding.Gateway
	for _, p := range l.gateways[sala] {
		gates = append(gates, p.availability)
	}
	order := forwarding.OrderGateways(gates)
	if len(order) == 0 {
		l.table.MarkDisconnected(sala)
		return
	}
	l.table.UpdateState(sala, forwarding.SiteState(gates), gates[order[0]].RoundTrip)
}

// Pick has the decisions choose where a request crosses to. What it returned must be ended.
func (l *Transport) Pick(r forwarding.Request) (sala string, back time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Pick(time.Now(), r)
}

// RecordResult tells the decisions how a crossing ended.
func (l *Transport) RecordResult(sala string, worth float64, r forwarding.Result, back time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.RecordResult(time.Now(), sala, worth, r, back)
}

// ForwardResult is what is known of a call that went out.
type ForwardResult struct {
	Response *Response          // nil: none came
	Outcome  accounting.Outcome // Open: not known yet
	Sent     bool               // it was counted; else nothing of it went out
	settled  chan accounting.Outcome
}

// Forward sends a call to a sala and waits for its answer.
func (l *Transport) Forward(ctx context.Context, sala string, c *Request) ForwardResult {
	for _, p := range l.gatewaysInOrder(sala) {
		if x := p.forward(ctx, c); x.Sent {
			return x
		}
	}
	return ForwardResult{Outcome: accounting.NeverRan}
}

// Settle waits until it is known what became of a crossing, or until ctx ends: then it is Open.
func (l *Transport) Settle(ctx context.Context, x ForwardResult) accounting.Outcome {
	if x.Outcome != accounting.Pending {
		return x.Outcome
	}
	select {
	case o := <-x.settled:
		x.settled <- o // for who asks again
		return o
	case <-ctx.Done():
		return accounting.Pending
	}
}

// Lookup asks a sala what it knows of a key: all of its gateways that are within reach.
func (l *Transport) Lookup(ctx context.Context, sala string, id idempotency.KeyID) (f KeyLocation, err error) {
	gates := l.gatewaysInOrder(sala)
	if len(gates) == 0 {
		return f, fmt.Errorf("link: no sala named %q within reach", sala)
	}
	found, errs := make([]KeyLocation, len(gates)), make([]error, len(gates))
	var all sync.WaitGroup
	for i, p := range gates {
		all.Go(func() {
			s := p.pickSession()
			if s == nil {
				errs[i] = fmt.Errorf("link: %s at %s is out of reach", sala, p.address)
				return
			}
			errs[i] = s.request(ctx, pathLookup, &lookupRequest{ID: id}, &found[i])
		})
	}
	all.Wait()
	for i := range found {
		if errs[i] == nil && found[i].Known && (!f.Known || found[i].RetryWindow > f.RetryWindow) {
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
func (l *Transport) Drain(by time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	l.server.drain(ctx)
}

// Close ends everything at once.
func (l *Transport) Close() {
	l.stop()
	l.server.close()
	l.goroutines.Wait()
}

// SiteStatus is how the link to another sala stands.
type SiteStatus struct {
	forwarding.Site
	State            string               `json:"state"`
	Address          string               `json:"address"`
	Since            time.Time            `json:"since"` // of the session, or of its loss
	Sessions         int                  `json:"sessions"`
	LastError        string               `json:"fault,omitempty"`
	Unsettled        int                  `json:"unsettled"`
	Sent             []accounting.Counter `json:"sent"`
	Received         []accounting.Counter `json:"received"`
	Differences      []SessionDifference  `json:"differs,omitempty"`
	SessionsCompared int                  `json:"sessions_compared,omitempty"`
	Gateways         []GatewayStatus      `json:"gateways,omitempty"` // where there are several
}

// GatewayStatus is how one of a sala's gateways stands.
type GatewayStatus struct {
	Address   string    `json:"address"`
	State     string    `json:"state"`
	Since     time.Time `json:"since"`
	Sessions  int       `json:"sessions"`
	Unsettled int       `json:"unsettled"`
	LastError string    `json:"fault,omitempty"`
}

// SessionDifference is a difference between the two ends of a session.
type SessionDifference struct {
	Session uint64 `json:"session"`
	accounting.Difference
}

// Status tells how all links stand. Where it is told to reconcile it asks the other ends for their counts and names all in
// which they differ.
func (l *Transport) Status(ctx context.Context, reconcile bool) (out []SiteStatus) {
	l.mu.Lock()
	salas := l.table.Sites()
	l.mu.Unlock()
	for _, s := range salas {
		l.mu.Lock()
		gates := slices.Clone(l.gateways[s.Name])
		states := make([]forwarding.State, len(gates))
		for i, p := range gates {
			if p.availability.Connected {
				states[i] = p.availability.State
			}
		}
		l.mu.Unlock()
		v := SiteStatus{Site: s, State: s.State.String(), Received: l.server.counters(s.Name)}
		var addresses, faults []string
		best := forwarding.Unavailable
		for i, p := range gates {
			g, sent := p.status()
			g.State = states[i].String()
			v.Sent = accounting.Merge(v.Sent, sent)
			if reconcile {
				differs, compared, err := p.reconcile(ctx)
				v.Differences, v.SessionsCompared = append(v.Differences, differs...), v.SessionsCompared+compared
				if err != nil {
					g.LastError = err.Error()
				}
			}
			v.Sessions, v.Unsettled = v.Sessions+g.Sessions, v.Unsettled+g.Unsettled
			if i == 0 || states[i] > best { // of the gateway by which it is what it is
				best, v.Since = states[i], g.Since
			}
			addresses = append(addresses, g.Address)
			if g.LastError != "" {
				faults = append(faults, g.LastError)
			}
			v.Gateways = append(v.Gateways, g)
		}
		v.Address, v.LastError = strings.Join(addresses, ", "), strings.Join(faults, "; ")
		if len(v.Gateways) < 2 {
			v.Gateways = nil
		}
		out = append(out, v)
	}
	return out
}
