package fleet

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"silvertrail/internal/fleet/binding"
	"silvertrail/internal/fleet/exchange"
	"silvertrail/internal/fleet/membership"
)

// protocol is the version of what instances say to each other. It is part of the label that each packet carries, so that
// instances of another version, or of another fleet, are strangers.
const protocol = 1

// packet is what one instance says to another: any number of items.
type packet struct {
	From    string
	Process uint64
	Items   []item
}

// item is one message. Just one of its parts is set.
type item struct {
	Ask    *binding.Proposal   `codec:",omitempty"`
	Answer *binding.Response   `codec:",omitempty"`
	End    *binding.Release    `codec:",omitempty"`
	Want   uint64              `codec:",omitempty"` // a copy is asked for, under this number
	Copy   *copyPart           `codec:",omitempty"`
	Word   *membership.Message `codec:",omitempty"` // of membership, where the fleet goes by views
	Acts   *exchange.Message   `codec:",omitempty"` // what members act on
}

// copyPart is a part of a copy.
type copyPart struct {
	Want        uint64
	Part, Parts int
	Keys        []binding.KeyState
}

const (
	maxItems = 256
	maxName  = 256 // of clusters and zones
	maxParts = 1 << 15
	partKeys = 400 // some 40 KB
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
	if p.From == "" || len(p.From) > maxName || len(p.Items) > maxItems {
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
	if a := i.Ask; a != nil {
		parts++
		if len(a.Place.Cluster) > maxName || len(a.Place.Zone) > maxName || a.Window < 0 || a.Retention < 0 || a.TTL <= 0 || a.Scope > 2 {
			return errors.New("fleet: an ask that no member makes")
		}
	}
	if a := i.Answer; a != nil {
		parts++
		if a.Vote > binding.HeldElsewhere || len(a.Place.Cluster) > maxName || len(a.Place.Zone) > maxName {
			return errors.New("fleet: an answer that no member gives")
		}
	}
	if i.End != nil {
		parts++
	}
	if i.Want != 0 {
		parts++
	}
	if w := i.Word; w != nil {
		parts++
		if err := w.Check(); err != nil {
			return err
		}
	}
	if a := i.Acts; a != nil {
		parts++
		if err := a.Check(); err != nil {
			return err
		}
	}
	if c := i.Copy; c != nil {
		parts++
		if c.Part < 0 || c.Parts > maxParts || c.Part >= c.Parts || len(c.Keys) > partKeys {
			return errors.New("fleet: a part of no copy")
		}
		for _, k := range c.Keys {
			if len(k.Place.Cluster) > maxName || len(k.Place.Zone) > maxName {
				return errors.New("fleet: a key of no member's form")
			}
		}
	}
	if parts != 1 {
		return errors.New("fleet: an item says nothing, or too much")
	}
	return nil
}
