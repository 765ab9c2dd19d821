package lbpolicy

// This file: how much a cold server gets.

import (
	"math"
	"time"
)

// capacity is a server's capacity as a share of its full one: the least for its age, or more where its own
// reports show more. Those count the calls of all balancers: one that sends a server a call in some seconds
// learns from each answer what they all have seen. It could hurt where reports count what costs the server
// nothing.
func (b *Balancer) capacity(now time.Duration, s *server) float64 {
	began := s.startTime()
	if began <= 0 || b.settings.SlowStart <= 0 {
		return 1
	}
	age := (now - began).Seconds() / b.settings.SlowStart.Seconds()
	least := min(1, b.settings.InitialCapacity+(1-b.settings.InitialCapacity)*max(age, 0))
	if b.serverCapacity > 0 {
		least = max(least, min(1, reportedCapacityTrust*s.reportedCapacity/b.serverCapacity))
	}
	return least
}

// startTime is when a server started, as far as is known.
func (s *server) startTime() time.Duration { return max(s.StartedAt, s.restoredAt) }

// hasBudget tells whether a server of the subset may have a call now, by its warmth: a warm one always, a cold
// one within its budget. Each balancer has its own pool and its own view, and one whose pool is nearly all
// cold would send all its calls there: the budget holds every balancer to its even part of what the server
// can do.
func (b *Balancer) hasBudget(now time.Duration, s *server) bool {
	return b.hasBudgetAmong(now, s, max(1, float64(b.settings.Balancers*len(b.subset))/float64(len(b.listed))))
}

// hasBudgetAmong is the same for any server, by how many balancers may send to it. The budget starts at a draw,
// as the first call of each balancer is also a call of the fleet. Where one call takes longer than the fall
// window to save up it lapses a window later: else all balancers could come to hold one, and spend it in one
// burst.
func (b *Balancer) hasBudgetAmong(now time.Duration, s *server, sharers float64) bool {
	c := b.capacity(now, s)
	if c >= 1 {
		return true
	}
	rate := b.settings.OverloadMultiple * b.warmingUpRate(c, s) / sharers
	if s.budgetFilledAt == 0 {
		s.slowStartBudget, s.budgetFilledAt = b.random.Float64(), now
	}
	s.slowStartBudget += rate * (now - s.budgetFilledAt).Seconds()
	s.budgetFilledAt = now
	each := rate * b.settings.OverloadWindow.Seconds()
	if whole := math.Floor(s.slowStartBudget); whole >= 1 && each > 0 && each < 1 {
		if s.slowStartBudget -= whole; s.slowStartBudget < each {
			s.slowStartBudget++
		}
	} else {
		s.slowStartBudget = min(s.slowStartBudget, max(1, each/4))
	}
	return s.slowStartBudget >= 1
}

// warmingUpRate is how many calls a second of what a cold server could do all balancers may count on together.
// Where no warm one has reported, it is the part of what each server answers now, as this balancer's calls
// show: no more than a warm one could. At the least it goes by what a server does that answers one call after
// another, or by the cold one's own reports, or a pool that is all cold would never get its first calls.
func (b *Balancer) warmingUpRate(c float64, s *server) float64 {
	if b.serverCapacity > 0 {
		return warmingUpShare * c * b.serverCapacity
	}
	each := max(b.fastRate, b.slowRate) * max(float64(b.settings.Balancers)/float64(len(b.listed)), 1/float64(len(b.subset)))
	return max(c*each, warmingUpShare*c/b.usualLatency(), warmingUpShare*s.reportedCapacity)
}

// drawsWarmingUp draws whether a cold server takes the call that came upon it by an even draw over the pool: its
// part is then to a warm server's as its capacity is. It is how a balancer with idle warm servers comes to
// know it; where they are not idle, rank brings it more, within its budget.
func (b *Balancer) drawsWarmingUp(now time.Duration, s *server) bool {
	c := b.capacity(now, s)
	part := c * s.trafficWeight() * float64(len(b.subset)) / max(b.totalCapacity, 1e-9)
	return c < 1 && !s.ejected && b.random.Float64() < part && b.hasBudget(now, s)
}
