package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"silvertrail/internal/base/endpointlist"
)

var startTime = time.Unix(1_800_000_000, 0)

// named returns an entry with a name and an address made from it.
func named(name, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Name: name, Address: "10.0.0." + name + ":1", Zone: "a", Status: status}
}

// withoutName returns an entry with the same address as named, but no name.
func withoutName(name, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Address: "10.0.0." + name + ":1", Status: status}
}

// namesAndStatuses returns "name status" for each entry of a list.
func namesAndStatuses(list []endpointlist.Endpoint) (out []string) {
	for _, e := range list {
		out = append(out, e.Name+" "+e.Status)
	}
	return out
}

// expectMembers checks the merged members, given as "name status".
func expectMembers(t *testing.T, m *merger, now time.Time, want ...string) {
	t.Helper()
	if got := namesAndStatuses(m.members(now)); !slices.Equal(got, want) {
		t.Errorf("members %q, want %q", got, want)
	}
}

func TestDrainHoldsUntilItsSourceReportsReadyOrEndpointRestarts(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", ready)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("1", draining), named("2", ready)})
	expectMembers(t, m, startTime, "1 draining", "2 ready")
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", ready)}) // the same list again changes nothing
	m.apply(startTime, 1, unreachable, nil)
	expectMembers(t, m, startTime.Add(time.Hour), "1 draining", "2 ready")
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", ready)})
	expectMembers(t, m, startTime, "1 ready", "2 ready")

	// A drain does not apply to a process that started later under the same name.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{{Name: "1", Address: "10.0.0.1:1", Status: draining, SinceMS: 100}})
	expectMembers(t, m, startTime, "1 draining", "2 ready")
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{{Name: "1", Address: "10.0.0.1:1", Status: ready, SinceMS: 200}})
	expectMembers(t, m, startTime, "1 ready", "2 ready")
}

// A standby entry is a member only if another source lists the endpoint, and counts neither as a drain nor as a departure. An empty first
// list after a reload is deferred like any other empty list.
func TestStandbyNeedsAnotherSourceAndEmptyListAfterReloadIsDeferred(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", standby)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("3", ready)})
	expectMembers(t, m, startTime, "1 ready", "3 ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("1", ready), named("2", ready)})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", standby), named("2", standby)})
	expectMembers(t, m, startTime, "1 ready", "2 ready")
	m = newMerger(time.Minute, sourceTraits{})
	m.hadMembers = true
	m.apply(startTime, 0, fullList, nil)
	if m.allListed() || !m.allReported() || !m.nextDeadline().Equal(startTime.Add(time.Minute)) {
		t.Error("an empty list after a reload was not deferred")
	}
	if m.members(startTime.Add(time.Minute)); !m.allListed() {
		t.Error("a deferred empty list was not applied after the empty hold")
	}
}

func TestDepartureOverridesOtherSourcesWithinRetention(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{}, sourceTraits{partial: true})
	all := []endpointlist.Endpoint{named("1", ready), named("2", ready)}
	m.apply(startTime, 0, fullList, all)
	m.apply(startTime, 1, fullList, all)
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", gone)})
	expectMembers(t, m, startTime, "2 ready") // reported explicitly
	m.apply(startTime, 1, fullList, nil)      // deferred, because it is empty
	expectMembers(t, m, startTime, "2 ready")
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)}) // departs by being left out of a full list
	expectMembers(t, m, startTime)
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("2", ready), withoutName("3", ready)})
	expectMembers(t, m, startTime, "10.0.0.3:1 ready") // 2 stays departed although another source lists it; 3 is new
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("3", ready), withoutName("4", ready)})
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("4", ready)}) // a partial source may leave out an existing endpoint
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("3", ready), withoutName("4", ready)})
	expectMembers(t, m, startTime, "10.0.0.3:1 ready", "10.0.0.4:1 ready")
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{named("2", ready)}) // the source that reported the departure lists it again
	if got := m.members(startTime); len(got) != 3 || got[2].Name != "2" {
		t.Errorf("members %q, want 3 with the last named 2", namesAndStatuses(got))
	}
	// An endpoint that one source still lists is a member again after the other source's departure has expired.
	m = newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, all)
	m.apply(startTime, 1, fullList, all)
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", gone)})
	expectMembers(t, m, startTime.Add(departureRetention-time.Second), "2 ready")
	if deadline := m.nextDeadline(); !deadline.Equal(startTime.Add(departureRetention)) {
		t.Errorf("unexpected next deadline %v", deadline)
	}
	expectMembers(t, m, startTime.Add(departureRetention), "1 ready", "2 ready")
	// The departure does not apply to an endpoint that has started since.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("2", gone)})
	later := named("2", ready)
	later.SinceMS = startTime.Add(time.Second).UnixMilli()
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{later})
	expectMembers(t, m, startTime, "1 ready", "2 ready")
}

