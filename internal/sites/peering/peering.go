// Package peering carries requests between the gateways of different sites. It uses HTTP/2 over mutual TLS, with many
// concurrent requests on a connection and separate connections for each direction. Package forwarding decides which requests
// are forwarded, and to which site. Package accounting records the outcomes of forwarded requests. This package connects
// both to the network and makes no such decisions itself. docs/SALAS.md describes the protocol, and messages.go defines its
// messages.
//
// Each gateway dials the gateways of all other sites and sends its requests over the connections that it dialled. A session
// is such a connection after its greeting. The dialling gateway sends heartbeats on it. If a heartbeat is not answered in
// time, and no other request is either, the session ends. The outcomes of its unanswered requests are then settled over the
// next session.
//
// The Transport owns the connections. It runs one goroutine for each outbound session, one that accepts connections, and one
// for each accepted connection. Close waits for all of them.
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
	Identity          *Identity // nil: connections without TLS, which are allowed on loopback only
	Peers             []Peer
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration // without any response for this long, a session ends
	MaxInFlight       int           // limit on requests in flight for each accepted connection
	Connections       int           // to each gateway of another site
	PriorityWeights   []float64     // of all priority classes
	Handler           Handler
	Logger            *slog.Logger
}

// connections returns the number of connections to each gateway, limited to the range 1 to maxConnections.
func (o Options) connections() int { return min(max(o.Connections, 1), maxConnections) }

// needsRestart reports whether the options differ from other in a field that only a restart can change.
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

// Handler serves the requests that other sites send to this site. Its methods may be called concurrently.
type Handler interface {
	// ServeRequest returns the response to a request from another site. The request's TimeLeft is the time left on arrival
	// at this site. Once ctx ends, the sender no longer waits for the response.
	ServeRequest(ctx context.Context, from string, r *Request) *Response
	// State returns the state that this site reports to the other sites.
	State() forwarding.State
	// Lookup returns what this site knows about an idempotency key.
	Lookup(id idempotency.KeyID) KeyLocation
}

const (
	minBackoff       = 50 * time.Millisecond // between attempts to connect
	maxBackoff       = 2 * time.Second
	handshakeTimeout = 2 * time.Second // for connecting, the TLS handshake and the greeting
	maxSessions      = 32              // kept for each gateway of a site: all inbound ones, and ended outbound ones
	maxConnections   = 8               // to one gateway of another site
	maxUnsettled     = 1 << 16         // requests of one session whose outcome the sender may not know yet
)
