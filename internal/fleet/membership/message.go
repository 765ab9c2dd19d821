package membership

import (
	"errors"
	"fmt"
)

// Kind is the kind of a message. The numbers are part of the protocol.
type Kind uint8

// The kinds of messages.
const (
	Heartbeat    Kind = iota // the sender is alive, in this view, and does not reach these members
	Ping                     // to be answered at once
	Ack                      // answers a Ping
	PingRequest              // asks for a ping of another member
	IndirectAck              // relays the Ack of another member
	Report                   // an observer's suspicions, and the joins and departures that it knows of
	Join                     // asks to be admitted
	NameTaken                // rejects a Join, as another process has the name
	ViewRequest              // asks for the view in force
	ViewResponse             // holds a view
	Prepare                  // Paxos phase 1a for the next view
	Promise                  // Paxos phase 1b
	Accept                   // Paxos phase 2a
	Accepted                 // Paxos phase 2b
	Decided                  // announces the next view
	GrantRequest             // a member of a large fleet asks a collector whether a majority is alive
	Grant                    // answers a GrantRequest
	kindCount
)

func (k Kind) String() string {
	return [...]string{"beat", "ping", "ack", "ping for", "heard", "report", "join", "taken", "fetch", "full", "prepare", "promise", "accept", "accepted",
		"decided", "renew", "grant"}[k]
}

// Ballot orders proposals.
type Ballot struct {
	Round uint32
	Name  string
}

// Less reports whether a ballot is lower than another one.
func (b Ballot) Less(than Ballot) bool {
	return b.Round < than.Round || b.Round == than.Round && b.Name < than.Name
}

// Message is a message between two members. The kind determines which fields are used. Messages are encoded as arrays in the
// order of the fields, which must not change.
type Message struct {
	Kind       Kind
	From       Member // the sender as it knows itself
	Lineage    uint64 // of the sender's view; zero: it is in none
	ViewNumber uint64
	ViewHash   uint64
	Seq        uint64 // of a heartbeat; of a ping and its answers; Grant: microseconds since a majority had asked

	Isolated    bool              // Heartbeat: the sender is isolated
	Leaving     bool              // Heartbeat: the sender is leaving
	Unreachable []uint16          // Heartbeat: members that the sender does not reach, by index in the view, up to a bound
	Rows        []ReachabilityRow // Heartbeat in a small fleet: the same of all other members, as received last
	Target      Member            // PingRequest, IndirectAck: whom; Ping and Ack: for whom, unless for the sender
	Suspects    []Member          // Report
	Joining     []Member          // Report
	Departing   []Member          // Report
	Ballot      Ballot
	PriorBallot Ballot // Promise, Accept: the ballot of a value that was accepted before
	Delta       *Delta
	Affirmed    bool  // Promise, Accepted: agreed; Grant, ViewResponse: a majority is alive
	View        *View // ViewResponse
}

// ReachabilityRow holds the members that one member does not reach, as bits by index in the view, and the sequence number of
// the heartbeat that said so.
type ReachabilityRow struct {
	Seq         uint64
	Unreachable uint16
}

// Bounds of a message's parts.
const (
	maxNameBytes     = 256 // of a name or an address
	maxUnreachable   = 24
	maxReportMembers = 64
	// MaxMembers is the largest number of members in a view.
	MaxMembers = 10000
)

// Check returns an error for a message that no member sends.
func (m *Message) Check() error {
	if m.Kind >= kindCount {
		return fmt.Errorf("membership: message of kind %d", m.Kind)
	}
	if err := m.checkCounts(); err != nil {
		return err
	}
	if err := m.checkMembers(); err != nil {
		return err
	}
	if m.needsDelta() && m.Delta == nil || m.Kind == ViewResponse && m.View == nil {
		return fmt.Errorf("membership: %v says nothing", m.Kind)
	}
	return nil
}

func (m *Message) checkCounts() error {
	for _, list := range [][]Member{m.Suspects, m.Joining, m.Departing} {
		if len(list) > maxReportMembers {
			return fmt.Errorf("membership: %v names %d members", m.Kind, len(list))
		}
	}
	if len(m.Rows) > fullMeshMembers {
		return fmt.Errorf("membership: %v has %d rows", m.Kind, len(m.Rows))
	}
	if len(m.Unreachable) > maxUnreachable {
		return fmt.Errorf("membership: %v names %d unreachable members", m.Kind, len(m.Unreachable))
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
			return errors.New("membership: a view that is not in order")
		}
	}
	for _, list := range lists {
		if len(list) > MaxMembers {
			return fmt.Errorf("membership: %v names %d members", m.Kind, len(list))
		}
		for _, member := range list {
			if member.Name == "" || !member.hasValidLength() {
				return fmt.Errorf("membership: %v with an invalid member name or address", m.Kind)
			}
		}
	}
	if !m.Target.hasValidLength() {
		return fmt.Errorf("membership: %v with an invalid target name or address", m.Kind)
	}
	return nil
}

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
