package distribution

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"silvertrail/internal/controlplane/records"
)

// Subscriber is the stream of one subscriber.
type Subscriber struct {
	Name string
	Peer bool

	subscriptions [KindCount]subscription
	lastNonce     uint64
	contacted     bool // a response was sent to it

	// The place in the queue for initial states:
	queued, granted bool
	queuedAt        time.Time
	keepaliveDue    bool
}

// subscription holds the resources of one kind that a stream has subscribed to, and the progress of sending them.
type subscription struct {
	started      bool
	wildcard     bool
	responseDue  bool // even if there is no resource to send
	names        map[string]bool
	acknowledged map[string]records.Version // by name; includes the versions named in the first request

	// Pending resources:
	initial  map[string]bool // sent when the subscriber's turn in the queue comes
	changed  map[string]bool // sent at once
	oneByOne map[string]bool // pending resources to send by themselves, as a response with several of them was rejected

	// The response in flight:
	nonce       string // empty: no response is in flight
	sent        map[string]records.Version
	sentSeveral bool // more than one resource was sent

	nacked map[string]Nack
}

// Nack is a version that a subscriber has rejected. The subscriber keeps using the previous version.
type Nack struct {
	Version records.Version
	Reason  string
	At      time.Time
}

// Request is a request of a subscriber.
type Request struct {
	Kind                   Kind
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // in the first request of the kind: the versions that the subscriber has, by name
	Nonce                  string            // of the response that the request answers; empty: none
	NackReason             string            // empty: the response was accepted
}

const (
	wildcardName   = "*"
	maxReasonBytes = 1 << 10 // of a stored reason
	maxNacks       = 64      // stored of a kind for one subscriber
)

// HandleRequest handles a request. After an error the stream has to be closed.
func (d *Distributor) HandleRequest(now time.Time, s *Subscriber, r Request) error {
	if r.Kind >= KindCount || !d.subscribers[s] {
		return errors.New("a type that is not served")
	}
	if r.Kind == Records && !s.Peer {
		return fmt.Errorf("%q is no peer of this control machine: records are not for it", s.Name)
	}
	sub := &s.subscriptions[r.Kind]
	d.wake(s)
	isFirst := !sub.started
	if isFirst {
		d.startSubscription(s, r)
	} else if r.Nonce != "" && r.Nonce == sub.nonce {
		sub.handleResponse(now, r.NackReason)
	}
	if err := d.subscribe(s, r); err != nil {
		return err
	}
	d.unsubscribe(s, r)
	if isFirst || len(r.Unsubscribe) > 0 {
		sub.forgetUnsubscribed()
	}
	return nil
}

// startSubscription handles the fields that have a meaning only in the first request of a kind.
func (d *Distributor) startSubscription(s *Subscriber, r Request) {
	sub := &s.subscriptions[r.Kind]
	for name, text := range r.InitialVersions {
		if len(sub.acknowledged) >= d.limits.MaxNames {
			break
		}
		if version, err := records.ParseVersion(text); err == nil { // a version in another implementation's format counts as the oldest
			setEntry(&sub.acknowledged, name, version)
		}
	}
	sub.responseDue = true
	if len(r.Subscribe) == 0 {
		d.subscribeAll(s, r.Kind)
	}
	sub.started = true
}

func (d *Distributor) subscribe(s *Subscriber, r Request) error {
	sub := &s.subscriptions[r.Kind]
	for _, name := range r.Subscribe {
		if name == wildcardName {
			d.subscribeAll(s, r.Kind)
			continue
		}
		if len(sub.names) >= d.limits.MaxNames && !sub.names[name] {
			return fmt.Errorf("over %d names of a type", d.limits.MaxNames)
		}
		if _, hasVersion := r.InitialVersions[name]; !hasVersion {
			delete(sub.acknowledged, name) // the subscriber requests the resource again, perhaps as it can use it now
		}
		delete(sub.nacked, name)
		delete(sub.sent, name) // the response in flight may be from before the subscriber had unsubscribed
		setEntry(&sub.names, name, true)
		d.addToIndex(r.Kind, name, s)
		d.enqueueInitial(s, r.Kind, name)
	}
	return nil
}

