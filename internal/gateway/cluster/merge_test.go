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

func named(name, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Name: name, Address: "10.0.0." + name + ":1", Zone: "a", Status: status}
}

func withoutName(name, status string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Address: "10.0.0." + name + ":1", Status: status}
}

// namesAndStatuses writes a list as "name status".
func namesAndStatuses(list []endpointlist.Endpoint) (out []string) {
	for _, e := range list {
		out = append(out, e.Name+" "+e.Status)
	}
	return out
}

func expectMembers(t *testing.T, m *merger, now time.Time, want ...string) {
	t.Helper()
	if got := namesAndStatuses(m.members(now)); !slices.Equal(got, want) {
		t.Errorf("members %q, want %q", got, want)
	}
}

func TestDrainHolds(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", ready)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("1", draining), named("2", ready)})
	expectMembers(t, m, startTime, "1 draining", "2 ready")
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", ready)}) // once more: no news
	m.apply(startTime, 1, unreachable, nil)
	expectMembers(t, m, startTime.Add(time.Hour), "1 draining", "2 ready")
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", ready)})
	expectMembers(t, m, startTime, "1 ready", "2 ready")

	// A later process at the same name is not the one that drained.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{{Name: "1", Address: "10.0.0.1:1", Status: draining, SinceMS: 100}})
	expectMembers(t, m, startTime, "1 draining", "2 ready")
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{{Name: "1", Address: "10.0.0.1:1", Status: ready, SinceMS: 200}})
	expectMembers(t, m, startTime, "1 ready", "2 ready")
}

// What a source has on standby is there for the others' words alone, and neither gone nor draining for them; a first list that is empty
// after a reload is held as any other.
func TestStandbyAndReload(t *testing.T) {
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
		t.Error("an empty list after a reload was taken at once")
	}
	if m.members(startTime.Add(time.Minute)); !m.allListed() {
		t.Error("an empty list was never taken")
	}
}

func TestGone(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{}, sourceTraits{partial: true})
	all := []endpointlist.Endpoint{named("1", ready), named("2", ready)}
	m.apply(startTime, 0, fullList, all)
	m.apply(startTime, 1, fullList, all)
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", gone)})
	expectMembers(t, m, startTime, "2 ready")    // in so many words
	m.apply(startTime, 1, fullList, nil) // held back: empty
	expectMembers(t, m, startTime, "2 ready")
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)}) // by leaving out
	expectMembers(t, m, startTime)
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("2", ready), withoutName("3", ready)})
	expectMembers(t, m, startTime, "10.0.0.3:1 ready") // another source's word does not bring it back, and 3 is new
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("3", ready), withoutName("4", ready)})
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("4", ready)}) // a name server leaves out what is there
	m.apply(startTime, 2, fullList, []endpointlist.Endpoint{withoutName("3", ready), withoutName("4", ready)})
	expectMembers(t, m, startTime, "10.0.0.3:1 ready", "10.0.0.4:1 ready")
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{named("2", ready)}) // the teller lists it again
	if got := m.members(startTime); len(got) != 3 || got[2].Name != "2" {
		t.Errorf("members %q", namesAndStatuses(got))
	}
	// What one source goes on listing is back when the other's word is old.
	m = newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, all)
	m.apply(startTime, 1, fullList, all)
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("1", gone)})
	expectMembers(t, m, startTime.Add(departureRetention-time.Second), "2 ready")
	if at := m.nextDeadline(); !at.Equal(startTime.Add(departureRetention)) {
		t.Errorf("next %v", at)
	}
	expectMembers(t, m, startTime.Add(departureRetention), "1 ready", "2 ready")
	// And at once where it has started since.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("2", gone)})
	later := named("2", ready)
	later.SinceMS = startTime.Add(time.Second).UnixMilli()
	m.apply(startTime, 0, changedEntries, []endpointlist.Endpoint{later})
	expectMembers(t, m, startTime, "1 ready", "2 ready")
}

func TestEmptyIsHeld(t *testing.T) {
	m := newMerger(30*time.Second, sourceTraits{}, sourceTraits{trustsEmpty: true})
	m.apply(startTime, 0, fullList, nil) // from the start: nothing to hold
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready), named("2", draining)})
	m.apply(startTime.Add(time.Second), 0, fullList, nil)
	m.apply(startTime.Add(20*time.Second), 0, fullList, nil) // does not begin the wait anew
	expectMembers(t, m, startTime.Add(30*time.Second), "1 ready", "2 draining")
	if at := m.nextDeadline(); !at.Equal(startTime.Add(31 * time.Second)) {
		t.Errorf("next %v", at)
	}
	expectMembers(t, m, startTime.Add(31*time.Second))
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)})
	m.apply(startTime, 0, fullList, nil)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)}) // it was a fault
	expectMembers(t, m, startTime.Add(time.Hour), "1 ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{named("7", ready)})
	m.apply(startTime, 1, fullList, nil) // a configuration means it
	expectMembers(t, m, startTime, "1 ready")
}

