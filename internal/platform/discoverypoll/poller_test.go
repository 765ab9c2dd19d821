package discoverypoll

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	dialTimeout = 1 * time.Second        // for establishing a connection; the value of the host
	roundTrip   = 40 * time.Millisecond  // to discovery and back
	slack       = 300 * time.Millisecond // the 250 ms that rule 3 allows, and 50 ms for sockets
	mustAskIn   = 10 * time.Second       // after a failed call, changes count as notified after four times this; NotifiedAfter passes first
)

// callResult is what the network and discovery do with a call.
type callResult int

const (
	served       callResult = iota // the response arrives as soon as there is a change
	bodyStalled                    // the response begins and then stalls
	bodyCutOff                     // the response begins and then the connection is closed
	unanswered                     // no byte of a response arrives
	refused                        // the connection is refused, or the call is rejected immediately
	dialTimedOut                   // the connection is not established
	lateReset                      // the connection is reset just before the first-byte timeout
	callResultCount
)

// script holds the results of the calls and the changes of a simulated run.
type script struct {
	results      []callResult    // of the calls in order; all later calls are served
	changeDelays []time.Duration // from the start of the phase (the start of a call or its end) to each change
	changePhases []int           // the phase in which each change occurs: 2n during call n, 2n+1 in the pause after call n
	snapshot     bool            // the whole list is requested until a call is served
	boundOnly    bool            // changes count as notified only by NotifiedAfter, which holds in any case
}

// runScript runs a script and returns an error for the first change that counted as notified, by the platform's pages, longer
// than slack before the host knew it. Discovery is a model. The poller is the real one, or one with a fault.
func runScript(s script, poller pollScheduler) error {
	// Discovery is reachable at a time if a call that begins then would be served. A call from then on returns the changes that
	// occurred before. Each call that is not served shows that discovery was not reachable when the call began.
	type pendingChange struct{ occurredAt, notifiedAt, reachableAt time.Duration }
	var pending []pendingChange // changes that the host does not know
	now := time.Duration(0)
	next := 0
	changesIn := func(phase int, from, to time.Duration) (times []time.Duration) {
		for next < len(s.changePhases) && s.changePhases[next] <= phase {
			if t := from + s.changeDelays[next]; s.changePhases[next] == phase && t < to {
				times = append(times, t)
			}
			next++
		}
		return times
	}
	limitNotifiedAt := func(i int, at time.Duration) {
		if !s.boundOnly {
			pending[i].notifiedAt = min(pending[i].notifiedAt, at)
		}
	}
	snapshot := s.snapshot
	for n := range len(s.results) + 6 {
		result := served
		if n < len(s.results) {
			result = s.results[n]
		}
		call := poller.Begin(now, snapshot)
		timeoutAt := now + call.FirstByteTimeout
		for _, change := range pending {
			if now+roundTrip > change.reachableAt+NotifiedAfter+slack {
				return fmt.Errorf("call %d at %v: change of %v is not known, discovery has been reachable since %v", n, now, change.occurredAt, change.reachableAt)
			}
		}
		if result != served {
			for i := range pending {
				pending[i].reachableAt = now
			}
		}
		for _, t := range changesIn(2*n, now, now+min(call.FirstByteTimeout, call.Wait)) {
			pending = append(pending, pendingChange{t, never, t})
		}
		responseAt := now + call.Wait // the time at which the first byte of the response arrives
		for _, change := range pending {
			responseAt = min(responseAt, max(change.occurredAt, now))
		}
		responseAt += roundTrip
		var end time.Duration
		var outcome Outcome
		switch {
		case result == refused:
			end, outcome = now+roundTrip, Failed
		case result == dialTimedOut:
			end, outcome = now+min(dialTimeout, call.FirstByteTimeout), Failed
		case result == lateReset:
			end, outcome = timeoutAt, Failed
		case result == unanswered || responseAt > timeoutAt:
			end, outcome = timeoutAt, NoResponse
			for i := range pending { // changes during a call without a response
				limitNotifiedAt(i, now+call.Wait+UnansweredGrace)
			}
		case result == served:
			end, outcome = responseAt, Complete
			for _, change := range pending {
				if written := responseAt - roundTrip/2; change.occurredAt <= written && end > min(change.notifiedAt, written)+slack {
					return fmt.Errorf("call %d: change of %v counted as notified at %v, known at %v", n, change.occurredAt, change.notifiedAt, end)
				}
			}
			pending, snapshot = pending[:0], false
		case result == bodyCutOff:
			end, outcome = responseAt, Incomplete
		default:
			end, outcome = responseAt+call.BodyTimeout, Incomplete
		}
		if outcome == Incomplete {
			for i, change := range pending {
				// A change that an earlier call did not return was due in this response.
				limitNotifiedAt(i, max(change.occurredAt, now)+NotifiedAfter)
			}
		}
		if outcome == Failed {
			for i, change := range pending {
				limitNotifiedAt(i, max(change.occurredAt, now)+4*mustAskIn)
			}
		}
		for _, change := range pending {
			if end > change.notifiedAt+slack {
				return fmt.Errorf("call %d: change of %v counted as notified at %v, not known at %v", n, change.occurredAt, change.notifiedAt, end)
			}
		}
		pause := poller.End(end, outcome)
		for _, t := range changesIn(2*n+1, end, end+pause) {
			notifiedAt := never
			if !s.boundOnly && outcome == Complete && t-end <= NotificationGrace && pause+roundTrip/2 > NotificationGrace {
				// The next call comes too late to continue the watch. A call in time returns the change like one that occurs
				// during the call.
				notifiedAt = t
			}
			pending = append(pending, pendingChange{t, notifiedAt, t})
		}
		now = end + pause
	}
	for _, change := range pending {
		if now > change.notifiedAt+slack {
			return fmt.Errorf("change of %v counted as notified at %v, never known", change.occurredAt, change.notifiedAt)
		}
	}
	return nil
}

