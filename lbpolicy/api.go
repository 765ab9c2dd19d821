// Package lbpolicy is the load-balancing policy of a client-side balancer. It decides which requests to reject at once,
// which server gets each of the others, and what to do when an attempt fails.
//
// Admission follows a cursor table (Villen-Altamirano, ITC 11, 1985): a request is rejected when the requests in flight
// reach the threshold under a cursor. Each period the cursor moves one step right while the pool load is above its
// target, and left otherwise. Low rows of the table shed requests of low priority weight first.
//
// A Balancer is driven by its host: one method for each event, and actions through Host. It does no I/O, and has no clock,
// goroutines or global state; the same seed and events give the same actions. It is not safe for concurrent use.
//
// The types stand in api.go; balancer.go names the files of the policy.
package lbpolicy

import "time"

// ServerID identifies a server. The host assigns it.
type ServerID uint32

// RequestID identifies a request. The host assigns it.
type RequestID uint64

// Effect is the idempotency of a class of requests.
type Effect uint8

// The effects.
const (
	Idempotent      Effect = iota // may be repeated
	KeyedIdempotent               // has an idempotency key: servers of one group drop repeats within a window
	NonIdempotent                 // must not be repeated once it may have run
)

// Scope is the group of servers that drop repeats of a KeyedIdempotent request.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string        // identifies the class to Configure; empty: it does not
	LatencyObjective time.Duration // a later answer has no value
	Deadline         time.Duration // when clients give up
	PriorityWeight   float64
	Effect           Effect
	Scope            Scope         // of KeyedIdempotent
	Window           time.Duration // of KeyedIdempotent: from the first attempt that may have run
}

// Tenant has an agreed rate over all balancers. Zero: it has none.
type Tenant struct {
	QuotaPerSecond float64
	Name           string // as of a class
}

// Field is one value of a load report.
type Field uint8

// The fields. Other fields are ignored.
const (
	FieldOther Field = iota
	FieldUtilization
	FieldRequestRate // requests per second, of all balancers together
)

// Fields are the names under which servers report the fields.
var Fields = map[string]Field{"util": FieldUtilization, "qps": FieldRequestRate}

// Settings configure a balancer.
type Settings struct {
	Balancers int // of this tier
	Index     int // of this one among them, from 0
	Zone      int
	Tier      int // that it sends to; 0 is the one that clients reach
	Classes   []Class
	Tenants   []Tenant

	RetriesMarked    bool // clients mark their retries
	PollDiscovery    bool // discovery answers only when asked
	MaxPollInterval  time.Duration
	MaxAttempts      int
	MayCancel        bool
	MayHedge         bool // two attempts of one request may be in flight
	SendsRetryAfter  bool // clients are told when to retry
	MaxRetryAfter    time.Duration
	ConnIdleTimeout  time.Duration
	InitialCapacity  float64 // of a server that has started, as a share of its full capacity
	SlowStart        time.Duration
	OverloadMultiple float64 // of its present capacity, above which a server in slow start is overloaded
	OverloadWindow   time.Duration

	CrossZonePrice, HandshakePrice float64

	ReportFields []Field // the values of a load report, in order
}

// State is the state of a server in discovery.
type State uint8

// The states.
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
	StartedAt time.Duration // zero: long ago
	State     State
	// Weight is its part of the traffic compared with servers of the same speed, the largest being 1. Zero is 1.
	Weight float64
}

// ListKind is the kind of an endpoint list.
type ListKind uint8

// The kinds of lists.
const (
	Delta  ListKind = iota // changed entries
	Full                   // the whole list
	Cached                 // the whole list as last received, which may be stale
	Failed                 // a discovery call failed; no entries
)

// KeyState is what is known of other attempts with the idempotency key of a request: for earlier requests with the key,
// or for ones that are still in progress.
type KeyState struct {
	Known       bool          // an attempt may have run, or is running: the request stays in its group of servers
	Unavailable bool          // that group has none of this balancer's servers
	Zone, Cell  int           // of the group, where the class's scope is one of these
	RetryUntil  time.Duration // the group drops a repeat that is sent before
}

// Request is an arriving request.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	TimeLeft time.Duration // until the client gives up
	Retry    bool          // marked by the client
	// MaxAttempts bounds the attempts further than the settings do. Zero: it does not.
	MaxAttempts int
	// ClassAtArrival is the class as it was when the request arrived, if settings have changed since.
	ClassAtArrival *Class
	KeyState       KeyState
}

// Verdict is how an attempt ended.
type Verdict uint8

// The verdicts. ServerFull, ConnectFailed and NotSent prove that the attempt never ran.
const (
	OK Verdict = iota
	Error
	ServerFull
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
	Rejected // the request itself is invalid, and would be for any server
)

// NeverRan reports whether the verdict proves that the attempt was not executed.
func (v Verdict) NeverRan() bool { return v == ServerFull || v == ConnectFailed || v == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Verdict Verdict
	Latency time.Duration
	Final   bool      // the request is finished
	Load    []float32 // a load report, in the order of Settings.ReportFields; empty: none
}

// ServerProgress is what a host's connections show of the attempts at a server whose Outcomes are still to come.
type ServerProgress struct {
	// HasUnreadAnswer means that an answer has arrived which was not read yet, or whose call of Outcome has not returned.
	HasUnreadAnswer bool
	// WaitsSince is the earliest WaitsSince of these attempts, apart from those whose dispatch is pending; zero if there is none.
	WaitsSince time.Duration
}

// HedgeReason is why a request got another attempt while one was in flight.
type HedgeReason uint8

// The reasons.
const (
	HedgeSilent  HedgeReason = iota // the server has answered nothing since the attempt was sent
	HedgeStopped                    // the server has answered since, and was ejected later
)

// HedgeReasons are the names of the reasons.
var HedgeReasons = [...]string{HedgeSilent: "silent", HedgeStopped: "stopped"}

// Hedge describes a hedged request.
type Hedge struct {
	Request      RequestID
	Attempt      int // that was in flight
	Server       ServerID
	Reason       HedgeReason
	Waited       time.Duration // since the attempt was decided on
	UsualLatency time.Duration // of the pool
}

// Host carries out a balancer's actions, in order, at the time of the present event. It answers questions about attempts in
// flight before a server or an attempt is given up.
type Host interface {
	// Send starts the request's next attempt. It ends at the client's deadline at the latest.
	Send(RequestID, ServerID)
	// Reject gives a final answer that tells the client that a retry is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a final answer that promises nothing.
	Fail(RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CloseIdle closes the connections to a server that carry no attempt.
	CloseIdle(ServerID)
	// Watch polls discovery for changes.
	Watch()
	// SetTimer requests a Timer event at or after the given time.
	SetTimer(at time.Duration, token uint64)
	// ServerProgress tells of the attempts in flight at a server.
	ServerProgress(ServerID) ServerProgress
	// WaitsSince returns since when an attempt in flight waits for its server: for a connection, or for the answer since it was
	// written. It is the present time while the attempt waits for the host, and zero if the host sends attempts as they are
	// decided on.
	WaitsSince(id RequestID, attempt int) time.Duration
	// Hedged tells that the next Send is a hedged request's.
	Hedged(Hedge)
	// Log adds a line to the log.
	Log(string)
}
