package cache

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// ResourceStatus is what is told of a resource.
type ResourceStatus struct {
	Kind       string    `json:"kind"`
	Name       string    `json:"name"`
	Version    string    `json:"version,omitempty"` // in force
	Source     string    `json:"from,omitempty"`
	ReceivedAt time.Time `json:"heard,omitzero"`
	State      string    `json:"state"`
	// Of the last word that was turned away:
	RejectionReason string    `json:"fault,omitempty"`
	RejectedVersion string    `json:"fault_version,omitempty"`
	RejectedAt      time.Time `json:"fault_at,omitzero"`
	DeferredVersion string    `json:"held,omitempty"` // version of what is held off
	Endpoints       int       `json:"endpoints,omitempty"`
	InUse           bool      `json:"used"`
}

// Dump is what is known of the control planes and of what they have said.
type Dump struct {
	ControlPlanes []ControlPlaneStatus `json:"planes"`
	Resources     []ResourceStatus     `json:"resources"`
	Files         []FileStatus         `json:"files,omitempty"`
}

// ControlPlaneStatus is how a control plane stands.
type ControlPlaneStatus struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Active bool   `json:"listened"`
}

// FileStatus is how a file of endpoint sets stands.
type FileStatus struct {
	Path   string    `json:"path"`
	Sets   int       `json:"sets"`
	ReadAt time.Time `json:"heard,omitzero"`
	Error  string    `json:"fault,omitempty"`
}

// Status tells of all resources, clusters first.
func (s *Cache) Status() (out []ResourceStatus) {
	for k := range ads.KindCount {
		wanted := s.subscribed(k)
		for _, n := range slices.Sorted(maps.Keys(s.entries[k])) {
			e := s.entries[k][n]
			l := ResourceStatus{Kind: k.String(), Name: n, Version: e.resource.Version, Source: e.source, ReceivedAt: e.receivedAt, RejectionReason: e.rejection.Reason,
				RejectedVersion: e.rejection.Version, RejectedAt: e.rejectedAt, InUse: wanted[n]}
			switch {
			case e.isPresent() && e.rejection.Reason != "":
				l.State = "turned away, the one before in force"
			case e.isPresent():
				l.State = "in force"
			case e.rejection.Reason != "":
				l.State = "missing"
			case !e.requestedAt.IsZero():
				l.State = "asked for"
			default:
				l.State = "removed"
			}
			if e.deferred != nil {
				l.DeferredVersion = cmp.Or(e.deferred.Version, "one without a version")
			}
			if l.RejectionReason == "" {
				l.RejectedAt = time.Time{}
			}
			if set := e.resource.Set; set != nil {
				for _, at := range set.Localities {
					l.Endpoints += len(at.Endpoints)
				}
			}
			out = append(out, l)
		}
	}
	return out
}

// SavedResource is a resource in force, for a restart.
type SavedResource struct {
	Kind       ads.Kind  `codec:"Kind"`
	Version    string    `codec:"Version"`
	Raw        []byte    `codec:"Raw"`
	Source     string    `codec:"From"`
	ReceivedAt time.Time `codec:"Heard"`
}

// Snapshot returns all that is in force and in use, in a stable order.
func (s *Cache) Snapshot() (out []SavedResource) {
	for k := range ads.KindCount {
		wanted := s.subscribed(k)
		for _, n := range slices.Sorted(maps.Keys(s.entries[k])) {
			if e := s.entries[k][n]; e.isPresent() && wanted[n] && len(e.resource.Raw) > 0 {
				out = append(out, SavedResource{k, e.resource.Version, e.resource.Raw, e.source, e.receivedAt})
			}
		}
	}
	return out
}

// Restore takes what was in force before a restart, as cached knowledge: it is as old as it is, and gives way to whatever a
// server says. It must come before any stream.
func (s *Cache) Restore(saved SavedResource, i Resource) {
	e := s.entry(saved.Kind, i.Name)
	if e == nil {
		return
	}
	i.Version = saved.Version
	s.order.Receive(saved.ReceivedAt, updateorder.Stream(0), updateOf(saved.Kind, i))
	s.accept(saved.ReceivedAt, saved.Kind, e, i, saved.Source+", from the file of the last state")
}
