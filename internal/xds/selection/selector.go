// Package selection decides which of several control planes is active, and when to connect to each. It does no I/O and reads no
// clock: callers pass the current time.
//
// Control planes are ordered: the first is preferred, the others are fallbacks. A control plane is up once it has sent a response
// on its current connection.
//
//  1. At most one control plane is active. Without cached resources the next control plane is tried as soon as one fails. With
//     cached resources the next is tried only when the response timeout has passed without any control plane up.
//  2. A control plane has failed if it sends nothing within the response timeout after the connection attempt, or if its stream
//     ends.
//  3. While a fallback is active, all control planes before it are retried. The first that has been up for its probation without
//     interruption becomes active. The probation doubles each time the control plane fails within a probation of becoming active
//     again. Clients therefore do not switch back and forth with a control plane that flaps.
//  4. A failed control plane is retried after a backoff with full jitter. The limit of the backoff doubles with each failure. The
//     jitter spreads the reconnections of clients that lose a control plane at the same time. The limit is reset when a control
//     plane has been up for as long as the limit.
package selection

import (
	"math/rand/v2"
	"time"
)

// Timing holds the durations that the rules in the package comment use.
type Timing struct {
	ResponseTimeout time.Duration
	Probation       time.Duration
	MinBackoff      time.Duration // backoff limit after the first failure
	MaxBackoff      time.Duration // upper bound of the backoff limit
}

const (
	maxProbationDoublings = 6
	maxBackoffDoublings   = 20 // prevents overflow of the shift; MaxBackoff is reached long before
)

// controlPlane is the state of one control plane.
type controlPlane struct {
	open         bool      // connected or connecting
	up           bool      // has sent a response on this connection
	since        time.Time // start of the connection attempt; once up, the time of the first response
	failures     int
	retryAt      time.Time
	failedBackAt time.Time // when it replaced a less preferred control plane as the active one; zero once it has failed
	flaps        int
}

// Selector holds the state of all control planes. It is not safe for concurrent use.
type Selector struct {
	timing        Timing
	rng           *rand.Rand
	controlPlanes []controlPlane
	active        int // index of the control plane that was made active last; -1: none yet
	hasCache      bool
	downSince     time.Time // since when no control plane is up; initially the creation time
}

// New returns the state of count control planes before any connection.
func New(now time.Time, count int, timing Timing, rng *rand.Rand) *Selector {
	return &Selector{timing: timing, rng: rng, controlPlanes: make([]controlPlane, count), active: -1, downSince: now}
}

// SetCached records that cached resources are available while no control plane is up.
func (s *Selector) SetCached() { s.hasCache = true }

// Active returns the active control plane; ok is false if none is up.
func (s *Selector) Active() (index int, ok bool) {
	return s.active, s.active >= 0 && s.controlPlanes[s.active].up
}

// MarkUp records the first response of a control plane on its current connection.
func (s *Selector) MarkUp(now time.Time, i int) {
	p := &s.controlPlanes[i]
	if !p.open || p.up {
		return
	}
	p.up = true
	p.since = now
	if _, ok := s.Active(); !ok {
		s.activate(now, i)
	}
}

func (s *Selector) activate(now time.Time, i int) {
	if s.active >= 0 && i < s.active {
		s.controlPlanes[i].failedBackAt = now
	}
	s.active = i
}

// MarkDown records that the connection to a control plane failed, or that its stream has ended.
func (s *Selector) MarkDown(now time.Time, i int) {
	p := &s.controlPlanes[i]
	if !p.open {
		return
	}
	if p.up && now.Sub(p.since) >= s.backoffLimit(p.failures) {
		p.failures = 0
	}
	s.countFlap(now, i)
	p.failures++
	wasUp := p.up
	p.open = false
	p.up = false
	p.retryAt = now.Add(time.Duration(s.rng.Float64() * float64(s.backoffLimit(p.failures))))
	if s.active == i && wasUp {
		s.fallBack(now)
	}
}

