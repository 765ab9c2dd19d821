package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"silvertrail/internal/base/exhaustion"
)

// A lost packet, a full accept queue or a middlebox delays some connections and not others. An attempt that has waited a
// multiple of the typical dial time starts a second dial, and uses the connection that is established first (as RFC 8305 does
// between addresses). The other connection becomes idle. Both dials belong to one attempt, whose request is written once. When all
// connections are slow because endpoints are overloaded, a budget limits second dials to a fraction of the first dials.
const (
	minHedgeDelay      = 50 * time.Millisecond // connections within an installation take a few milliseconds
	hedgeDelayMultiple = 4                     // multiple of the typical dial time
	hedgeBudgetRatio   = 0.5                   // second dials per first dial
	maxHedgeBudget     = 4.0                   // unused second dials that accumulate at most
)

// Divisors of the difference by which one dial changes the typical dial time. Dials faster than the typical time weigh more.
const (
	fastDialDivider = 2
	slowDialDivider = 20
)

// dialHedging decides when a dial is late and a second dial is due, and holds the budget of second dials.
type dialHedging struct {
	typicalTime time.Duration
	budget      float64
}

func (h *dialHedging) recordDialTime(d time.Duration) {
	switch {
	case h.typicalTime == 0:
		h.typicalTime = d
	case d < h.typicalTime:
		h.typicalTime += (d - h.typicalTime) / fastDialDivider
	default:
		h.typicalTime += (d - h.typicalTime) / slowDialDivider
	}
}

func (h *dialHedging) hedgeDelay() time.Duration {
	return max(hedgeDelayMultiple*h.typicalTime, minHedgeDelay)
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// connect opens a connection for which the caller has reserved a slot. If it returns an error, the caller still holds the slot.
func (p *Pool) connect(ctx context.Context, pending *pendingDial) (net.Conn, error) {
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := p.client
	c.mu.Lock()
	c.dials.budget = min(c.dials.budget+hedgeBudgetRatio, maxHedgeBudget)
	hedge := time.NewTimer(c.dials.hedgeDelay())
	c.mu.Unlock()
	defer hedge.Stop()
	started := time.Now()
	first := p.startDial(dialCtx, pending)
	var second chan dialResult // nil: not started, or finished
	var firstErr error
	for {
		var result dialResult
		var other chan dialResult
		select {
		case result = <-first:
			first, other = nil, second
		case result = <-second:
			second, other = nil, first
		case <-hedge.C:
			if p.reserveHedgeSlot() {
				second = p.startDial(dialCtx, pending)
			}
			continue
		case <-ctx.Done(): // the attempt was cancelled
			cancel()
			p.abandonDials(first, second)
			return nil, ctx.Err()
		}
		if result.err == nil {
			p.recordDial(time.Since(started))
			if other == nil {
				cancel()
			} else {
				go p.finishSpareDial(other, cancel)
			}
			return result.conn, nil
		}
		if firstErr == nil {
			firstErr = result.err
		}
		if other == nil {
			cancel()
			return nil, firstErr
		}
		// The other dial may still succeed. It needs only one of the two slots.
		c.mu.Lock()
		p.releaseSlot()
		c.mu.Unlock()
	}
}

// startDial dials in a goroutine. The goroutine ends within the dial timeout, plus descriptorWait if the process has no file
// descriptor left.
func (p *Pool) startDial(ctx context.Context, pending *pendingDial) chan dialResult {
	done := make(chan dialResult, 1)
	go func() {
		conn, err := p.dial(ctx, pending)
		done <- dialResult{conn, err}
	}()
	return done
}

// abandonDials waits for the end of one cancelled dial and closes its connection. The caller still holds the slot of this dial. If a
// second dial is in progress, finishSpareDial releases its slot.
func (p *Pool) abandonDials(first, second chan dialResult) {
	remaining := first
	switch {
	case first == nil:
		remaining = second
	case second != nil:
		go p.finishSpareDial(second, nil)
	}
	if result := <-remaining; result.err == nil {
		result.conn.Close()
	}
}

func (p *Pool) recordDial(d time.Duration) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.client.dials.recordDialTime(d)
}

// reserveHedgeSlot reserves a slot for a second dial, and reports whether the second dial may be started.
func (p *Pool) reserveHedgeSlot() bool {
	c := p.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.HedgeDials || p.closed || c.dials.budget < 1 || !p.reserveSlot() {
		return false
	}
	c.dials.budget--
	return true
}

// finishSpareDial waits for a dial that no attempt needs any more, and makes its connection idle. cancel releases the context of the
// dial. If cancel is nil, the dial was already cancelled and its connection is closed. Like startDial's goroutine, it ends within the
// dial timeout, plus descriptorWait.
func (p *Pool) finishSpareDial(dial chan dialResult, cancel context.CancelFunc) {
	result := <-dial
	if cancel != nil {
		cancel()
	}
	if result.err == nil {
		if c, err := newConn(result.conn, p.client); err == nil {
			p.release(c, cancel != nil)
			return
		}
		result.conn.Close()
	}
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.releaseSlot()
}

const (
	// descriptorWait is how long an attempt waits for a file descriptor when the process has none left. Client connections that were
	// just accepted must not be closed before their first request, which may arrive within this time.
	descriptorWait       = 500 * time.Millisecond
	descriptorRetryDelay = 10 * time.Millisecond
)

// dial opens a connection. If the process has no file descriptor left, idle connections are closed to free one, because a request in
// progress has priority over idle connections.
func (p *Pool) dial(ctx context.Context, pending *pendingDial) (net.Conn, error) {
	p.client.mu.Lock()
	timeout, dial := p.client.DialTimeout, p.client.Dial
	p.client.mu.Unlock()
	if dial == nil {
		dialer := net.Dialer{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
			pending.socket.Store(&raw)
			return nil
		}}
		dial = dialer.DialContext
	}
	dialOnce := func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, "tcp", p.address)
	}
	conn, err := dialOnce()
	for until := time.Now().Add(descriptorWait); exhaustion.Is(err) && ctx.Err() == nil && time.Now().Before(until); {
		p.freeDescriptor()
		if conn, err = dialOnce(); exhaustion.Is(err) {
			time.Sleep(descriptorRetryDelay)
		}
	}
	return conn, err
}

// freeDescriptor closes the oldest idle connection, and asks other holders of descriptors to close idle ones.
func (p *Pool) freeDescriptor() {
	p.client.mu.Lock()
	p.client.closeOldestIdle()
	p.client.mu.Unlock()
	if p.client.OnExhausted != nil {
		p.client.OnExhausted()
	}
}
