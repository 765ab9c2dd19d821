// Package discovery follows the discovery service's list of endpoints. It polls the service at the times that discoverypoll
// decides (client.go), or follows an agent that pushes (agent.go). Its only goroutines are the caller's of Run and those that
// fetch a whole list from an agent. Each list is passed to the update function.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"silvertrail/internal/base/endpointlist"
	"silvertrail/internal/base/timeout"
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/lbpolicy"
)

const (
	path         = "http://%s/registry/instances"
	maxListBytes = 2 << 20 // some 10,000 endpoints; a list is read into memory whole, so the memory limit must hold several

	dialTimeout = time.Second // time limit for opening a connection

	maxOlderLists = 4 // after this many consecutive lists older than the current one, discovery must have restarted
)

// Client follows one discovery service.
type Client struct {
	instances      int           // number of instances of the own tier
	mustPollIn     time.Duration // the settings' must_ask_in, if discovery must be polled; zero: an agent pushes
	update         func(lbpolicy.ListKind, []endpointlist.Endpoint)
	log            *slog.Logger
	http           *http.Client
	probeClient    *http.Client // for short calls to an agent that has not responded yet; nil when polling
	watchRequested chan struct{}
	index          int64
	olderLists     int                   // consecutive lists older than index
	poller         *discoverypoll.Poller // nil with an agent
	beforeApply    func(context.Context) // set by tests; called after a list is read and before it is applied

	// Replaced by tests: random numbers, the clock (time since the start), pauses between calls, timeouts of calls.
	draw  func() float64 // in [0, 1)
	now   func() time.Duration
	pause func(context.Context, time.Duration)
	after func(time.Duration, func()) (stop func() bool)

	mu          sync.Mutex
	addr        string
	cancelCalls context.CancelFunc // ends the calls to addr; nil: none was made
}

// New returns a client that passes lists to onUpdate. If discovery must be polled, maxPollInterval is the settings' bound on the
// time between polls. If an agent pushes, maxPollInterval is zero. index is the version of the current list.
func New(addr string, maxPollInterval time.Duration, index int64, onUpdate func(lbpolicy.ListKind, []endpointlist.Endpoint), log *slog.Logger) *Client {
	startedAt := time.Now()
	c := &Client{addr: addr, mustPollIn: maxPollInterval, update: onUpdate, log: log, index: index,
		http: newHTTPClient(dialTimeout), watchRequested: make(chan struct{}, 1), draw: rand.Float64, pause: pause,
		now:   func() time.Duration { return time.Since(startedAt) },
		after: timeout.AfterFunc}
	if maxPollInterval > 0 {
		c.poller = discoverypoll.New(c.draw, maxPollInterval)
	} else {
		c.probeClient = newHTTPClient(promptTimeout)
	}
	return c
}

// SharedBy sets how many instances of the tier poll the same discovery. It must be called before Run.
func (c *Client) SharedBy(instances int) {
	c.instances = instances
	if c.poller != nil {
		c.poller.SharedBy(instances)
	}
}

// newHTTPClient returns a client that does not follow redirects.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:     true,
			MaxConnsPerHost:        2,
			MaxIdleConnsPerHost:    1,
			MaxResponseHeaderBytes: 16 << 10,
		}}
}

// Watch makes Run begin polling, if discovery must be polled. Polling continues until Run ends. Watch does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequested <- struct{}{}:
	default:
	}
}

// SetAddress follows discovery at another address from now on. It does not block. The current list stays in use until the
// new address has sent its whole list. Versions at the two addresses are unrelated. Calls to an address that does not respond
// are retried, as when discovery is down.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if c.cancelCalls != nil {
		c.cancelCalls()
		c.cancelCalls = nil
	}
}

// currentCalls returns the address and the context of calls to it. isNew reports that no call to the address was made yet.
func (c *Client) currentCalls(ctx, calls context.Context) (current context.Context, address string, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelCalls != nil {
		return calls, c.addr, false
	}
	calls, c.cancelCalls = context.WithCancel(ctx)
	return calls, c.addr, true
}

// Run follows the list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	state := &runState{client: c}
	for ctx.Err() == nil {
		state.updateAddress(ctx)
		if c.mustPollIn == 0 {
			c.followAgent(state.calls, state.address)
			continue
		}
		if state.awaitFirstPoll() {
			state.poll()
		}
	}
}

// runState is the state of Run.
type runState struct {
	client   *Client
	address  string
	calls    context.Context // ends when the address changes
	snapshot bool            // the whole list is requested next
	started  bool            // an address was used before
	polled   bool            // polling has begun
}

