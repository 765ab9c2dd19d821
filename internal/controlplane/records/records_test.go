package records

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/xds/ads"
)

var testTime = time.Unix(0, 0)

func content(k Key, text string) Content {
	c := Content{Key: k, Raw: []byte(text), Removed: text == ""}
	copy(c.Digest[:], text)
	return c
}

func publish(t rapid.TB, s *Store, contents ...Content) Publication {
	t.Helper()
	p, faults := s.Prepare(contents)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, r := range p.Records {
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		if v := s.Merge(testTime, r); v != Applied {
			t.Fatalf("%s %s: %s", r.Key, r.Version, v)
		}
	}
	return p
}

// Machines publish what they like and tell one another records in any order, twice, late or not at all for a while; some start
// anew from what they saved. Nobody ever goes back, all hold the same in the end, what was made apart and lost is told, and
// nothing else is.
func TestServersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "machines")
		stores := make([]*Store, n)
		knew := make([]map[Key]map[Version]bool, n) // by machine: all versions that it has merged, with those that they had seen
		for i := range stores {
			stores[i], knew[i] = New(fmt.Sprint("m", i)), map[Key]map[Version]bool{}
		}
		var all []Record
		past := map[Version]map[Version]bool{} // of one resource, as its machine knew it
		told := map[Conflict]bool{}
		merge := func(i int, r Record) {
			was, _ := stores[i].Find(r.Key)
			stores[i].Merge(testTime, r)
			is, _ := stores[i].Find(r.Key)
			if is.Version.Compare(was.Version) < 0 || is.Version.Compare(r.Version) < 0 {
				t.Fatalf("%s at machine %d went from %s to %s with %s", r.Key, i, was.Version, is.Version, r.Version)
			}
			if knew[i][r.Key] == nil {
				knew[i][r.Key] = map[Version]bool{}
			}
			knew[i][r.Key][r.Version] = true
			maps.Copy(knew[i][r.Key], past[r.Version])
			for _, c := range stores[i].Conflicts() {
				told[c] = true
			}
		}
		keys := []Key{{ads.Endpoints, "a"}, {ads.Endpoints, "b"}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "machine")
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 4: // a version is of one resource here: its past is simple to know
				k := rapid.SampledFrom(keys).Draw(t, "key")
				text := fmt.Sprint("v", step)
				if is, ok := stores[i].Find(k); ok && !is.Removed && what == 0 {
					text = ""
				}
				p, faults := stores[i].Prepare([]Content{content(k, text)})
				if len(faults) > 0 {
					t.Fatal(faults)
				}
				if rapid.Bool().Draw(t, "killed") { // after it was written down, before it was sent
					stores[i] = Restore(stores[i].Save(p))
				}
				for _, r := range p.Records {
					past[r.Version] = maps.Clone(knew[i][k])
					all = append(all, r)
					merge(i, r)
				}
			case what == 4:
				stores[i] = Restore(stores[i].Save(Publication{}))
			case len(all) > 0:
				merge(i, rapid.SampledFrom(all).Draw(t, "record"))
			}
		}
		for i := range stores {
			for _, r := range rapid.Permutation(all).Draw(t, "order") {
				merge(i, r)
			}
		}
		for _, k := range keys {
			first, _ := stores[0].Find(k)
			for i, s := range stores {
				if r, _ := s.Find(k); r.Version != first.Version || string(r.Raw) != string(first.Raw) || r.Removed != first.Removed {
					t.Errorf("%s: %s at machine 0, %s at machine %d", k, first.Version, r.Version, i)
				}
			}
			for _, r := range all { // what nothing was built on, and does not hold
				built := slices.ContainsFunc(all, func(o Record) bool { return o.Key == k && past[o.Version][r.Version] })
				if r.Key != k || r.Version == first.Version || built || r.Removed && first.Removed {
					continue
				}
				if !slices.ContainsFunc(slices.Collect(maps.Keys(told)), func(c Conflict) bool { return c.Loser == r.Version }) {
					t.Errorf("%s %s was made apart and has lost, and nobody was told", k, r.Version)
				}
			}
		}
		for c := range told {
			if past[c.Winner][c.Loser] {
				t.Errorf("%s: %s is told as lost, and %s was built on it", c.Key, c.Loser, c.Winner)
			}
		}
	})
}

// What is removed does not come back by old news, and a cluster's endpoints are there as long as it needs them.
func TestPublishing(t *testing.T) {
	s := New("m")
	cluster := content(Key{ads.Clusters, "c"}, "c1")
	cluster.EndpointSet = "e"
	set := content(Key{ads.Endpoints, "e"}, "e1")
	gone := func(k Key) Content { return Content{Key: k, Removed: true} }
	refused := func(want string, contents ...Content) {
		t.Helper()
		if p, faults := s.Prepare(contents); len(faults) != 1 || faults[0].Error() != want || len(p.Records) > 0 {
			t.Errorf("%v, want %q", faults, want)
		}
	}
	refused(`cluster/c: eds_cluster_config: there are no endpoints named "e"`, cluster)
	refused("endpoints/e: can't be removed: there is none", gone(set.Key))
	refused("endpoints/e: told twice", set, set)
	old := publish(t, s, cluster, set).Records
	refused(`endpoints/e: can't be removed: cluster "c" needs it`, gone(set.Key))
	if p, faults := s.Prepare([]Content{set, cluster}); faults != nil || p.Unchanged != 2 || len(p.Records) != 0 {
		t.Errorf("the same again: %+v, %v", p, faults)
	}
	publish(t, s, gone(set.Key), gone(cluster.Key))
	for _, r := range old {
		if v := s.Merge(testTime, r); v != Superseded || s.isPresent(r.Key) {
			t.Errorf("%s is back: %s", r.Key, v)
		}
	}
	if there, removed := s.Counts(); there != [ads.KindCount]int{} || removed != 2 || len(s.Conflicts()) != 0 {
		t.Errorf("%v there, %d removed, %v", there, removed, s.Conflicts())
	}
	s.maxRemoved = 1
	publish(t, s, content(Key{ads.Endpoints, "f"}, "f1"))
	publish(t, s, gone(Key{ads.Endpoints, "f"}))
	if _, known := s.Find(cluster.Key); known {
		t.Error("more are remembered as removed than may be")
	}
	// One machine removes the endpoints while another names them: told, not hidden.
	r := Record{Content: cluster, Version: Version{9, "other"}}
	s.Merge(testTime, r)
	if d := s.DanglingClusters(); len(d) != 1 || d[0] != cluster.Key {
		t.Errorf("dangling: %v", d)
	}
}

// A receiver has a version of a machine that is never heard again: what is published next is newer, but no receiver can use up the
// counters.
func TestObserveVersion(t *testing.T) {
	s := New("m")
	k := Key{ads.Endpoints, "e"}
	publish(t, s, content(k, "1"))
	s.ObserveVersion(Version{maxCounter - 1, "liar"})
	s.ObserveVersion(Version{7, "lost"})
	if p := publish(t, s, content(k, "2")); p.Version.Counter != 8 {
		t.Errorf("%s", p.Version)
	}
}

func TestVersions(t *testing.T) {
	for _, text := range []string{"1-m", "18-control-1.9f3a"} {
		if v, err := ParseVersion(text); err != nil || v.String() != text {
			t.Errorf("%q: %v, %v", text, v, err)
		}
	}
	for _, text := range []string{"", "1", "-m", "0-m", "01-m", "1-", "x-m", "18446744073709551615-m", "+1-m"} {
		if v, err := ParseVersion(text); err == nil {
			t.Errorf("%q: %v", text, v)
		}
	}
}
