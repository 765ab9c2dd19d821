package requesthistory

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Clock is the present, by the clocks of the machine on which the log is read.
type Clock struct {
	Time      time.Time
	BootID    string        // the machine's start
	SinceBoot time.Duration // it
	// MaxError is how far the time of day may be off between two starts of the machine.
	MaxError time.Duration
}

// Ago tells how long ago a moment of a life was: at least, and at most. Within one start of the machine its own clock
// tells, which nobody sets. Over a restart of the machine the time of day is all there is: sure is false where it can't
// be, as it tells of a moment that has not come yet.
func (n Clock) Ago(l *Incarnation, at time.Duration) (least, most time.Duration, sure bool) {
	if l.BootID != "" && l.BootID == n.BootID {
		d := n.SinceBoot - l.StartedSinceBoot - at
		return max(d, 0), max(d, 0), true
	}
	d := n.Time.Sub(l.Time(at))
	if d < -n.MaxError {
		return 0, 0, false
	}
	return max(d-n.MaxError, 0), max(d+n.MaxError, 0), true
}

// EachKeyRecord tells of each attempt that may have run what the history is to know of its key, as of now. What is forgotten by now
// is left out. A moment that can't be placed in time counts as one whose window is over and whose key is still known:
// repeats of the key then fail, and promise nothing.
func (r *Request) EachKeyRecord(now Clock, tell func(idempotency.Record)) {
	if r.KeyID == ([16]byte{}) {
		return
	}
	for _, a := range r.PossiblyExecuted() {
		terms := idempotency.Terms{Scope: lbpolicy.Scope(a.Scope), Window: a.Window, Retention: a.Retention}
		least, most, sure := now.Ago(r.Incarnation, a.SentAt)
		if least >= a.Window+a.Retention {
			continue
		}
		until := now.Time.Add(terms.RetryWindow() - most)
		if !sure {
			until = now.Time
		}
		tell(idempotency.Record{ID: r.KeyID, KeyState: idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: a.Cluster, Zone: a.Zone, Cell: a.Cell},
			RetryUntil: until}, ExpiresAt: now.Time.Add(a.Window + a.Retention - least)})
	}
}

// UncertainUntil tells until when keys may be remembered somewhere of which a loss has taken the records, where no key is remembered
// for longer than told. Zero: none is.
func (l *DataLoss) UncertainUntil(now Clock, longest time.Duration) time.Time {
	if l.Torn {
		return time.Time{}
	}
	least := time.Duration(0)
	if l.Incarnation != nil {
		if ago, _, sure := now.Ago(l.Incarnation, l.At); sure {
			least = ago
		}
	}
	if least >= longest {
		return time.Time{}
	}
	return now.Time.Add(longest - least)
}
