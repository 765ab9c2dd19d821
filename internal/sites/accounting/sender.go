package accounting

import (
	"maps"
	"slices"
)

// Sender is the sending end's account of one session. It is not safe for concurrent use.
type Sender struct {
	nextNumber uint64 // the first number is 1
	pending    map[uint64]Kind
	abandoned  map[uint64]bool // pending ones for whose response nobody waits any more
	counters   counters
}

// NewSender returns the account of a session on which nothing was sent.
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

// Resolve records how a request ended, by its response or by what the receiving end reported later. It ignores numbers
// that are not pending and outcomes that are no end.
func (s *Sender) Resolve(number uint64, outcome Outcome) {
	kind, isPending := s.pending[number]
	if !isPending || outcome == Pending || int(outcome) >= outcomeCount {
		return
	}
	delete(s.pending, number)
	delete(s.abandoned, number)
	s.counters.move(kind, Pending, outcome)
}

// Abandon records that nobody waits for a request's response any more: the receiving end must be asked.
func (s *Sender) Abandon(number uint64) {
	if _, isPending := s.pending[number]; isPending {
		s.abandoned[number] = true
	}
}

// Unsettled returns the numbers that the receiving end must be asked about, the oldest first, at most limit.
func (s *Sender) Unsettled(limit int) []uint64 {
	all := slices.Sorted(maps.Keys(s.abandoned))
	return all[:min(len(all), limit)]
}

// SettledTo returns the number up to which every outcome is known: the receiving end may forget those.
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

// Counters returns the counters, sorted.
func (s *Sender) Counters() []Counter { return s.counters.sorted() }
