package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

var t0 = time.Unix(1_800_000_000, 0)

// mayHaveRunIn returns the state of a key that may have run in a cluster, and may be retried there until one second after t0.
func mayHaveRunIn(cluster string) idempotency.KeyState {
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: cluster}, RetryUntil: t0.Add(time.Second)}
}

// Next must follow the effect of the request, the result of the first cluster and the state of the key. MayReject must follow the state
// and the scope of the key.
func TestNextFollowsEffectAndResult(t *testing.T) {
	unknownKey := idempotency.KeyState{}
	for _, c := range []struct {
		name     string
		effect   lbpolicy.Effect
		result   Result
		keyState idempotency.KeyState
		want     string
	}{
		{"safe, may have run", lbpolicy.Idempotent, Result{MayHaveRun: true, Attempts: 1}, unknownKey, "spare"},
		{"served", lbpolicy.Idempotent, Result{Served: true, Attempts: 1}, unknownKey, ""},
		{"attempts exhausted", lbpolicy.Idempotent, Result{Attempts: 3}, unknownKey, ""},
		{"unsafe, never ran", lbpolicy.NonIdempotent, Result{Attempts: 1}, unknownKey, "spare"},
		{"unsafe, may have run", lbpolicy.NonIdempotent, Result{MayHaveRun: true, Attempts: 1}, unknownKey, ""},
		{"keyed, never ran", lbpolicy.KeyedIdempotent, Result{Attempts: 1}, unknownKey, "spare"},
		{"keyed, may have run here", lbpolicy.KeyedIdempotent, Result{MayHaveRun: true, Attempts: 1}, mayHaveRunIn("own"), ""},
		{"keyed, reserved by another request meanwhile", lbpolicy.KeyedIdempotent, Result{Attempts: 1}, mayHaveRunIn("third"), "third"},
	} {
		plan := New(Request{Cluster: "own", Failover: "spare", Effect: c.effect, MaxAttempts: 3, Deadline: t0.Add(time.Second)})
		if first := plan.First(unknownKey); first != "own" {
			t.Errorf("%s: First = %q, want \"own\"", c.name, first)
		}
		cluster, ok := plan.Next(t0, c.result, c.keyState)
		if cluster != c.want || ok != (c.want != "") {
			t.Errorf("%s: unexpected next cluster %q", c.name, cluster)
		}
		if cluster, ok := plan.Next(t0.Add(time.Second), Result{}, unknownKey); ok {
			t.Errorf("%s: next cluster is %q after the deadline, want none", c.name, cluster)
		}
	}
	if cluster := New(Request{Cluster: "own"}).First(mayHaveRunIn("third")); cluster != "third" {
		t.Errorf("First = %q for a key that may have run in \"third\", want \"third\"", cluster)
	}
	if MayReject(t0, mayHaveRunIn("c"), lbpolicy.ScopeZone) || !MayReject(t0, mayHaveRunIn("c"), lbpolicy.ScopeAll) ||
		MayReject(t0.Add(time.Second), mayHaveRunIn("c"), lbpolicy.ScopeAll) || !MayReject(t0, unknownKey, lbpolicy.ScopeCell) {
		t.Error("MayReject must be true for an unknown key, and for a known one only with ScopeAll before RetryUntil")
	}
}

// For any results of the clusters, a plan ends and sends the request to no cluster twice. A request that may have run is not sent to
// another cluster unless it is idempotent.
func TestPlanNeverRepeatsUnsafely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clusterName := rapid.SampledFrom([]string{"a", "b", "c"})
		request := Request{Cluster: clusterName.Draw(t, "to"), Failover: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "failover"),
			Effect:      rapid.SampledFrom([]lbpolicy.Effect{lbpolicy.Idempotent, lbpolicy.KeyedIdempotent, lbpolicy.NonIdempotent}).Draw(t, "effect"),
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "most"), Deadline: t0.Add(time.Second)}
		keyState := idempotency.KeyState{}
		if request.Effect == lbpolicy.KeyedIdempotent && rapid.Bool().Draw(t, "repeat") {
			keyState = mayHaveRunIn(clusterName.Draw(t, "past"))
		}
		plan := New(request)
		cluster, attempts := plan.First(keyState), 0
		visited := map[string]bool{cluster: true}
		for {
			result := Result{MayHaveRun: rapid.Bool().Draw(t, "ran"), Attempts: rapid.IntRange(0, 2).Draw(t, "attempts")}
			attempts += result.Attempts
			switch {
			case request.Effect != lbpolicy.KeyedIdempotent:
			case result.MayHaveRun:
				keyState = mayHaveRunIn(cluster)
			case !keyState.Known && rapid.Bool().Draw(t, "meanwhile"):
				keyState = mayHaveRunIn(clusterName.Draw(t, "by another"))
			}
			next, ok := plan.Next(t0, result, keyState)
			if !ok {
				return
			}
			if visited[next] || request.MaxAttempts > 0 && attempts >= request.MaxAttempts {
				t.Fatalf("next cluster is %s, which has had the request, or no attempts are left", next)
			}
			if result.MayHaveRun && request.Effect != lbpolicy.Idempotent || keyState.Known && next != keyState.Place.Cluster {
				t.Fatalf("request that may have run goes from %s to %s", cluster, next)
			}
			visited[next], cluster = true, next
		}
	})
}
