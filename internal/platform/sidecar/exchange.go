package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/failover"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/edge/frontend"
	"silvertrail/internal/platform/config"
	"silvertrail/internal/platform/counters"
	"silvertrail/lbpolicy"
)

// exchange is one request with its response. It implements frontend.Exchange and frontend.StreamingExchange.
type exchange struct {
	router      *Router
	config      *config.Config // current when the request's head was read
	upstream    upstream.Request
	request     lbpolicy.Request
	requestID   string
	requestHash uint64 // hash of requestID, set if isStarted
	isStarted   bool   // requestID was new and has been added to the router's IDs
	isDuplicate bool   // another request has the same requestID

	isKeyed    bool
	keyID      idempotency.KeyID
	keyOwner   idempotency.Owner
	keyRequest *idempotency.Request

	isReceived bool // the request's last byte has arrived, or its head if the body is streamed
	isAnswered bool
	outcome    counters.Outcome
	response   *upstream.Response
}

func (x *exchange) class() *lbpolicy.Class { return &x.config.Policy.Classes[x.request.Class] }

// BodyBudget implements frontend.Exchange.
func (x *exchange) BodyBudget() frontend.Budget { return x.router.bodies }

// Timeout implements frontend.Exchange.
func (x *exchange) Timeout() time.Duration { return x.request.TimeLeft }

// Do implements frontend.Exchange.
func (x *exchange) Do(ctx context.Context, body []byte, receivedAt time.Time) engine.Result {
	return x.do(ctx, body, func() { x.request.TimeLeft -= time.Since(receivedAt) })
}

// do serves the request. It calls setTimeLeft once nothing more delays the call of the engine.
func (x *exchange) do(ctx context.Context, body []byte, setTimeLeft func()) engine.Result {
	x.isReceived = true
	x.router.counters.RequestReceived()
	x.requestHash, x.isStarted = x.router.ids.begin(x.requestID)
	if !x.isStarted || x.isKnownToSuccessor(ctx) {
		x.isDuplicate = true
		return engine.Result{}
	}
	x.upstream.Body = body
	var key *engine.Key
	if x.isKeyed {
		var err error
		key, err = x.beginKey()
		if err != nil { // the key table is full, and no attempt has been sent
			return engine.Result{Rejected: true, RetryAfter: keysRetryAfter}
		}
	}
	setTimeLeft()
	result, _ := x.router.engine.Do(ctx, x.upstream, x.request, key)
	return result
}

// isKnownToSuccessor claims the request's ID at the process that has taken over, if there is one, and reports whether it was in use there. A
// process that does not respond claims nothing: a request that is new is not to fail because of one that repeats its ID.
func (x *exchange) isKnownToSuccessor(ctx context.Context) bool {
	process := x.router.handover.Load()
	if process == nil || !process.IsRetired() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, x.request.TimeLeft)
	defer cancel()
	isKnown, err := process.ClaimID(ctx, x.requestHash)
	if err != nil {
		x.router.log.Warn("request ID not claimed at the successor", "request", x.requestID, "error", err)
	}
	return isKnown
}

// beginKey adds the request to the key table under its idempotency key. It fails if the table is full.
func (x *exchange) beginKey() (*engine.Key, error) {
	var err error
	x.keyRequest, err = x.router.keys.BeginOwned(time.Now(), x.keyID, idempotency.Fingerprint{}, x.keyOwner)
	if err != nil {
		return nil, err
	}
	class := x.class()
	terms := idempotency.Terms{Scope: class.Scope, Window: class.Window, Retention: class.Deadline}
	key := &engine.Key{Request: x.keyRequest, Terms: terms}
	if process := x.router.handover.Load(); process != nil {
		key.Claimer = &keyClaimer{process: process, id: x.keyID, terms: terms}
	}
	return key, nil
}

// MaxBodyBytes implements frontend.StreamingExchange.
func (x *exchange) MaxBodyBytes() int64 { return MaxBodyBytes }

