// Package versionlag determines which members of a fleet apply versions that the others have replaced, and for how long. It
// does no I/O and reads no clock. A Detector belongs to one host, which serialises all calls.
//
// The package never decides by majority alone. Which version is the newest follows from the versions themselves. If at least
// half of the members have not adopted the newest version in time, the members that have it are flagged as ahead, and no
// member counts as lagging. Two versions that replaced the same version are forked: neither is newer, whatever the number of
// members that apply it.
package versionlag

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"silvertrail/internal/fleet/version"
)

// State is the state of a member for one entry, or its worst state for any entry.
type State uint8

// The states, from the best to the worst.
const (
	Current      State = iota
	Updating           // lagging or divergent, for no longer than the rollout timeout
	Ahead              // it has the newest version, which at least half of the members have not adopted in time
	Divergent          // it has another version, and it is not known which version is newer
	Lagging            // it has an older version
	NotReporting       // it has reported no versions, or its report is too old
	Forked             // it has a version that replaced the same version as another member's did
)

var stateNames = [...]string{"in step", "taking up", "ahead", "differs", "behind", "silent", "forked"}

func (s State) String() string { return stateNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("versionlag: unknown state %q", text)
	}
	*s = State(i)
	return nil
}

// Limits are the time limits of a Detector.
type Limits struct {
	RolloutTimeout time.Duration // how long a member may take to adopt a version
	MaxAge         time.Duration // maximum age of a member's report; beyond it the member is NotReporting
}

// Member is the latest known report of a member of the view.
type Member struct {
	Name       string
	Vector     version.Vector // nil: the member has reported nothing
	VectorHash version.Hash
	Age        time.Duration // time since the member confirmed the vector
}

// Finding describes an entry for which a member is not current.
type Finding struct {
	Kind           version.Kind  `json:"kind"`
	Name           string        `json:"name,omitempty"`
	State          State         `json:"state"`
	Has            version.Entry `json:"has"`
	Expected       version.Entry `json:"want"`
	VersionsBehind int           `json:"behind,omitempty"`
	Duration       time.Duration `json:"for"` // duration of the finding up to the member's last report
}

// Status is the state of a member.
type Status struct {
	Member     string         `json:"member"`
	State      State          `json:"state"`
	Age        time.Duration  `json:"age"` // age of the member's report
	VectorHash version.Hash   `json:"digest"`
	Vector     version.Vector `json:"vector,omitempty"`
	Findings   []Finding      `json:"findings,omitempty"`
}

// entryKey identifies an entry of a vector.
type entryKey struct {
	kind version.Kind
	name string
}

// findingKey identifies a finding: a member that applies one version of an entry where another version is expected.
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

// Detector evaluates the versions of all members, and remembers since when it has made each finding. It is not safe for
// concurrent use.
type Detector struct {
	limits       Limits
	findingSince map[findingKey]time.Duration
	newestSince  map[newestKey]time.Duration
}

// New returns a Detector without any findings to remember.
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
