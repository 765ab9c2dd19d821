// Package engine runs a lbpolicy.Balancer on real sockets and a real clock. It translates between the two and decides
// nothing: callers' requests, attempts' ends, lists and timers become events, one at a time, and the balancer's
// actions become attempts and answers.
package engine

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/balancer/upstream"
	"silvertrail/internal/base/scarce"
	"silvertrail/lbpolicy"
)

// Engine owns the balancer. All its methods may be called from any goroutine.
type Engine struct {
	log          *slog.Logger
	client       *upstream.Client
	clock        clock
	zones        []string
	reportFields []string // both may change, under the lock
	watch        func()   // asks discovery for changes

	mu              sync.Mutex
	balancer        *lbpolicy.Balancer
	pendingEvents   []func(now time.Duration) // events that actions have raised; they follow the one in hand
	lastID          lbpolicy.RequestID
	classes         []lbpolicy.Class // in force
	calls           map[lbpolicy.RequestID]*Call
	endpoints       map[lbpolicy.ServerID]*endpoint
	everListed      *nameSet                     // endpoints that were ever listed
	manuallyEjected map[string]lbpolicy.ServerID // by hand, by name
	shutdownAt      time.Time                    // when all that is held must have its answer; zero: not ending
}

// Options are what a host is told.
type Options struct {
	Policy       lbpolicy.Settings
	Seed         uint64
	Zones        []string // by name, in the order of the decisions' numbers
	ReportFields []string // fields of a load report, in the order of Decide.Report
	Client       *upstream.Client
	Watch        func() // called where the decisions ask discovery for changes; must not block
	Log          *slog.Logger
}

// New returns a host with no endpoints.
func New(o Options) (*Engine, error) {
	h := &Engine{log: o.Log, client: o.Client, clock: clock{time.Now()}, zones: o.Zones, reportFields: o.ReportFields, watch: o.Watch,
		classes: o.Policy.Classes,
		calls:   map[lbpolicy.RequestID]*Call{}, endpoints: map[lbpolicy.ServerID]*endpoint{}, everListed: newNameSet(),
		manuallyEjected: map[string]lbpolicy.ServerID{}}
	var err error
	h.balancer, err = lbpolicy.New(o.Policy, o.Seed, actions{h})
	return h, err
}

// event runs f, and after it the events that its actions raise. No I/O is done under the lock.
//
// A panic in one of them ends that event, not the process with all that it holds: it is logged, and what it was to
// decide falls to the calls' deadlines (see expire). It guards against faults in the decisions of whatever kind; it
// could hide one, so that the log names it.
func (h *Engine) event(f func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handleEvent(f)
	for len(h.pendingEvents) > 0 {
		next := h.pendingEvents[0]
		h.pendingEvents = h.pendingEvents[1:]
		h.handleEvent(next)
	}
	h.pendingEvents = nil
}

func (h *Engine) handleEvent(f func(now time.Duration)) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("decision failed", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f(h.clock.now())
}

// Call is one caller's request, from its last byte to its final answer and the end of its last attempt.
type Call struct {
	id               lbpolicy.RequestID
	request          upstream.Request
	class            int
	key              *Key // nil: the request has none
	result           chan Result
	done             bool // answered, or its caller has gone
	attempts         []*attempt
	deadlineTimer    *time.Timer
	checkTimer       *time.Timer // set by the decisions
	lastResponse     *upstream.Response
	timeLeft         time.Duration // once its body has come, where that is still coming
	outOfDescriptors bool          // an attempt found no descriptor here
	isClientGone     func() bool   // whether its caller has left; nil: nobody can tell
}

// Result is the one final answer to a call.
type Result struct {
	Response   *upstream.Response // if it was served
	Rejected   bool
	RetryAfter time.Duration
	// MayHaveRun tells of a call that was not served whether an attempt of it may have run, or may yet. Where it is
	// false another cluster may be given the call, whatever its class.
	MayHaveRun bool
	// ClassRemoved tells that the call's class is in the settings no more. Nothing was sent.
	ClassRemoved bool
	Attempts     int // that were made
	// OutOfDescriptors tells that an attempt found no descriptor in this process.
	OutOfDescriptors bool
	// LastResponse is the last answer of an endpoint to a call that failed; nil if none came whole.
	LastResponse *upstream.Response
}

