// Package discoverypoll decides when the discovery service is polled, how long a response is awaited, and when to poll
// again, for a service that reports changes only in responses to polls. It has no I/O and no clock. Its caller, the host,
// passes the time and reports how calls end.
//
// It ensures that the host knows a change by the time at which the change counts as notified. The platform's pages (PROTOCOL,
// "Discovery" and "Figures"; STANDING) say when a change counts as notified:
//
//   - when it is written in the response to a call;
//   - when it occurs between a response and the next call, within NotificationGrace after the response, whether or not a call
//     follows;
//   - NotifiedAfter after it occurred, if a response was begun and did not arrive completely;
//   - UnansweredGrace after the wait of a call that got no response at all;
//   - in any case NotifiedAfter after discovery had it and was reachable;
//   - a multiple of the settings' must_ask_in after it occurred, if the instance does not poll.
//
// An idle watch cannot be distinguished from a dead one. So a call begins at most pollInterval after the previous call, or as
// soon as that call has ended. Its response contains the changes that occurred meanwhile or while discovery was not
// reachable. If many instances share discovery, a watch without changes is kept for longer, and the bound does not hold for
// a watch that dies: see SharedBy.
package discoverypoll

import "time"

// Bounds of the platform's pages on when changes count as notified, and on calls.
const (
	NotificationGrace = 200 * time.Millisecond
	NotifiedAfter     = 6 * time.Second
	UnansweredGrace   = 2 * time.Second
	MaxWait           = 60 * time.Second // the longest wait that a call may ask for
)

const (
	// pollInterval leaves one second of NotifiedAfter to the next call, for queueing at a busy discovery service, or for the
	// rest of a response that began just before the timeout. A larger margin would cause more calls, even without faults.
	pollInterval    = NotifiedAfter - time.Second
	snapshotTimeout = 3 * time.Second       // for a call without a wait
	bodyTimeout     = 1 * time.Second       // for a response that has begun
	minInterval     = 20 * time.Millisecond // between a response and the next call; well within NotificationGrace

	confirmWait   = 1 * time.Second        // of a call that only confirms the current list
	confirmGrace  = 500 * time.Millisecond // for its response, beyond confirmWait
	confirmBudget = 5 * time.Second        // for the call and its repeat after a failure

	maxImmediateRetries = 3               // after incomplete responses and unanswered confirmations, in a row
	backoff             = 2 * time.Second // after a first failure, before jitter; doubled with each further one
	maxBackoffDoublings = 4

	// If many instances share discovery, their polls have to fit its capacity. An overloaded discovery service rejects all
	// calls, and no instance receives changes. So each instance of a tier beyond ten adds waitPerInstance to the wait, up to
	// maxSharedWait. If a watch dies, changes are known later by the difference between the wait and pollInterval.
	waitPerInstance = 500 * time.Millisecond
	maxSharedWait   = 8 * time.Second
)

// Call is a call to make.
type Call struct {
	Wait             time.Duration // sent to discovery as the time to wait for a change; zero if the whole list is requested
	FirstByteTimeout time.Duration // from the start of the call; the call then ends as NoResponse
	BodyTimeout      time.Duration // from the first byte; the call then ends as Incomplete
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Complete   Outcome = iota // a complete response that could be parsed
	NoResponse                // no byte within FirstByteTimeout
	Incomplete                // a response that began and is incomplete, or could not be parsed
	Failed                    // the call was rejected, or no connection was established
)

// Poller decides on the calls of one instance. New returns one. It is not safe for concurrent use.
type Poller struct {
	WatchTimeout time.Duration // mean timeout for the first byte of a response to a watch; set by New and SharedBy

	random           func() float64 // in [0, 1)
	maxBackoff       time.Duration  // before jitter
	shared           bool           // so many instances share discovery that each timeout is drawn around Wait
	synchronized     bool           // the last call ended by an event that may have ended the calls of all instances
	failures         int            // since the last complete response
	immediateRetries int            // in a row, after incomplete responses and unanswered confirmations
	notifiedAt       time.Duration  // when changes since the last response begin to count as notified; zero: no call failed since
	call             Call
	startedAt        time.Duration
}

// New returns a Poller. The function random returns uniformly distributed numbers in [0, 1). The argument mustAskIn is the
// bound of the settings on the time between polls, or zero if there is none.
func New(random func() float64, mustAskIn time.Duration) *Poller {
	p := &Poller{WatchTimeout: pollInterval, random: random, maxBackoff: pollInterval, synchronized: true}
	if mustAskIn > 0 {
		p.maxBackoff = min(p.maxBackoff, mustAskIn*3/4)
	}
	return p
}

