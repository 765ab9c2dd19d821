package lbpolicy

// How many requests a server in slow start gets.

import (
	"math"
	"time"
)

// capacity returns a server's capacity as a share of its full capacity: at least the share for its age, or
// more if its load reports show more. Reports count the requests of all balancers. So a balancer that sends
// the server few requests still learns from each response what all balancers have seen. A report that counts
// work which costs the server nothing shows too high a capacity.
func (b *Balancer) capacity(now time.Duration, s *server) float64 {
	startTime := s.startTime()
	if startTime <= 0 || b.settings.SlowStart <= 0 {
		return 1
	}
	ageRatio := (now - startTime).Seconds() / b.settings.SlowStart.Seconds()
	share := min(1, b.settings.InitialCapacity+(1-b.settings.InitialCapacity)*max(ageRatio, 0))
	if b.serverCapacity > 0 {
		share = max(share, min(1, reportedCapacityFactor*s.reportedCapacity/b.serverCapacity))
	}
	return share
}

// startTime returns the server's latest known start.
func (s *server) startTime() time.Duration { return max(s.StartedAt, s.restoredAt) }

// hasBudget reports whether a server of the subset may get a request now. A warmed-up server always may; one
// in slow start may within its budget. Balancers do not know each other's requests. One whose subset is
// nearly all in slow start would send all its requests there. The budget limits each balancer to an even
// share of the server's capacity.
func (b *Balancer) hasBudget(now time.Duration, s *server) bool {
	sharingBalancers := float64(b.settings.Balancers*len(b.subset)) / float64(len(b.listed))
	return b.hasBudgetAmong(now, s, max(1, sharingBalancers))
}

// slowStartBurstDivisor divides the requests of an overload window; the result, at least one, can be saved
// up.
const slowStartBurstDivisor = 4

// hasBudgetAmong is hasBudget for any server to which the given number of balancers may send. The budget
// starts at a random fraction, as the first requests of all balancers add up. Where saving up one request
// takes longer than the overload window, the saved request expires one window later. Otherwise all balancers
// could hold one and spend them in one burst.
func (b *Balancer) hasBudgetAmong(now time.Duration, s *server, sharingBalancers float64) bool {
	capacity := b.capacity(now, s)
	if capacity >= 1 {
		return true
	}
	rate := b.settings.OverloadMultiple * b.warmingUpRate(capacity, s) / sharingBalancers
	if s.budgetFilledAt == 0 {
		s.slowStartBudget, s.budgetFilledAt = b.random.Float64(), now
	}
	s.slowStartBudget += rate * (now - s.budgetFilledAt).Seconds()
	s.budgetFilledAt = now
	perWindow := rate * b.settings.OverloadWindow.Seconds()
	wholeRequests := math.Floor(s.slowStartBudget)
	if wholeRequests >= 1 && perWindow > 0 && perWindow < 1 {
		s.slowStartBudget -= wholeRequests
		if s.slowStartBudget < perWindow {
			s.slowStartBudget++
		}
	} else {
		s.slowStartBudget = min(s.slowStartBudget, max(1, perWindow/slowStartBurstDivisor))
	}
	return s.slowStartBudget >= 1
}

// warmingUpRate returns how many requests per second all balancers together may send to a server of this
// capacity, before OverloadMultiple. Without reports of warmed-up servers, the rate follows from this
// balancer's completions per server, which a warmed-up server can at least reach. It is at least the rate of
// a server that handles one request at a time, or the rate that the server reports. Otherwise a pool entirely
// in slow start would never get its first requests.
func (b *Balancer) warmingUpRate(capacity float64, s *server) float64 {
	if b.serverCapacity > 0 {
		return warmingUpShare * capacity * b.serverCapacity
	}
	balancersPerListed := float64(b.settings.Balancers) / float64(len(b.listed))
	perServer := max(b.fastRate, b.slowRate) * max(balancersPerListed, 1/float64(len(b.subset)))
	return max(capacity*perServer, warmingUpShare*capacity/b.usualLatency(),
		warmingUpShare*s.reportedCapacity)
}

// drawWarmingUp decides at random whether a server in slow start, drawn evenly from the subset, gets the
// request. Compared with a warmed-up server, its share of the traffic is its capacity. So a balancer with
// idle warmed-up servers also measures it. Where these are busy, the ranking sends it more requests, within
// its budget.
func (b *Balancer) drawWarmingUp(now time.Duration, s *server) bool {
	capacity := b.capacity(now, s)
	probability := capacity * s.Weight * float64(len(b.subset)) / max(b.totalCapacity, 1e-9)
	return capacity < 1 && !s.ejected && b.random.Float64() < probability && b.hasBudget(now, s)
}