// Stream implements frontend.StreamingExchange.
func (x *exchange) Stream(ctx context.Context, held []byte, rest *frontend.BodyStream) engine.Result {
	x.upstream.Stream = rest
	return x.do(ctx, held, func() {}) // the time counts from the last byte
}

// Reply implements frontend.Exchange.
func (x *exchange) Reply(result engine.Result) *frontend.Reply {
	own := x.ownReply(result)
	x.isAnswered = true
	if result.TimedOut {
		x.router.counters.Deliveries.TimedOut.Add(1)
	}
	switch {
	case own == nil && result.Response != nil:
		x.outcome, x.response = counters.Answered, result.Response
	case own == nil && result.Rejected || own != nil && own.Status == http.StatusServiceUnavailable:
		x.outcome = counters.Rejected
	}
	return own
}

// ownReply returns the sidecar's own reply, or nil if the engine's result is the reply. A request that repeats the ID of
// another request never gets 429 or 503, because the status would be taken as the result of the other request. A keyed
// request for which mayReject returns false never gets them either.
func (x *exchange) ownReply(result engine.Result) *frontend.Reply {
	switch {
	case x.isDuplicate:
		return &frontend.Reply{Status: http.StatusConflict, Close: true}
	case result.ClassRemoved:
		return &frontend.Reply{Status: http.StatusNotFound}
	case !result.Rejected:
		return nil
	case x.isKeyed && !x.mayReject():
		return &frontend.Reply{Status: http.StatusBadGateway}
	}
	policy := &x.config.Policy
	if !policy.SendsRetryAfter || policy.Tier > 0 {
		return &frontend.Reply{Status: http.StatusServiceUnavailable}
	}
	if policy.MaxRetryAfter > 0 && result.RetryAfter > policy.MaxRetryAfter { // clients ignore a longer Retry-After and may retry at once
		retryAfter := strconv.FormatFloat(policy.MaxRetryAfter.Seconds(), 'f', 3, 64)
		return &frontend.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {retryAfter}}}
	}
	return nil
}

// mayReject reports whether the request may be rejected, which tells its client that a retry may go to any endpoint. That
// holds if no attempt with its key can have been executed, or while all endpoints still drop repeats of the key.
func (x *exchange) mayReject() bool {
	now := time.Now()
	scope := x.class().Scope
	return failover.MayReject(now, x.router.keys.KeyState(now, x.keyID, scope), scope)
}

// Delivered implements frontend.Exchange.
func (x *exchange) Delivered(d frontend.Delivery) {
	counts := &x.router.counters.Deliveries
	if d.Late > 0 && !errors.Is(d.Err, frontend.ErrClientGone) {
		counts.Late.Add(1)
	}
	switch {
	case d.Err == nil:
	case errors.Is(d.Err, frontend.ErrClientGone):
		counts.ClientsGone.Add(1)
	case errors.Is(d.Err, frontend.ErrNotWritten):
		counts.NotWritten.Add(1)
	case errors.Is(d.Err, frontend.ErrOverdue):
		counts.Overdue.Add(1)
		x.outcome = counters.Errored
	default:
		counts.CutOff.Add(1)
	}
	d.Log(x.router.log, x.requestID, x.class().Name)
}

// Close implements frontend.Exchange.
func (x *exchange) Close() {
	if x.response != nil && x.response.Stream != nil && !x.response.Stream.IsDelivered() { // the response was cut off, or the client has disconnected
		x.outcome = counters.Errored
	}
	if x.isReceived || x.isAnswered { // otherwise the request's body never arrived completely
		x.router.counters.RequestEnded(x.class().Name, x.outcome, x.isReceived)
	}
	if x.keyRequest != nil {
		x.keyRequest.End()
	}
	if x.isStarted {
		x.router.ids.end(x.requestHash)
	}
}
