// Package registry follows discovery's list of endpoints.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"silvertrail/decide"
)

const (
	path    = "http://%s/registry/instances"
	maxList = 2 << 20 // some 10,000 endpoints; read whole, so it must fit the memory limit several times over

	// What an agent on the same machine has to tell it tells at once, so a short wait costs nothing and shows soon
	// that an agent's connection is dead. Where discovery is asked each call is work to it, and so is each call of
	// all the other instances: the wait follows how soon it answers (see paced).
	pushedWait = 2 * time.Second
	leastWait  = 8 * time.Second
	mostWait   = 16 * time.Second
	answerIn   = 1 * time.Second        // an agent's answer, past the wait
	tail       = 3 * time.Second        // of a wait that is told, not waited for: time for another call, or two
	leastGap   = 500 * time.Millisecond // or none
	mostGap    = 3 * time.Second
	backoffMin = 50 * time.Millisecond
	backoffMax = 1 * time.Second
	spacing    = 20 * time.Millisecond // of watches that are answered at once; past 200 ms a watch would lapse

	restarted = 4 // answers older than the list in hand, one after the other
)

// Endpoint is one entry of a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMS int64  `json:"since_ms"`
	// Weight is its part of the traffic against others of like speed, the largest being 1; zero is 1. Discovery tells none.
	Weight float64 `json:"-"`
}

// List is an answer of discovery. An entry that is not in its form is left out.
type List struct {
	Index    int64
	Snapshot bool
	Entries  []Endpoint
}

// ParseList reads a list in discovery's form.
func ParseList(text []byte) (List, error) {
	var raw struct {
		Index     *int64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if raw.Index == nil {
		return List{}, errors.New("list: no index")
	}
	l := List{Index: *raw.Index, Snapshot: raw.Snapshot}
	for _, entry := range raw.Endpoints {
		var e Endpoint
		if json.Unmarshal(entry, &e) != nil {
			e = Endpoint{} // the host passes over what has no name
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

// Client watches discovery.
type Client struct {
	asked   bool // discovery answers only when asked to
	members func(decide.ListKind, []Endpoint)
	log     *slog.Logger
	http    *http.Client
	ask     chan struct{}
	index   int64
	older   int           // answers in a row older than index
	wait    time.Duration // of a watch, before its spread
	gap     time.Duration // between an answer and the next watch, before its spread

	mu    sync.Mutex
	addr  string
	moved context.CancelFunc // ends the calls to the address in hand; nil where none has been made to it
}

// New returns a client that hands lists to members. Index is the version of the list in hand.
func New(addr string, asked bool, index int64, members func(decide.ListKind, []Endpoint), log *slog.Logger) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        2,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: 16 << 10,
	}
	return &Client{addr: addr, asked: asked, members: members, log: log, index: index, wait: leastWait,
		http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}},
		ask: make(chan struct{}, 1)}
}

// Watch asks for changes from now on, where discovery must be asked. It does not block.
func (c *Client) Watch() {
	select {
	case c.ask <- struct{}{}:
	default:
	}
}

// Move follows discovery at another address from now on. It does not block. What the old one had told stays in
// force until the new one has told its whole list; the two may count versions differently. An address that does not
// answer is tried again and again, as a discovery that is down is: the list in hand is kept meanwhile.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if c.moved != nil {
		c.moved()
		c.moved = nil
	}
}

// target returns the address in hand and the context of calls to it; first tells that none has been made yet.
func (c *Client) target(ctx, calls context.Context) (context.Context, string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved != nil {
		return calls, c.addr, false
	}
	calls, c.moved = context.WithCancel(ctx)
	return calls, c.addr, true
}

