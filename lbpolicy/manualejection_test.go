package lbpolicy

import (
	"fmt"
	"testing"
	"time"
)

// A ban holds against whatever is listed, and one call ends it, however many there were.
func TestManualEjectionOutlastsUpdates(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(3)...)
	now := sec
	id := RequestID(0)
	// used tells which servers get calls now.
	used := func() map[ServerID]bool {
		got := map[ServerID]bool{}
		for range 6 { // bursts of calls that are all in flight at once
			now += 200 * time.Millisecond
			sends, first := len(h.sends), id+1
			for range 10 {
				id++
				b.Request(now, Request{ID: id, TimeLeft: 2 * sec})
			}
			for i, s := range h.sends[sends:] {
				got[s] = true
				b.Outcome(now+time.Millisecond, Outcome{ID: first + RequestID(i), Server: s, Verdict: OK, Latency: time.Millisecond, Final: true})
			}
		}
		return got
	}
	if got := used(); len(got) != 3 {
		t.Fatal(got)
	}
	b.SetManuallyEjected(now, 2, true)
	b.SetManuallyEjected(now, 2, true)
	lists := map[string]func(){
		"nothing":     func() {},
		"a full list": func() { b.UpdateEndpoints(now, Full, readyServers(3)) },
		"gone and back": func() {
			b.UpdateEndpoints(now, Delta, []Server{{ID: 2, State: Removed}})
			b.UpdateEndpoints(now, Delta, readyServers(3))
		},
		"a new start": func() { b.UpdateEndpoints(now, Delta, []Server{{ID: 2, State: Ready, StartedAt: now}}) },
		"settings":    func() { b.Configure(now, testSettings()) },
	}
	for name, f := range lists {
		f()
		if got := used(); got[2] || len(got) != 2 {
			t.Errorf("after %s: %v", name, got)
		}
		if n := b.CountEjected(); n != 1 {
			t.Errorf("after %s: %d avoided", name, n)
		}
	}
	b.SetManuallyEjected(now, 2, false)
	if got := used(); !got[2] || b.CountEjected() != 0 {
		t.Errorf("after one call back: %v", got)
	}
	b.SetManuallyEjected(now, 7, true) // not listed now
	b.UpdateEndpoints(now, Full, readyServers(8))
	if got := used(); got[7] {
		t.Error("a ban from before its listing does not hold")
	}
}

// Where all are banned calls are refused at once.
func TestRequestsAreRejectedWhenAllServersAreManuallyEjected(t *testing.T) {
	b, h := newBalancer(t, testSettings(), readyServers(3)...)
	for id := range ServerID(3) {
		b.SetManuallyEjected(sec, id+1, true)
	}
	b.Request(2*sec, Request{ID: 1, TimeLeft: sec})
	if want := "refuse 1"; len(h.actions) == 0 || fmt.Sprint(h.actions[len(h.actions)-1])[:len(want)] != want {
		t.Errorf("%v", h.actions)
	}
	if b.CountEjected() != 3 {
		t.Error(b.CountEjected())
	}
}

// Back from a ban a server is cold from that moment, unless the list tells a start since the ban; what was known of it is
// forgotten; and its first call comes soon, however few calls there are.
func TestRestoredServerIsInSlowStart(t *testing.T) {
	for name, c := range map[string]struct {
		listed func(b *Balancer)
		cold   time.Duration // since
	}{
		"no word of a restart": {func(*Balancer) {}, 10 * sec},
		"a start since the ban": {func(b *Balancer) {
			b.UpdateEndpoints(6*sec, Delta, []Server{{ID: 2, State: Ready, StartedAt: 6 * sec}})
		}, 6 * sec},
		"a start before it": {func(b *Balancer) {
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
			if s = b.servers[2]; s.ejected || s.latency != 0 || s.startTime() != c.cold || b.capacity(10*sec, s) >= 1 {
				t.Errorf("%+v, started %v", s, s.startTime())
			}
			first := time.Duration(0)
			for i := range 20 { // two calls a second
				now := 10*sec + time.Duration(i)*sec/2
				b.Request(now, Request{ID: RequestID(i + 1), TimeLeft: 2 * sec})
				to := h.sends[len(h.sends)-1]
				if to == 2 && first == 0 {
					first = now
				}
				b.Outcome(now+time.Millisecond, Outcome{ID: RequestID(i + 1), Server: to, Verdict: OK, Latency: time.Millisecond, Final: true})
			}
			if first == 0 || first > 13*sec {
				t.Errorf("its first call came at %v", first)
			}
		})
	}
}

