// Package xds takes clusters and endpoints from control planes, over gRPC and from files. It is the host of ads (the protocol
// of a stream), planes (which control plane is listened to) and known (what is in force): it translates between them and
// sockets, files and the clock, and decides nothing. docs/XDS.md tells the rules.
package xds

import (
	"context"
	"log/slog"
	"maps"
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
	log *slog.Logger

	mu           sync.Mutex
	options      bootstrap.Options
	cache        *cache.Cache
	selector     *selection.Selector
	conns        []*conn                   // by plane; nil: not connected to
	streamCount  updateorder.Stream        // that there have been
	followers    map[string][]*follower    // by cluster
	files        map[string]*endpointsFile // that hold endpoint sets
	timer        *time.Timer
	warned       map[string]bool // what was logged once and is not again
	usagePending bool            // the clusters in use are about to be told
	generation   int             // of the planes; what those of an earlier one still say is passed over
	closed       bool
	stateWriter  *stateWriter
	stop         context.CancelFunc
	ctx          context.Context
	tasks        sync.WaitGroup
}

// follower is somebody who follows a cluster.
type follower struct {
	view     cache.ClusterView
	notified bool
	updates  chan struct{} // holds a token when there is a view that was not told
}

const maxWarnings = 1000 // different ones that are logged

// Start connects to the control planes for as long as it runs. It waits for nobody.
func Start(o bootstrap.Options, log *slog.Logger) *Client {
	c := &Client{log: log, followers: map[string][]*follower{}, files: map[string]*endpointsFile{}, warned: map[string]bool{},
		cache: cache.New(cache.Options{DeferTime: o.DeferTime, ResourceTimeout: o.ResourceTimeout, Wildcard: o.Wildcard})}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateWriter = &stateWriter{work: make(chan struct{}, 1)}
	c.tasks.Go(func() { c.runStateWriter(c.stateWriter) })
	if o.StateFile != "" {
		c.restore(o.StateFile)
	}
	c.useControlPlanes(o)
	return c
}

// useControlPlanes begins anew with the planes of the options. The caller holds the lock.
func (c *Client) useControlPlanes(o bootstrap.Options) {
	for _, k := range c.conns {
		if k != nil {
			k.endStream()
			k.cancelConn()
		}
	}
	c.options, c.generation = o, c.generation+1
	c.conns = make([]*conn, len(o.ControlPlanes))
	c.selector = selection.New(time.Now(), len(o.ControlPlanes), o.Selection, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if len(c.cache.Versions(ads.Clusters)) > 0 {
		c.selector.SetCached()
	}
	c.stateWriter.setPath(o.StateFile)
	c.advance()
}

// Update takes other control planes. What is known stands as cached knowledge.
func (c *Client) Update(o bootstrap.Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || reflect.DeepEqual(o, c.options) {
		return
	}
	if o.DeferTime != c.options.DeferTime || o.ResourceTimeout != c.options.ResourceTimeout || o.Wildcard != c.options.Wildcard {
		c.log.Warn("xds: restart needed for \"hold\", \"missing\" and \"all\"")
	}
	c.useControlPlanes(o)
}

// Close ends all streams. Followers end with their contexts.
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

// Follow implements cluster.Discovery.
func (c *Client) Follow(ctx context.Context, resource string, say func(cache.ClusterView)) {
	f := &follower{updates: make(chan struct{}, 1)}
	c.mu.Lock()
	c.followers[resource] = append(c.followers[resource], f)
	c.scheduleUsage()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.followers[resource] = slices.DeleteFunc(c.followers[resource], func(o *follower) bool { return o == f })
		if len(c.followers[resource]) == 0 {
			delete(c.followers, resource)
		}
		c.scheduleUsage()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.updates:
		}
		c.mu.Lock()
		v := f.view
		c.mu.Unlock()
		say(v)
	}
}

// usageDelay is how long those who come together have to fall together: a configuration has thousands of clusters.
const usageDelay = 2 * time.Millisecond

// scheduleUsage has the store told which clusters are in use, soon. The caller holds the lock, as for all that follow.
func (c *Client) scheduleUsage() {
	if c.usagePending {
		return
	}
	c.usagePending = true
	time.AfterFunc(usageDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.usagePending = false
		if c.closed {
			return
		}
		c.cache.SetClustersInUse(time.Now(), slices.Collect(maps.Keys(c.followers)))
		for name, of := range c.followers {
			if slices.ContainsFunc(of, func(f *follower) bool { return !f.notified }) {
				c.notify(name)
			}
		}
		c.advance()
	})
}

// notify has a cluster's followers hear how it stands.
func (c *Client) notify(resource string) {
	of := c.followers[resource]
	if len(of) == 0 {
		return
	}
	v := c.cache.View(time.Now(), resource)
	if v.Cluster != nil && v.Cluster.EndpointsFile != "" {
		c.files[v.Cluster.EndpointsFile].fillIn(&v)
	}
	for _, f := range of {
		f.view, f.notified = v, true
		select {
		case f.updates <- struct{}{}:
		default: // what was not told yet is passed over: the newest wins
		}
	}
}

// advance brings all up to the time: planes are connected to and dropped, subscriptions sent, followers told, the timer set.
func (c *Client) advance() {
	if c.closed {
		return
	}
	now := time.Now()
	c.cache.Advance(now)
	connect, drop := c.selector.Advance(now)
	for _, i := range drop {
		if k := c.conns[i]; k != nil {
			k.endStream()
			k.cancelConn()
			c.conns[i] = nil
			c.log.Info("xds: control plane let go of", "plane", k.controlPlane.Name, "answered", k.up)
		}
	}
	for _, i := range connect {
		c.connect(i)
	}
	c.activateSelected()
	for _, k := range c.conns {
		if k != nil {
			c.subscribe(k)
		}
	}
	c.watchFiles(c.cache.EndpointsFiles())
	for _, name := range c.cache.TakeChanged() {
		c.notify(name)
	}
	next := c.selector.NextDeadline(now)
	if at := c.cache.NextDeadline(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !next.IsZero() {
		c.timer = time.AfterFunc(max(time.Until(next), time.Millisecond), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.advance()
		})
	}
}

// subscribe has a connection ask for what is wanted now.
func (c *Client) subscribe(k *conn) {
	if k.controlPlane.File != "" {
		var wanted []string
		for kind := range ads.KindCount {
			wanted = append(wanted, c.cache.Subscriptions(kind)...)
		}
		if !slices.Equal(wanted, k.wanted) { // the file is to be taken again
			k.wanted, k.restart = wanted, true
			k.wake()
		}
		return
	}
	if k.session == nil {
		return
	}
	for kind := range ads.KindCount {
		w := ads.Subscription{Names: c.cache.Subscriptions(kind)}
		if kind == ads.Clusters && c.options.Wildcard {
			w = ads.Subscription{Wildcard: true}
		}
		k.session.Subscribe(kind, w)
	}
	k.wake()
}

// warn logs what is passed over of a resource, each kind of it once.
func (c *Client) warn(text string) {
	c.mu.Lock()
	known := c.warned[text] || len(c.warned) >= maxWarnings
	if !known {
		c.warned[text] = true
	}
	c.mu.Unlock()
	if !known {
		c.log.Warn("xds: " + text)
	}
}
