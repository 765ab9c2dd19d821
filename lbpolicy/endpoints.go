package lbpolicy

// This file: lists of servers and bans by hand, as they are told. What follows from them stands in
// members.go.

import (
	"cmp"
	"slices"
	"time"
)

// UpdateEndpoints takes a list event. Servers that leave it get nothing new from now on.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind ListKind, entries []Server) {
	b.advance(now)
	b.schedulePoll(now, kind)
	if kind == Failed {
		return
	}
	if kind != Delta {
		named := make(map[ServerID]bool, len(entries))
		for _, e := range entries {
			named[e.ID] = true
		}
		for _, s := range b.listed {
			if !named[s.ID] {
				s.State = Removed
			}
		}
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

// SetBalancers tells how many balancers there are now, and which of them this one is.
func (b *Balancer) SetBalancers(now time.Duration, balancers, me int) {
	b.advance(now)
	if balancers < 1 || me < 0 || balancers == b.settings.Balancers && me == b.settings.Index {
		return
	}
	b.settings.Balancers, b.settings.Index = balancers, me
	b.updateSubset()
}

func (b *Balancer) updateServer(e Server) {
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
		if since, banned := b.manuallyEjected[e.ID]; !banned || e.StartedAt > since {
			s.restoredAt = 0
		}
	}
	s.Server = e
}

func (s *server) reset() {
	s.latency, s.ejected, s.ejections, s.reportedAt, s.waited, s.silent, s.reportedCapacity, s.budgetFilledAt = 0, false, 0, 0, 0, 0, 0, 0
}

// isEligible tells whether a server may have new calls, as far as discovery and hands say.
func (s *server) isEligible() bool { return s.State == Ready && !s.manuallyEjected }

// SetManuallyEjected keeps a server, listed or not, from new calls, or ends that. Back from a ban it counts as started just
// now unless discovery tells a start since: that guards against restarts unseen, and could hurt one that was
// not restarted, which warms up once more. The next call that fits is its first: else nobody came to know it.
func (b *Balancer) SetManuallyEjected(now time.Duration, id ServerID, on bool) {
	b.advance(now)
	since, was := b.manuallyEjected[id]
	if on == was {
		return
	}
	delete(b.manuallyEjected, id)
	if on {
		b.manuallyEjected[id] = now
	}
	if s := b.servers[id]; s != nil {
		if s.manuallyEjected, s.firstCallDue = on, 0; !on {
			s.reset()
			s.firstCallDue = now + 1 + time.Duration(firstCallWindowShare*b.random.Float64()*float64(b.settings.OverloadWindow))
			b.firstCallsDue++
			if s.StartedAt <= since {
				s.restoredAt = now
			}
		}
	}
	b.updateSubset()
}

// hashID spreads ids over 64 bits (the finaliser of splitmix64).
func hashID(id ServerID) uint64 {
	x := uint64(id) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
