package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/sites/forwarding"
)

// keysFullRetryAfter is the Retry-After of a request that meets a full table of keys.
const keysFullRetryAfter = time.Second

// beginKeyed takes the key of a request with an idempotency key. Where ok is false the result is final.
func (x *exchange) beginKeyed(now time.Time, body []byte) (result engine.Result, ok bool) {
	if x.key == "" {
		return result, true
	}
	var fingerprint idempotency.Fingerprint
	if x.class.CheckRepeats {
		fingerprint = idempotency.FingerprintOf(x.outgoing.Method, x.outgoing.Target, body)
	}
	if result, ok := x.mergeRecoveredKey(now, fingerprint); !ok {
		return result, false
	}
	request, err := x.gateway.keys.BeginOwned(now, x.keyID, fingerprint, x.keyOwner)
	switch {
	case errors.Is(err, idempotency.ErrTooManyKeys): // nothing was sent
		return engine.Result{Rejected: true, RetryAfter: keysFullRetryAfter}, false
	case errors.Is(err, idempotency.ErrKeyReused):
		x.rejection = problemReply(http.StatusUnprocessableEntity, keyReusedTitle)
		return result, false
	}
	x.keyRequest = request
	if result, ok := x.beginRecord(fingerprint); !ok {
		return result, false
	}
	x.claimer = x.claimerOf()
	if request.InProgress && x.class.Concurrent == conf.RejectConcurrent {
		x.rejection = problemReply(http.StatusConflict, keyInProgressTitle)
		x.rejection.Header.Set("Retry-After", "1")
		return result, false
	}
	return result, true
}

// claimerOf returns what claims the request's key in the fleet, or nil where this process decides alone. A request that another site has
// begun goes on under its numbers.
func (x *exchange) claimerOf() *keyClaimer {
	f := x.gateway.fleet
	if f == nil || !f.HasVoters() {
		return nil
	}
	hasSeveralPlaces := x.gateway.site != "" || x.rule.Failover != "" || len(x.rule.Targets) > 1
	if !failover.NeedsFleetClaim(x.class.Scope, hasSeveralPlaces) {
		return nil
	}
	if r := x.forwarded; r != nil && r.ClaimAttempt != (ownership.ClaimID{}) {
		return resumeKeyClaimer(f, x.keyID, x.class, x.deadline, r.ClaimAttempt, r.ClaimRound, len(r.VisitedSites))
	}
	return newKeyClaimer(f, x.keyID, x.class, x.deadline)
}

// The titles of problem replies.
const (
	keyReusedTitle     = "The key belongs to another request."
	keyInProgressTitle = "A request with the key is in work."
)

// problemReply returns the response to a request whose key forbids it (draft-ietf-httpapi-idempotency-key-header, 2.7; RFC 9457).
func problemReply(status int, title string) *frontend.Reply {
	return &frontend.Reply{Status: status, Header: http.Header{"Content-Type": {"application/problem+json"}},
		Body: fmt.Appendf(nil, `{"status":%d,"title":%q}`, status, title)}
}

// keyState returns what is known of the request's key: to this process, to the voters, and to other sites.
func (x *exchange) keyState() idempotency.KeyState {
	if x.keyRequest == nil {
		return idempotency.KeyState{}
	}
	state := x.keyRequest.KeyState(x.class.Scope)
	if x.claimer != nil {
		state = state.Merge(x.claimer.KeyState(), x.class.Scope)
	}
	if x.remoteKeyState.Known {
		state = state.Merge(x.remoteKeyState, x.class.Scope)
	}
	return state
}

// localKeyState returns keyState for a choice among this site's clusters, by their own names.
func (x *exchange) localKeyState() idempotency.KeyState {
	state := x.keyState()
	if site, cluster := forwarding.SplitCluster(state.Place.Cluster); site == x.gateway.site {
		state.Place.Cluster = cluster
	}
	return state
}

// ownerSite returns the site that owns the request's key, or "".
func (x *exchange) ownerSite() string {
	if x.keyRequest == nil {
		return ""
	}
	states := []idempotency.KeyState{x.keyRequest.KeyState(x.class.Scope), x.remoteKeyState}
	if x.claimer != nil {
		states = append(states, x.claimer.KeyState())
	}
	return forwarding.OwnerSite(states...)
}
