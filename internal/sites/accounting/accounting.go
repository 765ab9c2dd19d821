// Package accounting keeps the accounts of a link between two salas, at both of its ends, so that they agree on every crossing
// also after the link was cut. It does no I/O and has no clock.
//
// Each session of a link numbers its crossings. The sending end (Out) knows of each number whether it was answered; what
// was not when a caller went or a connection broke is open, and the sending end asks the receiving end (In) what became of
// it. The receiving end answers with the truth and holds to it: a number that has not come yet is void from then on, so
// that "it never came" is a proof that the request did not run and never will.
package accounting

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// Outcome is how a crossing ended.
type Outcome uint8

// The outcomes. Served to Unclear are told by the receiving end.
const (
	Pending      Outcome = iota // not known yet
	Served                      // it has an endpoint's answer
	Rejected                    // for load, before anything ran
	NeverRan                    // failed, with proof that nothing ran
	MayHaveRun                  // failed, and may have run
	NeverArrived                // was sent and has not arrived, nor will it
	outcomes     = iota
)

func (o Outcome) String() string {
	if int(o) >= outcomes {
		return "unknown"
	}
	return [...]string{"open", "served", "refused", "never ran", "may have run", "never came"}[o]
}

// ProvesNothingRan tells that nothing of a crossing has run, nor will.
func (o Outcome) ProvesNothingRan() bool { return o == Rejected || o == NeverRan || o == NeverArrived }

// Reason is why a request crossed.
type Reason uint8

// The reasons.
const (
	Shed     Reason = iota // the own sala refused it for load
	Failed                 // no endpoint of the own sala could be reached
	KeyOwned               // its key may have run in the other sala
	Transit                // it came from a third sala
	reasons  = iota
)

func (r Reason) String() string {
	if int(r) >= reasons {
		return "unknown"
	}
	return [...]string{"shed", "failed", "held", "passing"}[r]
}

// IsValid tells whether this version knows the reason.
func (r Reason) IsValid() bool { return int(r) < reasons }

// Kind is what crossings are counted by.
type Kind struct {
	Class  string `codec:"Class" json:"Class"`
	Tenant string `codec:"Tenant" json:"Tenant"`
	Reason Reason `codec:"Reason" json:"Reason"`
}

// Counter is a number of crossings of one kind and outcome.
type Counter struct {
	Kind
	Outcome Outcome `codec:"Outcome" json:"Outcome"`
	Count   uint64  `codec:"Count" json:"Count"`
}

// maxKinds bounds what is counted apart; what comes beyond it counts under an empty tenant, and at last under Other.
const maxKinds = 4096

// OtherClass is the class of what is not counted apart any more.
const OtherClass = "(other)"

// counters counts.
type counters map[Kind]*[outcomes]uint64

// countedAs returns under what a crossing is counted.
func (b counters) countedAs(k Kind) Kind {
	for _, as := range []Kind{k, {Class: k.Class, Reason: k.Reason}, {Class: OtherClass}} {
		if b[as] != nil || len(b) < maxKinds {
			k = as
			break
		}
	}
	if len(b) >= maxKinds && b[k] == nil {
		k = Kind{Class: OtherClass} // one over the bound
	}
	if b[k] == nil {
		b[k] = new([outcomes]uint64)
	}
	return k
}

func (b counters) move(k Kind, from, to Outcome) {
	b[k][from]--
	b[k][to]++
}

func (b counters) sorted() (out []Counter) {
	for k, counts := range b {
		for o, n := range counts {
			if n > 0 {
				out = append(out, Counter{k, Outcome(o), n})
			}
		}
	}
	slices.SortFunc(out, compareCounters)
	return out
}

func compareCounters(a, b Counter) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
}

// Sender is the sending end's account of one session. It is not safe for concurrent use.
type Sender struct {
	nextNumber uint64 // the first number is 1
	pending    map[uint64]Kind
	abandoned  map[uint64]bool // of the open ones: nobody waits for their answer any more
	counters   counters
}

// NewSender returns the account of a session on which nothing was sent.
func NewSender() *Sender {
	return &Sender{nextNumber: 1, pending: map[uint64]Kind{}, abandoned: map[uint64]bool{}, counters: counters{}}
}

// Send counts a crossing and returns its number.
func (o *Sender) Send(k Kind) (number uint64) {
	number = o.nextNumber
	o.nextNumber++
	k = o.counters.countedAs(k)
	o.pending[number] = k
	o.counters[k][Pending]++
	return number
}

// Resolve takes what became of a crossing: its answer, or what the receiving end told of it later. What comes a second time,
// or of a number that was never sent, is passed over.
func (o *Sender) Resolve(number uint64, is Outcome) {
	k, open := o.pending[number]
	if !open || is == Pending || int(is) >= outcomes {
		return
	}
	delete(o.pending, number)
	delete(o.abandoned, number)
	o.counters.move(k, Pending, is)
}

// Abandon tells that nobody waits for a crossing's answer any more: the other end must be asked.
func (o *Sender) Abandon(number uint64) {
	if _, open := o.pending[number]; open {
		o.abandoned[number] = true
	}
}

// Unsettled returns some of the numbers that the other end must be asked about, the oldest first.
func (o *Sender) Unsettled(most int) []uint64 {
	all := slices.Sorted(maps.Keys(o.abandoned))
	return all[:min(len(all), most)]
}

