package distribution

import (
	"math"
	"slices"
	"time"
)

// byteBucket is a token bucket of bytes. One response may overdraw it.
type byteBucket struct {
	rate, capacity, level float64
	filledAt              time.Time
}

// burstDuration is the time for which unused bytes accumulate. They may be sent at once, so a single subscriber does not wait.
const burstDuration = 100 * time.Millisecond

func newByteBucket(now time.Time, limits Limits) byteBucket {
	rate := float64(limits.BytesPerSecond)
	capacity := math.Max(rate*burstDuration.Seconds(), float64(limits.MaxResponseBytes))
	return byteBucket{rate: rate, capacity: capacity, level: capacity, filledAt: now}
}

func (b *byteBucket) fill(now time.Time) {
	if now.After(b.filledAt) {
		b.level = math.Min(b.capacity, b.level+b.rate*now.Sub(b.filledAt).Seconds())
		b.filledAt = now
	}
}

// availableAt returns the time from which something may be sent.
func (b *byteBucket) availableAt() time.Time {
	if b.level > 0 {
		return b.filledAt
	}
	return b.filledAt.Add(time.Duration((1 - b.level) / b.rate * float64(time.Second)))
}

// Step advances the queue of initial states: it wakes the subscribers whose turn it is, and those that are due a keepalive.
func (d *Distributor) Step(now time.Time) {
	d.bucket.fill(now)
	for len(d.queue) > 0 && d.bucket.level > 0 {
		s := d.queue[0]
		d.queue = d.queue[1:]
		s.queued, s.granted = false, true
		d.bucket.level -= float64(d.estimateInitialBytes(s))
		d.wake(s)
	}
	for _, s := range d.queue {
		if now.Sub(s.queuedAt) < d.limits.KeepaliveDelay {
			break // the rest of the queue was added later
		}
		if !s.contacted && !s.keepaliveDue {
			s.keepaliveDue = true
			d.wake(s)
		}
	}
}

// NextStep returns the time at which Step has to be called, or the zero time if the queue is empty.
func (d *Distributor) NextStep() time.Time {
	if len(d.queue) == 0 {
		return time.Time{}
	}
	at := d.bucket.availableAt()
	for _, s := range d.queue {
		if s.contacted || s.keepaliveDue {
			continue
		}
		if keepaliveAt := s.queuedAt.Add(d.limits.KeepaliveDelay); keepaliveAt.Before(at) {
			at = keepaliveAt
		}
		break
	}
	return at
}

// WaitingCount returns how many subscribers wait for an initial state.
func (d *Distributor) WaitingCount() int { return len(d.queue) }

func (d *Distributor) enqueue(now time.Time, s *Subscriber) {
	if !s.queued {
		s.queued, s.queuedAt = true, now
		d.queue = append(d.queue, s)
	}
}

func (d *Distributor) dequeue(s *Subscriber) {
	if s.queued {
		s.queued = false
		d.queue = slices.DeleteFunc(d.queue, func(queued *Subscriber) bool { return queued == s })
	}
}
