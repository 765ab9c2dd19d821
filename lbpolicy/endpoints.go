package lbpolicy

// This file: endpoint lists, manual ejections and load reports, as they are received. What follows from them
// stands in subset.go and health.go.

import (
	"cmp"
	"slices"
	"time"
)

// UpdateEndpoints applies an endpoint list. A server that is not in it any more gets no new request from now
// on.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind ListKind, entries []Server) {
	b.advance(now)
	b.schedulePoll(now, kind)
	if kind == Failed {
		return
	}
	if kind != Delta {
		b.markMissing(entries)
	}
	for _, e := range entries {
		b.updateServer(e)
	}
	b.listed = slices.DeleteFunc(b.listed, func(s *server) bool {
		if s.State == Removed {
			delete(b.servers, s.ID)
		}
		return s.State == Removed
	})
	slices.SortFunc(b.listed, func(x, y *server) int {
		return cmp.Compare(hashID(x.ID), hashID(y.ID))
	})
	b.updateSubset()
}

// markMissing removes the servers that are not in a whole list.
func (b *Balancer) markMissing(entries []Server) {
	present := make(map[ServerID]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
	}
	for _, s := range b.listed {
		if !present[s.ID] {
			s.State = Removed
		}
	}
}

// SetBalancers sets how many balancers there are, and the index of this one.
func (b *Balancer) SetBalancers(now time.Duration, balancers, index int) {
	b.advance(now)
	if balancers < 1 || index < 0 || balancers == b.settings.Balancers && index == b.settings.Index {
		return
	}
	b.settings.Balancers, b.settings.Index = balancers, index
	b.updateSubset()
}

func (b *Balancer) updateServer(e Server) {
	if e.Weight <= 0 {
		e.Weight = 1
	}
	s := b.servers[e.ID]
	if s == nil {
		if e.State == Removed {
			return
		}
		s = &server{Server: e}
		_, s.manuallyEjected = b.manuallyEjected[e.ID]
		b.servers[e.ID] = s
		b.listed = append(b.listed, s)
	}
	if s.StartedAt != e.StartedAt { // a new process: what was known of the old one is void
		s.reset()
		if since, ejected := b.manuallyEjected[e.ID]; !ejected || e.StartedAt > since {
			s.restoredAt = 0
		}
	}
	s.Server = e
}

// reset forgets what is known of a server's process.
func (s *server) reset() {
	s.latency = 0
	s.ejected, s.ejections = false, 0
	s.reportedAt, s.reportedCapacity = 0, 0
	s.clearWait()
	s.budgetFilledAt = 0
}

// isEligible reports whether a server may get new requests, as far as discovery and operators say.
func (s *server) isEligible() bool { return s.State == Ready && !s.manuallyEjected }

// SetManuallyEjected ejects a server, listed or not, on an operator's request, or restores it. A restored
// server counts as just started unless discovery reports a later start: it may have been restarted unseen. One
// that was not goes through slow start once more. The next request that fits is its first, as no balancer
// would otherwise get to know it.
func (b *Balancer) SetManuallyEjected(now time.Duration, id ServerID, ejected bool) {
	b.advance(now)
	since, wasEjected := b.manuallyEjected[id]
	if ejected == wasEjected {
		return
	}
	delete(b.manuallyEjected, id)
	if ejected {
		b.manuallyEjected[id] = now
	}
	if s := b.servers[id]; s != nil {
		s.manuallyEjected, s.firstRequestDue = ejected, 0
		if !ejected {
			b.restore(now, s, since)
		}
	}
	b.updateSubset()
}

// restore readmits a server that was manually ejected since a time.
func (b *Balancer) restore(now time.Duration, s *server, since time.Duration) {
	s.reset()
	window := firstRequestWindowMultiple * b.random.Float64() * float64(b.settings.OverloadWindow)
	s.firstRequestDue = now + 1 + time.Duration(window)
	b.firstRequestsDue++
	if s.StartedAt <= since {
		s.restoredAt = now
	}
}

// hashID spreads IDs over 64 bits (the finaliser of splitmix64).
func hashID(id ServerID) uint64 {
	x := uint64(id) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// capacitySmoothing is the weight of one load report.
const capacitySmoothing = 0.3

// recordLoadReport updates a server's utilization and capacity, which is its rate over its utilization.
func (b *Balancer) recordLoadReport(now time.Duration, s *server, load []float32) {
	rate := 0.0
	for i, v := range load[:min(len(load), len(b.settings.ReportFields))] {
		switch b.settings.ReportFields[i] {
		case FieldUtilization:
			s.utilization, s.reportedAt = float64(v), now
		case FieldRequestRate:
			rate = float64(v)
		}
	}
	if s.reportedAt != now || s.utilization <= minReportedUtilization || rate <= 0 {
		return
	}
	capacity := rate / s.utilization
	if s.reportedCapacity == 0 {
		s.reportedCapacity = capacity
	}
	s.reportedCapacity += (capacity - s.reportedCapacity) * capacitySmoothing
}
