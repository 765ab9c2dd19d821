// Package selection decides which of several control planes is listened to, and when each is connected to. It has no clock and
// does no I/O.
//
// The planes stand in order: the first one is wanted, the others are for when it is lost. The rules:
//
//  1. One plane at a time is listened to. Where nothing is known yet and a plane fails, the next one is tried at once; where
//     something is known it stands as cached knowledge, and the next plane is tried once none has been up for the patience.
//  2. A plane that has said nothing for the patience since it was connected to has failed. So has one whose stream has ended.
//  3. While a later plane is listened to, all before it are tried on. One of them is returned to when it has been up for its
//     trial without a break. The trial doubles each time the plane is lost within a trial of being returned to, so that
//     one that comes and goes is not followed to and fro.
//  4. A plane that has failed is tried again after a backoff that doubles with each failure and is drawn over its whole
//     width: a crowd that has lost its plane at once comes back spread out. Being up for as long as the backoff ends it.
package selection

import (
	"math/rand/v2"
	"time"
)

// Timing are the times that the package comment speaks of.
type Timing struct {
	ResponseTimeout time.Duration
	Probation       time.Duration
	MinBackoff      time.Duration // backoff after a first failure
	MaxBackoff      time.Duration // and after many
}

const maxProbationDoublings = 6 // doublings of the trial

type controlPlane struct {
	open       bool // connected to, or being connected to
	up         bool
	since      time.Time // of the connection; once it is up, of that
	failures   int
	retryAt    time.Time // not before
	returnedAt time.Time // when it was last returned to
	flaps      int
}

// Selector is the state of all planes.
type Selector struct {
	timing        Timing
	rng           *rand.Rand
	controlPlanes []controlPlane
	active        int // listened to; -1: none yet
	hasCache      bool
	downSince     time.Time // since when none is up
}

// New returns the state before anything has been connected to.
func New(now time.Time, planes int, rules Timing, rng *rand.Rand) *Selector {
	return &Selector{timing: rules, rng: rng, controlPlanes: make([]controlPlane, planes), active: -1, downSince: now}
}

// SetCached tells that there is something to go on with while no plane is up.
func (o *Selector) SetCached() { o.hasCache = true }

// Active returns the plane that is listened to; ok is false where none is up.
func (o *Selector) Active() (plane int, ok bool) {
	return o.active, o.active >= 0 && o.controlPlanes[o.active].up
}

// MarkUp tells that a plane has said something, the first time since it was connected to.
func (o *Selector) MarkUp(now time.Time, i int) {
	p := &o.controlPlanes[i]
	if !p.open || p.up {
		return
	}
	p.up, p.since = true, now
	if _, ok := o.Active(); !ok {
		o.activate(now, i)
	}
}

func (o *Selector) activate(now time.Time, i int) {
	if o.active >= 0 && i < o.active {
		o.controlPlanes[i].returnedAt = now
	}
	o.active = i
}

// MarkDown tells that a plane could not be connected to, or that its stream has ended.
func (o *Selector) MarkDown(now time.Time, i int) {
	p := &o.controlPlanes[i]
	if !p.open {
		return
	}
	if p.up && now.Sub(p.since) >= o.backoffLimit(p.failures) {
		p.failures = 0
	}
	if !p.returnedAt.IsZero() {
		if now.Sub(p.returnedAt) < o.probation(i) {
			p.flaps = min(p.flaps+1, maxProbationDoublings)
		} else {
			p.flaps = 0
		}
		p.returnedAt = time.Time{}
	}
	p.failures++
	was := p.up
	p.open, p.up = false, false
	p.retryAt = now.Add(time.Duration(o.rng.Float64() * float64(o.backoffLimit(p.failures))))
	if o.active != i || !was {
		return
	}
	for j := range o.controlPlanes { // the first that is up
		if o.controlPlanes[j].up {
			o.active = j
			return
		}
	}
	o.downSince = now
}

// backoffLimit is what a backoff is drawn from.
func (o *Selector) backoffLimit(fails int) time.Duration {
	if fails == 0 {
		return 0
	}
	return min(o.timing.MinBackoff<<min(fails-1, 20), o.timing.MaxBackoff)
}

func (o *Selector) probation(i int) time.Duration {
	return o.timing.Probation << o.controlPlanes[i].flaps
}

// lastEligible is the last plane that may be connected to.
func (o *Selector) lastEligible(now time.Time) int {
	if at, ok := o.Active(); ok {
		return at
	}
	if o.hasCache && now.Sub(o.downSince) < o.timing.ResponseTimeout {
		return max(o.active, 0)
	}
	for i := range o.controlPlanes {
		p := &o.controlPlanes[i]
		if p.failures == 0 && !(p.open && now.Sub(p.since) >= o.timing.ResponseTimeout) {
			return max(i, o.active)
		}
	}
	return len(o.controlPlanes) - 1
}

// Advance brings the planes up to the time: those to connect to are open from now on, those to drop are not. A plane that is
// dropped and has not failed needs no Down.
func (o *Selector) Advance(now time.Time) (connect, drop []int) {
	for i := range o.controlPlanes {
		if p := &o.controlPlanes[i]; p.open && !p.up && now.Sub(p.since) >= o.timing.ResponseTimeout {
			o.MarkDown(now, i)
			drop = append(drop, i)
		}
	}
	if at, ok := o.Active(); ok {
		for i := range at {
			if p := &o.controlPlanes[i]; p.up && now.Sub(p.since) >= o.probation(i) {
				o.activate(now, i)
				break
			}
		}
	}
	reach := o.lastEligible(now)
	for i := range o.controlPlanes {
		p := &o.controlPlanes[i]
		switch {
		case i <= reach && !p.open && !now.Before(p.retryAt):
			p.open, p.since = true, now
			connect = append(connect, i)
		case i > reach && p.open:
			p.open, p.up = false, false
			drop = append(drop, i)
		}
	}
	return connect, drop
}

// NextDeadline returns the time at which Step has something to do; zero: none until something is told.
func (o *Selector) NextDeadline(now time.Time) (at time.Time) {
	reach := o.lastEligible(now)
	sooner := func(t time.Time) {
		if t.Before(now) { // also one that was never set
			t = now
		}
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	listen, ok := o.Active()
	for i := range o.controlPlanes {
		switch p := &o.controlPlanes[i]; {
		case p.open && !p.up:
			sooner(p.since.Add(o.timing.ResponseTimeout))
		case p.up && ok && i < listen:
			sooner(p.since.Add(o.probation(i)))
		case !p.open && i <= reach:
			sooner(p.retryAt)
		}
	}
	if over := o.downSince.Add(o.timing.ResponseTimeout); !ok && o.hasCache && now.Before(over) {
		sooner(over)
	}
	return at
}
