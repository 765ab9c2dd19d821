// Package failover decides which clusters a request is given to, one after the other: its own, the one where its key may
// have run, the one that its route names for failures. It does no I/O and has no clock. Which endpoint of a cluster gets
// the request, and whether it is tried again there, is for the decisions (package decide).
package failover

import (
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Request is what a plan is made for.
type Request struct {
	Cluster     string // the cluster that its route names, or its split
	Failover    string // the one for failures; empty: none
	Effect      lbpolicy.Effect
	MaxAttempts int // over all clusters; 0: no bound of its own
	Deadline    time.Time
}

// Result is how a cluster has ended a request.
type Result struct {
	Served     bool
	MayHaveRun bool // an attempt may have run, or may yet
	Attempts   int  // that were made
}

// Plan is one request's way over clusters.
type Plan struct {
	request  Request
	visited  []string // clusters that it was given to
	attempts int      // attempts
}

// New returns the plan of a request that has been nowhere yet.
func New(r Request) *Plan { return &Plan{request: r} }

// First returns the cluster that the request is given to first. Past is what is known of its key.
func (p *Plan) First(past idempotency.KeyState) (cluster string) {
	cluster = p.request.Cluster
	if past.Known {
		cluster = past.Place.Cluster
	}
	p.visited = append(p.visited, cluster)
	return cluster
}

// Next returns the cluster that the request is given to after the one before has ended it; ok is false where that is the
// end of it. Each cluster gets it once, while time and attempts are left:
//
//   - what is safe to repeat, and what is known never to have run, goes to the failover cluster;
//   - a keyed request goes where its key may have run: another request with the key can have bound it meanwhile.
func (p *Plan) Next(now time.Time, r Result, past idempotency.KeyState) (cluster string, ok bool) {
	p.attempts += r.Attempts
	if r.Served || !now.Before(p.request.Deadline) || p.request.MaxAttempts > 0 && p.attempts >= p.request.MaxAttempts {
		return "", false
	}
	cluster = p.request.Failover
	switch p.request.Effect {
	case lbpolicy.Idempotent:
	case lbpolicy.KeyedIdempotent:
		if past.Known {
			cluster = past.Place.Cluster
		}
	default:
		if r.MayHaveRun {
			return "", false
		}
	}
	if cluster == "" || slices.Contains(p.visited, cluster) {
		return "", false
	}
	p.visited = append(p.visited, cluster)
	return cluster, true
}

// AttemptsLeft returns the bound on the attempts that are left to the request; 0: it has none of its own.
func (p *Plan) AttemptsLeft() int {
	if p.request.MaxAttempts == 0 {
		return 0
	}
	return p.request.MaxAttempts - p.attempts
}

// MayReject tells whether a request that was not served may be refused, which tells its caller that a repeat is harmless.
// It may not where the key may have run: unless all endpoints drop its repeats, and still do.
func MayReject(now time.Time, past idempotency.KeyState, scope lbpolicy.Scope) bool {
	return !past.Known || scope == lbpolicy.ScopeAll && now.Before(past.RetryUntil)
}

// NeedsFleetClaim tells whether a key must be bound by all processes of a fleet: where its repeats can come to endpoints that do
// not know it. Several tells that the route has more than one cluster.
func NeedsFleetClaim(scope lbpolicy.Scope, several bool) bool {
	return scope != lbpolicy.ScopeAll || several
}
