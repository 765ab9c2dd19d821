package forwarding

import "time"

// delayWindow is the time over which the least difference of the clocks is kept.
const delayWindow = 30 * time.Second

// DelayEstimator measures how much longer than usual a message was in transit, without synchronised clocks: each end sends
// a reading of its own monotonic clock. The least difference of the two readings seen lately is that of a message that
// met no queue; what another one's difference is above it, it has spent waiting.
//
// The least is taken over two windows, so that it follows clocks that drift (100 ppm are 3 ms in a window) and a path that
// has become longer. It is not safe for concurrent use.
type DelayEstimator struct {
	windowMin, previousMin time.Duration // least differences of this window and the one before
	windowStart            time.Duration // by the receiver's clock
	started, hasPrevious   bool
}

// QueueingDelay takes the readings of the sender's clock as it sent a message and of the receiver's as it arrived. It
// returns how much longer than the quickest one lately the message was in transit.
func (e *DelayEstimator) QueueingDelay(sentAt, receivedAt time.Duration) time.Duration {
	difference := receivedAt - sentAt
	switch {
	case !e.started:
		e.windowMin, e.windowStart, e.started = difference, receivedAt, true
	case receivedAt-e.windowStart >= delayWindow:
		e.previousMin, e.hasPrevious = e.windowMin, true
		e.windowMin, e.windowStart = difference, receivedAt
	default:
		e.windowMin = min(e.windowMin, difference)
	}
	usual := e.windowMin
	if e.hasPrevious {
		usual = min(usual, e.previousMin)
	}
	return difference - usual
}

// TimeLeftOnArrival returns what is left of a request's time where it arrives: what the sender said, less the usual round
// trip and the queueing delay. It never grows.
func TimeLeftOnArrival(timeLeft, roundTrip, queueingDelay time.Duration) time.Duration {
	return timeLeft - max(roundTrip, 0) - max(queueingDelay, 0)
}
