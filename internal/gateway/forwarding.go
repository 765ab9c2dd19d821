package gateway

import (
	"context"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
	"silvertrail/internal/sites/peering"
	"silvertrail/lbpolicy"
)

// maxSettleTime bounds how long a request waits to learn the outcome of a forwarded request that was cut off; it waits for half of its
// remaining time where that is less.
const maxSettleTime = time.Second

// minRejectedRetryAfter is the least Retry-After of a request that another site has rejected without one: the time that was too short
// there is longer for a new request.
const minRejectedRetryAfter = 100 * time.Millisecond

// forward forwards a request to other sites as its forwarding.Route says, until one has served it or none may have it. The result that
// is passed in is that of the own site.
func (x *exchange) forward(ctx context.Context, route *forwarding.Route, result engine.Result) engine.Result {
	transport := x.gateway.transport.Load()
	if transport == nil {
		return result
	}
	attempts := result.Attempts
	for result.Response == nil && !engine.IsDisconnected(ctx) && (attempts == 0 || engine.MayAttemptAgain(ctx)) {
		progress := forwarding.Progress{
			Now:         time.Now(),
			Deadline:    x.responseDeadline(),
			MayHaveRun:  result.MayHaveRun,
			NewAttempts: attempts,
			OwnerSite:   x.ownerSite(),
			Rejected:    result.Rejected,
			Transit:     x.forwarded != nil,
		}
		choice, reason, ok := route.Next(progress)
		if !ok {
			return result
		}
		choice.PriorityWeight = x.class.PriorityWeight
		site, retryAfter, ok := transport.Pick(choice)
		if !ok {
			if retryAfter > 0 && !result.MayHaveRun { // it never ran anywhere, and no site takes it now
				result.Rejected = true
				result.RetryAfter = max(result.RetryAfter, retryAfter)
			}
			return result
		}
		route.MarkForwarded(site)
		next := x.forwardTo(ctx, transport, site, reason, route)
		attempts = next.Attempts
		result = combineResults(result, next)
	}
	return result
}

// combineResults returns the result of a request that was forwarded after an earlier result without a response.
func combineResults(before, result engine.Result) engine.Result {
	result.MayHaveRun = result.MayHaveRun || before.MayHaveRun && result.Response == nil
	result.Rejected = result.Rejected && !result.MayHaveRun
	if result.Rejected { // until both sites can be asked again
		result.RetryAfter = max(result.RetryAfter, minRejectedRetryAfter)
		if before.Rejected {
			result.RetryAfter = max(result.RetryAfter, before.RetryAfter)
		}
	}
	if result.Response == nil && result.LastResponse == nil {
		result.LastResponse = before.LastResponse
	}
	return result
}

// forwardAttempt is an attempt of a request at another site.
type forwardAttempt struct {
	exchange   *exchange
	transport  *peering.Transport
	site       string
	reason     accounting.Reason
	mayHaveRun bool                 // an earlier attempt
	key        *idempotency.Attempt // nil: the request has no key
	record     *ledger.Attempt      // nil: it is not recorded
}

// forwardTo forwards the request to one other site. Its key is restricted to that site from before the first byte until it is known that
// nothing has run there.
func (x *exchange) forwardTo(ctx context.Context, transport *peering.Transport, site string, reason accounting.Reason, route *forwarding.Route) engine.Result {
	f := &forwardAttempt{exchange: x, transport: transport, site: site, reason: reason}
	untilDeadline, cancel := x.gateway.shutdown.withDeadline(ctx, x.deadline)
	defer cancel()
	if result, ok := f.begin(untilDeadline); !ok {
		return result
	}
	request := f.request(ctx, route)
	answer := peering.ForwardResult{Outcome: accounting.NeverRan}
	if !engine.IsDisconnected(untilDeadline) { // the client may have disconnected, or its time passed, while the attempt was recorded
		answer = transport.Forward(untilDeadline, site, request)
	}
	outcome := f.settle(ctx, answer)
	f.end(outcome, answer.Response)
	result := x.forwardedResult(answer.Response, outcome)
	isAbandoned := untilDeadline.Err() != nil && answer.Response == nil && ctx.Err() != nil
	f.reportResult(answer.Sent, result, outcome, isAbandoned)
	if answer.Sent {
		x.gateway.log.Debug("request forwarded", "site", site, "class", x.class.Name, "reason", reason.String(), "outcome", outcome.String())
	}
	return result
}

// place is what the key is restricted to.
func (f *forwardAttempt) place() idempotency.Place {
	return idempotency.Place{Cluster: forwarding.QualifyCluster(f.site, ""), Zone: f.site}
}

