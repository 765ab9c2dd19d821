// Package partition decides how many instances of a fleet there are for the sharing of endpoints and rates, and which of them
// this one is. It does no I/O and has no clock.
//
// In doubt there are more: what an instance takes for its own part must not grow while another one may still take its
// part too. So one that joins counts at once, one that leaves in so many words counts no more at once, and one that is
// lost counts on for a time, and after that for as long as this instance does not see most of those that count: it may
// be the one that was cut off.
package partition

import (
	"slices"
	"time"
)

// State is what is known of a member.
type State uint8

// The states.
const (
	Alive State = iota
	Dead        // lost without a word
	Left
)

func (s State) String() string { return [...]string{"alive", "dead", "left"}[s] }

// Tracker follows the members of a fleet. It is not safe for concurrent use.
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

// New returns a tracker for an instance that is alone. A lost member counts on for hold at the least; of members that were
// lost at most so many are remembered.
func New(me string, hold time.Duration, most int) *Tracker {
	return &Tracker{self: me, hold: hold, maxMembers: most, members: map[string]*member{me: {}}}
}

// Update takes what is known of a member now.
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

// Partition returns how many instances count now, and this one's place among them, from 0. Next is when that can change by
// time alone; zero: never.
func (t *Tracker) Partition(now time.Time) (n, place int, next time.Time) {
	alive := 0
	for _, m := range t.members {
		if m.state == Alive {
			alive++
		}
	}
	if 2*alive > len(t.members) {
		for name, m := range t.members {
			if m.state == Alive {
				continue
			}
			over := m.lostAt.Add(t.hold)
			if !now.Before(over) {
				delete(t.members, name)
			} else if next.IsZero() || over.Before(next) {
				next = over
			}
		}
	}
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	slices.Sort(names)
	place, _ = slices.BinarySearch(names, t.self)
	return len(names), place, next
}
