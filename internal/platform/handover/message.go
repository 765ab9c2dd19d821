// Package handover lets a process replace another one beside it without losing requests: the successor takes over the
// listening socket, so that no connection in its queue is lost, and the state that later decisions need. The processes
// exchange messages over a Unix socket in a directory that they share.
//
// A Process owns the sessions with its predecessor and its successor; one goroutine reads each, and one accepts successors.
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

// Version is the version of the messages. A process of another version hands nothing over.
const Version = 1

// maxFrameBytes bounds a message: a list of 10,000 endpoints, or maxKeysPerMessage keys.
const maxFrameBytes = 4 << 20

// maxKeysPerMessage bounds the keys in one message.
const maxKeysPerMessage = 2048

var (
	errVersion       = errors.New("handover: the other process has another version")
	errFrameTooLarge = fmt.Errorf("handover: a message of over %d bytes", maxFrameBytes)
)

// Kind is the kind of a message.
type Kind string

// The kinds. The response to a request is of the same kind, or a Rejection.
const (
	Hello     Kind = "hello" // the successor greets; the response is the offer, with the listening socket
	TakeOver  Kind = "take"  // the successor accepts clients from now on; the response is the state at that moment
	Keys      Kind = "keys"  // key states, in several messages; no response
	ClaimKey  Kind = "bind"  // the predecessor claims a key for an attempt; the response is the key's state
	Eject     Kind = "ban"   // an operator has ejected an endpoint, or ended its ejection, at either process
	Rejection Kind = "no"    // the request was rejected
)

// Message is a message of either process.
type Message struct {
	Kind       Kind   `json:"kind"`
	Version    int    `json:"version,omitempty"`
	Seq        uint64 `json:"seq,omitempty"` // of a request; its response has the same
	IsResponse bool   `json:"answer,omitempty"`
	Reason     string `json:"why,omitempty"`

	Offer    *Offer      `json:"offer,omitempty"`
	State    *State      `json:"taken,omitempty"`
	Keys     []KeyRecord `json:"keys,omitempty"`
	Claim    *Claim      `json:"bind,omitempty"`
	KeyState *KeyState   `json:"past,omitempty"`
	Ejection *Ejection   `json:"ban,omitempty"`
}

// Offer is the state that a successor starts with.
type Offer struct {
	Listen       string                  `json:"listen"`
	Endpoints    []endpointlist.Endpoint `json:"list"`
	ListedHashes []uint64                `json:"seen"`
	Ejected      []string                `json:"bans"`
	Policy       engine.Snapshot         `json:"carried"`
}

// State is the predecessor's state when it has stopped accepting clients.
type State struct {
	Ejected    []string        `json:"bans"`
	RequestIDs RequestIDs      `json:"ids"`
	Policy     engine.Snapshot `json:"carried"`
	KeyCount   int             `json:"keys"` // that were sent before this message
}

// RequestIDs are those of requests in flight and ended lately, as hashes with their secret.
type RequestIDs struct {
	Key    []byte   `json:"key"`
	Hashes []uint64 `json:"hashes"`
}

// Ejection is a manual ejection of an endpoint, or its end.
type Ejection struct {
	Endpoint string `json:"id"`
	Ejected  bool   `json:"on"`
}

// KeyState is what is known of a key's attempts. Times are relative, as the processes' monotonic clocks differ.
type KeyState struct {
	Known         bool          `json:"known"`
	Cluster       string        `json:"cluster,omitempty"`
	Zone          string        `json:"zone,omitempty"`
	Cell          int           `json:"cell,omitempty"`
	SeveralGroups bool          `json:"split,omitempty"`
	RetryWindow   time.Duration `json:"until,omitempty"`
}

// NewKeyState returns a key state in the form of a message.
func NewKeyState(now time.Time, p idempotency.KeyState) KeyState {
	if !p.Known {
		return KeyState{}
	}
	return KeyState{true, p.Place.Cluster, p.Place.Zone, p.Place.Cell, p.SeveralGroups, p.RetryUntil.Sub(now)}
}

// KeyState returns the key state in the form of the key table.
func (p KeyState) KeyState(now time.Time) idempotency.KeyState {
	if !p.Known {
		return idempotency.KeyState{}
	}
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: p.Cluster, Zone: p.Zone, Cell: p.Cell}, SeveralGroups: p.SeveralGroups, RetryUntil: now.Add(p.RetryWindow)}
}

// KeyID is a key's ID, encoded in hexadecimal digits.
type KeyID idempotency.KeyID

// MarshalText implements encoding.TextMarshaler.
func (id KeyID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *KeyID) UnmarshalText(text []byte) error {
	if len(text) != 2*len(id) {
		return errors.New("handover: key ID of another length")
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// KeyRecord is a key with its state.
type KeyRecord struct {
	ID           KeyID         `json:"id"`
	State        KeyState      `json:"past"`
	SeveralZones bool          `json:"zones,omitempty"`
	SeveralCells bool          `json:"cells,omitempty"`
	ExpiresIn    time.Duration `json:"expire"`
}

// NewKeyRecord returns a record of the key table in the form of a message.
func NewKeyRecord(now time.Time, k idempotency.Record) KeyRecord {
	return KeyRecord{KeyID(k.ID), NewKeyState(now, k.KeyState), k.SeveralZones, k.SeveralCells, k.ExpiresAt.Sub(now)}
}

// Record returns the record in the form of the key table.
func (k KeyRecord) Record(now time.Time) idempotency.Record {
	return idempotency.Record{ID: idempotency.KeyID(k.ID), KeyState: k.State.KeyState(now), SeveralZones: k.SeveralZones, SeveralCells: k.SeveralCells, ExpiresAt: now.Add(k.ExpiresIn)}
}

// Claim is a claim of a key for an attempt that is about to be sent.
type Claim struct {
	ID        KeyID          `json:"id"`
	To        KeyState       `json:"to"` // the place, with the time for which further attempts may be decided on
	Scope     lbpolicy.Scope `json:"scope"`
	ExpiresIn time.Duration  `json:"expire"`
}

// validate rejects what no process of this version sends.
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
