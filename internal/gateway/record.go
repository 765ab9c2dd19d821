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

// recorder gives a request's attempts to the ledger. It implements engine.Recorder.
type recorder struct {
	entry *ledger.Entry
	terms idempotency.Terms
}

func (r recorder) Attempt(endpoint string) engine.Record { return r.entry.Attempt(endpoint, r.terms) }

// terms are what the request's class promises of its keys.
func (x *exchange) terms() idempotency.Terms {
	return idempotency.Terms{Scope: x.class.Scope, Window: x.class.Window, Retention: x.class.Retention}
}

// recall takes into the history what former processes have recorded of the request's key. Where records are lost that could
// have told of it, nothing can be promised.
func (x *exchange) recall(now time.Time, print idempotency.Fingerprint) (a engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return a, true
	}
	k, was, found := l.RecoveredKey(now, x.id)
	switch {
	case !found:
		if l.IsUncertain(now) {
			return engine.Result{MayHaveRun: true}, false
		}
	case print != idempotency.Fingerprint{} && was != idempotency.Fingerprint{} && l.MaskFingerprint(print) != was:
		x.turned = problem(http.StatusUnprocessableEntity, otherRequest)
		return a, false
	default:
		x.gateway.keys.Merge(now, k)
	}
	return a, true
}

// take has the request recorded. Where it can't be nothing is sent, and its caller is told so at once.
func (x *exchange) take(print idempotency.Fingerprint) (a engine.Result, ok bool) {
	l := x.gateway.ledger
	if l == nil {
		return a, true
	}
	r := ledger.Request{ID: x.up.Header.Get("X-Request-Id"), Class: x.class.Name, Tenant: x.tenant, Key: x.key, KeyID: x.id, Fingerprint: print,
		TimeLeft: x.q.TimeLeft, Unrecorded: x.class.ServeUnrecorded}
	if x.passing != nil && len(x.passing.VisitedSites) > 0 {
		r.FromSite = x.passing.VisitedSites[len(x.passing.VisitedSites)-1]
	}
	e, err := l.Begin(r)
	if err != nil {
		return engine.Result{Rejected: true, RetryAfter: unrecordedBack(err)}, false
	}
	x.entry = e
	return a, true
}

// unrecordedBack is when a caller is told to come back whose request can't be recorded.
func unrecordedBack(err error) time.Duration {
	var u *ledger.UnavailableError
	if errors.As(err, &u) {
		return max(u.RetryAfter, 100*time.Millisecond)
	}
	return keysRetry
}

// final has the answer to a caller recorded.
func (x *exchange) final(a engine.Result, own *frontend.Reply) {
	if x.entry == nil {
		return
	}
	ending, status := segment.Failed, http.StatusBadGateway
	switch {
	case x.turned != nil:
		ending, status = segment.KeyConflict, x.turned.Status
	case x.gone && a.Response == nil:
		ending, status = segment.Disconnected, 0
	case own != nil:
		status = own.Status
	case a.Response != nil:
		ending, status = segment.Served, a.Response.Status
	case a.Rejected:
		ending, status = segment.Rejected, http.StatusServiceUnavailable
	}
	x.entry.Finish(ending, status)
}

// finalOver has the answer to another sala recorded.
func (x *exchange) finalOver(out *peering.Response) {
	if x.entry == nil {
		return
	}
	ending := segment.Failed
	switch {
	case x.turned != nil:
		ending = segment.KeyConflict
	case out.Outcome == accounting.Served:
		ending = segment.Served
	case out.Outcome == accounting.Rejected:
		ending = segment.Rejected
	case x.gone:
		ending = segment.Disconnected
	}
	x.entry.Finish(ending, out.Status)
}

// salaNodo is what the ledger calls another sala's gateway.
func salaNodo(sala string) string { return "sala " + sala }

// crossed tells how an attempt that went to another sala has ended, in the words of attempts.
func crossed(o accounting.Outcome, said *peering.Response) (lbpolicy.Verdict, int) {
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

// Recorded tells how the ledger stands; ok is false where there is none.
func (g *Gateway) Recorded() (v ledger.View, ok bool) {
	if g.ledger == nil {
		return v, false
	}
	return g.ledger.Status(), true
}

func (g *Gateway) tellLedger(w http.ResponseWriter, _ *http.Request) {
	v, ok := g.Recorded()
	if !ok {
		http.Error(w, "this instance keeps no ledger", http.StatusNotFound)
		return
	}
	tell(w, v)
}
