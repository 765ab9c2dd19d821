package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/internal/testkit/lbtest"
)

// agentTroubles are the faults of an agent; nil: it rejects connections.
var agentTroubles = map[string]func(*agentCall){
	"silent":                      func(*agentCall) {},
	"half an answer and no more":  (*agentCall).half,
	"closed after half an answer": func(c *agentCall) { c.half(); c.Close() },
	"503":                         (*agentCall).refuse,
	"reset":                       (*agentCall).reset,
	"closed":                      func(c *agentCall) { c.Close() },
	"refused":                     nil,
}

// TestAgentNotifiedAfter causes faults of an agent at the first call, at a watch, and at a change of address: it is called again
// while a call hangs, or after it, and the next call that it answers brings the changes. No call lasts as long as what counts
// as notified 6 s after the agent had it and could be reached.
func TestAgentNotifiedAfter(t *testing.T) {
	t.Parallel()
	for name, cause := range agentTroubles {
		for _, at := range []string{"first", "watch", "moved"} {
			t.Run(name+", "+at, func(t *testing.T) {
				t.Parallel()
				agentNotifiedAfter(t, cause, at)
			})
		}
	}
}

func agentNotifiedAfter(t *testing.T, cause func(*agentCall), at string) {
	t.Helper()
	addr, calls := agent(t)
	w := &told{}
	c := New(addr, 0, 0, w.members, slog.New(slog.DiscardHandler))
	var refuses atomic.Bool
	dials := make(chan struct{}, 100)
	for _, client := range []*http.Client{c.http, c.probeClient} {
		transport := client.Transport.(*http.Transport)
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
			if refuses.Load() {
				dials <- struct{}{}
				to = "127.0.0.1:1"
			}
			return dial(ctx, network, to)
		}
	}
	longest := longestWait(c)
	refuses.Store(cause == nil && at == "first")
	run(t, c)
	if at != "first" {
		next(t, calls).answer(list(5, true, "a"))
		lbtest.Until(t, "the first list", func() bool { return w.holds("whole a") })
		refuses.Store(cause == nil)
		if at == "watch" && cause == nil { // it is open already
			next(t, calls).reset()
		}
	}
	if at == "moved" {
		addr, calls = agent(t)
		c.SetAddress(addr)
	}
	var first *agentCall
	hangs := strings.HasPrefix(t.Name(), "TestAgentToldAfter/silent") || strings.Contains(t.Name(), "no_more")
	for n := range 4 {
		if cause == nil {
			select {
			case <-dials:
			case <-time.After(lbtest.Wait):
				t.Fatal("no connection is dialled")
			}
			continue
		}
		call := next(t, calls)
		cause(call)
		if n == 0 {
			first = call
		}
		if n == 1 && hangs && at != "watch" && !first.open() {
			t.Error("the next call came only when the first one had been given up")
		}
	}
	refuses.Store(false)
	lbtest.Until(t, "the news", func() bool {
		select {
		case c := <-calls:
			c.answer(list(9, true, "b"))
		default:
		}
		return w.holds("whole b")
	})
	if w.holds("whole half") || at != "first" != w.holds("whole a", "whole b") {
		t.Errorf("told %q", w.words)
	}
	if bound, pause := longest(); bound+patientBodyTimeout+pause > discoverypoll.NotifiedAfter-time.Second {
		t.Errorf("the next call may come %v after the begin of one, and %v later where its answer has begun", bound+pause, patientBodyTimeout)
	}
}

// longestWait returns the longest timeout of a call and the longest pause of a client.
func longestWait(c *Client) func() (bound, pause time.Duration) {
	var bounds, pauses atomic.Int64
	most := func(of *atomic.Int64, d time.Duration) {
		for old := of.Load(); old < int64(d) && !of.CompareAndSwap(old, int64(d)); old = of.Load() {
		}
	}
	after, pause := c.after, c.pause
	c.after = func(d time.Duration, do func()) func() bool {
		most(&bounds, d)
		return after(d, do)
	}
	c.pause = func(ctx context.Context, d time.Duration) {
		most(&pauses, d)
		pause(ctx, d)
	}
	return func() (time.Duration, time.Duration) {
		return time.Duration(bounds.Load()), time.Duration(pauses.Load())
	}
}
