package forwarding

import "time"

// DelayEstimator measures how much longer than usual a message was under way, with no clock that both ends share: each end tells
// the reading of a clock of its own that only has to run at the same pace. The least difference of the two readings that
// was seen lately is that of a message that met nothing on its way; what another one's is above that it has spent waiting.
//
// The least is taken over two windows, so that clocks that run apart a little (100 ppm are 3 ms in a window), or a way that
// has become longer, are followed. It is not safe for concurrent use.
type DelayEstimator struct {
	windowMin, previousMin time.Duration // the least differences of this window and the one before
	windowStart            time.Duration // of this window, by the receiver's clock
	started, hasPrevious   bool
}

const delayWindow = 30 * time.Second

// QueueingDelay takes a message's readings, the sender's as it was sent and the receiver's as it came, and returns how much longer
// than the quickest lately it was under way.
func (t *DelayEstimator) QueueingDelay(sent, came time.Duration) time.Duration {
	d := came - sent
	switch {
	case !t.started:
		t.windowMin, t.windowStart, t.started = d, came, true
	case came-t.windowStart >= delayWindow:
		t.previousMin, t.hasPrevious = t.windowMin, true
		t.windowMin, t.windowStart = d, came
	default:
		t.windowMin = min(t.windowMin, d)
	}
	usual := t.windowMin
	if t.hasPrevious {
		usual = min(usual, t.previousMin)
	}
	return d - usual
}

// TimeLeftOnArrival returns what is left of a request's time where it arrives: what the sender told, less the usual way there and
// back, less what the message was late. It never grows.
func TimeLeftOnArrival(told, trip, late time.Duration) time.Duration {
	return told - max(trip, 0) - max(late, 0)
}
