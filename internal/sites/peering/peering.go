// Package peering carries requests between the gateways of sites: many at once on one connection in each direction,
// HTTP/2 under mutual TLS. It runs the decisions of package forwarding (which requests are forwarded, and where) and keeps
// the accounts of package accounting (what became of them): it translates between them and sockets, and decides nothing.
// docs/SALAS.md describes the protocol, whose messages are in messages.go.
//
// Each gateway dials each other one, and requests go over the connection of the gateway that sends them. A session is one
// such connection after its greeting. Heartbeats go over it that must be answered in time; otherwise the session ends, and
// what was not answered is settled over the next one.
//
// The Transport owns the connections. Its goroutines are one for each session that is kept to another gateway, one that
// accepts, and one for each connection accepted; Close waits for all of them.
package peering

import (
	"context"
	"log/slog"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/sites/forwarding"
)

// Peer is another site and the addresses of its gateways.
type Peer struct {
	Name      string
	Addresses []string
}

// Options configure a Transport.
type Options struct {
	Site              string
	Listen            string
	Identity          *Identity // nil: plain connections, for loopback only
	Peers             []Peer
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	MaxInFlight       int       // requests that one accepted connection may have in flight
	Connections       int       // kept to each gateway of another site
	PriorityWeights   []float64 // of all classes
	Handler           Handler
	Logger            *slog.Logger
}

// connections returns the number of connections to each gateway, within its bounds.
func (o Options) connections() int { return min(max(o.Connections, 1), maxConnections) }

// needsRestart reports whether other options differ in what only a restart can change.
func (o Options) needsRestart(other Options) bool {
	sameIdentity := (o.Identity == nil) == (other.Identity == nil) && (o.Identity == nil || *o.Identity == *other.Identity)
	return !sameIdentity ||
		o.Site != other.Site ||
		o.Listen != other.Listen ||
		o.HeartbeatInterval != other.HeartbeatInterval ||
		o.HeartbeatTimeout != other.HeartbeatTimeout ||
		o.MaxInFlight != other.MaxInFlight ||
		o.connections() != other.connections()
}

// Handler serves what other sites send to this one. Its methods are called from many goroutines.
type Handler interface {
	// ServeRequest returns the one response to a request. Its TimeLeft is what is left of its time here; after ctx ends
	// nobody waits for it any more.
	ServeRequest(ctx context.Context, from string, r *Request) *Response
	// State is what this site says of itself.
	State() forwarding.State
	// Lookup returns what is known here of a key.
	Lookup(id idempotency.KeyID) KeyLocation
}

const (
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	handshakeTimeout = 2 * time.Second // for a connection, its TLS handshake and its greeting
	maxSessions      = 32              // kept for each site and direction, those in use among them
	maxConnections   = 8               // to one gateway
	maxUnsettled     = 1 << 16         // requests of one session whose outcome the other end may not know
)
