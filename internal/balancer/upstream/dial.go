package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"silvertrail/internal/base/exhaustion"
)

// A lost packet, a full accept queue or a middlebox delays some connections and not others. An attempt that has waited a
// multiple of the usual time starts a second dial, and uses the connection that is established first (as RFC 8305 does
// between addresses); the other one becomes idle. It is the same attempt: its request is written once. Where all
// connections are slow because endpoints are overloaded, a budget limits second dials to a part of the first ones.
const (
	minHedgeDelay      = 50 * time.Millisecond // within an installation, connections take a few milliseconds
	hedgeDelayMultiple = 4                     // of the usual time
	hedgeBudgetRatio   = 0.5                   // second dials per first dial
	maxHedgeBudget     = 4.0                   // second dials that can be saved up
)

// Weights of a dial in the usual time. Fast dials count for more.
const (
	fastDialDivider = 2
	slowDialDivider = 20
)

// dialHedging decides when a dial is late, and whether a second one may be started.
type dialHedging struct {
	typicalTime  time.Duration
	budget float64
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

// dialResult is the end of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// connect returns a new connection, for which a place is reserved. After an error the place is still the caller's.
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
	var second chan dialResult // nil: not started, or ended
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
		case <-ctx.Done(): // the attempt was given up
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
		// The other dial may still succeed; one place is not needed any more.
		c.mu.Lock()
		p.releaseSlot()
		c.mu.Unlock()
	}
}

// startDial dials in a goroutine that ends within the dial timeout.
func (p *Pool) startDial(ctx context.Context, pending *pendingDial) chan dialResult {
	done := make(chan dialResult, 1)
	go func() {
		conn, err := p.dial(ctx, pending)
		done <- dialResult{conn, err}
	}()
	return done
}

// abandonDials waits for the end of cancelled dials. The place of one of them is the caller's.
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

// reserveHedgeSlot reserves a place for a second dial, and reports whether one may be started.
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

// finishSpareDial makes a connection idle that no attempt waits for any more. It ends within the dial timeout. Without a cancel
// function the dial was cancelled, and its connection is closed.
func (p *Pool) finishSpareDial(dial chan dialResult, cancel context.CancelFunc) {
	result := <-dial
	if cancel != nil {
		cancel()
	}
	if result.err == nil {
		if c, err := newConn(result.conn, p.client.MaxStreamBytes); err == nil {
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
	// descriptorWait is how long an attempt waits for a descriptor where the process has none: clients' connections that were just
	// accepted, and must not be closed yet, may bring a request by then.
	descriptorWait       = 500 * time.Millisecond
	descriptorRetryDelay = 10 * time.Millisecond
)

// dial opens a connection. Where there is no descriptor, idle connections are closed for it: a request in progress comes first.
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

// freeDescriptor closes an idle connection, and has others close theirs.
func (p *Pool) freeDescriptor() {
	p.client.mu.Lock()
	p.client.closeOldestIdle()
	p.client.mu.Unlock()
	if p.client.OnExhausted != nil {
		p.client.OnExhausted()
	}
}
