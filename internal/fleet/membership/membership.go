// Package membership decides who is in a fleet: which members are heard, who may accuse whom, and by which views all
// agree on it. It does no I/O, has no clock and starts no goroutines: its host tells it messages and the time, and carries
// what it raises (etcd's raft is the model).
//
// A member is out only by a view that a majority of the view before it has agreed to, after several observers that do not
// depend on one another have accused it. An observer accuses nobody while it is itself in doubt: while it hears no
// majority, after its own timer ran late, and after a pause until it has heard from a majority which view holds. What it
// says counts for the view in which it was said and for a short time. So one member that is deaf, mute, paused or wrong
// takes nobody out.
package membership

import (
	"math/rand/v2"
	"time"
)

// Options tell what a process needs to know.
type Options struct {
	Self              Member
	Seeds             []string      // addresses that are asked to be let in
	Bootstrap         bool          // may found a fleet alone, where nobody has let it in
	HeartbeatInterval time.Duration // between two beats to one observer; zero: half a second
	Rand              *rand.Rand
}

// Times, in beats. Half a second a beat makes a loss known in under 3 s.
const (
	ticksPerHeartbeat  = 5   // ticks in a beat: the host calls Tick that often
	pingAfter          = 1.5 // without a word: asked directly and through others
	reachableFor       = 2.5 // a word makes its sender heard for so long
	suspectAfter       = 3.5 // without a word, at the least, and all questions asked: accused
	isolatedAfter      = 4.5 // without a majority: isolated
	reportTTL          = 4   // a report counts
	pauseGrace         = 4   // after a pause nobody is accused
	batchDelay         = 1   // a change waits for others that come with it
	unstableDelay      = 6   // and at the most so long for those that are accused by some and not by enough
	proposalTimeout    = 3   // a proposal without an end is begun anew
	requestInterval    = 2   // between two questions to be let in, or for a view
	bootstrapDelay     = 8   // without an answer
	mergeProbeInterval = 10  // between two looks for another fleet of this name
	quotaHold          = 3   // a lost member's part is left to it after the view without it
	departedTTL        = 600 // a member that is out is remembered for those who ask
)

// Envelope is a message for one address.
type Envelope struct {
	To      Member // its life may not be known
	Message *Message
}

// Core is one process's part. It is not safe for concurrent use.
type Core struct {
	options      Options
	now          time.Duration
	outgoing     []Envelope
	heartbeatSeq uint64
	startedAt    time.Duration

	view         *View  // nil: in none
	viewHash     uint64 // of the view
	previousView *View  // the one before it, where this process was in it
	viewSince    time.Duration
	observers    [][]int     // of the view
	subjects     []int       // by me
	links        []*peerLink // by place in the view; nil for me
	collectors   []int       // those who propose, first to last

	lastTick             time.Duration // the last tick
	lastHeartbeat        time.Duration // the last beat
	lastViewRequest      time.Duration // for a view, or to be let in
	lastMergeProbe       time.Duration // those who may be in a fleet of their own
	suspicionPausedUntil time.Duration // until then nobody is accused
	majorityGrantedAt    time.Duration // a majority was there, by a clerk's word
	collectorTurn        int           // that I ask, by turn
	collectorAnsweredAt  time.Duration // by it, or asked first
	majorityReached      bool          // a majority has been heard in this view since the last pause
	noMajoritySince      time.Duration // since when no majority is heard; zero: one is
	leaving              bool
	nameTaken            bool      // another process has the name
	wasMember            bool      // in a view
	latest               [2]uint64 // the newest view that is known: its lineage and number
	endedLineage         uint64    // a lineage that has ended: who has not found it out yet still tells its view

	joining, departing                   map[Member]time.Duration    // known of, and until when
	reports                              map[string]*suspicionReport // to a clerk, by observer
	changePendingSince                   time.Duration               // when a change was first due; zero: none is
	renewals                             map[string]time.Duration    // to a clerk, by member
	majorityCountedAt, majorityRenewedAt time.Duration               // when it was counted since when a majority has asked, and since when
	departed                             map[string]Departed         // by name
	unjoined                             map[string]time.Duration    // processes in no view, heard
	accepted                             acceptor
	proposal                             proposer
	reportedStates                       map[string]State // as raised last
	changes                              []Change
}

// suspicionReport is what an observer has told a clerk last.
type suspicionReport struct {
	at       time.Duration
	suspects map[Member]bool
}

// New returns a process that is in no view yet.
func New(o Options) *Core {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 500 * time.Millisecond
	}
	return &Core{options: o, joining: map[Member]time.Duration{}, departing: map[Member]time.Duration{}, reports: map[string]*suspicionReport{},
		renewals: map[string]time.Duration{}, departed: map[string]Departed{}, unjoined: map[string]time.Duration{}, reportedStates: map[string]State{}}
}

