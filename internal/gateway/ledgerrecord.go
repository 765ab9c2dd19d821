package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/ledger"
	"silvertrail/internal/ledger/segment"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// attemptRecorder records a request's attempts in the ledger. It implements engine.Recorder.
type attemptRecorder struct {
	entry *ledger.Entry
	terms idempotency.Terms
}

func (r attemptRecorder) BeginAttempt(endpoint string) engine.Record {
	return r.entry.BeginAttempt(endpoint, r.terms)
}

// terms returns what the request's class promises of its keys.
func (x *exchange) terms() idempotency.Terms {
	return idempotency.Terms{Scope: x.class.Scope, Window: x.class.Window, Retention: x.class.Retention}
}

// mergeRecoveredKey merges what former processes have recorded of the request's key into the table of keys. Where records were lost that
// may have been of the key, nothing can be promised.
func (x *exchange) mergeRecoveredKey(now time.Time, fingerprint idempotency.Fingerprint) (result engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return result, true
	}
	state, recorded, found := l.RecoveredKey(now, x.keyID)
	switch {
	case !found:
		if l.IsUncertain(now) {
			return engine.Result{MayHaveRun: true}, false
		}
	case fingerprint != idempotency.Fingerprint{} && recorded != idempotency.Fingerprint{} && l.MaskFingerprint(fingerprint) != recorded:
		x.rejection = problemReply(http.StatusUnprocessableEntity, keyReusedTitle)
		return result, false
	default:
		x.gateway.keys.Merge(now, state)
	}
	return result, true
}

// beginRecord records the request. Where that fails the request is rejected at once, and nothing is sent.
func (x *exchange) beginRecord(fingerprint idempotency.Fingerprint) (result engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return result, true
	}
	r := ledger.Request{ID: x.outgoing.Header.Get("X-Request-Id"), Class: x.class.Name, Tenant: x.tenant, Key: x.key, KeyID: x.keyID, Fingerprint: fingerprint,
		TimeLeft: x.policyRequest.TimeLeft, ServeUnrecorded: x.class.ServeUnrecorded}
	if x.forwarded != nil && len(x.forwarded.VisitedSites) > 0 {
		r.FromSite = x.forwarded.VisitedSites[len(x.forwarded.VisitedSites)-1]
	}
	e, err := l.Begin(r)
	if err != nil {
		return engine.Result{Rejected: true, RetryAfter: unrecordedRetryAfter(err)}, false
	}
	x.record = e
	return result, true
}

// minUnrecordedRetryAfter is the least Retry-After of a request that cannot be recorded.
const minUnrecordedRetryAfter = 100 * time.Millisecond

// unrecordedRetryAfter returns the Retry-After of a request that cannot be recorded.
func unrecordedRetryAfter(err error) time.Duration {
	var u *ledger.UnavailableError
	if errors.As(err, &u) {
		return max(u.RetryAfter, minUnrecordedRetryAfter)
	}
	return keysFullRetryAfter
}

// recordReply records the response to a client.
func (x *exchange) recordReply(a engine.Result, own *frontend.Reply) {
	if x.record == nil {
		return
	}
	ending, status := segment.Failed, http.StatusBadGateway
	switch {
	case x.rejection != nil:
		ending, status = segment.KeyConflict, x.rejection.Status
	case x.disconnected && a.Response == nil:
		ending, status = segment.Disconnected, 0
	case own != nil:
		status = own.Status
	case a.Response != nil:
		ending, status = segment.Served, a.Response.Status
	case a.Rejected:
		ending, status = segment.Rejected, http.StatusServiceUnavailable
	}
	x.finishRecord(ending, status)
}

// recordForwardedReply records the response to another site.
func (x *exchange) recordForwardedReply(out *peering.Response) {
	if x.record == nil {
		return
	}
	ending := segment.Failed
	switch {
	case x.rejection != nil:
		ending = segment.KeyConflict
	case out.Outcome == accounting.Served:
		ending = segment.Served
	case out.Outcome == accounting.Rejected:
		ending = segment.Rejected
	case x.disconnected:
		ending = segment.Disconnected
	}
	x.finishRecord(ending, out.Status)
}

// finishRecord records the final answer. What it waits for ends with the time in which the answer is due.
func (x *exchange) finishRecord(ending segment.Ending, status int) {
	ctx, cancel := x.gateway.shutdown.withDeadline(context.Background(), x.deadline)
	defer cancel()
	x.record.Finish(ctx, ending, status)
}

// siteEndpointName returns the name of another site's gateway in the ledger.
func siteEndpointName(site string) string { return "sala " + site }

// forwardVerdict translates the outcome of a forwarded request into the verdict and status of an attempt.
func forwardVerdict(o accounting.Outcome, response *peering.Response) (lbpolicy.Verdict, int) {
	status := 0
	if response != nil {
		status = response.Status
	}
	switch {
	case o == accounting.Served:
		return lbpolicy.OK, status
	case o.ProvesNothingRan():
		return lbpolicy.ServerFull, status
	}
	return lbpolicy.Timeout, 0
}

// LedgerStatus returns the state of the ledger; ok is false where there is none.
func (g *Gateway) LedgerStatus() (v ledger.View, ok bool) {
	if g.ledger == nil {
		return v, false
	}
	return g.ledger.Status(), true
}

func (g *Gateway) handleLedger(w http.ResponseWriter, _ *http.Request) {
	v, ok := g.LedgerStatus()
	if !ok {
		http.Error(w, "this instance keeps no ledger", http.StatusNotFound)
		return
	}
	writeJSON(w, v)
}