// What changes of the settings: a request in work keeps its class and takes no more attempts than both allow; classes are
// found by name.
func TestConfigureKeepsClassesOfRequestsInProgress(t *testing.T) {
	cfg := testSettings()
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		cfg.Classes[i].Name = name
	}
	b, h := newBalancer(t, cfg, readyServers(4)...)
	b.expected[1].observe(sec, OK, 1)
	b.Request(sec, Request{ID: 1, Class: 1, TimeLeft: 3 * sec})
	fewer := cfg
	fewer.MaxAttempts = 1
	fewer.Classes = []Class{cfg.Classes[2], cfg.Classes[1]}
	fewer.Classes[1].Effect = NonIdempotent
	if err := b.Configure(sec, fewer); err != nil {
		t.Fatal(err)
	}
	if b.expected[1].seconds != 1 || b.expected[0].seconds != 0 {
		t.Error("what was learnt of a class went to another")
	}
	if r := b.requests[1]; r.class.Effect != KeyedIdempotent || r.class.Name != "b" {
		t.Errorf("a request in work is of class %+v now", r.class)
	}
	b.Outcome(sec+1, Outcome{ID: 1, Server: h.sends[0], Verdict: ConnectFailed})
	if len(h.sends) != 1 {
		t.Error("a second attempt where one is allowed now")
	}
	if err := b.Configure(sec, cfg); err != nil { // more are allowed again: for those that come from now on
		t.Fatal(err)
	}
	for _, broken := range []func(*Settings){func(s *Settings) { s.MaxAttempts = 0 }, func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.Classes[0].Deadline = 0 }, func(s *Settings) { s.Balancers = 0 }} {
		next := cfg
		next.Classes = append([]Class(nil), cfg.Classes...)
		broken(&next)
		if b.Configure(sec, next) == nil || b.settings.MaxAttempts != 3 || len(b.settings.Classes) != 5 || b.settings.Classes[0].Deadline == 0 {
			t.Error("broken settings are in force")
		}
	}
}

// A balancer that takes another's place decides as that would have: who is out, how much is let in, what is cold.
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
	l := old.Snapshot(6 * sec)
	for i := range l.Servers { // another process, another clock
		if l.Servers[i].StartedAt > 0 {
			l.Servers[i].StartedAt += 50 * sec
		}
	}
	list[3].StartedAt += 50 * sec
	b, _ := newBalancer(t, cfg)
	b.UpdateEndpoints(56*sec, Cached, list)
	b.Restore(56*sec, l)
	if b.fastRate != 30 || b.slowRate != 20 || b.baseLatency != 0.05 || !b.baseLearned || b.serverCapacity != 9 || b.startedAt != 51*sec || b.expected[0].seconds != 0.4 {
		t.Errorf("%+v", l)
	}
	if s := b.servers[1]; !s.ejected || s.ejectedUntil != 59*sec || s.ejections != 2 || b.ejectedCount != 1 {
		t.Errorf("%+v", s)
	}
	if b.servers[2].latency != 0.25 || b.servers[4].slowStartBudget != 0.5 || b.servers[4].budgetFilledAt != 56*sec {
		t.Error("what was known of servers")
	}
	l.FastRate = -1
	c, _ := newBalancer(t, cfg, list...)
	if c.Restore(56*sec, l); c.fastRate != 0 {
		t.Error("a rate under 0 was taken")
	}
	l = old.Snapshot(6 * sec)
	l.Servers[0].StartedAt++
	if c.Restore(56*sec, l); c.servers[l.Servers[0].ID].ejected {
		t.Error("what was known of another process")
	}
}
