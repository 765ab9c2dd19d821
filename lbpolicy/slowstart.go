package lbpolicy

// This file: how many requests a server in slow start gets.

import (
	"math"
	"time"
)

// capacity returns a server's capacity as a share of its full one: the least for its age, or more where its
// own reports show more. Reports count the requests of all balancers: a balancer that sends the server few
// requests learns from each answer what all of them have seen. Reports that count work which costs the server
// nothing would show too much.
func (b *Balancer) capacity(now time.Duration, s *server) float64 {
	startTime := s.startTime()
	if startTime <= 0 || b.settings.SlowStart <= 0 {
		return 1
	}
	age := (now - startTime).Seconds() / b.settings.SlowStart.Seconds()
	least := min(1, b.settings.InitialCapacity+(1-b.settings.InitialCapacity)*max(age, 0))
	if b.serverCapacity > 0 {
		least = max(least, min(1, reportedCapacityFactor*s.reportedCapacity/b.serverCapacity))
	}
	return least
}

// startTime returns when a server started, as far as is known.
func (s *server) startTime() time.Duration { return max(s.StartedAt, s.restoredAt) }

// hasBudget reports whether a server of the subset may get a request now: a warmed-up one always, one in slow
// start within its budget. Balancers know nothing of each other, and one whose subset is nearly all in slow
// start would send all its requests there: the budget holds each to an even part of what the server can do.
func (b *Balancer) hasBudget(now time.Duration, s *server) bool {
	sharers := float64(b.settings.Balancers*len(b.subset)) / float64(len(b.listed))
	return b.hasBudgetAmong(now, s, max(1, sharers))
}

// slowStartBurstDivisor divides the requests of a window that can be saved up.
const slowStartBurstDivisor = 4

// hasBudgetAmong is hasBudget for any server, by how many balancers may send to it. The budget starts at a
// random fraction, as the first requests of all balancers add up. Where saving up one request takes longer
// than the overload window, it expires one window later: otherwise all balancers could hold one, and spend
// them in one burst.
func (b *Balancer) hasBudgetAmong(now time.Duration, s *server, sharers float64) bool {
	capacity := b.capacity(now, s)
	if capacity >= 1 {
		return true
	}
	rate := b.settings.OverloadMultiple * b.warmingUpRate(capacity, s) / sharers
	if s.budgetFilledAt == 0 {
		s.slowStartBudget, s.budgetFilledAt = b.random.Float64(), now
	}
	s.slowStartBudget += rate * (now - s.budgetFilledAt).Seconds()
	s.budgetFilledAt = now
	perWindow := rate * b.settings.OverloadWindow.Seconds()
	whole := math.Floor(s.slowStartBudget)
	if whole >= 1 && perWindow > 0 && perWindow < 1 {
		s.slowStartBudget -= whole
		if s.slowStartBudget < perWindow {
			s.slowStartBudget++
		}
	} else {
		s.slowStartBudget = min(s.slowStartBudget, max(1, perWindow/slowStartBurstDivisor))
	}
	return s.slowStartBudget >= 1
}

// warmingUpRate is how many requests per second all balancers may send together to a server of this capacity.
// Without reports of warmed-up servers, it follows from what each server answers now, as this balancer's
// requests show, which is no more than a warmed-up one could. It is at least the rate of a server that
// answers one request after another, or what the server reports: otherwise a pool that is all in slow start
// would never get its first requests.
func (b *Balancer) warmingUpRate(capacity float64, s *server) float64 {
	if b.serverCapacity > 0 {
		return warmingUpShare * capacity * b.serverCapacity
	}
	balancersPerListed := float64(b.settings.Balancers) / float64(len(b.listed))
	perServer := max(b.fastRate, b.slowRate) * max(balancersPerListed, 1/float64(len(b.subset)))
	return max(capacity*perServer, warmingUpShare*capacity/b.usualLatency(),
		warmingUpShare*s.reportedCapacity)
}

// drawWarmingUp draws whether a server in slow start gets the request for which an even draw over the subset
// found it: its part of the traffic compared with a warmed-up server's is its capacity. So a balancer with
// idle warmed-up servers gets to know it; where they are busy, the ranking sends it more, within its budget.
func (b *Balancer) drawWarmingUp(now time.Duration, s *server) bool {
	capacity := b.capacity(now, s)
	part := capacity * s.Weight * float64(len(b.subset)) / max(b.totalCapacity, 1e-9)
	return capacity < 1 && !s.ejected && b.random.Float64() < part && b.hasBudget(now, s)
}
