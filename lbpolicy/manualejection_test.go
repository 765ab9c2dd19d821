package lbpolicy

import (
	"fmt"
	"testing"
	"time"
)

// A manual ejection lasts through updates of the endpoint list and the settings. One call ends it, however often it was requested.
func TestManualEjectionOutlastsUpdates(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(3)...)
	now := sec
	id := RequestID(0)
	// serversInUse returns the servers that get requests now.
	serversInUse := func() map[ServerID]bool {
		inUse := map[ServerID]bool{}
		for range 6 { // bursts of requests that are all in flight at once
			now += 200 * time.Millisecond
			sentBefore, firstID := len(h.sends), id+1
			for range 10 {
				id++
				b.Request(now, Request{ID: id, TimeLeft: 2 * sec})
			}
			for i, s := range h.sends[sentBefore:] {
				inUse[s] = true
				b.Outcome(now+time.Millisecond, Outcome{ID: firstID + RequestID(i), Server: s, Verdict: OK, Latency: time.Millisecond, Final: true})
			}
		}
		return inUse
	}
	if inUse := serversInUse(); len(inUse) != 3 {
		t.Fatal(inUse)
	}
	b.SetManuallyEjected(now, 2, true)
	b.SetManuallyEjected(now, 2, true)
	updates := map[string]func(){
		"nothing":     func() {},
		"a full list": func() { b.UpdateEndpoints(now, Full, readyServers(3)) },
		"removal and new listing": func() {
			b.UpdateEndpoints(now, Delta, []Server{{ID: 2, State: Removed}})
			b.UpdateEndpoints(now, Delta, readyServers(3))
		},
		"a restart": func() { b.UpdateEndpoints(now, Delta, []Server{{ID: 2, State: Ready, StartedAt: now}}) },
		"settings":  func() { b.Configure(now, testSettings()) },
	}
	for name, update := range updates {
		update()
		if inUse := serversInUse(); inUse[2] || len(inUse) != 2 {
			t.Errorf("after %s: servers in use are %v, want 1 and 3", name, inUse)
		}
		if n := b.CountEjected(); n != 1 {
			t.Errorf("after %s: %d servers count as ejected, want 1", name, n)
		}
	}
	b.SetManuallyEjected(now, 2, false)
	if inUse := serversInUse(); !inUse[2] || b.CountEjected() != 0 {
		t.Errorf("after the ejection was ended once: servers in use are %v, want server 2 among them and none ejected", inUse)
	}
	b.SetManuallyEjected(now, 7, true) // not listed now
	b.UpdateEndpoints(now, Full, readyServers(8))
	if inUse := serversInUse(); inUse[7] {
		t.Error("a server that was ejected before it was listed gets requests")
	}
}

// Where all servers are manually ejected, requests are rejected at once.
func TestRequestsAreRejectedWhenAllServersAreManuallyEjected(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(3)...)
	for id := range ServerID(3) {
		b.SetManuallyEjected(sec, id+1, true)
	}
	b.Request(2*sec, Request{ID: 1, TimeLeft: sec})
	if want := "refuse 1"; len(h.actions) == 0 || fmt.Sprint(h.actions[len(h.actions)-1])[:len(want)] != want {
		t.Errorf("actions %v, want a rejection", h.actions)
	}
	if b.CountEjected() != 3 {
		t.Error(b.CountEjected())
	}
}

// A server that is restored after a manual ejection is in slow start from that moment, or from a listed start that is later than the
// ejection. What was measured of it is forgotten. Its first request comes soon, however few requests there are.
func TestRestoredServerIsInSlowStart(t *testing.T) {
	for name, c := range map[string]struct {
		listed        func(b *Balancer)
		slowStartFrom time.Duration
	}{
		"no restart listed": {func(*Balancer) {}, 10 * sec},
		"restart after the ejection": {func(b *Balancer) {
			b.UpdateEndpoints(6*sec, Delta, []Server{{ID: 2, State: Ready, StartedAt: 6 * sec}})
		}, 6 * sec},
		"start before the ejection": {func(b *Balancer) {
			b.UpdateEndpoints(6*sec, Delta, []Server{{ID: 2, State: Ready, StartedAt: sec}})
		}, 10 * sec},
	} {
		t.Run(name, func(t *testing.T) {
			b, h := newBalancer(t, testSettings(), readyServers(3)...)
			s := b.servers[2]
			s.ejected, s.latency, s.ejectedUntil = true, 3, 60*sec
			b.SetManuallyEjected(5*sec, 2, true)
			c.listed(b)
			b.SetManuallyEjected(10*sec, 2, false)
			if s = b.servers[2]; s.ejected || s.latency != 0 || s.startTime() != c.slowStartFrom || b.capacity(10*sec, s) >= 1 {
				t.Errorf("restored server %+v, start time %v, want it not ejected, in slow start and without a latency", s, s.startTime())
			}
			first := time.Duration(0)
			for i := range 20 { // two requests per second
				now := 10*sec + time.Duration(i)*sec/2
				b.Request(now, Request{ID: RequestID(i + 1), TimeLeft: 2 * sec})
				to := h.sends[len(h.sends)-1]
				if to == 2 && first == 0 {
					first = now
				}
				b.Outcome(now+time.Millisecond, Outcome{ID: RequestID(i + 1), Server: to, Verdict: OK, Latency: time.Millisecond, Final: true})
			}
			if first == 0 || first > 13*sec {
				t.Errorf("first request to the restored server at %v, want one within 3 s", first)
			}
		})
	}
}

