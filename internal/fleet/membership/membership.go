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
	Seeds             []string      // addresses to send join requests to
	Bootstrap         bool          // whether this process may found a fleet alone when no member admits it
	HeartbeatInterval time.Duration // between two heartbeats to one observer; zero means half a second
	Rand              *rand.Rand
}

// defaultHeartbeatInterval makes a failure known in under three seconds.
const defaultHeartbeatInterval = 500 * time.Millisecond

// Envelope is a message with its recipient.
type Envelope struct {
	To      Member // of a seed, only the address is known
	Message *Message
}

// viewID identifies a view.
type viewID struct{ lineage, number uint64 }

// Core is the membership state of one process. It is not safe for concurrent use.
type Core struct {
	options Options

	now       time.Duration
	startedAt time.Duration // when this process began to look for a view
	lastTick  time.Duration

	// Results that Ready has not returned yet.
	outgoing []Envelope
	changes  []Change

	// The view in force, and what follows from it.
	view         *View // nil: this process is in none
	viewHash     uint64
	viewSince    time.Duration
	previousView *View                    // nil unless this process was in it
	observers    [][]int                  // of each member, by index in the view
	subjects     []int                    // the members that this process observes
	links        []*peerLink              // by index in the view; nil for this process
	collectors   []int                    // members that collect suspicion reports, in order of preference
	latestView   viewID                   // the newest view known, also after this process has left it
	endedLineage uint64                   // a lineage that has ended; members that have not noticed may still announce its view
	wasMember    bool                     // whether this process has been in a view
	leaving      bool                     // whether Leave was called
	nameTaken    bool                     // whether another process has this one's name
	unjoined     map[string]time.Duration // processes in no view, by name, and until when they count

	// Heartbeats, and whether a majority is reachable.
	heartbeatSeq         uint64
	lastHeartbeat        time.Duration
	lastViewRequest      time.Duration // or join request
	lastMergeProbe       time.Duration // of seeds that may be in another fleet of this name
	suspicionPausedUntil time.Duration
	majorityReached      bool          // in this view, since the last pause
	noMajoritySince      time.Duration // zero while a majority is reachable

	// Majority grants, which replace direct heartbeats from a majority in a large fleet.
	majorityGrantedAt   time.Duration            // when a majority was alive, according to a collector
	currentCollector    int                      // the index of the collector that is asked first
	collectorAnsweredAt time.Duration            // when it answered last, or was first asked
	renewals            map[string]time.Duration // at a collector: when each member asked last
	majorityCountedAt   time.Duration
	majorityRenewedAt   time.Duration // as counted at majorityCountedAt

	// The next view.
	joining            map[Member]time.Duration    // candidates, and until when they count
	departing          map[Member]time.Duration    // members that leave, likewise
	reports            map[string]*suspicionReport // at a collector, by observer
	changePendingSince time.Duration               // zero: no change is pending
	accepted           acceptor
	proposal           proposer

	departed       map[string]Departed // by name
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

// IsNameTaken reports whether another process has this one's name. This process has to end then.
func (c *Core) IsNameTaken() bool { return c.nameTaken }

// Leave announces that this process is leaving the fleet.
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

// Tick advances the clock. The host calls it every TickInterval.
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
	if c.view == nil { // the change was decided at once, and this process has left
		return
	}
	c.retryProposal()
	if heartbeatDue || len(c.view.Members) <= fullMeshMembers { // it examines every member
		c.reportStates()
	}
}

func (c *Core) send(to Member, m *Message) {
	m.From = c.options.Self
	if c.view != nil {
		m.Lineage, m.ViewNumber = c.view.Lineage, c.view.Number
	}
	c.outgoing = append(c.outgoing, Envelope{To: to, Message: m})
}

// isSelf reports whether index i of the view is this process.
func (c *Core) isSelf(i int) bool { return c.links[i] == nil }
