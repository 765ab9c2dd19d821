package lbpolicy

// This file: the load of the pool, and how much time a request needs.

import (
	"math"
	"slices"
	"time"
)

// Bounds and time constants of the base latency, in seconds.
const (
	minTargetMultiple   = 1.5 // of the base latency, below which the target latency does not go
	baseLatencyDownTime = 0.5
	baseLatencyUpTime   = 20
	maxBaseLatencyDivisor        = 3 // the objective over the largest base latency
	minBaseLatency      = 1e-4
)

// poolLoad returns the load of the pool over its target: above 1 the cursor moves right.
func (b *Balancer) poolLoad(now time.Duration, dt float64) float64 {
	keep := math.Exp(-dt / (smoothingShare * b.meanObjective))
	b.outcomeCount *= keep
	b.latencySum *= keep
	b.fullCount *= keep
	b.errorCount *= keep
	load := b.latencyLoad(dt)
	if !slices.Contains(b.settings.ReportFields, FieldUtilization) {
		return load
	}
	utilization, reports := b.reportedUtilization(now)
	switch {
	case reports == 0:
		return load
	case b.settings.Tier > 0: // a request that other tiers have worked on is not rejected if it is in time
		return min(load, utilization/targetUtilization)
	}
	return max(load, utilization/targetUtilization)
}

// latencyLoad is the load by latency and by answers that reject as full. Answers tell of requests admitted
// some time ago; requests in flight over answers per second is the latency of one admitted now (Little's
// law). Both must be high.
func (b *Balancer) latencyLoad(dt float64) float64 {
	if b.outcomeCount < minSamples {
		return 0
	}
	latency := b.latencySum / b.outcomeCount
	b.updateBaseLatency(latency, dt)
	target := max(targetLatencyShare*b.meanObjective, minTargetMultiple*b.baseLatency)
	span := smoothingShare * b.meanObjective // the answers counted span it
	upcoming := float64(b.queueLength()) * span / max(b.outcomeCount-b.fullCount, minSamples)
	return min(latency, upcoming)/target + serverFullWeight*b.fullCount/b.outcomeCount
}

// reportedUtilization returns the mean utilization that the servers of the subset report.
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

// updateBaseLatency follows the quiet latency: down fast, up slowly and only while nothing is shed, never
// above what the objective allows. So a balancer that starts in an overload does not learn it as normal.
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

// usualLatency is the present latency of the pool, in seconds.
func (b *Balancer) usualLatency() float64 {
	if b.outcomeCount < minSamples {
		return b.baseLatency
	}
	return max(b.baseLatency, b.latencySum/b.outcomeCount)
}

// expectedLatency is the time in which expectedLatencyQuantile of a class's requests are answered.
type expectedLatency struct {
	seconds   float64 // 0: not known
	samples   float64 // attempts observed
	updatedAt time.Duration
}

// observe adjusts the time by one attempt: each answer in less time lowers it, and each attempt that took
// longer raises it, with an answer or not. An attempt that ended sooner without an answer says nothing.
func (e *expectedLatency) observe(now time.Duration, v Verdict, latency float64) {
	step := max(expectedLatencyStep, 1/(1+e.samples)) // the first samples count for more
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

// memoryDecay is the factor by which old knowledge has faded.
func memoryDecay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / expectedLatencyMemory.Seconds())
}

// hasTooLittleTime reports whether a request is unlikely to end in the time that is left. It would take work
// from all tiers behind and end as an error in each, whereas its client, rejected at once, can come back with
// more time. Clients that never have more time than a third of the requests take are served by chance, since
// what is not observed is forgotten. A request that other tiers have worked on needs half of that time.
func (b *Balancer) hasTooLittleTime(now time.Duration, r *request, left float64) bool {
	needed := r.expected.seconds * memoryDecay(now-r.expected.updatedAt)
	if b.settings.Tier > 0 {
		needed /= 2
	}
	floor := b.baseLatency / 2
	if !b.baseLearned { // a guess must fade, or clients that never have more time would never be served
		floor = min(b.baseLatency, r.class.LatencyObjective.Seconds()/4) / 2
		floor *= memoryDecay(now - b.startedAt)
	}
	return left < max(needed, floor)
}
