// Package discoverypoll decides when the discovery service is polled, how long a response is awaited, and when to poll
// again, if the service answers only when it is polled. It has no I/O and no clock: its host reports how calls end.
//
// It guards against changes that count as notified while the host does not know them. The platform's pages (PROTOCOL,
// "Discovery" and "Figures"; STANDING) say when a change counts as notified:
//
//   - when it is written in the response to a call;
//   - between a response and the next call, for NotificationGrace after the response, whether or not a call follows;
//   - NotifiedAfter it occurred, if a response was begun and did not arrive completely;
//   - UnansweredGrace after the wait of a call that got no response at all;
//   - in any case NotifiedAfter discovery had it and could be reached;
//   - a multiple of the settings' must_ask_in if nobody polls.
//
// An idle watch cannot be told from a dead one. So a call begins at most pollInterval after the one before, or as soon as
// that has ended: what changed meanwhile, or while discovery could not be reached, is in the next response. If many
// instances share discovery, a watch without changes is left for longer, and the bound does not hold for one that dies:
// see SharedBy.
package discoverypoll

import "time"

// When changes count as notified, by the platform's pages.
const (
	NotificationGrace = 200 * time.Millisecond
	NotifiedAfter     = 6 * time.Second
	UnansweredGrace   = 2 * time.Second
	MaxWait           = 60 * time.Second // the longest wait that a call may ask for
)

const (
	// pollInterval leaves a second of NotifiedAfter to the call that follows, for its turn at a busy discovery, or for the rest
	// of a response that began at the last moment. More would cost calls, also without faults.
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

	// If many instances share discovery, their polls have to fit its capacity: one that is out of capacity rejects all calls,
	// and nobody learns anything. So beyond ten instances of a tier each adds waitPerInstance to the wait, up to
	// maxSharedWait. If a watch dies, changes are known later by as much as the wait is longer than pollInterval.
	waitPerInstance = 500 * time.Millisecond
	maxSharedWait   = 8 * time.Second
)

// Call is a call to make.
type Call struct {
	Wait             time.Duration // to send to discovery; zero if the whole list is requested
	FirstByteTimeout time.Duration // after it the call ends as NoResponse
	BodyTimeout      time.Duration // from the first byte; after it the call ends as Incomplete
}

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	Complete   Outcome = iota // a complete response that could be parsed
	NoResponse                // no byte in time
	Incomplete                // a response that began and is incomplete, or could not be parsed
	Failed                    // rejected, or no connection
)

// Poller decides on the calls of one instance. New returns one. It is not safe for concurrent use.
type Poller struct {
	Wait time.Duration // for a response's first byte; New sets it

	random           func() float64 // in [0, 1)
	maxBackoff       time.Duration  // before jitter
	shared           bool           // by so many instances that Wait is a mean, and each wait is drawn around it
	synchronized     bool           // the last call ended with something that may have ended all instances' calls
	failures         int            // since the last complete response
	immediateRetries int            // in a row, after incomplete responses and unanswered confirmations
	notifiedAt       time.Duration  // when changes since the last response begin to count as notified; zero: no call failed since
	call             Call
	startedAt        time.Duration
}

// New returns a Poller. Random returns numbers in [0, 1), uniformly. MustAskIn is the settings' bound on the time between
// polls; zero: there is none.
func New(random func() float64, mustAskIn time.Duration) *Poller {
	p := &Poller{Wait: pollInterval, random: random, maxBackoff: pollInterval, synchronized: true}
	if mustAskIn > 0 {
		p.maxBackoff = min(p.maxBackoff, mustAskIn*3/4)
	}
	return p
}

// SharedBy sets how many instances of the tier poll the same discovery, by the settings, and returns the Poller.
func (p *Poller) SharedBy(instances int) *Poller {
	p.Wait = min(max(time.Duration(instances)*waitPerInstance, pollInterval), maxSharedWait)
	p.shared = p.Wait > pollInterval
	return p
}

// Begin returns the next call; snapshot requests the whole list.
//
// Discovery is sent a far longer wait than the response is awaited, as a change of a call without any response counts as
// notified by that wait as well: a watch that dies, and the one after it, are both given up in time. If changes could
// count as notified during the next watch, a short call confirms the list first.
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

// firstByteTimeout draws how long a watch's first byte is awaited. After an event that may have ended all instances' calls
// it spreads them over nearly the whole wait: over half of it, those that began within a second would stay bunched.
func (p *Poller) firstByteTimeout() time.Duration {
	switch {
	case p.shared:
		return p.Wait/2 + time.Duration(p.random()*float64(p.Wait))
	case p.synchronized:
		return p.Wait/10 + time.Duration(p.random()*float64(p.Wait*9/10))
	}
	return p.Wait
}

// End records how the call that Begin returned has ended, and returns the time until the next one.
func (p *Poller) End(now time.Duration, outcome Outcome) time.Duration {
	if outcome == NoResponse && p.call.Wait > 0 {
		p.limitNotifiedAt(p.startedAt + p.call.Wait + UnansweredGrace)
		if p.call.Wait == MaxWait {
			return 0 // no change or a dead connection: poll again, on another one
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
		// Its changes count as notified soon, known or not. If the body timed out, its first byte is that old. Discovery had
		// capacity, so there is no reason to back off yet.
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

// backOff returns the time until the next call after a failure: longer each time and with jitter, but by pollInterval
// after the call's begin, as discovery may have come back right after it.
func (p *Poller) backOff(now time.Duration) time.Duration {
	wait := min(backoff<<p.failures, p.maxBackoff, p.startedAt+pollInterval-now)
	if p.notifiedAt > now {
		wait = min(wait, p.notifiedAt-now)
	}
	p.failures = min(p.failures+1, maxBackoffDoublings)
	return max(p.jitter(wait), minInterval)
}

// jitter returns from half of d to all of it.
func (p *Poller) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random()*float64(d/2))
}

// limitNotifiedAt records that changes since the last response begin to count as notified at a time, at the latest.
func (p *Poller) limitNotifiedAt(at time.Duration) {
	if p.notifiedAt == 0 || at < p.notifiedAt {
		p.notifiedAt = at
	}
}
