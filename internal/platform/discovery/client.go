// Package discovery follows discovery's list of endpoints.
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
	"silvertrail/internal/platform/discoverypoll"
	"silvertrail/lbpolicy"
)

const (
	path         = "http://%s/registry/instances"
	maxListBytes = 2 << 20 // some 10,000 endpoints; read whole, so it must fit the memory limit several times over

	dialTimeout = time.Second // for a connection to come up

	maxOlderLists = 4 // answers older than the list in hand, one after the other
)

// Client watches discovery.
type Client struct {
	instances      int           // instances of the own tier
	mustPollIn     time.Duration // discovery answers only when asked to: the settings' must_ask_in; zero where an agent is
	update         func(lbpolicy.ListKind, []endpointlist.Endpoint)
	log            *slog.Logger
	http           *http.Client
	probeClient    *http.Client // of an agent that has not answered yet; nil where discovery is asked
	watchRequested chan struct{}
	index          int64
	olderLists     int                   // answers in a row older than index
	poller         *discoverypoll.Poller // when discovery is asked; nil where an agent is
	beforeApply    func(context.Context) // by tests: an answer has been read, and is not taken yet

	// What tests hold: its draws, its clock (the time since it began), pauses between calls, and the bounds of calls.
	draw  func() float64 // from 0 up to 1
	now   func() time.Duration
	pause func(context.Context, time.Duration)
	after func(time.Duration, func()) (stop func() bool)

	mu          sync.Mutex
	addr        string
	cancelCalls context.CancelFunc // ends the calls to the address in hand; nil where none has been made to it
}

// New returns a client that hands lists to members. Where discovery answers only when asked to, mustAskIn is how long the
// settings allow it not to be; zero is an agent. Index is the version of the list in hand.
func New(addr string, mustAskIn time.Duration, index int64, members func(lbpolicy.ListKind, []endpointlist.Endpoint), log *slog.Logger) *Client {
	begun := time.Now()
	c := &Client{addr: addr, mustPollIn: mustAskIn, update: members, log: log, index: index,
		http: newHTTPClient(dialTimeout), watchRequested: make(chan struct{}, 1), draw: rand.Float64, pause: pause,
		now:   func() time.Duration { return time.Since(begun) },
		after: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	if mustAskIn > 0 {
		c.poller = discoverypoll.New(c.draw, mustAskIn)
	} else {
		c.probeClient = newHTTPClient(promptTimeout)
	}
	return c
}

// SharedBy tells how many instances of the own tier ask the same discovery, before Run.
func (c *Client) SharedBy(instances int) {
	c.instances = instances
	if c.poller != nil {
		c.poller.SharedBy(instances)
	}
}

// newHTTPClient makes calls whose connections come up in the given time.
func newHTTPClient(dialIn time.Duration) *http.Client {
	return &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialIn}).DialContext,
			DisableCompression:     true,
			MaxConnsPerHost:        2,
			MaxIdleConnsPerHost:    1,
			MaxResponseHeaderBytes: 16 << 10,
		}}
}

// Watch asks for changes from now on, where discovery must be asked, again and again until Run ends. It does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequested <- struct{}{}:
	default:
	}
}

// SetAddress follows discovery at another address from now on. It does not block. What the old one had told stays in
// force until the new one has told its whole list; the two may count versions differently. An address that does not
// answer is tried again and again, as a discovery that is down is: the list in hand is kept meanwhile.
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

