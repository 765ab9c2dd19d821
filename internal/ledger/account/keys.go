package account

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Now is the present, by the clocks of the machine on which the log is read.
type Now struct {
	Time  time.Time
	Boot  string        // the machine's start
	Since time.Duration // it
	// Error is how far the time of day may be off between two starts of the machine.
	Error time.Duration
}

// Ago tells how long ago a moment of a life was: at least, and at most. Within one start of the machine its own clock
// tells, which nobody sets. Over a restart of the machine the time of day is all there is: sure is false where it can't
// be, as it tells of a moment that has not come yet.
func (n Now) Ago(l *Life, at time.Duration) (least, most time.Duration, sure bool) {
	if l.Boot != "" && l.Boot == n.Boot {
		d := n.Since - l.BeganAt - at
		return max(d, 0), max(d, 0), true
	}
	d := n.Time.Sub(l.Time(at))
	if d < -n.Error {
		return 0, 0, false
	}
	return max(d-n.Error, 0), max(d+n.Error, 0), true
}

// Keys tells of each attempt that may have run what the history is to know of its key, as of now. What is forgotten by now
// is left out. A moment that can't be placed in time counts as one whose window is over and whose key is still known:
// repeats of the key then fail, and promise nothing.
func (r *Request) Keys(now Now, tell func(idempotency.Record)) {
	if r.KeyID == ([16]byte{}) {
		return
	}
	for _, a := range r.At() {
		terms := idempotency.Terms{Scope: lbpolicy.Scope(a.Scope), Window: a.Window, Retention: a.Keep}
		least, most, sure := now.Ago(r.Life, a.Sent)
		if least >= a.Window+a.Keep {
			continue
		}
		until := now.Time.Add(terms.RetryWindow() - most)
		if !sure {
			until = now.Time
		}
		tell(idempotency.Record{ID: r.KeyID, KeyState: idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: a.Cluster, Zone: a.Zone, Cell: a.Cell},
			RetryUntil: until}, ExpiresAt: now.Time.Add(a.Window + a.Keep - least)})
	}
}

// Doubt tells until when keys may be remembered somewhere of which a loss has taken the records, where no key is remembered
// for longer than told. Zero: none is.
func (l *Loss) Doubt(now Now, longest time.Duration) time.Time {
	if l.Torn {
		return time.Time{}
	}
	least := time.Duration(0)
	if l.Life != nil {
		if ago, _, sure := now.Ago(l.Life, l.At); sure {
			least = ago
		}
	}
	if least >= longest {
		return time.Time{}
	}
	return now.Time.Add(longest - least)
}
