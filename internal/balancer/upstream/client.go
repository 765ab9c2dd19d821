// Package upstream sends attempts to endpoints and classifies their outcomes.
//
// It has its own connection pools, as http.Transport retries some requests by itself and dials more often than it is asked
// to: here one attempt is one request on one connection. A Client owns all its connections and guards them with one mutex.
// While connections are idle, a timer closes those that are not needed; a dial and the wait for an early response use
// goroutines that end with their connection.
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/quota"
)

// Request is what is sent to an endpoint, the same with each attempt.
type Request struct {
	Method, Target, Host string
	Header               http.Header // end-to-end headers
	Body                 []byte
	Stream               RequestStream // the rest of the body; nil: there is none
	Deadline             time.Time
	TimeLeft             time.Duration // once the rest of the body has arrived
}

// Options configure a client.
type Options struct {
	DialTimeout time.Duration
	// Dial opens connections, each within DialTimeout by its context; nil: over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is how long a connection may have been idle to be reused: shorter than endpoints keep it, or a request would be
	// written to it in vain.
	IdleTimeout time.Duration
	// SettleTime is how long a connection is not reused after a response if another one is available: what an endpoint writes
	// late, after a response, would be taken for the response to the next request. Zero: it is reused at once.
	SettleTime time.Duration
	// HedgeDials opens a second connection where the first one is late, see dial.go.
	HedgeDials bool
	MaxConns   int
	// Allocation is the client's part of the process's connections; nil: MaxConns alone is the bound.
	Allocation *quota.Allocation
	// OnExhausted is called where the process has no descriptor for a connection, to have others close theirs; nil: nobody can.
	OnExhausted func()
	// OnSent is called for each request that was written completely; nil: nobody counts them. It must not block.
	OnSent func()
	// MaxStreamBytes bounds responses that are streamed. Up to 64 KiB all responses are buffered.
	MaxStreamBytes int64
	// AnyStatus takes every response that an endpoint means for the client as success (2xx, 3xx, and 4xx except 408 and 429).
	// Without it only 200 is.
	AnyStatus bool
}

// Client holds what the pools of all endpoints share. It is safe for concurrent use.
type Client struct {
	Options

	mu        sync.Mutex // guards the fields below, the options that can be set, and all pools
	idle      idleLimit
	dials     dialHedging
	openConns int // also those that are being opened
	pools     map[*Pool]struct{}
	sweeping  bool // a sweep is scheduled
}

// sweepInterval is how often idle connections are checked.
const sweepInterval = 500 * time.Millisecond

// NewClient returns a client. The memory for responses is bounded by the connections: 64 KiB for each.
func NewClient(o Options) *Client {
	return &Client{
		Options: o,
		idle:    idleLimit{configured: o.IdleTimeout, learned: o.IdleTimeout},
		dials:   dialHedging{budget: 1},
		pools:   map[*Pool]struct{}{},
	}
}

// SetDialTimeout sets the timeout of dials that start from now on.
func (c *Client) SetDialTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.DialTimeout = d
}

// SetMaxConns sets the bound on connections. Idle ones beyond it are closed; those in use end with their attempts.
func (c *Client) SetMaxConns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.MaxConns = n
	for c.openConns > n && c.closeOldestIdle() {
	}
}

// SetIdleTimeout sets how long a connection may have been idle to be reused.
func (c *Client) SetIdleTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle.configure(d)
}

// OpenConns returns the number of connections that are open or being opened.
func (c *Client) OpenConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openConns
}

// Pool returns a new pool of connections to an address.
func (c *Client) Pool(address string) *Pool {
	p := &Pool{client: c, address: address}
	c.mu.Lock()
	c.pools[p] = struct{}{}
	c.mu.Unlock()
	return p
}

// closeOldestIdle closes the connection that has been idle longest, of any endpoint, and reports whether there was one. The caller
// holds the lock.
func (c *Client) closeOldestIdle() bool {
	var from *Pool
	for p := range c.pools {
		if len(p.idle) > 0 && (from == nil || p.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = p
		}
	}
	if from == nil {
		return false
	}
	oldest := from.idle[0]
	from.idle = slices.Delete(from.idle, 0, 1)
	from.discard(oldest)
	return true
}

// sweep closes the connections that have been idle too long, that the endpoint has closed, or on which something unexpected has
// arrived. It is scheduled again while there are idle connections.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	limit := c.idle.current()
	for p := range c.pools {
		p.idle = slices.DeleteFunc(p.idle, func(idle *conn) bool {
			expired := time.Since(idle.idleSince) > limit || !idle.isClean()
			if expired {
				p.discard(idle)
			}
			return expired
		})
		c.sweeping = c.sweeping || len(p.idle) > 0
	}
	if c.sweeping {
		time.AfterFunc(sweepInterval, c.sweep)
	}
}

// scheduleSweep schedules a sweep, unless one is. The caller holds the lock.
func (c *Client) scheduleSweep() {
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(sweepInterval, c.sweep)
	}
}
