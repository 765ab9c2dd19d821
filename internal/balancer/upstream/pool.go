// Package upstream sends attempts to endpoints and tells their outcomes apart.
//
// It keeps its own connections, as http.Transport sends some requests again by itself and dials more often than
// it is asked to: here one attempt is one request on one connection.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/quota"
	"silvertrail/internal/base/scarce"
	"silvertrail/lbpolicy"
)

const notProcessedHeader = "X-Not-Processed"

// Request is what goes to an endpoint, the same with each attempt.
type Request struct {
	Method, Target, Host string
	Header               http.Header // end-to-end headers
	Body                 []byte
	Stream               RequestStream // what comes behind it; nil: nothing does
	Deadline             time.Time
	TimeLeft             time.Duration // once a body that is still coming has come
}

// Options bound a client.
type Options struct {
	DialTimeout time.Duration
	// Dial makes connections, each within DialTimeout by its context; nil: over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is for how long a connection may have stood idle to be used again: for less than endpoints keep it, or a
	// request would be written to it in vain.
	IdleTimeout time.Duration
	// SettleTime is for how long a connection is left alone after an answer where another can be had: what an endpoint writes
	// behind an answer, and late, would be taken for the answer to the next request. 0: not at all.
	SettleTime time.Duration
	// HedgeDials has a second connection begun where one comes up late, see dial.go.
	HedgeDials bool
	MaxConns   int // connections
	// Allocation is the client's part of what the process may open, one unit for each connection; nil: no bound but Max.
	Allocation *quota.Allocation
	// OnExhausted is called where the process has no descriptor for a connection, to have others give some back; nil: nobody can.
	OnExhausted func()
	// OnSent is called for each request whose last byte has been written; nil: nobody counts. It must not block.
	OnSent func()
	// MaxStreamBytes is how large an answer may be that is passed on as it comes. Under 64 KiB answers are held whole.
	MaxStreamBytes int64
	// AnyStatus takes every answer that an endpoint means for the caller as served (2xx, 3xx and 4xx but 408 and 429).
	// Without it 200 alone is.
	AnyStatus bool
}

// Client holds what the pools of all endpoints share.
type Client struct {
	Options

	mu        sync.Mutex
	idle      idleLimit
	dials     dialHedging
	openConns int
	pools     map[*Pool]struct{}
	sweeping  bool
}

// sweepInterval is how often connections that stand idle are looked at.
const sweepInterval = 500 * time.Millisecond

// NewClient returns a client. What is held for answers is bounded by the connections too: 64 KiB for each.
func NewClient(o Options) *Client {
	return &Client{Options: o, idle: idleLimit{configured: o.IdleTimeout, learned: o.IdleTimeout}, dials: dialHedging{budget: 1}, pools: map[*Pool]struct{}{}}
}

// SetDialTimeout sets how long a connection may take that is begun from now on.
func (c *Client) SetDialTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.DialTimeout = d
}

// SetMaxConns sets how many connections there may be. Idle ones beyond it are closed, those in use end with their attempts.
func (c *Client) SetMaxConns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.MaxConns = n
	for c.openConns > n && c.closeOldestIdle() {
	}
}

// SetIdleTimeout sets for how long a connection may have stood idle to be used again.
func (c *Client) SetIdleTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l := &c.idle; {
	case l.learned >= l.configured: // nothing shorter has been found
		l.configured, l.learned = d, d
	case d != l.configured:
		*l = idleLimit{configured: d, learned: min(l.current(), d), learnedAt: time.Now()}
	}
}

// idleLimit is how long a connection may have stood idle to be used again. It starts at what the settings allow. When
// a kept connection breaks just as it is used again, what has stood as long as that is no longer used, by all pools:
// endpoints of one tier, and what lies between, are of one make. With time the limit rises again.
//
// It guards against idle times shorter than the settings say, and state lost on the way (a middlebox, a restart
// behind one address). Connections that break at any age drive it to its floor, where all it costs is a handshake for
// most requests: much less than a call that may have run and must not be repeated.
type idleLimit struct {
	configured, learned time.Duration
	learnedAt           time.Time // found was lowered last
}

