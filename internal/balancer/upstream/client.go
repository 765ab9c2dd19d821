// Package upstream sends attempts to endpoints and classifies their outcomes.
//
// It has its own connection pools, because http.Transport retries some requests by itself and dials more often than it is asked to.
// In this package, one attempt is one request on one connection. A Client owns all its connections and guards them with one mutex.
// While connections are idle, a timer closes those that are no longer needed. A dial and the wait for an early response use goroutines
// that end with their connection.
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

// Request is a request to an endpoint. All attempts send the same request.
type Request struct {
	Method, Target, Host string
	Header               http.Header // end-to-end headers
	Body                 []byte
	Stream               RequestStream // the rest of the body; nil: there is none
	Deadline             time.Time
	TimeLeft             time.Duration // time left for the response once the rest of a streamed body has arrived
}

// Options configure a client.
type Options struct {
	DialTimeout time.Duration
	// Dial opens a connection. Its context expires after DialTimeout. nil: connections are opened over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is how long a connection may have been idle to be reused. It must be shorter than the time after which endpoints
	// close idle connections; otherwise requests are written to connections that are being closed.
	IdleTimeout time.Duration
	// SettleTime is how long a connection is not reused after a response, if another connection is available. Bytes that an endpoint
	// writes late, after its response, would be taken for the response to the next request. Zero: connections are reused at once.
	SettleTime time.Duration
	// HedgeDials starts a second dial when the first one is late, see dial.go.
	HedgeDials bool
	MaxConns   int
	// Allocation is this client's share of the process's connections; nil: only MaxConns limits them.
	Allocation *quota.Allocation
	// OnExhausted is called when the process has no file descriptor left for a connection, so that other holders of descriptors close
	// idle ones; nil: there are no other holders.
	OnExhausted func()
	// OnSent is called for each request that was written completely. It must not block. nil: no call is made.
	OnSent func()
	// OnInformational is called for each informational (1xx) response, and OnEarlyResponse for each final response that begins before the
	// request's body was written completely. They must not block. nil: no call is made.
	OnInformational, OnEarlyResponse func()
	// MaxStreamBytes limits the body size of streamed responses. With a limit of up to 64 KiB, no response is streamed: all are
	// buffered.
	MaxStreamBytes int64
	// BufferBytes is how much of a response is buffered at most before it is streamed; zero: 64 KiB. It has no effect where no response is
	// streamed.
	BufferBytes int64
	// AnyStatus treats every response that an endpoint means for the client as a success (2xx, 3xx, and 4xx except 408 and 429).
	// Without AnyStatus, only a response with status 200 is a success.
	AnyStatus bool
}

// Client holds the state and limits that the pools of all endpoints share. It is safe for concurrent use.
type Client struct {
	Options

	mu        sync.Mutex // guards the fields below, the options that have setters, and all pools
	idle      idleLimit
	dials     dialHedging
	openConns int // including those that are being opened
	pools     map[*Pool]struct{}
	sweeping  bool // a sweep is scheduled
}

// sweepInterval is how often idle connections are checked.
const sweepInterval = 500 * time.Millisecond

// NewClient returns a client. The memory for responses is limited by the number of connections: 64 KiB for each connection.
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

// SetMaxConns sets the limit on connections. Idle connections above the limit are closed at once; connections in use are kept until
// their attempts end.
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

// recordEarlyResponse records a final response that began before the request was written completely.
func (c *Client) recordEarlyResponse() {
	if c.OnEarlyResponse != nil {
		c.OnEarlyResponse()
	}
}

// Pool returns a new pool of connections to an address.
func (c *Client) Pool(address string) *Pool {
	p := &Pool{client: c, address: address}
	c.mu.Lock()
	c.pools[p] = struct{}{}
	c.mu.Unlock()
	return p
}

// closeOldestIdle closes the connection that has been idle longest, to any endpoint, and reports whether there was an idle
// connection. The caller holds the lock.
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

// sweep closes idle connections that have exceeded the idle limit, that the endpoint has closed, or on which unexpected bytes have
// arrived. It schedules the next sweep while there are idle connections.
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

// scheduleSweep schedules a sweep, unless one is already scheduled. The caller holds the lock.
func (c *Client) scheduleSweep() {
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(sweepInterval, c.sweep)
	}
}
