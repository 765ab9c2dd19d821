package membership

import (
	"time"
)

// The next view is one decision of the members of the view before it (single-decree Paxos: Lamport, "Paxos Made Simple",
// 2001), so that two views of one number never differ. What a member has promised it keeps in memory alone: a process that
// is started again has another life, is no member of that view, and is not asked.

// acceptor is what this member has promised for the next view.
type acceptor struct {
	promised       Ballot
	acceptedBallot Ballot // of the value
	acceptedValue  *Delta
}

// proposer is this member's own try.
type proposer struct {
	ballot      Ballot
	startedAt   time.Duration
	value       *Delta
	priorBallot Ballot // of the value, if it is one that somebody has accepted
	promises    map[string]bool
	accepts     map[string]bool
	decided     bool
}

// inProgress tells that a try is under way. One that nobody answers ends by time.
func (p *proposer) inProgress(c *Core) bool {
	return p.promises != nil && !p.decided && c.now-p.startedAt < c.heartbeats(proposalTimeout)
}

// broadcast sends a message to every member, me included.
func (c *Core) broadcast(m Message) {
	for i, x := range c.view.Members {
		one := m
		if c.links[i] != nil {
			c.send(x, &one)
			continue
		}
		one.From, one.Lineage, one.ViewNumber = c.options.Self, c.view.Lineage, c.view.Number
		switch one.Kind {
		case Prepare:
			c.handlePrepare(&one)
		case Accept:
			c.handleAccept(&one)
		}
		if c.view == nil || len(c.links) != len(c.view.Members) || i >= len(c.view.Members) {
			return // decided
		}
	}
}

// startProposal proposes a change.
func (c *Core) startProposal(d *Delta) {
	round := max(c.accepted.promised.Round, c.proposal.ballot.Round) + 1
	c.proposal = proposer{ballot: Ballot{Round: round, Name: c.options.Self.Name}, startedAt: c.now, value: d, promises: map[string]bool{}, accepts: map[string]bool{}}
	c.broadcast(Message{Kind: Prepare, Ballot: c.proposal.ballot})
}

// reply gives an reply to a proposer, which may be me.
func (c *Core) reply(m *Message, a *Message) {
	if m.From != c.options.Self {
		c.send(m.From, a)
		return
	}
	a.From, a.Lineage, a.ViewNumber = c.options.Self, c.view.Lineage, c.view.Number
	if a.Kind == Promise {
		c.handlePromise(a)
	} else {
		c.handleAccepted(a)
	}
}

func (c *Core) handlePrepare(m *Message) {
	a := Message{Kind: Promise, Ballot: m.Ballot}
	if !m.Ballot.Less(c.accepted.promised) {
		c.accepted.promised = m.Ballot
		a.Affirmed, a.PriorBallot, a.Delta = true, c.accepted.acceptedBallot, c.accepted.acceptedValue
	}
	c.reply(m, &a)
}

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

// handleAccept agrees to a change, if nothing better has been promised. A change of the proposer's own is turned down by one
// who hears a member that it would take out: a majority must hear none of them. What somebody has accepted before may
// have been decided, and is not judged again.
func (c *Core) handleAccept(m *Message) {
	a := Message{Kind: Accepted, Ballot: m.Ballot}
	if _, err := c.view.Apply(m.Delta); err == nil && !m.Ballot.Less(c.accepted.promised) && (m.PriorBallot != Ballot{} || c.canAgreeTo(m.Delta)) {
		c.accepted = acceptor{promised: m.Ballot, acceptedBallot: m.Ballot, acceptedValue: m.Delta}
		a.Affirmed = true
	}
	c.reply(m, &a)
}

func (c *Core) canAgreeTo(d *Delta) bool {
	for _, r := range d.Remove {
		i := c.view.Index(r.Name)
		if r == c.options.Self {
			if !c.leaving && !c.IsIsolated() {
				return false
			}
			continue
		}
		_, left := c.departing[r]
		replaced := false
		for _, a := range d.Add {
			replaced = replaced || a.Name == r.Name && a.Address == r.Address
		}
		l := c.links[i]
		if c.observes(i) && !left && !replaced && !l.leaving && l.isolatedSince == 0 && c.now-l.reachableAt < c.reachableWindow() {
			return false
		}
	}
	return true
}

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
	d := p.value
	next, err := c.view.Apply(d)
	if err != nil {
		return
	}
	old := c.view
	for _, x := range old.Members {
		if x != c.options.Self {
			c.send(x, &Message{Kind: Decided, ViewHash: next.Hash(), Delta: d})
		}
	}
	c.advanceTo(next)
	for _, x := range d.Add {
		c.send(x, &Message{Kind: ViewResponse, View: next})
	}
}

func (c *Core) handleDecided(m *Message) {
	if m.ViewNumber != c.view.Number {
		if m.ViewNumber > c.view.Number {
			c.requestView()
		}
		return
	}
	next, err := c.view.Apply(m.Delta)
	if err != nil || next.Hash() != m.ViewHash {
		c.requestView()
		return
	}
	c.advanceTo(next)
}

func (c *Core) advanceTo(next *View) {
	if !next.Contains(c.options.Self) {
		why := "taken out while it was not heard"
		if c.leaving {
			why = "left"
		}
		c.latest = [2]uint64{next.Lineage, next.Number}
		c.leaveView(why)
		return
	}
	c.installView(next)
}

// retryProposal begins a proposal anew that came to nothing.
func (c *Core) retryProposal() {
	if p := &c.proposal; p.promises != nil && !p.decided && !p.inProgress(c) {
		if d, _ := c.dueChange(); len(d.Add)+len(d.Remove) > 0 && !c.isSuspicionPaused() {
			c.startProposal(d)
			return
		}
		c.proposal = proposer{ballot: p.ballot}
	}
}
