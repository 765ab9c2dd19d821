package versionlag

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/fleet/version"
)

var limits = Limits{RolloutTimeout: 5 * time.Second, MaxAge: 10 * time.Second}

func configuration(number uint64, text string, before ...version.Ancestor) version.Entry {
	return version.Entry{Kind: version.Configuration, Hash: version.HashOf([]byte(text)), Number: number, Ancestors: before}
}

func members(of ...version.Entry) (out []Member) {
	for i, e := range of {
		out = append(out, Member{Name: fmt.Sprint("m", i), Vector: version.Vector{e}})
	}
	return out
}

func joinStates(s []Status) (out string) {
	for i, m := range s {
		if i > 0 {
			out += ", "
		}
		out += m.State.String()
	}
	return out
}

// Each row is a fleet as it is seen twice: at once, and after the time that taking up may last.
func TestEvaluateBeforeAndAfterRolloutTimeout(t *testing.T) {
	a := configuration(1, "a")
	b := configuration(2, "b", version.Ancestor{Number: 1, Hash: a.Hash})
	x := configuration(2, "x", version.Ancestor{Number: 1, Hash: a.Hash})
	c := configuration(3, "c", version.Ancestor{Number: 2, Hash: b.Hash}, version.Ancestor{Number: 1, Hash: a.Hash})
	list := func(text string, before ...string) version.Entry {
		e := version.Entry{Kind: version.List, Name: "c", Hash: version.HashOf([]byte(text))}
		for _, b := range before {
			e.Ancestors = append(e.Ancestors, version.Ancestor{Hash: version.HashOf([]byte(b))})
		}
		return e
	}
	own := func(text string) version.Entry {
		return version.Entry{Kind: version.Local, Hash: version.HashOf([]byte(text))}
	}
	for name, row := range map[string]struct {
		members     []Member
		first, then string
	}{
		"in step":             {members(b, b, b), "in step, in step, in step", "in step, in step, in step"},
		"one behind":          {members(b, a, b), "in step, taking up, in step", "in step, behind, in step"},
		"two behind by two":   {members(a, c, c, c, a), "taking up, in step, in step, in step, taking up", "behind, in step, in step, in step, behind"},
		"most behind":         {members(a, a, b), "taking up, taking up, in step", "in step, in step, ahead"},
		"fork":                {members(b, x, b), "forked, forked, forked", "forked, forked, forked"},
		"fork and behind":     {members(b, x, a), "forked, forked, taking up", "forked, forked, behind"},
		"one fork in three":   {members(c, c, x), "forked, forked, forked", "forked, forked, forked"},
		"alone":               {members(a), "in step", "in step"},
		"lists, one older":    {members(list("2", "1"), list("1"), list("2", "1")), "in step, taking up, in step", "in step, behind, in step"},
		"lists of no past":    {members(list("2"), list("1"), list("2")), "in step, taking up, in step", "in step, differs, in step"},
		"lists, half each":    {members(list("2"), list("1")), "taking up, taking up", "differs, differs"},
		"what each has own":   {members(own("1"), own("2")), "in step, in step", "in step, in step"},
		"silent":              {[]Member{{Name: "m0", Vector: version.Vector{a}}, {Name: "m1"}, {Name: "m2", Vector: version.Vector{a}, Age: time.Minute}}, "in step, silent, silent", "in step, silent, silent"},
		"silent and forked":   {append(members(b), Member{Name: "m1", Vector: version.Vector{x}, Age: time.Minute}), "forked, forked", "forked, forked"},
		"one has no such":     {append(members(b, b), Member{Name: "m2", Vector: version.Vector{own("1")}}), "in step, in step, in step", "in step, in step, in step"},
		"kinds of the future": {members(version.Entry{Kind: 99, Hash: a.Hash}, version.Entry{Kind: 99, Hash: b.Hash}), "taking up, taking up", "differs, differs"},
	} {
		w := New(limits)
		if got := joinStates(w.Evaluate(time.Hour, row.members)); got != row.first {
			t.Errorf("%s: at once %s, want %s", name, got, row.first)
		}
		if got := joinStates(w.Evaluate(time.Hour+6*time.Second, row.members)); got != row.then {
			t.Errorf("%s: then %s, want %s", name, got, row.then)
		}
	}
}