// SettledTo returns the number up to which everything is known: the other end may forget it.
func (o *Sender) SettledTo() uint64 {
	done := o.nextNumber - 1
	for n := range o.pending {
		done = min(done, n-1)
	}
	return done
}

// Pending returns how many crossings have no known end.
func (o *Sender) Pending() int { return len(o.pending) }

// Sent returns how many crossings were sent.
func (o *Sender) Sent() uint64 { return o.nextNumber - 1 }

// Counters returns the counts, ordered.
func (o *Sender) Counters() []Counter { return o.counters.sorted() }

var (
	// ErrVoided says that the sending end was told that the crossing never came: it must not run any more.
	ErrVoided = errors.New("tally: told as never come")
	// ErrDuplicate says that a number came twice, or was forgotten.
	ErrDuplicate = errors.New("tally: the number came before")
	// ErrFull says that the sending end has to settle first.
	ErrFull = errors.New("tally: too many crossings to be remembered")
)

// Receiver is the receiving end's account of one session. It is not safe for concurrent use.
type Receiver struct {
	maxRemembered int
	settledTo     uint64 // up to here the sending end knows everything
	arrivals      map[uint64]*arrival
	closed        bool
	arrivalCount  uint64
	counters      counters
}

type arrival struct {
	kind    Kind
	outcome Outcome
}

// NewReceiver returns the account of a session on which nothing came. It remembers so many crossings that the sending end may
// not know the end of.
func NewReceiver(max int) *Receiver {
	return &Receiver{maxRemembered: max, arrivals: map[uint64]*arrival{}, counters: counters{}}
}

// Receive counts a crossing that has come. An error says that it must not run, and that it is not counted.
func (i *Receiver) Receive(number uint64, k Kind) error {
	t := i.arrivals[number]
	switch {
	case t != nil && t.outcome == NeverArrived, i.closed:
		return ErrVoided
	case t != nil, number <= i.settledTo:
		return ErrDuplicate
	case len(i.arrivals) >= i.maxRemembered:
		return ErrFull
	}
	k = i.counters.countedAs(k)
	i.arrivals[number] = &arrival{kind: k}
	i.counters[k][Pending]++
	i.arrivalCount++
	return nil
}

// Resolve tells how a crossing has ended.
func (i *Receiver) Resolve(number uint64, o Outcome) {
	if t := i.arrivals[number]; t != nil && t.outcome == Pending {
		t.outcome = o
		i.counters.move(t.kind, Pending, o)
	}
}

// Forget tells up to which number the sending end knows everything.
func (i *Receiver) Forget(number uint64) {
	if number <= i.settledTo {
		return
	}
	i.settledTo = number
	maps.DeleteFunc(i.arrivals, func(n uint64, t *arrival) bool { return n <= number && t.outcome != Pending })
}

// Close tells that the session is over: nothing of it is taken any more.
func (i *Receiver) Close() { i.closed = true }

// OutcomeOf answers what became of a crossing, which is the truth from then on: one that has not come is void. Open says that
// it is in work. What is full can't be told of yet, and is open too.
func (i *Receiver) OutcomeOf(number uint64) Outcome {
	t := i.arrivals[number]
	switch {
	case t != nil:
		return t.outcome
	case i.closed:
		return NeverArrived // it is not taken any more
	case number <= i.settledTo || len(i.arrivals) >= i.maxRemembered:
		return Pending
	}
	i.arrivals[number] = &arrival{outcome: NeverArrived}
	return NeverArrived
}

// IsIdle tells that nothing of the session is in work.
func (i *Receiver) IsIdle() bool {
	for _, t := range i.arrivals {
		if t.outcome == Pending {
			return false
		}
	}
	return true
}

// ArrivalCount returns how many crossings have come.
func (i *Receiver) ArrivalCount() uint64 { return i.arrivalCount }

// Counters returns the counts, ordered.
func (i *Receiver) Counters() []Counter { return i.counters.sorted() }

// Merge sums up the counts of several sessions.
func Merge(all ...[]Counter) []Counter {
	total := map[Counter]uint64{}
	for _, sums := range all {
		for _, s := range sums {
			n := s.Count
			s.Count = 0
			total[s] += n
		}
	}
	var out []Counter
	for s, n := range total {
		s.Count = n
		out = append(out, s)
	}
	slices.SortFunc(out, compareCounters)
	return out
}

// Difference is a count in which the two ends of a session differ.
type Difference struct {
	Kind
	Outcome  Outcome `json:"Outcome"`
	Sent     uint64  `json:"Sent"`
	Received uint64  `json:"Received"`
}

// Reconcile names all in which the accounts of both ends of one session differ. What never came stands at the sending end
// alone. While crossings are in work, or their end is not settled, differences are to be expected.
func Reconcile(sent, received []Counter) (out []Difference) {
	both := map[Counter][2]uint64{}
	for side, sums := range [2][]Counter{sent, received} {
		for _, s := range sums {
			n := s.Count
			s.Count = 0
			if s.Outcome == NeverArrived {
				continue
			}
			c := both[s]
			c[side] = n
			both[s] = c
		}
	}
	for s, c := range both {
		if c[0] != c[1] {
			out = append(out, Difference{s.Kind, s.Outcome, c[0], c[1]})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int {
		return compareCounters(Counter{Kind: a.Kind, Outcome: a.Outcome}, Counter{Kind: b.Kind, Outcome: b.Outcome})
	})
	return out
}
