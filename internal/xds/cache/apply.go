package cache

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// resourcePrefix returns the prefix of a kind's resource names in updateorder, which has one namespace for all kinds.
func resourcePrefix(k ads.Kind) string { return k.String() + "/" }

// updateOf returns a resource as an update for updateorder.
func updateOf(k ads.Kind, r Resource) updateorder.Update {
	return updateorder.Update{Resource: resourcePrefix(k) + r.Name, Version: r.Version, Digest: r.Digest}
}

// Apply applies a response from an active stream. It returns the resources rejected because the cache already holds MaxResources
// resources of the kind.
func (c *Cache) Apply(now time.Time, stream updateorder.Stream, response Response) (rejected []Rejection) {
	named := make(map[string]bool, len(response.Resources)+len(response.Rejections))
	for _, r := range response.Resources {
		named[r.Name] = true
		e := c.entry(response.Kind, r.Name)
		if e == nil {
			rejected = append(rejected, Rejection{r.Name, r.Version, fmt.Sprintf("over %d resources of a kind", MaxResources)})
			continue
		}
		e.rejection = Rejection{}
		c.applyUpdate(now, stream, response.Kind, e, r)
	}
	for _, r := range response.Rejections {
		named[r.Name] = true
		if e := c.entry(response.Kind, r.Name); e != nil {
			e.rejection = r
			e.rejectedAt = now
			e.requestedAt = time.Time{}
			c.markChanged(response.Kind, r.Name)
		}
	}
	for _, name := range c.removedBy(response, named) {
		if e := c.entries[response.Kind][name]; e != nil && !named[name] {
			e.rejection = Rejection{}
			e.requestedAt = time.Time{}
			c.applyUpdate(now, stream, response.Kind, e, Resource{Name: name, Version: response.Version})
		}
	}
	c.updateSubscriptions(now)
	return rejected
}

// removedBy returns the names of the resources that a response removes: those that it lists as removed and, if it is complete,
// those that it does not mention.
func (c *Cache) removedBy(response Response, named map[string]bool) []string {
	removed := response.Removed
	if !response.Complete {
		return removed
	}
	for name, e := range c.entries[response.Kind] {
		if !named[name] && (e.isPresent() || e.rejection.Reason != "" || c.inUse[name]) {
			removed = append(removed, name)
		}
	}
	return removed
}

// applyUpdate applies an update, confirms the current resource or defers the update, as updateorder decides.
func (c *Cache) applyUpdate(now time.Time, stream updateorder.Stream, k ads.Kind, e *entry, r Resource) {
	source := c.streams[stream]
	switch c.order.Receive(now, stream, updateOf(k, r)) {
	case updateorder.Apply:
		c.accept(now, k, e, r, source)
	case updateorder.Unchanged:
		if e.staleAfter() > 0 || e.receivedAt.IsZero() { // a stale set becomes fresh
			c.markChanged(k, r.Name)
		}
		e.receivedAt = now
		e.source = source
		if !e.isPresent() && r.Digest != updateorder.Absent { // the entry was deleted while unused
			c.accept(now, k, e, r, source)
		}
		e.resource.Version = r.Version
	case updateorder.Defer:
		e.requestedAt = time.Time{}
		e.candidates = append(e.candidates, candidate{r, source})
	}
	c.updateCandidates(k, r.Name, e)
}

// updateCandidates drops the updates that are not candidates any more, and earlier copies of those that are. It marks the clusters that
// the change affects.
func (c *Cache) updateCandidates(k ads.Kind, name string, e *entry) {
	if len(e.candidates) == 0 {
		return
	}
	var next []candidate
	for _, digest := range c.order.Candidates(resourcePrefix(k) + name) {
		for _, held := range slices.Backward(e.candidates) {
			if held.resource.Digest == digest {
				next = append(next, held)
				break
			}
		}
	}
	e.candidates = next
	c.markChanged(k, name)
}

// applyDeferred applies the deferred updates that are due.
func (c *Cache) applyDeferred(now time.Time) {
	if due := c.order.NextDue(); due.IsZero() || due.After(now) {
		return
	}
	for _, update := range c.order.ApplyDue(now) {
		for k := range ads.KindCount {
			name, ok := strings.CutPrefix(update.Resource, resourcePrefix(k))
			e := c.entries[k][name]
			if !ok || e == nil {
				continue
			}
			for _, held := range e.candidates {
				if held.resource.Digest == update.Digest {
					c.accept(now, k, e, held.resource, held.source)
					break
				}
			}
			c.updateCandidates(k, name, e)
		}
	}
}

// accept makes r the current resource of the entry.
func (c *Cache) accept(now time.Time, k ads.Kind, e *entry, r Resource, source string) {
	e.resource = r
	e.source = source
	e.receivedAt = now
	e.requestedAt = time.Time{}
	c.markChanged(k, r.Name)
	if k == ads.Clusters {
		c.updateSubscriptions(now)
	}
}

// markChanged marks the clusters in use whose view depends on a resource as changed.
func (c *Cache) markChanged(k ads.Kind, name string) {
	if k == ads.Clusters {
		if c.inUse[name] {
			c.changed[name] = true
		}
		return
	}
	for n := range c.inUse {
		for cluster := range c.clusters(n) {
			if cluster.ServiceName == name {
				c.changed[n] = true
			}
		}
	}
}
