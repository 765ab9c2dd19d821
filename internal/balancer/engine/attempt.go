package engine

import (
	"context"
	"errors"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/exhaustion"
	"silvertrail/lbpolicy"
)

// loadReportHeader is the response header that carries an endpoint's load report.
const loadReportHeader = "X-Server-Load"

// errNotSent is the error of an attempt that was not sent.
var errNotSent = errors.New("attempt not sent: the key is claimed elsewhere, or could not be claimed or recorded before the deadline")

// attempt is one attempt of a call.
type attempt struct {
	number            int
	server            *endpoint
	pool              *upstream.Pool // connections to the address that the server had when the attempt was decided on
	sentAt            time.Duration
	progress          upstream.AttemptProgress
	cancel            context.CancelFunc
	firstByteSent     bool                 // the first byte was sent, or is about to be
	ended             bool                 // the policy has been notified of the end, or is being notified
	isAbandoned       bool                 // ended before its response was returned
	isReporting       bool                 // the policy is being notified of the response
	isDispatchPending bool                 // the policy was told that the dispatch is pending: see setDispatchPending
	neverRan          bool                 // ended with proof that the endpoint did not execute it
	released          chan struct{}        // closed when the attempt no longer uses a connection
	keyAttempt        *idempotency.Attempt // nil: the request has no idempotency key
	record            Record               // nil: the attempt is not recorded
	intentRecorded    bool
}

// abandon ends an attempt before its response is returned. An attempt whose first byte was not sent ends as NotSent, as it will
// never run.
func (e *Engine) abandon(now time.Duration, c *Call, a *attempt, verdict lbpolicy.Verdict) {
	if a.ended {
		return
	}
	if !a.firstByteSent {
		verdict = lbpolicy.NotSent
	}
	a.isAbandoned = true
	e.endAttempt(now, c, a, verdict, nil) // before the cancellation, as the policy may ask which bytes have arrived
	a.cancel()
}

// endAttempt notifies the policy of the end of an attempt. The first successful response becomes the call's result.
func (e *Engine) endAttempt(now time.Duration, c *Call, a *attempt, verdict lbpolicy.Verdict, response *upstream.Response) {
	a.ended, a.neverRan = true, verdict.NeverRan()
	if a.keyAttempt != nil {
		a.keyAttempt.End(time.Now(), a.neverRan)
	}
	outcome := lbpolicy.Outcome{
		ID:      c.id,
		Attempt: a.number,
		Server:  a.server.ID,
		Verdict: verdict,
		Latency: now - a.sentAt,
		Final:   c.done,
	}
	status := 0
	if response != nil {
		status = response.Status
		c.lastResponse = response
		outcome.Load = parseLoad(response.Header.Get(loadReportHeader), e.reportFields)
	}
	if a.record != nil {
		a.record.Ended(verdict, status)
	}
	if verdict == lbpolicy.OK && !c.done {
		outcome.Final = true
		e.finish(c, Result{Response: response})
	}
	e.updateKeyState(now, c)
	a.isReporting = response != nil
	e.balancer.Outcome(now, outcome)
	a.isReporting = false
	e.release(c)
}

// runAttempt carries out an attempt. It first waits until the earlier attempts that have ended no longer use a connection, because
// endpoints count a request as in progress for as long as its connection is open.
func (e *Engine) runAttempt(ctx context.Context, c *Call, a *attempt, earlierReleases []chan struct{}) {
	for _, released := range earlierReleases {
		<-released
	}
	verdict, response, err := e.send(ctx, c, a)
	if response != nil && response.Stream != nil {
		e.streamResponse(c, a, verdict, response)
	}
	close(a.released)
	e.processEvent(func(now time.Duration) {
		if a.ended {
			return
		}
		c.outOfDescriptors = c.outOfDescriptors || exhaustion.Is(err)
		if err != nil && !c.done {
			e.log.Info("attempt failed", "endpoint", a.server.name, "error", err,
				"request", c.requestID(), "attempt", a.number, "latency", now-a.sentAt)
		}
		e.endAttempt(now, c, a, verdict, response)
	})
	a.cancel()
}

// send sends an attempt after its key has been claimed and its intent has been recorded.
func (e *Engine) send(ctx context.Context, c *Call, a *attempt) (lbpolicy.Verdict, *upstream.Response, error) {
	if !e.prepareDispatch(ctx, c, a) {
		return lbpolicy.NotSent, nil, errNotSent
	}
	e.mu.Lock()
	r := c.request // copied under the lock, as the deadline changes when a streamed body has arrived
	e.mu.Unlock()
	if r.Stream != nil {
		r.Stream = &uploadBody{RequestStream: r.Stream, engine: e, call: c, attempt: a}
	}
	return a.pool.Do(ctx, &r, &a.progress, func() bool { return e.claimDispatch(c, a) })
}

