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

// These tests check how long faults may delay an update. A change counts as notified 6 s after discovery received it and was
// reachable, whether or not calls fail (the platform's STANDING page). Each call must therefore begin within 5 s of the start
// of the call before. If a response stalls half-way, its body timeout is added. The list that a call returns must be applied.

// dialMode is the outcome of the connections that a client dials.
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
	hungDials chan struct{} // receives a value for each dial that hangs
	dialMode  atomic.Int32
}

func (client *pollingClient) dial(ctx context.Context, network, to string) (net.Conn, error) {
	var d net.Dialer
	switch dialMode(client.dialMode.Load()) {
	case dialRefused:
		return d.DialContext(ctx, network, "127.0.0.1:1")
	case dialHangs: // fails after dialTimeout, as a net.Dialer with this timeout
		timedOut := make(chan struct{})
		defer client.after(dialTimeout, func() { close(timedOut) })()
		client.hungDials <- struct{}{}
		<-timedOut
		return nil, os.ErrDeadlineExceeded
	}
	return d.DialContext(ctx, network, to)
}

// callFault is a fault that the test injects into a call.
type callFault struct {
	name        string
	dialMode    dialMode
	bodyTimeout time.Duration // how long the client waits for the rest of a response that stalls; zero: none has begun, or it has ended
	injectFault func(*testing.T, *pollingClient)
}

var callFaults = []callFault{
	{name: "no response", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls)
		client.expireFirstTimer()
	}},
	{name: "503", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).sendUnavailable()
	}},
	{name: "503 just before the timeout", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		client.advanceToJustBeforeExpiry()
		c.sendUnavailable()
	}},
	{name: "reset", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).reset()
	}},
	{name: "reset just before the timeout", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		client.advanceToJustBeforeExpiry()
		c.reset()
	}},
	{name: "closed", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		nextCall(t, client.calls).Close()
	}},
	{name: "closed after half a response", injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		c := nextCall(t, client.calls)
		c.sendPartialResponse()
		c.Close()
	}},
	{name: "half a response and no more", bodyTimeout: time.Second, injectFault: func(t *testing.T, client *pollingClient) {
		t.Helper()
		stallResponse(t, client, nextCall(t, client.calls))
	}},
	{name: "half a response just before the timeout and no more", bodyTimeout: time.Second, injectFault: func(t *testing.T, client *pollingClient) {
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
			t.Fatal("no connection was dialled")
		}
		client.expireFirstTimer()
	}},
}

// stallResponse sends a part of a response and lets the body timeout expire.
func stallResponse(t *testing.T, client *pollingClient, c *agentCall) {
	t.Helper()
	started := client.startedTimers()
	c.sendPartialResponse()
	client.awaitStartedTimers(t, started+1) // the client has received the first byte
	client.expireFirstTimer()
}

// Polls discovery with each fault six times in a row, and with all faults in turn. The calls request changes or, after a change
// of address, the whole list.
func TestNextPollAfterFaultIsInTime(t *testing.T) {
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
	c.draw = func() float64 { return 0.999 } // longest random delay
	c.poller = discoverypoll.New(c.draw, maxPollInterval)
	client := &pollingClient{fakeClock: useFakeClock(c), calls: calls, hungDials: make(chan struct{}, 1)}
	c.http.Transport.(*http.Transport).DialContext = client.dial
	if !addressChanges {
		client.dialMode.Store(int32(faults[0].dialMode))
	}
	runClient(t, c)
	c.Watch() // polling has to go on without another Watch
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
			t.Errorf("call %d, %s: the next call begins %v after the start of this call, want %v at the most", n, fault.name, interval, maxInterval)
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
		t.Errorf("query %q, want prefix %q", last.query, query)
	}
	last.sendList(text)
	lbtest.Until(t, "the list sent after the faults", func() bool { return recorder.contains(want) })
	recorder.expectOnly(t, want)
}
