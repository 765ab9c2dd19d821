package forwarding

import "time"

// delayWindow is the length of the window over which the minimum clock difference is taken.
const delayWindow = 30 * time.Second

// DelayEstimator estimates the queueing delay of messages without synchronised clocks. Each end uses its own monotonic
// clock, and the sender sends a reading with each message. A message that met no queue has the minimum difference between
// the receiver's and the sender's reading. The queueing delay of another message is its difference minus the recent minimum.
//
// The minimum is taken over two windows, the current and the previous one. So it follows clocks that drift (100 ppm are
// 3 ms in a window) and a path that has become longer.
//
// A DelayEstimator is not safe for concurrent use.
type DelayEstimator struct {
	windowMin, previousMin time.Duration // minimum differences of the current and the previous window
	windowStart            time.Duration // on the receiver's clock
	started, hasPrevious   bool
}

// QueueingDelay returns how much longer a message was in transit than the fastest recent one. The message was sent at sentAt
// on the sender's clock and received at receivedAt on the receiver's clock.
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

// TimeLeftOnArrival returns the time that a request has left when it arrives: the time left that the sender reported, minus
// the usual round trip and the queueing delay. It is never more than the sender reported.
func TimeLeftOnArrival(timeLeft, roundTrip, queueingDelay time.Duration) time.Duration {
	return timeLeft - max(roundTrip, 0) - max(queueingDelay, 0)
}
