package lbpolicy

// This file: which of the listed servers a balancer uses.

import (
	"math"
	"time"
)

// restoredServer is a server that has come back from a ban, for its first call.
func (b *Balancer) restoredServer(now time.Duration, r *request) *server {
	b.firstCallsDue = 0
	var back *server
	for _, s := range b.subset {
		if s.firstCallDue > 0 {
			b.firstCallsDue++
			fits := r.class.Effect != NonIdempotent && b.maySend(now, r, s)
			if fits && (now >= s.firstCallDue || b.hasBudget(now, s)) {
				back = s
			}
		}
	}
	return back
}

// targetSubsetSize is the size of the subset: enough that each server is known to a few balancers, and room for what
// this one carries and for servers that are out.
func (b *Balancer) targetSubsetSize() int {
	per := balancersPerServer * float64(len(b.listed)) / float64(b.settings.Balancers)
	return max(minSubsetSize, int(math.Ceil(per)), int(2*b.quietLoad())) + b.ejectedCount
}

// updateSubset picks the servers this balancer uses: the same number in a row from the hashed order, starting at
// its own place, so that all servers are covered evenly and each balancer meets few of them often enough
// to know them.
func (b *Balancer) updateSubset() {
	b.subsetSize = max(b.subsetSize, b.targetSubsetSize())
	b.subset, b.weighted = b.subset[:0], false
	var some *server
	ready := make([]*server, 0, len(b.listed))
	local := make([]*server, 0, len(b.listed))
	for _, s := range b.listed {
		if !s.isEligible() {
			continue
		}
		if some != nil && s.trafficWeight() != some.trafficWeight() {
			b.weighted = true
		}
		some = s
		if b.settings.CrossZonePrice > 0 && s.Zone == b.settings.Zone {
			local = append(local, s)
		} else {
			ready = append(ready, s)
		}
	}
	near := min(len(local), max(b.subsetSize*2/3, b.subsetSize-len(ready)))
	b.addToSubset(local, near)
	b.addToSubset(ready, b.subsetSize-near)
	b.ejectedCount = 0 // of those in use now: where they all are out, they are used
	for _, s := range b.subset {
		if s.ejected {
			b.ejectedCount++
		}
	}
}

func (b *Balancer) addToSubset(from []*server, count int) {
	n := len(from)
	start := b.settings.Index * n / b.settings.Balancers
	for i := range min(n, count) {
		b.subset = append(b.subset, from[(start+i)%n])
	}
}
