package lbpolicy

// This file: how loaded the pool is, and how much time a call needs.

import (
	"math"
	"slices"
	"time"
)

// poolLoad is the load over its target: above 1 the cursor steps right.
func (b *Balancer) poolLoad(now time.Duration, dt float64) float64 {
	sum, n := 0.0, 0
	for _, s := range b.subset {
		if !s.ejected && s.reportedAt > 0 && now-s.reportedAt < maxReportAge {
			sum += s.utilization
			n++
		}
	}
	keep := math.Exp(-dt / (smoothingShare * b.meanObjective))
	b.answerCount, b.latencySum, b.fullCount, b.errorCount = b.answerCount*keep, b.latencySum*keep, b.fullCount*keep, b.errorCount*keep
	load := 0.0
	if b.answerCount >= 0.5 {
		lat := b.latencySum / b.answerCount
		b.updateBaseLatency(lat, dt)
		target := max(targetLatencyShare*b.meanObjective, 1.5*b.baseLatency)
		// Answers tell of calls let in some time ago. Calls in flight over answers a second is the latency of
		// one let in now (Little): both must be high.
		soon := float64(b.queueLength()) * smoothingShare * b.meanObjective / max(b.answerCount-b.fullCount, 0.5)
		load = min(lat, soon)/target + fullAnswerWeight*b.fullCount/b.answerCount
	}
	if !slices.Contains(b.settings.ReportFields, FieldUtilization) {
		return load
	}
	util := sum / float64(n) / targetUtilization
	switch {
	case n == 0:
		return load
	case b.settings.Tier > 0: // calls that still finish in time are not refused where others have worked on them
		return min(load, util)
	}
	return max(load, util)
}

// updateBaseLatency follows the quiet latency: down at once, up slowly and only while nothing is shed, never past
// what the aim allows; so a balancer started in overload does not learn it as normal.
func (b *Balancer) updateBaseLatency(lat, dt float64) {
	b.baseLearned = true
	switch {
	case lat < b.baseLatency:
		b.baseLatency += (lat - b.baseLatency) * smoothingWeight(dt, 0.5)
	case b.cursor == 0:
		b.baseLatency += (min(lat, b.meanObjective/3) - b.baseLatency) * smoothingWeight(dt, 20)
	}
	b.baseLatency = max(b.baseLatency, 1e-4)
}

func (b *Balancer) usualLatency() float64 {
	if b.answerCount < 0.5 {
		return b.baseLatency
	}
	return max(b.baseLatency, b.latencySum/b.answerCount)
}

// expectedLatency is the time in which hopePart of a class's calls are answered, as attempts show it; 0: not known.
type expectedLatency struct {
	seconds   float64 // s
	samples   float64 // attempts learnt from
	updatedAt time.Duration
}

// observe takes an attempt's end: each answer in less lowers the time, all that took longer raise it,
// whether there was an answer or not. What was cut off sooner tells nothing.
func (h *expectedLatency) observe(now time.Duration, v Verdict, lat float64) {
	step := max(expectedLatencyStep, 1/(1+h.samples)) // the first ones count for more
	switch {
	case v == OK && h.seconds == 0:
		h.seconds = lat
	case v == OK && lat <= h.seconds:
		h.seconds *= 1 - step*(1-expectedLatencyQuantile)
	case h.seconds > 0 && lat > h.seconds && !v.NeverRan() && v != Rejected:
		h.seconds *= 1 + step*expectedLatencyQuantile
	default:
		return
	}
	h.samples++
	h.updatedAt = now
}

// hasTooLittleTime tells whether a call has too little time to be likely to end in it: it would take work from all
// tiers behind and end as an error in each, and its caller, refused at once, can come back with more time or
// leave. It guards against callers with short time-outs of their own, retry storms of such, and calls that
// come late from an overload before this one. It could hurt where callers never have more time than a third
// of the calls take: they are served by the chance that passing time brings, since what is not seen is
// forgotten. Where other tiers have worked on a call it is given half of that time.
func (b *Balancer) hasTooLittleTime(now time.Duration, r *request, left float64) bool {
	h := r.expected
	in := h.seconds * math.Exp(-(now-h.updatedAt).Seconds()/expectedLatencyMemory.Seconds())
	if b.settings.Tier > 0 {
		in /= 2
	}
	floor := b.baseLatency / 2
	if !b.baseLearned { // a guess: forgotten too, or callers who never have more time would never be served
		floor = min(b.baseLatency, r.class.LatencyObjective.Seconds()/4) / 2 // nor is it other classes' guess
		floor *= math.Exp(-(now - b.startedAt).Seconds() / expectedLatencyMemory.Seconds())
	}
	return left < max(in, floor)
}
