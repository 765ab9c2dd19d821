package lbpolicy

// This file: which server the next attempt goes to.

import (
	"math"
	"slices"
	"time"
)

// Weights of prices in the ranking.
const (
	crossZoneWeight = 70
	handshakeWeight = 5
)

// score ranks a server for the next attempt, the lowest first: smoothed latency x queue, both relative to its
// capacity. A cross-zone request or a new connection counts as latency in proportion to its price.
func (b *Balancer) score(now time.Duration, s *server) float64 {
	capacity := b.capacity(now, s)
	latency := s.latency
	if latency == 0 {
		latency = b.usualLatency() / capacity
	}
	latency = max(latency, s.unansweredSeconds)
	if b.weightsDiffer { // a slow server has more requests in flight, which counts already
		latency = 1
	}
	queue := float64(s.inFlight-s.dispatchPending) / (capacity * s.Weight)
	score := latency * (1 + queue) * (1 + errorPenalty*s.errorRatio)
	if s.Zone != b.settings.Zone {
		score *= 1 + crossZoneWeight*b.settings.CrossZonePrice
	}
	needsHandshake := s.openConnections <= s.inFlight || now-s.lastSentAt > b.settings.ConnIdleTimeout
	if b.settings.HandshakePrice > 0 && needsHandshake {
		score *= 1 + handshakeWeight*b.settings.HandshakePrice
	}
	return score
}

// pick returns the server of the request's next attempt, or nil. A server that is due a probe or is warming
// up gets the request if an even draw over the subset finds it; otherwise the best-ranked server does.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	n := len(b.subset)
	if n == 0 {
		return nil
	}
	if b.firstRequestsDue > 0 {
		if s := b.restoredServer(now, r); s != nil {
			return s
		}
	}
	start := b.random.IntN(n)
	drawn := b.subset[start]
	if b.maySend(now, r, drawn) {
		if b.mayProbe(now, r, drawn) && b.hasBudget(now, drawn) || b.drawWarmingUp(now, drawn) {
			return drawn
		}
	}
	if best := b.bestRanked(now, r, start); best != nil {
		return best
	}
	return b.pickFallback(now, r)
}

// bestRanked returns the best-ranked server of the subset, or of a sample of a large one.
func (b *Balancer) bestRanked(now time.Duration, r *request, start int) *server {
	n := len(b.subset)
	inPanic := b.isInPanic()
	best, bestScore := (*server)(nil), math.Inf(1)
	for i := range min(n, maxRankedServers) {
		at := (start + i) % n
		if n > maxRankedServers {
			at = b.random.IntN(n)
		}
		s := b.subset[at]
		if s.ejected && !inPanic || !b.maySend(now, r, s) || !b.hasBudget(now, s) {
			continue
		}
		score := b.score(now, s)
		if b.weightsDiffer { // a weighted draw: the best alone would get all while few requests are in flight
			score *= b.random.ExpFloat64() / s.Weight
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isInPanic reports whether so many servers are ejected that the fault is not in single servers: many of them
// in the last period, or all by now, as requests must not be rejected until the next one.
func (b *Balancer) isInPanic() bool {
	inUse := slices.ContainsFunc(b.subset, func(s *server) bool { return !s.ejected })
	return !inUse || float64(b.ejectedCount) > panicThreshold*float64(len(b.subset))
}

// pickFallback looks beyond the sample and the subset. Servers that are warming up come last, as any balancer may
// send to them there.
func (b *Balancer) pickFallback(now time.Duration, r *request) *server {
	n := len(b.listed)
	start := b.random.IntN(n)
	for _, warmingUp := range []bool{false, true} {
		for i := range n {
			s := b.listed[(start+i)%n]
			if s.ejected || !b.maySend(now, r, s) {
				continue
			}
			if b.capacity(now, s) >= 1 {
				return s
			}
			if warmingUp && b.hasBudgetAmong(now, s, float64(b.settings.Balancers)) {
				return s
			}
		}
	}
	return nil
}
