package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"silvertrail/internal/base/exhaustion"
	"silvertrail/lbpolicy"
)

// notProcessedHeader marks a response of an endpoint that has not executed the request.
const notProcessedHeader = "X-Not-Processed"

// maxConnsDivider bounds the connections to one endpoint, so that one that hangs does not hold all.
const maxConnsDivider = 4

// Pool holds the connections to one endpoint. When the address of an endpoint changes it gets a new pool.
type Pool struct {
	client    *Client
	address   string
	openConns int
	idle      []*conn // the last used is last
	closed    bool
}

// Do sends the request once. Claim is called just before the first byte is written: if it returns false, nothing is
// written. The response is not nil only if one was received, with the verdicts OK, Error, Rejected and ServerFull. When Do
// returns, the attempt's connection is closed or idle, unless the response is streamed. The receipt tells others meanwhile whether
// a response has arrived.
func (p *Pool) Do(ctx context.Context, r *Request, receipt *Receipt, claim func() bool) (lbpolicy.Verdict, *Response, error) {
	c, verdict, err := p.acquire(ctx, receipt)
	if c == nil {
		return verdict, nil, err
	}
	c.progress = receipt
	receipt.conn.Store(c)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	started := time.Now()
	o := p.attempt(c, r, claim)
	wasStale := o.verdict == lbpolicy.Reset && !c.idleSince.IsZero() && time.Since(started) < staleBreakTime
	if wasStale && ctx.Err() == nil {
		p.client.mu.Lock()
		p.client.idle.recordBreak(c.idleFor)
		p.client.mu.Unlock()
	}
	if o.response != nil && o.response.Stream != nil {
		o.response.Stream.onRelease = func(s *ResponseStream) {
			p.release(c, stop() && s.complete && s.reusable && c.resetAfterStream())
		}
		return o.verdict, o.response, o.err
	}
	p.release(c, stop() && o.reusable)
	return o.verdict, o.response, o.err
}

// outcome is the end of an attempt.
type outcome struct {
	verdict  lbpolicy.Verdict
	response *Response
	reusable bool // the connection
	err      error
}

// attempt sends the request on a connection.
func (p *Pool) attempt(c *conn, r *Request, claim func() bool) outcome {
	if !claim() {
		return outcome{verdict: lbpolicy.NotSent, reusable: true}
	}
	timeout := time.Until(r.Deadline)
	if r.Stream != nil {
		timeout = r.TimeLeft
	}
	complete, err := c.writeRequest(r, timeout)
	switch {
	case errors.Is(err, errRequestBody):
		return outcome{verdict: lbpolicy.NotSent, err: err}
	case !complete && !errors.Is(err, errEarlyResponse):
		return outcome{verdict: lbpolicy.ConnectFailed, err: errors.New("broken before the request was written")}
	}
	if complete && p.client.OnSent != nil {
		p.client.OnSent()
	}
	response, reusable, err := c.readResponse(r.Method == http.MethodHead, timeout)
	if err != nil {
		return readErrorOutcome(c, complete, err)
	}
	o := outcome{verdict: classify(response, p.client.AnyStatus), response: response, reusable: reusable && complete}
	if o.verdict != lbpolicy.OK {
		o.err = fmt.Errorf("status %d: %.60q", response.Status, response.Body)
	}
	return o
}

// readErrorOutcome returns the outcome of an attempt without a valid response.
func readErrorOutcome(c *conn, requestComplete bool, err error) outcome {
	switch {
	case errors.Is(err, errMalformed): // the endpoint has responded: neither its connections nor its process have failed
		return outcome{verdict: lbpolicy.Error, err: err}
	case !requestComplete:
		return outcome{verdict: lbpolicy.ConnectFailed, err: err}
	case !c.idleSince.IsZero():
		err = fmt.Errorf("used again after %v: %w", c.idleFor.Round(time.Millisecond), err)
	}
	return outcome{verdict: lbpolicy.Reset, err: err}
}

