package distribution

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"silvertrail/internal/controlplane/records"
)

// Subscriber is one stream.
type Subscriber struct {
	Name string
	Peer bool

	subscriptions [Kinds]subscription
	lastNonce     uint64
	contacted     bool // it was sent something
	// Of first states:
	queued, granted bool
	queuedAt        time.Time // that it has waited
	keepaliveDue    bool      // it is due a sign of life
}

// subscription is what a stream has asked for of a kind, and how far it is.
type subscription struct {
	started      bool
	wildcard     bool
	responseDue  bool // an answer, also where there is nothing to tell
	names        map[string]bool
	acknowledged map[string]records.Version // acknowledged, or told with the first request

	initial  map[string]bool // owed: in its turn
	changed  map[string]bool // owed: at once
	oneByOne map[string]bool // of these, those that go one at a time, as a response that held them was refused

	nonce       string // of the response in flight; empty: none is
	sent        map[string]records.Version
	sentSeveral bool // it held more than one resource
	nacked      map[string]Nack
}

// Nack is a version that a subscriber can't use. What it had before stays in force there.
type Nack struct {
	Version records.Version
	Reason  string
	At      time.Time
}

// Request is what a subscriber says.
type Request struct {
	Kind                   Kind
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // with the first of the kind: versions that it has, by name
	Nonce                  string            // of the response that it answers; empty: of none
	NackReason             string            // the response was refused
}

const (
	wildcardName   = "*"
	maxReasonBytes = 1 << 10 // bytes of a refusal that are kept
	maxNacks       = 64      // of a kind, that are kept of one subscriber
)

// HandleRequest takes a request. An error ends the stream.
func (d *Distributor) HandleRequest(now time.Time, s *Subscriber, r Request) error {
	if r.Kind >= Kinds || !d.subscribers[s] {
		return errors.New("a type that is not served")
	}
	if r.Kind == Records && !s.Peer {
		return fmt.Errorf("%q is no peer of this control machine: records are not for it", s.Name)
	}
	sub := &s.subscriptions[r.Kind]
	d.wake(s)
	began := !sub.started
	if began {
		for n, v := range r.InitialVersions {
			if len(sub.acknowledged) >= d.limits.MaxNames {
				break
			}
			if is, err := records.ParseVersion(v); err == nil { // another's is older than all of ours
				putIn(&sub.acknowledged, n, is)
			}
		}
		sub.wildcard = len(r.Subscribe) == 0
		sub.responseDue = true
		if sub.wildcard {
			d.subscribeAll(s, r.Kind)
		}
		sub.started = true
	} else if r.Nonce != "" && r.Nonce == sub.nonce {
		sub.handleResponse(now, r.NackReason)
	}
	for _, n := range r.Subscribe {
		if n == wildcardName {
			d.subscribeAll(s, r.Kind)
			continue
		}
		if len(sub.names) >= d.limits.MaxNames && !sub.names[n] {
			return fmt.Errorf("over %d names of a type", d.limits.MaxNames)
		}
		if _, told := r.InitialVersions[n]; !told {
			delete(sub.acknowledged, n) // it wants it anew
		}
		delete(sub.sent, n) // what is in flight may be of before it was let go of
		putIn(&sub.names, n, true)
		d.addToIndex(r.Kind, n, s)
		d.enqueueInitial(s, r.Kind, n)
	}
	for _, n := range r.Unsubscribe {
		if n == wildcardName {
			sub.wildcard = false
			delete(d.wildcards[r.Kind], s)
			continue
		}
		delete(sub.names, n)
		d.removeFromIndex(r.Kind, n, s)
	}
	if began || len(r.Unsubscribe) > 0 {
		sub.forgetUnsubscribed()
	}
	return nil
}

func (d *Distributor) subscribeAll(s *Subscriber, k Kind) {
	s.subscriptions[k].wildcard = true
	d.wildcards[k][s] = true
	for n := range d.catalog.All(k) {
		d.enqueueInitial(s, k, n)
	}
}

// enqueueInitial has a subscriber get a resource in its turn, where it does not have it.
func (d *Distributor) enqueueInitial(s *Subscriber, k Kind, name string) {
	if sub := &s.subscriptions[k]; d.isOutdated(k, sub, name) && !sub.changed[name] {
		putIn(&sub.initial, name, true)
	}
}

// isOutdated tells whether a subscriber does not have a resource as this machine has it, or newer.
func (d *Distributor) isOutdated(k Kind, sub *subscription, name string) bool {
	o, ok := d.catalog.Find(k, name)
	if !ok { // nothing is known of it: that is no proof that it is gone
		return false
	}
	has, is := sub.acknowledged[name]
	if o.Removed && !is && !sub.names[name] { // it never had it, and does not wait for it
		return false
	}
	return has.Compare(o.Version) < 0 && sub.nacked[name].Version != o.Version
}

// handleResponse takes the answer to the response in flight.
func (sub *subscription) handleResponse(now time.Time, fault string) {
	sent := sub.sent
	sub.nonce, sub.sent = "", nil
	if fault != "" && sub.sentSeveral { // which of them can't be used is not said: each goes by itself
		for n := range sent {
			putIn(&sub.oneByOne, n, true)
			putIn(&sub.acknowledged, n, sub.acknowledged[n]) // it may have it: should it be removed now, that has to be told
			if !sub.initial[n] {
				putIn(&sub.changed, n, true)
			}
		}
		return
	}
	for n, v := range sent {
		switch {
		case fault == "":
			if sub.names[n] || sub.wildcard {
				putIn(&sub.acknowledged, n, v)
			}
			delete(sub.nacked, n)
		case len(sub.nacked) < maxNacks || sub.nacked[n].Version != (records.Version{}):
			putIn(&sub.nacked, n, Nack{v, fault[:min(len(fault), maxReasonBytes)], now})
		default: // past the bound it is only not sent again
			putIn(&sub.acknowledged, n, v)
		}
	}
}

// forgetUnsubscribed forgets what is not subscribed to any more.
func (sub *subscription) forgetUnsubscribed() {
	if sub.wildcard {
		return
	}
	gone := func(n string) bool { return !sub.names[n] }
	for _, m := range []map[string]records.Version{sub.acknowledged, sub.sent} {
		maps.DeleteFunc(m, func(n string, _ records.Version) bool { return gone(n) })
	}
	maps.DeleteFunc(sub.nacked, func(n string, _ Nack) bool { return gone(n) })
	for _, m := range []map[string]bool{sub.initial, sub.changed, sub.oneByOne} {
		maps.DeleteFunc(m, func(n string, _ bool) bool { return gone(n) })
	}
}