// mayDispatch reports whether an attempt may still be sent. While its connection was being established, the attempt may have been
// abandoned, its call may have received its result, its endpoint may have started to drain, been removed or changed its address,
// or the retry window of its key may have ended. The caller holds the lock.
func (e *Engine) mayDispatch(now time.Time, c *Call, a *attempt) bool {
	if a.ended || c.done || !now.Before(c.request.Deadline) {
		return false
	}
	if a.server.State != lbpolicy.Ready || a.server.manuallyEjected || a.server.pool != a.pool {
		return false
	}
	return a.keyAttempt == nil || e.keyAllowsDispatch(now, c, a)
}

// actions implements lbpolicy.Host. The balancer calls its methods while an event is processed, with the lock held.
type actions struct{ *Engine }

// Send implements lbpolicy.Host.
func (e actions) Send(id lbpolicy.RequestID, s lbpolicy.ServerID) {
	c := e.calls[id]
	if c == nil {
		return
	}
	a := &attempt{
		number:   len(c.attempts),
		server:   e.endpoints[s],
		sentAt:   e.clock.now(),
		cancel:   func() {},
		released: make(chan struct{}),
	}
	earlierReleases := c.endedAttemptReleases()
	c.attempts = append(c.attempts, a)
	isShutDown := !e.shutdownAt.IsZero() && !time.Now().Before(e.shutdownAt)
	if a.server == nil || c.done || isShutDown || !e.reserveKey(c, a) {
		e.endUnsent(c, a, s)
		return
	}
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(context.Background())
	a.pool = a.server.pool
	if c.key != nil && c.key.Recorder != nil {
		a.record = c.key.Recorder.BeginAttempt(a.server.name)
	}
	if c.request.Stream != nil && c.timeLeftAfterBody > 0 { // a server that waits for the rest of the client's body is not unresponsive
		e.pendingEvents = append(e.pendingEvents, func(now time.Duration) { e.setDispatchPending(now, c, a, true) })
	}
	go e.runAttempt(ctx, c, a, earlierReleases)
}

// endedAttemptReleases returns the channels that are closed when the attempts that have ended no longer use a connection.
func (c *Call) endedAttemptReleases() []chan struct{} {
	var releases []chan struct{}
	for _, a := range c.attempts {
		if a.ended {
			releases = append(releases, a.released)
		}
	}
	return releases
}

// endUnsent ends an attempt that cannot be sent, once the present event has been handled.
func (e actions) endUnsent(c *Call, a *attempt, s lbpolicy.ServerID) {
	if a.server == nil {
		a.server = &endpoint{Server: lbpolicy.Server{ID: s}}
	}
	close(a.released)
	e.pendingEvents = append(e.pendingEvents, func(now time.Duration) { e.abandon(now, c, a, lbpolicy.NotSent) })
}

// Reject implements lbpolicy.Host.
func (e actions) Reject(id lbpolicy.RequestID, retryAfter time.Duration) {
	if c := e.calls[id]; c != nil {
		e.finish(c, Result{Rejected: true, RetryAfter: retryAfter})
	}
}

// Fail implements lbpolicy.Host.
func (e actions) Fail(id lbpolicy.RequestID) {
	if c := e.calls[id]; c != nil {
		e.finish(c, Result{})
	}
}

// Cancel implements lbpolicy.Host.
func (e actions) Cancel(id lbpolicy.RequestID, number int) {
	c := e.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) {
		return
	}
	a := c.attempts[number]
	e.pendingEvents = append(e.pendingEvents, func(now time.Duration) { e.abandon(now, c, a, lbpolicy.Cancelled) })
}

// CloseIdle implements lbpolicy.Host.
func (e actions) CloseIdle(s lbpolicy.ServerID) {
	if server := e.endpoints[s]; server != nil {
		server.pool.CloseIdle()
	}
}

// Watch implements lbpolicy.Host.
func (e actions) Watch() { e.pollDiscovery() }

// SetTimer implements lbpolicy.Host. If the token is the ID of a call, the timer replaces the earlier one of the call and is stopped
// when the call is released. All other timers belong to the policy itself, which has one pending at a time.
func (e actions) SetTimer(at time.Duration, token uint64) {
	timer := time.AfterFunc(at-e.clock.now(), func() {
		e.processEvent(func(now time.Duration) { e.balancer.Timer(now, token) })
	})
	if c := e.calls[lbpolicy.RequestID(token)]; c != nil {
		if c.checkTimer != nil {
			c.checkTimer.Stop()
		}
		c.checkTimer = timer
	}
}

// Log implements lbpolicy.Host.
func (e actions) Log(line string) { e.log.Info(line) }

// LogServer implements lbpolicy.Host.
func (e actions) LogServer(id lbpolicy.ServerID, line string) {
	name := ""
	if s := e.endpoints[id]; s != nil {
		name = s.name
	}
	e.log.Info(line, "endpoint", name)
}
