package requesthistory

import (
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Clock is the current time, by the clocks of the machine on which the log is read.
type Clock struct {
	Time      time.Time
	BootID    string
	SinceBoot time.Duration
	// MaxError bounds the error of the wall clock across a reboot of the machine.
	MaxError time.Duration
}

// Elapsed returns bounds of the time that has passed since a moment of an incarnation. Within one boot of the machine the monotonic
// clock gives the exact time. Across a reboot the bounds come from the wall clock, with an error of MaxError. Then ok is false
// if the moment is in the future by more than MaxError.
func (c Clock) Elapsed(i *Incarnation, at time.Duration) (shortest, longest time.Duration, ok bool) {
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

// EachKeyRecord calls f with the key record of each attempt that may have run, for the key table. Attempts whose retention is over
// are left out. If it cannot be determined when an attempt was sent, its retry window counts as over and its key as still
// known. Repeats of the key then fail, with a response that does not promise that the request never ran.
func (r *Request) EachKeyRecord(now Clock, f func(idempotency.Record)) {
	if r.KeyID == ([16]byte{}) {
		return
	}
	for _, a := range r.PossiblyExecuted() {
		terms := idempotency.Terms{Scope: lbpolicy.Scope(a.Scope), Window: a.Window, Retention: a.Retention}
		shortest, longest, ok := now.Elapsed(r.Incarnation, a.SentAt)
		if shortest >= a.Window+a.Retention {
			continue
		}
		retryUntil := now.Time
		if ok {
			retryUntil = now.Time.Add(terms.RetryWindow() - longest)
		}
		f(idempotency.Record{
			ID: r.KeyID,
			KeyState: idempotency.KeyState{
				Known:      true,
				Place:      idempotency.Place{Cluster: a.Cluster, Zone: a.Zone, Cell: a.Cell},
				RetryUntil: retryUntil,
			},
			ExpiresAt: now.Time.Add(a.Window + a.Retention - shortest),
		})
	}
}

// UncertainUntil returns until when endpoints may remember keys whose records were lost. Endpoints remember a key for at most
// maxRetention. The zero time means that they remember no such key.
func (l *DataLoss) UncertainUntil(now Clock, maxRetention time.Duration) time.Time {
	if l.Torn {
		return time.Time{}
	}
	shortest := time.Duration(0)
	if l.Incarnation != nil {
		if ago, _, ok := now.Elapsed(l.Incarnation, l.At); ok {
			shortest = ago
		}
	}
	if shortest >= maxRetention {
		return time.Time{}
	}
	return now.Time.Add(maxRetention - shortest)
}
