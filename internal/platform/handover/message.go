// Package handover has a process that replaces another beside it take over from it: the listening socket itself, so that
// no connection that waits to be accepted is lost, and the state that the rules need. Both speak
// over a Unix socket in a directory that they share.
package handover

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"silvertrail/internal/balancer/engine"
	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/base/endpointlist"
	"silvertrail/lbpolicy"
)

// Version is that of the messages. A process that speaks another one is not taken over from.
const Version = 1

// maxFrameBytes bounds a message: a list of 10,000 endpoints, or a part of the keys.
const maxFrameBytes = 4 << 20

// maxKeysPerMessage is how many keys stand in one message.
const maxKeysPerMessage = 2048

var (
	errVersion       = errors.New("handover: the other process speaks another version")
	errFrameTooLarge = fmt.Errorf("handover: a message of over %d bytes", maxFrameBytes)
)

// Kind says what a message is for.
type Kind string

// The kinds. Each is answered by one of the same kind, but for a refusal.
const (
	Hello     Kind = "hello" // the new process greets; the answer is the offer, with the listening socket
	TakeOver  Kind = "take"  // the new process takes clients from now on; the answer is what is in force at that moment
	Keys      Kind = "keys"  // a part of what is known of keys; it has no answer
	ClaimKey  Kind = "bind"  // the old process asks where an attempt with a key may go
	Eject     Kind = "ban"   // an operator has banned an endpoint or ended that, at either
	Rejection Kind = "no"    // what was asked can't be had
)

// Message is one of either side.
type Message struct {
	Kind       Kind   `json:"kind"`
	Version    int    `json:"version,omitempty"`
	Seq        uint64 `json:"seq,omitempty"` // of what is asked; its answer has the same
	IsResponse bool   `json:"answer,omitempty"`
	Reason     string `json:"why,omitempty"`

	Offer    *Offer      `json:"offer,omitempty"`
	State    *State      `json:"taken,omitempty"`
	Keys     []KeyRecord `json:"keys,omitempty"`
	Claim    *Claim      `json:"bind,omitempty"`
	KeyState *KeyState   `json:"past,omitempty"`
	Ejection *Ejection   `json:"ban,omitempty"`
}

// Offer is what a process begins with that takes over.
type Offer struct {
	Listen       string                  `json:"listen"`
	Endpoints    []endpointlist.Endpoint `json:"list"`
	ListedHashes []uint64                `json:"seen"`
	Ejected      []string                `json:"bans"`
	Policy       engine.Snapshot         `json:"carried"`
}

// State is what is in force as the old process takes no more clients.
type State struct {
	Ejected    []string        `json:"bans"`
	RequestIDs RequestIDs      `json:"ids"`
	Policy     engine.Snapshot `json:"carried"`
	KeyCount   int             `json:"keys"` // that came before this
}

// RequestIDs are those of requests in work and ended lately, as hashes with their key.
type RequestIDs struct {
	Key    []byte   `json:"key"`
	Hashes []uint64 `json:"hashes"`
}

// Ejection is a ban of an endpoint, or its end.
type Ejection struct {
	Endpoint string `json:"id"`
	Ejected  bool   `json:"on"`
}

// KeyState is what is known of a key's attempts. Times are what is left of them, as the two processes' clocks share no start.
type KeyState struct {
	Known         bool          `json:"known"`
	Cluster       string        `json:"cluster,omitempty"`
	Zone          string        `json:"zone,omitempty"`
	Cell          int           `json:"cell,omitempty"`
	SeveralGroups bool          `json:"split,omitempty"`
	RetryWindow   time.Duration `json:"until,omitempty"`
}

// NewKeyState returns a past as it is told.
func NewKeyState(now time.Time, p idempotency.KeyState) KeyState {
	if !p.Known {
		return KeyState{}
	}
	return KeyState{true, p.Place.Cluster, p.Place.Zone, p.Place.Cell, p.SeveralGroups, p.RetryUntil.Sub(now)}
}

// KeyState returns a past as it is kept.
func (p KeyState) KeyState(now time.Time) idempotency.KeyState {
	if !p.Known {
		return idempotency.KeyState{}
	}
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: p.Cluster, Zone: p.Zone, Cell: p.Cell}, SeveralGroups: p.SeveralGroups, RetryUntil: now.Add(p.RetryWindow)}
}

// KeyID is a key's, in hexadecimal digits.
type KeyID idempotency.KeyID

// MarshalText implements encoding.TextMarshaler.
func (id KeyID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *KeyID) UnmarshalText(text []byte) error {
	if len(text) != 2*len(id) {
		return errors.New("handover: a key's ID of another length")
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// KeyRecord is what is known of one key.
type KeyRecord struct {
	ID           KeyID         `json:"id"`
	State        KeyState      `json:"past"`
	SeveralZones bool          `json:"zones,omitempty"`
	SeveralCells bool          `json:"cells,omitempty"`
	ExpiresIn    time.Duration `json:"expire"`
}

// NewKeyRecord returns a key as it is told.
func NewKeyRecord(now time.Time, k idempotency.Record) KeyRecord {
	return KeyRecord{KeyID(k.ID), NewKeyState(now, k.KeyState), k.SeveralZones, k.SeveralCells, k.ExpiresAt.Sub(now)}
}

// Record returns a key as it is kept.
func (k KeyRecord) Record(now time.Time) idempotency.Record {
	return idempotency.Record{ID: idempotency.KeyID(k.ID), KeyState: k.State.KeyState(now), SeveralZones: k.SeveralZones, SeveralCells: k.SeveralCells, ExpiresAt: now.Add(k.ExpiresIn)}
}

// Claim is one that is about to go out with a key.
type Claim struct {
	ID        KeyID          `json:"id"`
	To        KeyState       `json:"to"` // the place; Until is for how long a further one may be decided on
	Scope     lbpolicy.Scope `json:"scope"`
	ExpiresIn time.Duration  `json:"expire"`
}

// validate refuses what no process of this version sends.
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
		return fmt.Errorf("handover: a message %.20q that can't be one", m.Kind)
	}
	return nil
}

// encodeFrame returns a message as it goes out: its length in four bytes, and JSON.
func encodeFrame(m *Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...), nil
}

// readFrame reads one message.
func readFrame(r io.Reader) (*Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	// Grown as it comes: a length alone takes no memory.
	text, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	m := &Message{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return m, m.validate()
}