const (
	minIdleLimit     = 50 * time.Millisecond
	idleDoublingTime = 30 * time.Second       // in which a limit that has been found doubles
	staleBreakTime   = 100 * time.Millisecond // a connection that had been lost breaks this soon; later it was the request
)

func (l *idleLimit) current() time.Duration {
	if l.learned >= l.configured {
		return l.configured
	}
	rise := math.Exp2(float64(time.Since(l.learnedAt)) / float64(idleDoublingTime))
	return time.Duration(min(float64(l.learned)*rise, float64(l.configured)))
}

func (l *idleLimit) recordBreak(stood time.Duration) {
	l.learned, l.learnedAt = min(max(stood*3/4, minIdleLimit), l.current()), time.Now()
}

// OpenConns returns the number of connections that are open or being opened.
func (c *Client) OpenConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openConns
}

// Pool returns a pool of connections to an address.
func (c *Client) Pool(addr string) *Pool {
	p := &Pool{client: c, address: addr}
	c.mu.Lock()
	c.pools[p] = struct{}{}
	c.mu.Unlock()
	return p
}

// Pool holds the connections to one endpoint. An address that changes gets a new pool.
type Pool struct {
	client    *Client
	address   string
	openConns int
	idle      []*conn // last used last
	closed    bool
}

// Do sends the request once. Claim is called just before the first byte is written: where it returns false nothing
// is written. The answer is not nil only where one has come whole: the verdict is OK, Error, Rejected or ServerFull.
// When Do returns the attempt's connection is closed or stands idle.
func (p *Pool) Do(ctx context.Context, r *Request, claim func() bool) (lbpolicy.Verdict, *Response, error) {
	c, verdict, err := p.acquire(ctx)
	if c == nil {
		return verdict, nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	verdict, answer, keep, err := p.attempt(c, r, claim)
	if verdict == lbpolicy.Reset && !c.idleSince.IsZero() && time.Since(began) < staleBreakTime && ctx.Err() == nil {
		p.client.mu.Lock()
		p.client.idle.recordBreak(c.idleFor)
		p.client.mu.Unlock()
	}
	if answer != nil && answer.Stream != nil {
		answer.Stream.onRelease = func(r *ResponseStream) { p.release(c, stop() && r.complete && r.reusable && c.resetAfterStream()) }
		return verdict, answer, err
	}
	p.release(c, stop() && keep)
	return verdict, answer, err
}

func (p *Pool) attempt(c *conn, r *Request, claim func() bool) (v lbpolicy.Verdict, a *Response, keep bool, err error) {
	if !claim() {
		return lbpolicy.NotSent, nil, true, nil
	}
	timeout := time.Until(r.Deadline)
	if r.Stream != nil {
		timeout = r.TimeLeft
	}
	whole, err := c.writeRequest(r, timeout)
	switch {
	case errors.Is(err, errRequestBody):
		return lbpolicy.NotSent, nil, false, err
	case !whole && !errors.Is(err, errEarlyResponse):
		return lbpolicy.ConnectFailed, nil, false, errors.New("broken before the request was written")
	}
	if whole && p.client.OnSent != nil {
		p.client.OnSent()
	}
	a, keep, err = c.readResponse(r.Method == http.MethodHead, timeout)
	switch {
	case err != nil && !whole && !errors.Is(err, errMalformed): // it ended with the request still coming
		return lbpolicy.ConnectFailed, nil, false, err
	case errors.Is(err, errMalformed): // the endpoint has answered, if badly: no break of its connections or process
		return lbpolicy.Error, nil, false, err
	case err != nil && !c.idleSince.IsZero():
		return lbpolicy.Reset, nil, false, fmt.Errorf("used again after %v: %w", c.idleFor.Round(time.Millisecond), err)
	case err != nil:
		return lbpolicy.Reset, nil, false, err
	}
	if v = classify(a, p.client.AnyStatus); v != lbpolicy.OK {
		err = fmt.Errorf("status %d: %.60q", a.Status, a.Body)
	}
	return v, a, keep && whole, err
}

// classify tells what an endpoint's answer means.
func classify(a *Response, any bool) lbpolicy.Verdict {
	unseen := a.Header.Get(notProcessedHeader) == "1"
	switch {
	case a.Status == http.StatusOK:
		return lbpolicy.OK
	case unseen && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout ||
		any && a.Status == http.StatusTooManyRequests):
		return lbpolicy.ServerFull
	case a.Status == http.StatusRequestTimeout || a.Status == http.StatusTooManyRequests:
		return lbpolicy.Error
	case any && a.Status >= 200 && a.Status < 500:
		return lbpolicy.OK
	case a.Status >= 400 && a.Status < 500:
		return lbpolicy.Rejected
	}
	return lbpolicy.Error
}

