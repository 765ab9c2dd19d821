package cache

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/base/updateorder"
	"silvertrail/internal/xds/ads"
)

const hold = 30 * time.Second

// applyState applies a numbered state of a control plane: two clusters, either of which may be removed, whose endpoint sets hold the
// number as an address.
func applyState(s *Cache, now time.Time, stream updateorder.Stream, n int, whole, setsFirst bool) {
	item := func(k ads.Kind, name string, of int) Resource {
		i := Resource{Name: name, Version: fmt.Sprint(n), Digest: updateorder.Digest{1, byte(of), byte(of >> 8), byte(k), name[0]}, Raw: []byte{1}}
		if k == ads.Clusters {
			i.Cluster = &Cluster{ServiceName: name + "-set"}
		} else {
			i.Set = &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Endpoints: []Endpoint{{Address: fmt.Sprint(of), Weight: 1}}}}}
		}
		return i
	}
	c := Response{Kind: ads.Clusters, Version: fmt.Sprint(n), Complete: whole}
	e := Response{Kind: ads.Endpoints, Version: fmt.Sprint(n)}
	for j, name := range []string{"a", "b"} {
		if isRemovedIn(n, j) {
			c.Removed = append(c.Removed, name)
			continue
		}
		c.Resources = append(c.Resources, item(ads.Clusters, name, (n+1-j)/5)) // another content each time that it was removed
		e.Resources = append(e.Resources, item(ads.Endpoints, name+"-set", n))
	}
	if whole {
		c.Removed = nil
	}
	if setsFirst {
		s.Apply(now, stream, e)
	}
	s.Apply(now, stream, c)
	s.Apply(now, stream, e)
}

func isRemovedIn(n, cluster int) bool { return n%5 == 3+cluster }

func addressOf(s *Cache, now time.Time, j int) string {
	v := s.View(now, []string{"a", "b"}[j])
	if v.State != Ready {
		return v.State.String()
	}
	return v.Set.Localities[0].Endpoints[0].Address
}

// A control plane whose states are numbered, and whose servers lag: whatever streams break, return with older states and catch up, the
// newest state that was received is in force until a server has stayed on an older one for the defer time; and in the end the state of
// the last server is.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{DeferTime: hold, ResourceTimeout: time.Hour})
		now := time.Unix(1_800_000_000, 0)
		s.SetClustersInUse(now, []string{"a", "b"})
		stream, newest, at := updateorder.Stream(1), 0, 0 // of the control plane, and of the active server
		inForce := 0
		s.StreamStarted(now, stream, "p")
		applyState(s, now, stream, 0, true, false)
		check := func() {
			s.Advance(now)
			for j := range 2 {
				want := fmt.Sprint(inForce)
				if isRemovedIn(inForce, j) {
					want = Removed.String()
				}
				if got := addressOf(s, now, j); got != want {
					t.Fatalf("cluster %d is %s, want %s; the server is at %d of %d", j, got, want, at, newest)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"new state", "catch up", "break", "repeat"}).Draw(t, "event") {
			case "new state": // a server that lags catches up first: an old state that was never received would be taken as new
				for at < newest {
					at++
					applyState(s, now, stream, at, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				}
				newest++
				at = newest
				applyState(s, now, stream, at, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				inForce = newest
			case "catch up":
				if at < newest {
					at++
				}
				applyState(s, now, stream, at, true, true)
			case "break":
				s.StreamEnded(stream)
				stream++
				at = max(newest-rapid.IntRange(0, 6).Draw(t, "lag"), 0)
				s.StreamStarted(now, stream, "p")
				applyState(s, now, stream, at, rapid.Bool().Draw(t, "whole"), rapid.Bool().Draw(t, "sets first"))
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)
			case "repeat":
				applyState(s, now, stream, at, true, false)
			}
			if at < inForce && at == newest {
				t.Fatal("the test's own fault")
			}
			// A state counts once a server has stayed on it for the defer time.
			if next := s.NextDeadline(now); !next.IsZero() && next.Before(now) {
				t.Fatalf("due at %v, which is over", next)
			}
			if at < newest && rapid.IntRange(0, 9).Draw(t, "stands") == 0 {
				now = now.Add(hold)
				s.Advance(now)
				inForce, newest = at, at                     // an intended rollback: the states after it never existed
				applyState(s, now, stream, at, false, false) // endpoint sets of clusters that are present again are subscribed to
				check()
				return
			}
			check()
		}
		s.StreamEnded(stream)
		s.StreamStarted(now, stream+1, "p")
		applyState(s, now, stream+1, at, true, false)
		now = now.Add(hold)
		s.Advance(now)
		applyState(s, now, stream+1, at, false, false)
		inForce = at
		check()
	})
}

