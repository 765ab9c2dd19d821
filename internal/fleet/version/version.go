// Package version identifies the versions that an instance applies, for example of its configuration and its endpoint lists. It
// determines which of two versions is newer. It does no I/O and reads no clock.
//
// An Entry identifies one version by a hash of the content, a number if the fleet assigns one, and the versions that it
// replaced, which are its ancestors. Entries are ordered by these alone, without the time of day. If two entries without
// numbers are not ancestors of each other, their order is unknown.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Kind says what an entry is a version of. The numbers are part of the protocol: no number is reused for another kind, and
// entries of unknown kinds are passed on.
type Kind uint8

// The kinds.
const (
	Build         Kind = iota + 1 // the build of the program that the instance runs
	Local                         // the part of the configuration that is specific to each instance
	Configuration                 // the part of the configuration that all instances share: numbered by the fleet
	Voters                        // the list of voters
	Keyring                       // identifies the keys, without the keys themselves
	View                          // the view of the members of the fleet: numbered by membership
	EndpointList                  // the endpoint list of a cluster, as merged from its sources
	Resource                      // an xDS resource
	Rejected                      // a configuration file that was rejected, until one is accepted
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

// IsUrgent reports whether a change is announced immediately. Endpoint lists and xDS resources are not urgent, because they
// change often, and at all members at the same time.
func (k Kind) IsUrgent() bool { return k != EndpointList && k != Resource }

// IsTransient reports whether an entry may disappear without being replaced.
func (k Kind) IsTransient() bool { return k == EndpointList || k == Resource || k == Rejected }

// Hash identifies content by the first half of its SHA-256 hash.
type Hash [16]byte

// shortHashBytes is how many bytes of a hash String shows.
const shortHashBytes = 4

// HashOf returns the hash of the content.
func HashOf(content []byte) Hash {
	sum := sha256.Sum256(content)
	return Hash(sum[:len(Hash{})])
}

func (h Hash) String() string { return hex.EncodeToString(h[:shortHashBytes]) }

// MarshalText implements encoding.TextMarshaler. It writes the whole hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return errors.New("version: text is not a hash in 32 hexadecimal digits")
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
	// MaxAncestors limits the replaced versions that an entry holds.
	MaxAncestors = 16
	// MaxEntries limits the entries of a vector.
	MaxEntries   = 4096
	maxNameBytes = 256
)

// Entry identifies one version of the content with a kind and name. It is encoded as an array in the order of its fields, which
// must not change.
type Entry struct {
	Kind        Kind       `json:"kind"`
	Name        string     `json:"name,omitempty"` // cluster of an endpoint list; type and name of an xDS resource
	Hash        Hash       `json:"hash"`
	Number      uint64     `json:"number,omitempty"` // number assigned by the fleet or by membership; 0: none
	Ancestors   []Ancestor `json:"before,omitempty"` // the newest first
	Description string     `json:"text,omitempty"`   // for operators
}

// asAncestor returns the entry in the form in which its successor records it.
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

// hasAncestor reports whether a version is among the ancestors that the entry holds.
func (e Entry) hasAncestor(h Hash) bool {
	return slices.ContainsFunc(e.Ancestors, func(a Ancestor) bool { return a.Hash == h })
}

// Successor returns the entry that replaces e, for kinds to which the fleet assigns no numbers. If the content is the same, it
// returns e with the new description.
func (e Entry) Successor(h Hash, description string) Entry {
	if e.Hash == h {
		e.Description = description
		return e
	}
	return e.replacedBy(h, description)
}

// AssignNumber returns the entry of the content with its number in the fleet. Content that has a number already, as a current or
// a replaced version, keeps that number. Other content gets the number after the newest one. known holds the entries of all
// members, including the entry of this member if it has one.
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
		// Of two entries with one number the smaller hash wins, so that all members that know both continue from the same entry.
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
