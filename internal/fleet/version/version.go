// Package version names what an instance decides by, and tells which of two is newer. It has no I/O and no clock.
//
// An entry is one such thing: a hash of what it means, a number where the fleet gives one, and what it replaced. By these
// alone two instances' entries are put in order: no time of day has a part in it, and what neither knows of the other's past
// stays unknown.
package version

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Kind is what an entry is of.
type Kind uint8

// The kinds. Their numbers go over the wire: none is used again for another thing, and one that is not known is carried on.
const (
	Build         Kind = iota + 1 // of the program
	Local                         // the part of the configuration that each instance has for itself
	Configuration                 // the part that all have in common: numbered
	Voters
	Keyring // which keys, never the keys
	View    // of the members: numbered by membership
	List    // a cluster's endpoints, as merged from its sources
	Resource
	Rejected // a file that was to be taken up and was turned away: why, until one is taken
)

var kindNames = [...]string{"", "build", "own", "configuration", "voters", "keyring", "view", "list", "resource", "refused"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// IsShared tells whether all instances of a fleet are meant to have the same.
func (k Kind) IsShared() bool { return k != Local && k != Build && k != Rejected }

// IsUrgent tells whether a change of such a thing is told at once. Lists change at all members together, and often.
func (k Kind) IsUrgent() bool { return k != List && k != Resource }

// IsTransient tells whether a thing may go without being replaced.
func (k Kind) IsTransient() bool { return k == List || k == Resource || k == Rejected }

// Hash stands for what something means: the first half of a SHA-256.
type Hash [16]byte

// HashOf hashes a text.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(sum[:16])
}

func (h Hash) String() string { return hex.EncodeToString(h[:4]) }

// MarshalText implements encoding.TextMarshaler: all of it in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return errors.New("version: not a hash")
	}
	copy(h[:], b)
	return nil
}

// Ancestor is what an entry replaced.
type Ancestor struct {
	Number uint64 `json:"number,omitempty"`
	Hash   Hash   `json:"hash"`
}

const (
	// MaxAncestors is how many replaced versions an entry knows.
	MaxAncestors = 16
	// MaxEntries bounds a vector.
	MaxEntries   = 4096
	maxNameBytes = 256
)

// Entry is the version of one thing.
type Entry struct {
	Kind        Kind       `json:"kind"`
	Name        string     `json:"name,omitempty"` // of a list: its cluster; of a resource: its type and name
	Hash        Hash       `json:"hash"`
	Number      uint64     `json:"number,omitempty"` // given by the fleet, or by membership; 0: none
	Ancestors   []Ancestor `json:"before,omitempty"` // the newest first
	Description string     `json:"text,omitempty"`   // as those who run it would call it
}

// Past returns the entry as one that replaces it remembers it.
func (e Entry) asAncestor() Ancestor { return Ancestor{e.Number, e.Hash} }

// replacedBy returns the entry that replaces e. Its number, if any, is the caller's affair.
func (e Entry) replacedBy(h Hash, text string) Entry {
	next := Entry{Kind: e.Kind, Name: e.Name, Hash: h, Description: text}
	for _, p := range append([]Ancestor{e.asAncestor()}, e.Ancestors...) {
		if p.Hash != h && len(next.Ancestors) < MaxAncestors && !slices.ContainsFunc(next.Ancestors, func(q Ancestor) bool { return q.Hash == p.Hash }) {
			next.Ancestors = append(next.Ancestors, p)
		}
	}
	return next
}

// Successor returns the entry by which a thing without numbers goes on from e.
func (e Entry) Successor(h Hash, text string) Entry {
	if e.Hash == h {
		e.Description = text
		return e
	}
	return e.replacedBy(h, text)
}

// Order is how one entry stands to another of the same thing.
type Order uint8

// The orders.
const (
	Unknown Order = iota // nothing that either replaced tells
	Same
	Older
	Newer
	Forked // both are the next one after the same
)

func (o Order) String() string { return [...]string{"unknown", "same", "older", "newer", "forked"}[o] }

func (o Order) reversed() Order {
	switch o {
	case Older:
		return Newer
	case Newer:
		return Older
	}
	return o
}

