package requesthistory

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Clock is the present, by the clocks of the machine on which the log is read.
type Clock struct {
	Time      time.Time
	BootID    string
	SinceBoot time.Duration
	// MaxError is how far the wall clock may be off between two boots of the machine.
	MaxError time.Duration
}

// Ago returns the least and the largest time since a moment of an incarnation. Within one boot of the machine its monotonic
// clock tells. Across a reboot there is only the wall clock: ok is false if that places the moment in the future.
func (c Clock) Ago(i *Incarnation, at time.Duration) (least, most time.Duration, ok bool) {
	if i.BootID != "" && i.BootID == c.BootID {
		ago := max(c.SinceBoot-i.StartedSinceBoot-at, 0)
		return ago, ago, true
	}
	ago := c.Time.Sub(i.Time(at))
	if ago < -c.MaxError {
		return 0, 0, false
	}
	return max(ago-c.MaxError, 0), max(ago+c.MaxError, 0), true
}

// EachKeyRecord calls f for each attempt that may have run, with what the key table has to remember. What is forgotten by now
// is left out. A moment that cannot be placed in time counts as one whose window is over and whose key is still known:
// repeats of the key then fail, which promises nothing.
func (r *Request) EachKeyRecord(now Clock, f func(idempotency.Record)) {
	if r.KeyID == ([16]byte{}) {
		return
	}
	for _, a := range r.PossiblyExecuted() {
		terms := idempotency.Terms{Scope: lbpolicy.Scope(a.Scope), Window: a.Window, Retention: a.Retention}
		least, most, ok := now.Ago(r.Incarnation, a.SentAt)
		if least >= a.Window+a.Retention {
			continue
		}
		retryUntil := now.Time
		if ok {
			retryUntil = now.Time.Add(terms.RetryWindow() - most)
		}
		f(idempotency.Record{
			ID: r.KeyID,
			KeyState: idempotency.KeyState{
				Known:      true,
				Place:      idempotency.Place{Cluster: a.Cluster, Zone: a.Zone, Cell: a.Cell},
				RetryUntil: retryUntil,
			},
			ExpiresAt: now.Time.Add(a.Window + a.Retention - least),
		})
	}
}

// UncertainUntil returns until when endpoints may remember keys whose records a loss has taken, if they remember none for longer
// than maxRetention. Zero: they remember none.
func (l *DataLoss) UncertainUntil(now Clock, maxRetention time.Duration) time.Time {
	if l.Torn {
		return time.Time{}
	}
	least := time.Duration(0)
	if l.Incarnation != nil {
		if ago, _, ok := now.Ago(l.Incarnation, l.At); ok {
			least = ago
		}
	}
	if least >= maxRetention {
		return time.Time{}
	}
	return now.Time.Add(maxRetention - least)
}
