package versionlag

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/fleet/version"
)

var limits = Limits{RolloutTimeout: 5 * time.Second, MaxAge: 10 * time.Second}

func configuration(number uint64, text string, ancestors ...version.Ancestor) version.Entry {
	return version.Entry{Kind: version.Configuration, Hash: version.HashOf([]byte(text)), Number: number, Ancestors: ancestors}
}

// members returns one member for each entry, which is all that it applies.
func members(entries ...version.Entry) (out []Member) {
	for i, e := range entries {
		out = append(out, Member{Name: fmt.Sprint("m", i), Vector: version.Vector{e}})
	}
	return out
}

// joinStates returns the states of all members in one line.
func joinStates(statuses []Status) (out string) {
	for i, status := range statuses {
		if i > 0 {
			out += ", "
		}
		out += status.State.String()
	}
	return out
}

// Each row is a fleet that is evaluated twice: at once, and again after the rollout timeout.
func TestEvaluateBeforeAndAfterRolloutTimeout(t *testing.T) {
	a := configuration(1, "a")
	b := configuration(2, "b", version.Ancestor{Number: 1, Hash: a.Hash})
	x := configuration(2, "x", version.Ancestor{Number: 1, Hash: a.Hash})
	c := configuration(3, "c", version.Ancestor{Number: 2, Hash: b.Hash}, version.Ancestor{Number: 1, Hash: a.Hash})
	list := func(text string, ancestors ...string) version.Entry {
		e := version.Entry{Kind: version.EndpointList, Name: "c", Hash: version.HashOf([]byte(text))}
		for _, ancestor := range ancestors {
			e.Ancestors = append(e.Ancestors, version.Ancestor{Hash: version.HashOf([]byte(ancestor))})
		}
		return e
	}
	local := func(text string) version.Entry {
		return version.Entry{Kind: version.Local, Hash: version.HashOf([]byte(text))}
	}
	for name, row := range map[string]struct {
		members     []Member
		first, then string
	}{
		"all current":                         {members(b, b, b), "in step, in step, in step", "in step, in step, in step"},
		"one member lags":                     {members(b, a, b), "in step, taking up, in step", "in step, behind, in step"},
		"two members lag by two versions":     {members(a, c, c, c, a), "taking up, in step, in step, in step, taking up", "behind, in step, in step, in step, behind"},
		"most members lag":                    {members(a, a, b), "taking up, taking up, in step", "in step, in step, ahead"},
		"fork":                                {members(b, x, b), "forked, forked, forked", "forked, forked, forked"},
		"fork and lagging member":             {members(b, x, a), "forked, forked, taking up", "forked, forked, behind"},
		"one member on an older fork":         {members(c, c, x), "forked, forked, forked", "forked, forked, forked"},
		"single member":                       {members(a), "in step", "in step"},
		"older endpoint list":                 {members(list("2", "1"), list("1"), list("2", "1")), "in step, taking up, in step", "in step, behind, in step"},
		"endpoint lists without ancestors":    {members(list("2"), list("1"), list("2")), "in step, taking up, in step", "in step, differs, in step"},
		"endpoint lists without majority":     {members(list("2"), list("1")), "taking up, taking up", "differs, differs"},
		"different local configurations":      {members(local("1"), local("2")), "in step, in step", "in step, in step"},
		"members without recent report":       {[]Member{{Name: "m0", Vector: version.Vector{a}}, {Name: "m1"}, {Name: "m2", Vector: version.Vector{a}, Age: time.Minute}}, "in step, silent, silent", "in step, silent, silent"},
		"forked member without recent report": {append(members(b), Member{Name: "m1", Vector: version.Vector{x}, Age: time.Minute}), "forked, forked", "forked, forked"},
		"member without the entry":            {append(members(b, b), Member{Name: "m2", Vector: version.Vector{local("1")}}), "in step, in step, in step", "in step, in step, in step"},
		"unknown kind":                        {members(version.Entry{Kind: 99, Hash: a.Hash}, version.Entry{Kind: 99, Hash: b.Hash}), "taking up, taking up", "differs, differs"},
	} {
		detector := New(limits)
		if got := joinStates(detector.Evaluate(time.Hour, row.members)); got != row.first {
			t.Errorf("%s: states at once are %s, want %s", name, got, row.first)
		}
		if got := joinStates(detector.Evaluate(time.Hour+6*time.Second, row.members)); got != row.then {
			t.Errorf("%s: states after the rollout timeout are %s, want %s", name, got, row.then)
		}
	}
}

