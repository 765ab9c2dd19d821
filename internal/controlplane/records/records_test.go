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

// content returns the content of a resource, or its removal if the text is empty.
func content(k Key, text string) Content {
	c := Content{Key: k, Raw: []byte(text), Removed: text == ""}
	copy(c.Digest[:], text)
	return c
}

func publish(t rapid.TB, store *Store, contents ...Content) Publication {
	t.Helper()
	p, faults := store.Prepare(contents)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, r := range p.Records {
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		if result := store.Merge(testTime, r); result != Applied {
			t.Fatalf("publication of %s in version %s: merge result %s, want it applied", r.Key, r.Version, result)
		}
	}
	return p
}

// Servers publish, and merge each other's records in any order, repeatedly, late or not at all for a while. Some restart with the
// state that they have saved. No resource may go back to an older version, and all servers hold the same versions in the end.
// Exactly those versions that lost against a concurrent one are reported as conflicts.
func TestServersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "machines")
		stores := make([]*Store, n)
		observed := make([]map[Key]map[Version]bool, n) // by server: the versions that it has merged, with their ancestors
		for i := range stores {
			stores[i], observed[i] = New(fmt.Sprint("m", i)), map[Key]map[Version]bool{}
		}
		var all []Record
		ancestors := map[Version]map[Version]bool{} // versions of the resource that the publishing server had observed
		reported := map[Conflict]bool{}
		merge := func(i int, r Record) {
			before, _ := stores[i].Find(r.Key)
			stores[i].Merge(testTime, r)
			after, _ := stores[i].Find(r.Key)
			if after.Version.Compare(before.Version) < 0 || after.Version.Compare(r.Version) < 0 {
				t.Fatalf("%s at server %d went from version %s to %s on a merge of %s", r.Key, i, before.Version, after.Version, r.Version)
			}
			if observed[i][r.Key] == nil {
				observed[i][r.Key] = map[Version]bool{}
			}
			observed[i][r.Key][r.Version] = true
			maps.Copy(observed[i][r.Key], ancestors[r.Version])
			for _, conflict := range stores[i].Conflicts() {
				reported[conflict] = true
			}
		}
		keys := []Key{{ads.Endpoints, "a"}, {ads.Endpoints, "b"}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "machine")
			switch action := rapid.IntRange(0, 9).Draw(t, "what"); {
			case action < 4: // each publication changes one resource, so that a version has the ancestors of one resource only
				k := rapid.SampledFrom(keys).Draw(t, "key")
				text := fmt.Sprint("v", step)
				if current, ok := stores[i].Find(k); ok && !current.Removed && action == 0 {
					text = ""
				}
				p, faults := stores[i].Prepare([]Content{content(k, text)})
				if len(faults) > 0 {
					t.Fatal(faults)
				}
				if rapid.Bool().Draw(t, "killed") { // after the publication was stored, before it was sent
					stores[i] = Restore(stores[i].Save(p))
				}
				for _, r := range p.Records {
					ancestors[r.Version] = maps.Clone(observed[i][k])
					all = append(all, r)
					merge(i, r)
				}
			case action == 4:
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
			for i, store := range stores {
				if r, _ := store.Find(k); r.Version != first.Version || string(r.Raw) != string(first.Raw) || r.Removed != first.Removed {
					t.Errorf("%s has version %s at server 0, but %s at server %d", k, first.Version, r.Version, i)
				}
			}
			for _, r := range all { // skips versions that are in force, or that are an ancestor of another version
				isAncestor := slices.ContainsFunc(all, func(other Record) bool { return other.Key == k && ancestors[other.Version][r.Version] })
				if r.Key != k || r.Version == first.Version || isAncestor || r.Removed && first.Removed {
					continue
				}
				if !slices.ContainsFunc(slices.Collect(maps.Keys(reported)), func(conflict Conflict) bool { return conflict.Loser == r.Version }) {
					t.Errorf("%s: version %s lost against a concurrent version, but no conflict was reported", k, r.Version)
				}
			}
		}
		for conflict := range reported {
			if ancestors[conflict.Winner][conflict.Loser] {
				t.Errorf("%s: a conflict was reported in which %s lost, but it is an ancestor of %s", conflict.Key, conflict.Loser, conflict.Winner)
			}
		}
	})
}

