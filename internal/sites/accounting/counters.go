package accounting

import (
	"cmp"
	"slices"
)

// Kind is the combination of attributes by which forwarded requests are counted.
type Kind struct {
	Class  string `codec:"Class" json:"Class"`
	Tenant string `codec:"Tenant" json:"Tenant"`
	Reason Reason `codec:"Reason" json:"Reason"`
}

// Counter is the number of forwarded requests of one kind with one outcome.
type Counter struct {
	Kind
	Outcome Outcome `codec:"Outcome" json:"Outcome"`
	Count   uint64  `codec:"Count" json:"Count"`
}

// maxKinds is the maximum number of kinds that are counted separately. Beyond it, a request of a new kind is counted under
// its class and reason without the tenant, or under OtherClass if that is a new kind, too.
const maxKinds = 4096

// OtherClass is the class under which requests are counted that are not counted separately.
const OtherClass = "(other)"

// counters holds the number of requests by kind and outcome. It holds at most maxKinds kinds and one more, of OtherClass.
type counters map[Kind]*[outcomeCount]uint64

// ensureCounters returns the kind under which requests of kind k are counted, and creates the counters of that kind if there
// are none.
func (c counters) ensureCounters(k Kind) Kind {
	counted := Kind{Class: OtherClass}
	for _, candidate := range []Kind{k, {Class: k.Class, Reason: k.Reason}} {
		if c[candidate] != nil || len(c) < maxKinds {
			counted = candidate
			break
		}
	}
	if c[counted] == nil {
		c[counted] = new([outcomeCount]uint64)
	}
	return counted
}

// move moves one request of a kind from one outcome to another.
func (c counters) move(k Kind, from, to Outcome) {
	c[k][from]--
	c[k][to]++
}

// sorted returns all nonzero counters, in the order of compareCounters.
func (c counters) sorted() []Counter {
	var out []Counter
	for kind, counts := range c {
		for outcome, n := range counts {
			if n > 0 {
				out = append(out, Counter{kind, Outcome(outcome), n})
			}
		}
	}
	slices.SortFunc(out, compareCounters)
	return out
}

// compareCounters orders counters by class, tenant, reason and outcome.
func compareCounters(a, b Counter) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Tenant, b.Tenant),
		cmp.Compare(a.Reason, b.Reason),
		cmp.Compare(a.Outcome, b.Outcome),
	)
}

// Merge returns the sums of the counters of several sessions, sorted.
func Merge(all ...[]Counter) []Counter {
	total := map[Counter]uint64{}
	for _, counters := range all {
		for _, counter := range counters {
			n := counter.Count
			counter.Count = 0
			total[counter] += n
		}
	}
	var out []Counter
	for counter, n := range total {
		counter.Count = n
		out = append(out, counter)
	}
	slices.SortFunc(out, compareCounters)
	return out
}

// Difference is a counter that differs between the two ends of a session.
type Difference struct {
	Kind
	Outcome  Outcome `json:"Outcome"`
	Sent     uint64  `json:"Sent"`
	Received uint64  `json:"Received"`
}

// Reconcile returns the counters that differ between the two ends of one session. NeverArrived is not compared, as only the
// sending end counts it. Differences are expected while requests are in flight or not settled.
func Reconcile(sent, received []Counter) []Difference {
	type counts struct{ sent, received uint64 }
	both := map[Counter]counts{}
	for _, counter := range sent {
		if n := counter.Count; counter.Outcome != NeverArrived {
			counter.Count = 0
			both[counter] = counts{sent: n}
		}
	}
	for _, counter := range received {
		if n := counter.Count; counter.Outcome != NeverArrived {
			counter.Count = 0
			both[counter] = counts{both[counter].sent, n}
		}
	}
	var out []Difference
	for counter, c := range both {
		if c.sent != c.received {
			out = append(out, Difference{counter.Kind, counter.Outcome, c.sent, c.received})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int {
		return compareCounters(Counter{Kind: a.Kind, Outcome: a.Outcome}, Counter{Kind: b.Kind, Outcome: b.Outcome})
	})
	return out
}
