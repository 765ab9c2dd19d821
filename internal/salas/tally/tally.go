// Package tally keeps the accounts of a link between two salas, at both of its ends, so that they agree on every crossing
// also after the link was cut. It does no I/O and has no clock.
//
// Each session of a link numbers its crossings. The sending end (Out) knows of each number whether it was answered; what
// was not when a caller went or a connection broke is open, and the sending end asks the receiving end (In) what became of
// it. The receiving end answers with the truth and holds to it: a number that has not come yet is void from then on, so
// that "it never came" is a proof that the request did not run and never will.
package tally

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
	Open       Outcome = iota // not known yet
	Served                    // it has an endpoint's answer
	Refused                   // for load, before anything ran
	NeverRan                  // failed, with proof that nothing ran
	Unclear                   // failed, and may have run
	NeverCame                 // was sent and has not arrived, nor will it
	numOutcome = iota
)

func (o Outcome) String() string {
	if int(o) >= numOutcome {
		return "unknown"
	}
	return [...]string{"open", "served", "refused", "never ran", "may have run", "never came"}[o]
}

// Harmless tells that nothing of a crossing has run, nor will.
func (o Outcome) Harmless() bool { return o == Refused || o == NeverRan || o == NeverCame }

// Reason is why a request crossed.
type Reason uint8

// The reasons.
const (
	Shed      Reason = iota // the own sala refused it for load
	Failed                  // no endpoint of the own sala could be reached
	Held                    // its key may have run in the other sala
	Passing                 // it came from a third sala
	numReason = iota
)

func (r Reason) String() string {
	if int(r) >= numReason {
		return "unknown"
	}
	return [...]string{"shed", "failed", "held", "passing"}[r]
}

// Known tells whether this version knows the reason.
func (r Reason) Known() bool { return int(r) < numReason }

// Kind is what crossings are counted by.
type Kind struct {
	Class  string `codec:"Class" json:"Class"`
	Tenant string `codec:"Tenant" json:"Tenant"`
	Reason Reason `codec:"Reason" json:"Reason"`
}

// Sum is a number of crossings of one kind and outcome.
type Sum struct {
	Kind
	Outcome Outcome `codec:"Outcome" json:"Outcome"`
	Count   uint64  `codec:"Count" json:"Count"`
}

// maxKinds bounds what is counted apart; what comes beyond it counts under an empty tenant, and at last under Other.
const maxKinds = 4096

// Other is the class of what is not counted apart any more.
const Other = "(other)"

// book counts.
type book map[Kind]*[numOutcome]uint64

// kind returns under what a crossing is counted.
func (b book) kind(k Kind) Kind {
	for _, as := range []Kind{k, {Class: k.Class, Reason: k.Reason}, {Class: Other}} {
		if b[as] != nil || len(b) < maxKinds {
			k = as
			break
		}
	}
	if len(b) >= maxKinds && b[k] == nil {
		k = Kind{Class: Other} // one over the bound
	}
	if b[k] == nil {
		b[k] = new([numOutcome]uint64)
	}
	return k
}

func (b book) move(k Kind, from, to Outcome) {
	b[k][from]--
	b[k][to]++
}

