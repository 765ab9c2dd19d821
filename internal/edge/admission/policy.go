// Package admission decides which client connections a listener admits and rejects, and which idle connections it closes in favour of
// new ones. It does no I/O and has no clock: the caller reports events with their time.
//
// A connection belongs to a source, which is an address or a prefix, and each source to one group: one that the policy defines by
// networks or certificate names, or the group of all others. A group may have reserved slots. The other slots are shared: while some
// are free any source may take them; when none is, idle connections of the source with the highest weighted load are closed first. A
// connection that carries a request is never closed.
package admission

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"
)

// Policy holds the limits of a listener. Group 0 is that of clients of no other group. The reserves must fit into the capacity.
type Policy struct {
	Capacity int // most connections
	Groups   []Group
	// IPv4Bits and IPv6Bits are the lengths of the prefix that is a source: a host of an IPv6 network may use many addresses.
	IPv4Bits, IPv6Bits int
	// FreeFactor bounds the slots of a source, by its weight, to this multiple of the free unreserved slots, so that the first
	// connections of other sources find one (dynamic thresholds: Choudhury and Hahne, 1998); 0: no bound.
	FreeFactor float64
	// IdleProtection is how long an idle connection is protected from new connections of sources with a higher load.
	IdleProtection time.Duration
	// RequestGrace is how long a new connection may carry no request before it counts as idle.
	RequestGrace time.Duration
	// MaxWait is how long a new connection of a source without one may wait for a slot; 0: not at all.
	MaxWait time.Duration
	// MaxWaiting bounds the connections that wait.
	MaxWaiting int
	// BlockWhenFull has new connections wait in the accept queue; without it they are rejected at once.
	BlockWhenFull bool
}

// Group is a group of clients.
type Group struct {
	Name string
	// Networks and CertificateNames ("host.example", or the suffix "*.example") define the members. The longest matching network
	// counts; a matching name counts more, the first in order.
	Networks         []netip.Prefix
	CertificateNames []string
	Reserve          int     // reserved slots
	MaxConns         int     // 0: the listener's capacity
	MaxPerSource     int     // 0: no bound
	Rate             float64 // new connections a second of a source; 0: no bound
	Burst            int
	Weight           float64 // divides the load of a source; 0: 1
	Deny             bool
}

func (g *Group) weight() float64 {
	if g.Weight > 0 {
		return g.Weight
	}
	return 1
}

// SingleGroup returns a policy with one group, in which new connections wait in the accept queue while all slots are in use.
func SingleGroup(capacity int) Policy {
	return Policy{Capacity: capacity, Groups: []Group{{Name: Others}}, IPv4Bits: 32, IPv6Bits: 64, RequestGrace: defaultRequestGrace, BlockWhenFull: true}
}

// Others is the name of the group of all clients of no other group.
const Others = "others"

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

// lookupAddress returns the group of an address, 0 where no network contains it.
func (m *groupIndex) lookupAddress(a netip.Addr) int {
	if g, ok := m.networks.Lookup(a.Unmap().WithZone("")); ok {
		return g
	}
	return 0
}

// lookupNames returns the first group that one of a certificate's names belongs to.
func (m *groupIndex) lookupNames(names []string) (group int, ok bool) {
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

// groupOf returns the group of a certificate's names, or else of the address; byName reports the first case.
func (ctl *Controller) groupOf(a netip.Addr, names []string) (g *group, byName bool) {
	n, byName := ctl.groupIndex.lookupNames(names)
	if !byName {
		n = ctl.groupIndex.lookupAddress(a)
	}
	return ctl.groups[n], byName
}

// Reason says why a connection was rejected.
type Reason uint8

// The reasonCount.
const (
	Denied       Reason = iota // its group is denied
	RateExceeded               // its source exceeds its rate of new connections
	SourceFull                 // its source holds as many slots as it may
	GroupFull                  // its group holds as many slots as it may
	ListenerFull               // there is no slot that it may take
	Unidentified               // it was admitted to present a certificate, and belongs to no group with a free slot
	reasonCount
)

// String returns the reason in the words of the control socket.
func (r Reason) String() string {
	return [...]string{"denied", "too fast", "too many of one source", "group full", "listener full", "not known by its certificate"}[r]
}
