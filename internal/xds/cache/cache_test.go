package cache

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

const deferTime = 30 * time.Second

// applyState applies a numbered state of a control plane. A state has two clusters, one of which may be removed, and their endpoint
// sets, whose only endpoint has the number as its address.
func applyState(cache *Cache, now time.Time, stream updateorder.Stream, state int, complete, setsFirst bool) {
	resource := func(k ads.Kind, name string, content int) Resource {
		r := Resource{Name: name, Version: fmt.Sprint(state), Digest: updateorder.Digest{1, byte(content), byte(content >> 8), byte(k), name[0]}, Raw: []byte{1}}
		if k == ads.Clusters {
			r.Cluster = &Cluster{ServiceName: name + "-set"}
		} else {
			r.Set = &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Endpoints: []Endpoint{{Address: fmt.Sprint(content), Weight: 1}}}}}
		}
		return r
	}
	clusters := Response{Kind: ads.Clusters, Version: fmt.Sprint(state), Complete: complete}
	endpoints := Response{Kind: ads.Endpoints, Version: fmt.Sprint(state)}
	for j, name := range []string{"a", "b"} {
		if isRemovedIn(state, j) {
			clusters.Removed = append(clusters.Removed, name)
			continue
		}
		clusters.Resources = append(clusters.Resources, resource(ads.Clusters, name, (state+1-j)/5)) // the content changes after each removal
		endpoints.Resources = append(endpoints.Resources, resource(ads.Endpoints, name+"-set", state))
	}
	if complete {
		clusters.Removed = nil
	}
	if setsFirst {
		cache.Apply(now, stream, endpoints)
	}
	cache.Apply(now, stream, clusters)
	cache.Apply(now, stream, endpoints)
}

// isRemovedIn reports whether the cluster of an index is removed in a state.
func isRemovedIn(state, cluster int) bool { return state%5 == 3+cluster }

// withheld stands for a cluster of which no endpoint is used.
const withheld = "withheld"

// addressOf returns the address of the endpoint that a cluster uses, or the cluster's state if the cluster is not ready.
func addressOf(cache *Cache, now time.Time, cluster int) string {
	view := cache.View(now, []string{"a", "b"}[cluster])
	if view.State != Ready {
		return view.State.String()
	}
	for _, e := range view.AssignTraffic(AllPriorities) {
		if e.Use == Used {
			return e.Address
		}
	}
	return withheld
}

// addressWithCandidates returns what addressOf has to return if a cluster's current state alone would give want. Each state's endpoint differs, so
// that none is used while another endpoint set may be newer.
func addressWithCandidates(cache *Cache, cluster int, want string) string {
	name := []string{"a", "b"}[cluster]
	switch {
	case want == Removed.String():
		return want
	case slices.Contains(cache.order.Candidates(resourcePrefix(ads.Clusters)+name), updateorder.Absent):
		return Removed.String()
	case len(cache.order.Candidates(resourcePrefix(ads.Endpoints)+name+"-set")) > 0:
		return withheld
	}
	return want
}

// A control plane has numbered states, and its servers may lag. Streams break at random, reconnect to a server with an older state
// and catch up. The newest state that was received must stay current until a server has stayed on an older state for the defer time:
// nothing else is used, and it is used except for what a state that may be newer does not use. At the end the state of the last server
// must be current.
func TestNewestStateIsCurrentAfterInterleavedUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := New(Options{DeferTime: deferTime, ResourceTimeout: time.Hour})
		now := time.Unix(1_800_000_000, 0)
		cache.SetClustersInUse(now, []string{"a", "b"})
		stream, newest, serverState := updateorder.Stream(1), 0, 0 // newest is the state of the control plane, serverState that of the active server
		current := 0
		cache.StreamStarted(now, stream, "p")
		applyState(cache, now, stream, 0, true, false)
		check := func() {
			cache.Advance(now)
			for j := range 2 {
				want := fmt.Sprint(current)
				if isRemovedIn(current, j) {
					want = Removed.String()
				}
				want = addressWithCandidates(cache, j, want)
				if got := addressOf(cache, now, j); got != want {
					t.Fatalf("cluster %d is %s, want %s; the server is at state %d, the newest is %d", j, got, want, serverState, newest)
				}
			}
		}
		checkSettled := func() {
			for j := range 2 {
				if got := addressOf(cache, now, j); got != fmt.Sprint(current) && !isRemovedIn(current, j) {
					t.Fatalf("cluster %d is %s after the defer time, want %d", j, got, current)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"new state", "catch up", "break", "repeat"}).Draw(t, "event") {
			case "new state": // a lagging server catches up first, because an old state that was never received would count as new
				for serverState < newest {
					serverState++
					applyState(cache, now, stream, serverState, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				}
				newest++
				serverState = newest
				applyState(cache, now, stream, serverState, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				current = newest
			case "catch up":
				if serverState < newest {
					serverState++
				}
				applyState(cache, now, stream, serverState, true, true)
			case "break":
				cache.StreamEnded(stream)
				stream++
				serverState = max(newest-rapid.IntRange(0, 6).Draw(t, "lag"), 0)
				cache.StreamStarted(now, stream, "p")
				applyState(cache, now, stream, serverState, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)
			case "repeat":
				applyState(cache, now, stream, serverState, true, false)
			}
			if serverState < current && serverState == newest {
				t.Fatal("error in the test: the server is at the newest state, which is older than the current one")
			}
			// An older state becomes current once a server has stayed on it for the defer time.
			if next := cache.NextDeadline(now); !next.IsZero() && next.Before(now) {
				t.Fatalf("next deadline is %v, which is in the past", next)
			}
			if serverState < newest && rapid.IntRange(0, 9).Draw(t, "stands") == 0 {
				now = now.Add(deferTime)
				cache.Advance(now)
				current, newest = serverState, serverState                // an intended rollback: the later states are void
				applyState(cache, now, stream, serverState, false, false) // the endpoint sets of clusters that are present again are now subscribed to
				check()
				checkSettled()
				return
			}
			check()
		}
		cache.StreamEnded(stream)
		cache.StreamStarted(now, stream+1, "p")
		applyState(cache, now, stream+1, serverState, true, false)
		now = now.Add(deferTime)
		cache.Advance(now)
		applyState(cache, now, stream+1, serverState, false, false)
		current = serverState
		check()
		checkSettled()
	})
}

