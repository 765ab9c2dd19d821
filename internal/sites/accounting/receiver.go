package accounting

import (
	"errors"
	"maps"
)

// The reasons for which Receive rejects a request, which must not run then.
var (
	// ErrVoided says that the sending end was notified that the request never arrived.
	ErrVoided = errors.New("accounting: the request was reported as never arrived")
	// ErrDuplicate says that a number arrived twice or was forgotten.
	ErrDuplicate = errors.New("accounting: the number was received before")
	// ErrFull says that the sending end has to settle first.
	ErrFull = errors.New("accounting: too many unsettled requests")
)

// Receiver is the receiving end's account of one session. It is not safe for concurrent use.
type Receiver struct {
	maxRemembered int
	settledTo     uint64 // up to here the sending end knows every outcome
	arrivals      map[uint64]*arrival
	closed        bool
	arrivalCount  uint64
	counters      counters
}

// arrival is a number that has arrived, or whose arrival was ruled out (NeverArrived).
type arrival struct {
	kind    Kind
	outcome Outcome
}

// NewReceiver returns the account of a session on which nothing arrived. It remembers at most maxRemembered requests whose
// outcome the sending end may not know.
func NewReceiver(maxRemembered int) *Receiver {
	return &Receiver{maxRemembered: maxRemembered, arrivals: map[uint64]*arrival{}, counters: counters{}}
}

// Receive counts a request that has arrived. After an error it is not counted and must not run.
func (r *Receiver) Receive(number uint64, k Kind) error {
	known := r.arrivals[number]
	switch {
	case known != nil && known.outcome == NeverArrived, r.closed:
		return ErrVoided
	case known != nil, number <= r.settledTo:
		return ErrDuplicate
	case len(r.arrivals) >= r.maxRemembered:
		return ErrFull
	}
	k = r.counters.ensureCounters(k)
	r.arrivals[number] = &arrival{kind: k}
	r.counters[k][Pending]++
	r.arrivalCount++
	return nil
}

// Resolve records how a request ended. Only its first end counts.
func (r *Receiver) Resolve(number uint64, outcome Outcome) {
	known := r.arrivals[number]
	if known == nil || known.outcome != Pending {
		return
	}
	known.outcome = outcome
	r.counters.move(known.kind, Pending, outcome)
}

// Forget drops the outcomes up to a number, which the sending end knows.
func (r *Receiver) Forget(settledTo uint64) {
	if settledTo <= r.settledTo {
		return
	}
	r.settledTo = settledTo
	maps.DeleteFunc(r.arrivals, func(number uint64, known *arrival) bool {
		return number <= settledTo && known.outcome != Pending
	})
}

// Close ends the session: no further request of it is received.
func (r *Receiver) Close() { r.closed = true }

// OutcomeOf reports how a request ended, and holds to it: a number that has not arrived by now never will. Pending means
// that it is in flight, or that a full account cannot rule its arrival out yet.
func (r *Receiver) OutcomeOf(number uint64) Outcome {
	known := r.arrivals[number]
	switch {
	case known != nil:
		return known.outcome
	case r.closed:
		return NeverArrived
	case number <= r.settledTo || len(r.arrivals) >= r.maxRemembered:
		return Pending
	}
	r.arrivals[number] = &arrival{outcome: NeverArrived}
	return NeverArrived
}

// IsIdle reports whether no request of the session is in flight.
func (r *Receiver) IsIdle() bool {
	for _, known := range r.arrivals {
		if known.outcome == Pending {
			return false
		}
	}
	return true
}

// ArrivalCount returns the number of requests that arrived.
func (r *Receiver) ArrivalCount() uint64 { return r.arrivalCount }

// Counters returns the counters, sorted.
func (r *Receiver) Counters() []Counter { return r.counters.sorted() }
