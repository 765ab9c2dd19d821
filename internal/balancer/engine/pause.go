package engine

import "time"

const (
	// tickInterval is the time between two events while calls are in flight, so that a longer gap is seen. Ticks cost processor time
	// in each process, and a pause has to be seen from 0.15 s on (the platform's STANDING page).
	tickInterval = 50 * time.Millisecond
	// maxEventGap is the longest gap between events of a process that runs.
	maxEventGap = 2 * tickInterval
)

// pauseDetector sees that the process stood still: a stopped container, a suspended machine, no processor time. While calls are
// in flight it has an event at least every tickInterval, and a longer gap is a pause.
type pauseDetector struct {
	ticking     bool
	timer       *time.Timer // of the next tick; nil: there was none yet
	lastEventAt time.Duration
}

// detectPause tells the policy of a pause that ends with an event, before the event.
func (e *Engine) detectPause(now time.Duration) {
	p := &e.pauses
	if length := now - p.lastEventAt; p.ticking && length > maxEventGap {
		e.balancer.Paused(p.lastEventAt, now)
		e.log.Warn("process stood still", "seconds", length.Seconds(), "in_flight", len(e.calls))
	}
	p.lastEventAt = now
}

// startTicks has events come regularly from now on. The caller holds the lock.
func (e *Engine) startTicks() {
	p := &e.pauses
	switch {
	case p.ticking:
		return
	case p.timer == nil:
		p.timer = time.AfterFunc(tickInterval, e.tick)
	default:
		p.timer.Reset(tickInterval)
	}
	p.ticking = true
}

// tick is an event that decides nothing. Without calls it is the last one.
func (e *Engine) tick() {
	e.event(func(time.Duration) {
		if len(e.calls) == 0 {
			e.pauses.ticking = false
			return
		}
		e.pauses.timer.Reset(tickInterval)
	})
}