// The loads of two priorities are those that Envoy's documentation gives for an overprovisioning factor of 1.4.
func TestPriorityLoadMatchesEnvoyDocumentation(t *testing.T) {
	for _, c := range []struct {
		healthy0, degraded0, healthy1 int // of 100 endpoints per priority
		load0, degradedLoad0, load1   float64
	}{
		{100, 0, 100, 1, 0, 0}, {72, 0, 72, 1, 0, 0}, {71, 0, 71, 0.994, 0, 0.006}, {50, 0, 50, 0.7, 0, 0.3}, {25, 0, 100, 0.35, 0, 0.65},
		{25, 0, 25, 0.5, 0, 0.5}, {0, 0, 100, 0, 0, 1}, {50, 50, 0, 0.7, 0.3, 0}, {40, 20, 20, 0.56, 0.16, 0.28},
	} {
		set := &EndpointSet{Overprovisioning: 1.4}
		addLocality := func(priority, healthy, degraded int) {
			locality := Locality{Priority: priority}
			for i := range 100 {
				health := Unhealthy
				if i < healthy {
					health = Healthy
				} else if i < healthy+degraded {
					health = Degraded
				}
				locality.Endpoints = append(locality.Endpoints, Endpoint{Address: fmt.Sprint(priority, i), Weight: 1, Health: health})
			}
			set.Localities = append(set.Localities, locality)
		}
		addLocality(0, c.healthy0, c.degraded0)
		addLocality(1, c.healthy1, 0)
		load, sum := map[string]float64{}, 0.0
		for _, assigned := range AssignTraffic(&Cluster{PanicThreshold: 0}, set, false, AllPriorities) {
			if assigned.Use == Used {
				load[fmt.Sprint(assigned.Locality.Priority, assigned.Health)] += assigned.TrafficShare
				sum += assigned.TrafficShare
			}
		}
		for at, want := range map[string]float64{"0 healthy": c.load0, "0 degraded": c.degradedLoad0, "1 healthy": c.load1} {
			if got := load[at] / sum; got < want-0.005 || got > want+0.005 {
				t.Errorf("%+v: %s gets %.3f, want %.3f", c, at, got, want)
			}
		}
	}
}

