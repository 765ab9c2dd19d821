package fleet

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/balancer/idempotency"
	"silvertrail/internal/fleet/gossip"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/ownership"
	"silvertrail/lbpolicy"
)

// protocolVersion is the version of the messages between instances. It is part of the label that each packet carries. Packets of
// another version or another fleet have another label and are ignored.
const protocolVersion = 1

// Messages are encoded as arrays in the order of their fields, here and in the packages that define them. The order must not
// change. A new field is added last and requires a new protocolVersion.

// packet is the unit of transfer between two instances. It holds up to maxItems messages.
type packet struct {
	From    string
	Process uint64
	Items   []item
}

// item is one message. Exactly one of its fields is set.
type item struct {
	Proposal        *ownership.Proposal `codec:"Ask,omitempty"`
	Response        *ownership.Response `codec:"Answer,omitempty"`
	Release         *ownership.Release  `codec:"End,omitempty"`
	SnapshotRequest uint64              `codec:"Want,omitempty"` // the ID of the request for a snapshot
	SnapshotPart    *snapshotPart       `codec:"Copy,omitempty"`
	Membership      *membership.Message `codec:"Word,omitempty"` // only in a fleet with views
	Gossip          *gossip.Message     `codec:"Acts,omitempty"` // versions that members apply
}

// snapshotPart is a part of a voter's snapshot.
type snapshotPart struct {
	RequestID   uint64
	Part, Parts int
	Keys        []ownership.KeyState
}

const (
	maxItems     = 256
	maxNameBytes = 256 // of members, clusters and zones
	maxParts     = 1 << 15
	maxPartKeys  = 400 // about 40 KB
)

// msgpackHandle makes the codec encode structs as arrays.
var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	h.WriteExt = true
	return h
}()

func encode(p *packet) ([]byte, error) {
	var encoded []byte
	err := codec.NewEncoderBytes(&encoded, msgpackHandle).Encode(p)
	return encoded, err
}

// decode decodes and validates a packet.
func decode(encoded []byte) (p *packet, err error) {
	defer func() {
		if fault := recover(); fault != nil { // the library panics on some malformed input
			p, err = nil, fmt.Errorf("fleet: decoding a packet: %v", fault)
		}
	}()
	p = &packet{}
	if err := codec.NewDecoderBytes(encoded, msgpackHandle).Decode(p); err != nil {
		return nil, fmt.Errorf("fleet: decoding a packet: %w", err)
	}
	if p.From == "" || len(p.From) > maxNameBytes || len(p.Items) > maxItems {
		return nil, errors.New("fleet: invalid packet: sender name or number of messages out of bounds")
	}
	for i := range p.Items {
		if err := p.Items[i].check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// check returns an error if a message is invalid.
func (i *item) check() error {
	if i.countSetFields() != 1 {
		return errors.New("fleet: invalid message: not exactly one field is set")
	}
	switch {
	case i.Proposal != nil:
		return checkProposal(i.Proposal)
	case i.Response != nil:
		return checkResponse(i.Response)
	case i.SnapshotPart != nil:
		return i.SnapshotPart.check()
	case i.Membership != nil:
		return i.Membership.Check()
	case i.Gossip != nil:
		return i.Gossip.Check()
	}
	return nil
}

func (i *item) countSetFields() int {
	count := 0
	for _, isSet := range []bool{
		i.Proposal != nil, i.Response != nil, i.Release != nil, i.SnapshotRequest != 0, i.SnapshotPart != nil, i.Membership != nil, i.Gossip != nil,
	} {
		if isSet {
			count++
		}
	}
	return count
}

func checkProposal(p *ownership.Proposal) error {
	if !isValidPlace(p.Place) || p.Window < 0 || p.Retention < 0 || p.TTL <= 0 || p.Scope > lbpolicy.ScopeCell {
		return errors.New("fleet: invalid proposal: place, scope or duration out of bounds")
	}
	return nil
}

func checkResponse(r *ownership.Response) error {
	if r.Vote > ownership.HeldElsewhere || !isValidPlace(r.Place) {
		return errors.New("fleet: invalid response: vote or place out of bounds")
	}
	return nil
}

func (s *snapshotPart) check() error {
	if s.Part < 0 || s.Parts > maxParts || s.Part >= s.Parts || len(s.Keys) > maxPartKeys {
		return errors.New("fleet: invalid snapshot part: part number or number of keys out of bounds")
	}
	for _, k := range s.Keys {
		if !isValidPlace(k.Place) {
			return errors.New("fleet: invalid snapshot part: place of a key out of bounds")
		}
	}
	return nil
}

func isValidPlace(p idempotency.Place) bool {
	return len(p.Cluster) <= maxNameBytes && len(p.Zone) <= maxNameBytes
}
