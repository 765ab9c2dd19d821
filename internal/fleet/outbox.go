package fleet

import (
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/binding"
)

const (
	outboxItems = 4096
	packetItems = 12                     // some 1,200 bytes, which is one packet on most links
	copyEvery   = 400 * time.Millisecond // at the soonest, to one member
)

// outbox sends what one member is to hear, several messages in a packet where they come faster than packets go. What it
// has no room for is dropped: every message may be lost on its way too.
type outbox struct {
	items chan item
	once  sync.Once
	end   chan struct{}
}

func (o *outbox) close() { o.once.Do(func() { close(o.end) }) }

// outbox starts a member's outbox.
func (f *Fleet) outbox(name string) *outbox {
	o := &outbox{items: make(chan item, outboxItems), end: make(chan struct{})}
	if name == f.o.Name {
		return o
	}
	f.wait.Go(func() {
		select {
		case <-f.ready:
		case <-f.done:
			return
		}
		for {
			p := packet{From: f.o.Name, Process: f.process}
			select {
			case i := <-o.items:
				p.Items = append(p.Items, i)
			case <-o.end:
				return
			case <-f.done:
				return
			}
			for more := true; more && len(p.Items) < packetItems; {
				select {
				case i := <-o.items:
					p.Items = append(p.Items, i)
				default:
					more = false
				}
			}
			text, err := encode(&p)
			if err != nil {
				f.log.Error("packet", "error", err)
				continue
			}
			to, known := f.node(name)
			if !known {
				continue
			}
			if err := f.list.SendBestEffort(&to, text); err != nil {
				f.log.Debug("packet lost", "to", name, "error", err)
			}
		}
	})
	return o
}

// node returns how a member is reached.
func (f *Fleet) node(name string) (n memberlist.Node, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.nodes[name]
	if m == nil {
		return n, false
	}
	return m.Node, true
}

// send gives a member something to hear. A member that is not known hears nothing.
func (f *Fleet) send(to string, items ...item) {
	f.mu.Lock()
	n := f.nodes[to]
	f.mu.Unlock()
	if n == nil {
		return
	}
	for _, i := range items {
		select {
		case n.out.items <- i:
		default:
		}
	}
}

// sendWhole sends a copy in its parts, one after the other, by a way that loses nothing of a part.
func (f *Fleet) sendWhole(to string, want uint64, parts [][]binding.Known) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || len(parts) > maxParts || f.over() || time.Since(n.copied) < copyEvery {
		return
	}
	n.copied = time.Now()
	node := n.Node
	f.wait.Go(func() {
		for i, keys := range parts {
			select {
			case <-f.ready:
			case <-f.done:
				return
			}
			text, err := encode(&packet{From: f.o.Name, Process: f.process,
				Items: []item{{Copy: &copyPart{Want: want, Part: i, Parts: len(parts), Keys: keys}}}})
			if err == nil {
				err = f.list.SendReliable(&node, text)
			}
			if err != nil {
				f.log.Info("copy broken off", "to", to, "error", err)
				return
			}
		}
	})
}
