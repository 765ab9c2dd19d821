// Package cache holds the resources that control planes sent, decides which of them are in force, and assigns a cluster's traffic
// to its endpoints. It has no clock and does no I/O.
//
// Package updateorder decides which of two updates is newer. This package joins clusters to their endpoint sets, whichever comes
// first, defers what updateorder defers, keeps the last good resource when an unusable one comes, and reports the source of each
// resource.
package cache

import (
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Bounds of a cache.
const (
	MaxResources = 10_000 // of each kind; those beyond it are rejected
	MaxEndpoints = 10_000 // of a set
)

// Options configure a cache.
type Options struct {
	DeferTime       time.Duration // for which an older update is deferred, see package updateorder
	ResourceTimeout time.Duration // after which a resource that was requested and did not come does not exist
	Wildcard        bool          // all clusters are subscribed to, in use or not
}

// entry is the state of a resource.
type entry struct {
	resource       Resource // in force; without cluster and set: there is none
	source         string
	receivedAt     time.Time // when it was received last, or confirmed
	requestedAt    time.Time // since when it is awaited; zero: it was received, or is not subscribed to
	unusedSince    time.Time // since when it is not subscribed to; zero: it is
	deferred       *Resource // an older update that was not confirmed yet
	deferredSource string
	rejection      Rejection // of the last update that could not be used, until one can
	rejectedAt     time.Time
}

// isPresent reports whether a resource is in force.
func (e *entry) isPresent() bool { return e.resource.Cluster != nil || e.resource.Set != nil }

// isPending reports whether the resource is awaited.
func (e *entry) isPending() bool { return !e.isPresent() && !e.requestedAt.IsZero() }

// isRemoved reports whether a control plane has removed the resource, also where an older update of it is deferred.
func (e *entry) isRemoved() bool {
	return !e.isPresent() && !e.receivedAt.IsZero() && e.rejection.Reason == ""
}

// staleAfter returns the age at which an endpoint set is stale; zero: never.
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
	inUse   map[string]bool               // clusters
	changed map[string]bool               // clusters whose view may have changed
	streams map[updateorder.Stream]string // the active ones, with their control planes
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

// StreamStarted records that a stream to a control plane is active from now on.
func (c *Cache) StreamStarted(now time.Time, stream updateorder.Stream, controlPlane string) {
	c.streams[stream] = controlPlane
	for _, entries := range c.entries {
		for _, e := range entries {
			if !e.requestedAt.IsZero() { // the resource timeout begins anew
				e.requestedAt = now
			}
		}
	}
}

// StreamEnded records that a stream has ended, or is not active any more.
func (c *Cache) StreamEnded(stream updateorder.Stream) {
	c.order.EndStream(stream)
	delete(c.streams, stream)
	for _, entries := range c.entries {
		for _, e := range entries {
			e.deferred = nil
		}
	}
}

// entry returns the state of a resource, created if needed; nil where there is no capacity for it.
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

// cluster returns a cluster in force, or nil.
func (c *Cache) cluster(name string) *Cluster {
	e := c.entries[ads.Clusters][name]
	if e == nil {
		return nil
	}
	return e.resource.Cluster
}

// Advance brings the cache up to the time: deferred updates that are due, resources that did not come in time, and sets that are
// stale.
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

// NextDeadline returns the time at which Advance has something to do; zero: none until an update comes.
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
