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

// agentFaults are the faults of an agent; nil: it rejects connections.
var agentFaults = map[string]func(*agentCall){
	"silent":                       func(*agentCall) {},
	"half a response and no more":  (*agentCall).sendPartialResponse,
	"closed after half a response": func(c *agentCall) { c.sendPartialResponse(); c.Close() },
	"503":                          (*agentCall).sendUnavailable,
	"reset":                        (*agentCall).reset,
	"closed":                       func(c *agentCall) { c.Close() },
	"refused":                      nil,
}

// TestAgentNotifiedAfter injects faults of an agent at the first call, at a watch, and at a change of address. The client must
// call the agent again while a call hangs, or after the call failed, and must apply the next list that it receives. A change
// counts as notified 6 s after the agent received it and was reachable, so no call may last that long.
func TestAgentNotifiedAfter(t *testing.T) {
	t.Parallel()
	for name, injectFault := range agentFaults {
		for _, faultyCall := range []string{"first", "watch", "moved"} {
			t.Run(name+", "+faultyCall, func(t *testing.T) {
				t.Parallel()
				agentNotifiedAfter(t, injectFault, faultyCall)
			})
		}
	}
}

func agentNotifiedAfter(t *testing.T, injectFault func(*agentCall), faultyCall string) {
	t.Helper()
	addr, calls := startFakeAgent(t)
	recorder := &updateRecorder{}
	c := New(addr, 0, 0, recorder.record, slog.New(slog.DiscardHandler))
	var refuseDials atomic.Bool
	dials := make(chan struct{}, 100)
	for _, client := range []*http.Client{c.http, c.probeClient} {
		transport := client.Transport.(*http.Transport)
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
			if refuseDials.Load() {
				dials <- struct{}{}
				to = "127.0.0.1:1"
			}
			return dial(ctx, network, to)
		}
	}
	longestTimes := recordLongestTimes(c)
	refuseDials.Store(injectFault == nil && faultyCall == "first")
	runClient(t, c)
	if faultyCall != "first" {
		nextCall(t, calls).sendList(list(5, true, "a"))
		lbtest.Until(t, "the first list", func() bool { return recorder.contains("whole a") })
		refuseDials.Store(injectFault == nil)
		if faultyCall == "watch" && injectFault == nil { // the watch is already connected
			nextCall(t, calls).reset()
		}
	}
	if faultyCall == "moved" {
		addr, calls = startFakeAgent(t)
		c.SetAddress(addr)
	}
	var firstCall *agentCall
	callHangs := strings.HasPrefix(t.Name(), "TestAgentToldAfter/silent") || strings.Contains(t.Name(), "no_more")
	for n := range 4 {
		if injectFault == nil {
			select {
			case <-dials:
			case <-time.After(lbtest.Wait):
				t.Fatal("no connection was dialled")
			}
			continue
		}
		call := nextCall(t, calls)
		injectFault(call)
		if n == 0 {
			firstCall = call
		}
		if n == 1 && callHangs && faultyCall != "watch" && !firstCall.isOpen() {
			t.Error("the second call was made only after the first call had timed out")
		}
	}
	refuseDials.Store(false)
	lbtest.Until(t, "the list sent after the fault", func() bool {
		select {
		case c := <-calls:
			c.sendList(list(9, true, "b"))
		default:
		}
		return recorder.contains("whole b")
	})
	if recorder.contains("whole half") || faultyCall != "first" != recorder.contains("whole a", "whole b") {
		t.Errorf("updates %q", recorder.updates)
	}
	if timeout, pause := longestTimes(); timeout+patientBodyTimeout+pause > discoverypoll.NotifiedAfter-time.Second {
		t.Errorf("the next call may begin up to %v after the start of a call, plus %v if the response has begun", timeout+pause, patientBodyTimeout)
	}
}

// recordLongestTimes records a client's timeouts and pauses. The returned function returns the longest of each.
func recordLongestTimes(c *Client) func() (timeout, pause time.Duration) {
	var maxTimeout, maxPause atomic.Int64
	recordMax := func(maximum *atomic.Int64, d time.Duration) {
		for old := maximum.Load(); old < int64(d) && !maximum.CompareAndSwap(old, int64(d)); old = maximum.Load() {
		}
	}
	after, pause := c.after, c.pause
	c.after = func(d time.Duration, do func()) func() bool {
		recordMax(&maxTimeout, d)
		return after(d, do)
	}
	c.pause = func(ctx context.Context, d time.Duration) {
		recordMax(&maxPause, d)
		pause(ctx, d)
	}
	return func() (time.Duration, time.Duration) {
		return time.Duration(maxTimeout.Load()), time.Duration(maxPause.Load())
	}
}