// Envoy's documentation gives these loads for two priorities at an overprovisioning factor of 1.4.
func TestPriorityLoad(t *testing.T) {
	for _, c := range []struct {
		healthy0, degraded0, healthy1 int // of 100 each
		load0, degr0, load1           float64
	}{
		{100, 0, 100, 1, 0, 0}, {72, 0, 72, 1, 0, 0}, {71, 0, 71, 0.994, 0, 0.006}, {50, 0, 50, 0.7, 0, 0.3}, {25, 0, 100, 0.35, 0, 0.65},
		{25, 0, 25, 0.5, 0, 0.5}, {0, 0, 100, 0, 0, 1}, {50, 50, 0, 0.7, 0.3, 0}, {40, 20, 20, 0.56, 0.16, 0.28},
	} {
		s := &EndpointSet{Overprovisioning: 1.4}
		fill := func(level, healthy, degraded int) {
			l := Locality{Priority: level}
			for i := range 100 {
				h := Unhealthy
				if i < healthy {
					h = Healthy
				} else if i < healthy+degraded {
					h = Degraded
				}
				l.Endpoints = append(l.Endpoints, Endpoint{Address: fmt.Sprint(level, i), Weight: 1, Health: h})
			}
			s.Localities = append(s.Localities, l)
		}
		fill(0, c.healthy0, c.degraded0)
		fill(1, c.healthy1, 0)
		load, sum := map[string]float64{}, 0.0
		for _, m := range AssignTraffic(&Cluster{PanicThreshold: 0}, s, false, AllPriorities) {
			if m.Use == Used {
				load[fmt.Sprint(m.Locality.Priority, m.Health)] += m.TrafficShare
				sum += m.TrafficShare
			}
		}
		for at, want := range map[string]float64{"0 healthy": c.load0, "0 degraded": c.degr0, "1 healthy": c.load1} {
			if got := load[at] / sum; got < want-0.005 || got > want+0.005 {
				t.Errorf("%+v: %s gets %.3f, want %.3f", c, at, got, want)
			}
		}
	}
}

