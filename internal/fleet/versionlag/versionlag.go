// Package versionlag determines which members of a fleet apply versions that the others have replaced, and for how long. It
// does no I/O and reads no clock. A Detector belongs to one host, which serialises all calls.
//
// It never decides by majority alone. Which version is the newest follows from the versions themselves. Where most members
// have not adopted the newest one in time, it is the newest that is flagged, and nobody counts as lagging. Two versions that
// replaced the same one are forked: neither is newer, whatever the number of members that apply it.
package versionlag

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

// State is the state of a member in one entry, or in all: then it is the worst one.
type State uint8

// The states, the worst last.
const (
	Current      State = iota
	Updating           // lagging, for no longer than a rollout may last
	Ahead              // it has the newest version, which most have not adopted in time
	Divergent          // it has another version, and nothing tells which one is newer
	Lagging            // it has an older version
	NotReporting       // it has reported no versions, or not lately
	Forked             // it has a version that replaced the same one as another member's
)

var stateNames = [...]string{"in step", "taking up", "ahead", "differs", "behind", "silent", "forked"}

func (s State) String() string { return stateNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("versionlag: no state %q", text)
	}
	*s = State(i)
	return nil
}

// Limits are the time limits of a Detector.
type Limits struct {
	RolloutTimeout time.Duration // how long a member may take to adopt a version
	MaxAge         time.Duration // of a member's report
}

// Member is what is known of a member of the view.
type Member struct {
	Name       string
	Vector     version.Vector // nil: it has reported nothing
	VectorHash version.Hash
	Age        time.Duration // since the member confirmed the vector
}

// Finding is an entry in which a member is not current.
type Finding struct {
	Kind           version.Kind  `json:"kind"`
	Name           string        `json:"name,omitempty"`
	State          State         `json:"state"`
	Has            version.Entry `json:"has"`
	Expected       version.Entry `json:"want"`
	VersionsBehind int           `json:"behind,omitempty"`
	Duration       time.Duration `json:"for"` // up to the member's last report
}

// Status is the state of a member.
type Status struct {
	Member     string         `json:"member"`
	State      State          `json:"state"`
	Age        time.Duration  `json:"age"` // of its report
	VectorHash version.Hash   `json:"digest"`
	Vector     version.Vector `json:"vector,omitempty"`
	Findings   []Finding      `json:"findings,omitempty"`
}

// entryKey identifies an entry of a vector.
type entryKey struct {
	kind version.Kind
	name string
}

// findingKey identifies a member that applies one version where another is expected.
type findingKey struct {
	member string
	entryKey
	has, expected version.Hash
}

// newestKey identifies the newest version of an entry.
type newestKey struct {
	entryKey
	hash version.Hash
}

// Detector remembers since when each member is in its state. It is not safe for concurrent use.
type Detector struct {
	limits       Limits
	findingSince map[findingKey]time.Duration
	newestSince  map[newestKey]time.Duration
}

// New returns a Detector that has seen nothing.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, findingSince: map[findingKey]time.Duration{}, newestSince: map[newestKey]time.Duration{}}
}

// SetLimits changes the time limits.
func (d *Detector) SetLimits(limits Limits) { d.limits = limits }

// Evaluate returns the status of each member, in the order of the members.
func (d *Detector) Evaluate(now time.Duration, members []Member) []Status {
	e := evaluation{
		Detector:     d,
		now:          now,
		members:      members,
		statuses:     make([]Status, len(members)),
		findingSince: map[findingKey]time.Duration{},
		newestSince:  map[newestKey]time.Duration{},
	}
	for key, holders := range e.holders() {
		e.evaluateEntry(key, holders)
	}
	d.findingSince, d.newestSince = e.findingSince, e.newestSince
	for i := range e.statuses {
		e.statuses[i].summarize()
	}
	return e.statuses
}

// summarize sorts the findings, and sets the state to the worst of them.
func (s *Status) summarize() {
	slices.SortFunc(s.Findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, f := range s.Findings {
		s.State = max(s.State, f.State)
	}
}
