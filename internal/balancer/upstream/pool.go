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

	"silvertrail/internal/balancer/limit"
	"silvertrail/internal/base/scarce"
	"silvertrail/lbpolicy"
)

const notProcessed = "X-Not-Processed"

// Request is what goes to an endpoint, the same with each attempt.
type Request struct {
	Method, Target, Host string
	Header               http.Header // end-to-end headers
	Body                 []byte
	Rest                 Body // what comes behind it; nil: nothing does
	Deadline             time.Time
	Left                 time.Duration // once a body that is still coming has come
}

// Options bound a client.
type Options struct {
	DialTimeout time.Duration
	// Dial makes connections, each within DialTimeout by its context; nil: over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Idle is for how long a connection may have stood idle to be used again: for less than endpoints keep it, or a
	// request would be written to it in vain.
	Idle time.Duration
	// Settle is for how long a connection is left alone after an answer where another can be had: what an endpoint writes
	// behind an answer, and late, would be taken for the answer to the next request. 0: not at all.
	Settle time.Duration
	// Again has a second connection begun where one comes up late, see dial.go.
	Again bool
	Max   int // connections
	// Share is the client's part of what the process may open, one unit for each connection; nil: no bound but Max.
	Share *limit.Share
	// Scarce is called where the process has no descriptor for a connection, to have others give some back; nil: nobody can.
	Scarce func()
	// Sent is called for each request whose last byte has been written; nil: nobody counts. It must not block.
	Sent func()
	// Most is how large an answer may be that is passed on as it comes. Under 64 KiB answers are held whole.
	Most int64
	// AnyStatus takes every answer that an endpoint means for the caller as served (2xx, 3xx and 4xx but 408 and 429).
	// Without it 200 alone is.
	AnyStatus bool
}

// Client holds what the pools of all endpoints share.
type Client struct {
	Options

	mu       sync.Mutex
	limit    idleLimit
	late     lateDials
	open     int
	pools    map[*Pool]struct{}
	sweeping bool
}

// sweepEvery is how often connections that stand idle are looked at.
const sweepEvery = 500 * time.Millisecond

// NewClient returns a client. What is held for answers is bounded by the connections too: 64 KiB for each.
func NewClient(o Options) *Client {
	return &Client{Options: o, limit: idleLimit{most: o.Idle, found: o.Idle}, late: lateDials{budget: 1}, pools: map[*Pool]struct{}{}}
}

// SetDialTimeout sets how long a connection may take that is begun from now on.
func (c *Client) SetDialTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.DialTimeout = d
}

// SetMax sets how many connections there may be. Idle ones beyond it are closed, those in use end with their attempts.
func (c *Client) SetMax(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Max = n
	for c.open > n && c.shed() {
	}
}

// SetIdle sets for how long a connection may have stood idle to be used again.
func (c *Client) SetIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l := &c.limit; {
	case l.found >= l.most: // nothing shorter has been found
		l.most, l.found = d, d
	case d != l.most:
		*l = idleLimit{most: d, found: min(l.now(), d), since: time.Now()}
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
	most, found time.Duration
	since       time.Time // found was lowered last
}

const (
	idleFloor  = 50 * time.Millisecond
	idleDouble = 30 * time.Second       // in which a limit that has been found doubles
	staleIn    = 100 * time.Millisecond // a connection that had been lost breaks this soon; later it was the request
)

func (l *idleLimit) now() time.Duration {
	if l.found >= l.most {
		return l.most
	}
	rise := math.Exp2(float64(time.Since(l.since)) / float64(idleDouble))
	return time.Duration(min(float64(l.found)*rise, float64(l.most)))
}

