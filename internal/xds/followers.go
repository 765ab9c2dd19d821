package xds

import (
	"context"
	"maps"
	"slices"
	"time"

	"silvertrail/internal/xds/cache"
)

// follower is the state of one call of Follow.
type follower struct {
	view     cache.ClusterView
	notified bool
	updates  chan struct{} // holds a token while the latest view is not delivered
}

// Follow implements cluster.Discovery. It reports a cluster's views until the context is cancelled. Views that are replaced before their
// delivery are skipped.
func (c *Client) Follow(ctx context.Context, resource string, report func(cache.ClusterView)) {
	f := &follower{updates: make(chan struct{}, 1)}
	c.mu.Lock()
	c.followers[resource] = append(c.followers[resource], f)
	c.scheduleUsage()
	c.mu.Unlock()
	defer c.removeFollower(resource, f)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.updates:
		}
		c.mu.Lock()
		view := f.view
		c.mu.Unlock()
		report(view)
	}
}

func (c *Client) removeFollower(resource string, f *follower) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followers[resource] = slices.DeleteFunc(c.followers[resource], func(o *follower) bool { return o == f })
	if len(c.followers[resource]) == 0 {
		delete(c.followers, resource)
	}
	c.scheduleUsage()
}

// usageDelay is how long changes to the set of clusters in use are batched. A configuration may have thousands of clusters.
const usageDelay = 2 * time.Millisecond

// scheduleUsage schedules a call of updateUsage after usageDelay. The caller holds the lock.
func (c *Client) scheduleUsage() {
	if c.usagePending {
		return
	}
	c.usagePending = true
	time.AfterFunc(usageDelay, c.updateUsage)
}

// updateUsage passes the names of the clusters in use to the cache and notifies new followers.
func (c *Client) updateUsage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usagePending = false
	if c.closed {
		return
	}
	c.cache.SetClustersInUse(time.Now(), slices.Collect(maps.Keys(c.followers)))
	for name, followers := range c.followers {
		if slices.ContainsFunc(followers, func(f *follower) bool { return !f.notified }) {
			c.notify(name)
		}
	}
	c.advance()
}

// notify sends a cluster's view to its followers. The caller holds the lock.
func (c *Client) notify(resource string) {
	followers := c.followers[resource]
	if len(followers) == 0 {
		return
	}
	view := c.cache.View(time.Now(), resource)
	if view.Cluster != nil && view.Cluster.EndpointsFile != "" {
		c.files[view.Cluster.EndpointsFile].fillIn(&view)
	}
	for _, f := range followers {
		f.view = view
		f.notified = true
		select {
		case f.updates <- struct{}{}:
		default: // the previous view was not delivered yet and is replaced
		}
	}
}
