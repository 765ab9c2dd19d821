// Package discoverypoll decides when discovery is asked, how long an answer is waited for, and when to ask again, where
// discovery answers only when asked. It does no I/O and has no clock: its host tells it how calls end.
//
// What it guards against is one thing: news that count as told while the host does not know them. The pages of the
// platform (PROTOCOL, "Discovery" and "Figures"; STANDING) say when news count as told:
//
//   - when they are written in answer to a call;
//   - between an answer and the next call, for Lapse after the answer, whether or not such a call comes;
//   - ToldAfter they came up where an answer was begun and did not arrive whole;
//   - PastWait after a wait is over where a call got no answer at all;
//   - whatever else is allowed, ToldAfter discovery had them and could be reached;
//   - a multiple of the settings' must_ask_in where nobody asks.
//
// A watch that is well can't be told from a dead one. So a call begins at most apart after the one before, or as soon as
// that has ended: what came up meanwhile, or while discovery could not be reached, is known by the next answer.
// Where many share discovery a watch without news is left for longer, and the term is not held for one that dies: see SharedBy.
//
// The zero Watch can't be used; New makes one. It is not safe for concurrent use.
package discoverypoll

import "time"

// What counts as told, by the platform's pages.
const (
	NotificationGrace = 200 * time.Millisecond
	NotifiedAfter     = 6 * time.Second
	UnansweredGrace   = 2 * time.Second
	MaxWait           = 60 * time.Second // the longest wait that a call may ask for
)

const (
	// A second of ToldAfter is left to the call that follows: it waits its turn at a discovery that serves all, or the rest
	// of an answer that began at the last moment is waited for before it. More would cost calls, also in calm.
	pollInterval        = NotifiedAfter - time.Second
	snapshotTimeout     = 3 * time.Second        // a call that does not wait
	bodyTimeout         = 1 * time.Second        // of an answer that has begun
	minInterval         = 20 * time.Millisecond  // between an answer and the next call; far within Lapse
	confirmWait         = 1 * time.Second        // of a call that only asks whether the list in hand still holds
	confirmGrace        = 500 * time.Millisecond // for its answer, past that
	confirmBudget       = 5 * time.Second        // room for it and for its repeat after a failure
	maxImmediateRetries = 3                      // calls right after one that broke or a check without an answer, in a row
	backoff             = 2 * time.Second        // after a first failure, before its spread; doubled with each further one

	// Where many share discovery, what they ask in calm has to fit what it can do: one that is out of room turns away all
	// calls from then on, and nobody learns anything. So from eleven instances of a tier on each adds to the wait, until it
	// is as long as the one that all of a large fleet were played with, half to one and a half of 8 s. It costs the term,
	// where a watch dies, for as much as the wait is longer than apart.
	waitPerInstance = 500 * time.Millisecond
	maxSharedWait   = 8 * time.Second
)

// Call is what to ask and how long to wait for it.
type Call struct {
	Wait             time.Duration // to tell discovery; zero where the whole list is asked for
	FirstByteTimeout time.Duration // until the answer's first byte; past it the call is Silent
	BodyTimeout      time.Duration // from there to its last; past it the call is Broken
}

// Outcome tells how a call ended.
type Outcome int

// Ends of calls.
const (
	Complete   Outcome = iota // whole and read
	NoResponse                // no byte in the time that was given
	Incomplete                // an answer that was begun and is not whole, or can't be read
	Failed                    // refused, turned away, or no connection
)

// Poller is one instance's watch.
type Poller struct {
	Wait time.Duration // for an answer's first byte; New sets it

	random           func() float64 // from 0 up to 1
	maxBackoff       time.Duration  // the longest after a failure, before its spread
	shared           bool           // by so many that Wait is a mean, and each wait is spread around it
	synchronized     bool           // the last call ended with something that may have ended all instances' calls
	failures         int            // since the last answer
	immediateRetries int            // calls in a row that broke, and checks without an answer
	notifiedAt       time.Duration  // when what may have come up since the last answer begins to count as told; zero: no call was in vain since
	call             Call
	startedAt        time.Duration
}