// One that goes on, but never catches up, is behind the newest each time for no longer than it is the newest; and what is told
// names what it has, what it should have, by how many versions, and for how long.
func TestLaggingFindingRestartsWithEachNewVersion(t *testing.T) {
	a := configuration(1, "a")
	c := configuration(3, "c", version.Ancestor{Number: 2, Hash: version.HashOf([]byte("b"))}, version.Ancestor{Number: 1, Hash: a.Hash})
	w := New(limits)
	w.Evaluate(0, members(a, c, c))
	s := w.Evaluate(7*time.Second, members(a, c, c))
	if len(s[0].Findings) != 1 {
		t.Fatalf("%+v", s)
	}
	if f := s[0].Findings[0]; f.State != Lagging || f.VersionsBehind != 2 || f.Duration != 7*time.Second || f.Expected.Hash != c.Hash || f.Has.Hash != a.Hash {
		t.Errorf("%+v", f)
	}
	d := configuration(4, "d", append([]version.Ancestor{{Number: 3, Hash: c.Hash}}, c.Ancestors...)...)
	if s = w.Evaluate(8*time.Second, members(a, d, d)); s[0].Findings[0].State != Updating || s[0].Findings[0].Duration != 0 {
		t.Errorf("behind a version that has just come: %+v", s[0].Findings)
	}
	if len(w.findingSince) > 1 || len(w.newestSince) > 1 {
		t.Errorf("%d and %d are remembered", len(w.findingSince), len(w.newestSince))
	}
}

// What a member has done since its last word is not known: it is behind only once it has said so itself after the time that
// taking up may last, and the newest is odd only once most have.
func TestStaleReportIsNotLagging(t *testing.T) {
	a := configuration(1, "a")
	b := configuration(2, "b", version.Ancestor{Number: 1, Hash: a.Hash})
	for _, has := range [][]version.Entry{{a, b, b}, {a, a, b}} {
		w := New(limits)
		w.Evaluate(0, members(has...))
		for now := time.Second; now < 9*time.Second; now += time.Second { // heard at 0, and no more
			old := members(has...)
			for i := range old {
				old[i].Age = now
			}
			for _, m := range w.Evaluate(now, old) {
				if m.State > Updating {
					t.Errorf("%v after their last words: %+v", now, m)
				}
			}
		}
	}
}

// Whatever versions there are, never are most of those that are heard told to be behind, and a fork never makes one side
// right: if any member is forked, so is one with another version.
func TestMajorityNeverLagsAndForkFlagsBothSides(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(r, "members")
		known := []version.Entry{version.AssignNumber(version.Configuration, "", version.HashOf([]byte("0")), "", nil)}
		for i := range rapid.IntRange(0, 6).Draw(r, "versions") {
			from := rapid.SampledFrom(known).Draw(r, "after")
			known = append(known, version.AssignNumber(version.Configuration, "", version.HashOf([]byte(fmt.Sprint(i+1))), "", []version.Entry{from}))
		}
		var has []version.Entry
		for range n {
			has = append(has, rapid.SampledFrom(known).Draw(r, "has"))
		}
		w := New(limits)
		w.Evaluate(0, members(has...))
		s := w.Evaluate(time.Minute, members(has...))
		behind, forked := 0, map[version.Hash]bool{}
		for i, m := range s {
			switch m.State {
			case Lagging:
				behind++
			case Forked:
				forked[has[i].Hash] = true
			}
		}
		if len(forked) == 1 {
			r.Errorf("one side of a fork is right: %s of %+v", joinStates(s), has)
		}
		if len(forked) == 0 && 2*behind > n {
			r.Errorf("most are behind: %s", joinStates(s))
		}
	})
}