func TestNames(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{partial: true}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("1", ready)})
	expectMembers(t, m, startTime, "10.0.0.1:1 ready")
	first := named("1", ready)
	first.Group, first.Zone = 4, "b"
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{first})
	if got := m.members(startTime); len(got) != 1 || got[0] != first {
		t.Errorf("members %+v", got)
	}
	// Gone, told by name, goes for the address too: nobody else knows it under another name.
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{{Name: "1", Status: gone}})
	expectMembers(t, m, startTime)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("1", ready)}) // gone stands against the other's word
	expectMembers(t, m, startTime)
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{withoutName("2", draining)}) // told of an address: goes for who is there
	m.apply(startTime, 1, changedEntries, []endpointlist.Endpoint{named("2", ready)})
	expectMembers(t, m, startTime, "2 draining")
}

// Names that differ do not make two members of one address, and don't hide a drain; another process at the address of
// one that has gone is no dead one.
func TestOneAddress(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	at := func(name, status string, since int64) endpointlist.Endpoint {
		return endpointlist.Endpoint{Name: name, Address: "10.0.0.9:1", Status: status, SinceMS: since}
	}
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{at("ours", ready, 0)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{at("theirs", draining, 0)})
	expectMembers(t, m, startTime, "ours draining")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{at("next", ready, 50)})
	expectMembers(t, m, startTime, "next ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{at("old", draining, 50), at("new", ready, 60)})
	expectMembers(t, m, startTime, "new ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "elsewhere", Address: "10.0.0.8:1", Status: ready}})
	expectMembers(t, m, startTime, "elsewhere ready")
	// A name at two addresses: as sources differ, both count, and a drain goes for both.
	m = newMerger(time.Minute, sourceTraits{}, sourceTraits{})
	m.apply(startTime, 0, fullList, []endpointlist.Endpoint{named("1", ready)})
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "1", Address: "10.0.1.1:1", Status: ready}})
	expectMembers(t, m, startTime, "1 ready", "1@10.0.1.1:1 ready")
	m.apply(startTime, 1, fullList, []endpointlist.Endpoint{{Name: "1", Address: "10.0.1.1:1", Status: draining}})
	expectMembers(t, m, startTime, "1 draining", "1@10.0.1.1:1 draining")
}

func TestMemberBound(t *testing.T) {
	m := newMerger(time.Minute, sourceTraits{})
	var many []endpointlist.Endpoint
	for i := range maxMembers + 5 {
		many = append(many, endpointlist.Endpoint{Name: fmt.Sprintf("%06d", i), Address: fmt.Sprint(i), Status: ready})
	}
	m.apply(startTime, 0, fullList, many)
	if n := len(m.members(startTime)); n != maxMembers || m.truncated != 5 {
		t.Errorf("%d members, %d left out", n, m.truncated)
	}
}

// What one source makes a merger hold is bounded, whatever it tells.
func TestSourceBound(t *testing.T) {
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
		t.Errorf("%d entries, %d departures", len(s.entries), len(s.departures))
	}
}

// Against a plain model, over drawn words: no member is ready that some source's last word has draining or gone, none is
// listed that no source lists, and a source out of reach changes nothing.
func TestMergeModel(t *testing.T) {
	d := rand.New(rand.NewPCG(4, 2))
	for round := range 300 {
		const sources = 3
		traits := []sourceTraits{{}, {partial: d.IntN(2) == 0}, {trustsEmpty: d.IntN(2) == 0}}
		m := newMerger(10*time.Second, traits...)
		last := make([]map[string]string, sources) // status by name, as told last
		for i := range last {
			last[i] = map[string]string{}
		}
		now := startTime
		for step := range 60 {
			now = now.Add(time.Duration(d.IntN(3000)) * time.Millisecond)
			i := d.IntN(sources)
			before := namesAndStatuses(m.members(now))
			switch d.IntN(4) {
			case 0:
				m.apply(now, i, unreachable, nil)
				if after := namesAndStatuses(m.members(now)); !slices.Equal(before, after) {
					t.Fatalf("out of reach changed %q to %q", before, after)
				}
			case 1:
				e := named(fmt.Sprint(d.IntN(6)), []string{ready, draining, gone}[d.IntN(3)])
				m.apply(now, i, changedEntries, []endpointlist.Endpoint{e})
				last[i][e.Name] = e.Status
			default:
				var list []endpointlist.Endpoint
				for n := range 6 {
					if d.IntN(2) == 0 {
						list = append(list, named(fmt.Sprint(n), []string{ready, ready, draining}[d.IntN(3)]))
					}
				}
				m.apply(now, i, fullList, list)
				if len(list) == 0 {
					continue // may be held back; the next word settles it
				}
				for name, status := range last[i] {
					if status != gone && !slices.ContainsFunc(list, func(e endpointlist.Endpoint) bool { return e.Name == name }) {
						last[i][name] = gone
						if traits[i].partial {
							delete(last[i], name)
						}
					}
				}
				for _, e := range list {
					last[i][e.Name] = e.Status
				}
			}
			for _, e := range m.members(now) {
				listed := false
				for j := range last {
					status := last[j][e.Name]
					listed = listed || status == ready || status == draining
					if e.Status == ready && (status == draining || status == gone && now.Sub(startTime) < departureRetention) {
						t.Fatalf("round %d step %d: %s is ready, source %d said %s", round, step, e.Name, j, status)
					}
				}
				if !listed {
					t.Fatalf("round %d step %d: %s is listed by nobody", round, step, e.Name)
				}
			}
		}
	}
}
