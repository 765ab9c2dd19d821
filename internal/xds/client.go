// Package xds receives clusters and endpoints from control planes, over gRPC and from files.
//
// It connects three packages to sockets, files and the clock: ads (the protocol of a stream), selection (which control plane is active)
// and cache (which resources are in force). Those packages make the decisions. docs/XDS.md states the rules.
//
// A Client owns two goroutines for each connected control plane: one receives and one sends on its stream. A control plane that is a
// file has one goroutine, as has each watched endpoints file. One more goroutine writes the state file. Close waits for all of them.
package xds

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/internal/xds/cache"
	"silvertrail/internal/xds/selection"
)

// Client follows control planes. All its methods may be called from any goroutine.
type Client struct {
	log         *slog.Logger
	stateWriter *stateWriter
	ctx         context.Context
	stop        context.CancelFunc
	tasks       sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	options      bootstrap.Options
	cache        *cache.Cache
	selector     *selection.Selector
	conns        []*conn            // by index of the control plane; nil: not connected
	streamCount  updateorder.Stream // number of streams that have been active; the latest stream's ID
	followers    map[string][]*follower
	files        map[string]*endpointsFile // by path
	timer        *time.Timer
	warned       map[string]bool // warning texts already logged
	usagePending bool            // a call of updateUsage is scheduled
	generation   int             // counts changes of the options; the end of a connection of an earlier generation is ignored
	closed       bool
}

// maxWarnings is the maximum number of distinct warnings that are logged.
const maxWarnings = 1000

// Start connects to the control planes until Close. It does not wait for a connection.
func Start(o bootstrap.Options, log *slog.Logger) *Client {
	c := &Client{
		log:         log.With("component", "xds"),
		stateWriter: newStateWriter(),
		followers:   map[string][]*follower{},
		files:       map[string]*endpointsFile{},
		warned:      map[string]bool{},
		cache:       cache.New(cache.Options{DeferTime: o.DeferTime, ResourceTimeout: o.ResourceTimeout, Wildcard: o.Wildcard}),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasks.Go(c.runStateWriter)
	if o.StateFile != "" {
		c.restore(o.StateFile)
	}
	c.useControlPlanes(o)
	return c
}

// useControlPlanes ends all connections and starts selection anew with the control planes of the options. The caller holds the lock.
func (c *Client) useControlPlanes(o bootstrap.Options) {
	for _, k := range c.conns {
		if k != nil {
			k.endStream()
			k.cancelConn()
		}
	}
	c.options = o
	c.generation++
	c.conns = make([]*conn, len(o.ControlPlanes))
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.selector = selection.New(time.Now(), len(o.ControlPlanes), o.Selection, rng)
	if len(c.cache.Versions(ads.Clusters)) > 0 {
		c.selector.SetCached()
	}
	c.stateWriter.setPath(o.StateFile)
	c.advance()
}

// Update replaces the control planes and their settings. Cached resources stay in force.
func (c *Client) Update(o bootstrap.Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || reflect.DeepEqual(o, c.options) {
		return
	}
	if o.DeferTime != c.options.DeferTime || o.ResourceTimeout != c.options.ResourceTimeout || o.Wildcard != c.options.Wildcard {
		c.log.Warn("restart needed for some settings", "settings", []string{"hold", "missing", "all"})
	}
	c.useControlPlanes(o)
}

// Close ends all streams and waits for the client's goroutines. Followers end with their contexts.
func (c *Client) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.stop()
	for _, k := range c.conns {
		if k != nil {
			k.cancelConn()
		}
	}
	for _, f := range c.files {
		f.stop()
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.tasks.Wait()
}

// advance updates connections, subscriptions, watched files, followers and the timer to the current time. The caller holds the lock.
func (c *Client) advance() {
	if c.closed {
		return
	}
	now := time.Now()
	c.cache.Advance(now)
	connect, disconnect := c.selector.Advance(now)
	for _, i := range disconnect {
		c.disconnect(i)
	}
	for _, i := range connect {
		c.connect(i)
	}
	c.activateSelected()
	for _, k := range c.conns {
		if k != nil {
			k.acknowledgeApplied()
			c.subscribe(k)
		}
	}
	c.watchFiles(c.cache.EndpointsFiles())
	changed := c.cache.TakeChanged()
	for _, name := range changed {
		c.notify(name)
	}
	if len(changed) > 0 {
		c.stateWriter.wake()
	}
	c.setTimer(now)
}

// setTimer schedules a call of advance at the next deadline. The caller holds the lock.
func (c *Client) setTimer(now time.Time) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	next := c.selector.NextDeadline(now)
	if at := c.cache.NextDeadline(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if next.IsZero() {
		return
	}
	c.timer = time.AfterFunc(max(time.Until(next), time.Millisecond), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.advance()
	})
}

// subscribe sets the subscriptions of a connection. The caller holds the lock.
func (c *Client) subscribe(k *conn) {
	if k.controlPlane.File != "" {
		var names []string
		for kind := range ads.KindCount {
			names = append(names, c.cache.Subscriptions(kind)...)
		}
		if !slices.Equal(names, k.wanted) { // apply the file again, as its subscriptions have changed
			k.wanted = names
			k.restart = true
			k.wake()
		}
		return
	}
	if k.session == nil {
		return
	}
	for kind := range ads.KindCount {
		wanted := ads.Subscription{Names: c.cache.Subscriptions(kind)}
		if kind == ads.Clusters && c.options.Wildcard {
			wanted = ads.Subscription{Wildcard: true}
		}
		k.session.Subscribe(kind, wanted)
	}
	k.wake()
}

// warn logs a warning about a resource. Each text is logged once, and at most maxWarnings texts in all.
func (c *Client) warn(text string) {
	c.mu.Lock()
	isNew := !c.warned[text] && len(c.warned) < maxWarnings
	if isNew {
		c.warned[text] = true
	}
	c.mu.Unlock()
	if isNew {
		c.log.Warn("unsupported content of a resource", "detail", text)
	}
}