// New returns a watch. Draw gives numbers from 0 up to 1, evenly. MustAskIn is the settings': nothing is asked for
// less than that; zero sets no such bound.
func New(draw func() float64, mustAskIn time.Duration) *Poller {
	w := &Poller{Wait: pollInterval, random: draw, maxBackoff: pollInterval, synchronized: true}
	if mustAskIn > 0 {
		w.maxBackoff = min(w.maxBackoff, mustAskIn*3/4)
	}
	return w
}

// SharedBy tells how many instances of the own tier ask the same discovery, as the settings have it, and returns the watch.
func (w *Poller) SharedBy(instances int) *Poller {
	w.Wait = min(max(time.Duration(instances)*waitPerInstance, pollInterval), maxSharedWait)
	w.shared = w.Wait > pollInterval
	return w
}

// Begin begins a call; whole asks for the whole list. Discovery is told a far longer wait than is waited for, as news of a
// call without any answer count as told by that wait as well: a watch that dies, and the one after it, are both given up in
// time. Where the time since the last answer could run out with the next watch, a short call confirms the list first.
// This could hurt only at a discovery that keeps what has died for as long as it was told.
func (w *Poller) Begin(now time.Duration, whole bool) Call {
	first := w.Wait
	switch {
	case w.shared:
		first = first/2 + time.Duration(w.random()*float64(first))
	case w.synchronized:
		// From then on all instances' calls are as far from each other as these draws are. Over half of the wait, those that
		// began within a second would stay bunched.
		first = first/10 + time.Duration(w.random()*float64(first*9/10))
	}
	w.synchronized = false
	switch {
	case whole:
		w.call = Call{FirstByteTimeout: snapshotTimeout, BodyTimeout: bodyTimeout}
	case w.notifiedAt > 0 && now+first+confirmBudget > w.notifiedAt:
		w.call = Call{Wait: confirmWait, FirstByteTimeout: confirmWait + confirmGrace, BodyTimeout: bodyTimeout}
	default:
		w.call = Call{Wait: MaxWait, FirstByteTimeout: first, BodyTimeout: bodyTimeout}
	}
	w.startedAt = now
	return w.call
}

// End takes the end of the call that Ask began, and returns the time until the next one.
func (w *Poller) End(now time.Duration, how Outcome) time.Duration {
	if how == NoResponse && w.call.Wait > 0 {
		w.limitNotifiedAt(w.startedAt + w.call.Wait + UnansweredGrace)
		if w.call.Wait == MaxWait {
			return 0 // no news, or a dead connection: once more, on another one
		}
		if w.immediateRetries++; w.immediateRetries <= maxImmediateRetries {
			return 0
		}
	}
	w.synchronized = true
	if how == Complete {
		w.notifiedAt, w.immediateRetries, w.failures = 0, 0, 0
		return minInterval
	}
	if how == Incomplete {
		// What it was to tell counts as told soon, known or not; and it was no refusal: discovery had room. Where the rest
		// was waited for its first byte is that old.
		w.limitNotifiedAt(now - bodyTimeout + NotifiedAfter)
		if w.immediateRetries++; w.immediateRetries <= maxImmediateRetries {
			return minInterval
		}
	}
	// Later each time, and never in step with the others. But the term runs from the call's begin: discovery may have
	// come back right after it.
	after := min(backoff<<w.failures, w.maxBackoff, w.startedAt+pollInterval-now)
	if w.notifiedAt > now {
		after = min(after, w.notifiedAt-now)
	}
	w.failures = min(w.failures+1, 4)
	return max(w.jitter(after), minInterval)
}

// jitter returns half of d to all of it.
func (w *Poller) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random()*float64(d/2))
}

func (w *Poller) limitNotifiedAt(at time.Duration) {
	if w.notifiedAt == 0 || at < w.notifiedAt {
		w.notifiedAt = at
	}
}