// Compare tells how a stands to b.
func Compare(a, b Entry) Order {
	switch {
	case a.Kind != b.Kind || a.Name != b.Name:
		return Unknown
	case a.Hash == b.Hash:
		return Same
	case a.Number == 0 || b.Number == 0:
		return compareAncestry(a, b)
	case a.Number == b.Number:
		return Forked
	case a.Number > b.Number:
		return Compare(b, a).reversed()
	}
	for _, p := range b.Ancestors {
		switch {
		case p.Hash == a.Hash:
			return Older
		case p.Number == a.Number:
			return Forked // b has another one in a's place
		}
	}
	// Where both know what came before a, it has to be the same.
	for _, p := range b.Ancestors {
		for _, q := range a.Ancestors {
			if p.Number == q.Number && p.Number > 0 && p.Hash != q.Hash {
				return Forked
			}
		}
	}
	return Older
}

// compareAncestry goes by who has replaced whom. Where each has replaced the other it is known of neither which came last.
func compareAncestry(a, b Entry) Order {
	replaced := func(in, of Entry) bool {
		return slices.ContainsFunc(in.Ancestors, func(p Ancestor) bool { return p.Hash == of.Hash })
	}
	switch x, y := replaced(b, a), replaced(a, b); {
	case x && !y:
		return Older
	case y && !x:
		return Newer
	}
	return Unknown
}

// Steps is how many versions a is behind b, which is newer; at the least 1.
func Steps(a, b Entry) int {
	if a.Number > 0 && b.Number > a.Number {
		return int(b.Number - a.Number)
	}
	return 1 + max(0, slices.IndexFunc(b.Ancestors, func(p Ancestor) bool { return p.Hash == a.Hash }))
}

// AssignNumber gives a thing's new content its place among what the fleet knows: the number that it has there already, in force or
// replaced, or the next one after the newest. Known are all members' entries of the thing, mine among them where there is one.
func AssignNumber(kind Kind, name string, h Hash, text string, known []Entry) Entry {
	var newest Entry
	for _, e := range known {
		if e.Kind != kind || e.Name != name || e.Number == 0 {
			continue
		}
		if e.Hash == h {
			e.Description = text
			return e
		}
		for i, p := range e.Ancestors {
			if p.Hash == h && p.Number > 0 {
				return Entry{Kind: kind, Name: name, Hash: h, Number: p.Number, Ancestors: slices.Clone(e.Ancestors[i+1:]), Description: text}
			}
		}
		// Of two of one number the smaller hash, so that all who know both go on from the same one.
		if e.Number > newest.Number || e.Number == newest.Number && slices.Compare(e.Hash[:], newest.Hash[:]) < 0 {
			newest = e
		}
	}
	if newest.Number == 0 {
		return Entry{Kind: kind, Name: name, Hash: h, Number: 1, Description: text}
	}
	next := newest.replacedBy(h, text)
	next.Number = newest.Number + 1
	return next
}

// Vector is all that an instance acts on, in order of kind and name, each once.
type Vector []Entry

// ByName is the order of a vector's entries.
func ByName(a, b Entry) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) }

// Find returns the entry of a thing.
func (v Vector) Find(k Kind, name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v, Entry{Kind: k, Name: name}, ByName)
	if !ok {
		return Entry{}, false
	}
	return v[i], true
}

// With returns the vector with an entry put in its place, or in another's of the same thing.
func (v Vector) With(e Entry) Vector {
	i, ok := slices.BinarySearchFunc(v, e, ByName)
	out := slices.Clone(v)
	if ok {
		out[i] = e
		return out
	}
	return slices.Insert(out, i, e)
}

// Without returns the vector without a thing.
func (v Vector) Without(k Kind, name string) Vector {
	return slices.DeleteFunc(slices.Clone(v), func(e Entry) bool { return e.Kind == k && e.Name == name })
}

// Digest stands for the whole vector: kinds, names, hashes and numbers.
func (v Vector) Digest() Hash {
	s := sha256.New()
	for _, e := range v {
		var head [11]byte
		head[0] = byte(e.Kind)
		binary.LittleEndian.PutUint16(head[1:], uint16(len(e.Name)))
		binary.LittleEndian.PutUint64(head[3:], e.Number)
		s.Write(head[:])
		s.Write([]byte(e.Name))
		s.Write(e.Hash[:])
	}
	return Hash(s.Sum(nil)[:16])
}

// Check tells what is wrong with a vector that came from elsewhere.
func (v Vector) Check() error {
	if len(v) > MaxEntries {
		return fmt.Errorf("version: a vector of %d entries", len(v))
	}
	for i, e := range v {
		switch {
		case e.Kind == 0 || len(e.Name) > maxNameBytes || len(e.Description) > maxNameBytes || len(e.Ancestors) > MaxAncestors:
			return fmt.Errorf("version: entry %d of no instance's form", i)
		case i > 0 && ByName(v[i-1], e) >= 0:
			return fmt.Errorf("version: entry %d out of order", i)
		}
	}
	return nil
}
