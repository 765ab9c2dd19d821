// Package partition divides the limits of a fleet among its instances: it determines how many instances share them, and which
// of them this one is. It does no I/O and reads no clock. A Tracker belongs to one host, which serialises all calls.
//
// In doubt the number is higher: what an instance uses must not grow while another one may still use its part too. An
// instance that joins counts at once, and one that announces its departure is dropped at once. One that is lost counts for
// some time, and after that for as long as this instance does not reach most of those that count: it may itself be the one
// that was cut off.
package partition

import (
	"slices"
	"time"
)

// State is what is known of an instance.
type State uint8

// The states.
const (
	Alive State = iota
	Dead        // lost without an announcement
	Left
)

func (s State) String() string { return [...]string{"alive", "dead", "left"}[s] }

// Tracker tracks the instances of a fleet. It is not safe for concurrent use.
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

// New returns a Tracker of an instance that is alone. A lost instance counts for at least hold. At most maxMembers instances are
// remembered.
func New(self string, hold time.Duration, maxMembers int) *Tracker {
	return &Tracker{self: self, hold: hold, maxMembers: maxMembers, members: map[string]*member{self: {}}}
}

// Update sets what is known of an instance now.
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

// Partition returns how many instances count now, and the index of this one among them, from 0. It can change at next by time
// alone; zero means that it cannot.
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

// expire drops the lost instances whose hold is over, and returns when the next one is.
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
