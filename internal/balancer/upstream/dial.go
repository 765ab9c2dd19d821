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
	againAfter = 50 * time.Millisecond // at the least: within an installation connections take a few
	againTimes = 4                     // of what they take
	againPart  = 0.5                   // second ones for each first one, at the most
	againMost  = 4.0                   // that may be saved up
)

// lateDials tells when a connection is late, and whether a second one may be begun.
type lateDials struct {
	takes  time.Duration // what connections take: rather what the quick ones do
	budget float64
}

func (l *lateDials) took(d time.Duration) {
	switch {
	case l.takes == 0:
		l.takes = d
	case d < l.takes:
		l.takes += (d - l.takes) / 2
	default:
		l.takes += (d - l.takes) / 20
	}
}

func (l *lateDials) after() time.Duration { return max(againTimes*l.takes, againAfter) }

type dialled struct {
	nc  net.Conn
	err error
}

// connect returns a new connection, for which a place is taken. Where it does not, the place is still the caller's.
func (p *Pool) connect(ctx context.Context) (net.Conn, error) {
	dialling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	begin := func() chan dialled {
		came := make(chan dialled, 1)
		go func() {
			nc, err := p.dial(dialling)
			came <- dialled{nc, err}
		}()
		return came
	}
	c := p.client
	c.mu.Lock()
	c.late.budget = min(c.late.budget+againPart, againMost)
	late := time.NewTimer(c.late.after())
	c.mu.Unlock()
	defer late.Stop()
	began := time.Now()
	first := begin()
	var second chan dialled // nil: none has been begun
	var failed error
	for {
		var d dialled
		var other chan dialled
		select {
		case d = <-first:
			first, other = nil, second
		case d = <-second:
			second, other = nil, first
		case <-late.C:
			if p.again() {
				second = begin()
			}
			continue
		case <-ctx.Done(): // the attempt has been given up
			cancel()
			if second != nil && first != nil {
				go p.spare(second, nil)
			}
			d = <-either(first, second)
			if d.err == nil {
				d.nc.Close()
			}
			return nil, ctx.Err()
		}
		if d.err == nil {
			c.mu.Lock()
			c.late.took(time.Since(began))
			c.mu.Unlock()
			if other == nil {
				cancel()
			} else {
				go p.spare(other, cancel)
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
		p.freed()
		c.mu.Unlock()
	}
}

func either(a, b chan dialled) chan dialled {
	if a != nil {
		return a
	}
	return b
}

// again takes a place for a second connection, and tells whether one may be begun.
func (p *Pool) again() bool {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if !p.client.Again || p.closed || p.client.late.budget < 1 || !p.room() {
		return false
	}
	p.client.late.budget--
	return true
}

// spare takes in a connection that nobody waits for any more: it stands idle. It ends with its time to come up.
func (p *Pool) spare(came chan dialled, end context.CancelFunc) {
	d := <-came
	if end != nil {
		end()
	}
	if d.err == nil {
		if c, err := newConn(d.nc, p.client.Most); err == nil {
			p.release(c, end != nil)
			return
		}
		d.nc.Close()
	}
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.freed()
}

// dialPatience is how long an attempt waits for a descriptor where the process has none: callers' connections that have
// just come and may not be ended yet bring a request by then, or may.
const (
	dialPatience = 500 * time.Millisecond
	dialStep     = 10 * time.Millisecond
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
		return dial(ctx, "tcp", p.addr)
	}
	nc, err := connect()
	for until := time.Now().Add(dialPatience); scarce.Descriptors(err) && ctx.Err() == nil && time.Now().Before(until); {
		p.client.mu.Lock()
		p.client.shed()
		p.client.mu.Unlock()
		if p.client.Scarce != nil {
			p.client.Scarce()
		}
		if nc, err = connect(); scarce.Descriptors(err) {
			time.Sleep(dialStep)
		}
	}
	return nc, err
}