func (b book) sums() (out []Sum) {
	for k, counts := range b {
		for o, n := range counts {
			if n > 0 {
				out = append(out, Sum{k, Outcome(o), n})
			}
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b Sum) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
}

// Out is the sending end's account of one session. It is not safe for concurrent use.
type Out struct {
	next uint64 // the first number is 1
	open map[uint64]Kind
	lost map[uint64]bool // of the open ones: nobody waits for their answer any more
	sums book
}

// NewOut returns the account of a session on which nothing was sent.
func NewOut() *Out {
	return &Out{next: 1, open: map[uint64]Kind{}, lost: map[uint64]bool{}, sums: book{}}
}

// Send counts a crossing and returns its number.
func (o *Out) Send(k Kind) (number uint64) {
	number = o.next
	o.next++
	k = o.sums.kind(k)
	o.open[number] = k
	o.sums[k][Open]++
	return number
}

// End takes what became of a crossing: its answer, or what the receiving end told of it later. What comes a second time,
// or of a number that was never sent, is passed over.
func (o *Out) End(number uint64, is Outcome) {
	k, open := o.open[number]
	if !open || is == Open || int(is) >= numOutcome {
		return
	}
	delete(o.open, number)
	delete(o.lost, number)
	o.sums.move(k, Open, is)
}

// Lost tells that nobody waits for a crossing's answer any more: the other end must be asked.
func (o *Out) Lost(number uint64) {
	if _, open := o.open[number]; open {
		o.lost[number] = true
	}
}

// Unsettled returns some of the numbers that the other end must be asked about, the oldest first.
func (o *Out) Unsettled(most int) []uint64 {
	all := slices.Sorted(maps.Keys(o.lost))
	return all[:min(len(all), most)]
}

// Done returns the number up to which everything is known: the other end may forget it.
func (o *Out) Done() uint64 {
	done := o.next - 1
	for n := range o.open {
		done = min(done, n-1)
	}
	return done
}

// Open returns how many crossings have no known end.
func (o *Out) Open() int { return len(o.open) }

// Sent returns how many crossings were sent.
func (o *Out) Sent() uint64 { return o.next - 1 }

// Sums returns the counts, ordered.
func (o *Out) Sums() []Sum { return o.sums.sums() }

var (
	// ErrVoid says that the sending end was told that the crossing never came: it must not run any more.
	ErrVoid = errors.New("tally: told as never come")
	// ErrTwice says that a number came twice, or was forgotten.
	ErrTwice = errors.New("tally: the number came before")
	// ErrFull says that the sending end has to settle first.
	ErrFull = errors.New("tally: too many crossings to be remembered")
)

// In is the receiving end's account of one session. It is not safe for concurrent use.
type In struct {
	max    int
	done   uint64 // up to here the sending end knows everything
	known  map[uint64]*taken
	closed bool
	came   uint64
	sums   book
}

type taken struct {
	kind    Kind
	outcome Outcome
}

// NewIn returns the account of a session on which nothing came. It remembers so many crossings that the sending end may
// not know the end of.
func NewIn(max int) *In { return &In{max: max, known: map[uint64]*taken{}, sums: book{}} }

// Take counts a crossing that has come. An error says that it must not run, and that it is not counted.
func (i *In) Take(number uint64, k Kind) error {
	t := i.known[number]
	switch {
	case t != nil && t.outcome == NeverCame, i.closed:
		return ErrVoid
	case t != nil, number <= i.done:
		return ErrTwice
	case len(i.known) >= i.max:
		return ErrFull
	}
	k = i.sums.kind(k)
	i.known[number] = &taken{kind: k}
	i.sums[k][Open]++
	i.came++
	return nil
}

// End tells how a crossing has ended.
func (i *In) End(number uint64, o Outcome) {
	if t := i.known[number]; t != nil && t.outcome == Open {
		t.outcome = o
		i.sums.move(t.kind, Open, o)
	}
}

// Done tells up to which number the sending end knows everything.
func (i *In) Done(number uint64) {
	if number <= i.done {
		return
	}
	i.done = number
	maps.DeleteFunc(i.known, func(n uint64, t *taken) bool { return n <= number && t.outcome != Open })
}

// Close tells that the session is over: nothing of it is taken any more.
func (i *In) Close() { i.closed = true }

// Fate answers what became of a crossing, which is the truth from then on: one that has not come is void. Open says that
// it is in work. What is full can't be told of yet, and is open too.
func (i *In) Fate(number uint64) Outcome {
	t := i.known[number]
	switch {
	case t != nil:
		return t.outcome
	case i.closed:
		return NeverCame // it is not taken any more
	case number <= i.done || len(i.known) >= i.max:
		return Open
	}
	i.known[number] = &taken{outcome: NeverCame}
	return NeverCame
}

// Idle tells that nothing of the session is in work.
func (i *In) Idle() bool {
	for _, t := range i.known {
		if t.outcome == Open {
			return false
		}
	}
	return true
}

// Came returns how many crossings have come.
func (i *In) Came() uint64 { return i.came }

// Sums returns the counts, ordered.
func (i *In) Sums() []Sum { return i.sums.sums() }

// Add sums up the counts of several sessions.
func Add(all ...[]Sum) []Sum {
	total := map[Sum]uint64{}
	for _, sums := range all {
		for _, s := range sums {
			n := s.Count
			s.Count = 0
			total[s] += n
		}
	}
	var out []Sum
	for s, n := range total {
		s.Count = n
		out = append(out, s)
	}
	slices.SortFunc(out, compare)
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
func Reconcile(sent, received []Sum) (out []Difference) {
	both := map[Sum][2]uint64{}
	for side, sums := range [2][]Sum{sent, received} {
		for _, s := range sums {
			n := s.Count
			s.Count = 0
			if s.Outcome == NeverCame {
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
		return compare(Sum{Kind: a.Kind, Outcome: a.Outcome}, Sum{Kind: b.Kind, Outcome: b.Outcome})
	})
	return out
}
