package lbpolicy

// This file: which server the next attempt goes to.

import (
	"math"
	"time"
)

// score ranks a server for the next call: smoothed latency x queue, both by its capacity. A crossing or a
// new connection costs time in proportion to its price.
func (b *Balancer) score(now time.Duration, s *server) float64 {
	lat := s.latency
	c := b.capacity(now, s)
	if lat == 0 {
		lat = b.usualLatency() / c
	}
	lat = max(lat, s.silent)
	if b.weighted { // what is slow holds more in flight, and that counts
		lat = 1
	}
	v := lat * (1 + float64(s.inFlight-s.dispatchPending)/(c*s.trafficWeight())) * (1 + errorPenalty*s.errorRatio)
	if s.Zone != b.settings.Zone {
		v *= 1 + 70*b.settings.CrossZonePrice
	}
	if b.settings.HandshakePrice > 0 && (s.connections <= s.inFlight || now-s.lastSentAt > b.settings.ConnIdleTimeout) {
		v *= 1 + 5*b.settings.HandshakePrice
	}
	return v
}

// trafficWeight is a server's weight.
func (s *server) trafficWeight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// pick chooses the server of the request's next attempt, or nil.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	n := len(b.subset)
	if n == 0 {
		return nil
	}
	if b.firstCallsDue > 0 {
		if s := b.restoredServer(now, r); s != nil {
			return s
		}
	}
	start := b.random.IntN(n)
	s := b.subset[start]
	if b.maySend(now, r, s) && (b.mayProbe(now, r, s) && b.hasBudget(now, s) || b.drawsWarmingUp(now, s)) {
		return s
	}
	fleet := float64(b.ejectedCount) > panicThreshold*float64(n) // most of a fleet failing is no matter of outliers
	best, bestScore := (*server)(nil), math.Inf(1)
	for i := range min(n, maxRankedServers) {
		at := (start + i) % n
		if n > maxRankedServers {
			at = b.random.IntN(n)
		}
		s := b.subset[at]
		if s.ejected && !fleet || !b.maySend(now, r, s) || !b.hasBudget(now, s) {
			continue
		}
		v := b.score(now, s)
		if b.weighted { // a draw, by weight and rank: the best alone would take all where little is in flight
			v *= b.random.ExpFloat64() / s.trafficWeight()
		}
		if v < bestScore {
			best, bestScore = s, v
		}
	}
	if best == nil {
		best = b.fallback(now, r)
	}
	return best
}

// fallback looks beyond the sample and the subset, cold servers last: there any balancer may come.
func (b *Balancer) fallback(now time.Duration, r *request) *server {
	n := len(b.listed)
	start := b.random.IntN(n)
	for pass := range 2 {
		for i := range n {
			s := b.listed[(start+i)%n]
			if s.ejected || !b.maySend(now, r, s) {
				continue
			}
			if b.capacity(now, s) >= 1 || pass == 1 && b.hasBudgetAmong(now, s, float64(b.settings.Balancers)) {
				return s
			}
		}
	}
	return nil
}
