package fleet

import (
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/binding"
)

const (
	outboxItems = 4096
	packetItems = 12                     // some 1,200 bytes, which is one packet on most links
	copyEvery   = 400 * time.Millisecond // at the soonest, to one member
)

// outbox holds what one member is to hear, several messages in a packet where they come faster than packets go. What it has
// no room for is dropped: every message may be lost on its way too. It costs nothing while there is nothing to say: of the
// members of a large fleet few ever hear something.
type outbox struct {
	items   []item
	sending bool
}

// send gives a member something to hear. A member that is not known hears nothing.
func (f *Fleet) send(to string, items ...item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || f.over() || to == f.o.Name {
		return
	}
	n.out.items = append(n.out.items, items[:min(len(items), max(outboxItems-len(n.out.items), 0))]...)
	if !n.out.sending && len(n.out.items) > 0 {
		n.out.sending = true
		f.wait.Go(func() { f.empty(to) })
	}
}

// take returns what a member is to hear next, and how it is reached; nothing where that is all.
func (f *Fleet) take(name string) (items []item, to memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	if n == nil || f.over() {
		return nil, to
	}
	if len(n.out.items) == 0 {
		n.out = outbox{}
		return nil, to
	}
	count := min(len(n.out.items), packetItems)
	items, n.out.items = n.out.items[:count:count], n.out.items[count:]
	return items, n.Node
}

// empty sends what a member is to hear until there is nothing more.
func (f *Fleet) empty(name string) {
	select {
	case <-f.ready:
	case <-f.done:
		return
	}
	for {
		items, to := f.take(name)
		if len(items) == 0 {
			return
		}
		text, err := encode(&packet{From: f.o.Name, Process: f.process, Items: items})
		if err != nil {
			f.log.Error("packet", "error", err)
			continue
		}
		if err := f.list.SendBestEffort(&to, text); err != nil {
			f.log.Debug("packet lost", "to", name, "error", err)
		}
	}
}

// sendWhole sends a copy in its parts, one after the other, by a way that loses nothing of a part.
func (f *Fleet) sendWhole(to string, want uint64, parts [][]binding.KeyState) {
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