// A finding names the version that a lagging member has, the expected version, by how many versions the member lags, and for how
// long. The duration starts again with each new newest version.
func TestLaggingFindingRestartsWithEachNewVersion(t *testing.T) {
	a := configuration(1, "a")
	c := configuration(3, "c", version.Ancestor{Number: 2, Hash: version.HashOf([]byte("b"))}, version.Ancestor{Number: 1, Hash: a.Hash})
	detector := New(limits)
	detector.Evaluate(0, members(a, c, c))
	statuses := detector.Evaluate(7*time.Second, members(a, c, c))
	if len(statuses[0].Findings) != 1 {
		t.Fatalf("statuses are %+v, want one finding for the first member", statuses)
	}
	if f := statuses[0].Findings[0]; f.State != Lagging || f.VersionsBehind != 2 || f.Duration != 7*time.Second || f.Expected.Hash != c.Hash || f.Has.Hash != a.Hash {
		t.Errorf("finding is %+v, want lagging by 2 versions for 7 s", f)
	}
	d := configuration(4, "d", append([]version.Ancestor{{Number: 3, Hash: c.Hash}}, c.Ancestors...)...)
	if statuses = detector.Evaluate(8*time.Second, members(a, d, d)); statuses[0].Findings[0].State != Updating || statuses[0].Findings[0].Duration != 0 {
		t.Errorf("findings for a new newest version are %+v, want updating for 0 s", statuses[0].Findings)
	}
	if len(detector.findingSince) > 1 || len(detector.newestSince) > 1 {
		t.Errorf("%d findings and %d newest versions are remembered, want at most one of each", len(detector.findingSince), len(detector.newestSince))
	}
}

// It is not known which versions a member has applied since its last report. The member lags only once a report made after the
// rollout timeout says so, and the newest version is flagged only once at least half of the
// members have made such a report.
func TestStaleReportIsNotLagging(t *testing.T) {
	a := configuration(1, "a")
	b := configuration(2, "b", version.Ancestor{Number: 1, Hash: a.Hash})
	for _, entries := range [][]version.Entry{{a, b, b}, {a, a, b}} {
		detector := New(limits)
		detector.Evaluate(0, members(entries...))
		for now := time.Second; now < 9*time.Second; now += time.Second { // the last reports were made at 0
			stale := members(entries...)
			for i := range stale {
				stale[i].Age = now
			}
			for _, status := range detector.Evaluate(now, stale) {
				if status.State > Updating {
					t.Errorf("status %v after the last report is %+v, want current or updating", now, status)
				}
			}
		}
	}
}

// Whatever versions the members have, a majority of them never lags. A fork flags both sides: if a member is forked, so is a
// member with another version.
func TestMajorityNeverLagsAndForkFlagsBothSides(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(r, "members")
		known := []version.Entry{version.AssignNumber(version.Configuration, "", version.HashOf([]byte("0")), "", nil)}
		for i := range rapid.IntRange(0, 6).Draw(r, "versions") {
			base := rapid.SampledFrom(known).Draw(r, "after")
			known = append(known, version.AssignNumber(version.Configuration, "", version.HashOf([]byte(fmt.Sprint(i+1))), "", []version.Entry{base}))
		}
		var entries []version.Entry
		for range n {
			entries = append(entries, rapid.SampledFrom(known).Draw(r, "has"))
		}
		detector := New(limits)
		detector.Evaluate(0, members(entries...))
		statuses := detector.Evaluate(time.Minute, members(entries...))
		lagging, forked := 0, map[version.Hash]bool{}
		for i, status := range statuses {
			switch status.State {
			case Lagging:
				lagging++
			case Forked:
				forked[entries[i].Hash] = true
			}
		}
		if len(forked) == 1 {
			r.Errorf("only one side of a fork is flagged: states are %s for %+v", joinStates(statuses), entries)
		}
		if len(forked) == 0 && 2*lagging > n {
			r.Errorf("most members are lagging: states are %s", joinStates(statuses))
		}
	})
}
