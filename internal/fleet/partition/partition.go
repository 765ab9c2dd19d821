// Package partition divides the limits of a fleet among its instances. It determines how many instances share the limits, and
// the index of this instance among them. It does no I/O and reads no clock. A Tracker belongs to one host, which serialises
// all calls.
//
// In doubt the number of instances is too high rather than too low: the share of one instance must not grow while another
// instance may still use its own share. An instance that joins counts immediately. An instance that announces its departure is
// dropped immediately. A lost instance counts for the hold time. It continues to count while this instance does not reach a
// majority of the instances that count, because this instance may itself be the isolated one.
package partition

import (
	"slices"
	"time"
)

// State is the last known state of an instance.
type State uint8

// The states.
const (
	Alive State = iota
	Dead        // lost without announcing its departure
	Left        // has announced its departure
)

func (s State) String() string { return [...]string{"alive", "dead", "left"}[s] }

// Tracker tracks the instances of a fleet that share its limits. It is not safe for concurrent use.
type Tracker struct {
	self       string
	hold       time.Duration
	maxMembers int

	members map[string]*member
}

type member struct {
	state  State
	lostAt time.Time
}

// New returns a Tracker for the instance self, which knows of no other instance. A lost instance counts for at least hold. At
// most maxMembers instances are remembered.
func New(self string, hold time.Duration, maxMembers int) *Tracker {
	return &Tracker{self: self, hold: hold, maxMembers: maxMembers, members: map[string]*member{self: {}}}
}

// Update sets the state of an instance at now.
func (t *Tracker) Update(now time.Time, name string, s State) {
	if name == t.self {
		return
	}
	m := t.members[name]
	switch {
	case s == Left:
		delete(t.members, name)
	case m == nil && s == Alive && len(t.members) < t.maxMembers:
		t.members[name] = &member{}
	case m != nil && m.state != s:
		m.state, m.lostAt = s, now
	}
}

// Partition returns how many instances count at now, and the index of this instance among them, from 0. Without another update
// the result may change at next, or not at all if next is zero.
func (t *Tracker) Partition(now time.Time) (instances, index int, next time.Time) {
	if t.reachesMajority() {
		next = t.expire(now)
	}
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	slices.Sort(names)
	index, _ = slices.BinarySearch(names, t.self)
	return len(names), index, next
}

func (t *Tracker) reachesMajority() bool {
	alive := 0
	for _, m := range t.members {
		if m.state == Alive {
			alive++
		}
	}
	return 2*alive > len(t.members)
}

// expire drops the lost instances whose hold time has passed, and returns when the next hold time ends; zero if none does.
func (t *Tracker) expire(now time.Time) (next time.Time) {
	for name, m := range t.members {
		if m.state == Alive {
			continue
		}
		expires := m.lostAt.Add(t.hold)
		if !now.Before(expires) {
			delete(t.members, name)
		} else if next.IsZero() || expires.Before(next) {
			next = expires
		}
	}
	return next
}