// never is a time after the end of every script.
const never = time.Duration(1 << 62)

// pollScheduler is a Poller or a variant of one.
type pollScheduler interface {
	Begin(now time.Duration, snapshot bool) Call
	End(now time.Duration, outcome Outcome) time.Duration
}

// runAllScripts runs all scripts of a number of calls and two changes, with faults in at most two calls in a row. After more
// faults no client with a bounded number of polls can know what it was not sent. With boundOnly, scripts have one change and
// any number of faults in a row. It returns the number of scripts and the error of the first script that fails.
func runAllScripts(calls int, boundOnly, snapshot bool, create func(draw float64) pollScheduler) (scripts int, err error) {
	offsets := []time.Duration{0, 10 * time.Millisecond, 120 * time.Millisecond, 190 * time.Millisecond, 2 * time.Second, 7 * time.Second}
	if boundOnly {
		offsets = []time.Duration{0, 120 * time.Millisecond, 2 * time.Second, 4 * time.Second}
	}
	script := script{boundOnly: boundOnly, snapshot: snapshot}
	var fill func(faultsInRow int) bool
	fill = func(faultsInRow int) bool {
		if len(script.results) < calls {
			for result := range callResultCount {
				nextFaultsInRow := 0
				if result != served {
					if nextFaultsInRow = faultsInRow + 1; nextFaultsInRow > 2 && !boundOnly {
						continue
					}
				}
				script.results = append(script.results, result)
				ok := fill(nextFaultsInRow)
				script.results = script.results[:len(script.results)-1]
				if !ok {
					return false
				}
			}
			return true
		}
		for first := range 2 * calls {
			for second := first; second < 2*calls; second++ {
				for _, a := range offsets {
					for _, b := range offsets {
						if boundOnly && (second > first || b > 0) {
							continue
						}
						for _, draw := range []float64{0, 0.5, 0.999} {
							script.changePhases, script.changeDelays = []int{first, second}, []time.Duration{a, b}
							scripts++
							if err = runScript(script, create(draw)); err != nil {
								err = fmt.Errorf("%+v: %w", script, err)
								return false
							}
						}
					}
				}
			}
		}
		return true
	}
	fill(0)
	return scripts, err
}

// TestChangesAreKnownWhenTheyCountAsNotified checks that the host knows each change by the time at which the change counts as
// notified, for all results of the calls and all times of the changes.
func TestChangesAreKnownWhenTheyCountAsNotified(t *testing.T) {
	t.Parallel()
	scripts, err := runAllScripts(3, false, false, func(draw float64) pollScheduler { return New(func() float64 { return draw }, mustAskIn) })
	t.Logf("%d scripts", scripts)
	if err != nil || scripts < 100_000 {
		t.Error(err)
	}
}

// TestChangesAreKnownWithinNotifiedAfter checks that a change is known 6 s after discovery had it and was reachable. This holds
// after any number of failed calls, also if the whole list is requested, and for each value of must_ask_in.
func TestChangesAreKnownWithinNotifiedAfter(t *testing.T) {
	t.Parallel()
	for _, mustAsk := range []time.Duration{0, time.Second, mustAskIn, time.Minute} {
		for _, snapshot := range []bool{false, true} {
			scripts, err := runAllScripts(4, true, snapshot, func(draw float64) pollScheduler { return New(func() float64 { return draw }, mustAsk) })
			t.Logf("must_ask_in %v, snapshot %t: %d scripts", mustAsk, snapshot, scripts)
			if err != nil || scripts < 100_000 {
				t.Error(err)
			}
		}
	}
}

// faultyPoller is a Poller with one fault.
type faultyPoller struct {
	*Poller
	fault         string
	failuresInRow int
}

const (
	longBodyTimeout    = "the body timeout is as long as the timeout of a watch"
	shortRequestedWait = "the wait sent to discovery is only 1 s longer than the first-byte timeout"
	latePoll           = "the poll after a response comes later than NotificationGrace"
	longWatchTimeout   = "the watch timeout is 4 to 12 s"
	longBackoff        = "the backoff doubles from 1 to 5 s, with a jitter of half of it"
	backoffFromEnd     = "the backoff is counted from the end of the call"
)

