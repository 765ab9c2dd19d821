package cache

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// unusedRetention is how long a resource is kept that is not subscribed to any more. One that is subscribed to again at once, as by
// a reload, may never have been unsubscribed from, and its control plane would not send it again.
const unusedRetention = 30 * time.Second

// SetClustersInUse sets the clusters that are in use from now on.
func (c *Cache) SetClustersInUse(now time.Time, names []string) {
	next := make(map[string]bool, len(names))
	for _, name := range names {
		next[name] = true
		if !c.inUse[name] {
			c.changed[name] = true
		}
	}
	c.inUse = next
	c.updateSubscriptions(now)
}

// updateSubscriptions marks what is subscribed to and has not been received, and deletes what has been unused for the retention.
// The order of its updates is kept.
func (c *Cache) updateSubscriptions(now time.Time) {
	for k := range ads.KindCount {
		subscribed := c.subscribed(k)
		for name := range subscribed {
			e := c.entry(k, name)
			if e != nil && e.receivedAt.IsZero() && e.requestedAt.IsZero() && e.deferred == nil && e.rejection.Reason == "" {
				e.requestedAt = now
			}
		}
		for name, e := range c.entries[k] {
			keptByWildcard := k == ads.Clusters && c.options.Wildcard && e.isPresent()
			switch {
			case subscribed[name]:
				e.unusedSince = time.Time{}
			case e.unusedSince.IsZero():
				e.requestedAt = time.Time{}
				e.unusedSince = now
			case now.Sub(e.unusedSince) >= unusedRetention && !keptByWildcard:
				delete(c.entries[k], name)
			}
		}
	}
}

// subscribed returns the names of a kind that are in use: the clusters, and the endpoint sets that control planes send for them.
func (c *Cache) subscribed(k ads.Kind) map[string]bool {
	if k == ads.Clusters {
		return c.inUse
	}
	out := map[string]bool{}
	for name := range c.inUse {
		if cluster := c.cluster(name); cluster != nil && cluster.ServiceName != "" && cluster.EndpointsFile == "" {
			out[cluster.ServiceName] = true
		}
	}
	return out
}

// Subscriptions returns the names of a kind to subscribe to, in order.
func (c *Cache) Subscriptions(k ads.Kind) []string { return slices.Sorted(maps.Keys(c.subscribed(k))) }

// Versions returns the version of each resource of a kind that is in force.
func (c *Cache) Versions(k ads.Kind) map[string]string {
	out := map[string]string{}
	for name, e := range c.entries[k] {
		if e.isPresent() {
			out[name] = e.resource.Version
		}
	}
	return out
}

// EndpointsFiles returns the files that hold endpoint sets of clusters in use, in order.
func (c *Cache) EndpointsFiles() []string {
	out := map[string]bool{}
	for name := range c.inUse {
		if cluster := c.cluster(name); cluster != nil && cluster.EndpointsFile != "" {
			out[cluster.EndpointsFile] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}
