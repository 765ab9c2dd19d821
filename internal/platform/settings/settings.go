// Package settings parses the settings object with an instance's classes, tenants, limits and obligations. The object has the
// same form in the simulator's first message and in a sidecar's configuration. The package maps the platform's keys
// (goal_time, worth, customers, cold, fall) to the terms of lbpolicy.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"silvertrail/lbpolicy"
)

// document is the JSON form of the settings object, with the platform's keys.
type document struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name     string  `json:"name"`
		Deadline float64 `json:"deadline"`
		Effect   string  `json:"effect"`
		Aim      float64 `json:"goal_time"`
		Scope    string  `json:"key_scope"`
		Window   float64 `json:"window"`
		Worth    float64 `json:"worth"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Customers []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"customers"`
	Limits struct {
		Cancelling    bool    `json:"cancelling"`
		ConnIdle      float64 `json:"conn_idle"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		MayDuplicate  bool    `json:"may_duplicate"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	Me          int `json:"me"`
	Obligations struct {
		Cold          float64 `json:"cold"`
		Fall          float64 `json:"fall"`
		FallMultiple  float64 `json:"fall_multiple"`
		MustAskIn     float64 `json:"must_ask_in"`
		StartCapacity float64 `json:"start_capacity"`
	} `json:"obligations"`
	Registry string `json:"registry_mode"`
	Tariffs  struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
	} `json:"tariffs"`
	Telemetry struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"telemetry"`
	Tier int `json:"tier"`
	Zone int `json:"zone"`
}

var (
	effects = map[string]lbpolicy.Effect{"free": lbpolicy.Idempotent, "guarded": lbpolicy.KeyedIdempotent, "single_shot": lbpolicy.NonIdempotent}
	scopes  = map[string]lbpolicy.Scope{"": lbpolicy.ScopeAll, "all": lbpolicy.ScopeAll,
		"zone": lbpolicy.ScopeZone, "cell": lbpolicy.ScopeCell}
)

// Parse parses an instance's settings. An error names the invalid key.
func Parse(text []byte) (lbpolicy.Settings, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return lbpolicy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := lbpolicy.Settings{
		Balancers: doc.Balancers, Index: doc.Me, Zone: doc.Zone, Tier: doc.Tier,
		RetriesMarked: doc.Clients.MarksRetry,
		PollDiscovery: doc.Registry == "on_request", MaxPollInterval: seconds(doc.Obligations.MustAskIn),
		MaxAttempts: doc.Limits.MaxAttempts, MayCancel: doc.Limits.Cancelling, MayHedge: doc.Limits.MayDuplicate,
		SendsRetryAfter: doc.Limits.RetryAfter, MaxRetryAfter: seconds(doc.Limits.MaxRetryAfter),
		ConnIdleTimeout: seconds(doc.Limits.ConnIdle),
		InitialCapacity: doc.Obligations.StartCapacity,
		SlowStart:       seconds(doc.Obligations.Cold), OverloadMultiple: doc.Obligations.FallMultiple,
		OverloadWindow: seconds(doc.Obligations.Fall),
		CrossZonePrice: doc.Tariffs.CrossZone, HandshakePrice: doc.Tariffs.Handshake,
	}
	for i, c := range doc.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].effect: unknown %q", i, c.Effect)
		}
		scope, ok := scopes[c.Scope]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].key_scope: unknown %q", i, c.Scope)
		}
		s.Classes = append(s.Classes, lbpolicy.Class{Name: c.Name, LatencyObjective: seconds(c.Aim), Deadline: seconds(c.Deadline),
			PriorityWeight: c.Worth, Effect: effect, Scope: scope, Window: seconds(c.Window)})
	}
	for _, c := range doc.Customers {
		s.Tenants = append(s.Tenants, lbpolicy.Tenant{Name: c.Name, QuotaPerSecond: c.Quota})
	}
	if doc.Telemetry.Via == "inline" {
		for _, f := range doc.Telemetry.Fields {
			s.ReportFields = append(s.ReportFields, lbpolicy.ReportFieldsByName[f])
		}
	}
	return s, nil
}

// seconds converts seconds to a duration, rounded to a microsecond.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s*1e6)) * time.Microsecond }
