package cache

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silvertrail/internal/xds/ads"
)

// ResourceStatus is the state of a resource, as the control socket reports it.
type ResourceStatus struct {
	Kind       string    `json:"kind"`
	Name       string    `json:"name"`
	Version    string    `json:"version,omitempty"` // of the current resource
	Source     string    `json:"from,omitempty"`    // the control plane that sent it
	ReceivedAt time.Time `json:"heard,omitzero"`
	State      string    `json:"state"`
	// The last rejected update:
	RejectionReason string    `json:"fault,omitempty"`
	RejectedVersion string    `json:"fault_version,omitempty"`
	RejectedAt      time.Time `json:"fault_at,omitzero"`
	DeferredVersion string    `json:"held,omitempty"`
	Endpoints       int       `json:"endpoints,omitempty"`
	InUse           bool      `json:"used"`
}

// Dump is the state of an xDS client, as the control socket reports it.
type Dump struct {
	ControlPlanes []ControlPlaneStatus `json:"planes"`
	Resources     []ResourceStatus     `json:"resources"`
	Files         []FileStatus         `json:"files,omitempty"`
}

// ControlPlaneStatus is the state of the connection to a control plane.
type ControlPlaneStatus struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Active bool   `json:"listened"`
}

// FileStatus is the state of a file that holds endpoint sets.
type FileStatus struct {
	Path   string    `json:"path"`
	Sets   int       `json:"sets"`
	ReadAt time.Time `json:"heard,omitzero"`
	Error  string    `json:"fault,omitempty"`
}

// Status returns the state of all resources, clusters first, ordered by name.
func (c *Cache) Status() (out []ResourceStatus) {
	for k := range ads.KindCount {
		inUse := c.subscribed(k)
		for _, name := range slices.Sorted(maps.Keys(c.entries[k])) {
			status := c.entries[k][name].status()
			status.Kind = k.String()
			status.Name = name
			status.InUse = inUse[name]
			out = append(out, status)
		}
	}
	return out
}

// status returns the state of an entry, without its name and kind.
func (e *entry) status() ResourceStatus {
	status := ResourceStatus{Version: e.resource.Version, Source: e.source, ReceivedAt: e.receivedAt, State: e.state(),
		RejectionReason: e.rejection.Reason, RejectedVersion: e.rejection.Version}
	if e.rejection.Reason != "" {
		status.RejectedAt = e.rejectedAt
	}
	if n := len(e.candidates); n > 0 {
		status.DeferredVersion = cmp.Or(e.candidates[n-1].resource.Version, "one without a version")
	}
	if e.resource.Set != nil {
		status.Endpoints = e.resource.Set.size()
	}
	return status
}

// state returns an entry's state as the control socket reports it.
func (e *entry) state() string {
	switch {
	case e.isPresent() && e.rejection.Reason != "":
		return "turned away, the one before in force"
	case e.isPresent():
		return "in force"
	case e.rejection.Reason != "":
		return "missing"
	case !e.requestedAt.IsZero():
		return "asked for"
	}
	return "removed"
}
