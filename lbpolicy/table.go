package lbpolicy

// The cursor table, which decides which requests are admitted.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// buildTable builds one row for each priority weight, the lowest first, below a row for lowestLevel. All rows
// are near T1 in the resting slots. To the right, the lowest row falls to zero first, then the next one. So a
// request is rejected only when shedding all lower levels is not enough (paper 3.3).
func (b *Balancer) buildTable() {
	var weights []float64
	for _, c := range b.settings.Classes {
		weights = append(weights, c.PriorityWeight)
	}
	slices.Sort(weights)
	weights = slices.Compact(weights)
	for _, c := range b.settings.Classes {
		b.levels = append(b.levels, 1+slices.Index(weights, c.PriorityWeight))
	}
	rows := len(weights) + 1
	for level := range rows {
		b.table = append(b.table, tableRow(level, rows))
		b.levelArrivals = append(b.levelArrivals, 0)
		b.levelRates = append(b.levelRates, 0)
		b.levelObjectives = append(b.levelObjectives, b.shortestObjective(level))
	}
}

// minTopThreshold keeps the highest level from being rejected entirely, as a share of T1.
const minTopThreshold = 0.05

// tableRow returns the thresholds of one level, as shares of T1.
func tableRow(level, rows int) []float64 {
	row := make([]float64, restingSlots+rows*slotsPerLevel)
	for slot := range row {
		steps := float64(slot - restingSlots + 1)
		ownSteps := steps - float64(level*slotsPerLevel) // after all lower levels are shed
		switch {
		case steps <= 0:
			row[slot] = 1 - restingSpread*float64(rows-1-level)/float64(rows-1)
		case ownSteps <= 0:
			fall := (sheddingThreshold - ownLevelThreshold) * steps / float64(len(row))
			row[slot] = min(row[0], sheddingThreshold-fall)
		default:
			row[slot] = max(0, ownLevelThreshold*(1-ownSteps/slotsPerLevel))
		}
	}
	if level == rows-1 {
		row[len(row)-1] = minTopThreshold
	}
	return row
}

// shortestObjective returns the shortest latency objective of a level and those above it, in seconds.
func (b *Balancer) shortestObjective(level int) float64 {
	objective := math.Inf(1)
	for i, c := range b.settings.Classes {
		if b.levels[i] >= level {
			objective = min(objective, c.LatencyObjective.Seconds())
		}
	}
	return objective
}

// baselineInFlight returns the requests in flight at low load: rate x base latency. The higher of the two
// smoothed rates is used, so that a sudden increase in traffic is not rejected just because it is new.
func (b *Balancer) baselineInFlight() float64 { return max(b.fastRate, b.slowRate) * b.baseLatency }

// queueLength is the number of requests in flight that the servers of the pool have to answer.
func (b *Balancer) queueLength() int { return b.inFlight - b.inFlightEjected - b.dispatchPending }

// threshold returns the threshold of a level under the cursor. A balancer that has just started, or resumed
// after a pause, knows no rate. Until it has seen traffic for one latency objective, it admits everything in
// the resting slots. Otherwise each restart would reject requests that could be served.
func (b *Balancer) threshold(now time.Duration, level int) float64 {
	observed := (now - max(b.startedAt, b.resumedAt)).Seconds()
	if b.cursor < restingSlots && observed < b.meanObjective {
		return math.Inf(1)
	}
	queueSeconds := max(thresholdHeadroom*b.baseLatency, maxQueueShare*b.levelObjectives[level])
	fullThreshold := max(b.fastRate, b.slowRate)*queueSeconds + thresholdOffset
	return b.table[level][b.cursor] * fullThreshold
}

