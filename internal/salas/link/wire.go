package link

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/internal/salas/crossing"
	"silvertrail/internal/salas/tally"
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
	maxMessage  = 256 << 10 // a request's or an answer's head, body and the rest
	maxText     = 256       // names, keys
	maxTarget   = 16 << 10
	maxHeaders  = 200
	maxSalas    = 32
	settleAtOne = 1024 // numbers
)

// hello opens a session on a connection.
type hello struct {
	Oldest  int    `codec:"o"`
	Newest  int    `codec:"w"`
	Sala    string `codec:"f"`
	To      string `codec:"t"`
	Process uint64 `codec:"p"`
	Session uint64 `codec:"s"`
}

// welcome answers it.
type welcome struct {
	Version int    `codec:"v"`
	Process uint64 `codec:"p"`
	Error   string `codec:"e,omitempty"`
}

// stateSaid goes both ways with each heartbeat.
type stateSaid struct {
	Clock int64          `codec:"c"` // microseconds, by the sender's clock
	State crossing.State `codec:"s"`
	Done  uint64         `codec:"d,omitempty"` // numbers that may be forgotten
	Trip  int64          `codec:"r,omitempty"` // microseconds, as the sender has measured it
}

// Call is a request that crosses.
type Call struct {
	Number  uint64              `codec:"n"`
	Clock   int64               `codec:"c"` // microseconds, by the sender's clock
	Left    int64               `codec:"l"` // microseconds until its caller gives up; in the receiver's hands what is left there
	Class   string              `codec:"k"`
	Worth   float64             `codec:"w"`
	Effect  uint8               `codec:"e"`
	Tenant  string              `codec:"t,omitempty"`
	Key     string              `codec:"i,omitempty"`
	Allowed int                 `codec:"a,omitempty"` // attempts that are left; 0: no bound
	Been    []string            `codec:"b"`           // salas, this one's sender the last
	Reason  tally.Reason        `codec:"r"`
	Try     ownership.AttemptID `codec:"v,omitempty"` // under which the voters have agreed; zero: none
	Turn    uint32              `codec:"x,omitempty"`
	Past    bool                `codec:"m,omitempty"` // the key may have run in the sala that the call goes to
	Retried bool                `codec:"y,omitempty"` // its caller has marked it as a retry
	Method  string              `codec:"q"`
	Target  string              `codec:"g"`
	Host    string              `codec:"h"`
	Header  map[string][]string `codec:"z,omitempty"`
	Body    []byte              `codec:"d,omitempty"`

	// Away tells, here alone, whether its caller has left by now; nil: nobody can tell. It is asked from any goroutine.
	Away func() bool `codec:"-"`
}

// Answer is what becomes of a call.
type Answer struct {
	Number   uint64              `codec:"n"`
	Outcome  tally.Outcome       `codec:"o"`
	Back     int64               `codec:"b,omitempty"` // microseconds after which a refused caller may come back
	Status   int                 `codec:"s,omitempty"`
	Header   map[string][]string `codec:"z,omitempty"`
	Body     []byte              `codec:"d,omitempty"`
	Attempts int                 `codec:"a,omitempty"`
	Place    idempotency.Place   `codec:"p,omitempty"` // of the endpoints that may have run it
	Why      string              `codec:"w,omitempty"` // for the log
}

// settle asks what became of crossings. Over tells that the session has ended.
type settle struct {
	Session uint64   `codec:"s"`
	Over    bool     `codec:"o,omitempty"`
	Numbers []uint64 `codec:"n"`
}

type settled struct {
	Known bool            `codec:"k"` // the session is
	Fates []tally.Outcome `codec:"f,omitempty"`
}

// lookup asks what a sala knows of a key.
type lookup struct {
	ID idempotency.KeyID `codec:"i"`
}

// Found is what a sala knows of a key.
type Found struct {
	Known   bool   `codec:"k" json:"known"`
	Cluster string `codec:"c,omitempty" json:"cluster,omitempty"`
	Zone    string `codec:"z,omitempty" json:"zone,omitempty"`
	Cell    int    `codec:"l,omitempty" json:"cell,omitempty"`
	Left    int64  `codec:"u,omitempty" json:"repeats_for_us,omitempty"` // microseconds for which repeats are sent there
}

// accounts asks for the receiving end's counts.
type accounts struct {
	Sessions []uint64 `codec:"s"`
}

type counted struct {
	Sums map[uint64][]tally.Sum `codec:"s"`
}

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}()

func encode(message any) ([]byte, error) {
	var out []byte
	err := codec.NewEncoderBytes(&out, handle).Encode(message)
	return out, err
}

// checked is a message that is looked at before it is used.
type checked interface{ check() error }

func decode(from io.Reader, into any) (err error) {
	defer func() {
		if fault := recover(); fault != nil { // the library's own guard against what it can't read
			err = fmt.Errorf("link: unreadable: %v", fault)
		}
	}()
	text, err := io.ReadAll(io.LimitReader(from, maxMessage+1))
	switch {
	case err != nil:
		return err
	case len(text) > maxMessage:
		return fmt.Errorf("link: a message over %d bytes", maxMessage)
	}
	if err := codec.NewDecoderBytes(text, handle).Decode(into); err != nil {
		return fmt.Errorf("link: unreadable: %w", err)
	}
	if c, is := into.(checked); is {
		return c.check()
	}
	return nil
}

func long(texts ...string) bool {
	return slices.ContainsFunc(texts, func(s string) bool { return len(s) > maxText })
}

func (h *hello) check() error {
	if long(h.Sala, h.To) || h.Oldest < 1 || h.Newest < h.Oldest || h.Session == 0 {
		return errors.New("link: a greeting of no gateway's form")
	}
	return nil
}

func (s *stateSaid) check() error {
	if s.State > crossing.Open { // a later version's: what is not known gets nothing
		s.State = crossing.Closed
	}
	s.Trip = min(max(s.Trip, 0), 60e6)
	return nil
}

func (c *Call) check() error {
	if long(c.Class, c.Tenant, c.Key, c.Method) || long(c.Been...) || len(c.Been) == 0 || len(c.Been) > maxSalas || len(c.Target) > maxTarget ||
		len(c.Host) > maxTarget || c.Number == 0 || c.Left < 0 || c.Allowed < 0 || c.Effect > 2 || c.Method == "" || c.Target == "" ||
		c.Target[0] != '/' || !fine(c.Header) {
		return errors.New("link: a call of no gateway's form")
	}
	if !c.Reason.Known() {
		c.Reason = tally.Passing
	}
	return nil
}

func (a *Answer) check() error {
	if a.Outcome == tally.Open || a.Outcome > tally.Unclear || a.Outcome == tally.Served && (a.Status < 200 || a.Status > 599) || !fine(a.Header) ||
		a.Back < 0 || a.Attempts < 0 || long(a.Place.Cluster, a.Place.Zone) {
		return errors.New("link: an answer of no gateway's form")
	}
	return nil
}

func (s *settle) check() error {
	if len(s.Numbers) > settleAtOne {
		return errors.New("link: too many numbers to settle")
	}
	return nil
}

func (a *accounts) check() error {
	if len(a.Sessions) > 2*keepSessions {
		return errors.New("link: too many sessions asked for")
	}
	return nil
}

// fine tells of headers that can be written on an HTTP/1.1 connection as they are.
func fine(h http.Header) bool {
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