// Panic mode uses all endpoints that are not draining, and a panic threshold of 0 disables it. The endpoints of a stale set count as
// unhealthy. A single priority gets all traffic if it is selected. Locality weights apply only if the cluster enables them.
func TestTrafficIsAssignedByPriorityHealthAndLocality(t *testing.T) {
	endpoint := func(address string, health Health, weight uint32) Endpoint {
		return Endpoint{Address: address, Health: health, Weight: weight}
	}
	set := &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Weight: 1, Endpoints: []Endpoint{endpoint("1", Unhealthy, 1), endpoint("2", Draining, 1), endpoint("3", Unhealthy, 1)}},
		{Priority: 1, Weight: 3, Endpoints: []Endpoint{endpoint("4", Healthy, 1), endpoint("5", Healthy, 2)}}}}
	unhealthy := &EndpointSet{Overprovisioning: 1.4, Localities: set.Localities[:1]}
	samePriority := &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Weight: 1, Endpoints: []Endpoint{endpoint("1", Healthy, 1)}}, {Weight: 3, Zone: "z", Endpoints: []Endpoint{endpoint("2", Healthy, 1), endpoint("3", Healthy, 2)}}}}
	for _, c := range []struct {
		cluster  Cluster
		set      *EndpointSet
		stale    bool
		priority int
		want     string
	}{
		{Cluster{PanicThreshold: 0.5}, set, false, AllPriorities, "4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, set, false, 0, "1=1.00 3=1.00"},
		{Cluster{PanicThreshold: 0}, set, false, 0, ""},
		{Cluster{PanicThreshold: 0.5}, set, false, 1, "4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, set, true, AllPriorities, "1=0.75 3=0.75 4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, unhealthy, false, AllPriorities, "1=1.00 3=1.00"},
		{Cluster{PanicThreshold: 0.5, LocalityWeighted: true}, samePriority, false, AllPriorities, "1=0.50 2=0.50 3=1.00"},
		{Cluster{PanicThreshold: 0.5}, samePriority, false, AllPriorities, "1=0.50 2=0.50 3=1.00"},
	} {
		var got []string
		for _, assigned := range AssignTraffic(&c.cluster, c.set, c.stale, c.priority) {
			if assigned.Use == Used {
				got = append(got, fmt.Sprintf("%s=%.2f", assigned.Address, assigned.TrafficShare))
			}
		}
		if fmt.Sprint(got) != "["+c.want+"]" {
			t.Errorf("cluster %+v, priority %d: traffic shares are %v, want %s", c.cluster, c.priority, got, c.want)
		}
	}
	if fraction := (&EndpointSet{DropOverloads: []DropOverload{{"a", 0.5}, {"b", 0.2}}}).DropFraction(); fraction < 0.599 || fraction > 0.601 {
		t.Errorf("drop fraction is %g, want 0.6", fraction)
	}
}

// An endpoint set that has reached its maximum age is stale until its control plane sends it again, changed or not. A resource that is
// in use again within the retention time is present without a new response, and is requested again after that time. A rejected
// update is reported, and the resource before it stays current.
func TestStaleSetIsReportedAndUnusedResourceIsDeleted(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cache := New(Options{DeferTime: deferTime, ResourceTimeout: time.Second})
	cache.SetClustersInUse(now, []string{"a"})
	cache.StreamStarted(now, 1, "p")
	setResponse := func(version byte, staleAfter time.Duration) Response {
		return Response{Kind: ads.Endpoints, Resources: []Resource{{Name: "s", Version: fmt.Sprint(version), Digest: updateorder.Digest{version}, Set: &EndpointSet{StaleAfter: staleAfter}}}}
	}
	checkView := func(state State, stale bool) {
		t.Helper()
		cache.Advance(now)
		if v := cache.View(now, "a"); v.State != state || v.Stale != stale {
			t.Errorf("view is %v with stale %v, want %v with stale %v", v.State, v.Stale, state, stale)
		}
	}
	cache.Apply(now, 1, Response{Kind: ads.Clusters, Resources: []Resource{{Name: "a", Digest: updateorder.Digest{1}, Cluster: &Cluster{ServiceName: "s"}}}})
	checkView(Pending, false)
	now = now.Add(2 * time.Second)
	checkView(Missing, false)
	cache.Apply(now, 1, setResponse(1, 5*time.Second))
	checkView(Ready, false)
	cache.TakeChanged()
	if deadline := cache.NextDeadline(now); !deadline.Equal(now.Add(5 * time.Second)) {
		t.Errorf("next deadline in %v, want 5 s", deadline.Sub(now))
	}
	now = now.Add(5 * time.Second)
	checkView(Ready, true)
	if c := cache.TakeChanged(); len(c) != 1 {
		t.Errorf("changed clusters are %v, want one", c)
	}
	cache.Apply(now, 1, setResponse(1, 5*time.Second)) // sent again without a change
	checkView(Ready, false)
	if c := cache.TakeChanged(); len(c) != 1 {
		t.Errorf("changed clusters are %v, want one", c)
	}
	cache.Apply(now, 1, setResponse(2, 0))
	cache.SetClustersInUse(now, nil)
	now = now.Add(unusedRetention / 2)
	cache.Advance(now)
	cache.SetClustersInUse(now, []string{"a"})
	checkView(Ready, false)
	cache.Apply(now, 1, Response{Kind: ads.Endpoints, Rejections: []Rejection{{"s", "3", "bad"}}})
	checkView(Ready, false)
	if status := cache.Status(); status[1].RejectionReason != "bad" || status[1].RejectedVersion != "3" || status[1].Version != "2" || status[1].Source != "p" {
		t.Errorf("status is %+v, want version 2 from p and version 3 rejected as bad", status)
	}
	cache.SetClustersInUse(now, nil)
	cache.Advance(now)
	now = now.Add(unusedRetention)
	cache.Advance(now)
	if status := cache.Status(); len(status) != 0 {
		t.Errorf("status is %+v, want no resources", status)
	}
	cache.SetClustersInUse(now, []string{"a"})
	checkView(Pending, false)
}