// updateAddress switches to the current address. A changed address is asked for its whole list first.
func (r *runState) updateAddress(ctx context.Context) {
	c := r.client
	calls, address, isNew := c.currentCalls(ctx, r.calls)
	r.calls, r.address = calls, address
	if isNew && r.started {
		c.http.CloseIdleConnections() // connections to the old address
		r.snapshot = true
		c.index, c.olderLists = 0, 0
		if c.mustPollIn > 0 {
			c.poller = discoverypoll.New(c.draw, c.mustPollIn).SharedBy(c.instances)
		}
		c.log.Info("discovery address changed", "component", "discovery", "address", address)
	}
	r.started = true
}

// awaitFirstPoll waits until polling is requested. It returns false if the address has changed or Run ends.
func (r *runState) awaitFirstPoll() bool {
	if r.polled || r.snapshot {
		return true
	}
	select {
	case <-r.client.watchRequested:
		return true
	case <-r.calls.Done():
		return false
	}
}

// poll polls until the address changes or Run ends.
func (r *runState) poll() {
	r.polled = true
	c := r.client
	for r.calls.Err() == nil {
		err := c.poll(r.calls, r.address, r.snapshot)
		if r.calls.Err() != nil {
			return
		}
		if err != nil && !errors.Is(err, errNoResponse) {
			c.logFailure(err, r.address)
		}
		r.snapshot = r.snapshot && err != nil
		c.pause(r.calls, c.poller.End(c.now(), outcomeOf(err)))
	}
}

func (c *Client) logFailure(err error, address string) {
	c.log.Warn("discovery call failed", "component", "discovery", "error", err, "address", address)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// errNoResponse ends a call that got no byte of a response before its timeout. A connection that is not established within
// dialTimeout, which is shorter, counts as a failure instead and is followed by backoff.
var errNoResponse = errors.New("silent")

// errIncomplete ends a call whose response began and is incomplete, or cannot be parsed.
var errIncomplete = errors.New("response incomplete or invalid")

func outcomeOf(err error) discoverypoll.Outcome {
	switch {
	case err == nil:
		return discoverypoll.Complete
	case errors.Is(err, errNoResponse):
		return discoverypoll.NoResponse
	case errors.Is(err, errIncomplete):
		return discoverypoll.Incomplete
	}
	return discoverypoll.Failed
}

// poll makes one call and applies the list in its response.
func (c *Client) poll(ctx context.Context, addr string, snapshot bool) error {
	call := c.poller.Begin(c.now(), snapshot)
	list, err := c.get(ctx, c.http, c.url(addr, snapshot, call), call)
	if err != nil {
		return err
	}
	return c.apply(ctx, list, snapshot)
}

// url returns the address of a call.
func (c *Client) url(addr string, snapshot bool, call discoverypoll.Call) string {
	url := fmt.Sprintf(path, addr)
	if !snapshot {
		url += fmt.Sprintf("?index=%d&wait=%d", c.index, call.Wait.Milliseconds())
	}
	return url
}

// apply passes a list to update: the whole list, or the changes since the current list.
func (c *Client) apply(ctx context.Context, list endpointlist.List, snapshot bool) error {
	if c.beforeApply != nil {
		c.beforeApply(ctx)
	}
	if ctx.Err() != nil { // the address has changed: a list of the old address must not follow a list of the new address
		return ctx.Err()
	}
	if list.Index < c.index {
		// A late or repeated list could restore endpoints that have drained. If all lists are older, discovery has restarted.
		c.olderLists++
		if c.olderLists < maxOlderLists {
			return fmt.Errorf("list version %d is older than current version %d", list.Index, c.index)
		}
	}
	c.olderLists = 0
	kind := lbpolicy.Delta
	if list.Snapshot {
		kind = lbpolicy.Full
	} else if snapshot {
		return errors.New("whole list requested, but response holds only changes")
	}
	repeated := list.Index == c.index && kind == lbpolicy.Delta
	c.index = list.Index
	if !repeated || c.mustPollIn > 0 {
		c.update(kind, list.Entries)
	}
	return nil
}

// get makes one call within its timeouts and returns the list in its response.
func (c *Client) get(ctx context.Context, httpClient *http.Client, url string, call discoverypoll.Call) (endpointlist.List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeouts := c.startTimeouts(call, cancel)
	defer timeouts.stop()
	trace := &httptrace.ClientTrace{GotConn: timeouts.gotConn, WroteRequest: timeouts.wroteRequest, GotFirstResponseByte: timeouts.firstByte}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, url, nil)
	if err != nil {
		return endpointlist.List{}, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return endpointlist.List{}, timeouts.classify(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return endpointlist.List{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return endpointlist.List{}, timeouts.classify(ctx, err)
	}
	if len(text) > maxListBytes {
		return endpointlist.List{}, fmt.Errorf("list exceeds %d bytes", maxListBytes)
	}
	list, err := endpointlist.Parse(text)
	if err != nil {
		return endpointlist.List{}, timeouts.classify(ctx, err)
	}
	return list, nil
}
