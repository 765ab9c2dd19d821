package engine

import (
	"time"

	"silvertrail/lbpolicy"
)

// Snapshot is the state that an engine passes to the engine of a successor process. The JSON names are part of the hand-over protocol.
type Snapshot struct {
	Policy  lbpolicy.Snapshot `json:"Learnt"`
	Servers []ServerSnapshot  `json:"Servers"` // the servers of Policy, by name, because IDs and clocks differ between processes
}

// ServerSnapshot holds the policy's measurements of an endpoint, and the endpoint's start time as a Unix time in milliseconds.
type ServerSnapshot struct {
	Name    string                  `json:"Name"`
	SinceMS int64                   `json:"SinceMS"`
	Policy  lbpolicy.ServerSnapshot `json:"Learnt"`
}

// Snapshot returns the measurements of the policy.
func (e *Engine) Snapshot() Snapshot {
	var snapshot Snapshot
	e.processEvent(func(now time.Duration) {
		snapshot.Policy = e.balancer.Snapshot(now)
		for _, s := range snapshot.Policy.Servers {
			if server := e.endpoints[s.ID]; server != nil {
				snapshot.Servers = append(snapshot.Servers, ServerSnapshot{server.name, server.entry.SinceMS, s})
			}
		}
		snapshot.Policy.Servers = nil
	})
	return snapshot
}

// Restore applies the snapshot of another process.
func (e *Engine) Restore(snapshot Snapshot) {
	e.processEvent(func(now time.Duration) {
		policy := snapshot.Policy
		policy.Servers = nil
		for _, s := range snapshot.Servers {
			s.Policy.ID = e.serverID(s.Name)
			s.Policy.StartedAt = e.clock.fromUnixMilli(s.SinceMS)
			policy.Servers = append(policy.Servers, s.Policy)
		}
		e.balancer.Restore(now, policy)
	})
}
