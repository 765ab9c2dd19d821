package fleet

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/fleet/gossip"
	"silvertrail/internal/fleet/membership"
	"silvertrail/internal/fleet/ownership"
)

// protocolVersion is the version of what instances say to each other. It is part of the label that each packet carries, so that
// instances of another version, or of another fleet, are strangers.
const protocolVersion = 1

// packet is what one instance says to another: any number of items.
type packet struct {
	From    string
	Process uint64
	Items   []item
}

// item is one message. Just one of its parts is set.
type item struct {
	Proposal        *ownership.Proposal `codec:",omitempty"`
	Response        *ownership.Response `codec:",omitempty"`
	Release         *ownership.Release  `codec:",omitempty"`
	SnapshotRequest uint64              `codec:",omitempty"` // a copy is asked for, under this number
	SnapshotPart    *snapshotPart       `codec:",omitempty"`
	Membership      *membership.Message `codec:",omitempty"` // of membership, where the fleet goes by views
	Gossip          *gossip.Message     `codec:",omitempty"` // what members act on
}

// snapshotPart is a part of a copy.
type snapshotPart struct {
	RequestID   uint64
	Part, Parts int
	Keys        []ownership.KeyState
}

const (
	maxItems     = 256
	maxNameBytes = 256 // of clusters and zones
	maxParts     = 1 << 15
	maxPartKeys  = 400 // some 40 KB
)

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true // both sides know the order; protocol counts its changes
	h.WriteExt = true
	return h
}()

func encode(p *packet) ([]byte, error) {
	var out []byte
	err := codec.NewEncoderBytes(&out, handle).Encode(p)
	return out, err
}

// decode reads what an instance has said, and checks what can be checked of it.
func decode(text []byte) (p *packet, err error) {
	defer func() {
		if fault := recover(); fault != nil { // the library's own guard against what it can't read
			p, err = nil, fmt.Errorf("fleet: unreadable: %v", fault)
		}
	}()
	p = &packet{}
	if err := codec.NewDecoderBytes(text, handle).Decode(p); err != nil {
		return nil, fmt.Errorf("fleet: unreadable: %w", err)
	}
	if p.From == "" || len(p.From) > maxNameBytes || len(p.Items) > maxItems {
		return nil, errors.New("fleet: a packet of no member's form")
	}
	for _, i := range p.Items {
		if err := i.check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (i *item) check() error {
	parts := 0
	if a := i.Proposal; a != nil {
		parts++
		if len(a.Place.Cluster) > maxNameBytes || len(a.Place.Zone) > maxNameBytes || a.Window < 0 || a.Retention < 0 || a.TTL <= 0 || a.Scope > 2 {
			return errors.New("fleet: an ask that no member makes")
		}
	}
	if a := i.Response; a != nil {
		parts++
		if a.Vote > ownership.HeldElsewhere || len(a.Place.Cluster) > maxNameBytes || len(a.Place.Zone) > maxNameBytes {
			return errors.New("fleet: an answer that no member gives")
		}
	}
	if i.Release != nil {
		parts++
	}
	if i.SnapshotRequest != 0 {
		parts++
	}
	if w := i.Membership; w != nil {
		parts++
		if err := w.Check(); err != nil {
			return err
		}
	}
	if a := i.Gossip; a != nil {
		parts++
		if err := a.Check(); err != nil {
			return err
		}
	}
	if c := i.SnapshotPart; c != nil {
		parts++
		if c.Part < 0 || c.Parts > maxParts || c.Part >= c.Parts || len(c.Keys) > maxPartKeys {
			return errors.New("fleet: a part of no copy")
		}
		for _, k := range c.Keys {
			if len(k.Place.Cluster) > maxNameBytes || len(k.Place.Zone) > maxNameBytes {
				return errors.New("fleet: a key of no member's form")
			}
		}
	}
	if parts != 1 {
		return errors.New("fleet: an item says nothing, or too much")
	}
	return nil
}
