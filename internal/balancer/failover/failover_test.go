package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(cluster string) idempotency.KeyState {
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: cluster}, RetryUntil: t0.Add(time.Second)}
}

// What may be sent where, for each effect and each way in which the first cluster can end a request.
func TestNext(t *testing.T) {
	none := idempotency.KeyState{}
	for _, c := range []struct {
		name   string
		effect lbpolicy.Effect
		r      Result
		past   idempotency.KeyState
		want   string
	}{
		{"safe, may have run", lbpolicy.Idempotent, Result{MayHaveRun: true, Attempts: 1}, none, "spare"},
		{"served", lbpolicy.Idempotent, Result{Served: true, Attempts: 1}, none, ""},
		{"attempts spent", lbpolicy.Idempotent, Result{Attempts: 3}, none, ""},
		{"unsafe, never ran", lbpolicy.NonIdempotent, Result{Attempts: 1}, none, "spare"},
		{"unsafe, may have run", lbpolicy.NonIdempotent, Result{MayHaveRun: true, Attempts: 1}, none, ""},
		{"keyed, never ran", lbpolicy.KeyedIdempotent, Result{Attempts: 1}, none, "spare"},
		{"keyed, may have run here", lbpolicy.KeyedIdempotent, Result{MayHaveRun: true, Attempts: 1}, at("own"), ""},
		{"keyed, bound elsewhere meanwhile", lbpolicy.KeyedIdempotent, Result{Attempts: 1}, at("third"), "third"},
	} {
		p := New(Request{Cluster: "own", Failover: "spare", Effect: c.effect, MaxAttempts: 3, Deadline: t0.Add(time.Second)})
		if first := p.First(none); first != "own" {
			t.Errorf("%s: first to %q", c.name, first)
		}
		to, ok := p.Next(t0, c.r, c.past)
		if to != c.want || ok != (c.want != "") {
			t.Errorf("%s: to %q", c.name, to)
		}
		if to, ok := p.Next(t0.Add(time.Second), Result{}, none); ok {
			t.Errorf("%s: to %q after the deadline", c.name, to)
		}
	}
	if to := New(Request{Cluster: "own"}).First(at("third")); to != "third" {
		t.Errorf("a repeat goes to %q", to)
	}
	if MayReject(t0, at("c"), lbpolicy.ScopeZone) || !MayReject(t0, at("c"), lbpolicy.ScopeAll) ||
		MayReject(t0.Add(time.Second), at("c"), lbpolicy.ScopeAll) || !MayReject(t0, none, lbpolicy.ScopeCell) {
		t.Error("refusals")
	}
}

// Whatever happens at the clusters, a plan ends, gives no cluster the request twice, and never takes one that may have run
// to another cluster unless it is safe.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		r := Request{Cluster: name.Draw(t, "to"), Failover: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "failover"),
			Effect:      rapid.SampledFrom([]lbpolicy.Effect{lbpolicy.Idempotent, lbpolicy.KeyedIdempotent, lbpolicy.NonIdempotent}).Draw(t, "effect"),
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "most"), Deadline: t0.Add(time.Second)}
		past := idempotency.KeyState{}
		if r.Effect == lbpolicy.KeyedIdempotent && rapid.Bool().Draw(t, "repeat") {
			past = at(name.Draw(t, "past"))
		}
		p := New(r)
		to, made := p.First(past), 0
		been := map[string]bool{to: true}
		for {
			res := Result{MayHaveRun: rapid.Bool().Draw(t, "ran"), Attempts: rapid.IntRange(0, 2).Draw(t, "attempts")}
			made += res.Attempts
			switch {
			case r.Effect != lbpolicy.KeyedIdempotent:
			case res.MayHaveRun:
				past = at(to)
			case !past.Known && rapid.Bool().Draw(t, "meanwhile"):
				past = at(name.Draw(t, "by another"))
			}
			next, ok := p.Next(t0, res, past)
			if !ok {
				return
			}
			if been[next] || r.MaxAttempts > 0 && made >= r.MaxAttempts {
				t.Fatalf("to %s again, or over its attempts", next)
			}
			if res.MayHaveRun && r.Effect != lbpolicy.Idempotent || past.Known && next != past.Place.Cluster {
				t.Fatalf("from %s to %s: it may have run", to, next)
			}
			been[next], to = true, next
		}
	})
}