// classify returns the verdict of a response.
func classify(r *Response, anyStatus bool) lbpolicy.Verdict {
	notProcessed := r.Header.Get(notProcessedHeader) == "1"
	switch r.Status {
	case http.StatusOK:
		return lbpolicy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if notProcessed {
			return lbpolicy.ServerFull
		}
	case http.StatusTooManyRequests:
		if notProcessed && anyStatus {
			return lbpolicy.ServerFull
		}
		return lbpolicy.Error
	case http.StatusRequestTimeout:
		return lbpolicy.Error
	}
	switch {
	case anyStatus && r.Status >= 200 && r.Status < 500:
		return lbpolicy.OK
	case r.Status >= 400 && r.Status < 500:
		return lbpolicy.Rejected
	}
	return lbpolicy.Error
}

// acquire returns an idle connection or a new one. Without one, the verdict says why.
func (p *Pool) acquire(ctx context.Context, receipt *Receipt) (*conn, lbpolicy.Verdict, error) {
	for {
		c, ok := p.takeIdleOrReserveSlot()
		if c == nil && !ok { // this says nothing about the endpoint
			return nil, lbpolicy.NotSent, errors.New("no descriptor to spare")
		}
		if c == nil {
			return p.open(ctx, receipt)
		}
		if c.isClean() {
			return c, lbpolicy.OK, nil
		}
		p.release(c, false)
	}
}

// open opens a connection for which a place is reserved.
func (p *Pool) open(ctx context.Context, receipt *Receipt) (*conn, lbpolicy.Verdict, error) {
	dial := &pendingDial{startedAt: time.Now()}
	receipt.dial.Store(dial)
	defer receipt.dial.Store(nil)
	netConn, err := p.connect(ctx, dial)
	var c *conn
	if err == nil {
		if c, err = newConn(netConn, p.client.MaxStreamBytes); err != nil {
			netConn.Close()
		}
	}
	if err == nil {
		return c, lbpolicy.OK, nil
	}
	p.client.mu.Lock()
	p.releaseSlot()
	p.client.mu.Unlock()
	if exhaustion.Is(err) { // this says nothing about the endpoint
		return nil, lbpolicy.NotSent, err
	}
	return nil, lbpolicy.ConnectFailed, err
}

// takeIdleOrReserveSlot takes the idle connection that was used last and has settled, or a place for a new one; ok is false if there is
// neither. Idle connections to other endpoints are closed for it.
func (p *Pool) takeIdleOrReserveSlot() (c *conn, ok bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		c.idleFor = time.Since(c.idleSince)
		if c.idleFor < p.client.SettleTime {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if c.idleFor <= p.client.idle.current() {
			return c, true
		}
		p.discard(c)
	}
	if p.reserveSlot() {
		return nil, true
	}
	if len(p.idle) > 0 { // a connection that has not settled is better than none
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		return c, true
	}
	return nil, false
}

// reserveSlot reserves a place for a new connection, and reports whether there was one. The caller holds the lock.
func (p *Pool) reserveSlot() bool {
	c := p.client
	if p.openConns >= max(c.MaxConns/maxConnsDivider, 1) {
		return false
	}
	if c.openConns >= c.MaxConns && !c.closeOldestIdle() {
		return false
	}
	if a := c.Allocation; a != nil && !a.TryAcquire(1) && !(c.closeOldestIdle() && a.TryAcquire(1)) {
		return false
	}
	p.openConns++
	c.openConns++
	return true
}

// releaseSlot releases the place of a connection. The caller holds the lock.
func (p *Pool) releaseSlot() {
	p.openConns--
	p.client.openConns--
	if p.client.Allocation != nil {
		p.client.Allocation.Release(1)
	}
}

// discard closes a connection that is not in use or idle. The caller holds the lock.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.releaseSlot()
}

// release ends a connection's use: it is idle from now on, or is closed.
func (p *Pool) release(c *conn, reusable bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if !reusable || p.closed {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.client.scheduleSweep()
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

// Close closes idle connections now, and the others when their attempts end.
func (p *Pool) Close() {
	p.CloseIdle()
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.closed = true
	delete(p.client.pools, p)
}