// largeFleetAllowance is how much longer all takes in a large fleet, where each beats half as often so that what a member says stays
// bounded.
func (c *Core) largeFleetAllowance() time.Duration {
	if len(c.view.Members) > fullMeshMembers {
		return c.options.HeartbeatInterval
	}
	return 0
}

// reachableWindow is for how long a word makes its sender heard.
func (c *Core) reachableWindow() time.Duration {
	return c.heartbeats(reachableFor) + c.largeFleetAllowance()
}

func (c *Core) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(c.options.HeartbeatInterval))
}

// TickInterval is how often the host calls Tick.
func (c *Core) TickInterval() time.Duration { return c.options.HeartbeatInterval / ticksPerHeartbeat }

// Ready returns what is to be sent and what has changed, and forgets both.
func (c *Core) Ready() (out []Envelope, changes []Change) {
	out, changes = c.outgoing, c.changes
	c.outgoing, c.changes = nil, nil
	return out, changes
}

// View returns the view in force; nil: this process is in none. It must not be changed.
func (c *Core) View() *View { return c.view }

// HasQuorum tells whether a majority of the view has been heard lately, in that view.
func (c *Core) HasQuorum() bool { return c.view != nil && c.majorityReached && c.noMajoritySince == 0 }

// Quota returns how many members the whole is shared by, and this one's place among them, from 0. What one takes for its
// part must not grow while another may still take its part too: after a view that has fewer members the earlier count
// holds on for so long that one who was cut off knows it. Safe tells that this process is to take as good as nothing: it
// is in no view, or isolated, and the others may have taken its part over.
func (c *Core) Quota(now time.Duration) (members, place int, safe bool) {
	if c.view == nil || c.IsIsolated() || !c.majorityReached {
		return 0, 0, true
	}
	v := c.view
	if c.previousView != nil && now-c.viewSince < c.heartbeats(quotaHold) && len(c.previousView.Members) > len(v.Members) {
		v = c.previousView
	}
	return len(v.Members), v.Index(c.options.Self.Name), false
}

// IsReachable tells whether a member has been heard lately. Of one that it is not for this process to observe it is not known,
// and taken to be so.
func (c *Core) IsReachable(name string) bool {
	if c.view == nil {
		return false
	}
	i := c.view.Index(name)
	return i >= 0 && (c.links[i] == nil || !c.observes(i) || c.now-c.links[i].lastMessage < c.reachableWindow())
}

// IsNameTaken tells that another process has this one's name: this one is to end.
func (c *Core) IsNameTaken() bool { return c.nameTaken }

// Leave says that this process goes.
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

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	if c.startedAt == 0 {
		c.startedAt, c.lastTick = now, now
	}
	c.now = now
	c.absorbDelay()
	c.lastTick = now
	if c.view == nil {
		c.requestJoin()
		return
	}
	c.updateQuorum()
	beat := now-c.lastHeartbeat >= c.options.HeartbeatInterval+c.largeFleetAllowance()
	if beat {
		c.lastHeartbeat = now
		c.sendHeartbeats()
		c.sendReport()
	}
	c.renewGrant(beat)
	if now-c.lastMergeProbe >= c.heartbeats(mergeProbeInterval) {
		c.lastMergeProbe = now
		c.probeForOtherFleets()
	}
	c.probeSubjects()
	c.proposeDueChange()
	c.retryProposal()
	if beat || len(c.view.Members) <= fullMeshMembers { // it looks at all of them
		c.reportStates()
	}
}

// absorbDelay bears that this process was paused, or had no core: what it did not hear meanwhile says nothing of others.
func (c *Core) absorbDelay() {
	late := c.now - c.lastTick - c.TickInterval()
	if late < c.TickInterval()*2 {
		return
	}
	for _, l := range c.links {
		if l != nil {
			l.shift(late)
		}
	}
	if late < c.options.HeartbeatInterval*2 {
		return
	}
	// A pause: others may have gone on without it.
	c.suspicionPausedUntil = c.now + c.heartbeats(pauseGrace)
	c.majorityReached, c.majorityGrantedAt = false, 0
	clear(c.reports)
	c.proposal = proposer{}
	if c.view != nil {
		c.requestView()
	}
}

// requestView asks some members which view holds.
func (c *Core) requestView() {
	if c.now-c.lastViewRequest < c.heartbeats(requestInterval)/2 && c.lastViewRequest > 0 {
		return
	}
	c.lastViewRequest = c.now
	n := len(c.view.Members)
	for range min(n-1, 3) {
		if i := c.options.Rand.IntN(n); c.view.Members[i] != c.options.Self {
			c.send(c.view.Members[i], &Message{Kind: ViewRequest})
		}
	}
}

