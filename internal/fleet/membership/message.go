package membership

import (
	"errors"
	"fmt"
)

// Kind is what a message says.
type Kind uint8

// The kindCount.
const (
	Heartbeat    Kind = iota // I am there, in this view, and don't hear these
	Ping                     // answer at once
	Ack                      // an answer to a ping
	PingRequest              // ping somebody for me
	IndirectAck              // somebody answered what I asked for you
	Report                   // an observer's accusations, joins and leaves that it knows of
	Join                     // I want in
	NameTaken                // your name is another process's
	ViewRequest              // tell me your view
	ViewResponse             // a view
	Prepare                  // a proposer's first question for the next view
	Promise                  // its answer
	Accept                   // a proposer's value for the next view
	Accepted                 // its answer
	Decided                  // the next view
	GrantRequest             // a member of a large fleet asks a clerk whether a majority is there
	Grant                    // it is
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

// Less is the order of ballots.
func (b Ballot) Less(than Ballot) bool {
	return b.Round < than.Round || b.Round == than.Round && b.Name < than.Name
}

// Message is one word of one member to another. Kind tells which fields count.
type Message struct {
	Kind       Kind
	From       Member // as it knows itself
	Lineage    uint64 // and the view that it is in; zero: none
	ViewNumber uint64
	ViewHash   uint64
	Seq        uint64 // counts beats, matches answers to pings; Grant: microseconds since a majority had asked

	Isolated    bool              // by its own account
	Leaving     bool              // Beat
	Unreachable []uint16          // Beat: places in its view of those whom it does not hear, the first of them
	Rows        []ReachabilityRow // Beat: the same of all others, as it has heard last, in a fleet of at most mesh members
	Target      Member            // PingFor, Heard: who; Ping and Ack: for whom, where not for the sender
	Suspects    []Member          // Report
	Joining     []Member
	Departing   []Member
	Ballot      Ballot
	PriorBallot Ballot // Promise: of the value that was accepted before
	Delta       *Delta
	Affirmed    bool  // Promise, Accepted; Grant, Full: a majority is there
	View        *View // Full
}

// ReachabilityRow is whom a member does not hear, as bits by places in the view, and the number of the beat that said so.
type ReachabilityRow struct {
	Seq         uint64
	Unreachable uint16
}

// Bounds of a message's parts.
const (
	maxNameBytes     = 256
	maxUnreachable   = 24
	maxReportMembers = 64 // members in a report
	MaxMembers       = 10000
)

// Check tells what is wrong with a message, whoever it comes from.
func (m *Message) Check() error {
	if m.Kind >= kindCount {
		return fmt.Errorf("membership: message of kind %d", m.Kind)
	}
	members := [][]Member{{m.From}, m.Suspects, m.Joining, m.Departing}
	for _, l := range members[1:] {
		if len(l) > maxReportMembers {
			return fmt.Errorf("membership: %v names %d members", m.Kind, len(l))
		}
	}
	if len(m.Rows) > fullMeshMembers {
		return fmt.Errorf("membership: %v has %d rows", m.Kind, len(m.Rows))
	}
	if len(m.Unreachable) > maxUnreachable {
		return fmt.Errorf("membership: %v names %d that are not heard", m.Kind, len(m.Unreachable))
	}
	if m.Delta != nil {
		members = append(members, m.Delta.Add, m.Delta.Remove)
	}
	if m.View != nil {
		members = append(members, m.View.Members)
		for i := 1; i < len(m.View.Members); i++ {
			if m.View.Members[i-1].Name >= m.View.Members[i].Name {
				return errors.New("membership: a view that is not in order")
			}
		}
	}
	for _, l := range members {
		if len(l) > MaxMembers {
			return fmt.Errorf("membership: %v names %d members", m.Kind, len(l))
		}
		for _, x := range l {
			if x.Name == "" || len(x.Name) > maxNameBytes || len(x.Address) > maxNameBytes {
				return fmt.Errorf("membership: %v of no member's name or address", m.Kind)
			}
		}
	}
	if len(m.Target.Name) > maxNameBytes || len(m.Target.Address) > maxNameBytes {
		return fmt.Errorf("membership: %v for no member's name or address", m.Kind)
	}
	needsDelta := m.Kind == Accept || m.Kind == Decided || m.Kind == Promise && m.Affirmed && m.PriorBallot != (Ballot{})
	if needsDelta && m.Delta == nil || m.Kind == ViewResponse && m.View == nil {
		return fmt.Errorf("membership: %v says nothing", m.Kind)
	}
	return nil
}
