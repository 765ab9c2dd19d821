package fleet

import (
	"time"

	"github.com/hashicorp/memberlist"

	"silvertrail/internal/fleet/ownership"
)

const (
	maxOutboxItems   = 4096
	maxPacketItems   = 12                     // some 1,200 bytes, which is one packet on most links
	snapshotInterval = 400 * time.Millisecond // at the soonest, to one member
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
	if n == nil || f.isClosed() || to == f.options.Name {
		return
	}
	n.outbox.items = append(n.outbox.items, items[:min(len(items), max(maxOutboxItems-len(n.outbox.items), 0))]...)
	if !n.outbox.sending && len(n.outbox.items) > 0 {
		n.outbox.sending = true
		f.goroutines.Go(func() { f.drainOutbox(to) })
	}
}

// nextItems returns what a member is to hear next, and how it is reached; nothing where that is all.
func (f *Fleet) nextItems(name string) (items []item, to memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	if n == nil || f.isClosed() {
		return nil, to
	}
	if len(n.outbox.items) == 0 {
		n.outbox = outbox{}
		return nil, to
	}
	count := min(len(n.outbox.items), maxPacketItems)
	items, n.outbox.items = n.outbox.items[:count:count], n.outbox.items[count:]
	return items, n.Node
}

// drainOutbox sends what a member is to hear until there is nothing more.
func (f *Fleet) drainOutbox(name string) {
	select {
	case <-f.started:
	case <-f.closed:
		return
	}
	for {
		items, to := f.nextItems(name)
		if len(items) == 0 {
			return
		}
		text, err := encode(&packet{From: f.options.Name, Process: f.process, Items: items})
		if err != nil {
			f.log.Error("packet", "error", err)
			continue
		}
		if err := f.memberlist.SendBestEffort(&to, text); err != nil {
			f.log.Debug("packet lost", "to", name, "error", err)
		}
	}
}

// sendSnapshotParts sends a copy in its parts, one after the other, by a way that loses nothing of a part.
func (f *Fleet) sendSnapshotParts(to string, want uint64, parts [][]ownership.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || len(parts) > maxParts || f.isClosed() || time.Since(n.snapshotSentAt) < snapshotInterval {
		return
	}
	n.snapshotSentAt = time.Now()
	node := n.Node
	f.goroutines.Go(func() {
		for i, keys := range parts {
			select {
			case <-f.started:
			case <-f.closed:
				return
			}
			text, err := encode(&packet{From: f.options.Name, Process: f.process,
				Items: []item{{SnapshotPart: &snapshotPart{RequestID: want, Part: i, Parts: len(parts), Keys: keys}}}})
			if err == nil {
				err = f.memberlist.SendReliable(&node, text)
			}
			if err != nil {
				f.log.Info("copy broken off", "to", to, "error", err)
				return
			}
		}
	})
}
