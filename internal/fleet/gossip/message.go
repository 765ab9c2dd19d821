package gossip

import (
	"errors"

	"silvertrail/internal/fleet/version"
)

// The messages are encoded as arrays in the order of their fields, which must not change.

// Digest identifies a member's state.
type Digest struct {
	Name            string
	Incarnation     uint64
	Generation, Seq uint64
	AgeMilliseconds uint32 // time since the member itself last confirmed the state
}

// Request asks for a member's state. It names the state that the requesting member knows; zeros mean none.
type Request struct {
	Name                  string
	Incarnation, KnownSeq uint64
}

// Update holds the changes of a member's state since an earlier state of the same process.
type Update struct {
	Name            string
	Incarnation     uint64
	Generation, Seq uint64
	BaseSeq         uint64 // sequence number of the earlier state; zero: the update holds the complete state
	Changed         version.Vector
	ChangedAt       []uint64
	Tombstones      []Tombstone
	CompactedSeq    uint64
	AppliedAt       int64
	VectorHash      version.Hash // hash of the whole vector after the update
}

// Tombstone records that an entry was deleted.
type Tombstone struct {
	Kind      version.Kind
	Name      string
	DeletedAt uint64 // sequence number
}

// Message is a message between two members.
type Message struct {
	Digests  []Digest
	Requests []Request
	Updates  []Update
}

// addUpdate adds an update if the limits of a response allow it.
func (m *Message) addUpdate(u Update) {
	bytes := 0
	for _, added := range m.Updates {
		bytes += added.approximateBytes()
	}
	if len(m.Updates) < maxUpdates && bytes < maxResponseBytes {
		m.Updates = append(m.Updates, u)
	}
}

// addRequest adds a request if the message has fewer than maxRequests.
func (m *Message) addRequest(name string, incarnation, knownSeq uint64) {
	if len(m.Requests) < maxRequests {
		m.Requests = append(m.Requests, Request{Name: name, Incarnation: incarnation, KnownSeq: knownSeq})
	}
}

// Check returns an error for a message that no correct member sends.
func (m *Message) Check() error {
	if len(m.Digests) > maxDigests || len(m.Requests) > maxRequests || len(m.Updates) > maxUpdates {
		return errors.New("gossip: message has too many digests, requests or updates")
	}
	for _, d := range m.Digests {
		if !isValidName(d.Name) {
			return errors.New("gossip: digest has an empty or too long member name")
		}
	}
	for _, r := range m.Requests {
		if !isValidName(r.Name) {
			return errors.New("gossip: request has an empty or too long member name")
		}
	}
	for _, u := range m.Updates {
		if err := u.check(); err != nil {
			return err
		}
	}
	return nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func (u *Update) check() error {
	switch {
	case !isValidName(u.Name):
		return errors.New("gossip: update has an empty or too long member name")
	case u.Seq == 0 || u.BaseSeq >= u.Seq || u.Generation > maxGeneration:
		return errors.New("gossip: update has invalid sequence numbers or an invalid generation")
	case len(u.ChangedAt) != len(u.Changed) || len(u.Tombstones) > maxTombstones:
		return errors.New("gossip: update has too many tombstones, or not one sequence number for each changed entry")
	}
	for _, at := range u.ChangedAt {
		if at > u.Seq || at <= u.BaseSeq {
			return errors.New("gossip: update has a change outside its range of sequence numbers")
		}
	}
	for _, t := range u.Tombstones {
		if len(t.Name) > maxNameBytes || t.DeletedAt > u.Seq {
			return errors.New("gossip: update has an invalid tombstone")
		}
	}
	return u.Changed.Check()
}

// Approximate encoded sizes in bytes.
const (
	updateBytes    = 96
	entryBytes     = 40
	ancestorBytes  = 28
	tombstoneBytes = 24
)

// approximateBytes returns the approximate encoded size of the update.
func (u *Update) approximateBytes() int {
	n := updateBytes + len(u.Name)
	for _, e := range u.Changed {
		n += entryBytes + len(e.Name) + len(e.Description) + ancestorBytes*len(e.Ancestors)
	}
	return n + tombstoneBytes*len(u.Tombstones)
}
