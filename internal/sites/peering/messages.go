package peering

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/sites/accounting"
	"silvertrail/internal/sites/forwarding"
)

// The versions of the link's protocol that this program speaks. docs/SALAS.md says what each of them is.
const (
	oldestVersion = 1
	newestVersion = 1
)

// The paths of the protocol's requests. All are POSTs, and messages are MessagePack maps whose unknown names are passed over.
const (
	pathHello    = "/link/hello"
	pathState    = "/link/state"
	pathCall     = "/link/call"
	pathSettle   = "/link/settle"
	pathLookup   = "/link/lookup"
	pathAccounts = "/link/accounts"
)

// Bounds of what a peer may say.
const (
	maxMessageBytes  = 256 << 10 // a request's or an answer's head, body and the rest
	maxTextBytes     = 256       // names, keys
	maxTargetBytes   = 16 << 10
	maxHeaders       = 200
	maxSites         = 32
	maxSettledAtOnce = 1024 // numbers
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

// helloResponse answers it.
type helloResponse struct {
	Version   int    `codec:"v"`
	ProcessID uint64 `codec:"p"`
	Error     string `codec:"e,omitempty"`
}

// heartbeat goes both ways with each heartbeat.
type heartbeat struct {
	Clock     int64            `codec:"c"` // microseconds, by the sender's clock
	State     forwarding.State `codec:"s"`
	SettledTo uint64           `codec:"d,omitempty"` // numbers that may be forgotten
	RoundTrip int64            `codec:"r,omitempty"` // microseconds, as the sender has measured it
}

// Request is a request that crosses.
type Request struct {
	Number         uint64              `codec:"n"`
	Clock          int64               `codec:"c"` // microseconds, by the sender's clock
	TimeLeft       int64               `codec:"l"` // microseconds until its caller gives up; in the receiver's hands what is left there
	Class          string              `codec:"k"`
	PriorityWeight float64             `codec:"w"`
	Effect         uint8               `codec:"e"`
	Tenant         string              `codec:"t,omitempty"`
	Key            string              `codec:"i,omitempty"`
	AttemptsLeft   int                 `codec:"a,omitempty"` // attempts that are left; 0: no bound
	VisitedSites   []string            `codec:"b"`           // salas, this one's sender the last
	Reason         accounting.Reason   `codec:"r"`
	ClaimAttempt   ownership.AttemptID `codec:"v,omitempty"` // under which the voters have agreed; zero: none
	ClaimRound     uint32              `codec:"x,omitempty"`
	KeyMayHaveRun  bool                `codec:"m,omitempty"` // the key may have run in the sala that the call goes to
	IsRetry        bool                `codec:"y,omitempty"` // its caller has marked it as a retry
	Method         string              `codec:"q"`
	Target         string              `codec:"g"`
	Host           string              `codec:"h"`
	Header         map[string][]string `codec:"z,omitempty"`
	Body           []byte              `codec:"d,omitempty"`

	// IsDisconnected tells, here alone, whether its caller has left by now; nil: nobody can tell. It is asked from any goroutine.
	IsDisconnected func() bool `codec:"-"`
}

// Response is what becomes of a call.
type Response struct {
	Number     uint64              `codec:"n"`
	Outcome    accounting.Outcome  `codec:"o"`
	RetryAfter int64               `codec:"b,omitempty"` // microseconds after which a refused caller may come back
	Status     int                 `codec:"s,omitempty"`
	Header     map[string][]string `codec:"z,omitempty"`
	Body       []byte              `codec:"d,omitempty"`
	Attempts   int                 `codec:"a,omitempty"`
	Place      idempotency.Place   `codec:"p,omitempty"` // of the endpoints that may have run it
	Detail     string              `codec:"w,omitempty"` // for the log
}

// settleRequest asks what became of crossings. Over tells that the session has ended.
type settleRequest struct {
	SessionID    uint64   `codec:"s"`
	SessionEnded bool     `codec:"o,omitempty"`
	Numbers      []uint64 `codec:"n"`
}

type settleResponse struct {
	Known    bool                 `codec:"k"` // the session is
	Outcomes []accounting.Outcome `codec:"f,omitempty"`
}

// lookupRequest asks what a sala knows of a key.
type lookupRequest struct {
	ID idempotency.KeyID `codec:"i"`
}

// KeyLocation is what a sala knows of a key.
type KeyLocation struct {
	Known       bool   `codec:"k" json:"known"`
	Cluster     string `codec:"c,omitempty" json:"cluster,omitempty"`
	Zone        string `codec:"z,omitempty" json:"zone,omitempty"`
	Cell        int    `codec:"l,omitempty" json:"cell,omitempty"`
	RetryWindow int64  `codec:"u,omitempty" json:"repeats_for_us,omitempty"` // microseconds for which repeats are sent there
}

// countersRequest asks for the receiving end's counts.
type countersRequest struct {
	Sessions []uint64 `codec:"s"`
}

type countersResponse struct {
	Counters map[uint64][]accounting.Counter `codec:"s"`
}

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}()

