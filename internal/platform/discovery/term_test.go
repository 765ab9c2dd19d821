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

// dialMode is the outcome of the connections that a client hungDials.
type dialMode int32

const (
	dialSucceeds dialMode = iota
	dialRefused
	dialHangs
)

// pollingClient is a client that polls, whose clock and discovery the test controls.
type pollingClient struct {
	*fakeClock
	calls     chan *agentCall
	hungDials chan struct{} // those that don't come up
	dialMode  atomic.Int32
}

func (client *pollingClient) dial(ctx context.Context, network, to string) (net.Conn, error) {
	var d net.Dialer
	switch dialMode(client.dialMode.Load()) {
	case dialRefused:
		return d.DialContext(ctx, network, "127.0.0.1:1")
	case dialHangs: // as a dialer with a timeout does
		over := make(chan struct{})
		defer client.after(dialTimeout, func() { close(over) })()
		client.hungDials <- struct{}{}
		<-over
		return nil, os.ErrDeadlineExceeded
	}
	return d.DialContext(ctx, network, to)
}

// callFault is a fault of a call.
type callFault struct {
	name        string
	dialMode    dialMode
	bodyTimeout time.Duration // that of the answer is waited for as long as this
	injectFault func(*testing.T, *pollingClient)
}

var callFaults = []callFault{
	{name: "never answered", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls)
		client.expireFirstTimer()
	}},
	{name: "503", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).sendUnavailable()
	}},
	{name: "503 at the last moment", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		client.advanceToJustBeforeExpiry()
		c.sendUnavailable()
	}},
	{name: "reset", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).reset()
	}},
	{name: "reset at the last moment", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		client.advanceToJustBeforeExpiry()
		c.reset()
	}},
	{name: "closed", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).Close()
	}},
	{name: "closed after half an answer", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		c.sendPartialResponse()
		c.Close()
	}},
	{name: "half an answer and no more", bodyTimeout: time.Second, injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		stallResponse(t, client, nextCall(t, client.calls))
	}},
	{name: "half an answer at the last moment and no more", bodyTimeout: time.Second, injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		client.advanceToJustBeforeExpiry()
		stallResponse(t, client, c)
	}},
	{name: "refused", dialMode: dialRefused, injectFault: func(*testing.T, *pollingClient) {}},
	{name: "no connection", dialMode: dialHangs, injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		select {
		case <-client.hungDials:
		case <-time.After(lbtest.Wait):
			t.Fatal("no connection is dialled")
		}
		client.expireFirstTimer()
	}},
}

func stallResponse(t *testing.T, client *pollingClient, c *agentCall) {
	t.Helper()
	started := client.startedTimers()
	c.sendPartialResponse()
	client.awaitStartedTimers(t, started+1) // it has begun to come
	client.expireFirstTimer()
}

// TestNotifiedAfter polls discovery with each fault six times in a row, and with all in turn; by calls for changes and, after a
// change of address, by calls for the whole list.
func TestNotifiedAfter(t *testing.T) {
	t.Parallel()
	sequences := map[string][]callFault{"all in turn": callFaults}
	for _, fault := range callFaults {
		sequences[fault.name] = []callFault{fault, fault, fault, fault, fault, fault}
	}
	for name, faults := range sequences {
		for _, addressChanges := range []bool{false, true} {
			if addressChanges {
				name += ", whole list"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				notifiedAfter(t, faults, addressChanges)
			})
		}
	}
}

func notifiedAfter(t *testing.T, faults []callFault, addressChanges bool) {
	t.Helper()
	addr, calls := startFakeAgent(t)
	oldAddr, oldCalls := addr, calls
	if addressChanges {
		oldAddr, oldCalls = startFakeAgent(t)
	}
	recorder := &updateRecorder{}
	c := New(oldAddr, maxPollInterval, 7, recorder.record, slog.New(slog.DiscardHandler))
	c.draw = func() float64 { return 0.999 } // the latest that it may be
	c.poller = discoverypoll.New(c.draw, maxPollInterval)
	client := &pollingClient{fakeClock: useFakeClock(c), calls: calls, hungDials: make(chan struct{}, 1)}
	c.http.Transport.(*http.Transport).DialContext = client.dial
	if !addressChanges {
		client.dialMode.Store(int32(faults[0].dialMode))
	}
	runClient(t, c)
	c.Watch() // once
	if addressChanges {
		nextCall(t, oldCalls)
		client.dialMode.Store(int32(faults[0].dialMode))
		c.SetAddress(addr)
	}
	for n, fault := range faults {
		startedAt := client.time()
		fault.injectFault(t, client)
		pauseLength := client.nextPause(t, calls)
		interval := client.time() - startedAt + pauseLength
		if maxInterval := 5*time.Second + 20*time.Millisecond + fault.bodyTimeout; interval > maxInterval {
			t.Errorf("call %d, %s: the next begins %v after it, want %v at the most", n, fault.name, interval, maxInterval)
		}
		nextMode := dialSucceeds
		if n+1 < len(faults) {
			nextMode = faults[n+1].dialMode
		}
		client.dialMode.Store(int32(nextMode))
		client.endPause(pauseLength)
	}
	last := nextCall(t, calls)
	query, text, want := "index=7&wait=", list(8, false, "a"), "changes a"
	if addressChanges {
		query, text, want = "", list(3, true, "a"), "whole a"
	}
	if !strings.HasPrefix(last.query, query) || addressChanges && last.query != "" {
		t.Errorf("asked %q, want %q", last.query, query)
	}
	last.sendList(text)
	lbtest.Until(t, "the news", func() bool { return recorder.contains(want) })
	recorder.expectOnly(t, want)
}
