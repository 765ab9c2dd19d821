package gateway

import (
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

// attemptRecorder gives a request's attempts to the ledger. It implements engine.Recorder.
type attemptRecorder struct {
	entry *ledger.Entry
	terms idempotency.Terms
}

func (r attemptRecorder) Attempt(endpoint string) engine.Record {
	return r.entry.Attempt(endpoint, r.terms)
}

// terms are what the request's class promises of its keys.
func (x *exchange) terms() idempotency.Terms {
	return idempotency.Terms{Scope: x.class.Scope, Window: x.class.Window, Retention: x.class.Retention}
}

// mergeRecoveredKey takes into the history what former processes have recorded of the request's key. Where records are lost that could
// have told of it, nothing can be promised.
func (x *exchange) mergeRecoveredKey(now time.Time, print idempotency.Fingerprint) (a engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return a, true
	}
	k, was, found := l.RecoveredKey(now, x.keyID)
	switch {
	case !found:
		if l.IsUncertain(now) {
			return engine.Result{MayHaveRun: true}, false
		}
	case print != idempotency.Fingerprint{} && was != idempotency.Fingerprint{} && l.MaskFingerprint(print) != was:
		x.rejection = problemReply(http.StatusUnprocessableEntity, keyReusedTitle)
		return a, false
	default:
		x.gateway.keys.Merge(now, k)
	}
	return a, true
}

// beginRecord has the request recorded. Where it can't be nothing is sent, and its caller is told so at once.
func (x *exchange) beginRecord(print idempotency.Fingerprint) (a engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return a, true
	}
	r := ledger.Request{ID: x.outgoing.Header.Get("X-Request-Id"), Class: x.class.Name, Tenant: x.tenant, Key: x.key, KeyID: x.keyID, Fingerprint: print,
		TimeLeft: x.policyRequest.TimeLeft, Unrecorded: x.class.ServeUnrecorded}
	if x.forwarded != nil && len(x.forwarded.VisitedSites) > 0 {
		r.FromSite = x.forwarded.VisitedSites[len(x.forwarded.VisitedSites)-1]
	}
	e, err := l.Begin(r)
	if err != nil {
		return engine.Result{Rejected: true, RetryAfter: unrecordedRetryAfter(err)}, false
	}
	x.record = e
	return a, true
}

// unrecordedRetryAfter is when a caller is told to come back whose request can't be recorded.
func unrecordedRetryAfter(err error) time.Duration {
	var u *ledger.UnavailableError
	if errors.As(err, &u) {
		return max(u.RetryAfter, 100*time.Millisecond)
	}
	return keysFullRetryAfter
}

// recordReply has the answer to a caller recorded.
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
	x.record.Finish(ending, status)
}

// recordForwardedReply has the answer to another sala recorded.
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
	x.record.Finish(ending, out.Status)
}

// siteEndpointName is what the ledger calls another sala's gateway.
func siteEndpointName(sala string) string { return "sala " + sala }

// forwardVerdict tells how an attempt that went to another sala has ended, in the words of attempts.
func forwardVerdict(o accounting.Outcome, said *peering.Response) (lbpolicy.Verdict, int) {
	status := 0
	if said != nil {
		status = said.Status
	}
	switch {
	case o == accounting.Served:
		return lbpolicy.OK, status
	case o.ProvesNothingRan():
		return lbpolicy.ServerFull, status
	}
	return lbpolicy.Timeout, 0
}

// LedgerStatus tells how the ledger stands; ok is false where there is none.
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
