// Package cache holds the resources that control planes sent, decides which of them are current, and assigns a cluster's traffic
// to its endpoints. It reads no clock and does no I/O.
//
// Package updateorder decides which of two updates is newer. This package joins clusters to their endpoint sets, in
// whichever order they arrive. It keeps a deferred update until updateorder applies or drops it. It keeps the last valid resource
// when an update is rejected, and reports the control plane that sent each resource.
package cache

import (
	"iter"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Limits of a cache.
const (
	MaxResources = 10_000 // per kind; further resources are rejected
	MaxEndpoints = 10_000 // per endpoint set
)

// Options configure a cache.
type Options struct {
	DeferTime       time.Duration // how long an outdated update is deferred, see package updateorder
	ResourceTimeout time.Duration // a requested resource that does not arrive within it is reported as missing
	Wildcard        bool          // all clusters are subscribed to, even if not in use
}

// entry is the state of a resource.
type entry struct {
	resource    Resource    // the current resource; absent if it has neither a cluster nor a set
	source      string      // the control plane that last sent or confirmed the current resource
	receivedAt  time.Time   // when the current resource was last received or confirmed
	requestedAt time.Time   // when the wait for a response began; zero if a response arrived or timed out, or without a subscription
	unusedSince time.Time   // when the subscription ended; zero if subscribed
	candidates  []candidate // updates that may be newer than the current resource, in the order of updateorder.Candidates
	rejection   Rejection   // of the last rejected update; cleared by the next valid one
	rejectedAt  time.Time
}

// candidate is an update that updateorder has deferred.
type candidate struct {
	resource Resource
	source   string // the control plane that sent it
}

// isPresent reports whether the entry has a current resource.
func (e *entry) isPresent() bool { return e.resource.Cluster != nil || e.resource.Set != nil }

// isPending reports whether the resource is absent and a response to its subscription is awaited.
func (e *entry) isPending() bool { return !e.isPresent() && !e.requestedAt.IsZero() }

// isRemoved reports whether a control plane has removed the resource, even if an outdated update of the resource is deferred.
func (e *entry) isRemoved() bool {
	return !e.isPresent() && !e.receivedAt.IsZero() && e.rejection.Reason == ""
}

// staleAfter returns the age at which an endpoint set is stale; zero if it never becomes stale.
func (e *entry) staleAfter() time.Duration {
	if e.resource.Set == nil {
		return 0
	}
	return e.resource.Set.StaleAfter
}

// Cache holds the resources. It is not safe for concurrent use.
type Cache struct {
	options Options
	order   *updateorder.Orderer
	entries [ads.KindCount]map[string]*entry
	inUse   map[string]bool               // clusters in use, by name
	changed map[string]bool               // clusters whose view may have changed since TakeChanged
	streams map[updateorder.Stream]string // active streams, with the names of their control planes
}

// New returns an empty cache.
func New(o Options) *Cache {
	c := &Cache{
		options: o,
		order:   updateorder.New(o.DeferTime),
		inUse:   map[string]bool{},
		changed: map[string]bool{},
		streams: map[updateorder.Stream]string{},
	}
	for k := range c.entries {
		c.entries[k] = map[string]*entry{}
	}
	return c
}

// StreamStarted records that a stream to a control plane is active from now on. It restarts the resource timeout of all awaited
// resources.
func (c *Cache) StreamStarted(now time.Time, stream updateorder.Stream, controlPlane string) {
	c.streams[stream] = controlPlane
	for _, entries := range c.entries {
		for _, e := range entries {
			if !e.requestedAt.IsZero() { // restart the resource timeout
				e.requestedAt = now
			}
		}
	}
}

// StreamEnded records that a stream has ended or is no longer active. Its deferred updates stay candidates, and are not applied when
// their time is over.
func (c *Cache) StreamEnded(stream updateorder.Stream) {
	c.order.EndStream(stream)
	delete(c.streams, stream)
}

// entry returns the state of a resource and creates it if needed. It returns nil if the kind already has MaxResources entries.
func (c *Cache) entry(k ads.Kind, name string) *entry {
	e := c.entries[k][name]
	if e == nil {
		if len(c.entries[k]) >= MaxResources {
			return nil
		}
		e = &entry{}
		c.entries[k][name] = e
	}
	return e
}

// cluster returns the current cluster of a name, or nil.
func (c *Cache) cluster(name string) *Cluster {
	e := c.entries[ads.Clusters][name]
	if e == nil {
		return nil
	}
	return e.resource.Cluster
}

// clusters returns the current cluster of a name with its candidates; none if there is no current one.
func (c *Cache) clusters(name string) iter.Seq[*Cluster] {
	return func(yield func(*Cluster) bool) {
		current := c.cluster(name)
		if current == nil || !yield(current) {
			return
		}
		for _, held := range c.entries[ads.Clusters][name].candidates {
			if held.resource.Cluster != nil && !yield(held.resource.Cluster) {
				return
			}
		}
	}
}

// Advance applies deferred updates that are due, reports resources that did not arrive within the resource timeout as missing, marks
// clusters with a stale endpoint set as changed, and deletes resources that have been unused for the retention time.
func (c *Cache) Advance(now time.Time) {
	c.applyDeferred(now)
	c.updateSubscriptions(now)
	for k := range ads.KindCount {
		for name, e := range c.entries[k] {
			if !e.requestedAt.IsZero() && now.Sub(e.requestedAt) >= c.options.ResourceTimeout && len(c.streams) > 0 {
				e.requestedAt = time.Time{}
				e.rejection = Rejection{Name: name, Reason: "asked for, and did not come"}
				e.rejectedAt = now
				c.markChanged(k, name)
			}
			if after := e.staleAfter(); after > 0 && now.Sub(e.receivedAt) >= after {
				c.markChanged(k, name)
			}
		}
	}
}

// NextDeadline returns the time at which Advance must be called next; zero if not before the next update.
func (c *Cache) NextDeadline(now time.Time) (next time.Time) {
	next = c.order.NextDue()
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for k := range c.entries {
		for _, e := range c.entries[k] {
			if !e.requestedAt.IsZero() && len(c.streams) > 0 {
				consider(e.requestedAt.Add(c.options.ResourceTimeout))
			}
			if after := e.staleAfter(); after > 0 {
				consider(e.receivedAt.Add(after))
			}
			if !e.unusedSince.IsZero() {
				consider(e.unusedSince.Add(unusedRetention))
			}
		}
	}
	return next
}
