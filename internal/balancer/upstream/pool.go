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

// notProcessedHeader marks the response of an endpoint that has not executed the request.
const notProcessedHeader = "X-Not-Processed"

// errRequestNotWritten means that the connection broke before the request was written completely.
var errRequestNotWritten = errors.New("connection broke before the request was written")

// maxConnsDivider limits the connections to one endpoint to a quarter of Options.MaxConns, so that an endpoint that hangs does not
// hold all connections.
const maxConnsDivider = 4

// Pool holds the connections to one endpoint. When the address of an endpoint changes, the endpoint gets a new pool.
type Pool struct {
	client    *Client
	address   string
	openConns int
	idle      []*conn // ordered by the end of their last use
	closed    bool
}

// Do sends the request once. It calls claim just before it writes the first byte; if claim returns false, nothing is written. The
// response is nil unless a valid response was received, which is only possible with the verdicts OK, Error, Rejected and ServerFull.
// When Do returns, the attempt's connection is closed or idle, unless the response is streamed. While Do runs, other goroutines can
// read from progress whether a response has arrived.
func (p *Pool) Do(ctx context.Context, r *Request, progress *AttemptProgress, claim func() bool) (lbpolicy.Verdict, *Response, error) {
	c, verdict, err := p.acquire(ctx, progress)
	if c == nil {
		return verdict, nil, err
	}
	c.progress = progress
	progress.conn.Store(c)
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

// outcome is the result of an attempt.
type outcome struct {
	verdict  lbpolicy.Verdict
	response *Response
	reusable bool // the connection can be reused
	err      error
}

// attempt sends the request on a connection.
func (p *Pool) attempt(c *conn, r *Request, claim func() bool) outcome {
	if !claim() {
		return outcome{verdict: lbpolicy.NotSent, reusable: true}
	}
	if r.Stream != nil {
		return p.upload(c, r)
	}
	timeout := time.Until(r.Deadline)
	written, isComplete := c.writeRequest(r, timeout)
	switch {
	case isComplete:
		p.recordSent()
	case written == 0 || !c.hasUnread(): // unread bytes are the response of an endpoint that did not need the rest of the request
		return outcome{verdict: lbpolicy.ConnectFailed, err: errRequestNotWritten}
	}
	received := receivedResponse{}
	received.response, received.reusable, received.err = c.readResponse(r.Method == http.MethodHead, r.Deadline, timeout)
	if !isComplete && received.err == nil {
		p.client.recordEarlyResponse()
	}
	return p.responseOutcome(c, received, isComplete)
}

// recordSent records that a request was written completely.
func (p *Pool) recordSent() {
	if p.client.OnSent != nil {
		p.client.OnSent()
	}
}

// responseOutcome returns the outcome of an attempt whose response was read. requestComplete reports whether the request was written
// completely.
func (p *Pool) responseOutcome(c *conn, received receivedResponse, requestComplete bool) outcome {
	if received.err != nil {
		return readErrorOutcome(c, requestComplete, received.err)
	}
	response := received.response
	if !requestComplete && response.Stream != nil {
		response.Stream.reusable = false // the endpoint would take the next request for the rest of the body
	}
	o := outcome{verdict: classify(response, p.client.AnyStatus), response: response, reusable: received.reusable && requestComplete}
	if o.verdict != lbpolicy.OK {
		o.err = fmt.Errorf("status %d: %.60q", response.Status, response.Body)
	}
	return o
}

// readErrorOutcome returns the outcome of an attempt whose response could not be read or is not valid.
func readErrorOutcome(c *conn, requestComplete bool, err error) outcome {
	switch {
	case errors.Is(err, errMalformed): // the endpoint has responded, so neither its connection nor its process has failed
		return outcome{verdict: lbpolicy.Error, err: err}
	case !requestComplete && !errors.Is(err, errCutOff):
		return outcome{verdict: lbpolicy.ConnectFailed, err: err}
	case !c.idleSince.IsZero():
		err = fmt.Errorf("connection reused after %v idle: %w", c.idleFor.Round(time.Millisecond), err)
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

// acquire returns an idle connection or a new one. If the connection is nil, the verdict and the error say why.
func (p *Pool) acquire(ctx context.Context, progress *AttemptProgress) (*conn, lbpolicy.Verdict, error) {
	for {
		c, ok := p.takeIdleOrReserveSlot()
		if c == nil && !ok { // NotSent, as the endpoint is not at fault
			return nil, lbpolicy.NotSent, errors.New("connection limit reached and no idle connection available")
		}
		if c == nil {
			return p.open(ctx, progress)
		}
		if c.isClean() {
			return c, lbpolicy.OK, nil
		}
		p.release(c, false)
	}
}

// open opens a connection for which a slot is reserved. If it fails, it releases the slot.
func (p *Pool) open(ctx context.Context, progress *AttemptProgress) (*conn, lbpolicy.Verdict, error) {
	dial := &pendingDial{startedAt: time.Now()}
	progress.dial.Store(dial)
	defer progress.dial.Store(nil)
	netConn, err := p.connect(ctx, dial)
	var c *conn
	if err == nil {
		if c, err = newConn(netConn, p.client); err != nil {
			netConn.Close()
		}
	}
	if err == nil {
		return c, lbpolicy.OK, nil
	}
	p.client.mu.Lock()
	p.releaseSlot()
	p.client.mu.Unlock()
	if exhaustion.Is(err) { // NotSent, as this process lacks resources and the endpoint is not at fault
		return nil, lbpolicy.NotSent, err
	}
	return nil, lbpolicy.ConnectFailed, err
}

// takeIdleOrReserveSlot takes the most recently used connection that has been idle for at least SettleTime, or reserves a slot for a
// new connection. The oldest idle connection of any pool may be closed to free a slot. Without a slot, an idle connection that has
// not settled is taken. ok is false if none of these is available.
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
	if len(p.idle) > 0 { // reuse before SettleTime is better than a failed request
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		return c, true
	}
	return nil, false
}

// reserveSlot reserves a slot for a new connection, and reports whether one was available. The caller holds the lock.
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

// releaseSlot releases the slot of a connection. The caller holds the lock.
func (p *Pool) releaseSlot() {
	p.openConns--
	p.client.openConns--
	if p.client.Allocation != nil {
		p.client.Allocation.Release(1)
	}
}

// discard closes a connection and releases its slot. The connection must not be in use or in the idle list. The caller holds the
// lock.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.releaseSlot()
}

// release ends an attempt's use of a connection. The connection becomes idle if it is reusable and the pool is open; otherwise it is
// closed.
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
