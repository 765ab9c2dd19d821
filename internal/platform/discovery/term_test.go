package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/testkit/lbtest"
)

// This file: whatever becomes of calls, a change counts as notified 6 s after discovery had it and could be reached (the
// platform's STANDING page). So a call begins within 5 s of the one before, or as soon as the rest of its response was
// awaited, and the list it brings is applied.

// way is what becomes of the connections that a client dials.
type way int32

const (
	open way = iota
	refuses
	hangs
)

// asker is a client that polls, whose clock and discovery the test controls.
type asker struct {
	*held
	calls chan *agentCall
	dials chan struct{} // those that don't come up
	way   atomic.Int32
}

func (a *asker) dial(ctx context.Context, network, to string) (net.Conn, error) {
	var d net.Dialer
	switch way(a.way.Load()) {
	case refuses:
		return d.DialContext(ctx, network, "127.0.0.1:1")
	case hangs: // as a dialer with a timeout does
		over := make(chan struct{})
		defer a.after(dialTimeout, func() { close(over) })()
		a.dials <- struct{}{}
		<-over
		return nil, os.ErrDeadlineExceeded
	}
	return d.DialContext(ctx, network, to)
}

// trouble is a fault of a call.
type trouble struct {
	name  string
	way   way
	rest  time.Duration // that of the answer is waited for as long as this
	cause func(*testing.T, *asker)
}

var troubles = []trouble{
	{name: "never answered", cause: func(t *testing.T, a *asker) {
		t.Helper()
		next(t, a.calls)
		a.expire()
	}},
	{name: "503", cause: func(t *testing.T, a *asker) {
		t.Helper()
		next(t, a.calls).refuse()
	}},
	{name: "503 at the last moment", cause: func(t *testing.T, a *asker) {
		t.Helper()
		c := next(t, a.calls)
		a.almost()
		c.refuse()
	}},
	{name: "reset", cause: func(t *testing.T, a *asker) {
		t.Helper()
		next(t, a.calls).reset()
	}},
	{name: "reset at the last moment", cause: func(t *testing.T, a *asker) {
		t.Helper()
		c := next(t, a.calls)
		a.almost()
		c.reset()
	}},
	{name: "closed", cause: func(t *testing.T, a *asker) {
		t.Helper()
		next(t, a.calls).Close()
	}},
	{name: "closed after half an answer", cause: func(t *testing.T, a *asker) {
		t.Helper()
		c := next(t, a.calls)
		c.half()
		c.Close()
	}},
	{name: "half an answer and no more", rest: time.Second, cause: func(t *testing.T, a *asker) {
		t.Helper()
		stall(t, a, next(t, a.calls))
	}},
	{name: "half an answer at the last moment and no more", rest: time.Second, cause: func(t *testing.T, a *asker) {
		t.Helper()
		c := next(t, a.calls)
		a.almost()
		stall(t, a, c)
	}},
	{name: "refused", way: refuses, cause: func(*testing.T, *asker) {}},
	{name: "no connection", way: hangs, cause: func(t *testing.T, a *asker) {
		t.Helper()
		select {
		case <-a.dials:
		case <-time.After(lbtest.Wait):
			t.Fatal("no connection is dialled")
		}
		a.expire()
	}},
}

func stall(t *testing.T, a *asker, c *agentCall) {
	t.Helper()
	made := a.count()
	c.half()
	a.bounded(t, made+1) // it has begun to come
	a.expire()
}

// TestNotifiedAfter polls discovery with each fault six times in a row, and with all in turn; by calls for changes and, after a
// change of address, by calls for the whole list.
func TestNotifiedAfter(t *testing.T) {
	t.Parallel()
	days := map[string][]trouble{"all in turn": troubles}
	for _, tr := range troubles {
		days[tr.name] = []trouble{tr, tr, tr, tr, tr, tr}
	}
	for name, day := range days {
		for _, moves := range []bool{false, true} {
			if moves {
				name += ", whole list"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				notifiedAfter(t, day, moves)
			})
		}
	}
}

func notifiedAfter(t *testing.T, day []trouble, moves bool) {
	t.Helper()
	addr, calls := agent(t)
	from, old := addr, calls
	if moves {
		from, old = agent(t)
	}
	w := &told{}
	c := New(from, mustAsk, 7, w.members, slog.New(slog.DiscardHandler))
	c.draw = func() float64 { return 0.999 } // the latest that it may be
	c.poller = discoverypoll.New(c.draw, mustAsk)
	a := &asker{held: hold(c), calls: calls, dials: make(chan struct{}, 1)}
	c.http.Transport.(*http.Transport).DialContext = a.dial
	if !moves {
		a.way.Store(int32(day[0].way))
	}
	run(t, c)
	c.Watch() // once
	if moves {
		next(t, old)
		a.way.Store(int32(day[0].way))
		c.SetAddress(addr)
	}
	for n, tr := range day {
		begun := a.time()
		tr.cause(t, a)
		d := a.pausing(t, calls)
		took := a.time() - begun + d
		if most := 5*time.Second + 20*time.Millisecond + tr.rest; took > most {
			t.Errorf("call %d, %s: the next begins %v after it, want %v at the most", n, tr.name, took, most)
		}
		after := open
		if n+1 < len(day) {
			after = day[n+1].way
		}
		a.way.Store(int32(after))
		a.pass(d)
	}
	last := next(t, calls)
	query, text, want := "index=7&wait=", list(8, false, "a"), "changes a"
	if moves {
		query, text, want = "", list(3, true, "a"), "whole a"
	}
	if !strings.HasPrefix(last.query, query) || moves && last.query != "" {
		t.Errorf("asked %q, want %q", last.query, query)
	}
	last.answer(text)
	lbtest.Until(t, "the news", func() bool { return w.holds(want) })
	w.only(t, want)
}
