package settings

import (
	"slices"
	"strings"
	"testing"
	"time"

	"silvertrail/lbpolicy"
)

func TestParseMapsKeysAndNamesInvalidKey(t *testing.T) {
	s, err := Parse([]byte(`{"balancers": 8, "me": 2, "zone": 1, "tier": 1, "new key": [1],
		"classes": [{"deadline": 5.0, "effect": "guarded", "goal_time": 2.0, "key_scope": "cell", "window": 7.5, "worth": 10}],
		"clients": {"marks_retry": true}, "customers": [{"quota_per_s": 16}], "registry_mode": "on_request",
		"limits": {"cancelling": true, "max_attempts": 3, "may_duplicate": true, "max_retry_after": 2, "retry_after": true},
		"obligations": {"cold": 22, "drain_grace": 0.25, "fall": 2, "fall_multiple": 2.5, "must_ask_in": 10,
		"start_capacity": 0.15}, "tariffs": {"cross_zone": 0.01}, "weight_kind": "rough",
		"telemetry": {"fields": ["util", "qps"], "via": "inline"}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Effect != lbpolicy.KeyedIdempotent || c.Scope != lbpolicy.ScopeCell || c.Window != 7500*time.Millisecond || c.PriorityWeight != 10 ||
		c.LatencyObjective != 2*time.Second || c.Deadline != 5*time.Second {
		t.Errorf("unexpected class %+v", c)
	}
	if !s.PollDiscovery || !s.RetriesMarked || s.SlowStart != 22*time.Second || s.Tenants[0].QuotaPerSecond != 16 ||
		!slices.Equal(s.ReportFields, []lbpolicy.ReportField{lbpolicy.FieldUtilization, lbpolicy.FieldRequestRate}) || s.Index != 2 ||
		s.MaxRetryAfter != 2*time.Second || s.OverloadMultiple != 2.5 || s.CrossZonePrice != 0.01 {
		t.Errorf("unexpected settings %+v", s)
	}
	for text, want := range map[string]string{
		`{`: "JSON", `{"classes": [{"effect": "odd"}]}`: "classes[0].effect",
		`{"classes": [{"effect": "free", "key_scope": "rack"}]}`: "key_scope", `{"balancers": "x"}`: "balancers",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("settings %s: error %v, want an error that contains %s", text, err, want)
		}
	}
}
