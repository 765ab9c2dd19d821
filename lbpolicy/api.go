// Package lbpolicy makes a load balancer's decisions for services that call
// services: which requests to refuse at once, which server gets each of the
// others, and what to do when an attempt fails.
//
// Admission is a cursor table (Villen-Altamirano, ITC 11, 1985): a call is
// refused when the calls in flight reach the threshold under a cursor that
// moves one step each period, right while pool load is above its target and
// left otherwise; low rows of the table shed low-worth calls first.
//
// A Balancer is driven by its host: one method for each event, actions through
// Host. It has no clock, goroutine or global of its own, and the same seed and
// events give the same actions. It is not safe for concurrent use.
//
// The types stand in api.go, the decisions in the files that decide.go names.
package lbpolicy

import "time"

// ServerID and RequestID are opaque numbers given by the host.
type (
	ServerID  uint32
	RequestID uint64
)

// Effect says how often a class's effect may happen.
type Effect uint8

// The effects a class may have.
const (
	Idempotent      Effect = iota // may be repeated freely
	KeyedIdempotent               // servers of one group drop repeats for a window
	NonIdempotent                 // never again once it may have run
)

// Scope is the group of servers that drop repeats of a Keyed request.
type Scope uint8

// The groups.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                       string        // by which Configure finds it again; empty: it does not
	LatencyObjective, Deadline time.Duration // wanted within; given up after
	PriorityWeight             float64
	Effect                     Effect
	Scope                      Scope         // for Keyed
	Window                     time.Duration // for Keyed: from the first send that may have run
}

// Tenant is a customer with an agreed rate over all balancers; zero means no agreed rate.
type Tenant struct {
	QuotaPerSecond float64
	Name           string // as of a class
}

// Field is one value of a load report.
type Field uint8

// The fields: utilisation and the rate of calls are used, others are passed over.
const (
	FieldOther Field = iota
	FieldUtilization
	FieldRequestRate // requests a second, of all balancers together
)

// Fields are the names under which servers report them.
var Fields = map[string]Field{"util": FieldUtilization, "qps": FieldRequestRate}

// Settings is all that a balancer is told at its start.
type Settings struct {
	Balancers int // balancers of this tier
	Index     int // this one's number, from 0
	Zone      int
	Tier      int // the tier it sends to; 0 is the one clients reach
	Classes   []Class
	Tenants   []Tenant

	RetriesMarked   bool // clients mark their retries
	PollDiscovery   bool // discovery answers only when asked
	MaxPollInterval time.Duration
	MaxAttempts     int
	MayCancel       bool
	MayHedge        bool // two attempts of one request may be outstanding
	SendsRetryAfter bool // clients are told how long to stay away
	MaxRetryAfter   time.Duration
	ConnIdleTimeout time.Duration

	InitialCapacity  float64 // a started server's capacity, as a share of its full one
	SlowStart        time.Duration
	OverloadMultiple float64 // more than this multiple of its capacity
	OverloadWindow   time.Duration

	CrossZonePrice, HandshakePrice float64

	ReportFields []Field // the values of a load report, in order
}

// State is what discovery says of a server.
type State uint8

// The states.
const (
	Removed State = iota
	Ready
	Draining
)

// Server is one entry of a list.
type Server struct {
	ID        ServerID
	Zone      int
	Cell      int
	StartedAt time.Duration // zero: long ago
	State     State
	// Weight is its part of the traffic against the others of like speed, the largest being 1; zero is 1.
	Weight float64
}

// ListKind says what a list event brings.
type ListKind uint8

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries
	Full                   // the whole list
	Cached                 // the whole list as last held, maybe stale
	Failed                 // a discovery call failed; no entries
)

// KeyState is what is known of other attempts with a Keyed request's key, made for earlier requests with it or
// for ones that are still in work.
type KeyState struct {
	Known       bool          // one may have run, or runs: the request stays in its group
	Unavailable bool          // that group is none of this balancer's servers
	Zone, Cell  int           // of the group, where the class's scope is one of these
	RetryUntil  time.Duration // the group drops a repeat that is sent before
}

// Request is an arriving call.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	TimeLeft time.Duration // until the client gives up
	Retry    bool          // marked by the client
	// MaxAttempts bounds the request's attempts further than the settings do; 0: it does not.
	MaxAttempts int
	// ClassAtArrival is the class as it was when the request came, where settings have changed since; nil: as it is.
	ClassAtArrival *Class
	KeyState       KeyState
}

// Verdict is how an attempt ended.
type Verdict uint8

// The verdicts. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Verdict = iota
	Error
	ServerFull
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
	Rejected // the server found the request itself at fault, as any other would
)

// NeverRan reports whether the verdict proves that the attempt was not executed.
func (v Verdict) NeverRan() bool { return v == ServerFull || v == ConnectFailed || v == NotSent }

// Outcome ends one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Verdict Verdict
	Latency time.Duration
	Final   bool      // the request is finished
	Load    []float32 // a load report, as Settings.Report; empty if none
}

// Host carries out a balancer's actions, in order, at the time of the event in hand.
type Host interface {
	// Send starts the request's next attempt; it ends at the client's deadline at the latest.
	Send(RequestID, ServerID)
	// Reject is a final answer that tells the client a retry is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CloseIdle closes the connections to a server that carry no attempt.
	CloseIdle(ServerID)
	// Watch asks discovery for changes from now on.
	Watch()
	// SetTimer asks for a Timer event at or after the given time.
	SetTimer(at time.Duration, token uint64)
	// Log adds a line for on-call staff.
	Log(string)
}