func (p *faultyPoller) Begin(now time.Duration, snapshot bool) Call {
	call := p.Poller.Begin(now, snapshot)
	switch p.fault {
	case longBodyTimeout:
		call.BodyTimeout = call.FirstByteTimeout
	case shortRequestedWait:
		call.Wait = call.FirstByteTimeout + time.Second
	case longWatchTimeout:
		if call.Wait == MaxWait {
			call.FirstByteTimeout = 4*time.Second + time.Duration(p.random()*float64(8*time.Second))
		}
	}
	return call
}

func (p *faultyPoller) End(now time.Duration, outcome Outcome) time.Duration {
	delay := p.Poller.End(now, outcome)
	switch {
	case p.fault == latePoll && outcome == Complete:
		return 600 * time.Millisecond
	case outcome == Complete || delay <= minInterval:
		p.failuresInRow = 0
	case p.fault == longBackoff:
		p.failuresInRow++
		return time.Duration(float64(min(time.Second<<(p.failuresInRow-1), mustAskIn/2)) * (0.5 + p.random()))
	case p.fault == backoffFromEnd:
		p.failuresInRow++
		return p.jitter(min(time.Second<<p.failuresInRow, pollInterval))
	}
	return delay
}

// TestModelDetectsEachFaultyPoller checks that the model detects each of the faults that the Poller had or might have.
func TestModelDetectsEachFaultyPoller(t *testing.T) {
	t.Parallel()
	for fault, boundOnly := range map[string]bool{longBodyTimeout: false, shortRequestedWait: false, latePoll: false, longWatchTimeout: true, longBackoff: true, backoffFromEnd: true} {
		_, err := runAllScripts(4, boundOnly, false, func(draw float64) pollScheduler {
			return &faultyPoller{Poller: New(func() float64 { return draw }, mustAskIn), fault: fault}
		})
		if err == nil {
			t.Errorf("%s: fault not detected", fault)
		}
		t.Logf("%s: %v", fault, err)
	}
}

// TestChangesAreKnownInLongRandomScripts checks that the host knows each change by the time at which the change counts as
// notified, over 40 calls with random results, as a timeout may depend on many earlier calls.
func TestChangesAreKnownInLongRandomScripts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := script{}
		faultsInRow := 0
		for range 40 {
			result := callResult(rng.IntN(int(callResultCount)))
			if result != served {
				faultsInRow++
			}
			if result == served || faultsInRow > 2 {
				result, faultsInRow = served, 0
			}
			s.results = append(s.results, result)
		}
		for n := range 80 {
			if rng.IntN(3) == 0 {
				s.changePhases = append(s.changePhases, n)
				s.changeDelays = append(s.changeDelays, time.Duration(rng.IntN(9000))*time.Millisecond>>rng.IntN(8))
			}
		}
		if err := runScript(s, New(rng.Float64, mustAskIn)); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, s, err)
		}
	}
}

// TestPollsBackOffWhileDiscoveryFails checks that polls back off while discovery is down, unresponsive or sends incomplete
// responses, as far as NotifiedAfter allows.
func TestPollsBackOffWhileDiscoveryFails(t *testing.T) {
	t.Parallel()
	for _, outcome := range []Outcome{NoResponse, Incomplete, Failed} {
		poller := New(func() float64 { return 0.5 }, mustAskIn)
		now, calls := time.Duration(0), 0
		for now < 10*time.Minute {
			call := poller.Begin(now, false)
			calls++
			if outcome == NoResponse {
				now += call.FirstByteTimeout
			} else {
				now += roundTrip
			}
			now += poller.End(now, outcome)
		}
		if calls > 600/5*2 {
			t.Errorf("%v: %d calls in ten minutes", outcome, calls)
		}
		t.Logf("%v: %d calls in ten minutes", outcome, calls)
	}
}

// TestSharedByLengthensWaitWithInstances checks that up to ten instances wait at most pollInterval. More instances of a tier
// together poll at most twice per second without faults, until the mean wait reaches maxSharedWait.
func TestSharedByLengthensWaitWithInstances(t *testing.T) {
	t.Parallel()
	for instances, mean := range map[int]time.Duration{0: pollInterval, 1: pollInterval, 10: pollInterval, 13: 6500 * time.Millisecond, 16: maxSharedWait, 300: maxSharedWait} {
		rng := rand.New(rand.NewPCG(uint64(instances), 3))
		poller := New(rng.Float64, mustAskIn).SharedBy(instances)
		now, sum, longest := time.Duration(0), time.Duration(0), time.Duration(0)
		const calls = 2000
		for range calls {
			call := poller.Begin(now, false)
			// A short call confirms the list before changes during an unanswered watch count as notified. It is answered.
			if call.Wait != MaxWait {
				now += roundTrip
				poller.End(now, Complete)
				continue
			}
			now, sum, longest = now+call.FirstByteTimeout, sum+call.FirstByteTimeout, max(longest, call.FirstByteTimeout)
			now += poller.End(now, NoResponse)
		}
		if mean == pollInterval && longest > pollInterval {
			t.Errorf("%d instances: longest wait %v", instances, longest)
		}
		if got := sum / calls; got < mean*3/4 || got > mean*11/10 {
			t.Errorf("%d instances: mean wait %v, want about %v", instances, got, mean)
		}
	}
}