// currentCalls returns the address in hand and the context of calls to it; first tells that none has been made yet.
func (c *Client) currentCalls(ctx, calls context.Context) (context.Context, string, bool) {
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
	whole := false
	started, begun := false, false
	var calls context.Context
	for ctx.Err() == nil {
		var addr string
		var first bool
		if calls, addr, first = c.currentCalls(ctx, calls); first && started {
			c.http.CloseIdleConnections() // those to the old address
			whole, c.index, c.olderLists = true, 0, 0
			if c.mustPollIn > 0 {
				c.poller = discoverypoll.New(c.draw, c.mustPollIn).SharedBy(c.instances)
			}
			c.log.Info("discovery: follows another address", "address", addr)
		}
		started = true
		if c.mustPollIn == 0 {
			c.followAgent(calls, addr)
			continue
		}
		if !begun && !whole {
			select {
			case <-c.watchRequested:
			case <-calls.Done(): // moved, or at an end
				continue
			}
		}
		for begun = true; calls.Err() == nil; {
			err := c.poll(calls, addr, whole)
			if calls.Err() != nil {
				break
			}
			if err != nil && !errors.Is(err, errNoResponse) {
				c.log.Warn("discovery: "+err.Error(), "address", addr)
			}
			whole = whole && err != nil
			c.pause(calls, c.poller.End(c.now(), outcomeOf(err)))
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// errNoResponse tells of a call that was given up for want of any answer in the time that it was given. A connection that
// does not come up in its own, shorter time is no such call but a failure: it is repeated with a back-off.
var errNoResponse = errors.New("silent")

// errIncomplete tells of an answer that was begun and that is not whole, or can't be read.
var errIncomplete = errors.New("answer begun")

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

// poll makes one call of those that discovery is asked by, and hands on what it brings.
func (c *Client) poll(ctx context.Context, addr string, whole bool) error {
	ask := c.poller.Begin(c.now(), whole)
	list, err := c.get(ctx, c.http, c.url(addr, whole, ask), ask)
	if err != nil {
		return err
	}
	return c.apply(ctx, list, whole)
}

func (c *Client) url(addr string, whole bool, ask discoverypoll.Call) string {
	url := fmt.Sprintf(path, addr)
	if !whole {
		url += fmt.Sprintf("?index=%d&wait=%d", c.index, ask.Wait.Milliseconds())
	}
	return url
}

// apply hands on an answer: the whole list, or what has changed since the one in hand.
func (c *Client) apply(ctx context.Context, list endpointlist.List, whole bool) error {
	if c.beforeApply != nil {
		c.beforeApply(ctx)
	}
	if ctx.Err() != nil { // moved meanwhile: what comes from the old address must not follow what the new one tells
		return ctx.Err()
	}
	if list.Index < c.index {
		// Late or repeated: it says less than the list in hand, and could bring back what has drained. One that
		// stays behind has begun to count anew.
		if c.olderLists++; c.olderLists < maxOlderLists {
			return fmt.Errorf("list %d after list %d", list.Index, c.index)
		}
	}
	c.olderLists = 0
	kind := lbpolicy.Delta
	if list.Snapshot {
		kind = lbpolicy.Full
	} else if whole {
		return errors.New("changes in place of the whole list")
	}
	repeated := list.Index == c.index && kind == lbpolicy.Delta
	c.index = list.Index
	if !repeated || c.mustPollIn > 0 {
		c.update(kind, list.Entries)
	}
	return nil
}

// get makes one call. An answer's first byte is waited for as long as ask says, and its last byte after that: what stands
// still half told counts as told long before a watch is given up.
func (c *Client) get(ctx context.Context, by *http.Client, url string, ask discoverypoll.Call) (endpointlist.List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	inTime := c.after(ask.FirstByteTimeout, func() { cancel(errNoResponse) })
	defer inTime()
	begun := make(chan struct{})
	var whole func() bool // ends the bound of the answer's rest, once it has begun
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
		if inTime() {
			whole = c.after(ask.BodyTimeout, func() { cancel(errIncomplete) })
			close(begun)
		}
	}}
	defer func() {
		select {
		case <-begun:
			whole()
		default:
		}
	}()
	broken := func(err error) error {
		if errors.Is(context.Cause(ctx), errNoResponse) {
			return fmt.Errorf("%w: %w", errNoResponse, err)
		}
		select {
		case <-begun:
			return fmt.Errorf("%w: %w", errIncomplete, err)
		default:
			return err
		}
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, url, nil)
	if err != nil {
		return endpointlist.List{}, err
	}
	resp, err := by.Do(req)
	if err != nil {
		return endpointlist.List{}, broken(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return endpointlist.List{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return endpointlist.List{}, broken(err)
	}
	if len(text) > maxListBytes {
		return endpointlist.List{}, fmt.Errorf("a list of over %d bytes", maxListBytes)
	}
	list, err := endpointlist.Parse(text)
	if err != nil {
		return endpointlist.List{}, broken(err)
	}
	return list, nil
}
