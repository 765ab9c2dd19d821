package lbpolicy

// This file: the cursor table: which calls are let in.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// buildTable lays out a row for each worth level, lowest first. All rows stand at T1 in the n home slots.
// To the right the lowest row falls to nothing first, then the next: a call of higher worth is refused
// only when shedding all below it falls short (paper 3.3). The main row, that of the highest worth, falls
// at every slot.
func (b *Balancer) buildTable() {
	var worths []float64
	for _, c := range b.settings.Classes {
		worths = append(worths, c.PriorityWeight)
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	for _, c := range b.settings.Classes {
		b.levels = append(b.levels, 1+slices.Index(worths, c.PriorityWeight))
	}
	rows := len(worths) + 1
	slots := restingSlots + rows*slotsPerLevel
	for level := range rows {
		row := make([]float64, slots)
		for slot := range row {
			past := float64(slot - restingSlots + 1)
			own := past - float64(level*slotsPerLevel)
			switch {
			case past <= 0:
				row[slot] = 1 - restingSpread*float64(rows-1-level)/float64(rows-1)
			case own <= 0:
				row[slot] = min(row[0], sheddingThreshold-(sheddingThreshold-ownLevelThreshold)*past/float64(slots))
			default:
				row[slot] = max(0, ownLevelThreshold*(1-own/slotsPerLevel))
			}
		}
		if level == rows-1 {
			row[slots-1] = 0.05 // the highest worth is never shut out whole
		}
		b.table = append(b.table, row)
		b.levelArrivals, b.levelRates = append(b.levelArrivals, 0), append(b.levelRates, 0)
		aim := math.Inf(1)
		for i, c := range b.settings.Classes {
			if b.levels[i] >= level {
				aim = min(aim, c.LatencyObjective.Seconds())
			}
		}
		b.levelObjectives = append(b.levelObjectives, aim)
	}
}

// quietLoad is what this balancer carries in quiet times: rate x quiet latency. The faster of two smoothed
// rates counts, so that one that suddenly carries a large slice of the traffic doesn't refuse it for being
// new.
func (b *Balancer) quietLoad() float64 { return max(b.fastRate, b.slowRate) * b.baseLatency }

// queueLength is the calls in flight that the pool's servers have to answer.
func (b *Balancer) queueLength() int { return b.inFlight - b.inFlightEjected - b.dispatchPending }

// threshold is what the cursor holds for a level. A balancer that has just started knows no rate: until it
// has seen traffic for one aim it lets all in at the home slots, or each start and restart would refuse
// what it could serve.
func (b *Balancer) threshold(now time.Duration, level int) float64 {
	if b.cursor < restingSlots && (now-max(b.startedAt, b.resumedAt)).Seconds() < b.meanObjective {
		return math.Inf(1)
	}
	top := max(b.fastRate, b.slowRate)*max(thresholdHeadroom*b.baseLatency, maxQueueShare*b.levelObjectives[level]) + minThreshold
	return b.table[level][b.cursor] * top
}

// levelOf is the row of a request. Shares of tenants are taken at the front alone: deeper calls have passed
// there.
func (b *Balancer) levelOf(r Request) int {
	if r.Retry && b.settings.RetriesMarked {
		return lowestLevel
	}
	if b.settings.Tier == 0 && r.Tenant >= 0 && r.Tenant < len(b.tenants) && b.tenants[r.Tenant].quota > 0 {
		t := &b.tenants[r.Tenant]
		t.tokens = max(t.tokens-1, -t.quota*b.trafficShare())
		if t.tokens < 0 {
			return lowestLevel
		}
	}
	return b.levels[r.Class]
}

// advance steps the cursor for the periods that have passed; the phase is drawn from the seed, so that
// balancers do not step together.
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
	// A lasting overload that T1 holds back keeps load under its target: then calls refused out of turn move
	// the cursor, until the rows under them are shut.
	if load > 1 || b.priorityInversion {
		b.cursor = min(b.cursor+1, len(b.table[0])-1)
	} else {
		b.cursor--
	}
	b.priorityInversion = false
	b.cursor = max(b.cursor-missed, 0)
	if on := b.cursor >= restingSlots; on != b.shedding && (on || b.cursor == 0) {
		b.shedding = on
		b.host.Log(fmt.Sprintf("cursor %d load %.2f in flight %d shedding %t",
			b.cursor, load, b.inFlight, on))
	}
}

func (b *Balancer) updateRates(now time.Duration, dt float64) {
	r, age := float64(b.answeredInPeriod)/dt, (now - b.startedAt).Seconds()
	b.arrivalRate += (float64(b.arrivedInPeriod)/dt - b.arrivalRate) * smoothingWeight(dt, min(2, age))
	b.answeredInPeriod, b.arrivedInPeriod = 0, 0
	for i, n := range b.levelArrivals {
		b.levelRates[i] += (n/dt - b.levelRates[i]) * smoothingWeight(dt, min(2, age))
		b.levelArrivals[i] = 0
	}
	b.fastRate += (r - b.fastRate) * smoothingWeight(dt, min(1, age))
	b.slowRate += (r - b.slowRate) * smoothingWeight(dt, min(10, age))
	for i := range b.tenants {
		t := &b.tenants[i]
		rate := t.quota * b.trafficShare()
		t.tokens = min(t.tokens+rate*dt, 2*rate+2)
	}
}

// trafficShare is the part of all traffic that tenants' shares are measured against here: an even part, or more
// where more comes. A balancer can't tell a large slice from an overload, and to take the first for the
// second would refuse tenants within their share.
func (b *Balancer) trafficShare() float64 {
	return max(1/float64(b.settings.Balancers), b.arrivalRate/max(b.totalQuota, 1))
}

// smoothingWeight of a sample that stands for dt in a smoothing over tau.
func smoothingWeight(dt, tau float64) float64 { return 1 - math.Exp(-dt/tau) }
