// Package lbpolicy implements the load-balancing policy of a client-side balancer. It decides which requests
// to reject on arrival, which server each admitted request is sent to, and how to react when an attempt
// fails.
//
// Admission control uses a cursor table (Villen-Altamirano, ITC 11, 1985). Each row of the table holds the
// thresholds of one priority level, one for each cursor position. A request is rejected when the requests in
// flight reach the threshold under the cursor. Each period the cursor moves one step right while the pool
// load is above its target, and left otherwise. The low rows of the table shed requests of low priority
// weight first.
//
// The host drives a Balancer: it calls one method for each event, and carries out the actions that the
// Balancer requests through Host. A Balancer does no I/O and has no clock, goroutines or global state. The
// same seed and events produce the same actions. A Balancer is not safe for concurrent use.
//
// The types are declared in api.go. The head of balancer.go lists the files of the policy.
package lbpolicy

import "time"

// ServerID identifies a server. The host assigns it.
type ServerID uint32

// RequestID identifies a request. The host assigns it.
type RequestID uint64

// Effect tells whether the requests of a class may be repeated.
type Effect uint8

// Values of Effect.
const (
	Idempotent      Effect = iota // may be repeated at any time
	KeyedIdempotent               // has an idempotency key: servers of one group drop repeats within a window
	NonIdempotent                 // must not be repeated once an attempt may have run
)

// Scope is the group of servers that drop repeats of a KeyedIdempotent request.
type Scope uint8

// Values of Scope.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string        // Configure matches old and new classes by name, unless it is empty
	LatencyObjective time.Duration // a response that takes longer has no value
	Deadline         time.Duration // after which clients give up
	PriorityWeight   float64       // classes of a lower weight are shed first
	Effect           Effect
	Scope            Scope // for KeyedIdempotent only
	// Window is how long servers drop repeats of a KeyedIdempotent request, from the first attempt that may
	// have run.
	Window time.Duration
}

// Tenant is a customer with a request quota.
type Tenant struct {
	QuotaPerSecond float64 // requests over all balancers; 0: no quota
	Name           string  // Configure matches old and new tenants by name, unless it is empty
}

// ReportField identifies one value of a load report.
type ReportField uint8

// Values of Field.
const (
	FieldOther ReportField = iota // ignored
	FieldUtilization
	FieldRequestRate // requests per second, from all balancers together
)

// ReportFieldsByName maps the names that servers use in load reports to fields.
var ReportFieldsByName = map[string]ReportField{"util": FieldUtilization, "qps": FieldRequestRate}

// Settings configure a balancer.
type Settings struct {
	Balancers int // number of balancers in this tier
	Index     int // of this balancer among them, from 0
	Zone      int
	Tier      int // that this balancer sends to; 0 is the front tier, which clients reach
	Classes   []Class
	Tenants   []Tenant

	RetriesMarked   bool // clients mark their retries
	PollDiscovery   bool // discovery sends endpoint lists only when polled
	MaxPollInterval time.Duration
	MaxAttempts     int
	MayCancel       bool // attempts in flight may be cancelled
	MayHedge        bool // two attempts of one request may be in flight
	SendsRetryAfter bool // rejected clients are told when to retry
	MaxRetryAfter   time.Duration
	ConnIdleTimeout time.Duration
	InitialCapacity float64       // of a server that has just started, as a share of its full capacity
	SlowStart       time.Duration // time from a server's start to its full capacity
	// OverloadMultiple is the load, as a multiple of its present capacity, above which a server in slow start
	// is overloaded.
	OverloadMultiple float64
	OverloadWindow   time.Duration // over which that load is measured

	CrossZonePrice, HandshakePrice float64

	ReportFields []ReportField // the values of a load report, in order
}

// State is the state of a server in discovery.
type State uint8

// Values of State.
const (
	Removed State = iota
	Ready
	Draining
)

// Server is one entry of an endpoint list.
type Server struct {
	ID        ServerID
	Zone      int
	Cell      int
	StartedAt time.Duration // zero: started long ago
	State     State
	// Weight is the server's traffic compared with a server of weight 1 and the same speed. The largest
	// weight in a list is 1. Zero counts as 1.
	Weight float64
}

// ListKind is the kind of an endpoint list.
type ListKind uint8

// Values of ListKind.
const (
	Delta  ListKind = iota // only the entries that have changed
	Full                   // the whole list
	Cached                 // the whole list as last received; it may be stale
	Failed                 // a discovery call failed; the list has no entries
)

// KeyState is what the host knows about other attempts with the idempotency key of a request. They may belong
// to earlier requests with the same key, or to requests that are still in progress.
type KeyState struct {
	// Known means that an attempt may have run or is running. The request has to stay in the group of servers
	// that this attempt was sent to.
	Known       bool
	Unavailable bool          // that group has no server that this balancer can use
	Zone, Cell  int           // of that group; used if the class has ScopeZone or ScopeCell
	RetryUntil  time.Duration // repeats that are sent before this time are dropped by the group
}

