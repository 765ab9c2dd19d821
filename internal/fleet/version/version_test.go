package version

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func hashOfText(s string) Hash { return HashOf([]byte(s)) }

// A thing that goes on in one line, at members that take it up later or pass over some of it: who is older is told, and never
// a fork.
func TestLinearHistoryIsOrderedWithoutForks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbered := rapid.Bool().Draw(r, "numbered")
		n := rapid.IntRange(2, 5).Draw(r, "members")
		has, at := make([]Entry, n), make([]int, n)
		newest := 0
		for i := range has {
			has[i] = AssignNumber(Configuration, "", hashOfText("v0"), "", has[:i])
			if !numbered {
				has[i] = Entry{Kind: List, Name: "c", Hash: hashOfText("v0")}
			}
		}
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			to := newest
			if at[i] == newest && newest < MaxAncestors-1 { // only who has the newest makes the next one
				newest++
				to = newest
			}
			h := hashOfText(fmt.Sprint("v", to))
			if numbered {
				has[i] = AssignNumber(Configuration, "", h, "", has)
			} else {
				for next := at[i] + 1; next <= to; next++ { // a source tells a member of all, in order
					has[i] = has[i].Successor(hashOfText(fmt.Sprint("v", next)), "")
				}
			}
			at[i] = to
		}
		for i := range has {
			for j := range has {
				want := Same
				switch {
				case at[i] < at[j]:
					want = Older
				case at[i] > at[j]:
					want = Newer
				}
				if is := Compare(has[i], has[j]); is != want {
					r.Fatalf("v%d to v%d: %v, want %v (%+v, %+v)", at[i], at[j], is, want, has[i], has[j])
				}
				if want == Older && numbered && VersionsBehind(has[i], has[j]) != at[j]-at[i] {
					r.Fatalf("v%d is %d behind v%d", at[i], VersionsBehind(has[i], has[j]), at[j])
				}
			}
		}
	})
}

// Two that go on from one version apart from each other have forked, and so has what follows either; one that knows both
// and goes on from there has not.
func TestConcurrentSuccessorsAreForked(t *testing.T) {
	first := AssignNumber(Configuration, "", hashOfText("a"), "", nil)
	left := AssignNumber(Configuration, "", hashOfText("left"), "", []Entry{first})
	right := AssignNumber(Configuration, "", hashOfText("right"), "", []Entry{first})
	next := AssignNumber(Configuration, "", hashOfText("next"), "", []Entry{left})
	late := AssignNumber(Configuration, "", hashOfText("late"), "", []Entry{next, right})
	for _, x := range []struct {
		a, b Entry
		want Order
	}{
		{first, left, Older}, {left, right, Forked}, {next, right, Forked}, {right, next, Forked}, {left, next, Older}, {next, late, Older}, {late, first, Newer},
		{right, late, Forked}, // which settles nothing: it follows the other side
		{first, Entry{Kind: List, Hash: first.Hash}, Unknown},
	} {
		if is := Compare(x.a, x.b); is != x.want {
			t.Errorf("%+v to %+v: %v, want %v", x.a, x.b, is, x.want)
		}
	}
	if back := AssignNumber(Configuration, "", hashOfText("a"), "", []Entry{next}); back.Number != first.Number || Compare(back, next) != Older {
		t.Errorf("an old file is %+v", back)
	}
	one, other := Entry{Kind: List, Hash: hashOfText("x")}, Entry{Kind: List, Hash: hashOfText("y")}
	if is := Compare(one, other); is != Unknown {
		t.Errorf("without a past: %v", is)
	}
	if a, b := one.Successor(hashOfText("y"), ""), other.Successor(hashOfText("x"), ""); Compare(a, b) != Unknown {
		t.Errorf("each has replaced the other: %v", Compare(a, b))
	}
}

// A vector is the same whatever order it was made in, is told from one that differs in anything, and is checked.
func TestVectorIgnoresInsertionOrderAndDetectsChanges(t *testing.T) {
	entries := []Entry{{Kind: List, Name: "b", Hash: hashOfText("1")}, {Kind: List, Name: "a", Hash: hashOfText("2")}, {Kind: Build, Hash: hashOfText("3")},
		{Kind: Configuration, Hash: hashOfText("4"), Number: 7}}
	var v, w Vector
	for i := range entries {
		v, w = v.With(entries[i]), w.With(entries[len(entries)-1-i])
	}
	if v.Digest() != w.Digest() || v.Check() != nil || len(v) != 4 {
		t.Errorf("%+v, %+v", v, w)
	}
	seen := map[Hash]bool{v.Digest(): true}
	for _, e := range []Entry{{Kind: List, Name: "a", Hash: hashOfText("x")}, {Kind: Configuration, Hash: hashOfText("4"), Number: 8}, {Kind: List, Name: "c", Hash: hashOfText("2")},
		{Kind: 99, Hash: hashOfText("of a later program")}} {
		if d := v.With(e).Digest(); seen[d] {
			t.Errorf("%+v changes nothing", e)
		} else {
			seen[d] = true
		}
	}
	if got := v.Without(List, "a"); len(got) != 3 || seen[got.Digest()] {
		t.Errorf("%+v", got)
	}
	if e, ok := v.Find(Configuration, ""); !ok || e.Number != 7 {
		t.Errorf("found %+v", e)
	}
	bad := slices.Clone(v)
	bad[0], bad[1] = bad[1], bad[0]
	if bad.Check() == nil || (Vector{{Kind: 0}}).Check() == nil || (Vector{v[0], v[0]}).Check() == nil {
		t.Error("passed")
	}
}
