package membership

import "time"

// Times in heartbeat intervals. With half a second between heartbeats, a failure is known in under three seconds.
const (
	ticksPerHeartbeat  = 5   // the host calls Tick this often
	pingAfter          = 1.5 // without a message, a subject is pinged directly and through others
	reachableFor       = 2.5 // a message makes its sender reachable for this long
	suspectAfter       = 3.5 // without a message, and with all pings unanswered, a subject is suspected
	isolatedAfter      = 4.5 // without a majority, a process is isolated
	reportTTL          = 4   // how long a report counts
	pauseGrace         = 4   // how long nobody is suspected after a pause
	batchDelay         = 1   // how long a change waits for others to be combined with it
	unstableDelay      = 6   // the longest wait for members that only some of the required observers suspect
	proposalTimeout    = 3   // a proposal that is not decided by then is started again
	requestInterval    = 2   // between two requests to join, or for a view
	bootstrapDelay     = 8   // without an answer, before a process founds a fleet
	mergeProbeInterval = 10  // between two probes for another fleet of this name
	quotaHold          = 3   // how long a lost member's quota is reserved after the view without it
	departedTTL        = 600 // how long a departed member is listed
)

// rejoinFactor lengthens bootstrapDelay for a process that was in a view: the others may be on the far side of a partition.
const rejoinFactor = 8

// TickInterval returns how often the host has to call Tick.
func (c *Core) TickInterval() time.Duration { return c.options.HeartbeatInterval / ticksPerHeartbeat }

// heartbeats returns the duration of n heartbeat intervals.
func (c *Core) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(c.options.HeartbeatInterval))
}

// largeFleetAllowance returns how much longer everything takes in a large fleet, where members send heartbeats half as often to
// bound their traffic.
func (c *Core) largeFleetAllowance() time.Duration {
	if len(c.view.Members) > fullMeshMembers {
		return c.options.HeartbeatInterval
	}
	return 0
}

// reachableWindow returns how long a message makes its sender reachable.
func (c *Core) reachableWindow() time.Duration {
	return c.heartbeats(reachableFor) + c.largeFleetAllowance()
}

// compensateDelay discounts the time for which this process was paused or had no CPU: what it did not receive meanwhile says
// nothing about other members.
func (c *Core) compensateDelay() {
	delay := c.now - c.lastTick - c.TickInterval()
	if delay < c.TickInterval()*2 {
		return
	}
	for _, link := range c.links {
		if link != nil {
			link.shift(delay)
		}
	}
	if delay < c.options.HeartbeatInterval*2 {
		return
	}
	// After a pause, the others may have moved on to another view.
	c.suspicionPausedUntil = c.now + c.heartbeats(pauseGrace)
	c.majorityReached, c.majorityGrantedAt = false, 0
	clear(c.reports)
	c.proposal = proposer{}
	if c.view != nil {
		c.requestView()
	}
}