// Request is an arriving request.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	TimeLeft time.Duration // until the client gives up
	Retry    bool          // the client has marked the request as a retry
	// MaxAttempts is a further limit on the attempts, beside that of the settings. Zero: no further limit.
	MaxAttempts int
	// ClassAtArrival is the class when the request arrived, if settings have changed since. Otherwise nil.
	ClassAtArrival *Class
	KeyState       KeyState
}

// Verdict tells how an attempt ended.
type Verdict uint8

// Values of Verdict. ServerFull, ConnectFailed and NotSent prove that the attempt never ran.
const (
	OK         Verdict = iota
	Error              // the server responded with an error
	ServerFull         // the server rejected the attempt for lack of capacity
	Timeout
	ConnectFailed // there was no connection, or it broke before the whole request was written
	Reset         // the connection broke after the attempt was sent
	Cancelled
	NotSent  // the host did not send the whole request
	Rejected // the request itself is invalid, and every server would reject it
)

// NeverRan reports whether the verdict proves that the attempt was not executed.
func (v Verdict) NeverRan() bool { return v == ServerFull || v == ConnectFailed || v == NotSent }

// Outcome describes the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Verdict Verdict
	Latency time.Duration
	Final   bool      // the request is finished, and no further attempt is made
	Load    []float32 // a load report, in the order of Settings.ReportFields; empty: none
}

// ServerProgress describes the attempts at a server whose Outcomes have not been processed yet, as seen on
// the host's connections.
type ServerProgress struct {
	// HasUnreadResponse means that a response has arrived which the host has not read yet, or has read without
	// its call of Outcome having returned.
	HasUnreadResponse bool
	// WaitingSince is the earliest result of Host.WaitingSince for these attempts, apart from those whose
	// dispatch is pending. Zero: there is no such attempt.
	WaitingSince time.Duration
}

// HedgeReason tells why a request got another attempt while one was in flight.
type HedgeReason uint8

// Values of HedgeReason.
const (
	HedgeSilent  HedgeReason = iota // the server has sent no response since the attempt was sent
	HedgeStopped                    // the server has responded to other attempts since, but was ejected later
	HedgeStalled                    // the response has begun and stopped before its end
)

// HedgeReasons holds the names of the reasons.
var HedgeReasons = [...]string{HedgeSilent: "silent", HedgeStopped: "stopped", HedgeStalled: "stalled"}

// Hedge describes a hedged request: a further attempt while an earlier one is in flight.
type Hedge struct {
	Request      RequestID
	Attempt      int // number of the attempt in flight
	Server       ServerID
	Reason       HedgeReason
	Waited       time.Duration // since the attempt in flight was decided on
	UsualLatency time.Duration // of the pool
}

// Delays that the host causes, not a server.
const (
	sendDelay        = time.Millisecond      // from the decision to the write, unless the process was paused
	unreadCheckDelay = 10 * time.Millisecond // time in which a response that has arrived is read
)

// ResponseProgress tells how much of the response to an attempt in flight has arrived.
type ResponseProgress uint8

// Values of ResponseProgress.
const (
	ResponseAwaited  ResponseProgress = iota // nothing has arrived
	ResponseArriving                         // it has begun
	ResponseStalled                          // it has begun, and nothing more has arrived for some time
)

// Host carries out a balancer's actions, in the order of the calls and at the time of the present event. It
// also reports the progress of attempts in flight, which the balancer asks for before it ejects a server or
// gives up an attempt.
type Host interface {
	// Send starts the request's next attempt. The attempt must end at the client's deadline at the latest.
	Send(RequestID, ServerID)
	// Reject sends the client a final response which tells it that a retry is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail sends the client a final response which does not tell whether a retry is harmless.
	Fail(RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CloseIdle closes the connections to a server that carry no attempt.
	CloseIdle(ServerID)
	// Watch polls discovery for changes.
	Watch()
	// SetTimer requests a call of Balancer.Timer with the token, at the given time or later.
	SetTimer(at time.Duration, token uint64)
	// ServerProgress describes the attempts in flight at a server.
	ServerProgress(ServerID) ServerProgress
	// WaitingSince returns the time since which an attempt in flight has been waiting for its server: for a
	// connection, or for the response since the request was written. While the attempt waits for the host, it
	// returns the present time. A host that sends attempts as soon as they are decided on returns zero.
	WaitingSince(id RequestID, attempt int) time.Duration
	// ResponseProgress tells how much of the response to an attempt in flight has arrived.
	ResponseProgress(id RequestID, attempt int) ResponseProgress
	// RecordHedge announces that the next Send starts a hedged request.
	RecordHedge(Hedge)
	// Log adds a line to the log.
	Log(string)
	// LogServer adds a line that concerns a server to the log.
	LogServer(ServerID, string)
}
