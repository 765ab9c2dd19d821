package discoverypoll

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// The tests in this file simulate the load of many instances on one discovery service, which serves one call at a time.

const (
	serviceTime   = 4 * time.Millisecond // of discovery for a call, and for the response to a watch
	maxQueueDelay = 1 * time.Second      // a call that would be queued for longer is rejected
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// discoveryFault is a fault of the discovery service.
type discoveryFault int

const (
	healthy      discoveryFault = iota
	down                        // rejects each call with status 503
	unresponsive                // accepts calls and never responds
)

// fleet is a discovery service and the instances that poll it, in simulated time.
type fleet struct {
	now   time.Duration
	queue events

	fault         discoveryFault
	version       int           // of the endpoint list
	busyUntil     time.Duration // when the calls already queued will have been served
	instances     []*instance
	callsBySecond map[int]int
	rejected      int // calls rejected because the queue was full, without a fault of discovery
}

// instance is an instance that polls discovery, with its call in flight.
type instance struct {
	pollScheduler
	fleet        *fleet
	knownVersion int
	updatedAt    time.Duration // when knownVersion arrived
	callNumber   int           // of the call in flight
	pending      bool          // the call in flight waits at discovery for a change
	call         Call
}

// schedule runs do after d.
func (f *fleet) schedule(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now + d, do}) }

// run processes the events up to a time.
func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// enqueue serves a call after those that are already queued.
func (f *fleet) enqueue(do func()) {
	f.busyUntil = max(f.busyUntil, f.now) + serviceTime
	f.schedule(f.busyUntil-f.now, do)
}

// poll starts a call.
func (i *instance) poll() {
	f := i.fleet
	i.callNumber++
	n := i.callNumber
	i.call = i.Begin(f.now, false)
	f.callsBySecond[int(f.now/time.Second)]++
	f.schedule(i.call.FirstByteTimeout, func() { i.finish(n, NoResponse) })
	f.schedule(roundTrip/2, func() {
		switch {
		case f.fault == down:
			f.schedule(roundTrip/2, func() { i.finish(n, Failed) })
		case f.fault == unresponsive:
		case f.busyUntil-f.now > maxQueueDelay:
			f.rejected++
			f.schedule(roundTrip/2, func() { i.finish(n, Failed) })
		default:
			f.enqueue(func() {
				if i.knownVersion < f.version {
					i.respond(n)
				} else if i.callNumber == n {
					i.pending = true
					f.schedule(i.call.Wait, func() { // the wait that the call asked for has passed
						if i.callNumber == n && i.pending {
							i.pending = false
							f.enqueue(func() { i.respond(n) })
						}
					})
				}
			})
		}
	})
}

// respond sends the endpoint list as the response to call number n.
func (i *instance) respond(n int) {
	version := i.fleet.version
	i.fleet.schedule(roundTrip/2, func() {
		if i.callNumber == n && i.knownVersion < version {
			i.knownVersion, i.updatedAt = version, i.fleet.now
		}
		i.finish(n, Complete)
	})
}

// finish ends call number n and schedules the next call.
func (i *instance) finish(n int, outcome Outcome) {
	if i.callNumber != n {
		return // the call has timed out or ended before
	}
	i.callNumber++
	i.pending = false
	i.fleet.schedule(i.End(i.fleet.now, outcome), i.poll)
}

// publishChange increments the version and queues a response to each pending watch.
func (f *fleet) publishChange() {
	f.version++
	for _, i := range f.instances {
		if n := i.callNumber; i.pending {
			i.pending = false
			f.enqueue(func() { i.respond(n) })
		}
	}
}

// updateDelay returns how long after since the last instance received the current version. It returns an hour if an instance
// has not received it.
func (f *fleet) updateDelay(since time.Duration) (longest time.Duration) {
	for _, i := range f.instances {
		if i.knownVersion < f.version {
			return time.Hour
		}
		longest = max(longest, i.updatedAt-since)
	}
	return longest
}

// peakCallRate returns the largest number of calls in one second, of the seconds in [from, to).
func (f *fleet) peakCallRate(from, to int) (peak int) {
	for s := from; s < to; s++ {
		peak = max(peak, f.callsBySecond[s])
	}
	return peak
}

// loadResult is the result of a simulated run of a fleet.
type loadResult struct {
	steadyRate   float64          // calls per second without faults
	peakRates    [5]int           // calls per second: at start, no fault, watches lost after a change, discovery down, unresponsive
	updateDelays [3]time.Duration // after the faults: watches lost, discovery down, discovery unresponsive
	rejected     int              // calls rejected because the queue was full
}

