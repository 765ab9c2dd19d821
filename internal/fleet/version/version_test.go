package version

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func hashOfText(s string) Hash { return HashOf([]byte(s)) }

// The versions follow each other without forks. Members adopt them late or skip some of them. Compare always finds which of two
// members has the older version, and never a fork.
func TestLinearHistoryIsOrderedWithoutForks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbered := rapid.Bool().Draw(r, "numbered")
		n := rapid.IntRange(2, 5).Draw(r, "members")
		entries, versions := make([]Entry, n), make([]int, n)
		newest := 0
		for i := range entries {
			entries[i] = AssignNumber(Configuration, "", hashOfText("v0"), "", entries[:i])
			if !numbered {
				entries[i] = Entry{Kind: EndpointList, Name: "c", Hash: hashOfText("v0")}
			}
		}
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			member := rapid.IntRange(0, n-1).Draw(r, "who")
			to := newest
			if versions[member] == newest && newest < MaxAncestors-1 { // only a member with the newest version creates the next one
				newest++
				to = newest
			}
			hash := hashOfText(fmt.Sprint("v", to))
			if numbered {
				entries[member] = AssignNumber(Configuration, "", hash, "", entries)
			} else {
				for next := versions[member] + 1; next <= to; next++ { // without numbers, a member receives all versions in order
					entries[member] = entries[member].Successor(hashOfText(fmt.Sprint("v", next)), "")
				}
			}
			versions[member] = to
		}
		for i := range entries {
			for j := range entries {
				want := Same
				switch {
				case versions[i] < versions[j]:
					want = Older
				case versions[i] > versions[j]:
					want = Newer
				}
				if got := Compare(entries[i], entries[j]); got != want {
					r.Fatalf("Compare of v%d to v%d is %v, want %v (%+v, %+v)", versions[i], versions[j], got, want, entries[i], entries[j])
				}
				if want == Older && numbered && VersionsBehind(entries[i], entries[j]) != versions[j]-versions[i] {
					r.Fatalf("v%d is %d versions behind v%d", versions[i], VersionsBehind(entries[i], entries[j]), versions[j])
				}
			}
		}
	})
}

// Two versions that replaced the same version independently are forked, and so are their successors. A version that is created
// with both sides known continues from one of them, and remains forked from the other.
func TestConcurrentSuccessorsAreForked(t *testing.T) {
	first := AssignNumber(Configuration, "", hashOfText("a"), "", nil)
	left := AssignNumber(Configuration, "", hashOfText("left"), "", []Entry{first})
	right := AssignNumber(Configuration, "", hashOfText("right"), "", []Entry{first})
	next := AssignNumber(Configuration, "", hashOfText("next"), "", []Entry{left})
	late := AssignNumber(Configuration, "", hashOfText("late"), "", []Entry{next, right})
	for _, test := range []struct {
		a, b Entry
		want Order
	}{
		{first, left, Older}, {left, right, Forked}, {next, right, Forked}, {right, next, Forked}, {left, next, Older}, {next, late, Older}, {late, first, Newer},
		{right, late, Forked}, // late continues from the other side
		{first, Entry{Kind: EndpointList, Hash: first.Hash}, Unknown},
	} {
		if got := Compare(test.a, test.b); got != test.want {
			t.Errorf("Compare of %+v to %+v is %v, want %v", test.a, test.b, got, test.want)
		}
	}
	if restored := AssignNumber(Configuration, "", hashOfText("a"), "", []Entry{next}); restored.Number != first.Number || Compare(restored, next) != Older {
		t.Errorf("content of the first version has the entry %+v, want the number of the first version and an older one than the newest", restored)
	}
	one, other := Entry{Kind: EndpointList, Hash: hashOfText("x")}, Entry{Kind: EndpointList, Hash: hashOfText("y")}
	if got := Compare(one, other); got != Unknown {
		t.Errorf("Compare of entries without ancestors is %v, want unknown", got)
	}
	if a, b := one.Successor(hashOfText("y"), ""), other.Successor(hashOfText("x"), ""); Compare(a, b) != Unknown {
		t.Errorf("Compare of entries that have replaced each other is %v, want unknown", Compare(a, b))
	}
}

// The digest of a vector does not depend on the order in which entries were added, and changes with any entry. Check rejects an
// invalid entry, entries out of order, and duplicates.
func TestVectorIgnoresInsertionOrderAndDetectsChanges(t *testing.T) {
	entries := []Entry{{Kind: EndpointList, Name: "b", Hash: hashOfText("1")}, {Kind: EndpointList, Name: "a", Hash: hashOfText("2")}, {Kind: Build, Hash: hashOfText("3")},
		{Kind: Configuration, Hash: hashOfText("4"), Number: 7}}
	var vector, reversed Vector
	for i := range entries {
		vector, reversed = vector.With(entries[i]), reversed.With(entries[len(entries)-1-i])
	}
	if vector.Digest() != reversed.Digest() || vector.Check() != nil || len(vector) != 4 {
		t.Errorf("vectors of the same entries differ or are invalid: %+v, %+v", vector, reversed)
	}
	seen := map[Hash]bool{vector.Digest(): true}
	for _, e := range []Entry{{Kind: EndpointList, Name: "a", Hash: hashOfText("x")}, {Kind: Configuration, Hash: hashOfText("4"), Number: 8}, {Kind: EndpointList, Name: "c", Hash: hashOfText("2")},
		{Kind: 99, Hash: hashOfText("of a later program")}} {
		if digest := vector.With(e).Digest(); seen[digest] {
			t.Errorf("digest does not change with %+v", e)
		} else {
			seen[digest] = true
		}
	}
	if got := vector.Without(EndpointList, "a"); len(got) != 3 || seen[got.Digest()] {
		t.Errorf("vector without the endpoint list a is %+v, want the other three entries", got)
	}
	if e, ok := vector.Find(Configuration, ""); !ok || e.Number != 7 {
		t.Errorf("Find returned %+v for the configuration, want number 7", e)
	}
	unsorted := slices.Clone(vector)
	unsorted[0], unsorted[1] = unsorted[1], unsorted[0]
	if unsorted.Check() == nil || (Vector{{Kind: 0}}).Check() == nil || (Vector{vector[0], vector[0]}).Check() == nil {
		t.Error("invalid vector passed Check")
	}
}
