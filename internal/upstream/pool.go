// Package upstream sends attempts to endpoints and tells their outcomes apart.
//
// It keeps its own connections, as http.Transport sends some requests again by itself and dials more often than
// it is asked to: here one attempt is one request on one connection.
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"maplepulley/decide"
)

// Buffered is how much of an answer is held before any of it is passed on.
const Buffered = 64 << 10

const notProcessed = "X-Not-Processed"

// Request is what goes to an endpoint, the same with each attempt.
type Request struct {
	Method, Target, Host string
	Header               http.Header // end-to-end headers
	Body                 []byte
	Deadline             time.Time
}

// Client holds what the pools of all endpoints share.
type Client struct {
	dialTimeout time.Duration
	idle        time.Duration
	max         int

	mu    sync.Mutex
	open  int
	pools map[*Pool]struct{}
}

// NewClient returns a client with at most max connections. A connection that has stood idle for the given time is
// closed: before the endpoint does, or a request would be written to it in vain.
func NewClient(dialTimeout, idle time.Duration, max int) *Client {
	return &Client{dialTimeout: dialTimeout, idle: idle, max: max, pools: map[*Pool]struct{}{}}
}

// Open returns the number of connections that are open or being opened.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Pool returns a pool of connections to an address.
func (c *Client) Pool(addr string) *Pool {
	p := &Pool{client: c, addr: addr}
	c.mu.Lock()
	c.pools[p] = struct{}{}
	c.mu.Unlock()
	return p
}

// Pool holds the connections to one endpoint. An address that changes gets a new pool.
type Pool struct {
	client *Client
	addr   string
	open   int
	idle   []*conn // last used last
	closed bool
}

// Do sends the request once. Claim is called just before the first byte is written: where it returns false nothing
// is written. The answer is not nil only where the verdict is OK, Error or ServerFull.
func (p *Pool) Do(ctx context.Context, r *Request, claim func() bool) (decide.Verdict, *Answer) {
	c, verdict := p.take(ctx)
	if c == nil {
		return verdict, nil
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	verdict, answer := p.attempt(c, r, claim)
	if !stop() && answer != nil {
		answer.keep = false // given up meanwhile
	}
	if answer == nil {
		p.release(c, false)
	}
	return verdict, answer
}

func (p *Pool) attempt(c *conn, r *Request, claim func() bool) (decide.Verdict, *Answer) {
	if !claim() {
		return decide.Moot, nil
	}
	whole := c.send(r, time.Until(r.Deadline))
	if !whole && len(c.first) == 0 {
		return decide.ConnectFailed, nil
	}
	answer, err := c.receive(r.Method, func() bool { return time.Until(r.Deadline) < 2*soonest })
	if err != nil && !whole {
		return decide.ConnectFailed, nil
	}
	if err != nil {
		return decide.Reset, nil
	}
	answer.keep = answer.keep && whole
	switch {
	case answer.Status == http.StatusOK && whole:
		return decide.OK, answer
	case (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout) &&
		answer.Header.Get(notProcessed) == "1":
		return decide.ServerFull, answer
	}
	return decide.Error, answer
}

// take returns an idle connection or a new one. Where it returns none, the verdict says why.
func (p *Pool) take(ctx context.Context) (*conn, decide.Verdict) {
	for {
		c, ok := p.reserve()
		if c == nil && !ok {
			return nil, decide.Moot // out of descriptors: says nothing of the endpoint
		}
		if c == nil {
			break
		}
		// The order matters: with the deadline cleared, what watch has found by now is the endpoint's doing.
		c.SetReadDeadline(time.Time{})
		if len(c.first) == 0 {
			return c, decide.OK
		}
		p.release(c, false)
	}
	d := net.Dialer{Timeout: p.client.dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.client.mu.Lock()
		p.freed()
		p.client.mu.Unlock()
		return nil, decide.ConnectFailed
	}
	c := newConn(nc, p)
	go c.watch()
	return c, decide.OK
}

// reserve takes the newest idle connection, or room for a new one; ok is false where there is neither. Connections
// that stand idle elsewhere make room.
func (p *Pool) reserve() (c *conn, ok bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
		return c, true
	}
	// One endpoint that hangs must not hold the connections of all.
	if p.open >= max(p.client.max/4, 1) || p.client.open >= p.client.max && !p.client.shed() {
		return nil, false
	}
	p.open++
	p.client.open++
	return nil, true
}

// shed closes one idle connection. The caller holds the lock.
func (c *Client) shed() bool {
	for p := range c.pools {
		if len(p.idle) > 0 {
			oldest := p.idle[0]
			p.idle = slices.Delete(p.idle, 0, 1)
			p.discard(oldest)
			return true
		}
	}
	return false
}

// discard closes a connection that is on no list. The caller holds the lock.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.freed()
}

// freed gives back room for a connection. The caller holds the lock.
func (p *Pool) freed() {
	p.open--
	p.client.open--
}

// release ends a connection's use: it stands idle from now on, or is closed.
func (p *Pool) release(c *conn, keep bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if keep && !p.closed && c.br.Buffered() == 0 {
		c.in.left = maxHead
		c.SetReadDeadline(time.Now().Add(p.client.idle))
		c.SetWriteDeadline(time.Time{})
		p.idle = append(p.idle, c)
		go c.watch()
		return
	}
	p.discard(c)
}

// drop closes a connection that stands idle; one in use is left to its attempt.
func (p *Pool) drop(c *conn) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.discard(c)
	}
}

// CloseIdle closes the connections that carry no attempt.
func (p *Pool) CloseIdle() {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
}

// Close closes idle connections now and the others when their attempts end.
func (p *Pool) Close() {
	p.CloseIdle()
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.closed = true
	delete(p.client.pools, p)
}