// A panic uses all endpoints that are not draining; there is none without a threshold; a stale set is unhealthy; one priority alone;
// locality weights.
func TestAssignTraffic(t *testing.T) {
	one := func(address string, h Health, weight uint32) Endpoint {
		return Endpoint{Address: address, Health: h, Weight: weight}
	}
	set := &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Weight: 1, Endpoints: []Endpoint{one("1", Unhealthy, 1), one("2", Draining, 1), one("3", Unhealthy, 1)}},
		{Priority: 1, Weight: 3, Endpoints: []Endpoint{one("4", Healthy, 1), one("5", Healthy, 2)}}}}
	unhealthy := &EndpointSet{Overprovisioning: 1.4, Localities: set.Localities[:1]}
	flat := &EndpointSet{Overprovisioning: 1.4, Localities: []Locality{{Weight: 1, Endpoints: []Endpoint{one("1", Healthy, 1)}}, {Weight: 3, Zone: "z", Endpoints: []Endpoint{one("2", Healthy, 1), one("3", Healthy, 2)}}}}
	for _, c := range []struct {
		cluster Cluster
		set     *EndpointSet
		stale   bool
		level   int
		want    string
	}{
		{Cluster{PanicThreshold: 0.5}, set, false, AllPriorities, "4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, set, false, 0, "1=1.00 3=1.00"},
		{Cluster{PanicThreshold: 0}, set, false, 0, ""},
		{Cluster{PanicThreshold: 0.5}, set, false, 1, "4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, set, true, AllPriorities, "1=0.75 3=0.75 4=0.50 5=1.00"},
		{Cluster{PanicThreshold: 0.5}, unhealthy, false, AllPriorities, "1=1.00 3=1.00"},
		{Cluster{PanicThreshold: 0.5, LocalityWeighted: true}, flat, false, AllPriorities, "1=0.50 2=0.50 3=1.00"},
		{Cluster{PanicThreshold: 0.5}, flat, false, AllPriorities, "1=0.50 2=0.50 3=1.00"},
	} {
		var got []string
		for _, m := range AssignTraffic(&c.cluster, c.set, c.stale, c.level) {
			if m.Use == Used {
				got = append(got, fmt.Sprintf("%s=%.2f", m.Address, m.TrafficShare))
			}
		}
		if fmt.Sprint(got) != "["+c.want+"]" {
			t.Errorf("%+v, level %d: %v, want %s", c.cluster, c.level, got, c.want)
		}
	}
	if d := (&EndpointSet{DropOverloads: []DropOverload{{"a", 0.5}, {"b", 0.2}}}).DropFraction(); d < 0.599 || d > 0.601 {
		t.Errorf("dropped %g", d)
	}
}

// A set that is too old is stale until its control plane sends it again, the same or another; one that is in use again within the
// retention is present without a response, and later it is requested; a rejection is reported, and the resource before it stays.
func TestStaleAndUnused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := New(Options{DeferTime: hold, ResourceTimeout: time.Second})
	s.SetClustersInUse(now, []string{"a"})
	s.StreamStarted(now, 1, "p")
	set := func(n byte, after time.Duration) Response {
		return Response{Kind: ads.Endpoints, Resources: []Resource{{Name: "s", Version: fmt.Sprint(n), Digest: updateorder.Digest{n}, Set: &EndpointSet{StaleAfter: after}}}}
	}
	view := func(state State, stale bool) {
		t.Helper()
		s.Advance(now)
		if v := s.View(now, "a"); v.State != state || v.Stale != stale {
			t.Errorf("%v, stale %v; want %v, %v", v.State, v.Stale, state, stale)
		}
	}
	s.Apply(now, 1, Response{Kind: ads.Clusters, Resources: []Resource{{Name: "a", Digest: updateorder.Digest{1}, Cluster: &Cluster{ServiceName: "s"}}}})
	view(Pending, false)
	now = now.Add(2 * time.Second)
	view(Missing, false)
	s.Apply(now, 1, set(1, 5*time.Second))
	view(Ready, false)
	s.TakeChanged()
	if at := s.NextDeadline(now); !at.Equal(now.Add(5 * time.Second)) {
		t.Errorf("next at %v", at.Sub(now))
	}
	now = now.Add(5 * time.Second)
	view(Ready, true)
	if c := s.TakeChanged(); len(c) != 1 {
		t.Errorf("changed %v", c)
	}
	s.Apply(now, 1, set(1, 5*time.Second)) // the same, sent again
	view(Ready, false)
	if c := s.TakeChanged(); len(c) != 1 {
		t.Errorf("changed %v", c)
	}
	s.Apply(now, 1, set(2, 0))
	s.SetClustersInUse(now, nil)
	now = now.Add(unusedRetention / 2)
	s.Advance(now)
	s.SetClustersInUse(now, []string{"a"})
	view(Ready, false)
	s.Apply(now, 1, Response{Kind: ads.Endpoints, Rejections: []Rejection{{"s", "3", "bad"}}})
	view(Ready, false)
	if d := s.Status(); d[1].RejectionReason != "bad" || d[1].RejectedVersion != "3" || d[1].Version != "2" || d[1].Source != "p" {
		t.Errorf("%+v", d)
	}
	s.SetClustersInUse(now, nil)
	s.Advance(now)
	now = now.Add(unusedRetention)
	s.Advance(now)
	if d := s.Status(); len(d) != 0 {
		t.Errorf("%+v", d)
	}
	s.SetClustersInUse(now, []string{"a"})
	view(Pending, false)
}
