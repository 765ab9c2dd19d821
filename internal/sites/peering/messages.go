package peering

import (
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// The versions of the protocol that this program speaks. docs/SALAS.md describes them.
const (
	oldestVersion = 1
	newestVersion = 1
)

// The paths of the protocol's requests. All are POSTs. Messages are MessagePack maps; unknown names are ignored.
const (
	pathHello    = "/link/hello"
	pathState    = "/link/state"
	pathCall     = "/link/call"
	pathSettle   = "/link/settle"
	pathLookup   = "/link/lookup"
	pathAccounts = "/link/accounts"
)

// helloRequest opens a session on a connection.
type helloRequest struct {
	OldestVersion int    `codec:"o"`
	NewestVersion int    `codec:"w"`
	Site          string `codec:"f"`
	ToSite        string `codec:"t"`
	ProcessID     uint64 `codec:"p"`
	SessionID     uint64 `codec:"s"`
}

// helloResponse answers a helloRequest. Error says why no session was opened.
type helloResponse struct {
	Version   int    `codec:"v"`
	ProcessID uint64 `codec:"p"`
	Error     string `codec:"e,omitempty"`
}

// heartbeat is sent and answered with the site's state.
type heartbeat struct {
	Clock     int64            `codec:"c"` // microseconds, by the sender's clock
	State     forwarding.State `codec:"s"`
	SettledTo uint64           `codec:"d,omitempty"` // numbers up to it may be forgotten
	RoundTrip int64            `codec:"r,omitempty"` // microseconds, as the sender measures it
}

// Request is a request that is forwarded.
type Request struct {
	Number         uint64              `codec:"n"`
	Clock          int64               `codec:"c"` // microseconds, by the sender's clock
	TimeLeft       int64               `codec:"l"` // microseconds; for the Handler what is left at the receiving site
	Class          string              `codec:"k"`
	PriorityWeight float64             `codec:"w"`
	Effect         uint8               `codec:"e"`
	Tenant         string              `codec:"t,omitempty"`
	Key            string              `codec:"i,omitempty"`
	AttemptsLeft   int                 `codec:"a,omitempty"` // 0: no bound
	VisitedSites   []string            `codec:"b"`           // the sending site is the last
	Reason         accounting.Reason   `codec:"r"`
	ClaimAttempt   ownership.AttemptID `codec:"v,omitempty"` // for which the key was claimed; zero: it was not
	ClaimRound     uint32              `codec:"x,omitempty"`
	KeyMayHaveRun  bool                `codec:"m,omitempty"` // the key may have run at the receiving site
	IsRetry        bool                `codec:"y,omitempty"` // the client has marked it as a retry
	Method         string              `codec:"q"`
	Target         string              `codec:"g"`
	Host           string              `codec:"h"`
	Header         map[string][]string `codec:"z,omitempty"`
	Body           []byte              `codec:"d,omitempty"`

	// IsDisconnected reports at the sending site whether the client has disconnected; nil: not known. It is called from any
	// goroutine.
	IsDisconnected func() bool `codec:"-"`
}

// Response is the response to a Request.
type Response struct {
	Number     uint64              `codec:"n"`
	Outcome    accounting.Outcome  `codec:"o"`
	RetryAfter int64               `codec:"b,omitempty"` // microseconds; of a rejection
	Status     int                 `codec:"s,omitempty"`
	Header     map[string][]string `codec:"z,omitempty"`
	Body       []byte              `codec:"d,omitempty"`
	Attempts   int                 `codec:"a,omitempty"`
	Place      idempotency.Place   `codec:"p,omitempty"` // of the endpoints that may have run it
	Detail     string              `codec:"w,omitempty"` // for the log
}

// settleRequest asks for the outcomes of a session's requests.
type settleRequest struct {
	SessionID    uint64   `codec:"s"`
	SessionEnded bool     `codec:"o,omitempty"`
	Numbers      []uint64 `codec:"n"`
}

// settleResponse holds one outcome for each number that was asked for.
type settleResponse struct {
	Known    bool                 `codec:"k"` // whether the session is
	Outcomes []accounting.Outcome `codec:"f,omitempty"`
}

// lookupRequest asks what a site knows of a key.
type lookupRequest struct {
	ID idempotency.KeyID `codec:"i"`
}

// KeyLocation is what a site knows of a key. It answers a lookupRequest.
type KeyLocation struct {
	Known       bool   `codec:"k" json:"known"`
	Cluster     string `codec:"c,omitempty" json:"cluster,omitempty"`
	Zone        string `codec:"z,omitempty" json:"zone,omitempty"`
	Cell        int    `codec:"l,omitempty" json:"cell,omitempty"`
	RetryWindow int64  `codec:"u,omitempty" json:"repeats_for_us,omitempty"` // microseconds for which repeats are sent there
}

// countersRequest asks for the receiving end's counters of sessions.
type countersRequest struct {
	Sessions []uint64 `codec:"s"`
}

// countersResponse holds the counters by session, of those that are kept.
type countersResponse struct {
	Counters map[uint64][]accounting.Counter `codec:"s"`
}
