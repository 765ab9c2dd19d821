package membership

import "time"

// Each view is one decision by the members of the view before it (single-decree Paxos: Lamport, "Paxos Made Simple", 2001),
// so that two views of one number never differ. A member keeps its promises in memory only. A process that is restarted has
// another incarnation, so it is not a member of the earlier view and takes no part in the decision.

// acceptor is what this member has promised and accepted for the next view.
type acceptor struct {
	promised       Ballot
	acceptedBallot Ballot
	acceptedValue  *Delta
}

// proposer is the state of this member's own proposal.
type proposer struct {
	ballot      Ballot
	startedAt   time.Duration
	value       *Delta
	priorBallot Ballot          // the highest ballot under which a member had accepted a value before
	promises    map[string]bool // by the names of the members that promised
	accepts     map[string]bool // by the names of the members that accepted
	decided     bool
}

// inProgress reports whether a proposal is undecided and was started less than proposalTimeout ago.
func (p *proposer) inProgress(c *Core) bool {
	return p.promises != nil && !p.decided && c.now-p.startedAt < c.heartbeats(proposalTimeout)
}

// startProposal proposes a change, in a round above all that this process knows.
func (c *Core) startProposal(delta *Delta) {
	round := max(c.accepted.promised.Round, c.proposal.ballot.Round) + 1
	c.proposal = proposer{
		ballot:    Ballot{Round: round, Name: c.options.Self.Name},
		startedAt: c.now,
		value:     delta,
		promises:  map[string]bool{},
		accepts:   map[string]bool{},
	}
	c.broadcast(Message{Kind: Prepare, Ballot: c.proposal.ballot})
}

// retryProposal proposes the change that is due now, if the last proposal was not decided within proposalTimeout.
func (c *Core) retryProposal() {
	p := &c.proposal
	if p.promises == nil || p.decided || p.inProgress(c) {
		return
	}
	if delta, _ := c.dueChange(); !delta.isEmpty() && !c.isSuspicionPaused() {
		c.startProposal(delta)
		return
	}
	c.proposal = proposer{ballot: p.ballot}
}

// broadcast sends a message to every member, this process included. It stops once this process has left the view.
func (c *Core) broadcast(m Message) {
	for i, member := range c.view.Members {
		message := m
		if !c.isSelf(i) {
			c.send(member, &message)
			continue
		}
		message.From = c.options.Self
		message.Lineage, message.ViewNumber = c.view.Lineage, c.view.Number
		switch message.Kind {
		case Prepare:
			c.handlePrepare(&message)
		case Accept:
			c.handleAccept(&message)
		}
		if c.view == nil || len(c.links) != len(c.view.Members) || i >= len(c.view.Members) {
			return // the change was decided, and the view is no longer in force
		}
	}
}

// reply sends an answer to the proposer of a request, which may be this process.
func (c *Core) reply(request, answer *Message) {
	if request.From != c.options.Self {
		c.send(request.From, answer)
		return
	}
	answer.From = c.options.Self
	answer.Lineage, answer.ViewNumber = c.view.Lineage, c.view.Number
	if answer.Kind == Promise {
		c.handlePromise(answer)
	} else {
		c.handleAccepted(answer)
	}
}

// handlePrepare is phase 1b. The member promises to accept no lower ballot, unless it has promised a higher one.
func (c *Core) handlePrepare(m *Message) {
	answer := Message{Kind: Promise, Ballot: m.Ballot}
	if !m.Ballot.Less(c.accepted.promised) {
		c.accepted.promised = m.Ballot
		answer.Affirmed = true
		answer.PriorBallot, answer.Delta = c.accepted.acceptedBallot, c.accepted.acceptedValue
	}
	c.reply(m, &answer)
}

// handlePromise is phase 2a. With a majority of promises, this process proposes the value that was accepted under the highest
// ballot, or its own if there is none.
func (c *Core) handlePromise(m *Message) {
	p := &c.proposal
	if !p.inProgress(c) || m.Ballot != p.ballot || !m.Affirmed || len(p.accepts) > 0 || p.promises[m.From.Name] {
		return
	}
	if m.Delta != nil && p.priorBallot.Less(m.PriorBallot) {
		p.value, p.priorBallot = m.Delta, m.PriorBallot
	}
	p.promises[m.From.Name] = true
	if len(p.promises) == c.view.Majority() {
		c.broadcast(Message{Kind: Accept, Ballot: p.ballot, PriorBallot: p.priorBallot, Delta: p.value})
	}
}