type attempt struct {
	number         int
	server         *endpoint
	pool           *upstream.Pool // to the server's address when it was sent
	sentAt         time.Duration
	cancel         context.CancelFunc
	firstByteSent  bool                 // its first byte may be out
	ended          bool                 // for the decisions
	neverRan       bool                 // ended with proof that it never ran
	closed         chan struct{}        // closed once nothing of it is out on a connection
	keyAttempt     *idempotency.Attempt // nil: the request has no key
	record         Record               // nil: there is none
	intentRecorded bool                 // it waits for no record any more
}

// Begin hands a request to the decisions. Left counts from the request's last byte. The key is nil where it has none;
// the hold on it must last until the answer.
func (h *Engine) Begin(r upstream.Request, q lbpolicy.Request, key *Key) *Call {
	return h.begin(r, q, key, nil)
}

func (h *Engine) begin(r upstream.Request, q lbpolicy.Request, key *Key, away func() bool) *Call {
	c := &Call{request: r, class: q.Class, key: key, result: make(chan Result, 1), isClientGone: away}
	h.event(func(now time.Duration) {
		h.lastID++
		c.id, q.ID = h.lastID, h.lastID
		if !h.shutdownAt.IsZero() {
			q.TimeLeft = min(q.TimeLeft, max(time.Until(h.shutdownAt), 0))
		}
		wait := q.TimeLeft
		if r.Stream != nil { // its time counts from its last byte; until then both sides' progress bounds it
			c.timeLeft, wait = q.TimeLeft, maxUploadTime
			c.request.TimeLeft = q.TimeLeft
		}
		c.request.Deadline = time.Now().Add(wait)
		if q.ClassAtArrival != nil && !h.resolveClass(&q) {
			c.done = true
			c.result <- Result{ClassRemoved: true}
			return
		}
		h.calls[c.id] = c
		c.deadlineTimer = time.AfterFunc(wait, func() { h.expire(c) })
		if key != nil {
			q.KeyState = h.keyState(c)
		}
		h.balancer.Request(now, q)
		h.release(c)
	})
	return c
}

// resolveClass finds the class of a request that was read under earlier settings, by its name.
func (h *Engine) resolveClass(q *lbpolicy.Request) bool {
	if q.Class < len(h.classes) && h.classes[q.Class].Name == q.ClassAtArrival.Name {
		return true
	}
	q.Class = slices.IndexFunc(h.classes, func(c lbpolicy.Class) bool { return c.Name == q.ClassAtArrival.Name })
	return q.Class >= 0
}

// Result returns the channel on which the final answer comes.
func (c *Call) Result() <-chan Result { return c.result }

// Do hands a request to the decisions and waits for its answer. Where ctx ends first the caller has gone: ok is false
// unless an answer was on its way. The request of one that has left by now is not begun, see WithLeft.
func (h *Engine) Do(ctx context.Context, r upstream.Request, q lbpolicy.Request, key *Key) (a Result, ok bool) {
	if IsDisconnected(ctx) {
		return Result{}, false
	}
	c := h.begin(r, q, key, func() bool { return IsDisconnected(ctx) }) // also where ctx has ended and this has not noticed yet
	select {
	case a = <-c.result:
		return a, true
	case <-ctx.Done():
	}
	h.ClientDisconnected(c)
	select {
	case a = <-c.result: // it came first
		return a, true
	default:
		return Result{}, false
	}
}

// ClientDisconnected tells that the caller has left. An answer that was on its way is on the channel.
func (h *Engine) ClientDisconnected(c *Call) {
	h.event(func(now time.Duration) {
		if c.done {
			return
		}
		c.done = true
		h.balancer.ClientDisconnected(now, c.id)
		h.release(c)
	})
}

// ShutDownBy sets the time at which all that is held, and all that still comes, must have its answer.
func (h *Engine) ShutDownBy(at time.Time) {
	h.event(func(time.Duration) {
		h.shutdownAt = at
		for _, c := range h.calls {
			if c.request.Deadline.After(at) {
				c.deadlineTimer.Reset(time.Until(at))
			}
		}
	})
}

