// Package admission decides which callers' connections a listener takes, which it refuses, and which of those that stand
// idle end so that others get in. It does no I/O and has no clock: its host tells it what happens and when.
//
// A connection counts for its source, an address or a prefix of them, and each source is of one group: one that the
// policy names by networks or certificates, or that of all others. Groups may have places that nobody else takes. What
// is left is common: while there is room everyone has it; when there is none, the source that holds most gives way first,
// by its connections that carry no request. One that carries a request is never ended.
package admission

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"
)

// Policy is what a listener grants. Group 0 is that of all who are of no other. The reserves fit into the places.
type Policy struct {
	Capacity int // connections at most
	Groups   []Group
	// Bits of an address that make its source: hosts of one IPv6 network have as many addresses as they like.
	IPv4Bits, IPv6Bits int
	// FreeFactor bounds what one source holds to so many times the common places that are free, by its weight, so that the first
	// connections of others find one (dynamic thresholds: Choudhury and Hahne, 1998); 0: no bound.
	FreeFactor float64
	// IdleProtection is for how long an idle connection is safe from newcomers whose source holds more than its own.
	IdleProtection time.Duration
	// RequestGrace is for how long a new connection may bring no request before it counts as idle.
	RequestGrace time.Duration
	// MaxWait is for how long a newcomer whose source holds nothing may wait in line for a place; 0: not at all.
	MaxWait time.Duration
	// MaxWaiting bounds how many wait in line.
	MaxWaiting int
	// BlockWhenFull has newcomers wait for a place; without it they are refused at once.
	BlockWhenFull bool
}

// Group is a kind of callers.
type Group struct {
	Name string
	// Networks and Names (of certificates: "host.example", or "*.example" for what ends so) say who is of the group. The
	// longest network counts, then the first name.
	Networks         []netip.Prefix
	CertificateNames []string
	Reserve          int     // places that nobody else takes
	MaxConns         int     // places; 0: no bound but the listener's
	MaxPerSource     int     // places of one source; 0: no bound
	Rate             float64 // new connections a second of one source; 0: no bound
	Burst            int
	Weight           float64 // a source of weight 50 gives way like fifty; 0: 1
	Deny             bool
}

func (g *Group) weight() float64 {
	if g.Weight > 0 {
		return g.Weight
	}
	return 1
}

// SingleGroup is a policy without groups: places for all, for which newcomers wait.
func SingleGroup(places int) Policy {
	return Policy{Capacity: places, Groups: []Group{{Name: Others}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: defaultRequestGrace, BlockWhenFull: true}
}

// Others names the group of all who are of no other.
const Others = "others"

// defaultRequestGrace is how long a connection that has brought no request yet is left alone where room is short.
const defaultRequestGrace = 300 * time.Millisecond

// groupIndex finds an address's group. It never changes.
type groupIndex struct {
	networks bart.Table[int]
	patterns []namePattern
}

type namePattern struct {
	text  string // lower case; with a dot in front where it is a suffix
	group int
}

func newGroupIndex(groups []Group) *groupIndex {
	m := &groupIndex{}
	for i, g := range groups {
		for _, n := range g.Networks {
			m.networks.Insert(n.Masked(), i)
		}
		for _, n := range g.CertificateNames {
			m.patterns = append(m.patterns, namePattern{strings.ToLower(strings.TrimPrefix(n, "*")), i})
		}
	}
	return m
}

// ofAddress returns the group of an address, 0 where no network holds it.
func (m *groupIndex) ofAddress(a netip.Addr) int {
	if g, ok := m.networks.Lookup(a.Unmap().WithZone("")); ok {
		return g
	}
	return 0
}

// ofNames returns the first group that has one of a certificate's names.
func (m *groupIndex) ofNames(names []string) (group int, ok bool) {
	for _, n := range m.patterns {
		if slices.ContainsFunc(names, func(is string) bool {
			is = strings.ToLower(is)
			if n.text[0] == '.' {
				return len(is) > len(n.text) && strings.HasSuffix(is, n.text)
			}
			return is == n.text
		}) {
			return n.group, true
		}
	}
	return 0, false
}

// groupOf returns the group of an address, or that of a certificate's names, which count more; named tells that they did.
func (ctl *Controller) groupOf(a netip.Addr, names []string) (g *group, named bool) {
	n, named := ctl.groupIndex.ofNames(names)
	if !named {
		n = ctl.groupIndex.ofAddress(a)
	}
	return ctl.groups[n], named
}

// Reason says why a connection was refused.
type Reason uint8

// The reasons.
const (
	Denied       Reason = iota // its group is kept out
	RateExceeded               // its source opens connections faster than its rate
	SourceFull                 // its source holds as many as it may
	GroupFull                  // its group holds as many as it may
	ListenerFull               // no place that it could have
	Unidentified               // it was let in to show a certificate and is of no group with room
	reasons
)

func (r Reason) String() string {
	return [...]string{"denied", "too fast", "too many of one source", "group full", "listener full", "not known by its certificate"}[r]
}