// simulateFleet runs size instances for 500 s. All of them start, lose their watches and are rejected at the same time.
func simulateFleet(size int, seed uint64, create func(draw func() float64) pollScheduler) loadResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{callsBySecond: map[int]int{}}
	for range size {
		i := &instance{pollScheduler: create(rng.Float64), fleet: f}
		f.instances = append(f.instances, i)
		f.schedule(time.Duration((0.5+rng.Float64())*float64(mustAskIn/8)), i.poll) // the same delay as in lbpolicy
	}
	var result loadResult
	f.run(200 * time.Second)
	for s := 100; s < 200; s++ {
		result.steadyRate += float64(f.callsBySecond[s]) / 100
	}
	result.peakRates[0], result.peakRates[1] = f.peakCallRate(0, 10), f.peakCallRate(20, 200)
	f.publishChange()
	f.run(202 * time.Second)
	for _, i := range f.instances {
		i.pending = false // all pending watches are lost without a response
	}
	f.publishChange()
	f.run(300 * time.Second)
	result.updateDelays[0], result.peakRates[2] = f.updateDelay(202*time.Second), f.peakCallRate(200, 300)
	for n, fault := range []discoveryFault{down, unresponsive} {
		begin := time.Duration(300+100*n) * time.Second
		f.fault = fault
		for _, i := range f.instances {
			i.pending = false
			if fault == down {
				i.finish(i.callNumber, Failed)
			}
		}
		f.run(begin + 13*time.Second)
		f.fault = healthy
		f.publishChange()
		f.run(begin + 100*time.Second)
		result.updateDelays[1+n], result.peakRates[3+n] = f.updateDelay(begin+13*time.Second), f.peakCallRate(300+100*n, 400+100*n)
	}
	result.rejected = f.rejected
	return result
}

// variant is a Poller with other timeouts and backoff.
type variant struct {
	*Poller
	name         string
	failureCount int
}

const (
	formerTimeouts  = "watch timeout 4 to 12 s, backoff of the former policy"
	serverEndsWait  = "wait of 4.5 s that discovery ends"
	narrowSpread    = "watch timeout 5 s, first after a change 2.5 to 5 s"
	currentTimeouts = "watch timeout 5 s, first after a change 0.5 to 5 s"
)

func (v *variant) Begin(now time.Duration, snapshot bool) Call {
	wasSynchronized := v.synchronized
	call := v.Poller.Begin(now, snapshot)
	if call.Wait == MaxWait {
		switch v.name {
		case narrowSpread:
			if wasSynchronized {
				call.FirstByteTimeout = pollInterval/2 + (call.FirstByteTimeout-pollInterval/10)*5/9
			}
		case formerTimeouts:
			call.FirstByteTimeout = time.Duration((0.5 + v.random()) * float64(8*time.Second))
		case serverEndsWait:
			call.Wait = call.FirstByteTimeout - time.Second/2
		}
	}
	return call
}

func (v *variant) End(now time.Duration, outcome Outcome) time.Duration {
	isUnchanged := v.name == serverEndsWait && outcome == Complete && now-v.startedAt >= pollInterval-time.Second
	delay := v.Poller.End(now, outcome)
	if isUnchanged {
		v.synchronized = false
	}
	if v.name == formerTimeouts {
		if outcome == Failed {
			v.failureCount = min(v.failureCount+1, 5)
			return time.Duration((0.5 + v.random()) * float64(min(time.Second/2<<v.failureCount, mustAskIn/2)))
		}
		if outcome == Complete {
			v.failureCount = 0
		}
	}
	return delay
}

// TestSimultaneousPollsDoNotOverloadDiscovery has all instances of a fleet start, lose their watches and be rejected at the same
// time. No more calls may be rejected than with the former, longer timeouts. All instances have to receive a change within
// NotifiedAfter. Without faults the polls must not stay synchronized. The results of other timeouts are logged for comparison.
func TestSimultaneousPollsDoNotOverloadDiscovery(t *testing.T) {
	t.Parallel()
	formerlyRejected := map[int]int{} // calls rejected with formerTimeouts, by fleet size; the loop simulates these first
	for _, name := range []string{formerTimeouts, serverEndsWait, narrowSpread, currentTimeouts} {
		for _, size := range []int{1, 12, 80, 300} {
			var worst loadResult
			for seed := range uint64(5) {
				result := simulateFleet(size, seed, func(draw func() float64) pollScheduler { return &variant{Poller: New(draw, mustAskIn), name: name} })
				worst.steadyRate = max(worst.steadyRate, result.steadyRate)
				for n := range result.peakRates {
					worst.peakRates[n] = max(worst.peakRates[n], result.peakRates[n])
				}
				for n := range result.updateDelays {
					worst.updateDelays[n] = max(worst.updateDelays[n], result.updateDelays[n])
				}
				worst.rejected = max(worst.rejected, result.rejected)
			}
			t.Logf("%-55s %3d instances: %5.1f calls/s without faults, peaks: start %3d, no fault %3d, watches lost %3d, down %3d, unresponsive %3d; change known after %.2f, %.2f, %.2f s; rejected %d",
				name, size, worst.steadyRate, worst.peakRates[0], worst.peakRates[1], worst.peakRates[2], worst.peakRates[3], worst.peakRates[4],
				worst.updateDelays[0].Seconds(), worst.updateDelays[1].Seconds(), worst.updateDelays[2].Seconds(), worst.rejected)
			if name == formerTimeouts {
				formerlyRejected[size] = worst.rejected
			}
			if name != currentTimeouts {
				continue
			}
			for _, delay := range worst.updateDelays {
				if delay > NotifiedAfter+slack {
					t.Errorf("%d instances: change known after %v", size, delay)
				}
			}
			if worst.rejected > formerlyRejected[size] || worst.steadyRate > 0.23*float64(size)+0.02 { // 0.02 allows for one call more or less of one instance in the 100 s
				t.Errorf("%d instances: %d calls rejected, %.2f calls/s without faults", size, worst.rejected, worst.steadyRate)
			}
			if size >= 80 && worst.peakRates[1] > size*6/10 {
				t.Errorf("%d instances: up to %d calls/s without faults: the polls stay synchronized as at start", size, worst.peakRates[1])
			}
		}
	}
}
