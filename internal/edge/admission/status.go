package admission

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Counts are the counters of a group since the start of the process.
type Counts struct {
	Admitted   uint64
	Rejected   [reasonCount]uint64
	Evicted    uint64 // idle connections closed in favour of others
	Identified uint64 // connections assigned to the group by a certificate
}

// Status is the state of a listener's connections, as the control socket reports it.
type Status struct {
	Capacity    int            `json:"places"` // current number of slots
	MaxCapacity int            `json:"most"`   // configured; more than Capacity after descriptors were exhausted
	InUse       int            `json:"held"`
	Identifying int            `json:"proving,omitempty"`
	Waiting     int            `json:"in_line,omitempty"`
	Groups      []GroupStatus  `json:"groups"`
	Sources     []SourceStatus `json:"sources"` // those with the most connections
}

// GroupStatus is the state of a group.
type GroupStatus struct {
	Name       string            `json:"name"`
	InUse      int               `json:"held"`
	Active     int               `json:"working"`
	Reserve    int               `json:"reserve,omitempty"`
	Sources    int               `json:"sources"`
	Admitted   uint64            `json:"taken"`
	Identified uint64            `json:"recognised,omitempty"`
	Evicted    uint64            `json:"evicted,omitempty"`
	Rejected   map[string]uint64 `json:"refused,omitempty"` // by reason
}

// SourceStatus is the state of a source.
type SourceStatus struct {
	Source string `json:"source"`
	Group  string `json:"group"`
	InUse  int    `json:"held"`
}

// Status returns the state of the connections, with at most the given number of sources.
func (ctl *Controller) Status(now time.Time, sources int) Status {
	status := Status{Capacity: ctl.capacity(now), MaxCapacity: ctl.policy.Capacity, InUse: ctl.inUse,
		Identifying: ctl.identifyingCount, Waiting: ctl.waitingCount}
	sourceCounts := map[*group]int{}
	for _, s := range ctl.sources {
		if s.inUse > 0 {
			sourceCounts[s.group]++
			status.Sources = append(status.Sources, SourceStatus{s.key.prefix.String(), s.group.Name, s.inUse})
		}
	}
	slices.SortFunc(status.Sources, func(a, b SourceStatus) int {
		return cmp.Or(b.InUse-a.InUse, cmp.Compare(a.Source, b.Source), cmp.Compare(a.Group, b.Group))
	})
	status.Sources = status.Sources[:min(len(status.Sources), sources)]
	for _, g := range ctl.groups {
		groupStatus := GroupStatus{Name: g.Name, InUse: g.inUse, Active: g.active, Reserve: g.Reserve, Sources: sourceCounts[g],
			Admitted: g.counts.Admitted, Identified: g.counts.Identified, Evicted: g.counts.Evicted, Rejected: map[string]uint64{}}
		for r, n := range g.counts.Rejected {
			if n > 0 {
				groupStatus.Rejected[Reason(r).String()] = n
			}
		}
		status.Groups = append(status.Groups, groupStatus)
	}
	return status
}

// AddressStatus says how connections from an address are treated, as the control socket reports it.
type AddressStatus struct {
	Group          string  `json:"group"`
	Source         string  `json:"source"`
	InUse          int     `json:"held"` // slots held by the source of the address
	MaxConns       int     `json:"most,omitempty"`
	Rate           float64 `json:"rate,omitempty"`
	Tokens         float64 `json:"tokens,omitempty"` // connections that its source may open at once within the rate
	ReservedFree   int     `json:"reserved_left"`    // free reserved slots of its group
	UnreservedFree int     `json:"common_left"`
	Denied         bool    `json:"denied,omitempty"`
}

// AddressStatus returns how connections from an address are treated. It changes no state.
func (ctl *Controller) AddressStatus(now time.Time, a netip.Addr) AddressStatus {
	g, _ := ctl.groupOf(a, nil)
	status := AddressStatus{Group: g.Name, Source: ctl.prefixOf(a).String(), MaxConns: g.MaxPerSource, Rate: g.Rate, Denied: g.Deny,
		ReservedFree: max(g.Reserve-g.inUse, 0), UnreservedFree: max(ctl.unreservedCapacity(now)-ctl.unreservedInUse, 0)}
	if g.Rate > 0 {
		status.Tokens = float64(max(g.Burst, 1))
	}
	if s := ctl.sources[sourceKey{ctl.prefixOf(a), g.Name}]; s != nil {
		status.InUse = s.inUse
		if s.rate != nil {
			status.Tokens = s.rate.TokensAt(now)
		}
	}
	return status
}

// Count returns the number of connections that hold a slot or wait for one.
func (ctl *Controller) Count() int { return ctl.inUse + ctl.waitingCount }

// Waiting returns the number of connections that wait for a slot.
func (ctl *Controller) Waiting() int { return ctl.waitingCount }

// Conns returns all connections.
func (ctl *Controller) Conns() []*Conn {
	out := make([]*Conn, 0, len(ctl.conns))
	for c := range ctl.conns {
		out = append(out, c)
	}
	return out
}

// IdleConns returns the connections that a graceful shutdown may close: idle ones, and those that have to present a certificate.
func (ctl *Controller) IdleConns(now time.Time) (out []*Conn) {
	ctl.expireGrace(now)
	for c := range ctl.conns {
		if c.state == idle || c.state == identifying {
			out = append(out, c)
		}
	}
	return out
}

// connsByAge returns all connections in the order of Conn.since, the oldest first.
func (ctl *Controller) connsByAge() []*Conn {
	all := ctl.Conns()
	slices.SortFunc(all, func(a, b *Conn) int { return a.since.Compare(b.since) })
	return all
}
