package distribution

import (
	"math"
	"slices"
	"time"
)

// byteBucket is a token bucket of bytes. It may be overdrawn by one response.
type byteBucket struct {
	rate, capacity, level float64
	filledAt              time.Time
}

// maxBurst is the time of the pace that may be sent at once: what one lone subscriber asks for never waits.
const maxBurst = 100 * time.Millisecond

func newByteBucket(now time.Time, r Limits) byteBucket {
	most := math.Max(float64(r.BytesPerSecond)*maxBurst.Seconds(), float64(r.MaxResponseBytes))
	return byteBucket{rate: float64(r.BytesPerSecond), capacity: most, level: most, filledAt: now}
}

func (p *byteBucket) fill(now time.Time) {
	if now.After(p.filledAt) {
		p.level = math.Min(p.capacity, p.level+p.rate*now.Sub(p.filledAt).Seconds())
		p.filledAt = now
	}
}

// availableAt returns the time from which something may be sent.
func (p *byteBucket) availableAt() time.Time {
	if p.level > 0 {
		return p.filledAt
	}
	return p.filledAt.Add(time.Duration((1 - p.level) / p.rate * float64(time.Second)))
}

// Step brings the queue of first states up to the time: those whose turn it is are woken.
func (d *Distributor) Step(now time.Time) {
	d.bucket.fill(now)
	for len(d.queue) > 0 && d.bucket.level > 0 {
		s := d.queue[0]
		d.queue = d.queue[1:]
		s.queued, s.granted = false, true
		d.bucket.level -= float64(d.estimate(s))
		d.wake(s)
	}
	for _, s := range d.queue {
		if now.Sub(s.queuedAt) < d.limits.KeepaliveDelay {
			break // those behind it came later
		}
		if !s.contacted && !s.keepaliveDue {
			s.keepaliveDue = true
			d.wake(s)
		}
	}
}

// NextStep returns the time at which Step has something to do; zero: none until something is told.
func (d *Distributor) NextStep() (at time.Time) {
	if len(d.queue) == 0 {
		return at
	}
	at = d.bucket.availableAt()
	for _, s := range d.queue {
		if !s.contacted && !s.keepaliveDue {
			if sign := s.queuedAt.Add(d.limits.KeepaliveDelay); sign.Before(at) {
				at = sign
			}
			break
		}
	}
	return at
}

// Waiting returns how many wait for a first state.
func (d *Distributor) Waiting() int { return len(d.queue) }

func (d *Distributor) enqueue(now time.Time, s *Subscriber) {
	if !s.queued {
		s.queued, s.queuedAt = true, now
		d.queue = append(d.queue, s)
	}
}

func (d *Distributor) dequeue(s *Subscriber) {
	if s.queued {
		s.queued = false
		d.queue = slices.DeleteFunc(d.queue, func(o *Subscriber) bool { return o == s })
	}
}
