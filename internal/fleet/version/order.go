package version

import "slices"

// Order is the order of one entry relative to another one of the same kind and name.
type Order uint8

// The orders.
const (
	Unknown Order = iota // neither entry is known to have replaced the other
	Same
	Older
	Newer
	Forked // both replaced the same version
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

// Compare returns the order of a relative to b: Older if b has replaced a.
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
		return compareNumbered(b, a).reversed()
	}
	return compareNumbered(a, b)
}

// compareNumbered compares two numbered entries. The number of a must be lower.
func compareNumbered(a, b Entry) Order {
	for _, ancestor := range b.Ancestors {
		switch {
		case ancestor.Hash == a.Hash:
			return Older
		case ancestor.Number == a.Number:
			return Forked // b replaced another version with the number of a
		}
	}
	// Ancestors of both entries that have the same number must be the same version.
	for _, ancestor := range b.Ancestors {
		for _, other := range a.Ancestors {
			if ancestor.Number == other.Number && ancestor.Number > 0 && ancestor.Hash != other.Hash {
				return Forked
			}
		}
	}
	return Older
}

// compareAncestry compares two entries by their ancestors alone, because at least one of them has no number. If each entry has
// replaced the other, the order is unknown.
func compareAncestry(a, b Entry) Order {
	aIsOlder, bIsOlder := b.hasAncestor(a.Hash), a.hasAncestor(b.Hash)
	switch {
	case aIsOlder && !bIsOlder:
		return Older
	case bIsOlder && !aIsOlder:
		return Newer
	}
	return Unknown
}

// VersionsBehind returns by how many versions a is older than b, which must be newer. The result is at least 1.
func VersionsBehind(a, b Entry) int {
	if a.Number > 0 && b.Number > a.Number {
		return int(b.Number - a.Number)
	}
	return 1 + max(0, slices.IndexFunc(b.Ancestors, func(ancestor Ancestor) bool { return ancestor.Hash == a.Hash }))
}
