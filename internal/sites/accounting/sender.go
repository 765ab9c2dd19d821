package accounting

import (
	"maps"
	"slices"
)

// Sender is the sending end's account of one session. It is not safe for concurrent use.
type Sender struct {
	nextNumber uint64          // numbers start at 1
	pending    map[uint64]Kind // requests without a known outcome, by number
	abandoned  map[uint64]bool // numbers of the pending requests whose response no client waits for
	counters   counters
}

// NewSender returns the account of a session on which no request was sent.
func NewSender() *Sender {
	return &Sender{nextNumber: 1, pending: map[uint64]Kind{}, abandoned: map[uint64]bool{}, counters: counters{}}
}

// Send counts a request and returns its number.
func (s *Sender) Send(k Kind) uint64 {
	number := s.nextNumber
	s.nextNumber++
	k = s.counters.ensureCounters(k)
	s.pending[number] = k
	s.counters[k][Pending]++
	return number
}

// Resolve records the outcome of a request, known from its response or from a later report of the receiving end. It ignores
// requests that are not pending, the outcome Pending and unknown outcomes.
func (s *Sender) Resolve(number uint64, outcome Outcome) {
	kind, isPending := s.pending[number]
	if !isPending || outcome == Pending || int(outcome) >= outcomeCount {
		return
	}
	delete(s.pending, number)
	delete(s.abandoned, number)
	s.counters.move(kind, Pending, outcome)
}

// Abandon records that no client waits for the response of a pending request any more. The sending end must ask the
// receiving end for its outcome.
func (s *Sender) Abandon(number uint64) {
	if _, isPending := s.pending[number]; isPending {
		s.abandoned[number] = true
	}
}

// Unsettled returns the numbers of the requests whose outcome the sending end must ask for, at most limit, the oldest first.
func (s *Sender) Unsettled(limit int) []uint64 {
	all := slices.Sorted(maps.Keys(s.abandoned))
	return all[:min(len(all), limit)]
}

// SettledTo returns the number up to which all outcomes are known. The receiving end may forget those requests.
func (s *Sender) SettledTo() uint64 {
	settled := s.nextNumber - 1
	for number := range s.pending {
		settled = min(settled, number-1)
	}
	return settled
}

// Pending returns the number of requests without a known outcome.
func (s *Sender) Pending() int { return len(s.pending) }

// Sent returns the number of requests that were sent.
func (s *Sender) Sent() uint64 { return s.nextNumber - 1 }

// Counters returns all nonzero counters, sorted.
func (s *Sender) Counters() []Counter { return s.counters.sorted() }