// installView takes up a view.
func (c *Core) installView(v *View) {
	old := c.view
	c.view, c.previousView, c.viewSince, c.wasMember = v, old, c.now, true
	c.latest, c.viewHash = [2]uint64{v.Lineage, v.Number}, v.Hash()
	watchers, watched := v.observation()
	c.observers = watchers
	before := map[string]bool{} // whom I have observed until now: others have had no reason to say anything
	for _, i := range c.subjects {
		before[old.Members[i].Name] = true
	}
	lines := make([]*peerLink, len(v.Members))
	c.subjects = nil
	me := v.Index(c.options.Self.Name)
	if me >= 0 {
		c.subjects = watched[me]
	}
	for i, m := range v.Members {
		if i == me {
			continue
		}
		if old != nil {
			if j := old.Index(m.Name); j >= 0 && old.Members[j] == m {
				lines[i] = c.links[j]
				lines[i].unreachable, lines[i].suspectedSince = nil, 0
				lines[i].viewNumber = 0 // of this view it has confirmed nothing yet
				if !before[m.Name] {
					lines[i].reachableAt, lines[i].lastMessage, lines[i].heartbeatSeq = c.now, c.now, 0
				}
			}
		}
		if lines[i] == nil {
			lines[i] = &peerLink{reachableAt: c.now, lastMessage: c.now}
		}
	}
	if old != nil {
		for _, m := range old.Members {
			if !v.Contains(m) && v.Index(m.Name) < 0 {
				_, left := c.departing[m]
				c.departed[m.Name] = Departed{Member: m, At: c.now, Left: left, ViewNumber: v.Number}
			}
		}
	}
	for _, m := range v.Members {
		delete(c.departed, m.Name)
		delete(c.joining, m)
	}
	for m := range c.departing {
		if !v.Contains(m) {
			delete(c.departing, m)
		}
	}
	c.links = lines
	c.collectors = v.ringOrder(ringCount)
	clear(c.reports)
	clear(c.renewals)
	c.majorityCountedAt = 0
	c.changePendingSince, c.accepted, c.proposal = 0, acceptor{}, proposer{}
	c.majorityGrantedAt, c.collectorAnsweredAt, c.collectorTurn, c.noMajoritySince = c.now, c.now, 0, 0
	c.majorityReached = old == nil || c.majorityReached // one that was let in was so by a majority
	c.changes = append(c.changes, Change{View: v})
}

func (c *Core) send(to Member, m *Message) {
	m.From = c.options.Self
	if c.view != nil {
		m.Lineage, m.ViewNumber = c.view.Lineage, c.view.Number
	}
	c.outgoing = append(c.outgoing, Envelope{To: to, Message: m})
}

// Receive takes a message that Check has passed.
func (c *Core) Receive(now time.Duration, m *Message) {
	c.now = max(now, c.now)
	if m.From.Name == c.options.Self.Name && m.From.Incarnation == c.options.Self.Incarnation {
		return
	}
	if m.Kind == Join || m.Kind == NameTaken || c.view == nil {
		c.handleOutsideView(m)
		return
	}
	if m.Lineage != c.view.Lineage {
		c.handleOtherFleet(m)
		return
	}
	c.noteMessage(m)
	switch {
	case m.Kind == ViewResponse:
		c.handleView(m.View)
		return
	case m.ViewNumber > c.view.Number && m.Kind != Decided:
		c.handleProbe(m) // who is behind is there all the same
		c.requestView()
		return
	case m.ViewNumber < c.view.Number:
		if m.Kind == Heartbeat || m.Kind == ViewRequest || m.Kind == Report || m.Kind == Promise || m.Kind == Accepted {
			c.send(m.From, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()}) // it is behind
		}
		c.handleProbe(m)
		return
	}
	i := c.view.Index(m.From.Name)
	if i < 0 || c.view.Members[i].Incarnation != m.From.Incarnation {
		if m.Kind == Ping || m.Kind == ViewRequest || m.Kind == Heartbeat {
			c.send(m.From, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()})
		}
		return
	}
	switch m.Kind {
	case Heartbeat:
		c.handleHeartbeat(i, m)
	case Ping, Ack, IndirectAck, PingRequest:
		c.handleProbe(m)
	case Report:
		c.handleReport(m)
	case ViewRequest:
		c.send(m.From, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()})
	case GrantRequest:
		c.handleGrantRequest(m)
	case Grant:
		c.handleGrant(m)
	case Prepare:
		c.handlePrepare(m)
	case Promise:
		c.handlePromise(m)
	case Accept:
		c.handleAccept(m)
	case Accepted:
		c.handleAccepted(m)
	case Decided:
		c.handleDecided(m)
	}
}

// handleProbe takes questions and answers by which members find out who is there.
func (c *Core) handleProbe(m *Message) {
	switch m.Kind {
	case Ping:
		c.send(m.From, &Message{Kind: Ack, Seq: m.Seq, Target: m.Target})
	case Ack:
		c.handleAck(m)
	case IndirectAck:
		c.handleIndirectAck(m)
	case PingRequest:
		if j := c.view.Index(m.Target.Name); j >= 0 && c.view.Members[j] == m.Target && c.links[j] != nil {
			c.send(m.Target, &Message{Kind: Ping, Seq: m.Seq, Target: m.From})
		}
	}
}
