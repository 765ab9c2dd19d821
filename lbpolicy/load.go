package lbpolicy

// The load of the pool, and how much time a request needs.

import (
	"math"
	"slices"
	"time"
)

// Bounds and time constants of the base latency and of the target latency.
const (
	minTargetMultiple     = 1.5  // of the base latency; the target latency is never lower
	baseLatencyDownTime   = 0.5  // time constant when the latency is lower, in seconds
	baseLatencyUpTime     = 20   // time constant when it is higher, in seconds
	maxBaseLatencyDivisor = 3    // the base latency is at most the objective divided by this
	minBaseLatency        = 1e-4 // in seconds
)

// poolLoad returns the load of the pool relative to its target. Above 1 the cursor moves right.
func (b *Balancer) poolLoad(now time.Duration, dt float64) float64 {
	decay := math.Exp(-dt / (smoothingShare * b.meanObjective))
	b.outcomeCount *= decay
	b.latencySum *= decay
	b.fullCount *= decay
	b.errorCount *= decay
	load := b.latencyLoad(dt)
	if !slices.Contains(b.settings.ReportFields, FieldUtilization) {
		return load
	}
	utilization, reports := b.reportedUtilization(now)
	switch {
	case reports == 0:
		return load
	case b.settings.Tier > 0: // other tiers have already worked on a request: keep it if it is in time
		return min(load, utilization/targetUtilization)
	}
	return max(load, utilization/targetUtilization)
}

// latencyLoad returns the load by latency and by attempts that servers reject as full. The measured latency
// is that of requests admitted some time ago. Requests in flight divided by responses per second is the
// latency of a request admitted now (Little's law). Both must be high.
func (b *Balancer) latencyLoad(dt float64) float64 {
	if b.outcomeCount < minSamples {
		return 0
	}
	latency := b.latencySum / b.outcomeCount
	b.updateBaseLatency(latency, dt)
	target := max(targetLatencyShare*b.meanObjective, minTargetMultiple*b.baseLatency)
	window := smoothingShare * b.meanObjective // seconds that outcomeCount covers
	queueLatency := float64(b.queueLength()) * window / max(b.outcomeCount-b.fullCount, minSamples)
	return min(latency, queueLatency)/target + serverFullWeight*b.fullCount/b.outcomeCount
}

// reportedUtilization returns the mean of the recent utilization reports of the subset, and their number.
func (b *Balancer) reportedUtilization(now time.Duration) (mean float64, reports int) {
	sum := 0.0
	for _, s := range b.subset {
		if !s.ejected && s.reportedAt > 0 && now-s.reportedAt < maxReportAge {
			sum += s.utilization
			reports++
		}
	}
	return sum / float64(reports), reports
}

// updateBaseLatency follows the latency at low load: down fast, and up slowly. It rises only while no load is
// shed and never above the share of the objective that maxBaseLatencyDivisor allows. So a balancer that
// starts in an overload does not take its latency as normal.
func (b *Balancer) updateBaseLatency(latency, dt float64) {
	b.baseLearned = true
	switch {
	case latency < b.baseLatency:
		b.baseLatency += (latency - b.baseLatency) * smoothingWeight(dt, baseLatencyDownTime)
	case b.cursor == 0:
		target := min(latency, b.meanObjective/maxBaseLatencyDivisor)
		b.baseLatency += (target - b.baseLatency) * smoothingWeight(dt, baseLatencyUpTime)
	}
	b.baseLatency = max(b.baseLatency, minBaseLatency)
}

// usualLatency returns the present latency of the pool in seconds, at least the base latency.
func (b *Balancer) usualLatency() float64 {
	if b.outcomeCount < minSamples {
		return b.baseLatency
	}
	return max(b.baseLatency, b.latencySum/b.outcomeCount)
}

// expectedLatency is the time within which expectedLatencyQuantile of a class's requests get a response.
type expectedLatency struct {
	seconds   float64 // 0: unknown
	samples   float64 // attempts observed
	updatedAt time.Duration
}

// observe adjusts the expected latency by one attempt. A response in less time lowers it. An attempt that ran
// and took longer raises it, with a response or without. Other attempts are ignored.
func (e *expectedLatency) observe(now time.Duration, v Verdict, latency float64) {
	step := max(expectedLatencyStep, 1/(1+e.samples)) // the first samples have more weight
	switch {
	case v == OK && e.seconds == 0:
		e.seconds = latency
	case v == OK && latency <= e.seconds:
		e.seconds *= 1 - step*(1-expectedLatencyQuantile)
	case e.seconds > 0 && latency > e.seconds && !v.NeverRan() && v != Rejected:
		e.seconds *= 1 + step*expectedLatencyQuantile
	default:
		return
	}
	e.samples++
	e.updatedAt = now
}

// memoryDecay returns the factor by which a value of this age has decayed without new attempts.
func memoryDecay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / expectedLatencyMemory.Seconds())
}

// hasTooLittleTime reports whether a request is unlikely to complete in the time left. Such a request costs
// work in all deeper tiers and ends as an error in each, while a client that is rejected at once can retry
// with more time. Expected latencies decay without new attempts. So some requests are sent even for clients
// that never have more time than the fastest third of requests takes. A request that other tiers have worked
// on needs only half of the expected latency.
func (b *Balancer) hasTooLittleTime(now time.Duration, r *request, left float64) bool {
	needed := r.expected.seconds * memoryDecay(now-r.expected.updatedAt)
	if b.settings.Tier > 0 {
		needed /= 2
	}
	floor := b.baseLatency / 2
	if !b.baseLearned { // an estimate must decay, or clients that always have less time are never served
		floor = min(b.baseLatency, r.class.LatencyObjective.Seconds()/4) / 2
		floor *= memoryDecay(now - b.startedAt)
	}
	return left < max(needed, floor)
}
