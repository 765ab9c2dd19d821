package version

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// Vector holds the versions that an instance applies: one entry for each kind and name, sorted by kind and name.
type Vector []Entry

// ByKindAndName compares two entries by kind and name, which is the order of a vector.
func ByKindAndName(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Find returns the entry of a kind and name.
func (v Vector) Find(k Kind, name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v, Entry{Kind: k, Name: name}, ByKindAndName)
	if !ok {
		return Entry{}, false
	}
	return v[i], true
}

// With returns a copy of the vector with an entry added or replaced.
func (v Vector) With(e Entry) Vector {
	i, ok := slices.BinarySearchFunc(v, e, ByKindAndName)
	next := slices.Clone(v)
	if ok {
		next[i] = e
		return next
	}
	return slices.Insert(next, i, e)
}

// Without returns a copy of the vector without an entry.
func (v Vector) Without(k Kind, name string) Vector {
	return slices.DeleteFunc(slices.Clone(v), func(e Entry) bool { return e.Kind == k && e.Name == name })
}

// entryHeaderBytes is the size of the kind, the length of the name and the number in what Digest hashes.
const entryHeaderBytes = 1 + 2 + 8

// Digest returns a hash of the kinds, names, hashes and numbers of all entries.
func (v Vector) Digest() Hash {
	sum := sha256.New()
	for _, e := range v {
		var header [entryHeaderBytes]byte
		header[0] = byte(e.Kind)
		binary.LittleEndian.PutUint16(header[1:], uint16(len(e.Name)))
		binary.LittleEndian.PutUint64(header[3:], e.Number)
		sum.Write(header[:])
		sum.Write([]byte(e.Name))
		sum.Write(e.Hash[:])
	}
	return Hash(sum.Sum(nil)[:len(Hash{})])
}

// Check returns an error for a vector that no correct instance sends.
func (v Vector) Check() error {
	if len(v) > MaxEntries {
		return fmt.Errorf("version: vector has %d entries, more than the maximum of %d", len(v), MaxEntries)
	}
	for i, e := range v {
		switch {
		case e.Kind == 0 || len(e.Name) > maxNameBytes || len(e.Description) > maxNameBytes || len(e.Ancestors) > MaxAncestors:
			return fmt.Errorf("version: entry %d is invalid", i)
		case i > 0 && ByKindAndName(v[i-1], e) >= 0:
			return fmt.Errorf("version: entry %d is out of order", i)
		}
	}
	return nil
}