// SetBalancers tells how many balancers share the endpoints now, and which of them this one is.
func (h *Engine) SetBalancers(balancers, me int) {
	h.event(func(now time.Duration) { h.balancer.SetBalancers(now, balancers, me) })
}

// SetDropFraction tells what part of the traffic is to be refused, the least worthy first, whatever the load.
func (h *Engine) SetDropFraction(part float64) {
	h.event(func(now time.Duration) { h.balancer.SetDropFraction(now, part) })
}

// InFlight returns the number of calls that wait for their answer or an attempt's end.
func (h *Engine) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// expire ends the attempts of a call whose time is over.
func (h *Engine) expire(c *Call) {
	h.event(func(now time.Duration) {
		for _, a := range c.attempts {
			h.abandon(now, c, a, lbpolicy.Timeout)
		}
	})
	// The decisions have answered by now. Should they not have, the caller still gets its one answer: a failure,
	// which promises nothing.
	h.event(func(now time.Duration) {
		if !c.done {
			h.log.Error("a call was left without an answer", "class", c.class)
			h.finish(c, Result{})
			defer h.balancer.ClientDisconnected(now, c.id)
		}
		h.release(c)
	})
}

// abandon ends an attempt before its answer. One whose first byte is not out never will run.
func (h *Engine) abandon(now time.Duration, c *Call, a *attempt, v lbpolicy.Verdict) {
	if a.ended {
		return
	}
	if !a.firstByteSent {
		v = lbpolicy.NotSent
	}
	a.cancel()
	h.endAttempt(now, c, a, v, nil)
}

// endAttempt ends an attempt for the decisions. The first served answer goes to the caller.
func (h *Engine) endAttempt(now time.Duration, c *Call, a *attempt, v lbpolicy.Verdict, reply *upstream.Response) {
	a.ended, a.neverRan = true, v.NeverRan()
	if a.keyAttempt != nil {
		a.keyAttempt.End(time.Now(), a.neverRan)
	}
	if a.record != nil {
		status := 0
		if reply != nil {
			status = reply.Status
		}
		a.record.Ended(v, status)
	}
	if reply != nil {
		c.lastResponse = reply
	}
	o := lbpolicy.Outcome{ID: c.id, Attempt: a.number, Server: a.server.ID, Verdict: v, Latency: now - a.sentAt, Final: c.done}
	if reply != nil {
		o.Load = parseLoad(reply.Header.Get("X-Server-Load"), h.reportFields)
	}
	if v == lbpolicy.OK && !c.done {
		o.Final = true
		h.finish(c, Result{Response: reply})
	}
	h.updateKeyState(now, c)
	h.balancer.Outcome(now, o)
	h.release(c)
}

// finish gives the caller its answer. The first one counts.
func (h *Engine) finish(c *Call, a Result) {
	if c.done {
		return
	}
	c.done = true
	a.Attempts, a.OutOfDescriptors = len(c.attempts), c.outOfDescriptors
	if a.Response == nil {
		a.LastResponse = c.lastResponse
		for _, t := range c.attempts {
			a.MayHaveRun = a.MayHaveRun || t.firstByteSent && !t.neverRan
		}
	}
	c.result <- a
}

// release drops a call that has its answer and no attempt out.
func (h *Engine) release(c *Call) {
	if !c.done {
		return
	}
	for _, a := range c.attempts {
		if !a.ended {
			return
		}
	}
	c.deadlineTimer.Stop()
	if c.checkTimer != nil {
		c.checkTimer.Stop()
	}
	delete(h.calls, c.id)
}

// runAttempt carries an attempt out, once those before it that were given up are off their connections: endpoints count a
// copy as out for as long as its connection is open.
func (h *Engine) runAttempt(ctx context.Context, c *Call, a *attempt, before []chan struct{}) {
	for _, closed := range before {
		<-closed
	}
	verdict, reply, err := lbpolicy.NotSent, (*upstream.Response)(nil), errNotSent
	if h.awaitDispatch(ctx, c, a) {
		h.mu.Lock()
		r := c.request // its deadline moves as a body that flows has come
		h.mu.Unlock()
		if r.Stream != nil {
			r.Stream = &uploadBody{RequestStream: r.Stream, host: h, call: c, attempt: a}
		}
		verdict, reply, err = a.pool.Do(ctx, &r, func() bool { return h.claimDispatch(c, a) })
	}
	if reply != nil && reply.Stream != nil {
		h.streamResponse(c, a, verdict, reply)
	}
	close(a.closed)
	h.event(func(now time.Duration) {
		if !a.ended {
			c.outOfDescriptors = c.outOfDescriptors || scarce.Descriptors(err)
			if err != nil && !c.done {
				h.log.Info("attempt failed", "endpoint", a.server.name, "error", err)
			}
			h.endAttempt(now, c, a, verdict, reply)
		}
	})
	a.cancel()
}