func (l *idleLimit) broke(stood time.Duration) {
	l.found, l.since = min(max(stood*3/4, idleFloor), l.now()), time.Now()
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
// is written. The answer is not nil only where one has come whole: the verdict is OK, Error, Rejected or ServerFull.
// When Do returns the attempt's connection is closed or stands idle.
func (p *Pool) Do(ctx context.Context, r *Request, claim func() bool) (lbpolicy.Verdict, *Answer, error) {
	c, verdict, err := p.take(ctx)
	if c == nil {
		return verdict, nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	began := time.Now()
	verdict, answer, keep, err := p.attempt(c, r, claim)
	if verdict == lbpolicy.Reset && !c.idleSince.IsZero() && time.Since(began) < staleIn && ctx.Err() == nil {
		p.client.mu.Lock()
		p.client.limit.broke(c.stood)
		p.client.mu.Unlock()
	}
	if answer != nil && answer.Rest != nil {
		answer.Rest.closed = func(r *Rest) { p.release(c, stop() && r.over && r.keep && c.settled()) }
		return verdict, answer, err
	}
	p.release(c, stop() && keep)
	return verdict, answer, err
}

func (p *Pool) attempt(c *conn, r *Request, claim func() bool) (v lbpolicy.Verdict, a *Answer, keep bool, err error) {
	if !claim() {
		return lbpolicy.NotSent, nil, true, nil
	}
	timeout := time.Until(r.Deadline)
	if r.Rest != nil {
		timeout = r.Left
	}
	whole, err := c.send(r, timeout)
	switch {
	case errors.Is(err, errCaller):
		return lbpolicy.NotSent, nil, false, err
	case !whole && !errors.Is(err, errEarly):
		return lbpolicy.ConnectFailed, nil, false, errors.New("broken before the request was written")
	}
	if whole && p.client.Sent != nil {
		p.client.Sent()
	}
	a, keep, err = c.receive(r.Method == http.MethodHead, timeout)
	switch {
	case err != nil && !whole && !errors.Is(err, errSpoilt): // it ended with the request still coming
		return lbpolicy.ConnectFailed, nil, false, err
	case errors.Is(err, errSpoilt): // the endpoint has answered, if badly: no break of its connections or process
		return lbpolicy.Error, nil, false, err
	case err != nil && !c.idleSince.IsZero():
		return lbpolicy.Reset, nil, false, fmt.Errorf("used again after %v: %w", c.stood.Round(time.Millisecond), err)
	case err != nil:
		return lbpolicy.Reset, nil, false, err
	}
	if v = verdict(a, p.client.AnyStatus); v != lbpolicy.OK {
		err = fmt.Errorf("status %d: %.60q", a.Status, a.Body)
	}
	return v, a, keep && whole, err
}

// verdict tells what an endpoint's answer means.
func verdict(a *Answer, any bool) lbpolicy.Verdict {
	unseen := a.Header.Get(notProcessed) == "1"
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

// take returns an idle connection or a new one. Where it returns none, the verdict says why.
func (p *Pool) take(ctx context.Context) (*conn, lbpolicy.Verdict, error) {
	for {
		c, ok := p.reserve()
		if c == nil && !ok {
			return nil, lbpolicy.NotSent, errors.New("no descriptor to spare") // says nothing of the endpoint
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c, lbpolicy.OK, nil
		}
		p.release(c, false)
	}
	nc, err := p.connect(ctx)
	var c *conn
	if err == nil {
		if c, err = newConn(nc, p.client.Most); err != nil {
			nc.Close()
		}
	}
	if err != nil {
		p.client.mu.Lock()
		p.freed()
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
		if c.stood = time.Since(c.idleSince); c.stood < p.client.Settle {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if c.stood <= p.client.limit.now() {
			return c, true
		}
		p.discard(c)
	}
	if p.room() {
		return nil, true
	}
	if len(p.idle) > 0 { // better one that has not settled than none
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		return c, true
	}
	return nil, false
}

// room takes a place for a new connection, and tells whether there was one. The caller holds the lock.
func (p *Pool) room() bool {
	// One endpoint that hangs must not hold the connections of all.
	if p.open >= max(p.client.Max/4, 1) || p.client.open >= p.client.Max && !p.client.shed() {
		return false
	}
	if s := p.client.Share; s != nil && !s.TryAcquire(1) && !(p.client.shed() && s.TryAcquire(1)) {
		return false
	}
	p.open++
	p.client.open++
	return true
}

// shed closes the connection that has stood idle longest, of whatever endpoint: the least likely to be missed. The
// caller holds the lock.
func (c *Client) shed() bool {
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
	p.freed()
}

// freed gives back room for a connection. The caller holds the lock.
func (p *Pool) freed() {
	p.open--
	p.client.open--
	if p.client.Share != nil {
		p.client.Share.Release(1)
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
		time.AfterFunc(sweepEvery, p.client.sweep)
	}
}

// sweep closes the idle connections that have stood too long, that the endpoint has closed, or on which something has
// come that nobody asked for. It goes on while there are idle connections.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	limit := c.limit.now()
	for p := range c.pools {
		p.idle = slices.DeleteFunc(p.idle, func(ic *conn) bool {
			over := time.Since(ic.idleSince) > limit || !ic.quiet()
			if over {
				p.discard(ic)
			}
			return over
		})
		c.sweeping = c.sweeping || len(p.idle) > 0
	}
	if c.sweeping {
		time.AfterFunc(sweepEvery, c.sweep)
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