func TestEmptyListIsDeferredForEmptyHold(t *testing.T) {
	m := newMerger(30*time.Second, sourceTraits{}, sourceTraits{trustsEmpty: true})
	m.apply(startTime, 0, fullList, nil) // the first list is empty and not deferred
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", draining)})
	m.apply(startTime.Add(time.Second), 0, fullList, nil)
	m.apply(startTime.Add(20*time.Second), 0, fullList, nil) // does not restart the empty hold
	expectMembers(t, m, startTime.Add(30*time.Second), "1 ready", "2 draining")
	if deadline := m.nextDeadline(); !deadline.Equal(startTime.Add(31 * time.Second)) {
		t.Errorf("unexpected next deadline %v", deadline)
	}
	expectMembers(t, m, startTime.Add(31*time.Second))
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)})
	m.apply(startTime, 0, fullList, nil)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)}) // the empty list was a fault
	expectMembers(t, m, startTime.Add(time.Hour), "1 ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("7", ready)})
	m.apply(startTime, 1, fullList, nil) // the source trusts empty lists
	expectMembers(t, m, startTime, "1 ready")
}

func TestEntriesWithAndWithoutNameAreOneMember(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{partial: true}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("1", ready)})
	expectMembers(t, m, startTime, "10.0.0.1:1 ready")
	first := named("1", ready)
	first.Group, first.Zone = 4, "b"
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{first})
	if got := m.members(startTime); len(got) != 1 || got[0] != first {
		t.Errorf("members %+v, want only the entry with the name", got)
	}
	// A departure reported by name also applies to the entry that has the address alone.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{{Name: "1", Status: gone}})
	expectMembers(t, m, startTime)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("1", ready)}) // the departure overrides the other source
	expectMembers(t, m, startTime)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("2", draining)}) // a drain of an address applies to the endpoint there
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("2", ready)})
	expectMembers(t, m, startTime, "2 draining")
}

// Entries with one address and different names are one member, and a drain under either name applies to it. A departure or drain does not
// apply to a later process at the same address.
func TestEntriesWithOneAddressAreOneMember(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	entryAt := func(name, status string, since int64) endpointlist.Endpoint {
		return endpointlist.Endpoint{Name: name, Address: "10.0.0.9:1", Status: status, SinceMS: since}
	}
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{entryAt("ours", ready, 0)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{entryAt("theirs", draining, 0)})
	expectMembers(t, m, startTime, "ours draining")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{entryAt("next", ready, 50)})
	expectMembers(t, m, startTime, "next ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{entryAt("old", draining, 50), entryAt("new", ready, 60)})
	expectMembers(t, m, startTime, "new ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "elsewhere", Address: "10.0.0.8:1", Status: ready}})
	expectMembers(t, m, startTime, "elsewhere ready")
	// If sources give different addresses for one name, both are members, and a drain applies to both.
	m = newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "1", Address: "10.0.1.1:1", Status: ready}})
	expectMembers(t, m, startTime, "1 ready", "1@10.0.1.1:1 ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "1", Address: "10.0.1.1:1", Status: draining}})
	expectMembers(t, m, startTime, "1 draining", "1@10.0.1.1:1 draining")
}

