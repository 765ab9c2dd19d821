// Package handover lets a new process replace a running one on the same machine without losing requests. The successor
// takes over the listening socket, so that no connection in the accept queue is lost. It also takes over the state that its
// routing decisions need. The processes exchange messages over a Unix socket in a directory that they share.
//
// A Process owns the sessions with its predecessor and its successor. One goroutine reads each session, and one goroutine
// accepts connections of successors.
package handover

import (
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/lbpolicy"
)

// Version is the version of the messages. Processes with different versions hand nothing over.
const Version = 1

// maxFrameBytes bounds the size of a message. It has room for a list of 10,000 endpoints, or for maxKeysPerMessage keys.
const maxFrameBytes = 4 << 20

// maxKeysPerMessage bounds the number of keys in one message.
const maxKeysPerMessage = 2048

var (
	errVersion       = errors.New("handover: the other process uses another message version")
	errFrameTooLarge = fmt.Errorf("handover: a message of over %d bytes", maxFrameBytes)
)

// Kind is the kind of a message.
type Kind string

// The kinds of messages. The response to a request has the kind of the request, or is a Rejection.
const (
	Hello     Kind = "hello" // the successor opens the session; the response is the offer, with the listening socket
	TakeOver  Kind = "take"  // the successor accepts clients from now on; the response is the predecessor's state at that moment
	Keys      Kind = "keys"  // key states, split into several messages; they have no response
	ClaimKey  Kind = "bind"  // the predecessor claims a key for an attempt; the response is the key's state
	ClaimID   Kind = "id"    // the predecessor claims the ID of a request; the response has the ID if it was in use
	Eject     Kind = "ban"   // an operator has ejected an endpoint, or ended its ejection, at another process
	Rejection Kind = "no"    // the request was rejected
)

// Message is a message that either process may send.
type Message struct {
	Kind       Kind   `json:"kind"`
	Version    int    `json:"version,omitempty"`
	Seq        uint64 `json:"seq,omitempty"` // sequence number of a request, repeated in its response
	IsResponse bool   `json:"answer,omitempty"`
	Reason     string `json:"why,omitempty"`

	Offer    *Offer      `json:"offer,omitempty"`
	State    *State      `json:"taken,omitempty"`
	Keys     []KeyRecord `json:"keys,omitempty"`
	Claim    *Claim      `json:"bind,omitempty"`
	KeyState *KeyState   `json:"past,omitempty"`
	Ejection *Ejection   `json:"ban,omitempty"`

	// Accepts is a part of Hello: the kinds of requests that the successor accepts beyond those of the version's first processes.
	Accepts    []Kind   `json:"accepts,omitempty"`
	RequestIDs []uint64 `json:"ids,omitempty"` // hashes; of ClaimID
}

// Offer is the state that a successor starts with.
type Offer struct {
	Listen       string                  `json:"listen"`
	Endpoints    []endpointlist.Endpoint `json:"list"`
	ListedHashes []uint64                `json:"seen"`
	Ejected      []string                `json:"bans"`
	Policy       engine.Snapshot         `json:"carried"`
}

// State is the state of the predecessor at the moment at which it stopped accepting clients.
type State struct {
	Ejected    []string        `json:"bans"`
	RequestIDs RequestIDs      `json:"ids"`
	Policy     engine.Snapshot `json:"carried"`
	KeyCount   int             `json:"keys"` // number of keys sent before this message
}

// RequestIDs holds the IDs of requests that are in flight or ended recently, as hashes, and the secret key of the hashes.
type RequestIDs struct {
	Key    []byte   `json:"key"`
	Hashes []uint64 `json:"hashes"`
}

// Ejection is the manual ejection of an endpoint, or the end of that ejection.
type Ejection struct {
	Endpoint string `json:"id"`
	Ejected  bool   `json:"on"`
}

