// Package admission decides which client connections a listener admits and rejects, and which idle connections it closes in favour of
// new ones. It does no I/O and has no clock: the caller reports events with their time.
//
// A connection belongs to a source, which is an address or a prefix. Each source belongs to one group. The policy defines groups by
// networks or certificate names; all other clients belong to the default group. A group may have reserved slots. The other slots are
// shared. While some are free, any source may take them. When none is free, idle connections of the source with the highest weighted
// load are closed first. A connection that carries a request is never closed.
package admission

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"
)

// Policy holds the limits of a listener. Groups[0] is the default group, of the clients that match no other group. The sum of the
// reserves must not exceed the capacity.
type Policy struct {
	Capacity int // number of connection slots
	Groups   []Group
	// IPv4Bits and IPv6Bits are the lengths of the address prefixes that identify a source. A host in an IPv6 network may use many
	// addresses.
	IPv4Bits, IPv6Bits int
	// FreeFactor limits the slots of a source, divided by its weight, to this multiple of the free unreserved slots. So the first
	// connections of other sources find a free slot (dynamic thresholds: Choudhury and Hahne, 1998). 0: no limit.
	FreeFactor float64
	// IdleProtection is how long an idle connection cannot be evicted for a new connection of a source with a higher weighted load.
	// Connections that never carried a request are not protected. 0: no protection.
	IdleProtection time.Duration
	// RequestGrace is how long a new connection has for its first request before it counts as idle.
	RequestGrace time.Duration
	// MaxWait is how long a new connection may wait for a slot if its source holds none; 0: not at all.
	MaxWait time.Duration
	// MaxWaiting is the maximum number of connections that wait for a slot.
	MaxWaiting int
	// BlockWhenFull makes new connections wait in the accept queue while the listener is full; without it they are rejected at once.
	BlockWhenFull bool
}

// Group is a group of clients.
type Group struct {
	Name string
	// Networks and CertificateNames ("host.example", or the suffix "*.example") define the members. A matching certificate name takes
	// precedence over networks; if several names match, the first in the order of the groups applies. Of the networks the longest
	// matching prefix applies.
	Networks         []netip.Prefix
	CertificateNames []string
	Reserve          int     // reserved slots
	MaxConns         int     // 0: the listener's capacity
	MaxPerSource     int     // 0: no limit
	Rate             float64 // new connections per second from one source; 0: no limit
	Burst            int     // connections that one source may open at once; less than 1 counts as 1
	Weight           float64 // divides the load of each source; 0 counts as 1
	Deny             bool    // rejects all connections of the group
}

func (g *Group) weight() float64 {
	if g.Weight > 0 {
		return g.Weight
	}
	return 1
}

// SingleGroup returns a policy with one group, in which new connections wait in the accept queue while all slots are in use.
func SingleGroup(capacity int) Policy {
	return Policy{Capacity: capacity, Groups: []Group{{Name: DefaultGroupName}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: defaultRequestGrace, BlockWhenFull: true}
}

// DefaultGroupName is the name of the default group, of the clients that match no other group.
const DefaultGroupName = "others"

// defaultRequestGrace is the RequestGrace of SingleGroup.
const defaultRequestGrace = 300 * time.Millisecond

// groupIndex finds the group of an address or certificate. It is immutable.
type groupIndex struct {
	networks bart.Table[int]
	patterns []namePattern
}

type namePattern struct {
	text  string // lower case; a suffix begins with a dot
	group int
}

func newGroupIndex(groups []Group) *groupIndex {
	index := &groupIndex{}
	for i, g := range groups {
		for _, n := range g.Networks {
			index.networks.Insert(n.Masked(), i)
		}
		for _, n := range g.CertificateNames {
			index.patterns = append(index.patterns, namePattern{strings.ToLower(strings.TrimPrefix(n, "*")), i})
		}
	}
	return index
}

// lookupAddress returns the group of an address, 0 where no network contains it.
func (index *groupIndex) lookupAddress(a netip.Addr) int {
	if g, ok := index.networks.Lookup(a.Unmap().WithZone("")); ok {
		return g
	}
	return 0
}

// lookupNames returns the first group that one of a certificate's names belongs to.
func (index *groupIndex) lookupNames(names []string) (group int, ok bool) {
	for _, pattern := range index.patterns {
		if slices.ContainsFunc(names, func(name string) bool {
			name = strings.ToLower(name)
			if pattern.text[0] == '.' {
				return len(name) > len(pattern.text) && strings.HasSuffix(name, pattern.text)
			}
			return name == pattern.text
		}) {
			return pattern.group, true
		}
	}
	return 0, false
}

// groupOf returns the group that matches a certificate's names, or else the group of the address. byName reports whether a name matched.
func (ctl *Controller) groupOf(a netip.Addr, names []string) (g *group, byName bool) {
	n, byName := ctl.groupIndex.lookupNames(names)
	if !byName {
		n = ctl.groupIndex.lookupAddress(a)
	}
	return ctl.groups[n], byName
}

// Reason says why a connection was rejected.
type Reason uint8

// Reasons for rejecting a connection.
const (
	Denied       Reason = iota // its group is denied
	RateExceeded               // its source exceeds its rate of new connections
	SourceFull                 // its source holds as many slots as it may
	GroupFull                  // its group holds as many slots as it may
	ListenerFull               // no slot is free for it, and no idle connection can be evicted
	Unidentified               // it was admitted only to present a certificate, no group matched, and there was no slot for it
	reasonCount
)

// String returns the reason as the control socket reports it.
func (r Reason) String() string {
	return [...]string{"denied", "too fast", "too many of one source", "group full", "listener full", "not known by its certificate"}[r]
}
