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

// startFleetWithViews starts n instances with views, all of them voters. The links between them can be severed.
func startFleetWithViews(t *testing.T, n int) ([]*Fleet, *lbtest.Links) {
	t.Helper()
	links := lbtest.NewLinks()
	t.Cleanup(links.Close)
	var transports []*Transport
	var seeds, voters []string
	for i := range n {
		transport, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		transports, seeds, voters = append(transports, transport), append(seeds, transport.Addr()), append(voters, fmt.Sprint("i", i))
	}
	var instances []*Fleet
	for i, transport := range transports {
		f, err := Start(Options{FleetName: "f", Name: voters[i], Listen: transport.Addr(), Seeds: seeds, Keyring: [][]byte{make([]byte, 32)}, Voters: voters, MaxMembers: 64,
			MaxKeys: 1 << 10, NewFleet: true, MaxDeadline: time.Second, KeyRetention: 10 * time.Second, ProbeInterval: 200 * time.Millisecond, Views: true,
			Transport: links.Wrap(i, transport, transport.Addr()), Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		instances = append(instances, f)
	}
	return instances, links
}

// haveViewOf returns a condition: each instance has a quorum and a view with the given number of members.
func haveViewOf(instances []*Fleet, members int) func() bool {
	return func() bool {
		for _, f := range instances {
			if reachability, _ := f.Reachability(); len(reachability.Members) != members || !reachability.HasQuorum {
				return false
			}
		}
		return true
	}
}

// Five instances form one view over real sockets. In a partition, the smaller part detects that it is isolated and falls back to
// the minimal quota, and the larger part divides the limits among its three members. The quotas of both parts therefore exceed
// the limits by no more than the minimal quotas. After the partition all instances share one view again. An instance that is
// closed or leaves is removed from the view.
func TestViewFollowsPartitionsAndDepartures(t *testing.T) {
	t.Parallel()
	instances, links := startFleetWithViews(t, 5)
	lbtest.Until(t, "all are in one view", haveViewOf(instances, 5))
	for i, f := range instances {
		lbtest.Until(t, "each instance has its own fifth of the limits", func() bool { return f.Quota() == Quota{Instances: 5, Index: i} })
	}
	links.Sever([]int{0, 1}, []int{2, 3, 4})
	links.Sever([]int{2, 3, 4}, []int{0, 1})
	for _, f := range instances[:2] {
		lbtest.Until(t, "the smaller part is isolated and keeps its view", func() bool {
			reachability, _ := f.Reachability()
			return reachability.Isolated && len(reachability.Members) == 5
		})
		lbtest.Until(t, "the smaller part has the minimal quota", func() bool { return f.Quota().Instances == minimalQuotaInstances })
	}
	for _, f := range instances[2:] {
		lbtest.Until(t, "the larger part divides the limits among three members", func() bool { return f.Quota().Instances == 3 })
	}
	if n := instances[0].Quota().Instances; n != minimalQuotaInstances {
		t.Errorf("quota of the smaller part is among %d instances, want minimalQuotaInstances", n)
	}
	links.Heal()
	lbtest.Until(t, "all are in one view again", haveViewOf(instances, 5))
	instances[4].Close()
	lbtest.Until(t, "the closed instance is removed from the view", haveViewOf(instances[:4], 4))
	instances[3].Leave(time.Second)
	lbtest.Until(t, "the departed instance is removed from the view", haveViewOf(instances[:3], 3))
	for _, m := range instances[0].Members() {
		if want := map[string]string{"i3": "left", "i4": "dead"}[m.Name]; want != "" && m.State != want {
			t.Errorf("removed member %s has the wrong state %s", m.Name, m.State)
		}
	}
}

// A member whose messages reach no other member, or that receives no messages, is removed from the view and detects it. No other
// member is removed, neither during the partition nor after it.
func TestOneWayPartitionRemovesOnlyIsolatedMember(t *testing.T) {
	t.Parallel()
	for _, cannotSend := range []bool{true, false} {
		t.Run(fmt.Sprint(cannotSend), func(t *testing.T) {
			t.Parallel()
			instances, links := startFleetWithViews(t, 5)
			lbtest.Until(t, "all are in one view", haveViewOf(instances, 5))
			if cannotSend {
				links.Sever([]int{4}, []int{0, 1, 2, 3})
			} else {
				links.Sever([]int{0, 1, 2, 3}, []int{4})
			}
			lbtest.Until(t, "the partitioned member is isolated or has no view", func() bool {
				reachability, _ := instances[4].Reachability()
				return reachability.Isolated || reachability.Number == 0
			})
			lbtest.Until(t, "the partitioned member is removed from the view", haveViewOf(instances[:4], 4))
			before, _ := instances[0].Reachability()
			links.Heal()
			lbtest.Until(t, "all are in one view again", haveViewOf(instances, 5))
			if after, _ := instances[0].Reachability(); after.Number != before.Number+1 || !slices.Equal(after.Members, []string{"i0", "i1", "i2", "i3", "i4"}) {
				t.Errorf("got view %d after view %d, want the next number and all five members: another member was removed", after.Number, before.Number)
			}
		})
	}
}

// One member, or three of the four observers of a member, repeatedly report to all members that they suspect the member, which is
// running and reachable. It must not be removed: a member that receives its messages accepts no view without it.
func TestFalseSuspicionsRemoveNoMember(t *testing.T) {
	t.Parallel()
	for _, accusers := range []int{1, 3} {
		t.Run(fmt.Sprint(accusers), func(t *testing.T) {
			t.Parallel()
			instances, _ := startFleetWithViews(t, 5)
			lbtest.Until(t, "all are in one view", haveViewOf(instances, 5))
			before, _ := instances[0].Reachability()
			stop := make(chan struct{})
			var reporters sync.WaitGroup
			reportsSent := make([]int, accusers)
			for i := range accusers {
				reporters.Go(func() {
					host := instances[4-i].membership
					for {
						host.mu.Lock()
						if view := host.core.View(); view != nil {
							accused := view.Members[0]
							for _, m := range view.Members {
								if m.Name != host.fleet.options.Name {
									host.outgoing <- membership.Envelope{To: m, Message: &membership.Message{Kind: membership.Report, Lineage: view.Lineage, ViewNumber: view.Number,
										From: membership.Member{Name: host.fleet.options.Name, Address: host.fleet.Addr(), Incarnation: host.fleet.process}, Suspects: []membership.Member{accused}}}
								}
							}
							reportsSent[i]++
						}
						host.mu.Unlock()
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
					}
				})
			}
			time.Sleep(2 * time.Second) // ten probe intervals
			close(stop)
			reporters.Wait()
			lbtest.Until(t, "all are in one view again", haveViewOf(instances, 5))
			after, _ := instances[1].Reachability()
			if after.Number != before.Number {
				t.Errorf("got view %d after view %d, want the same view", after.Number, before.Number)
			}
			if reportsSent[0] < 20 {
				t.Errorf("too few false reports for a meaningful test: got %d, want at least 20", reportsSent[0])
			}
		})
	}
}