// KeyState describes the recorded attempts of an idempotency key. Times are relative, because the monotonic clocks of the
// processes differ.
type KeyState struct {
	Known         bool          `json:"known"`
	Cluster       string        `json:"cluster,omitempty"`
	Zone          string        `json:"zone,omitempty"`
	Cell          int           `json:"cell,omitempty"`
	SeveralGroups bool          `json:"split,omitempty"`
	RetryWindow   time.Duration `json:"until,omitempty"`
}

// NewKeyState converts a key state of the key table to its form in messages.
func NewKeyState(now time.Time, state idempotency.KeyState) KeyState {
	if !state.Known {
		return KeyState{}
	}
	return KeyState{true, state.Place.Cluster, state.Place.Zone, state.Place.Cell, state.SeveralGroups, state.RetryUntil.Sub(now)}
}

// KeyState converts the key state to its form in the key table.
func (s KeyState) KeyState(now time.Time) idempotency.KeyState {
	if !s.Known {
		return idempotency.KeyState{}
	}
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: s.Cluster, Zone: s.Zone, Cell: s.Cell}, SeveralGroups: s.SeveralGroups, RetryUntil: now.Add(s.RetryWindow)}
}

// KeyID is the ID of an idempotency key. Messages hold it in hexadecimal digits.
type KeyID idempotency.KeyID

// MarshalText implements encoding.TextMarshaler.
func (id KeyID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *KeyID) UnmarshalText(text []byte) error {
	if len(text) != 2*len(id) {
		return errors.New("handover: key ID has the wrong length")
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// KeyRecord is an idempotency key with its state.
type KeyRecord struct {
	ID           KeyID         `json:"id"`
	State        KeyState      `json:"past"`
	SeveralZones bool          `json:"zones,omitempty"`
	SeveralCells bool          `json:"cells,omitempty"`
	ExpiresIn    time.Duration `json:"expire"`
}

// NewKeyRecord converts a record of the key table to its form in messages.
func NewKeyRecord(now time.Time, k idempotency.Record) KeyRecord {
	return KeyRecord{KeyID(k.ID), NewKeyState(now, k.KeyState), k.SeveralZones, k.SeveralCells, k.ExpiresAt.Sub(now)}
}

// Record converts the record to its form in the key table.
func (k KeyRecord) Record(now time.Time) idempotency.Record {
	return idempotency.Record{ID: idempotency.KeyID(k.ID), KeyState: k.State.KeyState(now), SeveralZones: k.SeveralZones, SeveralCells: k.SeveralCells, ExpiresAt: now.Add(k.ExpiresIn)}
}

// Claim claims an idempotency key for an attempt that is about to be sent.
type Claim struct {
	ID        KeyID          `json:"id"`
	To        KeyState       `json:"to"` // the destination of the attempt, and the time within which further attempts may be decided
	Scope     lbpolicy.Scope `json:"scope"`
	ExpiresIn time.Duration  `json:"expire"`
}

// validate rejects messages that no process of this version sends.
func (m *Message) validate() error {
	ok := false
	switch m.Kind {
	case Hello:
		ok = !m.IsResponse && m.Version > 0 || m.IsResponse && m.Offer != nil
	case TakeOver:
		ok = !m.IsResponse || m.State != nil
	case Keys:
		ok = len(m.Keys) <= maxKeysPerMessage
	case ClaimKey:
		ok = !m.IsResponse && m.Claim != nil && m.Claim.To.Known && m.Claim.Scope <= lbpolicy.ScopeCell || m.IsResponse && m.KeyState != nil
	case ClaimID:
		ok = m.IsResponse && len(m.RequestIDs) <= 1 || len(m.RequestIDs) == 1
	case Eject:
		ok = m.IsResponse || m.Ejection != nil && m.Ejection.Endpoint != ""
	case Rejection:
		ok = m.IsResponse
	}
	if !ok {
		return fmt.Errorf("handover: invalid message of kind %.20q", m.Kind)
	}
	return nil
}