func encode(message any) ([]byte, error) {
	var out []byte
	err := codec.NewEncoderBytes(&out, msgpackHandle).Encode(message)
	return out, err
}

// validator is a message that is looked at before it is used.
type validator interface{ validate() error }

func decode(from io.Reader, into any) (err error) {
	defer func() {
		if fault := recover(); fault != nil { // the library's own guard against what it can't read
			err = fmt.Errorf("link: unreadable: %v", fault)
		}
	}()
	text, err := io.ReadAll(io.LimitReader(from, maxMessageBytes+1))
	switch {
	case err != nil:
		return err
	case len(text) > maxMessageBytes:
		return fmt.Errorf("link: a message over %d bytes", maxMessageBytes)
	}
	if err := codec.NewDecoderBytes(text, msgpackHandle).Decode(into); err != nil {
		return fmt.Errorf("link: unreadable: %w", err)
	}
	if c, is := into.(validator); is {
		return c.validate()
	}
	return nil
}

func anyTooLong(texts ...string) bool {
	return slices.ContainsFunc(texts, func(s string) bool { return len(s) > maxTextBytes })
}

func (h *helloRequest) validate() error {
	if anyTooLong(h.Site, h.ToSite) || h.OldestVersion < 1 || h.NewestVersion < h.OldestVersion || h.SessionID == 0 {
		return errors.New("link: a greeting of no gateway's form")
	}
	return nil
}

func (s *heartbeat) validate() error {
	if s.State > forwarding.Available { // a later version's: what is not known gets nothing
		s.State = forwarding.Unavailable
	}
	s.RoundTrip = min(max(s.RoundTrip, 0), 60e6)
	return nil
}

func (c *Request) validate() error {
	if anyTooLong(c.Class, c.Tenant, c.Key, c.Method) || anyTooLong(c.VisitedSites...) || len(c.VisitedSites) == 0 || len(c.VisitedSites) > maxSites || len(c.Target) > maxTargetBytes ||
		len(c.Host) > maxTargetBytes || c.Number == 0 || c.TimeLeft < 0 || c.AttemptsLeft < 0 || c.Effect > 2 || c.Method == "" || c.Target == "" ||
		c.Target[0] != '/' || !isWritableHeader(c.Header) {
		return errors.New("link: a call of no gateway's form")
	}
	if !c.Reason.IsValid() {
		c.Reason = accounting.Transit
	}
	return nil
}

func (a *Response) validate() error {
	if a.Outcome == accounting.Pending || a.Outcome > accounting.MayHaveRun || a.Outcome == accounting.Served && (a.Status < 200 || a.Status > 599) || !isWritableHeader(a.Header) ||
		a.RetryAfter < 0 || a.Attempts < 0 || anyTooLong(a.Place.Cluster, a.Place.Zone) {
		return errors.New("link: an answer of no gateway's form")
	}
	return nil
}

func (s *settleRequest) validate() error {
	if len(s.Numbers) > maxSettledAtOnce {
		return errors.New("link: too many numbers to settle")
	}
	return nil
}

func (a *countersRequest) validate() error {
	if len(a.Sessions) > 2*maxSessions {
		return errors.New("link: too many sessions asked for")
	}
	return nil
}

// isWritableHeader tells of headers that can be written on an HTTP/1.1 connection as they are.
func isWritableHeader(h http.Header) bool {
	if len(h) > maxHeaders {
		return false
	}
	for name, values := range h {
		if name == "" || name != http.CanonicalHeaderKey(name) || slices.ContainsFunc([]byte(name), func(c byte) bool { return c <= ' ' || c >= 0x7f || c == ':' }) {
			return false
		}
		for _, v := range values {
			if slices.ContainsFunc([]byte(v), func(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
				return false
			}
		}
	}
	return true
}
