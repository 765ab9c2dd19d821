// Package failover decides which clusters a request is given to, one after the other: its own, the one where its key may
// have run, and the failover cluster of its route. It does no I/O and reads no clock. Which endpoint of a cluster gets the
// request, and whether it is retried there, is decided by package lbpolicy.
package failover

import (
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Request is what a plan is made for.
type Request struct {
	Cluster     string // that its route names
	Failover    string // empty: none
	Effect      lbpolicy.Effect
	MaxAttempts int // over all clusters; 0: no bound of its own
	Deadline    time.Time
}

// Result is how a cluster has ended a request.
type Result struct {
	Served     bool
	MayHaveRun bool // an attempt may have run, or is running
	Attempts   int  // that were made
}

// Plan is the sequence of clusters of one request. It is not safe for concurrent use.
type Plan struct {
	request  Request
	visited  []string
	attempts int
}

// New returns the plan of a request that was given to no cluster yet.
func New(r Request) *Plan { return &Plan{request: r} }

// First returns the first cluster, given what is known of the request's key.
func (p *Plan) First(key idempotency.KeyState) (cluster string) {
	cluster = p.request.Cluster
	if key.Known {
		cluster = key.Place.Cluster
	}
	p.visited = append(p.visited, cluster)
	return cluster
}

// Next returns the next cluster after the result of the one before; ok is false if there is none. Each cluster gets the
// request once, while time and attempts are left:
//
//   - an idempotent request, and one that is known never to have run, goes to the failover cluster;
//   - a request with a key goes where the key may have run, as another request with it may have reserved it meanwhile.
func (p *Plan) Next(now time.Time, r Result, key idempotency.KeyState) (cluster string, ok bool) {
	p.attempts += r.Attempts
	if r.Served || !now.Before(p.request.Deadline) || p.isExhausted() {
		return "", false
	}
	cluster = p.request.Failover
	switch p.request.Effect {
	case lbpolicy.Idempotent:
	case lbpolicy.KeyedIdempotent:
		if key.Known {
			cluster = key.Place.Cluster
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

func (p *Plan) isExhausted() bool {
	return p.request.MaxAttempts > 0 && p.attempts >= p.request.MaxAttempts
}

// AttemptsLeft returns how many attempts are left to the request; 0: it has no bound of its own.
func (p *Plan) AttemptsLeft() int {
	if p.request.MaxAttempts == 0 {
		return 0
	}
	return p.request.MaxAttempts - p.attempts
}

// MayReject reports whether a request that was not served may be rejected, which tells its client that a retry is harmless. It
// may not if its key may have run, unless all endpoints drop its repeats, and still do.
func MayReject(now time.Time, key idempotency.KeyState, scope lbpolicy.Scope) bool {
	return !key.Known || scope == lbpolicy.ScopeAll && now.Before(key.RetryUntil)
}

// NeedsFleetClaim reports whether a key must be claimed in the whole fleet, as its repeats can reach endpoints that do not know it.
func NeedsFleetClaim(scope lbpolicy.Scope, severalClusters bool) bool {
	return scope != lbpolicy.ScopeAll || severalClusters
}
