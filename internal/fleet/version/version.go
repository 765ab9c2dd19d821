// Package version identifies the versions of what an instance applies, and determines which of two is newer. It does no I/O and
// reads no clock.
//
// An Entry is the version of one thing: a hash of its content, a number where the fleet assigns one, and the versions that
// it replaced. Two entries are ordered by these alone. No time of day is used, and where neither entry holds the other one
// as an ancestor, the order stays unknown.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Kind is what an entry is the version of. The numbers are part of the protocol: none is reused for another kind, and unknown
// ones are passed on.
type Kind uint8

// The kinds.
const (
	Build         Kind = iota + 1 // of the program
	Local                         // the part of the configuration that each instance has for itself
	Configuration                 // the part that all instances share: numbered by the fleet
	Voters
	Keyring  // which keys, never the keys themselves
	View     // of the members: numbered by membership
	List     // the endpoints of a cluster, as merged from its sources
	Resource // an xDS resource
	Rejected // a configuration file that was rejected, until one is accepted
)

var kindNames = [...]string{"", "build", "own", "configuration", "voters", "keyring", "view", "list", "resource", "refused"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// IsShared reports whether all instances of a fleet are meant to have the same version.
func (k Kind) IsShared() bool { return k != Local && k != Build && k != Rejected }

// IsUrgent reports whether a change is announced at once. Lists change at all members together, and often.
func (k Kind) IsUrgent() bool { return k != List && k != Resource }

// IsTransient reports whether an entry may disappear without being replaced.
func (k Kind) IsTransient() bool { return k == List || k == Resource || k == Rejected }

// Hash identifies a content: it is the first half of a SHA-256.
type Hash [16]byte

// shortHashBytes is how many bytes of a hash are shown to people.
const shortHashBytes = 4

// HashOf returns the hash of a content.
func HashOf(content []byte) Hash {
	sum := sha256.Sum256(content)
	return Hash(sum[:len(Hash{})])
}

func (h Hash) String() string { return hex.EncodeToString(h[:shortHashBytes]) }

// MarshalText implements encoding.TextMarshaler: all of the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return errors.New("version: not a hash")
	}
	copy(h[:], decoded)
	return nil
}

// Ancestor is a version that an entry replaced.
type Ancestor struct {
	Number uint64 `json:"number,omitempty"`
	Hash   Hash   `json:"hash"`
}

const (
	// MaxAncestors is how many replaced versions an entry holds.
	MaxAncestors = 16
	// MaxEntries bounds a vector.
	MaxEntries   = 4096
	maxNameBytes = 256
)

// Entry is the version of one thing. It is encoded as an array in the order of its fields, which must not change.
type Entry struct {
	Kind        Kind       `json:"kind"`
	Name        string     `json:"name,omitempty"` // of a list: its cluster; of a resource: its type and name
	Hash        Hash       `json:"hash"`
	Number      uint64     `json:"number,omitempty"` // assigned by the fleet, or by membership; 0: none
	Ancestors   []Ancestor `json:"before,omitempty"` // the newest first
	Description string     `json:"text,omitempty"`   // for operators
}

// asAncestor returns the entry as the one that replaces it holds it.
func (e Entry) asAncestor() Ancestor { return Ancestor{Number: e.Number, Hash: e.Hash} }

// replacedBy returns the entry that replaces e, without a number.
func (e Entry) replacedBy(h Hash, description string) Entry {
	next := Entry{Kind: e.Kind, Name: e.Name, Hash: h, Description: description}
	for _, a := range append([]Ancestor{e.asAncestor()}, e.Ancestors...) {
		if a.Hash != h && len(next.Ancestors) < MaxAncestors && !next.hasAncestor(a.Hash) {
			next.Ancestors = append(next.Ancestors, a)
		}
	}
	return next
}

// hasAncestor reports whether the entry replaced a version, as far as it is remembered.
func (e Entry) hasAncestor(h Hash) bool {
	return slices.ContainsFunc(e.Ancestors, func(a Ancestor) bool { return a.Hash == h })
}

// Successor returns the entry that follows e where the fleet assigns no numbers. The same content keeps the entry, with a new
// description.
func (e Entry) Successor(h Hash, description string) Entry {
	if e.Hash == h {
		e.Description = description
		return e
	}
	return e.replacedBy(h, description)
}

// AssignNumber returns the entry of a content with its number in the fleet: the number that it has already, in force or
// replaced, or the one after the newest. Known are the entries of all members, this one's among them if it has one.
func AssignNumber(kind Kind, name string, h Hash, description string, known []Entry) Entry {
	var newest Entry
	for _, e := range known {
		if e.Kind != kind || e.Name != name || e.Number == 0 {
			continue
		}
		if e.Hash == h {
			e.Description = description
			return e
		}
		for i, a := range e.Ancestors {
			if a.Hash == h && a.Number > 0 {
				return Entry{Kind: kind, Name: name, Hash: h, Number: a.Number, Ancestors: slices.Clone(e.Ancestors[i+1:]), Description: description}
			}
		}
		// Of two with one number the smaller hash wins, so that all members which know both continue from the same one.
		if e.Number > newest.Number || e.Number == newest.Number && slices.Compare(e.Hash[:], newest.Hash[:]) < 0 {
			newest = e
		}
	}
	if newest.Number == 0 {
		return Entry{Kind: kind, Name: name, Hash: h, Number: 1, Description: description}
	}
	next := newest.replacedBy(h, description)
	next.Number = newest.Number + 1
	return next
}