// SharedBy sets how many instances of the tier poll the same discovery, by the settings, and returns the Poller.
func (p *Poller) SharedBy(instances int) *Poller {
	p.WatchTimeout = min(max(time.Duration(instances)*waitPerInstance, pollInterval), maxSharedWait)
	p.shared = p.WatchTimeout > pollInterval
	return p
}

// Begin returns the next call; snapshot requests the whole list.
//
// The wait sent to discovery is much longer than FirstByteTimeout, because a change during a call without a response counts
// as notified only UnansweredGrace after that wait. So a watch that dies and the next one both time out before then. If
// changes could count as notified during the next watch, a short call confirms the list first.
func (p *Poller) Begin(now time.Duration, snapshot bool) Call {
	timeout := p.firstByteTimeout()
	p.synchronized = false
	switch {
	case snapshot:
		p.call = Call{FirstByteTimeout: snapshotTimeout, BodyTimeout: bodyTimeout}
	case p.notifiedAt > 0 && now+timeout+confirmBudget > p.notifiedAt:
		p.call = Call{Wait: confirmWait, FirstByteTimeout: confirmWait + confirmGrace, BodyTimeout: bodyTimeout}
	default:
		p.call = Call{Wait: MaxWait, FirstByteTimeout: timeout, BodyTimeout: bodyTimeout}
	}
	p.startedAt = now
	return p.call
}

// firstByteTimeout draws the timeout for the first byte of a watch's response. After an event that may have ended the calls of
// all instances, it spreads the timeouts from a tenth of Wait to all of it. If they were spread over half of Wait, instances
// whose calls began within the same second would stay synchronized.
func (p *Poller) firstByteTimeout() time.Duration {
	switch {
	case p.shared:
		return p.WatchTimeout/2 + time.Duration(p.random()*float64(p.WatchTimeout))
	case p.synchronized:
		return p.WatchTimeout/10 + time.Duration(p.random()*float64(p.WatchTimeout*9/10))
	}
	return p.WatchTimeout
}

// End records how the call that Begin returned has ended, and returns the time until the next one.
func (p *Poller) End(now time.Duration, outcome Outcome) time.Duration {
	if outcome == NoResponse && p.call.Wait > 0 {
		p.limitNotifiedAt(p.startedAt + p.call.Wait + UnansweredGrace)
		if p.call.Wait == MaxWait {
			return 0 // no change or a dead connection: poll again on another connection
		}
		if p.retryImmediately() {
			return 0
		}
	}
	p.synchronized = true
	if outcome == Complete {
		p.notifiedAt, p.immediateRetries, p.failures = 0, 0, 0
		return minInterval
	}
	if outcome == Incomplete {
		// The changes in the response count as notified NotifiedAfter after they occurred, even if the host does not know
		// them. If the body timed out, the first byte arrived bodyTimeout ago. Discovery had capacity, so there is no
		// reason to back off yet.
		p.limitNotifiedAt(now - bodyTimeout + NotifiedAfter)
		if p.retryImmediately() {
			return minInterval
		}
	}
	return p.backOff(now)
}

// retryImmediately counts a retry without backoff, and reports whether it is within maxImmediateRetries.
func (p *Poller) retryImmediately() bool {
	p.immediateRetries++
	return p.immediateRetries <= maxImmediateRetries
}

// backOff returns the time until the next call after a failure. The time grows with each failure and has jitter. The next
// call begins at most pollInterval after the failed call began, as discovery may have recovered right after that.
func (p *Poller) backOff(now time.Duration) time.Duration {
	wait := min(backoff<<p.failures, p.maxBackoff, p.startedAt+pollInterval-now)
	if p.notifiedAt > now {
		wait = min(wait, p.notifiedAt-now)
	}
	p.failures = min(p.failures+1, maxBackoffDoublings)
	return max(p.jitter(wait), minInterval)
}

// jitter returns a random duration between d/2 and d.
func (p *Poller) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random()*float64(d/2))
}

// limitNotifiedAt lowers notifiedAt to a time at which changes since the last response may begin to count as notified.
func (p *Poller) limitNotifiedAt(at time.Duration) {
	if p.notifiedAt == 0 || at < p.notifiedAt {
		p.notifiedAt = at
	}
}
