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
	"silvertrail/internal/xds/known"
	"silvertrail/internal/xds/planes"
)

// Client follows control planes. All its methods may be called from any goroutine.
type Client struct {
	log *slog.Logger

	mu        sync.Mutex
	o         planes.Options
	store     *known.Cache
	order     *planes.Selector
	conns     []*conn                // by plane; nil: not connected to
	streams   updateorder.Stream     // that there have been
	followers map[string][]*follower // by cluster
	files     map[string]*setFile    // that hold endpoint sets
	timer     *time.Timer
	warned    map[string]bool // what was logged once and is not again
	using     bool            // the clusters in use are about to be told
	turn      int             // of the planes; what those of an earlier one still say is passed over
	ended     bool
	saver     *saver
	stop      context.CancelFunc
	ctx       context.Context
	wait      sync.WaitGroup
}

// follower is somebody who follows a cluster.
type follower struct {
	view known.ClusterView
	told bool
	news chan struct{} // holds a token when there is a view that was not told
}

const mostWarnings = 1000 // different ones that are logged

// Start connects to the control planes for as long as it runs. It waits for nobody.
func Start(o planes.Options, log *slog.Logger) *Client {
	c := &Client{log: log, followers: map[string][]*follower{}, files: map[string]*setFile{}, warned: map[string]bool{},
		store: known.New(known.Options{DeferTime: o.DeferTime, ResourceTimeout: o.ResourceTimeout, Wildcard: o.Wildcard})}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saver = &saver{work: make(chan struct{}, 1)}
	c.wait.Go(func() { c.save(c.saver) })
	if o.StateFile != "" {
		c.restore(o.StateFile)
	}
	c.listen(o)
	return c
}

// listen begins anew with the planes of the options. The caller holds the lock.
func (c *Client) listen(o planes.Options) {
	for _, k := range c.conns {
		if k != nil {
			k.close()
			k.end()
		}
	}
	c.o, c.turn = o, c.turn+1
	c.conns = make([]*conn, len(o.ControlPlanes))
	c.order = planes.New(time.Now(), len(o.ControlPlanes), o.Selection, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if len(c.store.Versions(ads.Clusters)) > 0 {
		c.order.SetCached()
	}
	c.saver.to(o.StateFile)
	c.step()
}

// Update takes other control planes. What is known stands as cached knowledge.
func (c *Client) Update(o planes.Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || reflect.DeepEqual(o, c.o) {
		return
	}
	if o.DeferTime != c.o.DeferTime || o.ResourceTimeout != c.o.ResourceTimeout || o.Wildcard != c.o.Wildcard {
		c.log.Warn("xds: restart needed for \"hold\", \"missing\" and \"all\"")
	}
	c.listen(o)
}

// Close ends all streams. Followers end with their contexts.
func (c *Client) Close() {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.stop()
	for _, k := range c.conns {
		if k != nil {
			k.end()
		}
	}
	for _, f := range c.files {
		f.stop()
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.wait.Wait()
}

// Follow implements cluster.Discovery.
func (c *Client) Follow(ctx context.Context, resource string, say func(known.ClusterView)) {
	f := &follower{news: make(chan struct{}, 1)}
	c.mu.Lock()
	c.followers[resource] = append(c.followers[resource], f)
	c.use()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.followers[resource] = slices.DeleteFunc(c.followers[resource], func(o *follower) bool { return o == f })
		if len(c.followers[resource]) == 0 {
			delete(c.followers, resource)
		}
		c.use()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		c.mu.Lock()
		v := f.view
		c.mu.Unlock()
		say(v)
	}
}

// useIn is how long those who come together have to fall together: a configuration has thousands of clusters.
const useIn = 2 * time.Millisecond

// use has the store told which clusters are in use, soon. The caller holds the lock, as for all that follow.
func (c *Client) use() {
	if c.using {
		return
	}
	c.using = true
	time.AfterFunc(useIn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.using = false
		if c.ended {
			return
		}
		c.store.SetClustersInUse(time.Now(), slices.Collect(maps.Keys(c.followers)))
		for name, of := range c.followers {
			if slices.ContainsFunc(of, func(f *follower) bool { return !f.told }) {
				c.tell(name)
			}
		}
		c.step()
	})
}

// tell has a cluster's followers hear how it stands.
func (c *Client) tell(resource string) {
	of := c.followers[resource]
	if len(of) == 0 {
		return
	}
	v := c.store.View(time.Now(), resource)
	if v.Cluster != nil && v.Cluster.EndpointsFile != "" {
		c.files[v.Cluster.EndpointsFile].complete(&v)
	}
	for _, f := range of {
		f.view, f.told = v, true
		select {
		case f.news <- struct{}{}:
		default: // what was not told yet is passed over: the newest wins
		}
	}
}

// step brings all up to the time: planes are connected to and dropped, subscriptions sent, followers told, the timer set.
func (c *Client) step() {
	if c.ended {
		return
	}
	now := time.Now()
	c.store.Advance(now)
	connect, drop := c.order.Advance(now)
	for _, i := range drop {
		if k := c.conns[i]; k != nil {
			k.close()
			k.end()
			c.conns[i] = nil
			c.log.Info("xds: control plane let go of", "plane", k.plane.Name, "answered", k.up)
		}
	}
	for _, i := range connect {
		c.connect(i)
	}
	c.heed()
	for _, k := range c.conns {
		if k != nil {
			c.subscribe(k)
		}
	}
	c.watch(c.store.EndpointsFiles())
	for _, name := range c.store.TakeChanged() {
		c.tell(name)
	}
	next := c.order.NextDeadline(now)
	if at := c.store.NextDeadline(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
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
			c.step()
		})
	}
}

// subscribe has a connection ask for what is wanted now.
func (c *Client) subscribe(k *conn) {
	if k.plane.File != "" {
		var wanted []string
		for kind := range ads.KindCount {
			wanted = append(wanted, c.store.Subscriptions(kind)...)
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
		w := ads.Subscription{Names: c.store.Subscriptions(kind)}
		if kind == ads.Clusters && c.o.Wildcard {
			w = ads.Subscription{Wildcard: true}
		}
		k.session.Subscribe(kind, w)
	}
	k.wake()
}

// warn logs what is passed over of a resource, each kind of it once.
func (c *Client) warn(text string) {
	c.mu.Lock()
	known := c.warned[text] || len(c.warned) >= mostWarnings
	if !known {
		c.warned[text] = true
	}
	c.mu.Unlock()
	if !known {
		c.log.Warn("xds: " + text)
	}
}
