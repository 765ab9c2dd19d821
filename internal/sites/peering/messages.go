package peering

import (
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// The protocol versions that this program supports. docs/SALAS.md describes them.
const (
	oldestVersion = 1
	newestVersion = 1
)

// The paths of the protocol's requests, all with method POST. Messages are MessagePack maps. Unknown keys are ignored.
const (
	pathHello    = "/link/hello"
	pathState    = "/link/state"
	pathCall     = "/link/call"
	pathSettle   = "/link/settle"
	pathLookup   = "/link/lookup"
	pathAccounts = "/link/accounts"
)

// helloRequest is the greeting that opens a session on a connection.
type helloRequest struct {
	OldestVersion int    `codec:"o"`
	NewestVersion int    `codec:"w"`
	Site          string `codec:"f"`
	ToSite        string `codec:"t"`
	ProcessID     uint64 `codec:"p"`
	SessionID     uint64 `codec:"s"` // random, not 0
}

// helloResponse is the response to a helloRequest. If Error is not empty, no session was opened, and Error is the reason.
type helloResponse struct {
	Version   int    `codec:"v"`
	ProcessID uint64 `codec:"p"`
	Error     string `codec:"e,omitempty"`
}

// heartbeat carries the state of the sender's site. The response to it is a heartbeat too.
type heartbeat struct {
	Clock     int64            `codec:"c"` // microseconds, by the sender's clock
	State     forwarding.State `codec:"s"`
	SettledTo uint64           `codec:"d,omitempty"` // the outcomes of requests up to this number are no longer needed
	RoundTrip int64            `codec:"r,omitempty"` // microseconds, measured by the sender
}

// Request is a forwarded HTTP request.
type Request struct {
	Number         uint64              `codec:"n"`
	Clock          int64               `codec:"c"` // microseconds, by the sender's clock
	TimeLeft       int64               `codec:"l"` // microseconds until the deadline; reduced on arrival by the transit time
	Class          string              `codec:"k"`
	PriorityWeight float64             `codec:"w"`
	Effect         uint8               `codec:"e"` // an lbpolicy.Effect
	Tenant         string              `codec:"t,omitempty"`
	Key            string              `codec:"i,omitempty"` // idempotency key
	AttemptsLeft   int                 `codec:"a,omitempty"` // 0: no limit
	VisitedSites   []string            `codec:"b"`           // in order; the last one is the sending site
	Reason         accounting.Reason   `codec:"r"`
	ClaimAttempt   ownership.ClaimID   `codec:"v,omitempty"` // ID of the claim on the key; zero: not claimed
	ClaimRound     uint32              `codec:"x,omitempty"`
	KeyMayHaveRun  bool                `codec:"m,omitempty"` // a request with the key may have run at the receiving site
	IsRetry        bool                `codec:"y,omitempty"` // the client marked the request as a retry
	Method         string              `codec:"q"`
	Target         string              `codec:"g"`
	Host           string              `codec:"h"`
	Header         map[string][]string `codec:"z,omitempty"`
	Body           []byte              `codec:"d,omitempty"`

	// IsDisconnected reports whether the client has disconnected. It is used at the sending site only and may be called
	// from any goroutine. If it is nil, the client is taken as connected.
	IsDisconnected func() bool `codec:"-"`
}

// Response is the response to a Request.
type Response struct {
	Number     uint64              `codec:"n"`
	Outcome    accounting.Outcome  `codec:"o"`
	RetryAfter int64               `codec:"b,omitempty"` // microseconds; set if Outcome is Rejected
	Status     int                 `codec:"s,omitempty"`
	Header     map[string][]string `codec:"z,omitempty"`
	Body       []byte              `codec:"d,omitempty"`
	Attempts   int                 `codec:"a,omitempty"`
	Place      idempotency.Place   `codec:"p,omitempty"` // of the endpoints that may have run the request
	Detail     string              `codec:"w,omitempty"` // reason for the log
}

// settleRequest asks for the outcomes of requests of one session. With SessionEnded, no further request of it is accepted.
type settleRequest struct {
	SessionID    uint64   `codec:"s"`
	SessionEnded bool     `codec:"o,omitempty"`
	Numbers      []uint64 `codec:"n"` // of the requests
}

// settleResponse holds one outcome for each number of the settleRequest, in the same order.
type settleResponse struct {
	Known    bool                 `codec:"k"` // whether the receiver knows the session
	Outcomes []accounting.Outcome `codec:"f,omitempty"`
}

// lookupRequest asks what a site knows about an idempotency key.
type lookupRequest struct {
	ID idempotency.KeyID `codec:"i"`
}

// KeyLocation is what a site knows about an idempotency key. It is the response to a lookupRequest.
type KeyLocation struct {
	Known       bool   `codec:"k" json:"known"`
	Cluster     string `codec:"c,omitempty" json:"cluster,omitempty"`
	Zone        string `codec:"z,omitempty" json:"zone,omitempty"`
	Cell        int    `codec:"l,omitempty" json:"cell,omitempty"`
	RetryWindow int64  `codec:"u,omitempty" json:"repeats_for_us,omitempty"` // microseconds; retries are sent there for this long
}

// countersRequest asks the receiver for its counters of the given sessions.
type countersRequest struct {
	Sessions []uint64 `codec:"s"`
}

// countersResponse holds the counters by session ID. Sessions that the receiver no longer keeps are left out.
type countersResponse struct {
	Counters map[uint64][]accounting.Counter `codec:"s"`
}
