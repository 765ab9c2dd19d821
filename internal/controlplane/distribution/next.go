package distribution

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"silvertrail/internal/controlplane/records"
)

// Response is a response to send.
type Response struct {
	Kind     Kind
	Nonce    string
	Names    []string // of the resources to send
	Removed  []string
	Bytes    int  // approximately
	Complete bool // nothing more of the kind is pending
}

// Next returns the response to send to a subscriber now; ok is false if there is none.
func (d *Distributor) Next(now time.Time, s *Subscriber) (response Response, ok bool) {
	for k := range KindCount {
		sub := &s.subscriptions[k]
		if !sub.started || sub.nonce != "" || !d.open && k != Records {
			continue
		}
		if response, ok = d.nextOfKind(now, s, k); ok {
			return response, true
		}
	}
	return Response{}, false
}

func (d *Distributor) nextOfKind(now time.Time, s *Subscriber, k Kind) (Response, bool) {
	sub := &s.subscriptions[k]
	b := responseBuilder{distributor: d, subscription: sub, sent: map[string]records.Version{}}
	b.response.Kind = k
	b.addAll(sub.changed)
	if d.mayAddInitial(now, s, k) && len(sub.changed) == 0 && !b.single {
		b.addAll(sub.initial)
		s.granted = false
	}
	keepalive := s.keepaliveDue && !s.contacted
	acknowledge := sub.responseDue && len(sub.initial) == 0
	if len(b.sent) == 0 && !acknowledge && !keepalive {
		return b.response, false
	}
	s.lastNonce++
	b.response.Nonce = strconv.FormatUint(s.lastNonce, 10)
	b.response.Complete = len(sub.initial)+len(sub.changed) == 0
	sub.nonce, sub.sent, sub.sentSeveral = b.response.Nonce, b.sent, len(b.sent) > 1
	sub.responseDue, s.contacted = false, true
	return b.response, true
}

// mayAddInitial reports whether initial resources of a kind may be sent now. A subscriber that has to wait for its turn is queued.
// Peers do not wait.
func (d *Distributor) mayAddInitial(now time.Time, s *Subscriber, k Kind) bool {
	sub := &s.subscriptions[k]
	if len(sub.initial) == 0 {
		return false
	}
	if !s.Peer && !s.granted {
		d.enqueue(now, s)
		d.Step(now)
	}
	return s.Peer || s.granted
}

// responseBuilder collects the resources of a response.
type responseBuilder struct {
	distributor  *Distributor
	subscription *subscription
	response     Response
	sent         map[string]records.Version
	single       bool // the response holds one resource that has to be sent by itself
}

// addAll adds as many of the pending resources as fit. If all of them have to be sent one by one, it adds only the first.
func (b *responseBuilder) addAll(pending map[string]bool) {
	b.add(pending, false)
	if len(b.sent) == 0 {
		b.add(pending, true)
	}
}

// add adds pending resources that may be sent together or, if single is set, one that has to be sent by itself. Resources that
// the subscriber has by now are no longer pending.
func (b *responseBuilder) add(pending map[string]bool, single bool) {
	sub := b.subscription
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		if !b.distributor.isOutdated(b.response.Kind, sub, name) {
			delete(pending, name)
			delete(sub.oneByOne, name)
			continue
		}
		if sub.oneByOne[name] != single {
			continue
		}
		current, _ := b.distributor.catalog.Find(b.response.Kind, name)
		isFull := single || b.response.Bytes+current.Bytes > b.distributor.limits.MaxResponseBytes
		if len(b.sent) > 0 && isFull {
			return
		}
		delete(pending, name)
		delete(sub.oneByOne, name)
		b.addResource(name, current)
		b.single = single
	}
}

func (b *responseBuilder) addResource(name string, current ResourceVersion) {
	b.sent[name] = current.Version
	b.response.Bytes += current.Bytes
	if current.Removed {
		b.response.Removed = append(b.response.Removed, name)
	} else {
		b.response.Names = append(b.response.Names, name)
	}
}

// estimateInitialBytes returns the size in bytes of the next part of a subscriber's initial state, at most MaxResponseBytes.
func (d *Distributor) estimateInitialBytes(s *Subscriber) int {
	for k := range KindCount {
		bytes := 0
		for name := range s.subscriptions[k].initial {
			if current, ok := d.catalog.Find(k, name); ok {
				bytes += current.Bytes
			}
			if bytes >= d.limits.MaxResponseBytes {
				return d.limits.MaxResponseBytes
			}
		}
		if bytes > 0 {
			return bytes
		}
	}
	return 0
}
