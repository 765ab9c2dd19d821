package accounting

import (
	"errors"
	"maps"
)

// Errors of Receive. A request that is rejected with one of them must not run.
var (
	// ErrVoided means that the session is closed, or that the request was reported as never arrived.
	ErrVoided = errors.New("accounting: the request was reported as never arrived")
	// ErrDuplicate means that the number arrived before, or is one of those up to which the sending end has settled.
	ErrDuplicate = errors.New("accounting: the number was received before")
	// ErrFull means that the receiver remembers as many requests as it may. The sending end has to settle some first.
	ErrFull = errors.New("accounting: too many unsettled requests")
)

// Receiver is the receiving end's account of one session. It is not safe for concurrent use.
type Receiver struct {
	maxRemembered int
	settledTo     uint64 // the sending end knows the outcome of every number up to this one
	arrivals      map[uint64]*arrival
	closed        bool
	arrivalCount  uint64
	counters      counters
}

// arrival is a request that has arrived, or that was reported as NeverArrived and will be rejected.
type arrival struct {
	kind    Kind
	outcome Outcome
}

// NewReceiver returns the account of a session on which no request has arrived. It remembers at most maxRemembered requests
// whose outcome the sending end may not know.
func NewReceiver(maxRemembered int) *Receiver {
	return &Receiver{maxRemembered: maxRemembered, arrivals: map[uint64]*arrival{}, counters: counters{}}
}

// Receive counts a request that has arrived. If it returns an error, the request is not counted and must not run.
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

// Resolve records the outcome of a request. Only the first outcome counts.
func (r *Receiver) Resolve(number uint64, outcome Outcome) {
	known := r.arrivals[number]
	if known == nil || known.outcome != Pending {
		return
	}
	known.outcome = outcome
	r.counters.move(known.kind, Pending, outcome)
}

// Forget drops the outcomes of all requests up to the number settledTo, which the sending end knows. Pending requests are kept.
func (r *Receiver) Forget(settledTo uint64) {
	if settledTo <= r.settledTo {
		return
	}
	r.settledTo = settledTo
	maps.DeleteFunc(r.arrivals, func(number uint64, known *arrival) bool {
		return number <= settledTo && known.outcome != Pending
	})
}

// Close ends the session: all further requests are rejected.
func (r *Receiver) Close() { r.closed = true }

// OutcomeOf returns the outcome of a request. A request that has not arrived yet is NeverArrived, and is rejected from then
// on. Pending means that the request is in flight, that its number is settled and forgotten, or that the account is full and
// cannot remember to reject the request.
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

// ArrivalCount returns the number of requests that were received.
func (r *Receiver) ArrivalCount() uint64 { return r.arrivalCount }

// Counters returns all nonzero counters, sorted.
func (r *Receiver) Counters() []Counter { return r.counters.sorted() }
