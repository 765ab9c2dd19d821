package cache

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// unusedRetention is how long a resource is kept after its subscription ends. If a resource is subscribed to again at once, as in a
// reload, the control plane may never have seen an unsubscription and would not send the resource again.
const unusedRetention = 30 * time.Second

// SetClustersInUse replaces the set of clusters in use.
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

// updateSubscriptions starts the resource timeout of resources that are subscribed to and not received, and deletes resources that
// have been unused for unusedRetention and have no candidates. The update history of deleted resources stays in updateorder.
func (c *Cache) updateSubscriptions(now time.Time) {
	for k := range ads.KindCount {
		subscribed := c.subscribed(k)
		for name := range subscribed {
			e := c.entry(k, name)
			if e != nil && e.receivedAt.IsZero() && e.requestedAt.IsZero() && len(e.candidates) == 0 && e.rejection.Reason == "" {
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
			case now.Sub(e.unusedSince) >= unusedRetention && !keptByWildcard && len(e.candidates) == 0:
				delete(c.entries[k], name)
			}
		}
	}
}

// subscribed returns the names of a kind that are in use: the clusters in use, or the endpoint sets that control planes send for
// them and for their candidates.
func (c *Cache) subscribed(k ads.Kind) map[string]bool {
	if k == ads.Clusters {
		return c.inUse
	}
	out := map[string]bool{}
	for name := range c.inUse {
		for cluster := range c.clusters(name) {
			if cluster.ServiceName != "" && cluster.EndpointsFile == "" {
				out[cluster.ServiceName] = true
			}
		}
	}
	return out
}

// Subscriptions returns the names of a kind to subscribe to, sorted.
func (c *Cache) Subscriptions(k ads.Kind) []string { return slices.Sorted(maps.Keys(c.subscribed(k))) }

// Versions returns the version of each current resource of a kind that has no candidates, by name. A server would not send a resource again
// whose version it is told, so that nothing would decide on the candidates.
func (c *Cache) Versions(k ads.Kind) map[string]string {
	out := map[string]string{}
	for name, e := range c.entries[k] {
		if e.isPresent() && len(e.candidates) == 0 {
			out[name] = e.resource.Version
		}
	}
	return out
}

// EndpointsFiles returns the paths of the files that hold endpoint sets of clusters in use, sorted.
func (c *Cache) EndpointsFiles() []string {
	out := map[string]bool{}
	for name := range c.inUse {
		if cluster := c.cluster(name); cluster != nil && cluster.EndpointsFile != "" {
			out[cluster.EndpointsFile] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}