// levelOf returns the level of a request. Tenant quotas are enforced at the front tier only, as requests to
// other tiers have passed there.
func (b *Balancer) levelOf(r Request) int {
	if r.Retry && b.settings.RetriesMarked {
		return lowestLevel
	}
	hasTenant := r.Tenant >= 0 && r.Tenant < len(b.tenants)
	if b.settings.Tier == 0 && hasTenant && b.tenants[r.Tenant].quota > 0 {
		t := &b.tenants[r.Tenant]
		t.tokens = max(t.tokens-1, -t.quota*b.trafficShare())
		if t.tokens < 0 {
			return lowestLevel
		}
	}
	return b.levels[r.Class]
}

// advance checks servers and moves the cursor if a period has ended. The phase of the periods is drawn from
// the seed, so that balancers do not move in step.
func (b *Balancer) advance(now time.Duration) {
	if b.nextStep < 0 {
		b.startedAt, b.lastStep = now, now
		b.nextStep = now + time.Duration(b.random.Float64()*float64(b.period))
	}
	if now < b.nextStep {
		return
	}
	missed := int((now - b.nextStep) / b.period)
	b.nextStep += time.Duration(missed+1) * b.period
	dt := (now - b.lastStep).Seconds()
	b.lastStep = now
	b.updateRates(now, dt)
	b.checkHealth(now)
	load := b.poolLoad(now, dt)
	b.moveCursor(load > 1, missed)
	b.updateShedding(load)
}

// moveCursor moves the cursor one step, and then back by one step for each missed period. In a lasting
// overload, T1 can keep the load below its target. Then priority inversions move the cursor right, until the
// rows of the lower levels are at zero.
func (b *Balancer) moveCursor(overloaded bool, missed int) {
	if overloaded || b.priorityInversion {
		b.cursor = min(b.cursor+1, len(b.table[0])-1)
	} else {
		b.cursor--
	}
	b.priorityInversion = false
	b.cursor = max(b.cursor-missed, 0)
}

// updateShedding starts shedding when the cursor leaves the resting slots, and stops when it is back at 0.
func (b *Balancer) updateShedding(load float64) {
	shedding := b.cursor >= restingSlots
	if shedding == b.shedding || !shedding && b.cursor > 0 {
		return
	}
	b.shedding = shedding
	b.host.Log(fmt.Sprintf("cursor %d load %.2f in flight %d shedding %t",
		b.cursor, load, b.inFlight, shedding))
}

// Time constants of rates, in seconds.
const (
	fastRateTime    = 1
	slowRateTime    = 10
	arrivalRateTime = 2
)

// updateRates smooths the counts of a period, and refills the tokens of tenants.
func (b *Balancer) updateRates(now time.Duration, dt float64) {
	age := (now - b.startedAt).Seconds()
	arrivalWeight := smoothingWeight(dt, min(arrivalRateTime, age))
	b.arrivalRate += (float64(b.arrivalsInPeriod)/dt - b.arrivalRate) * arrivalWeight
	for i, n := range b.levelArrivals {
		b.levelRates[i] += (n/dt - b.levelRates[i]) * arrivalWeight
		b.levelArrivals[i] = 0
	}
	rate := float64(b.completionsInPeriod) / dt
	b.fastRate += (rate - b.fastRate) * smoothingWeight(dt, min(fastRateTime, age))
	b.slowRate += (rate - b.slowRate) * smoothingWeight(dt, min(slowRateTime, age))
	b.completionsInPeriod, b.arrivalsInPeriod = 0, 0
	for i := range b.tenants {
		t := &b.tenants[i]
		quota := t.quota * b.trafficShare()
		t.tokens = min(t.tokens+quota*dt, 2*quota+2)
	}
}

// trafficShare is the share of all traffic against which this balancer enforces quotas: an even share, or
// more if more arrives. A balancer cannot tell a large share of the traffic from an overload. Mistaking the
// first for the second would reject tenants within their quota.
func (b *Balancer) trafficShare() float64 {
	return max(1/float64(b.settings.Balancers), b.arrivalRate/max(b.totalQuota, 1))
}

// smoothingWeight is the weight of a sample over dt in an exponential average with time constant tau.
func smoothingWeight(dt, tau float64) float64 { return 1 - math.Exp(-dt/tau) }