// countFlap doubles the probation of a control plane that fails within a probation of becoming active again, and otherwise resets
// the probation.
func (s *Selector) countFlap(now time.Time, i int) {
	p := &s.controlPlanes[i]
	if p.failedBackAt.IsZero() {
		return
	}
	if now.Sub(p.failedBackAt) < s.probation(i) {
		p.flaps = min(p.flaps+1, maxProbationDoublings)
	} else {
		p.flaps = 0
	}
	p.failedBackAt = time.Time{}
}

// fallBack activates the first control plane that is up. If none is up, it records the time in downSince.
func (s *Selector) fallBack(now time.Time) {
	for i := range s.controlPlanes {
		if s.controlPlanes[i].up {
			s.active = i
			return
		}
	}
	s.downSince = now
}

// backoffLimit returns the upper bound of the random backoff.
func (s *Selector) backoffLimit(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(s.timing.MinBackoff<<min(failures-1, maxBackoffDoublings), s.timing.MaxBackoff)
}

// probation returns how long a control plane must be up before it becomes active again.
func (s *Selector) probation(i int) time.Duration {
	return s.timing.Probation << s.controlPlanes[i].flaps
}

// lastEligible returns the index of the last control plane to connect to.
func (s *Selector) lastEligible(now time.Time) int {
	if active, ok := s.Active(); ok {
		return active
	}
	if s.hasCache && now.Sub(s.downSince) < s.timing.ResponseTimeout {
		return max(s.active, 0)
	}
	for i := range s.controlPlanes {
		p := &s.controlPlanes[i]
		isSilent := p.open && now.Sub(p.since) >= s.timing.ResponseTimeout
		if p.failures == 0 && !isSilent {
			return max(i, s.active)
		}
	}
	return len(s.controlPlanes) - 1
}

// Advance applies all timeouts that have expired by now. It returns the control planes to connect to, which count as open from now
// on, and those to disconnect from. Callers need not call MarkDown for a control plane in disconnect.
func (s *Selector) Advance(now time.Time) (connect, disconnect []int) {
	for i := range s.controlPlanes {
		if p := &s.controlPlanes[i]; p.open && !p.up && now.Sub(p.since) >= s.timing.ResponseTimeout {
			s.MarkDown(now, i)
			disconnect = append(disconnect, i)
		}
	}
	s.failBack(now)
	last := s.lastEligible(now)
	for i := range s.controlPlanes {
		p := &s.controlPlanes[i]
		switch {
		case i <= last && !p.open && !now.Before(p.retryAt):
			p.open = true
			p.since = now
			connect = append(connect, i)
		case i > last && p.open:
			p.open = false
			p.up = false
			disconnect = append(disconnect, i)
		}
	}
	return connect, disconnect
}

// failBack activates the first control plane that precedes the active one and has passed its probation, if there is one.
func (s *Selector) failBack(now time.Time) {
	active, ok := s.Active()
	if !ok {
		return
	}
	for i := range active {
		if p := &s.controlPlanes[i]; p.up && now.Sub(p.since) >= s.probation(i) {
			s.activate(now, i)
			return
		}
	}
}

// NextDeadline returns the next time at which Advance has to be called; zero: not before another event is recorded.
func (s *Selector) NextDeadline(now time.Time) (next time.Time) {
	last := s.lastEligible(now)
	consider := func(at time.Time) {
		if at.Before(now) { // a zero time, which was never set, is due now too
			at = now
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	active, ok := s.Active()
	for i := range s.controlPlanes {
		switch p := &s.controlPlanes[i]; {
		case p.open && !p.up:
			consider(p.since.Add(s.timing.ResponseTimeout))
		case p.up && ok && i < active:
			consider(p.since.Add(s.probation(i)))
		case !p.open && i <= last:
			consider(p.retryAt)
		}
	}
	if fallback := s.downSince.Add(s.timing.ResponseTimeout); !ok && s.hasCache && now.Before(fallback) {
		consider(fallback)
	}
	return next
}
