package fleet

import "github.com/hashicorp/memberlist"

const (
	maxOutboxItems = 4096
	maxPacketItems = 12 // about 1,200 bytes, which fits into one packet on most networks
)

// outbox queues the messages for one member. Messages that are added faster than packets are sent share a packet. Messages
// beyond maxOutboxItems are dropped, which is tolerated, as the network may lose any message. An empty outbox holds no memory
// and no goroutine, because in a large fleet few members are ever sent a message.
type outbox struct {
	items   []item
	sending bool
}

// send queues messages for a member. Messages for an unknown member are dropped.
func (f *Fleet) send(to string, items ...item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || f.isClosed() || to == f.options.Name {
		return
	}
	room := max(maxOutboxItems-len(n.outbox.items), 0)
	n.outbox.items = append(n.outbox.items, items[:min(len(items), room)]...)
	if !n.outbox.sending && len(n.outbox.items) > 0 {
		n.outbox.sending = true
		f.goroutines.Go(func() { f.drainOutbox(to) })
	}
}

// nextItems returns the next messages for a member and its address, or no messages once the outbox is empty.
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

// drainOutbox sends the messages for a member until its outbox is empty.
func (f *Fleet) drainOutbox(name string) {
	if !f.awaitStart() {
		return
	}
	for {
		items, to := f.nextItems(name)
		if len(items) == 0 {
			return
		}
		encoded, err := f.encodePacket(items...)
		if err != nil {
			f.log.Error("packet not encoded", "error", err)
			continue
		}
		if err := f.memberlist.SendBestEffort(&to, encoded); err != nil {
			f.log.Debug("packet not sent", "to", name, "error", err)
		}
	}
}

// awaitStart waits until packets can be sent. It returns false if the instance is closed before that.
func (f *Fleet) awaitStart() bool {
	select {
	case <-f.started:
		return true
	case <-f.closed:
		return false
	}
}

// encodePacket returns an encoded packet from this instance.
func (f *Fleet) encodePacket(items ...item) ([]byte, error) {
	return encode(&packet{From: f.options.Name, Process: f.process, Items: items})
}

// handlePacket decodes a packet from another instance, handles its messages and sends the responses.
func (f *Fleet) handlePacket(encoded []byte) {
	p, err := decode(encoded)
	if err != nil {
		f.log.Warn("packet rejected", "error", err)
		return
	}
	var responses []item
	for _, i := range p.Items {
		if response, ok := f.handleItem(p.From, i); ok {
			responses = append(responses, response)
		}
	}
	if len(responses) > 0 {
		f.send(p.From, responses...)
	}
}

// handleItem handles one message; ok is true if there is a response to send.
func (f *Fleet) handleItem(from string, i item) (response item, ok bool) {
	switch {
	case i.Proposal != nil:
		if vote, ok := f.castVote(*i.Proposal); ok {
			return item{Response: &vote}, true
		}
	case i.Response != nil:
		f.handleResponse(from, i.Response)
	case i.Release != nil:
		f.releaseLocally(*i.Release)
	case i.SnapshotRequest != 0:
		f.sendSnapshot(from, i.SnapshotRequest)
	case i.SnapshotPart != nil:
		f.handleSnapshotPart(from, i.SnapshotPart)
	case i.Membership != nil && f.membership != nil:
		f.membership.receive(i.Membership)
	case i.Gossip != nil && f.applied != nil:
		f.applied.receive(from, i.Gossip)
	}
	return item{}, false
}
