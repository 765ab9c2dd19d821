package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/testkit/lbtest"
)

// startFleetWithViews starts n instances that go by views, all of them voters, with ways between them that can be cut.
func startFleetWithViews(t *testing.T, n int) ([]*Fleet, *lbtest.Links) {
	t.Helper()
	links := lbtest.NewLinks()
	t.Cleanup(links.Close)
	var sockets []*Transport
	var seeds, voters []string
	for i := range n {
		s, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sockets, seeds, voters = append(sockets, s), append(seeds, s.Addr()), append(voters, fmt.Sprint("i", i))
	}
	var all []*Fleet
	for i, s := range sockets {
		f, err := Start(Options{FleetName: "f", Name: voters[i], Listen: s.Addr(), Seeds: seeds, Keyring: [][]byte{make([]byte, 32)}, Voters: voters, MaxMembers: 64,
			MaxKeys: 1 << 10, NewFleet: true, MaxDeadline: time.Second, KeyRetention: 10 * time.Second, ProbeInterval: 200 * time.Millisecond, Views: true,
			Transport: links.Wrap(i, s, s.Addr()), Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		all = append(all, f)
	}
	return all, links
}

func haveViewOf(all []*Fleet, members int) func() bool {
	return func() bool {
		for _, f := range all {
			if r, _ := f.Reachability(); len(r.Members) != members || !r.HasQuorum {
				return false
			}
		}
		return true
	}
}

// Over real sockets: all meet in one view; parts of a fleet that is cut know which they are, and what each takes of the
// whole never adds up to more than all but what is safe; an instance that is closed is out and its part taken over;
// healed, all are one again.
func TestViewFollowsPartitionsAndDepartures(t *testing.T) {
	t.Parallel()
	all, links := startFleetWithViews(t, 5)
	lbtest.Until(t, "all are in one view", haveViewOf(all, 5))
	for i, f := range all {
		lbtest.Until(t, "shares", func() bool { return f.Quota() == Quota{Instances: 5, Index: i} })
	}
	links.Sever([]int{0, 1}, []int{2, 3, 4})
	links.Sever([]int{2, 3, 4}, []int{0, 1})
	for _, f := range all[:2] {
		lbtest.Until(t, "the smaller part knows it", func() bool { r, _ := f.Reachability(); return r.Isolated && len(r.Members) == 5 })
		lbtest.Until(t, "and takes as good as nothing", func() bool { return f.Quota().Instances == minimalQuotaInstances })
	}
	for _, f := range all[2:] {
		lbtest.Until(t, "the larger part takes over", func() bool { return f.Quota().Instances == 3 })
	}
	if n := all[0].Quota().Instances; n != minimalQuotaInstances {
		t.Errorf("the smaller part counts %d", n)
	}
	links.Heal()
	lbtest.Until(t, "all are in one view again", haveViewOf(all, 5))
	all[4].Close()
	lbtest.Until(t, "the one that ended is out", haveViewOf(all[:4], 4))
	all[3].Leave(time.Second)
	lbtest.Until(t, "the one that left is out", haveViewOf(all[:3], 3))
	for _, m := range all[0].Members() {
		if want := map[string]string{"i3": "left", "i4": "dead"}[m.Name]; want != "" && m.State != want {
			t.Errorf("%s is %s", m.Name, m.State)
		}
	}
}

// One that nobody hears, and one that hears nobody, are out and know it; no other is, then or when the way heals.
func TestOneWayPartitionRemovesOnlyIsolatedMember(t *testing.T) {
	t.Parallel()
	for _, mute := range []bool{true, false} {
		t.Run(fmt.Sprint(mute), func(t *testing.T) {
			t.Parallel()
			all, links := startFleetWithViews(t, 5)
			lbtest.Until(t, "all are in one view", haveViewOf(all, 5))
			if mute {
				links.Sever([]int{4}, []int{0, 1, 2, 3})
			} else {
				links.Sever([]int{0, 1, 2, 3}, []int{4})
			}
			lbtest.Until(t, "it knows", func() bool { r, _ := all[4].Reachability(); return r.Isolated || r.Number == 0 })
			lbtest.Until(t, "it is out", haveViewOf(all[:4], 4))
			before, _ := all[0].Reachability()
			links.Heal()
			lbtest.Until(t, "all are in one view again", haveViewOf(all, 5))
			if after, _ := all[0].Reachability(); after.Number != before.Number+1 || !slices.Equal(after.Members, []string{"i0", "i1", "i2", "i3", "i4"}) {
				t.Errorf("view %d after view %d: somebody else was out meanwhile", after.Number, before.Number)
			}
		})
	}
}

// Some accuse another again and again, to all, whatever they hear: one alone, and as many as most of its observers are. Nobody
// is out for it: who hears a member that is to go agrees to no view without it.
func TestFalseSuspicionsRemoveNoMember(t *testing.T) {
	t.Parallel()
	for _, liars := range []int{1, 3} {
		t.Run(fmt.Sprint(liars), func(t *testing.T) {
			t.Parallel()
			all, _ := startFleetWithViews(t, 5)
			lbtest.Until(t, "all are in one view", haveViewOf(all, 5))
			before, _ := all[0].Reachability()
			stop := make(chan struct{})
			var lying sync.WaitGroup
			told := make([]int, liars)
			for i := range liars {
				lying.Go(func() {
					v := all[4-i].membership
					for {
						v.mu.Lock()
						if view := v.core.View(); view != nil {
							victim := view.Members[0]
							for _, m := range view.Members {
								if m.Name != v.fleet.options.Name {
									v.outgoing <- membership.Envelope{To: m, Message: &membership.Message{Kind: membership.Report, Lineage: view.Lineage, ViewNumber: view.Number,
										From: membership.Member{Name: v.fleet.options.Name, Address: v.fleet.Addr(), Incarnation: v.fleet.process}, Suspects: []membership.Member{victim}}}
								}
							}
							told[i]++
						}
						v.mu.Unlock()
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
					}
				})
			}
			time.Sleep(2 * time.Second) // ten beats
			close(stop)
			lying.Wait()
			lbtest.Until(t, "all are in one view again", haveViewOf(all, 5))
			after, _ := all[1].Reachability()
			if after.Number != before.Number {
				t.Errorf("view %d after view %d", after.Number, before.Number)
			}
			if told[0] < 20 {
				t.Errorf("lied %d times: tests little", told[0])
			}
		})
	}
}
