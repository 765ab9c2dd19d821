package cache

import (
	"maps"
	"slices"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// SavedState is what the state file holds.
type SavedState struct {
	Resources []SavedResource `codec:"Resources"`
	Histories []SavedHistory  `codec:"Histories"`
}

// SavedResource is a current resource, as the state file holds it.
type SavedResource struct {
	Kind       ads.Kind  `codec:"Kind"`
	Version    string    `codec:"Version"`
	Raw        []byte    `codec:"Raw"`
	Source     string    `codec:"From"`
	ReceivedAt time.Time `codec:"Heard"`
}

// SavedHistory is the update order of a resource that was replaced or removed, or that has candidates. Without it, an older state would count
// as new after a restart.
type SavedHistory struct {
	Kind       ads.Kind       `codec:"Kind"`
	Name       string         `codec:"Name"`
	RemovedAt  time.Time      `codec:"RemovedAt"` // zero unless the resource is removed
	Reinstated bool           `codec:"Reinstated"`
	Replaced   []SavedContent `codec:"Replaced"`
	Candidates []SavedContent `codec:"Candidates"`
}

// SavedContent is a content that was current or may become current.
type SavedContent struct {
	Version string `codec:"Version"`
	Digest  []byte `codec:"Digest"`
	Raw     []byte `codec:"Raw"`  // of a candidate; empty if it removes the resource
	Source  string `codec:"From"` // of a candidate
}

// Snapshot returns all current resources that are in use with their histories, ordered by kind and name.
func (c *Cache) Snapshot() (out SavedState) {
	for k := range ads.KindCount {
		inUse := c.subscribed(k)
		for _, name := range slices.Sorted(maps.Keys(c.entries[k])) {
			e := c.entries[k][name]
			isSavable := e.isPresent() && len(e.resource.Raw) > 0
			if !inUse[name] || !isSavable && !e.isRemoved() {
				continue
			}
			if isSavable {
				out.Resources = append(out.Resources, SavedResource{k, e.resource.Version, e.resource.Raw, e.source, e.receivedAt})
			}
			if history := c.savedHistory(k, name, e); len(history.Replaced)+len(history.Candidates) > 0 {
				out.Histories = append(out.Histories, history)
			}
		}
	}
	return out
}

// savedHistory returns the history of a resource.
func (c *Cache) savedHistory(k ads.Kind, name string, e *entry) SavedHistory {
	history := c.order.History(resourcePrefix(k) + name)
	out := SavedHistory{Kind: k, Name: name, Reinstated: history.Reinstated}
	if e.isRemoved() {
		out.RemovedAt = e.receivedAt
	}
	for _, content := range history.Replaced {
		out.Replaced = append(out.Replaced, SavedContent{Version: content.Version, Digest: content.Digest[:]})
	}
	for _, held := range e.candidates {
		digest := held.resource.Digest
		out.Candidates = append(out.Candidates, SavedContent{held.resource.Version, digest[:], held.resource.Raw, held.source})
	}
	return out
}

// restoredSource is added to the control plane's name for a resource from the state file.
const restoredSource = ", from the file of the last state"

// Restore makes a resource current that was saved before a restart. The resource keeps its age, and any update that a control plane
// sends replaces it, unless RestoreHistory says that the update is older. Restore must be called before any stream starts.
func (c *Cache) Restore(saved SavedResource, resource Resource) {
	e := c.entry(saved.Kind, resource.Name)
	if e == nil {
		return
	}
	resource.Version = saved.Version
	c.order.Receive(saved.ReceivedAt, updateorder.Stream(0), updateOf(saved.Kind, resource))
	c.accept(saved.ReceivedAt, saved.Kind, e, resource, saved.Source+restoredSource)
}

// RestoreHistory restores the history of a resource, with its candidates as they were decoded. It must be called after Restore and before any
// stream starts. It does nothing for a resource that was neither restored nor removed. A removed resource counts as not received yet.
func (c *Cache) RestoreHistory(saved SavedHistory, candidates []Resource) {
	e := c.entries[saved.Kind][saved.Name]
	if e == nil && saved.RemovedAt.IsZero() {
		return
	}
	history := updateorder.History{Reinstated: saved.Reinstated}
	for _, content := range saved.Replaced {
		if len(content.Digest) == len(updateorder.Digest{}) {
			history.Replaced = append(history.Replaced, updateorder.Content{Version: content.Version, Digest: updateorder.Digest(content.Digest)})
		}
	}
	for i, resource := range candidates {
		history.Candidates = append(history.Candidates, updateorder.Content{Version: resource.Version, Digest: resource.Digest})
		if e != nil {
			e.candidates = append(e.candidates, candidate{resource, saved.Candidates[i].Source + restoredSource})
		}
	}
	current := updateorder.Content{Digest: updateorder.Absent}
	if e != nil {
		current = updateorder.Content{Version: e.resource.Version, Digest: e.resource.Digest}
	}
	c.order.Restore(resourcePrefix(saved.Kind)+saved.Name, current, history)
}
