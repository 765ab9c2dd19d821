package cache

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// SavedResource is a current resource, as the state file holds it.
type SavedResource struct {
	Kind       ads.Kind  `codec:"Kind"`
	Version    string    `codec:"Version"`
	Raw        []byte    `codec:"Raw"`
	Source     string    `codec:"From"`
	ReceivedAt time.Time `codec:"Heard"`
}

// Snapshot returns all current resources that are in use, ordered by kind and name.
func (c *Cache) Snapshot() (out []SavedResource) {
	for k := range ads.KindCount {
		inUse := c.subscribed(k)
		for _, name := range slices.Sorted(maps.Keys(c.entries[k])) {
			e := c.entries[k][name]
			if e.isPresent() && inUse[name] && len(e.resource.Raw) > 0 {
				out = append(out, SavedResource{k, e.resource.Version, e.resource.Raw, e.source, e.receivedAt})
			}
		}
	}
	return out
}

// Restore makes a resource current that was saved before a restart. The resource keeps its age, and any update that a control plane
// sends replaces it. Restore must be called before any stream starts.
func (c *Cache) Restore(saved SavedResource, resource Resource) {
	e := c.entry(saved.Kind, resource.Name)
	if e == nil {
		return
	}
	resource.Version = saved.Version
	c.order.Receive(saved.ReceivedAt, updateorder.Stream(0), updateOf(saved.Kind, resource))
	c.accept(saved.ReceivedAt, saved.Kind, e, resource, saved.Source+", from the file of the last state")
}
