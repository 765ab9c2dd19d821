package lbpolicy

// Selection of the server for the next attempt.

import (
	"math"
	"slices"
	"time"
)

// Weights of the prices in the score: a price multiplies it by 1 + weight x price.
const (
	crossZoneWeight = 70
	handshakeWeight = 5
)

// score rates a server for the next attempt; the lowest score is the best. It is the smoothed latency times
// the queue, both relative to the server's capacity. A cross-zone request or a new connection raises the
// score by a factor, in proportion to its price.
func (b *Balancer) score(now time.Duration, s *server) float64 {
	capacity := b.capacity(now, s)
	latency := s.latency
	if latency == 0 {
		latency = b.usualLatency() / capacity
	}
	latency = max(latency, s.unansweredSeconds)
	if b.weightsDiffer { // the requests in flight already show a slow server
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

// pick returns the server for the request's next attempt, or nil. One server is drawn evenly from the subset.
// It gets the request if it is due a probe, or if it is warming up and drawWarmingUp selects it. Otherwise
// the best-ranked server gets the request.
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

// bestRanked returns the best-ranked server of the subset, or of a random sample if the subset is large.
func (b *Balancer) bestRanked(now time.Duration, r *request, start int) *server {
	n := len(b.subset)
	inPanic := b.isInPanic()
	best, bestScore := (*server)(nil), math.Inf(1)
	for i := range min(n, maxRankedServers) {
		index := (start + i) % n
		if n > maxRankedServers {
			index = b.random.IntN(n)
		}
		s := b.subset[index]
		if s.ejected && !inPanic || !b.maySend(now, r, s) || !b.hasBudget(now, s) {
			continue
		}
		score := b.score(now, s)
		if b.weightsDiffer { // weighted draw: else one server gets all while few requests are in flight
			score *= b.random.ExpFloat64() / s.Weight
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// isInPanic reports whether so many servers are ejected that single servers cannot be the cause: more than
// panicThreshold at the last check, or all by now. The second rule keeps requests from being rejected until
// the next check.
func (b *Balancer) isInPanic() bool {
	inUse := slices.ContainsFunc(b.subset, func(s *server) bool { return !s.ejected })
	return !inUse || float64(b.ejectedCount) > panicThreshold*float64(len(b.subset))
}

// pickFallback searches all listed servers. Those that are warming up come last: any balancer may send to
// them here, so their budget is shared among all balancers.
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
