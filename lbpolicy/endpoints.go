package lbpolicy

// Receipt of endpoint lists, manual ejections and load reports. The decisions that follow are in subset.go
// and health.go.

import (
	"cmp"
	"slices"
	"time"
)

// UpdateEndpoints applies an endpoint list. A server that is no longer listed gets no new requests.
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

// markMissing marks the servers that a whole list does not contain as removed.
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

// SetBalancers sets the number of balancers in the tier and the index of this one. Invalid values are
// ignored.
func (b *Balancer) SetBalancers(now time.Duration, balancers, index int) {
	b.advance(now)
	if balancers < 1 || index < 0 || balancers == b.settings.Balancers && index == b.settings.Index {
		return
	}
	b.settings.Balancers, b.settings.Index = balancers, index
	b.updateSubset()
}

func (b *Balancer) updateServer(entry Server) {
	if entry.Weight <= 0 {
		entry.Weight = 1
	}
	s := b.servers[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		s = &server{Server: entry}
		_, s.manuallyEjected = b.manuallyEjected[entry.ID]
		b.servers[entry.ID] = s
		b.listed = append(b.listed, s)
	}
	if s.StartedAt != entry.StartedAt { // a new process: measurements of the old one do not apply
		s.reset()
		if since, ejected := b.manuallyEjected[entry.ID]; !ejected || entry.StartedAt > since {
			s.restoredAt = 0
		}
	}
	s.Server = entry
}

// reset discards what was measured of a server's process.
func (s *server) reset() {
	s.latency = 0
	s.ejected, s.ejections = false, 0
	s.reportedAt, s.reportedCapacity = 0, 0
	s.clearWait()
	s.budgetFilledAt = 0
}

// isEligible reports whether discovery and operators allow new requests to the server.
func (s *server) isEligible() bool { return s.State == Ready && !s.manuallyEjected }

// SetManuallyEjected ejects a server on an operator's request, or restores it. The server need not be listed.
// A restored server may have been restarted without notice, so it counts as just started unless discovery
// reports a later start. A server that was not restarted goes through slow start once more. A restored server
// gets the next request that fits as its first one; otherwise no balancer would send to it and measure it.
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

// restore readmits a server that was manually ejected at the time since.
func (b *Balancer) restore(now time.Duration, s *server, since time.Duration) {
	s.reset()
	window := firstRequestSpread * b.random.Float64() * float64(b.settings.OverloadWindow)
	s.firstRequestDue = now + 1 + time.Duration(window)
	b.firstRequestsDue++
	if s.StartedAt <= since {
		s.restoredAt = now
	}
}

// hashID spreads IDs evenly over 64 bits (the finaliser of splitmix64).
func hashID(id ServerID) uint64 {
	x := uint64(id) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// capacitySmoothing is the weight of one load report in the smoothed capacity.
const capacitySmoothing = 0.3

// recordLoadReport updates a server's utilization and capacity from a load report. The capacity is the
// request rate divided by the utilization.
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