// After new settings, a request in progress keeps its class and gets no more attempts than both the old and the new settings allow.
// Classes are matched by name. Invalid settings change nothing.
func TestConfigureKeepsClassesOfRequestsInProgress(t *testing.T) {
	cfg := testSettings()
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		cfg.Classes[i].Name = name
	}
	b, h := newBalancer(t, cfg, readyServers(4)...)
	b.expected[1].observe(sec, OK, 1)
	b.Request(sec, Request{ID: 1, Class: 1, TimeLeft: 3 * sec})
	changed := cfg
	changed.MaxAttempts = 1
	changed.Classes = []Class{cfg.Classes[2], cfg.Classes[1]}
	changed.Classes[1].Effect = NonIdempotent
	if err := b.Configure(sec, changed); err != nil {
		t.Fatal(err)
	}
	if b.expected[1].seconds != 1 || b.expected[0].seconds != 0 {
		t.Error("the expected latency of a class was applied to another class")
	}
	if r := b.requests[1]; r.class.Effect != KeyedIdempotent || r.class.Name != "b" {
		t.Errorf("a request in progress has class %+v, want its class as of arrival", r.class)
	}
	b.Outcome(sec+1, Outcome{ID: 1, Server: h.sends[0], Verdict: ConnectFailed})
	if len(h.sends) != 1 {
		t.Error("second attempt sent where the new settings allow one")
	}
	if err := b.Configure(sec, cfg); err != nil { // three attempts are allowed again, for new requests
		t.Fatal(err)
	}
	for _, invalidate := range []func(*Settings){func(s *Settings) { s.MaxAttempts = 0 }, func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.Classes[0].Deadline = 0 }, func(s *Settings) { s.Balancers = 0 }} {
		next := cfg
		next.Classes = append([]Class(nil), cfg.Classes...)
		invalidate(&next)
		if b.Configure(sec, next) == nil || b.settings.MaxAttempts != 3 || len(b.settings.Classes) != 5 || b.settings.Classes[0].Deadline == 0 {
			t.Error("invalid settings were accepted or applied")
		}
	}
}

// A balancer that restores a snapshot decides like its predecessor: it has the same ejected servers, rates and slow starts. Invalid
// snapshots and the state of other server processes are ignored.
func TestRestoreAppliesSnapshot(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[0].Name = "a"
	list := readyServers(4)
	list[3].StartedAt = 5 * sec
	old, _ := newBalancer(t, cfg, list...)
	old.startedAt, old.fastRate, old.slowRate, old.baseLatency, old.baseLearned, old.serverCapacity = sec, 30, 20, 0.05, true, 9
	old.nextStep, old.lastStep = 100*sec, 6*sec
	old.expected[0].observe(5*sec, OK, 0.4)
	old.servers[1].ejected, old.servers[1].ejectedUntil, old.servers[1].ejections = true, 9*sec, 2
	old.servers[2].latency, old.servers[4].slowStartBudget = 0.25, 0.5
	snapshot := old.Snapshot(6 * sec)
	for i := range snapshot.Servers { // the successor's clock differs by 50 s
		if snapshot.Servers[i].StartedAt > 0 {
			snapshot.Servers[i].StartedAt += 50 * sec
		}
	}
	list[3].StartedAt += 50 * sec
	restored, _ := newBalancer(t, cfg)
	restored.UpdateEndpoints(56*sec, Cached, list)
	restored.Restore(56*sec, snapshot)
	if restored.fastRate != 30 || restored.slowRate != 20 || restored.baseLatency != 0.05 || !restored.baseLearned || restored.serverCapacity != 9 || restored.startedAt != 51*sec || restored.expected[0].seconds != 0.4 {
		t.Errorf("rates, latencies or start time not restored from %+v", snapshot)
	}
	if s := restored.servers[1]; !s.ejected || s.ejectedUntil != 59*sec || s.ejections != 2 || restored.ejectedCount != 1 {
		t.Errorf("ejection not restored: %+v", s)
	}
	if restored.servers[2].latency != 0.25 || restored.servers[4].slowStartBudget != 0.5 || restored.servers[4].budgetFilledAt != 56*sec {
		t.Error("latency or slow-start budget of a server not restored")
	}
	snapshot.FastRate = -1
	other, _ := newBalancer(t, cfg, list...)
	if other.Restore(56*sec, snapshot); other.fastRate != 0 {
		t.Error("a snapshot with a negative rate was applied")
	}
	snapshot = old.Snapshot(6 * sec)
	snapshot.Servers[0].StartedAt++
	if other.Restore(56*sec, snapshot); other.servers[snapshot.Servers[0].ID].ejected {
		t.Error("state of another server process was applied")
	}
}