var errNotSent = errors.New("held back: the key is bound elsewhere, or can't be bound or recorded in time")

// mayStart tells whether an attempt may go out still. While its connection was made it can have been given up, its call
// answered, its endpoint told to be draining, gone or elsewhere, or the window of its key have ended. The caller holds the
// lock.
func (h *Engine) mayStart(now time.Time, c *Call, a *attempt) bool {
	return !a.ended && !c.done && now.Before(c.request.Deadline) && a.server.State == lbpolicy.Ready && !a.server.manuallyEjected && a.server.pool == a.pool &&
		(a.keyAttempt == nil || h.keyAllows(now, c, a))
}

// actions is the balancer's view of the host. It is called within event, with the lock held.
type actions struct{ *Engine }

func (h actions) Send(id lbpolicy.RequestID, s lbpolicy.ServerID) {
	c, e := h.calls[id], h.endpoints[s]
	if c == nil {
		return
	}
	a := &attempt{number: len(c.attempts), server: e, sentAt: h.clock.now(), cancel: func() {}, closed: make(chan struct{})}
	var before []chan struct{}
	for _, earlier := range c.attempts {
		if earlier.ended {
			before = append(before, earlier.closed)
		}
	}
	c.attempts = append(c.attempts, a)
	over := !h.shutdownAt.IsZero() && !time.Now().Before(h.shutdownAt)
	if e == nil || c.done || over || !h.reserveKey(c, a) { // moot
		if e == nil {
			a.server = &endpoint{Server: lbpolicy.Server{ID: s}}
		}
		close(a.closed)
		h.pendingEvents = append(h.pendingEvents, func(now time.Duration) { h.abandon(now, c, a, lbpolicy.NotSent) })
		return
	}
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(context.Background())
	a.pool = e.pool
	if c.key != nil && c.key.Recorder != nil {
		a.record = c.key.Recorder.Attempt(e.name)
	}
	if c.request.Stream != nil && c.timeLeft > 0 { // a wait for the caller is no silence of the server
		h.pendingEvents = append(h.pendingEvents, func(now time.Duration) { h.setDispatchPending(now, c, a, true) })
	}
	go h.runAttempt(ctx, c, a, before)
}

func (h actions) Reject(id lbpolicy.RequestID, retryAfter time.Duration) {
	if c := h.calls[id]; c != nil {
		h.finish(c, Result{Rejected: true, RetryAfter: retryAfter})
	}
}

func (h actions) Fail(id lbpolicy.RequestID) {
	if c := h.calls[id]; c != nil {
		h.finish(c, Result{})
	}
}

func (h actions) Cancel(id lbpolicy.RequestID, n int) {
	c := h.calls[id]
	if c == nil || n < 0 || n >= len(c.attempts) {
		return
	}
	h.pendingEvents = append(h.pendingEvents, func(now time.Duration) { h.abandon(now, c, c.attempts[n], lbpolicy.Cancelled) })
}

func (h actions) CloseIdle(s lbpolicy.ServerID) {
	if e := h.endpoints[s]; e != nil {
		e.pool.CloseIdle()
	}
}

func (h actions) Watch() { h.watch() }

// SetTimer keeps a call's timer with the call, so that it goes with it; other tokens are the decisions' own, one
// timer at a time.
func (h actions) SetTimer(at time.Duration, token uint64) {
	timer := time.AfterFunc(at-h.clock.now(), func() {
		h.event(func(now time.Duration) { h.balancer.Timer(now, token) })
	})
	if c := h.calls[lbpolicy.RequestID(token)]; c != nil {
		if c.checkTimer != nil {
			c.checkTimer.Stop()
		}
		c.checkTimer = timer
	}
}

func (h actions) Log(line string) { h.log.Info(line) }
