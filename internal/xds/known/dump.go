package known

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

// Line is what is told of a resource.
type Line struct {
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version,omitempty"` // in force
	From    string    `json:"from,omitempty"`
	Heard   time.Time `json:"heard,omitzero"`
	State   string    `json:"state"`
	// Of the last word that was turned away:
	Fault        string    `json:"fault,omitempty"`
	FaultVersion string    `json:"fault_version,omitempty"`
	FaultAt      time.Time `json:"fault_at,omitzero"`
	Held         string    `json:"held,omitempty"` // version of what is held off
	Endpoints    int       `json:"endpoints,omitempty"`
	Used         bool      `json:"used"`
}

// Dump is what is known of the control planes and of what they have said.
type Dump struct {
	Planes    []PlaneView `json:"planes"`
	Resources []Line      `json:"resources"`
	Files     []FileView  `json:"files,omitempty"`
}

// PlaneView is how a control plane stands.
type PlaneView struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Listened bool   `json:"listened"`
}

// FileView is how a file of endpoint sets stands.
type FileView struct {
	Path  string    `json:"path"`
	Sets  int       `json:"sets"`
	Heard time.Time `json:"heard,omitzero"`
	Fault string    `json:"fault,omitempty"`
}

// Dump tells of all resources, clusters first.
func (s *Store) Dump() (out []Line) {
	for k := range ads.Kinds {
		wanted := s.wanted(k)
		for _, n := range slices.Sorted(maps.Keys(s.entries[k])) {
			e := s.entries[k][n]
			l := Line{Kind: k.String(), Name: n, Version: e.item.Version, From: e.from, Heard: e.heard, Fault: e.fault.Why,
				FaultVersion: e.fault.Version, FaultAt: e.at, Used: wanted[n]}
			switch {
			case e.there() && e.fault.Why != "":
				l.State = "turned away, the one before in force"
			case e.there():
				l.State = "in force"
			case e.fault.Why != "":
				l.State = "missing"
			case !e.asked.IsZero():
				l.State = "asked for"
			default:
				l.State = "removed"
			}
			if e.held != nil {
				l.Held = cmp.Or(e.held.Version, "one without a version")
			}
			if l.Fault == "" {
				l.FaultAt = time.Time{}
			}
			if set := e.item.Set; set != nil {
				for _, at := range set.Localities {
					l.Endpoints += len(at.Endpoints)
				}
			}
			out = append(out, l)
		}
	}
	return out
}

// Saved is a resource in force, for a restart.
type Saved struct {
	Kind    ads.Kind  `codec:"Kind"`
	Version string    `codec:"Version"`
	Raw     []byte    `codec:"Raw"`
	From    string    `codec:"From"`
	Heard   time.Time `codec:"Heard"`
}

// Save returns all that is in force and in use, in a stable order.
func (s *Store) Save() (out []Saved) {
	for k := range ads.Kinds {
		wanted := s.wanted(k)
		for _, n := range slices.Sorted(maps.Keys(s.entries[k])) {
			if e := s.entries[k][n]; e.there() && wanted[n] && len(e.item.Raw) > 0 {
				out = append(out, Saved{k, e.item.Version, e.item.Raw, e.from, e.heard})
			}
		}
	}
	return out
}

// Restore takes what was in force before a restart, as cached knowledge: it is as old as it is, and gives way to whatever a
// server says. It must come before any stream.
func (s *Store) Restore(saved Saved, i Item) {
	e := s.entry(saved.Kind, i.Name)
	if e == nil {
		return
	}
	i.Version = saved.Version
	s.book.Receive(saved.Heard, updateorder.Stream(0), word(saved.Kind, i))
	s.put(saved.Heard, saved.Kind, e, i, saved.From+", from the file of the last state")
}