func TestMembersOverBoundAreLeftOut(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{})
	var many []endpointlist.Endpoint
	for i := range maxMembers + 5 {
		many = append(many, endpointlist.Endpoint{Name: fmt.Sprintf("%06d", i), Address: fmt.Sprint(i), Status: ready})
	}
	m.apply(startTime, 0, fullList, many)
	if n := len(m.members(startTime)); n != maxMembers || m.truncated != 5 {
		t.Errorf("%d members and %d left out, want the bound and 5 left out", n, m.truncated)
	}
}

// Guards against unbounded memory: a source that lists ever more entries and departures must not grow the merger beyond the bound.
func TestEntriesAndDeparturesOfSourceAreBounded(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{})
	for i := range 5 {
		var list []endpointlist.Endpoint
		for j := range maxMembers {
			n := i*maxMembers + j
			list = append(list, endpointlist.Endpoint{Name: fmt.Sprint("in", n), Address: fmt.Sprint(n), Status: ready},
				endpointlist.Endpoint{Name: fmt.Sprint("out", n), Status: gone})
		}
		m.apply(startTime, 0, changedEntries, list)
	}
	if s := m.sources[0]; len(s.entries) != 2*maxMembers || len(s.departures) != 2*maxMembers {
		t.Errorf("%d entries and %d departures, want 2*maxMembers of each", len(s.entries), len(s.departures))
	}
}

// Compares the merger with a simple model over random updates. No member is ready while the last report of a source has it draining or gone.
// Each member is listed by a source. An unreachable source changes nothing.
func TestMergeMatchesModel(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	for round := range 300 {
		const sources = 3
		traits := []sourceTraits{{}, {partial: random.IntN(2) == 0}, {trustsEmpty: random.IntN(2) == 0}}
		m := newMerger(10*time.Second, traits...)
		lastStatus := make([]map[string]string, sources) // last reported status, by name
		for i := range lastStatus {
			lastStatus[i] = map[string]string{}
		}
		now := startTime
		for step := range 60 {
			now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			i := random.IntN(sources)
			before := namesAndStatuses(m.members(now))
			switch random.IntN(4) {
			case 0:
				m.apply(now, i, unreachable, nil)
				if after := namesAndStatuses(m.members(now)); !slices.Equal(before, after) {
					t.Fatalf("unreachable source changed the members from %q to %q", before, after)
				}
			case 1:
				e := named(fmt.Sprint(random.IntN(6)), []string{ready, draining, gone}[random.IntN(3)])
				m.apply(now, i, changedEntries, []endpointlist.Endpoint{e})
				lastStatus[i][e.Name] = e.Status
			default:
				var list []endpointlist.Endpoint
				for n := range 6 {
					if random.IntN(2) == 0 {
						list = append(list, named(fmt.Sprint(n), []string{ready, ready, draining}[random.IntN(3)]))
					}
				}
				m.apply(now, i, fullList, list)
				if len(list) == 0 {
					continue // may be deferred; the model is updated with the next report
				}
				for name, status := range lastStatus[i] {
					if status != gone && !slices.ContainsFunc(list, func(e endpointlist.Endpoint) bool { return e.Name == name }) {
						lastStatus[i][name] = gone
						if traits[i].partial {
							delete(lastStatus[i], name)
						}
					}
				}
				for _, e := range list {
					lastStatus[i][e.Name] = e.Status
				}
			}
			for _, e := range m.members(now) {
				listed := false
				for j := range lastStatus {
					status := lastStatus[j][e.Name]
					listed = listed || status == ready || status == draining
					if e.Status == ready && (status == draining || status == gone && now.Sub(startTime) < departureRetention) {
						t.Fatalf("round %d step %d: %s is ready, but source %d reported %s", round, step, e.Name, j, status)
					}
				}
				if !listed {
					t.Fatalf("round %d step %d: member %s is listed by no source", round, step, e.Name)
				}
			}
		}
	}
}
