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

// maxFrame bounds a message: a list of 10,000 endpoints, or a part of the keys.
const maxFrame = 4 << 20

// keysAtOnce is how many keys stand in one message.
const keysAtOnce = 2048

var (
	errVersion = errors.New("handover: the other process speaks another version")
	errFrame   = fmt.Errorf("handover: a message of over %d bytes", maxFrame)
)

// Kind says what a message is for.
type Kind string

// The kinds. Each is answered by one of the same kind, but for a refusal.
const (
	Hello Kind = "hello" // the new process greets; the answer is the offer, with the listening socket
	Take  Kind = "take"  // the new process takes clients from now on; the answer is what is in force at that moment
	Keys  Kind = "keys"  // a part of what is known of keys; it has no answer
	Bind  Kind = "bind"  // the old process asks where an attempt with a key may go
	Ban   Kind = "ban"   // an operator has banned an endpoint or ended that, at either
	No    Kind = "no"    // what was asked can't be had
)

// Message is one of either side.
type Message struct {
	Kind    Kind   `json:"kind"`
	Version int    `json:"version,omitempty"`
	Seq     uint64 `json:"seq,omitempty"` // of what is asked; its answer has the same
	Answer  bool   `json:"answer,omitempty"`
	Why     string `json:"why,omitempty"`

	Offer *Offer   `json:"offer,omitempty"`
	Taken *Taken   `json:"taken,omitempty"`
	Keys  []Key    `json:"keys,omitempty"`
	Bind  *Attempt `json:"bind,omitempty"`
	Past  *Past    `json:"past,omitempty"`
	Ban   *BanOf   `json:"ban,omitempty"`
}

// Offer is what a process begins with that takes over.
type Offer struct {
	Listen  string                  `json:"listen"`
	List    []endpointlist.Endpoint `json:"list"`
	Seen    []uint64                `json:"seen"`
	Bans    []string                `json:"bans"`
	Carried engine.Snapshot         `json:"carried"`
}

// Taken is what is in force as the old process takes no more clients.
type Taken struct {
	Bans    []string        `json:"bans"`
	IDs     IDs             `json:"ids"`
	Carried engine.Snapshot `json:"carried"`
	Keys    int             `json:"keys"` // that came before this
}

// IDs are those of requests in work and ended lately, as hashes with their key.
type IDs struct {
	Key    []byte   `json:"key"`
	Hashes []uint64 `json:"hashes"`
}

// BanOf is a ban of an endpoint, or its end.
type BanOf struct {
	ID string `json:"id"`
	On bool   `json:"on"`
}

// Past is what is known of a key's attempts. Times are what is left of them, as the two processes' clocks share no start.
type Past struct {
	Known   bool          `json:"known"`
	Cluster string        `json:"cluster,omitempty"`
	Zone    string        `json:"zone,omitempty"`
	Cell    int           `json:"cell,omitempty"`
	Split   bool          `json:"split,omitempty"`
	Until   time.Duration `json:"until,omitempty"`
}

// PastOf returns a past as it is told.
func PastOf(now time.Time, p idempotency.KeyState) Past {
	if !p.Known {
		return Past{}
	}
	return Past{true, p.Place.Cluster, p.Place.Zone, p.Place.Cell, p.SeveralGroups, p.RetryUntil.Sub(now)}
}

// History returns a past as it is kept.
func (p Past) History(now time.Time) idempotency.KeyState {
	if !p.Known {
		return idempotency.KeyState{}
	}
	return idempotency.KeyState{Known: true, Place: idempotency.Place{Cluster: p.Cluster, Zone: p.Zone, Cell: p.Cell}, SeveralGroups: p.Split, RetryUntil: now.Add(p.Until)}
}

// ID is a key's, in hexadecimal digits.
type ID idempotency.KeyID

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) != 2*len(id) {
		return errors.New("handover: a key's ID of another length")
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// Key is what is known of one key.
type Key struct {
	ID     ID            `json:"id"`
	Past   Past          `json:"past"`
	Zones  bool          `json:"zones,omitempty"`
	Cells  bool          `json:"cells,omitempty"`
	Expire time.Duration `json:"expire"`
}

// KeyOf returns a key as it is told.
func KeyOf(now time.Time, k idempotency.Record) Key {
	return Key{ID(k.ID), PastOf(now, k.KeyState), k.SeveralZones, k.SeveralCells, k.ExpiresAt.Sub(now)}
}

// History returns a key as it is kept.
func (k Key) History(now time.Time) idempotency.Record {
	return idempotency.Record{ID: idempotency.KeyID(k.ID), KeyState: k.Past.History(now), SeveralZones: k.Zones, SeveralCells: k.Cells, ExpiresAt: now.Add(k.Expire)}
}

// Attempt is one that is about to go out with a key.
type Attempt struct {
	ID     ID             `json:"id"`
	To     Past           `json:"to"` // the place; Until is for how long a further one may be decided on
	Scope  lbpolicy.Scope `json:"scope"`
	Expire time.Duration  `json:"expire"`
}

// check refuses what no process of this version sends.
func (m *Message) check() error {
	ok := false
	switch m.Kind {
	case Hello:
		ok = !m.Answer && m.Version > 0 || m.Answer && m.Offer != nil
	case Take:
		ok = !m.Answer || m.Taken != nil
	case Keys:
		ok = len(m.Keys) <= keysAtOnce
	case Bind:
		ok = !m.Answer && m.Bind != nil && m.Bind.To.Known && m.Bind.Scope <= lbpolicy.ScopeCell || m.Answer && m.Past != nil
	case Ban:
		ok = m.Answer || m.Ban != nil && m.Ban.ID != ""
	case No:
		ok = m.Answer
	}
	if !ok {
		return fmt.Errorf("handover: a message %.20q that can't be one", m.Kind)
	}
	return nil
}

// frame returns a message as it goes out: its length in four bytes, and JSON.
func frame(m *Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxFrame {
		return nil, errFrame
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...), nil
}

// read reads one message.
func read(r io.Reader) (*Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return nil, errFrame
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
	return m, m.check()
}
