package upstream

import (
	"context"
	"net"
	"time"

	"silvertrail/internal/base/scarce"
)

// This file: connections that come up late.
//
// A lost packet, a full queue of an endpoint's or something on the way holds up some connections and not others. An attempt
// that has waited for a multiple of what connections take begins a second one, and goes out on whichever is up first
// (RFC 8305 does the like between addresses); the other one stands idle from then on. It is the same one attempt: its
// request is written once. It could hurt where all connections are slow as endpoints are overloaded, so that a second one
// is begun for a part of them at the most.
const (
	minHedgeDelay      = 50 * time.Millisecond // at the least: within an installation connections take a few
	hedgeDelayMultiple = 4                     // of what they take
	hedgeBudgetRatio   = 0.5                   // second ones for each first one, at the most
	maxHedgeBudget     = 4.0                   // that may be saved up
)

// dialHedging tells when a connection is late, and whether a second one may be begun.
type dialHedging struct {
	usual  time.Duration // what connections take: rather what the quick ones do
	budget float64
}

func (l *dialHedging) record(d time.Duration) {
	switch {
	case l.usual == 0:
		l.usual = d
	case d < l.usual:
		l.usual += (d - l.usual) / 2
	default:
		l.usual += (d - l.usual) / 20
	}
}

func (l *dialHedging) hedgeDelay() time.Duration {
	return max(hedgeDelayMultiple*l.usual, minHedgeDelay)
}

type dialResult struct {
	nc  net.Conn
	err error
}

// connect returns a new connection, for which a place is taken. Where it does not, the place is still the caller's.
func (p *Pool) connect(ctx context.Context) (net.Conn, error) {
	dialling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	begin := func() chan dialResult {
		came := make(chan dialResult, 1)
		go func() {
			nc, err := p.dial(dialling)
			came <- dialResult{nc, err}
		}()
		return came
	}
	c := p.client
	c.mu.Lock()
	c.dials.budget = min(c.dials.budget+hedgeBudgetRatio, maxHedgeBudget)
	late := time.NewTimer(c.dials.hedgeDelay())
	c.mu.Unlock()
	defer late.Stop()
	began := time.Now()
	first := begin()
	var second chan dialResult // nil: none has been begun
	var failed error
	for {
		var d dialResult
		var other chan dialResult
		select {
		case d = <-first:
			first, other = nil, second
		case d = <-second:
			second, other = nil, first
		case <-late.C:
			if p.reserveHedge() {
				second = begin()
			}
			continue
		case <-ctx.Done(): // the attempt has been given up
			cancel()
			if second != nil && first != nil {
				go p.adoptSpare(second, nil)
			}
			d = <-either(first, second)
			if d.err == nil {
				d.nc.Close()
			}
			return nil, ctx.Err()
		}
		if d.err == nil {
			c.mu.Lock()
			c.dials.record(time.Since(began))
			c.mu.Unlock()
			if other == nil {
				cancel()
			} else {
				go p.adoptSpare(other, cancel)
			}
			return d.nc, nil
		}
		if other == nil {
			cancel()
			if failed != nil {
				d.err = failed
			}
			return nil, d.err
		}
		failed = d.err // the other one may still come up; one place goes back
		c.mu.Lock()
		p.releasePlace()
		c.mu.Unlock()
	}
}

func either(a, b chan dialResult) chan dialResult {
	if a != nil {
		return a
	}
	return b
}

// reserveHedge takes a place for a second connection, and tells whether one may be begun.
func (p *Pool) reserveHedge() bool {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if !p.client.HedgeDials || p.closed || p.client.dials.budget < 1 || !p.reservePlace() {
		return false
	}
	p.client.dials.budget--
	return true
}

// adoptSpare takes in a connection that nobody waits for any more: it stands idle. It ends with its time to come up.
func (p *Pool) adoptSpare(came chan dialResult, end context.CancelFunc) {
	d := <-came
	if end != nil {
		end()
	}
	if d.err == nil {
		if c, err := newConn(d.nc, p.client.MaxStreamBytes); err == nil {
			p.release(c, end != nil)
			return
		}
		d.nc.Close()
	}
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.releasePlace()
}

// dialPatience is how long an attempt waits for a descriptor where the process has none: callers' connections that have
// just come and may not be ended yet bring a request by then, or may.
const (
	descriptorWait       = 500 * time.Millisecond
	descriptorRetryDelay = 10 * time.Millisecond
)

// dial connects. Where there is no descriptor, what stands idle gives one back first: a request in work goes before it.
func (p *Pool) dial(ctx context.Context) (net.Conn, error) {
	p.client.mu.Lock()
	within, dial := p.client.DialTimeout, p.client.Dial
	p.client.mu.Unlock()
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	connect := func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		return dial(ctx, "tcp", p.address)
	}
	nc, err := connect()
	for until := time.Now().Add(descriptorWait); scarce.Descriptors(err) && ctx.Err() == nil && time.Now().Before(until); {
		p.client.mu.Lock()
		p.client.closeOldestIdle()
		p.client.mu.Unlock()
		if p.client.OnExhausted != nil {
			p.client.OnExhausted()
		}
		if nc, err = connect(); scarce.Descriptors(err) {
			time.Sleep(descriptorRetryDelay)
		}
	}
	return nc, err
}
