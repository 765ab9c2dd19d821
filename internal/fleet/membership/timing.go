package membership

import "time"

// Durations in heartbeat intervals. With a heartbeat interval of 500 ms, a failure is detected in under 3 s.
const (
	ticksPerHeartbeat  = 5   // calls of Tick per heartbeat interval
	pingAfter          = 1.5 // a subject is pinged, directly and through others, this long after its last message
	reachableFor       = 2.5 // a member counts as reachable for this long after its last message
	suspectAfter       = 3.5 // a subject is suspected this long after its last message, if all pings are unanswered
	isolatedAfter      = 4.5 // a process without a majority is isolated after this time
	reportTTL          = 4   // how long a report counts
	pauseGrace         = 4   // how long a process suspects no member after a pause
	batchDelay         = 1   // how long a change waits for others, so that one view combines them
	unstableDelay      = 6   // how long a change waits while a member is suspected by too few observers
	proposalTimeout    = 3   // a proposal that is not decided in this time is started again
	requestInterval    = 2   // between two requests to join or for a view
	bootstrapDelay     = 8   // how long a process requests to join before it founds a fleet
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

// largeFleetAllowance returns by how much the failure detector's time limits are longer in a large fleet, where members send
// heartbeats half as often to bound their traffic.
func (c *Core) largeFleetAllowance() time.Duration {
	if len(c.view.Members) > fullMeshMembers {
		return c.options.HeartbeatInterval
	}
	return 0
}

// reachableWindow returns how long a member counts as reachable after its last message.
func (c *Core) reachableWindow() time.Duration {
	return c.heartbeats(reachableFor) + c.largeFleetAllowance()
}

// compensateDelay moves recorded times forward by the time for which this process was paused or had no CPU. The messages that it
// did not receive in that time tell nothing about the other members.
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
	// The other members may have installed another view during the pause.
	c.suspicionPausedUntil = c.now + c.heartbeats(pauseGrace)
	c.majorityReached, c.majorityGrantedAt = false, 0
	clear(c.reports)
	c.proposal = proposer{}
	if c.view != nil {
		c.requestView()
	}
}
