// Package failover decides to which clusters a request is sent, one after the other: the cluster of its route, the cluster where an
// attempt with its idempotency key may have run, and the failover cluster of its route. It does no I/O and reads no clock. Package
// lbpolicy decides which endpoint of a cluster gets the request, and whether the request is retried within the cluster.
package failover

import (
	"slices"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/lbpolicy"
)

// Request describes the request that a plan is made for.
type Request struct {
	Cluster     string // cluster of the route
	Failover    string // failover cluster of the route; empty: none
	Effect      lbpolicy.Effect
	MaxAttempts int // over all clusters; 0: the request sets no limit of its own
	Deadline    time.Time
}

// Result is the result of a request in one cluster.
type Result struct {
	Served     bool
	MayHaveRun bool // an attempt may have run, or is still running
	Attempts   int  // number of attempts made
}

// Plan is the sequence of clusters of one request. It is not safe for concurrent use.
type Plan struct {
	request  Request
	visited  []string
	attempts int
}

// New returns the plan of a request that has not been sent to any cluster yet.
func New(r Request) *Plan { return &Plan{request: r} }

// First returns the first cluster. It is the one where an attempt with the request's key may have run, or else the cluster of the
// route.
func (p *Plan) First(key idempotency.KeyState) (cluster string) {
	cluster = p.request.Cluster
	if key.Known {
		cluster = key.Place.Cluster
	}
	p.visited = append(p.visited, cluster)
	return cluster
}

// Next returns the cluster that follows, given the result of the previous one; ok is false if there is none. Each cluster gets the
// request at most once, and only before the deadline and while attempts are left:
//
//   - an idempotent request, and any request that is known never to have run, goes to the failover cluster;
//   - a request with a key goes to the cluster where the key may have run, because another request may have reserved it there meanwhile.
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

// AttemptsLeft returns how many attempts the request has left. It returns 0 if the request sets no limit of its own.
func (p *Plan) AttemptsLeft() int {
	if p.request.MaxAttempts == 0 {
		return 0
	}
	return p.request.MaxAttempts - p.attempts
}

// MayReject reports whether a request that was not served may be rejected. A rejection tells the client that a retry is harmless. If an
// attempt with the key may have run, this holds only if all endpoints drop repeats, and only until RetryUntil.
func MayReject(now time.Time, key idempotency.KeyState, scope lbpolicy.Scope) bool {
	return !key.Known || scope == lbpolicy.ScopeAll && now.Before(key.RetryUntil)
}

// NeedsFleetClaim reports whether a key must be claimed in the whole fleet, because its repeats can reach endpoints that do not know
// the key.
func NeedsFleetClaim(scope lbpolicy.Scope, severalClusters bool) bool {
	return scope != lbpolicy.ScopeAll || severalClusters
}