// handleAccept is phase 2b. A member rejects a proposer's own change if it removes a member that this process can reach, so that
// a majority must be unable to reach a member for its removal. A value that another member has accepted before may have been
// decided already, so this check does not apply to it.
func (c *Core) handleAccept(m *Message) {
	answer := Message{Kind: Accepted, Ballot: m.Ballot}
	if c.canAccept(m) {
		c.accepted = acceptor{promised: m.Ballot, acceptedBallot: m.Ballot, acceptedValue: m.Delta}
		answer.Affirmed = true
	}
	c.reply(m, &answer)
}

// canAccept reports whether this process accepts the value of an Accept message.
func (c *Core) canAccept(m *Message) bool {
	if _, err := c.view.Apply(m.Delta); err != nil {
		return false
	}
	if m.Ballot.Less(c.accepted.promised) {
		return false
	}
	return m.PriorBallot != Ballot{} || c.canAgreeTo(m.Delta)
}

// canAgreeTo reports whether this process agrees to the removals of a change. It does not agree if it has lately reached a removed
// member, directly or through others, that is not leaving, does not report isolation and is not replaced. It agrees to its own
// removal only while it is leaving or isolated.
func (c *Core) canAgreeTo(delta *Delta) bool {
	for _, member := range delta.Remove {
		if member == c.options.Self {
			if !c.leaving && !c.IsIsolated() {
				return false
			}
			continue
		}
		i := c.view.Index(member.Name)
		_, leaves := c.departing[member]
		link := c.links[i]
		if leaves || link.leaving || link.isolatedSince > 0 || delta.replaces(member) {
			continue
		}
		if c.observes(i) && c.now-link.reachableAt < c.reachableWindow() {
			return false
		}
	}
	return true
}

// handleAccepted installs and announces the next view once a majority has accepted the value.
func (c *Core) handleAccepted(m *Message) {
	p := &c.proposal
	if p.promises == nil || p.decided || m.Ballot != p.ballot || !m.Affirmed {
		return
	}
	p.accepts[m.From.Name] = true
	if len(p.accepts) < c.view.Majority() {
		return
	}
	p.decided = true
	delta := p.value
	next, err := c.view.Apply(delta)
	if err != nil {
		return
	}
	for _, member := range c.view.Members {
		if member != c.options.Self {
			c.send(member, &Message{Kind: Decided, ViewHash: next.Hash(), Delta: delta})
		}
	}
	c.advanceTo(next)
	for _, member := range delta.Add {
		c.send(member, &Message{Kind: ViewResponse, View: next})
	}
}

// handleDecided installs the next view. It requests the view in force if this process lacks the view before it, or if the change
// does not lead to the announced view.
func (c *Core) handleDecided(m *Message) {
	if m.ViewNumber > c.view.Number {
		c.requestView()
	}
	if m.ViewNumber != c.view.Number {
		return
	}
	next, err := c.view.Apply(m.Delta)
	if err != nil || next.Hash() != m.ViewHash {
		c.requestView()
		return
	}
	c.advanceTo(next)
}

// The reasons why a process left its view.
const (
	reasonRemoved    = "removed by the other members, which received no messages from it"
	reasonLeft       = "left"
	reasonRestarted  = "most members of the fleet have been restarted"
	reasonOtherFleet = "another fleet of this name is larger, or has a quorum"
)

// advanceTo installs a view that was decided, or leaves the fleet if this process is not a member of that view.
func (c *Core) advanceTo(next *View) {
	if next.Contains(c.options.Self) {
		c.installView(next)
		return
	}
	reason := reasonRemoved
	if c.leaving {
		reason = reasonLeft
	}
	c.latestView = viewID{next.Lineage, next.Number}
	c.leaveView(reason)
}