// begin restricts the key to the site and records the attempt. Where either fails nothing is sent, and the result is final.
func (f *forwardAttempt) begin(ctx context.Context) (result engine.Result, ok bool) {
	x := f.exchange
	if x.keyRequest != nil {
		f.mayHaveRun = x.keyRequest.MayHaveRun()
		var err error
		if f.key, err = x.keyRequest.Reserve(time.Now(), f.place(), x.terms()); err != nil {
			f.transport.RecordResult(f.site, x.class.PriorityWeight, forwarding.NotSent, 0)
			return engine.Result{MayHaveRun: true}, false
		}
	}
	if x.record == nil {
		return result, true
	}
	f.record = x.record.BeginAttempt(siteEndpointName(f.site), x.terms())
	if err := f.record.Intent(ctx, f.place()); err != nil {
		f.record.Ended(lbpolicy.NotSent, 0)
		f.key.End(time.Now(), true)
		f.transport.RecordResult(f.site, x.class.PriorityWeight, forwarding.NotSent, 0)
		return engine.Result{Rejected: !f.mayHaveRun, MayHaveRun: f.mayHaveRun, RetryAfter: unrecordedRetryAfter(err)}, false
	}
	return result, true
}

// request returns the message to the other site.
func (f *forwardAttempt) request(ctx context.Context, route *forwarding.Route) *peering.Request {
	x := f.exchange
	r := &peering.Request{
		TimeLeft:       time.Until(x.responseDeadline()).Microseconds(),
		Class:          x.class.Name,
		PriorityWeight: x.class.PriorityWeight,
		Effect:         uint8(x.class.Effect),
		Tenant:         x.tenant,
		Key:            x.key,
		AttemptsLeft:   route.AttemptsLeft(),
		VisitedSites:   append(append([]string{}, route.VisitedSites...), x.gateway.site),
		Reason:         f.reason,
		KeyMayHaveRun:  x.ownerSite() == f.site && f.reason == accounting.KeyOwned,
		IsRetry:        x.policyRequest.Retry,
		Method:         x.outgoing.Method,
		Target:         x.originalTarget,
		Host:           x.outgoing.Host,
		Header:         x.outgoing.Header,
		Body:           x.outgoing.Body,
		IsDisconnected: func() bool { return engine.IsDisconnected(ctx) },
	}
	r.ClaimAttempt, r.ClaimRound = x.claimNumbers(r.KeyMayHaveRun, f.mayHaveRun)
	return r
}

// settle returns the outcome. One that is not known yet is awaited where the request must not take effect twice.
func (f *forwardAttempt) settle(ctx context.Context, answer peering.ForwardResult) accounting.Outcome {
	x := f.exchange
	if answer.Outcome != accounting.Pending || x.class.Effect == lbpolicy.Idempotent || ctx.Err() != nil {
		return answer.Outcome
	}
	timeout := min(maxSettleTime, max(time.Until(x.responseDeadline())/2, 0))
	ctx, cancel := x.gateway.shutdown.withDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	return f.transport.Settle(ctx, answer)
}

// end ends the attempt for the key and the ledger.
func (f *forwardAttempt) end(outcome accounting.Outcome, response *peering.Response) {
	if f.key != nil {
		f.key.End(time.Now(), outcome.ProvesNothingRan())
	}
	if f.record != nil {
		f.record.Ended(forwardVerdict(outcome, response))
	}
}

// reportResult reports the result to the table of sites, which learns each site's capacity.
func (f *forwardAttempt) reportResult(sent bool, a engine.Result, outcome accounting.Outcome, isAbandoned bool) {
	result := forwarding.Failed
	switch {
	case !sent:
		result = forwarding.NotSent
	case a.Response != nil:
		result = forwarding.Served
	case outcome == accounting.Rejected:
		result = forwarding.Rejected
	case isAbandoned:
		result = forwarding.Abandoned
	}
	f.transport.RecordResult(f.site, f.exchange.class.PriorityWeight, result, a.RetryAfter)
}

// forwardedResult translates the response of another site, which may be nil.
func (x *exchange) forwardedResult(response *peering.Response, outcome accounting.Outcome) (result engine.Result) {
	result.MayHaveRun = !outcome.ProvesNothingRan()
	if response == nil {
		return result
	}
	result.Attempts = response.Attempts
	switch outcome {
	case accounting.Served:
		result.Response = &upstream.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		result.MayHaveRun = false
	case accounting.Rejected:
		result.Rejected = true
		result.RetryAfter = time.Duration(response.RetryAfter) * time.Microsecond
	}
	if response.Place.Cluster != "" && result.Response == nil { // the site knows the owner of the key
		x.remoteKeyState = idempotency.KeyState{Known: true, Place: response.Place, RetryUntil: x.deadline}
	}
	return result
}

// claimNumbers returns the numbers under which the voters know the request, for the site that goes on with it. Where the key may have
// run there already, the request claims its key anew: another round would say that the earlier ones never ran.
func (x *exchange) claimNumbers(keyMayHaveRun, mayHaveRun bool) (ownership.ClaimID, uint32) {
	if x.claimer == nil {
		return ownership.ClaimID{}, 0
	}
	if keyMayHaveRun {
		if x.claimer.resumed {
			return ownership.ClaimID{}, 0 // the site claims in its own name
		}
		x.claimer.release(mayHaveRun)
		x.claimer = newKeyClaimer(x.gateway.fleet, x.keyID, x.class, x.deadline)
	}
	return x.claimer.delegate()
}