// A publication is rejected if an endpoint set that a cluster requires would be missing. A removed resource is not restored by an old
// record that is merged again.
func TestInvalidPublicationsAreRejectedAndRemovalsPersist(t *testing.T) {
	store := New("m")
	cluster := content(Key{ads.Clusters, "c"}, "c1")
	cluster.EndpointSet = "e"
	set := content(Key{ads.Endpoints, "e"}, "e1")
	removal := func(k Key) Content { return Content{Key: k, Removed: true} }
	expectFault := func(want string, contents ...Content) {
		t.Helper()
		if p, faults := store.Prepare(contents); len(faults) != 1 || faults[0].Error() != want || len(p.Records) > 0 {
			t.Errorf("faults %v, want only %q", faults, want)
		}
	}
	expectFault(`cluster/c: eds_cluster_config: there are no endpoints named "e"`, cluster)
	expectFault("endpoints/e: can't be removed: there is none", removal(set.Key))
	expectFault("endpoints/e: told twice", set, set)
	old := publish(t, store, cluster, set).Records
	expectFault(`endpoints/e: can't be removed: cluster "c" needs it`, removal(set.Key))
	if p, faults := store.Prepare([]Content{set, cluster}); faults != nil || p.Unchanged != 2 || len(p.Records) != 0 {
		t.Errorf("publication of unchanged contents: %+v, faults %v; want no records", p, faults)
	}
	publish(t, store, removal(set.Key), removal(cluster.Key))
	for _, r := range old {
		if result := store.Merge(testTime, r); result != Superseded || store.isPresent(r.Key) {
			t.Errorf("old record of removed %s merged with result %s, want it superseded and the resource absent", r.Key, result)
		}
	}
	if present, removed := store.Counts(); present != [ads.KindCount]int{} || removed != 2 || len(store.Conflicts()) != 0 {
		t.Errorf("%v resources present, %d removed, conflicts %v; want none present, 2 removed, no conflicts", present, removed, store.Conflicts())
	}
	store.maxRemoved = 1
	publish(t, store, content(Key{ads.Endpoints, "f"}, "f1"))
	publish(t, store, removal(Key{ads.Endpoints, "f"}))
	if _, known := store.Find(cluster.Key); known {
		t.Error("more removed resources are remembered than maxRemoved")
	}
	// A server publishes a cluster while another one removes the cluster's endpoint set: the cluster is reported as dangling.
	r := Record{Content: cluster, Version: Version{9, "other"}}
	store.Merge(testTime, r)
	if dangling := store.DanglingClusters(); len(dangling) != 1 || dangling[0] != cluster.Key {
		t.Errorf("dangling clusters %v, want only cluster/c", dangling)
	}
}

// A subscriber has a version of a server that is never reachable again. The next publication is newer than that version. A version
// with a counter that is far ahead is ignored, so that no subscriber can exhaust the counters.
func TestPublicationIsNewerThanObservedVersion(t *testing.T) {
	store := New("m")
	k := Key{ads.Endpoints, "e"}
	publish(t, store, content(k, "1"))
	store.ObserveVersion(Version{maxCounter - 1, "liar"})
	store.ObserveVersion(Version{7, "lost"})
	if p := publish(t, store, content(k, "2")); p.Version.Counter != 8 {
		t.Errorf("published version %s, want counter 8", p.Version)
	}
}

func TestParseVersionAcceptsOnlyCanonicalForm(t *testing.T) {
	for _, text := range []string{"1-m", "18-control-1.9f3a"} {
		if v, err := ParseVersion(text); err != nil || v.String() != text {
			t.Errorf("ParseVersion(%q) = %v, error %v; want the same text back", text, v, err)
		}
	}
	for _, text := range []string{"", "1", "-m", "0-m", "01-m", "1-", "x-m", "18446744073709551615-m", "+1-m"} {
		if v, err := ParseVersion(text); err == nil {
			t.Errorf("ParseVersion(%q) = %v, want an error", text, v)
		}
	}
}
