// Package selection decides which of several control planes is active, and when each is connected to. It has no clock and does
// no I/O.
//
// Control planes are ordered: the first is preferred, the others are fallbacks.
//
//  1. At most one control plane is active. Without cached resources the next control plane is tried as soon as one fails. With
//     cached resources the next is tried once no control plane has been up for the response timeout.
//  2. A control plane that has sent nothing for the response timeout since it was connected to has failed. So has one whose
//     stream has ended.
//  3. While a fallback is active, all control planes before it are retried. The first that has been up for its probation without
//     a break becomes active. The probation doubles each time the control plane is lost within a probation of becoming active
//     again, so that one that flaps is not followed.
//  4. A control plane that has failed is retried after a backoff with full jitter, whose limit doubles with each failure: clients
//     that lose a control plane together return spread out. Being up for as long as the limit resets it.
package selection

import (
	"math/rand/v2"
	"time"
)

// Timing holds the times that the package comment names.
type Timing struct {
	ResponseTimeout time.Duration
	Probation       time.Duration
	MinBackoff      time.Duration // limit after the first failure
	MaxBackoff      time.Duration // limit after many
}

const (
	maxProbationDoublings = 6
	maxBackoffDoublings   = 20 // keeps the shift from overflowing; MaxBackoff is reached long before
)

// controlPlane is the state of one control plane.
type controlPlane struct {
	open       bool      // connected, or connecting
	up         bool      // has sent something on this connection
	since      time.Time // of the connection; once it is up, of that
	failures   int
	retryAt    time.Time
	returnedAt time.Time // when it became active in place of a later one
	flaps      int
}

// Selector holds the state of all control planes. It is not safe for concurrent use.
type Selector struct {
	timing        Timing
	rng           *rand.Rand
	controlPlanes []controlPlane
	active        int // -1: none yet
	hasCache      bool
	downSince     time.Time // since when none is up
}

// New returns the state before any connection. The count is that of the control planes.
func New(now time.Time, count int, timing Timing, rng *rand.Rand) *Selector {
	return &Selector{timing: timing, rng: rng, controlPlanes: make([]controlPlane, count), active: -1, downSince: now}
}

// SetCached records that there are cached resources to work with while no control plane is up.
func (s *Selector) SetCached() { s.hasCache = true }

// Active returns the active control plane; ok is false where none is up.
func (s *Selector) Active() (index int, ok bool) {
	return s.active, s.active >= 0 && s.controlPlanes[s.active].up
}

// MarkUp records the first response of a control plane since it was connected to.
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
		s.controlPlanes[i].returnedAt = now
	}
	s.active = i
}

// MarkDown records that a control plane could not be connected to, or that its stream has ended.
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

// countFlap doubles the probation of a control plane that is lost within a probation of becoming active again.
func (s *Selector) countFlap(now time.Time, i int) {
	p := &s.controlPlanes[i]
	if p.returnedAt.IsZero() {
		return
	}
	if now.Sub(p.returnedAt) < s.probation(i) {
		p.flaps = min(p.flaps+1, maxProbationDoublings)
	} else {
		p.flaps = 0
	}
	p.returnedAt = time.Time{}
}

// fallBack makes the first control plane active that is up.
func (s *Selector) fallBack(now time.Time) {
	for i := range s.controlPlanes {
		if s.controlPlanes[i].up {
			s.active = i
			return
		}
	}
	s.downSince = now
}

// backoffLimit returns the upper end of the interval from which a backoff is drawn.
func (s *Selector) backoffLimit(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(s.timing.MinBackoff<<min(failures-1, maxBackoffDoublings), s.timing.MaxBackoff)
}

// probation returns how long a control plane must have been up to become active again.
func (s *Selector) probation(i int) time.Duration {
	return s.timing.Probation << s.controlPlanes[i].flaps
}

// lastEligible returns the last control plane that may be connected to.
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

// Advance brings the state up to the time. It returns the control planes to connect to, which are open from now on, and those to
// disconnect from. One that is returned in disconnect needs no MarkDown.
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

// failBack makes the first control plane before the active one active that has passed its probation.
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

// NextDeadline returns the time at which Advance has something to do; zero: none until an event is recorded.
func (s *Selector) NextDeadline(now time.Time) (next time.Time) {
	last := s.lastEligible(now)
	consider := func(at time.Time) {
		if at.Before(now) { // also one that was never set
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