// Run follows the list until ctx ends.
func (c *Client) Run(ctx context.Context) {
	backoff := backoffMin
	whole := !c.asked // an agent's whole list costs nothing
	started := false
	var calls context.Context
	for ctx.Err() == nil {
		var addr string
		var first bool
		if calls, addr, first = c.target(ctx, calls); first && started {
			c.http.CloseIdleConnections() // those to the old address
			backoff, whole, c.index, c.older = backoffMin, true, 0, 0
			c.log.Info("discovery: follows another address", "address", addr)
		}
		if started = true; c.asked && !(first && whole) {
			select {
			case <-c.ask:
			case <-calls.Done(): // moved, or at an end
				continue
			}
		}
		for {
			err := c.call(calls, addr, whole)
			if c.asked && errors.Is(err, errSilent) {
				continue // no news, or a dead connection: asked once more, on another one, without delay
			}
			if err != nil {
				if calls.Err() == nil {
					c.log.Warn("discovery: "+err.Error(), "address", addr)
				}
				break
			}
			backoff, whole = backoffMin, false
			pause(calls, max(spacing, c.gap/2+rand.N(c.gap+1)))
		}
		if c.asked { // the decisions say when to ask again
			c.members(decide.Failed, nil)
			continue
		}
		whole = true
		pause(calls, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// errSilent tells of a call that was given up for want of any answer in the time that it was given. A connection that
// does not come up in its own, shorter time is no such call but a failure: it is repeated with a back-off.
var errSilent = errors.New("silent")

// call makes one call and hands on what it brings: the whole list, or what has changed since the one in hand.
func (c *Client) call(ctx context.Context, addr string, whole bool) error {
	wait := pushedWait
	given := wait + answerIn // silence past it means that the other side has gone without a word
	if c.asked {
		given = c.wait/2 + rand.N(c.wait)
		wait = given + tail
	}
	url := fmt.Sprintf(path, addr)
	if whole {
		wait = 0
	} else {
		url += fmt.Sprintf("?index=%d&wait=%d", c.index, wait.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, given)
	defer cancel()
	list, err := c.get(ctx, url)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	c.paced(err == nil)
	if err != nil {
		return err
	}
	if ctx.Err() != nil { // moved meanwhile: what comes from the old address must not follow what the new one tells
		return ctx.Err()
	}
	if list.Index < c.index {
		// Late or repeated: it says less than the list in hand, and could bring back what has drained. One that
		// stays behind has begun to count anew.
		if c.older++; c.older < restarted {
			return fmt.Errorf("list %d after list %d", list.Index, c.index)
		}
	}
	c.older = 0
	kind := decide.Delta
	if list.Snapshot {
		kind = decide.Full
	} else if whole {
		return errors.New("changes in place of the whole list")
	}
	repeated := list.Index == c.index && kind == decide.Delta
	c.index = list.Index
	if !repeated || c.asked {
		c.members(kind, list.Entries)
	}
	return nil
}

// paced sets how long a watch is waited for where discovery is asked, and how long after an answer the next one
// begins: more at once where a call fails, less by steps where it is answered. A watch whose connection dies without a
// word is blind until it is given up, and all instances' are at once where discovery's machine goes: so that comes
// soon, before the wait is over that discovery was told (past that its news count as told), and spread over half to
// one and a half of itself, or they would all ask again together. But a short wait of each, or a watch of each anew
// after each of many changes, is more than a discovery that serves them all has room for: it turns some away, and those
// are the last to learn of a drain. It could hurt where discovery fails for one instance alone: that one learns of
// changes up to 4.5 s later.
func (c *Client) paced(prompt bool) {
	if !c.asked { // an agent's calls cost nothing, and its watch must not lapse
		return
	}
	if prompt {
		c.wait = max(c.wait*7/8, leastWait)
		if c.gap = c.gap * 2 / 3; c.gap < leastGap {
			c.gap = 0
		}
		return
	}
	c.wait = min(c.wait*2, mostWait)
	c.gap = min(max(c.gap*2, leastGap), mostGap)
}

func (c *Client) get(ctx context.Context, url string) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return List{}, err
	}
	if len(text) > maxList {
		return List{}, fmt.Errorf("a list of over %d bytes", maxList)
	}
	return ParseList(text)
}
