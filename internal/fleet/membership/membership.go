// Package membership decides which processes form a fleet. It detects failed members and has the remaining ones agree on
// the next view.
//
// The package does no I/O, reads no clock and starts no goroutines. Its host passes it messages and the time, and carries
// out what Ready returns (etcd's raft package is the model). One Core holds the state of one process; its host owns it and
// serialises all calls.
//
// A member is removed only by a new view to which a majority of the previous view has agreed, after several independent
// observers have suspected it (Rapid: Suresh and others, ATC 2018). An observer suspects nobody while its own observations
// are unreliable: while it reaches no majority, after its own timer ran late, and after a pause until a majority has
// confirmed the current view. A suspicion counts only in the view in which it was reported, and only for a short time.
// A single member that is isolated, paused, or wrong therefore removes nobody.
package membership

import (
	"math/rand/v2"
	"time"
)

// Options configure a Core.
type Options struct {
	Self              Member
	Seeds             []string      // addresses that join requests are sent to
	Bootstrap         bool          // whether this process may found a fleet if no member admits it
	HeartbeatInterval time.Duration // interval between heartbeats; zero means defaultHeartbeatInterval
	Rand              *rand.Rand
}

// defaultHeartbeatInterval lets members detect a failure in under 3 s.
const defaultHeartbeatInterval = 500 * time.Millisecond

// Envelope is a message with its recipient.
type Envelope struct {
	To      Member // only the address is set if the recipient is a seed
	Message *Message
}

// viewID identifies a view.
type viewID struct{ lineage, number uint64 }

// Core is the membership state of one process. It is not safe for concurrent use.
type Core struct {
	options Options

	now       time.Duration
	startedAt time.Duration // when this process last began to look for a view
	lastTick  time.Duration

	// Results that Ready has not returned yet.
	outgoing []Envelope
	changes  []Change

	// The view in force, and state derived from it.
	view         *View // nil if this process is in no view
	viewHash     uint64
	viewSince    time.Duration
	previousView *View                    // the view before it; nil if this process was not in that one
	observers    [][]int                  // the observers of each member; both are indices in the view
	subjects     []int                    // the members that this process observes, by index in the view
	links        []*peerLink              // to each member, by index in the view; nil for this process
	collectors   []int                    // members that collect suspicion reports, by index in the view, in order of preference
	latestView   viewID                   // the newest view known, kept after this process has left it
	endedLineage uint64                   // a lineage that has ended; members that have not noticed may still announce its view
	wasMember    bool                     // whether this process has been in a view
	leaving      bool                     // whether Leave was called
	nameTaken    bool                     // whether a member of the fleet has the name of this process
	unjoined     map[string]time.Duration // other processes in no view, by name, with the time when each entry expires

	// Heartbeats, and whether a majority is reachable.
	heartbeatSeq         uint64
	lastHeartbeat        time.Duration
	lastViewRequest      time.Duration // last request for a view or to join
	lastMergeProbe       time.Duration // last probe for another fleet of this name
	suspicionPausedUntil time.Duration
	majorityReached      bool          // whether a majority was reachable at some time since this process joined or was paused
	noMajoritySince      time.Duration // zero while a majority is reachable

	// Majority grants, which replace direct heartbeats from a majority in a large fleet.
	majorityGrantedAt   time.Duration            // when a majority was last known to be alive, according to a collector
	currentCollector    int                      // position in collectors of the collector that is asked first
	collectorAnsweredAt time.Duration            // when that collector last answered, or was chosen
	renewals            map[string]time.Duration // at a collector: when each member last requested a grant, by name
	majorityCountedAt   time.Duration            // when majorityRenewedAt was computed
	majorityRenewedAt   time.Duration            // since this time a majority has requested grants; zero: no majority has

	// The next view.
	joining            map[Member]time.Duration    // candidates, with the time when each request expires
	departing          map[Member]time.Duration    // leaving members, with the time when each announcement expires
	reports            map[string]*suspicionReport // at a collector: the last report of each observer, by name
	changePendingSince time.Duration               // zero if no change is pending
	accepted           acceptor
	proposal           proposer

	departed       map[string]Departed // members that have left or were removed, by name
	reportedStates map[string]State    // by name, as last returned by Ready
}

// New returns a Core that is in no view yet.
func New(options Options) *Core {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	return &Core{
		options:        options,
		joining:        map[Member]time.Duration{},
		departing:      map[Member]time.Duration{},
		reports:        map[string]*suspicionReport{},
		renewals:       map[string]time.Duration{},
		departed:       map[string]Departed{},
		unjoined:       map[string]time.Duration{},
		reportedStates: map[string]State{},
	}
}

// Ready returns the messages to send and the changes since the last call, and clears both.
func (c *Core) Ready() (outgoing []Envelope, changes []Change) {
	outgoing, changes = c.outgoing, c.changes
	c.outgoing, c.changes = nil, nil
	return outgoing, changes
}

// View returns the view in force, or nil if this process is in none. The view must not be modified.
func (c *Core) View() *View { return c.view }

// IsNameTaken reports whether a member of the fleet has the name of this process. If so, this process does not join, and should be
// stopped.
func (c *Core) IsNameTaken() bool { return c.nameTaken }

// Leave announces to the collectors and the observers that this process is leaving the fleet.
func (c *Core) Leave(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.view == nil {
		return
	}
	for _, i := range c.activeCollectors() {
		c.send(c.view.Members[i], &Message{Kind: Report, Departing: []Member{c.options.Self}})
	}
	c.departing[c.options.Self] = now + c.heartbeats(reportTTL)
	c.sendHeartbeats()
}

// Tick advances the clock and does all periodic work. The host calls it once per TickInterval.
func (c *Core) Tick(now time.Duration) {
	if c.startedAt == 0 {
		c.startedAt, c.lastTick = now, now
	}
	c.now = now
	c.compensateDelay()
	c.lastTick = now
	if c.view == nil {
		c.requestJoin()
		return
	}
	c.updateQuorum()
	heartbeatDue := now-c.lastHeartbeat >= c.options.HeartbeatInterval+c.largeFleetAllowance()
	if heartbeatDue {
		c.lastHeartbeat = now
		c.sendHeartbeats()
		c.sendReport()
	}
	c.renewGrant(heartbeatDue)
	if now-c.lastMergeProbe >= c.heartbeats(mergeProbeInterval) {
		c.lastMergeProbe = now
		c.probeForOtherFleets()
	}
	c.probeSubjects()
	c.proposeDueChange()
	if c.view == nil { // the change was decided within the call, and this process has left
		return
	}
	c.retryProposal()
	if heartbeatDue || len(c.view.Members) <= fullMeshMembers { // reportStates examines every member, so large fleets call it less often
		c.reportStates()
	}
}

// send queues a message for the next call of Ready.
func (c *Core) send(to Member, m *Message) {
	m.From = c.options.Self
	if c.view != nil {
		m.Lineage, m.ViewNumber = c.view.Lineage, c.view.Number
	}
	c.outgoing = append(c.outgoing, Envelope{To: to, Message: m})
}

// isSelf reports whether index i of the view is this process.
func (c *Core) isSelf(i int) bool { return c.links[i] == nil }