// acquire returns an idle connection or a new one. Where it returns none, the verdict says why.
func (p *Pool) acquire(ctx context.Context) (*conn, lbpolicy.Verdict, error) {
	for {
		c, ok := p.reserve()
		if c == nil && !ok {
			return nil, lbpolicy.NotSent, errors.New("no descriptor to spare") // says nothing of the endpoint
		}
		if c == nil {
			break
		}
		if c.isClean() {
			return c, lbpolicy.OK, nil
		}
		p.release(c, false)
	}
	nc, err := p.connect(ctx)
	var c *conn
	if err == nil {
		if c, err = newConn(nc, p.client.MaxStreamBytes); err != nil {
			nc.Close()
		}
	}
	if err != nil {
		p.client.mu.Lock()
		p.releasePlace()
		p.client.mu.Unlock()
		if scarce.Descriptors(err) { // says nothing of the endpoint
			return nil, lbpolicy.NotSent, err
		}
		return nil, lbpolicy.ConnectFailed, err
	}
	return c, lbpolicy.OK, nil
}

// reserve takes the newest idle connection that has settled, or room for a new one; ok is false where there is neither.
// Connections that stand idle elsewhere make room.
func (p *Pool) reserve() (*conn, bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if c.idleFor = time.Since(c.idleSince); c.idleFor < p.client.SettleTime {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if c.idleFor <= p.client.idle.current() {
			return c, true
		}
		p.discard(c)
	}
	if p.reservePlace() {
		return nil, true
	}
	if len(p.idle) > 0 { // better one that has not settled than none
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		return c, true
	}
	return nil, false
}

// reservePlace takes a place for a new connection, and tells whether there was one. The caller holds the lock.
func (p *Pool) reservePlace() bool {
	// One endpoint that hangs must not hold the connections of all.
	if p.openConns >= max(p.client.MaxConns/4, 1) || p.client.openConns >= p.client.MaxConns && !p.client.closeOldestIdle() {
		return false
	}
	if s := p.client.Allocation; s != nil && !s.TryAcquire(1) && !(p.client.closeOldestIdle() && s.TryAcquire(1)) {
		return false
	}
	p.openConns++
	p.client.openConns++
	return true
}

// closeOldestIdle closes the connection that has stood idle longest, of whatever endpoint: the least likely to be missed. The
// caller holds the lock.
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

// discard closes a connection that is on no list. The caller holds the lock.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.releasePlace()
}

// releasePlace gives back room for a connection. The caller holds the lock.
func (p *Pool) releasePlace() {
	p.openConns--
	p.client.openConns--
	if p.client.Allocation != nil {
		p.client.Allocation.Release(1)
	}
}

// release ends a connection's use: it stands idle from now on, or is closed.
func (p *Pool) release(c *conn, keep bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if !keep || p.closed {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if !p.client.sweeping {
		p.client.sweeping = true
		time.AfterFunc(sweepInterval, p.client.sweep)
	}
}

// sweep closes the idle connections that have stood too long, that the endpoint has closed, or on which something has
// come that nobody asked for. It goes on while there are idle connections.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	limit := c.idle.current()
	for p := range c.pools {
		p.idle = slices.DeleteFunc(p.idle, func(ic *conn) bool {
			over := time.Since(ic.idleSince) > limit || !ic.isClean()
			if over {
				p.discard(ic)
			}
			return over
		})
		c.sweeping = c.sweeping || len(p.idle) > 0
	}
	if c.sweeping {
		time.AfterFunc(sweepInterval, c.sweep)
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