func (d *Distributor) unsubscribe(s *Subscriber, r Request) {
	sub := &s.subscriptions[r.Kind]
	for _, name := range r.Unsubscribe {
		if name == wildcardName {
			sub.wildcard = false
			delete(d.wildcards[r.Kind], s)
			continue
		}
		delete(sub.names, name)
		d.removeFromIndex(r.Kind, name, s)
	}
}

func (d *Distributor) subscribeAll(s *Subscriber, k Kind) {
	s.subscriptions[k].wildcard = true
	d.wildcards[k][s] = true
	for name := range d.catalog.All(k) {
		d.enqueueInitial(s, k, name)
	}
}

// enqueueInitial makes a resource pending in the initial state if the subscriber does not have its current version.
func (d *Distributor) enqueueInitial(s *Subscriber, k Kind, name string) {
	sub := &s.subscriptions[k]
	if d.isOutdated(k, sub, name) && !sub.changed[name] {
		setEntry(&sub.initial, name, true)
	}
}

// isOutdated reports whether a subscriber has no version of a resource that is at least as new as the current one. An unknown
// resource is not known to be removed, so nothing is sent for it.
func (d *Distributor) isOutdated(k Kind, sub *subscription, name string) bool {
	current, ok := d.catalog.Find(k, name)
	if !ok {
		return false
	}
	acknowledged, known := sub.acknowledged[name]
	if current.Removed && !known && !sub.names[name] { // the subscriber never had the resource, and does not wait for it
		return false
	}
	return acknowledged.Compare(current.Version) < 0 && sub.nacked[name].Version != current.Version
}

// handleResponse handles the answer to the response in flight.
func (sub *subscription) handleResponse(now time.Time, nackReason string) {
	sent := sub.sent
	sub.nonce, sub.sent = "", nil
	switch {
	case nackReason == "":
		sub.acknowledge(sent)
	case sub.sentSeveral:
		sub.resendOneByOne(sent)
	default:
		sub.reject(now, sent, nackReason)
	}
}

func (sub *subscription) acknowledge(sent map[string]records.Version) {
	for name, version := range sent {
		if sub.names[name] || sub.wildcard {
			setEntry(&sub.acknowledged, name, version)
		}
		delete(sub.nacked, name)
	}
}

// resendOneByOne makes the resources of a rejected response pending again, as the answer does not say which of them was
// rejected.
func (sub *subscription) resendOneByOne(sent map[string]records.Version) {
	for name := range sent {
		setEntry(&sub.oneByOne, name, true)
		setEntry(&sub.acknowledged, name, sub.acknowledged[name]) // the subscriber may have the resource: a removal must be sent
		if !sub.initial[name] {
			setEntry(&sub.changed, name, true)
		}
	}
}

// reject stores the rejected version and its reason. Once maxNacks are stored, the version is only marked so that it is not sent
// again.
func (sub *subscription) reject(now time.Time, sent map[string]records.Version, reason string) {
	for name, version := range sent {
		_, known := sub.nacked[name]
		if known || len(sub.nacked) < maxNacks {
			setEntry(&sub.nacked, name, Nack{Version: version, Reason: reason[:min(len(reason), maxReasonBytes)], At: now})
		} else {
			setEntry(&sub.acknowledged, name, version)
		}
	}
}

// forgetUnsubscribed drops the state of names that are not subscribed to any more.
func (sub *subscription) forgetUnsubscribed() {
	if sub.wildcard {
		return
	}
	retainSubscribed(sub, sub.acknowledged)
	retainSubscribed(sub, sub.sent)
	retainSubscribed(sub, sub.nacked)
	retainSubscribed(sub, sub.initial)
	retainSubscribed(sub, sub.changed)
	retainSubscribed(sub, sub.oneByOne)
}

// retainSubscribed drops the entries of a map that are not subscribed to.
func retainSubscribed[V any](sub *subscription, m map[string]V) {
	maps.DeleteFunc(m, func(name string, _ V) bool { return !sub.names[name] })
}
