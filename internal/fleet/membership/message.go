package membership

import (
	"errors"
	"fmt"
)

// Kind is the kind of a message. The numbers are part of the protocol.
type Kind uint8

// The kinds of messages.
const (
	Heartbeat    Kind = iota // the sender is alive in its view; lists the members that it receives no messages from
	Ping                     // requests an Ack
	Ack                      // answers a Ping
	PingRequest              // requests a Ping of a third member
	IndirectAck              // relays the Ack of a third member
	Report                   // the members that the sender suspects, and the joins and departures that it knows of
	Join                     // requests admission to the fleet
	NameTaken                // rejects a Join, as a member has the same name
	ViewRequest              // requests the view in force
	ViewResponse             // carries a whole view
	Prepare                  // Paxos phase 1a for the next view
	Promise                  // Paxos phase 1b
	Accept                   // Paxos phase 2a
	Accepted                 // Paxos phase 2b
	Decided                  // announces that the next view was decided
	GrantRequest             // asks a collector of a large fleet whether a majority is alive
	Grant                    // answers a GrantRequest
	kindCount
)

func (k Kind) String() string {
	return [...]string{"beat", "ping", "ack", "ping for", "heard", "report", "join", "taken", "fetch", "full", "prepare", "promise", "accept", "accepted",
		"decided", "renew", "grant"}[k]
}

// Ballot is the number of a proposal. Proposals of one round are ordered by the names of their proposers.
type Ballot struct {
	Round uint32
	Name  string
}

// Less reports whether b is lower than the other ballot.
func (b Ballot) Less(other Ballot) bool {
	return b.Round < other.Round || b.Round == other.Round && b.Name < other.Name
}

// Message is a message between two members. The kind determines which fields are used. Messages are encoded as arrays in the
// order of the fields, which must not change.
type Message struct {
	Kind       Kind
	From       Member // the sender
	Lineage    uint64 // of the sender's view; zero if it is in no view
	ViewNumber uint64
	ViewHash   uint64 // Heartbeat: of the sender's view; Decided: of the next view
	Seq        uint64 // sequence number of a heartbeat, or of a ping and its answers; Grant: its age (see grantAge) in microseconds

	Isolated    bool              // Heartbeat: the sender is isolated
	Leaving     bool              // Heartbeat: the sender is leaving
	Unreachable []uint16          // Heartbeat: members that the sender receives nothing from, by index in the view
	Rows        []ReachabilityRow // Heartbeat in a small fleet: the latest rows of the other members, by index in the view
	Target      Member            // PingRequest: to be pinged; IndirectAck: has answered; Ping, Ack: sender of the PingRequest, if any
	Suspects    []Member          // Report
	Joining     []Member          // Report
	Departing   []Member          // Report
	Ballot      Ballot
	PriorBallot Ballot // Promise, Accept: the ballot under which Delta was accepted before; zero if it was not
	Delta       *Delta // Promise, Accept: the value of the proposal; Decided: the change that was decided
	Affirmed    bool   // Promise, Accepted: the sender agrees; Grant: a majority is alive; ViewResponse: the sender has a quorum
	View        *View  // ViewResponse
}

// ReachabilityRow holds the members that one member receives no messages from, as a bit mask by index in the view, and the
// sequence number of the heartbeat that reported them.
type ReachabilityRow struct {
	Seq         uint64
	Unreachable uint16
}

// Limits on the contents of a message.
const (
	maxNameBytes     = 256 // bytes of a name or an address
	maxUnreachable   = 24  // unreachable members in a heartbeat
	maxReportMembers = 64  // members in each list of a report
	// MaxMembers is the largest number of members in a view.
	MaxMembers = 10000
)

// Check returns an error for a malformed message: of an unknown kind, with a list over its limit, with an invalid member, or
// without a part that its kind requires.
func (m *Message) Check() error {
	if m.Kind >= kindCount {
		return fmt.Errorf("membership: unknown message kind %d", m.Kind)
	}
	if err := m.checkCounts(); err != nil {
		return err
	}
	if err := m.checkMembers(); err != nil {
		return err
	}
	if m.needsDelta() && m.Delta == nil || m.Kind == ViewResponse && m.View == nil {
		return fmt.Errorf("membership: %v message without the delta or view that it requires", m.Kind)
	}
	return nil
}

func (m *Message) checkCounts() error {
	for _, list := range [][]Member{m.Suspects, m.Joining, m.Departing} {
		if len(list) > maxReportMembers {
			return fmt.Errorf("membership: %v message lists too many members (%d)", m.Kind, len(list))
		}
	}
	if len(m.Rows) > fullMeshMembers {
		return fmt.Errorf("membership: %v message has too many reachability rows (%d)", m.Kind, len(m.Rows))
	}
	if len(m.Unreachable) > maxUnreachable {
		return fmt.Errorf("membership: %v message lists too many unreachable members (%d)", m.Kind, len(m.Unreachable))
	}
	return nil
}

func (m *Message) checkMembers() error {
	lists := [][]Member{{m.From}, m.Suspects, m.Joining, m.Departing}
	if m.Delta != nil {
		lists = append(lists, m.Delta.Add, m.Delta.Remove)
	}
	if m.View != nil {
		lists = append(lists, m.View.Members)
		if !m.View.isSorted() {
			return errors.New("membership: members of a view are not in strictly ascending order of names")
		}
	}
	for _, list := range lists {
		if len(list) > MaxMembers {
			return fmt.Errorf("membership: %v message lists too many members (%d)", m.Kind, len(list))
		}
		for _, member := range list {
			if member.Name == "" || !member.hasValidLength() {
				return fmt.Errorf("membership: %v message with an empty member name, or a name or address that is too long", m.Kind)
			}
		}
	}
	if !m.Target.hasValidLength() {
		return fmt.Errorf("membership: %v message with a target name or address that is too long", m.Kind)
	}
	return nil
}

// needsDelta reports whether a message of this kind is invalid without Delta.
func (m *Message) needsDelta() bool {
	switch m.Kind {
	case Accept, Decided:
		return true
	case Promise:
		return m.Affirmed && m.PriorBallot != Ballot{}
	}
	return false
}

func (m Member) hasValidLength() bool {
	return len(m.Name) <= maxNameBytes && len(m.Address) <= maxNameBytes
}
