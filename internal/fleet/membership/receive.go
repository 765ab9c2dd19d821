package membership

import "time"

// Receive handles a message that has passed Check. Messages from this process itself are ignored.
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
	c.recordMessage(m)
	switch {
	case m.Kind == ViewResponse:
		c.handleView(m.View)
	case m.ViewNumber > c.view.Number && m.Kind != Decided:
		c.handleProbe(m) // probes are answered whatever the sender's view is
		c.requestView()
	case m.ViewNumber < c.view.Number:
		c.handleOlderView(m)
	case !c.isCurrentMember(m.From):
		if m.Kind == Ping || m.Kind == ViewRequest || m.Kind == Heartbeat {
			c.sendView(m.From)
		}
	default:
		c.handleCurrentView(m)
	}
}

// handleOlderView handles a message from a process whose view is older than the view in force here, and sends it that view.
func (c *Core) handleOlderView(m *Message) {
	switch m.Kind {
	case Heartbeat, ViewRequest, Report, Promise, Accepted:
		c.sendView(m.From)
	}
	c.handleProbe(m)
}

// handleCurrentView handles a message that a member has sent in the view in force.
func (c *Core) handleCurrentView(m *Message) {
	switch m.Kind {
	case Heartbeat:
		c.handleHeartbeat(c.view.Index(m.From.Name), m)
	case Ping, Ack, IndirectAck, PingRequest:
		c.handleProbe(m)
	case Report:
		c.handleReport(m)
	case ViewRequest:
		c.sendView(m.From)
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

// isCurrentMember reports whether exactly this process, by name and incarnation, is in the view in force.
func (c *Core) isCurrentMember(m Member) bool { return c.view.Contains(m) }

// sendView sends the whole view in force.
func (c *Core) sendView(to Member) {
	c.send(to, &Message{Kind: ViewResponse, View: c.view, Affirmed: c.HasQuorum()})
}

// requestView requests the view in force from up to maxViewRequests random members, at most once per half a requestInterval.
func (c *Core) requestView() {
	if c.now-c.lastViewRequest < c.heartbeats(requestInterval)/2 && c.lastViewRequest > 0 {
		return
	}
	c.lastViewRequest = c.now
	n := len(c.view.Members)
	for range min(n-1, maxViewRequests) {
		if i := c.options.Rand.IntN(n); c.view.Members[i] != c.options.Self {
			c.send(c.view.Members[i], &Message{Kind: ViewRequest})
		}
	}
}

// maxViewRequests is the largest number of members that requestView asks at once.
const maxViewRequests = 3
