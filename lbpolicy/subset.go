package lbpolicy

// Selection of the listed servers that a balancer uses.

import (
	"math"
	"time"
)

// restoredServer returns a server that an operator has restored and that is due its first request, or nil.
func (b *Balancer) restoredServer(now time.Duration, r *request) *server {
	b.firstRequestsDue = 0
	var restored *server
	for _, s := range b.subset {
		if s.firstRequestDue == 0 {
			continue
		}
		b.firstRequestsDue++
		eligible := r.class.Effect != NonIdempotent && b.maySend(now, r, s)
		if eligible && (now >= s.firstRequestDue || b.hasBudget(now, s)) {
			restored = s
		}
	}
	return restored
}

// targetSubsetSize returns how many servers the subset should have. Each server should be in the subsets of
// balancersPerServer balancers. The subset also needs room for this balancer's requests and for ejected
// servers.
func (b *Balancer) targetSubsetSize() int {
	perBalancer := balancersPerServer * float64(len(b.listed)) / float64(b.settings.Balancers)
	size := max(minSubsetSize, int(math.Ceil(perBalancer)), int(2*b.baselineInFlight()))
	return size + b.ejectedCount
}

// updateSubset selects the servers that this balancer uses: consecutive ones in hash order, from a start that
// depends on the balancer's index. So all servers are covered evenly, and each balancer sends to few servers,
// often enough to measure them.
func (b *Balancer) updateSubset() {
	b.subsetSize = max(b.subsetSize, b.targetSubsetSize())
	local, others := b.eligibleServers()
	localCount := min(len(local), max(b.subsetSize*2/3, b.subsetSize-len(others)))
	b.subset = b.subset[:0]
	b.addToSubset(local, localCount)
	b.addToSubset(others, b.subsetSize-localCount)
	b.ejectedCount = 0 // recount: if all of the new subset are ejected, they are used
	for _, s := range b.subset {
		if s.ejected {
			b.ejectedCount++
		}
	}
}

// eligibleServers returns the servers that may get requests. If crossing zones has a price, those of this
// balancer's zone are in local. It also sets weightsDiffer.
func (b *Balancer) eligibleServers() (local, others []*server) {
	b.weightsDiffer = false
	var previous *server
	for _, s := range b.listed {
		if !s.isEligible() {
			continue
		}
		if previous != nil && s.Weight != previous.Weight {
			b.weightsDiffer = true
		}
		previous = s
		if b.settings.CrossZonePrice > 0 && s.Zone == b.settings.Zone {
			local = append(local, s)
		} else {
			others = append(others, s)
		}
	}
	return local, others
}

func (b *Balancer) addToSubset(from []*server, count int) {
	n := len(from)
	start := b.settings.Index * n / b.settings.Balancers
	for i := range min(n, count) {
		b.subset = append(b.subset, from[(start+i)%n])
	}
}
